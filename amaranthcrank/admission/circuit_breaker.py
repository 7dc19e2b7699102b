"""Circuit breaker of the entry host, by service, cell and rank.

After a dispatcher has refused a request for overload, the entry host refuses
further requests of the same service, cell and rank until the retry time that
the dispatcher gave. Then it admits one request as a probe.
"""

import typing

ADMIT = 'admit'
PROBE = 'probe'
REJECT = 'reject'


class Decision(typing.NamedTuple):
    """What the entry host does with a request.

    Attributes:
      action: ADMIT, PROBE (admit, and report its outcome) or REJECT.
      retry_after_ms: When a refused caller may retry, else 0.
    """

    action: str
    retry_after_ms: int


# A probe whose outcome is not reported within this time counts as lost, and
# the next request becomes a probe.
PROBE_TIMEOUT_S = 1.0
# Refusals are dropped this long after their end.
EXPIRY_S = 60.0

_TrafficClass = tuple[str, str, str]


class CircuitBreaker:
    """The traffic classes (service, cell, rank) that are refused now.

    Attributes:
      rejected_until_by_class: When the refusal of each class ends and one
        probe is admitted.
    """

    __slots__ = ('rejected_until_by_class',)

    def __init__(self) -> None:
        """Start with no class refused."""
        self.rejected_until_by_class: dict[_TrafficClass, float] = {}


def new_circuit_breaker() -> CircuitBreaker:
    """Create a circuit breaker that refuses nothing."""
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
    """Record an overload refusal of a probe or another request."""
    until = now + max(1, retry_after_ms) / 1_000
    breaker.rejected_until_by_class[service, cell, rank] = until


def record_success(
    breaker: CircuitBreaker, service: str, cell: str, rank: str
) -> None:
    """Record that a probe was not refused for overload, and admit again.

    Only probes count: a request that was sent before the refusal says nothing
    about the present load.
    """
    breaker.rejected_until_by_class.pop((service, cell, rank), None)


def expire(breaker: CircuitBreaker, now: float) -> int:
    """Drop refusals that ended EXPIRY_S ago; return how many."""
    expired = [
        traffic_class
        for traffic_class, until in breaker.rejected_until_by_class.items()
        if now - until >= EXPIRY_S
    ]
    for traffic_class in expired:
        del breaker.rejected_until_by_class[traffic_class]
    return len(expired)
