"""When the platform's store is known to have answered, and to have failed.

Answers to other hosts that this one hears of count as well.
"""

import bisect
import typing

from amaranthcrank.router import clock

# Answers are remembered for so long, longer than hosts are usually cut off.
RETENTION_S = 30.0
# Of answers in quick succession one in so long is remembered.
RESOLUTION_S = 0.25
# A call that waited for news shows by its failure only that the store was
# out of reach just before: keep-alive notices a silent one so late.
SILENCE_DETECTION_S = 3.0


class AvailabilityHistory:
    """Answers and failures of the store, by `clock.now`.

    Attributes:
      failed_at: When a call that failed was last sent; 0.0 before the first.
    """

    def __init__(self, now: typing.Callable[[], float] = clock.now) -> None:
        """Start without an answer."""
        self.failed_at = 0.0
        self._now = now
        self._answered_at: list[float] = []

    def record_answer(self) -> None:
        """Learn that the store has answered just now."""
        now = self._now()
        self._discard_old(now)
        answered_at = self._answered_at
        if len(answered_at) > 1 and now - answered_at[-2] < RESOLUTION_S:
            answered_at[-1] = now
            return
        answered_at.append(now)

    def record_answer_to_other(self, failed_ms: int) -> None:
        """Learn that the store has just answered another host.

        Args:
          failed_ms: How long ago a call of that host last failed, in
            milliseconds.
        """
        self.record_answer()
        failed_at = self._now() - failed_ms / 1000
        self.failed_at = max(self.failed_at, failed_at)

    def failed_ms(self) -> int:
        """Return how long ago a call last failed, in milliseconds."""
        return round((self._now() - self.failed_at) * 1000)

    def record_failure(self, sent_at: float) -> None:
        """Learn that a call failed.

        Args:
          sent_at: When it was sent, by `clock.now`.
        """
        known_at = max(sent_at, self._now() - SILENCE_DETECTION_S)
        self.failed_at = max(self.failed_at, known_at)

    def longest_silence_s(self, since: float) -> float:
        """Return the longest time without a known answer.

        Args:
          since: Where to begin, by `clock.now`; the end is now.
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
