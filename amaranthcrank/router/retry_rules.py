"""When a request may be sent again, and what its caller is told.

Pure decisions; the budget is the only state.
"""

import collections
import typing

# What is known of a request after an attempt.
NOT_SENT = 'not_sent'
NOT_RUN = 'not_run'
MAYBE_RUN = 'maybe_run'

# Part of the common allowance left unused, as hosts see different moments.
RATIO_SAFETY = 0.85
# The allowance beside the ratio is split over at least so many hosts, and
# over more than are known: a host learns late of new ones.
MIN_HOSTS = 20
HOST_COUNT_MARGIN = 1.25

# Statuses that promise a caller that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def may_retry(
    repeatable: bool, execution: str, send_count: int, max_attempts: int
) -> bool:
    """Tell whether a request may go to a further target.

    Args:
      repeatable: Whether it may run more than once.
      knowledge: NOT_SENT, NOT_RUN or MAYBE_RUN.
      sends: To how many targets it went so far.
      max_attempts: To how many it may go.
    """
    if send_count >= max_attempts:
        return False
    return repeatable or execution != MAYBE_RUN


def may_pass_through(status: int, repeatable: bool) -> bool:
    """Tell whether a target's answer may go to the caller as it is.

    A status that promises 'not run' must not be passed on for work that may
    not repeat and that the target did not disown.
    """
    return repeatable or status not in NOT_RUN_STATUSES


class RetryBudget:
    """This host's part of the second sends that a service may get.

    The allowance of all hosts is a ratio of the requests plus a floor.
    Each host keeps the ratio over its own requests, so that the sum keeps
    it however connections fall; the floor is split evenly.

    Attributes:
      hosts: How many hosts are known, with this one.
    """

    def __init__(self, ratio: float, floor: float, window_s: float) -> None:
        """Split the allowance of the deployment."""
        self._ratio = ratio * RATIO_SAFETY
        self._floor = floor
        self.hosts = 1
        self._window_s = window_s
        self._requests_by_service: dict[str, collections.deque[float]] = {}
        self._retries_by_service: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._recent_times(self._requests_by_service, service, now).append(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend a second send if there is one left."""
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
    """Return when a refused caller should come back.

    Args:
      wait_s: When there is likely room again.
      left_s: How long the caller still waits for an answer.
      random: Returns floats from 0 to below 1; spreads the return.
    """
    longest = max(0.05, remaining_s / 3)
    spread = max(0.1, wait_s) * (0.6 + 0.8 * random())
    return min(longest, spread)
