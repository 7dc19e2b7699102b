"""Adaptive limit on the concurrent requests of one target.

The limit grows by one per round of responses and is cut by a factor when
the recent latency exceeds a multiple of the target's base latency.
"""

# Assumed before the first response; about a typical service time.
DEFAULT_SERVICE_S = 0.05
# With exponential service times, the average over about 20 responses exceeds
# LATENCY_BOUND at 6 in 100,000 responses. A weight of 0.2 with samples clipped
# at twice the base would exceed it at 5 in 100, and each time cut the limit.
RECENT_WEIGHT = 0.1
MEAN_WEIGHT = 0.05
BASE_WEIGHT = 0.02
# While the latency is over the bound, the base adapts slowly: a lasting change
# of the service time is accepted after a few thousand requests.
SLOW_BASE_WEIGHT = 0.001
# The limit is cut while the recent latency is over this multiple of the base.
LATENCY_BOUND = 2.0
# Samples are clipped to this multiple of the base before they are averaged
# into it. Clipping at 2 would pull the base of exponential service times 20%
# below the mean.
BASE_CLIP = 4.0
DECREASE = 0.7
# The first responses after a cold start are not averaged into the base.
COLD_RESPONSES = 8


class Limit:
    """The limit and latency estimates of one target.

    Attributes:
      slots: The upper bound of the limit.
      limit: The limit as a float, 1 to slots.
      recent_s: Moving average of the most recent latencies, 0 before the
        first.
      mean_s: Moving average over more latencies, for estimates of the wait.
      base_s: Slow moving average of the latencies, the reference for
        LATENCY_BOUND.
      cold_remaining: How many further responses count as cold.
      decreased_at: When the limit was last decreased.
    """

    __slots__ = (
        'base_s',
        'cold_remaining',
        'decreased_at',
        'limit',
        'mean_s',
        'recent_s',
        'slots',
    )

    def __init__(self, slots: int, cold: bool) -> None:
        """Start at 1 if the target is cold, else at the number of slots."""
        self.slots = slots
        self.limit = 1.0 if cold else float(slots)
        self.recent_s = 0.0
        self.mean_s = 0.0
        self.base_s = 0.0
        self.cold_remaining = COLD_RESPONSES if cold else 0
        self.decreased_at = float('-inf')


def open_limit(slots: int, cold: bool = True) -> Limit:
    """Create the limit of a target; a cold one starts at 1."""
    return Limit(slots, cold)


def set_slots(limit: Limit, slots: int) -> None:
    """Set the number of slots from a ticket."""
    limit.slots = slots
    limit.limit = min(limit.limit, float(slots))


def reset(limit: Limit) -> None:
    """Start at 1 again for a new incarnation of the upstream."""
    limit.limit = 1.0
    limit.cold_remaining = COLD_RESPONSES
    limit.decreased_at = float('-inf')


def record_response(limit: Limit, latency_s: float, now: float) -> None:
    """Record the latency of a served request and adapt the limit."""
    if limit.recent_s == 0.0:
        limit.recent_s = latency_s
        limit.mean_s = latency_s
    limit.mean_s += MEAN_WEIGHT * (latency_s - limit.mean_s)
    limit.recent_s += RECENT_WEIGHT * (latency_s - limit.recent_s)
    if limit.cold_remaining > 0:
        limit.cold_remaining -= 1
        _increase(limit)
        return
    if limit.base_s == 0.0:
        limit.base_s = latency_s
    over = limit.recent_s > LATENCY_BOUND * limit.base_s
    _update_base(limit, latency_s, over)
    if over:
        _decrease(limit, now)
        return
    _increase(limit)


def record_shed(limit: Limit, now: float) -> None:
    """Record a request that the upstream shed or timed out."""
    _decrease(limit, now)


def current(limit: Limit) -> int:
    """Return how many requests may run concurrently, 1 to the slots."""
    return max(1, int(limit.limit))


def service_s(limit: Limit) -> float:
    """Return the expected service time in seconds."""
    return limit.mean_s or DEFAULT_SERVICE_S


def _update_base(limit: Limit, latency_s: float, over: bool) -> None:
    # Samples are clipped so that one slow response does not raise the base.
    sample = min(latency_s, BASE_CLIP * limit.base_s)
    weight = SLOW_BASE_WEIGHT if over else BASE_WEIGHT
    limit.base_s += weight * (sample - limit.base_s)


def _increase(limit: Limit) -> None:
    limit.limit = min(float(limit.slots), limit.limit + 1.0 / limit.limit)


def _decrease(limit: Limit, now: float) -> None:
    """Cut the limit, once for requests that were in flight together."""
    if now - limit.decreased_at < limit.recent_s:
        return
    limit.decreased_at = now
    limit.limit = max(1.0, limit.limit * DECREASE)
