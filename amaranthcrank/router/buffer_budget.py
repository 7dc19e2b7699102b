"""Bounds the memory that incomplete responses may take."""

# Faulty targets send without end, and a host has a few hundred megabytes.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class BufferBudget:
    """Counts the bytes of incomplete responses on all connections of a pool.

    Attributes:
      buffered_bytes: The current number of bytes.
      peak_bytes: The highest number of bytes so far.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.buffered_bytes = 0
        self.peak_bytes = 0

    def add(self, size: int) -> bool:
        """Count bytes that arrived; return False if the total is too large."""
        self.buffered_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.buffered_bytes)
        return self.buffered_bytes <= MAX_BUFFERED_BYTES

    def remove(self, size: int) -> None:
        """Count bytes that were handed over or dropped."""
        self.buffered_bytes -= size
