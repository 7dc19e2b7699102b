"""Rules for hedges: when a second attempt goes to another target, and if not.

Pure decisions, except for the limits by service.
"""

import collections
import typing

from amaranthcrank.router import retry_rules

# Why a late request is not hedged.
ATTEMPTS = 'attempts'
CRASHES = 'crashes'
DEADLINE = 'deadline'
WAITING = 'waiting'
SERVICE_SLOW = 'service_slow'
RATIO = 'ratio'
NO_TARGET = 'no_target'
TARGET_FAILING = 'target_failing'
BUDGET = 'budget'

# Added to the quantile, which is rounded by up to 2%, and to which the event
# loop adds some milliseconds. Otherwise most attempts of a service with nearly
# constant service times would be late.
DELAY_MARGIN_S = 0.01
# Extra delay at a target for each unit of slowness above 1, in quantiles. The
# slowness is a moving average: with a factor of 1, up to 7 of 10 requests of a
# target 10 times as slow as others were hedged just before they responded.
SLOWNESS_MARGIN = 1.5
# The period over which the ratio of hedges to requests is kept. Hosts with
# 2 requests a second may still send a hedge at a ratio of 2%.
RATIO_WINDOW_S = 30.0
# No hedge if more than this share of the newest attempts is late. Usually one
# in twenty is, by definition of the quantile. If all targets stall at once, a
# host sends 2 hedges until the third of 8 attempts is late. With one in twenty
# late, three of 8 are late in 1 of 20 cases in which a hedge is wanted.
MAX_LATE_SHARE = 0.25
NEWEST_ATTEMPTS = 8
# Older attempts say nothing about the speed now.
MAX_ATTEMPT_AGE_S = 10.0
# The rate of a target that failed once, 3 s (a half-life) ago.
MAX_FAILURE_RATE = 0.1


class LateAttempt(typing.NamedTuple):
    """A first attempt that has run for its delay, and its request.

    Attributes:
      service: The service.
      now: The event loop's time.
      deadline_at: When the caller stops waiting.
      typical_s: The typical service time of the route.
      send_count: Number of targets that the request was sent to, this attempt
        included.
      max_attempts: Number of targets that it may be sent to.
      crash_count: Number of targets that crashed on the request.
      waiting: Number of requests of the service that wait at this host.
    """

    service: str
    now: float
    deadline_at: float
    typical_s: float
    send_count: int
    max_attempts: int
    crash_count: int
    waiting: int


def delay_s(quantile_s: float | None, slowness: float) -> float | None:
    """Return after how many seconds an attempt is late; None for never.

    A target that is known to be slow is not late at the time at which others
    are. Otherwise each of its requests would be hedged.

    Args:
      quantile_s: The quantile of the route's response times, if known.
      slowness: The expected service time of the target, relative to the
        typical one.
    """
    if quantile_s is None:
        return None
    factor = 1.0 + SLOWNESS_MARGIN * max(0.0, slowness - 1.0)
    return quantile_s * factor + DELAY_MARGIN_S


def is_final(status: int, reason: str) -> bool:
    """Return whether a result ends the other attempt.

    Args:
      status: The status of the response, or 0.
      reason: Why the attempt failed, or ''.
    """
    if reason or not status:
        return False
    return status < 500 and status not in retry_rules.NOT_RUN_STATUSES


def preference(status: int, reason: str, execution: str) -> int:
    """Return the position of a result among those of both attempts.

    The lowest is used. Among failures, one that may have run goes first, as
    the rules for retries must apply to the strictest one.

    Args:
      status: The status of the response, or 0.
      reason: Why the attempt failed, or ''.
      execution: A constant of `retry_rules`.
    """
    if is_final(status, reason):
        return 0
    if not reason:
        return 1
    if status:
        return 2
    if execution == retry_rules.MAYBE_RUN:
        return 3
    return 4 if execution == retry_rules.NOT_RUN else 5


class HedgeLimits:
    """The share of hedges and of late attempts of each service."""

    def __init__(self, ratio: float) -> None:
        """Start without requests.

        Args:
          ratio: The largest share of a service's requests that may be hedged.
        """
        self._ratio = ratio
        self._state_by_service: dict[str, _ServiceState] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        requests = self._state(service).requests
        _drop_old(requests, now)
        requests.append(now)

    def record_attempt(self, service: str, is_late: bool, now: float) -> None:
        """Count a first attempt that responded, or that is late."""
        self._state(service).attempts.append(_Attempt(now, is_late))

    def record_hedge(self, service: str, now: float) -> None:
        """Count a hedge that is sent."""
        self._state(service).hedges.append(now)

    def refusal(self, attempt: LateAttempt) -> str:
        """Return why a late request may not be hedged, or ''."""
        if attempt.send_count >= attempt.max_attempts:
            return ATTEMPTS
        if attempt.crash_count:
            return CRASHES
        if attempt.now + attempt.typical_s > attempt.deadline_at:
            return DEADLINE
        if attempt.waiting:
            return WAITING
        state = self._state(attempt.service)
        if _late_share(state.attempts, attempt.now) > MAX_LATE_SHARE:
            return SERVICE_SLOW
        _drop_old(state.requests, attempt.now)
        _drop_old(state.hedges, attempt.now)
        if len(state.hedges) + 1 > self._ratio * len(state.requests):
            return RATIO
        return ''

    def _state(self, service: str) -> '_ServiceState':
        state = self._state_by_service.get(service)
        if state is None:
            state = _ServiceState(
                collections.deque(),
                collections.deque(),
                collections.deque(maxlen=NEWEST_ATTEMPTS),
            )
            self._state_by_service[service] = state
        return state


class _Attempt(typing.NamedTuple):
    at: float
    is_late: bool


class _ServiceState(typing.NamedTuple):
    requests: collections.deque[float]
    hedges: collections.deque[float]
    attempts: collections.deque[_Attempt]


def _late_share(attempts: typing.Iterable[_Attempt], now: float) -> float:
    """Return the share of late attempts among the newest ones."""
    recent = [
        attempt.is_late
        for attempt in attempts
        if now - attempt.at <= MAX_ATTEMPT_AGE_S
    ]
    return sum(recent) / len(recent) if recent else 0.0


def _drop_old(times: collections.deque[float], now: float) -> None:
    while times and now - times[0] > RATIO_WINDOW_S:
        times.popleft()
