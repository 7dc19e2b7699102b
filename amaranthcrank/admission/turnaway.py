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


# A probe whose outcome is not heard by then counts as lost.
PROBE_TIMEOUT_S = 1.0
KEEP_S = 60.0

_Place = tuple[str, str, str]


class TurnAway:
    """The ranks that are refused now, by service and cell.

    Attributes:
      until_by_place: When the refusal of a (service, cell, rank) ends and one
        probe may pass.
    """

    __slots__ = ('until_by_place',)

    def __init__(self) -> None:
        """Start with nothing refused."""
        self.until_by_place: dict[_Place, float] = {}


def open_turnaway() -> TurnAway:
    """Start with nothing refused."""
    return TurnAway()


def check(
    turnaway: TurnAway, service: str, cell: str, rank: str, now: float
) -> Verdict:
    """Decide on a request before it is sent to the cell."""
    place = (service, cell, rank)
    until = turnaway.until_by_place.get(place)
    if until is None:
        return Verdict(ADMIT, 0)
    if now < until:
        return Verdict(REJECT, max(1, round((until - now) * 1_000)))
    turnaway.until_by_place[place] = now + PROBE_TIMEOUT_S
    return Verdict(PROBE, 0)


def note_overload(
    turnaway: TurnAway,
    service: str,
    cell: str,
    rank: str,
    retry_after_ms: int,
    now: float,
) -> None:
    """Learn of an overload refusal, of a probe or another request."""
    until = now + max(1, retry_after_ms) / 1_000
    turnaway.until_by_place[service, cell, rank] = until


def note_passed(
    turnaway: TurnAway, service: str, cell: str, rank: str
) -> None:
    """Learn that a probe was not refused for overload: admit again.

    Only probes count: a request sent before the refusal says nothing of now.
    """
    turnaway.until_by_place.pop((service, cell, rank), None)


def expire(turnaway: TurnAway, now: float) -> int:
    """Drop refusals that ended long ago; return how many."""
    past = [
        place
        for place, until in turnaway.until_by_place.items()
        if now - until >= KEEP_S
    ]
    for place in past:
        del turnaway.until_by_place[place]
    return len(past)
