"""Refusals at the entry host after an overload refusal of the dispatcher."""

import typing

ADMIT = 'admit'
PROBE = 'probe'
REJECT = 'reject'


class Decision(typing.NamedTuple):
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

_TrafficClass = tuple[str, str, str]


class CircuitBreaker:
    """The ranks that are refused now, by service and cell.

    Attributes:
      rejected_until_by_class: When the refusal of a (service, cell, rank)
        ends and one probe may pass.
    """

    __slots__ = ('rejected_until_by_class',)

    def __init__(self) -> None:
        """Start with nothing refused."""
        self.rejected_until_by_class: dict[_TrafficClass, float] = {}


def new_circuit_breaker() -> CircuitBreaker:
    """Start with nothing refused."""
    return CircuitBreaker()


def check(
    breaker: CircuitBreaker, service: str, cell: str, rank: str, now: float
) -> Decision:
    """Decide on a request before it is sent to the cell."""
    traffic_class = (service, cell, rank)
    until = breaker.rejected_until_by_class.get(traffic_class)
    if until is None:
        return Decision(ADMIT, 0)
    if now < until:
        return Decision(REJECT, max(1, round((until - now) * 1_000)))
    breaker.rejected_until_by_class[traffic_class] = now + PROBE_TIMEOUT_S
    return Decision(PROBE, 0)


def record_overload(
    breaker: CircuitBreaker,
    service: str,
    cell: str,
    rank: str,
    retry_after_ms: int,
    now: float,
) -> None:
    """Learn of an overload refusal, of a probe or another request."""
    until = now + max(1, retry_after_ms) / 1_000
    breaker.rejected_until_by_class[service, cell, rank] = until


def record_success(
    breaker: CircuitBreaker, service: str, cell: str, rank: str
) -> None:
    """Learn that a probe was not refused for overload: admit again.

    Only probes count: a request sent before the refusal says nothing of now.
    """
    breaker.rejected_until_by_class.pop((service, cell, rank), None)


def expire(breaker: CircuitBreaker, now: float) -> int:
    """Drop refusals that ended long ago; return how many."""
    past = [
        traffic_class
        for traffic_class, until in breaker.rejected_until_by_class.items()
        if now - until >= KEEP_S
    ]
    for traffic_class in past:
        del breaker.rejected_until_by_class[traffic_class]
    return len(past)
