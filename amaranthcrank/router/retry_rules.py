"""Rules for retries, and for the responses to callers after failures.

Pure decisions, except for the retry budget.
"""

import collections
import typing

# Whether a request was run, as far as known after an attempt.
NOT_SENT = 'not_sent'
NOT_RUN = 'not_run'
MAYBE_RUN = 'maybe_run'

# Fraction of the allowed ratio that is used: the windows of the hosts do not
# coincide.
RATIO_SAFETY_FACTOR = 0.85
# The floor of the allowance is split over at least this many hosts, and over
# more hosts than are known, because new hosts become known late.
MIN_HOSTS = 20
HOST_COUNT_MARGIN = 1.25

# Statuses that guarantee to a caller that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def may_retry(
    repeatable: bool, execution: str, send_count: int, max_attempts: int
) -> bool:
    """Return whether a request may be sent to another target.

    Args:
      repeatable: Whether it may run more than once.
      execution: NOT_SENT, NOT_RUN or MAYBE_RUN.
      send_count: Number of targets that it was sent to.
      max_attempts: Number of targets that it may be sent to.
    """
    if send_count >= max_attempts:
        return False
    return repeatable or execution != MAYBE_RUN


def may_pass_through(status: int, repeatable: bool) -> bool:
    """Return whether a target's response may be passed to the caller as is.

    A status that guarantees 'not run' must not be passed on for a request that
    is not repeatable unless the target declared that it did not run it.
    """
    return repeatable or status not in NOT_RUN_STATUSES


class RetryBudget:
    """This host's share of the retries that each service may get.

    The allowance of all hosts is a ratio of the requests plus a floor.
    Each host keeps the ratio for its own requests, so that the sum keeps it
    however connections are distributed. The floor is split evenly.

    Attributes:
      hosts: Number of known hosts, including this one.
    """

    def __init__(self, ratio: float, floor: float, window_s: float) -> None:
        """Create a budget without requests.

        Args:
          ratio: Allowed retries per request of a service, over all hosts.
          floor: Retries allowed in addition, over all hosts.
          window_s: The period over which requests and retries are counted.
        """
        self._ratio = ratio * RATIO_SAFETY_FACTOR
        self._floor = floor
        self.hosts = 1
        self._window_s = window_s
        self._requests_by_service: dict[str, collections.deque[float]] = {}
        self._retries_by_service: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._recent_times(self._requests_by_service, service, now).append(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Return whether a retry is left, and count it if so."""
        requests = self._recent_times(self._requests_by_service, service, now)
        retries = self._recent_times(self._retries_by_service, service, now)
        floor = self._floor / max(MIN_HOSTS, self.hosts * HOST_COUNT_MARGIN)
        if len(retries) + 1 > self._ratio * len(requests) + floor:
            return False
        retries.append(now)
        return True

    def _recent_times(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] < now - self._window_s:
            times.popleft()
        return times


def retry_after_s(
    wait_s: float, remaining_s: float, random: typing.Callable[[], float]
) -> float:
    """Return after how many seconds a refused caller should retry.

    Args:
      wait_s: Expected time until there is capacity.
      remaining_s: How long the caller still waits for a response.
      random: Returns floats from 0 to below 1; spreads the retries.
    """
    longest = max(0.05, remaining_s / 3)
    spread = max(0.1, wait_s) * (0.6 + 0.8 * random())
    return min(longest, spread)
