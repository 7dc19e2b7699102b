"""Decides whether the body of a request arrives too slowly. No I/O.

The idle timeout is restarted by each byte, so without a rate a caller that
sends one byte in a while keeps a connection, and the memory reserved for its
body, for days.
"""

import typing

# A link of 5 Mbit/s that 500 connections share gives each of them more.
DEFAULT_MIN_BYTES_PER_S = 1024.0
# Four idle timeouts: a caller that pauses for almost one of them still has
# the time to send what is needed.
DEFAULT_PERIOD_S = 60.0


class RateRule(typing.NamedTuple):
    """The slowest permitted arrival of a body.

    Attributes:
      min_bytes_per_s: The average rate over a period; 0 for no rule.
      period_s: The length of a period, in seconds.
    """

    min_bytes_per_s: float = DEFAULT_MIN_BYTES_PER_S
    period_s: float = DEFAULT_PERIOD_S


class BodyRate:
    """Measures the arrival of a body in consecutive periods."""

    def __init__(self) -> None:
        """Start without a body."""
        self._began_at = 0.0
        self._bytes = 0

    def restart(self, now: float) -> None:
        """Begin a period: for a new body, or when reading it is resumed."""
        self._began_at = now
        self._bytes = 0

    def add(self, size: int) -> None:
        """Count bytes that arrived."""
        self._bytes += size

    def is_too_slow(self, now: float, rule: RateRule) -> bool:
        """Return whether too little arrived in a period that has ended.

        If enough arrived, the next period begins.
        """
        elapsed_s = now - self._began_at
        if elapsed_s < rule.period_s:
            return False
        if self._bytes < rule.min_bytes_per_s * elapsed_s:
            return True
        self.restart(now)
        return False
