"""The actor that turns requests away at the entry host."""

import time
import typing

import pykka

from amaranthcrank.admission import link_budget
from amaranthcrank.admission import turnaway
from amaranthcrank.core import actors
from amaranthcrank.core import codes

# A request frame carries about this much besides the body.
FRAME_OVERHEAD_BYTES = 400


class Check(typing.NamedTuple):
    """Ask whether a request may go to its cell.

    Attributes:
      service: The service.
      cell: The home cell.
      rank: The rank.
      size: Bytes of the body.
      crosses: Whether the cell is in another region.
    """

    service: str
    cell: str
    rank: str
    size: int
    crosses: bool


class Admission(typing.NamedTuple):
    """The answer to Check; code is None where the request may go."""

    code: codes.Code | None
    retry_after_ms: int


class Note(typing.NamedTuple):
    """Learn how a request to a cell went."""

    service: str
    cell: str
    rank: str
    overloaded: bool
    retry_after_ms: int


class SetRate(typing.NamedTuple):
    """Take over the budget of the link between regions."""

    bytes_per_s: float
    share_by_rank: dict[str, float]


class State:
    """Refusals in force and the byte budget of one host."""

    def __init__(self) -> None:
        self.turnaway = turnaway.open_turnaway()
        self.budget: link_budget.LinkBudget | None = None


def start() -> pykka.ActorRef:
    """Start the actor with nothing refused and no budget."""
    return actors.start(
        'gate', State(), {Check: _check, Note: _note, SetRate: _set_rate}
    )


def _check(state: State, message: Check) -> Admission:
    now = time.monotonic()
    verdict = turnaway.check(
        state.turnaway, message.service, message.cell, message.rank, now
    )
    if verdict.action == turnaway.REJECT:
        return Admission(codes.OVERLOADED, verdict.retry_after_ms)
    if not message.crosses or state.budget is None:
        return Admission(None, 0)
    size = message.size + FRAME_OVERHEAD_BYTES
    if link_budget.take(state.budget, message.rank, size, now):
        return Admission(None, 0)
    wait_ms = link_budget.wait_ms(state.budget, message.rank, now)
    return Admission(codes.LINK_BUDGET, wait_ms)


def _note(state: State, message: Note) -> None:
    place = (message.service, message.cell, message.rank)
    if not message.overloaded:
        turnaway.note_passed(state.turnaway, *place)
        return
    turnaway.note_overload(
        state.turnaway, *place, message.retry_after_ms, time.monotonic()
    )


def _set_rate(state: State, message: SetRate) -> None:
    now = time.monotonic()
    rate = (message.bytes_per_s, message.share_by_rank, now)
    if state.budget is None:
        state.budget = link_budget.open_link_budget(*rate)
        return
    link_budget.set_rate(state.budget, *rate)
