"""Refusals at the entry host after an overload refusal of the dispatcher."""

import typing

ADMIT = 'admit'
PROBE = 'probe'
REJECT = 'reject'


class Verdict(typing.NamedTuple):
    """What the entry host does with a request.

    Attributes:
      action: ADMIT, PROBE (admit, and report its outcome) or REJECT.
      retry_after_ms: For the refused caller, else 0.
    """

    action: str
    retry_after_ms: int


class TurnAway:
    """The ranks that are refused now, by service and cell."""


def open_turnaway() -> TurnAway:
    """Start with nothing refused."""
    raise NotImplementedError


def check(
    turnaway: TurnAway, service: str, cell: str, rank: str, now: float
) -> Verdict:
    """Decide on a request before it is sent to the cell."""
    raise NotImplementedError


def note_overload(
    turnaway: TurnAway,
    service: str,
    cell: str,
    rank: str,
    retry_after_ms: int,
    now: float,
) -> None:
    """Learn of an overload refusal, of a probe or another request."""
    raise NotImplementedError


def note_passed(
    turnaway: TurnAway, service: str, cell: str, rank: str
) -> None:
    """Learn that a request was not refused for overload: admit again."""
    raise NotImplementedError


def expire(turnaway: TurnAway, now: float) -> int:
    """Drop refusals that ended long ago; return how many."""
    raise NotImplementedError
