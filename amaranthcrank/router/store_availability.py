"""Records when the platform's store answered and when calls to it failed.

Answers to other hosts count as well, if this host is notified of them.
"""

import bisect
import typing

from amaranthcrank.router import clock

# How long answers are kept: longer than hosts are usually disconnected.
RETENTION_S = 30.0
# Of answers in quick succession, one per interval of this length is kept.
RESOLUTION_S = 0.25
# How late keep-alive detects that a connection has gone silent. A watch that
# fails after a long wait shows only that the store was unreachable for this
# long before.
SILENCE_DETECTION_S = 3.0


class AvailabilityHistory:
    """Times of answers and failures of the store, by `clock.now`.

    Attributes:
      failed_at: When the last failed call was sent, but at the earliest
        SILENCE_DETECTION_S before it failed; 0.0 before the first failure.
    """

    def __init__(self, now: typing.Callable[[], float] = clock.now) -> None:
        """Start without answers."""
        self.failed_at = 0.0
        self._now = now
        self._answered_at: list[float] = []

    def record_answer(self) -> None:
        """Record that the store has just answered."""
        now = self._now()
        self._discard_old(now)
        answered_at = self._answered_at
        if len(answered_at) > 1 and now - answered_at[-2] < RESOLUTION_S:
            answered_at[-1] = now
            return
        answered_at.append(now)

    def record_answer_to_other(self, failed_ms: int) -> None:
        """Record that the store has just answered another host.

        Args:
          failed_ms: The result of `failed_ms` at that host.
        """
        self.record_answer()
        failed_at = self._now() - failed_ms / 1000
        self.failed_at = max(self.failed_at, failed_at)

    def failed_ms(self) -> int:
        """Return how many milliseconds ago `failed_at` was."""
        return round((self._now() - self.failed_at) * 1000)

    def record_failure(self, sent_at: float) -> None:
        """Record that a call failed.

        Args:
          sent_at: When the call was sent, by `clock.now`.
        """
        known_at = max(sent_at, self._now() - SILENCE_DETECTION_S)
        self.failed_at = max(self.failed_at, known_at)

    def longest_silence_s(self, since: float) -> float:
        """Return the longest time without a known answer.

        Args:
          since: The start of the period, by `clock.now`; it ends now.
        """
        longest_s = 0.0
        last_at = since
        for answered_at in [*self._answered_at, self._now()]:
            if answered_at <= last_at:
                continue
            longest_s = max(longest_s, answered_at - last_at)
            last_at = answered_at
        return longest_s

    def _discard_old(self, now: float) -> None:
        oldest = bisect.bisect_left(self._answered_at, now - RETENTION_S)
        del self._answered_at[:oldest]
