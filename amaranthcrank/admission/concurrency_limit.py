"""Adaptive limit of concurrent requests at one target."""

# Before the first answer; about a usual service time.
DEFAULT_SERVICE_S = 0.05
# With exponential service times the average of about 20 answers is over the
# bound at 6 in 100,000 answers. A weight of 0.2 with samples clipped at twice
# the base is over it at 5 in 100, and each time cuts the limit.
RECENT_WEIGHT = 0.1
MEAN_WEIGHT = 0.05
BASE_WEIGHT = 0.02
# While latency is over the bound, the base follows slowly: a lasting change
# of the service time is accepted after some thousand requests.
SLOW_BASE_WEIGHT = 0.001
LATENCY_BOUND = 2.0
# Single answers count for the base with at most this multiple of it. Clipping
# at 2 would pull the base of exponential service times 20% below the mean.
BASE_CLIP = 4.0
DECREASE = 0.7
# Answers after a cold start that do not count for the base.
COLD_ANSWERS = 8


class Limit:
    """The limit and latency estimates of one target.

    Attributes:
      slots: The most that may run at once.
      limit: The limit as a float, 1 to slots.
      recent_s: Moving average of the last few latencies, 0 before the first.
      mean_s: Moving average over more of them, for estimates of the wait.
      base_s: Slow average of the latencies that were not over the bound.
      cold_left: Answers that still count as cold.
      cut_at: When the limit was last decreased.
    """

    __slots__ = (
        'base_s',
        'cold_left',
        'cut_at',
        'limit',
        'mean_s',
        'recent_s',
        'slots',
    )

    def __init__(self, slots: int, cold: bool) -> None:
        """Start at 1 where cold, else at the slots."""
        self.slots = slots
        self.limit = 1.0 if cold else float(slots)
        self.recent_s = 0.0
        self.mean_s = 0.0
        self.base_s = 0.0
        self.cold_left = COLD_ANSWERS if cold else 0
        self.cut_at = float('-inf')


def open_limit(slots: int, cold: bool = True) -> Limit:
    """Open the limit of a target; a cold one starts at 1."""
    return Limit(slots, cold)


def set_slots(limit: Limit, slots: int) -> None:
    """Take over the number of slots from a ticket."""
    limit.slots = slots
    limit.limit = min(limit.limit, float(slots))


def reset(limit: Limit) -> None:
    """Start slowly again after a new incarnation of the upstream."""
    limit.limit = 1.0
    limit.cold_left = COLD_ANSWERS
    limit.cut_at = float('-inf')


def record_answer(limit: Limit, latency_s: float, now: float) -> None:
    """Learn from an answered request."""
    if limit.recent_s == 0.0:
        limit.recent_s = latency_s
        limit.mean_s = latency_s
    limit.mean_s += MEAN_WEIGHT * (latency_s - limit.mean_s)
    limit.recent_s += RECENT_WEIGHT * (latency_s - limit.recent_s)
    if limit.cold_left > 0:
        limit.cold_left -= 1
        _increase(limit)
        return
    if limit.base_s == 0.0:
        limit.base_s = latency_s
    over = limit.recent_s > LATENCY_BOUND * limit.base_s
    _learn_base(limit, latency_s, over)
    if over:
        _decrease(limit, now)
        return
    _increase(limit)


def record_shed(limit: Limit, now: float) -> None:
    """Learn from a request that the upstream shed or timed out."""
    _decrease(limit, now)


def current(limit: Limit) -> int:
    """Return how many requests may run at once, 1 to the slots."""
    return max(1, int(limit.limit))


def service_s(limit: Limit) -> float:
    """Return the expected service time in seconds."""
    return limit.mean_s or DEFAULT_SERVICE_S


def _learn_base(limit: Limit, latency_s: float, over: bool) -> None:
    # Single slow answers are clipped so that they do not lift the base.
    sample = min(latency_s, BASE_CLIP * limit.base_s)
    weight = SLOW_BASE_WEIGHT if over else BASE_WEIGHT
    limit.base_s += weight * (sample - limit.base_s)


def _increase(limit: Limit) -> None:
    limit.limit = min(float(limit.slots), limit.limit + 1.0 / limit.limit)


def _decrease(limit: Limit, now: float) -> None:
    """Cut once for the requests that were in flight together."""
    if now - limit.cut_at < limit.recent_s:
        return
    limit.cut_at = now
    limit.limit = max(1.0, limit.limit * DECREASE)
