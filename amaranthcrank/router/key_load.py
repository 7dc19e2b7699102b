"""Collects the recent work by key that all hosts report to the controller."""

import collections
import time
import typing

from amaranthcrank.router import key_plan

WINDOW_S = 3.0
# The most samples kept of one service; the oldest are dropped first.
MAX_SAMPLES = 5_000


class KeyLoad:
    """Work by key of all hosts over a short sliding window."""

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        """Start without samples.

        Args:
          clock: Returns seconds.
        """
        self._clock = clock
        self._samples_by_service: dict[
            str, collections.deque[tuple[float, int, float]]
        ] = {}

    def add(self, service: str, key: int, work_s: float) -> None:
        """Add a request for a key with its expected work."""
        samples = self._samples_by_service.setdefault(
            service, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append((self._clock(), key, work_s))

    def window(self, service: str) -> key_plan.Load:
        """Return the load of a service, as work in a window.

        The weight of a sample falls linearly with its age, from 2 to 0. So
        the sum is that of all samples while the load does not change, and
        follows within half of the window when it does.
        """
        since = self._clock() - WINDOW_S
        samples = self._samples_by_service.get(service, collections.deque())
        while samples and samples[0][0] < since:
            samples.popleft()
        work_by_key: dict[int, float] = {}
        for at, key, work_s in samples:
            weight = 2.0 * (at - since) / WINDOW_S
            work_by_key[key] = work_by_key.get(key, 0.0) + weight * work_s
        return key_plan.Load(work_by_key)
