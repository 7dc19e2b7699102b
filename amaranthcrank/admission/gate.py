"""The actor that admits or refuses requests at the entry host."""

import time
import typing

import pykka

from amaranthcrank.admission import circuit_breaker
from amaranthcrank.admission import link_budget
from amaranthcrank.core import actors
from amaranthcrank.core import codes

# Approximate size of a request frame without its body.
FRAME_OVERHEAD_BYTES = 400


class Check(typing.NamedTuple):
    """Asks whether a request may be forwarded to its home cell.

    Attributes:
      service: The service.
      cell: The home cell.
      rank: The rank.
      size: The size of the body in bytes.
      crosses_regions: Whether the cell is in another region.
    """

    service: str
    cell: str
    rank: str
    size: int
    crosses_regions: bool


class Admission(typing.NamedTuple):
    """The reply to Check; code is None if the request is admitted."""

    code: codes.Code | None
    retry_after_ms: int


class RecordOutcome(typing.NamedTuple):
    """Reports the outcome of a request that was forwarded to a cell."""

    service: str
    cell: str
    rank: str
    overloaded: bool
    retry_after_ms: int


class SetLinkRate(typing.NamedTuple):
    """Sets the byte budget of the link between regions."""

    bytes_per_s: float
    share_by_rank: dict[str, float]


class State:
    """The circuit breaker and the byte budget of one host."""

    def __init__(self) -> None:
        self.breaker = circuit_breaker.new_circuit_breaker()
        self.budget: link_budget.LinkBudget | None = None


def start() -> pykka.ActorRef:
    """Start the actor with a closed circuit breaker and no byte budget."""
    return actors.start(
        'gate',
        State(),
        {
            Check: _check,
            RecordOutcome: _record_outcome,
            SetLinkRate: _set_link_rate,
        },
    )


def _check(state: State, message: Check) -> Admission:
    now = time.monotonic()
    decision = circuit_breaker.check(
        state.breaker, message.service, message.cell, message.rank, now
    )
    if decision.action == circuit_breaker.REJECT:
        return Admission(codes.OVERLOADED, decision.retry_after_ms)
    if not message.crosses_regions or state.budget is None:
        return Admission(None, 0)
    size = message.size + FRAME_OVERHEAD_BYTES
    if link_budget.take(state.budget, message.rank, size, now):
        return Admission(None, 0)
    wait_ms = link_budget.wait_ms(state.budget, message.rank, now)
    return Admission(codes.LINK_BUDGET, wait_ms)


def _record_outcome(state: State, message: RecordOutcome) -> None:
    traffic_class = (message.service, message.cell, message.rank)
    if not message.overloaded:
        circuit_breaker.record_success(state.breaker, *traffic_class)
        return
    circuit_breaker.record_overload(
        state.breaker, *traffic_class, message.retry_after_ms, time.monotonic()
    )


def _set_link_rate(state: State, message: SetLinkRate) -> None:
    now = time.monotonic()
    rate = (message.bytes_per_s, message.share_by_rank, now)
    if state.budget is None:
        state.budget = link_budget.open_link_budget(*rate)
        return
    link_budget.set_rate(state.budget, *rate)
