"""Limits the memory used by incomplete responses."""

# Faulty targets send endless responses, and a host has only a few hundred
# megabytes of memory.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class BufferBudget:
    """Counts the bytes of incomplete responses on all connections of a pool.

    Attributes:
      buffered_bytes: The number of bytes buffered now.
      peak_bytes: The highest number of bytes buffered so far.
    """

    def __init__(self) -> None:
        """Create a budget of which nothing is used."""
        self.buffered_bytes = 0
        self.peak_bytes = 0

    def add(self, size: int) -> bool:
        """Count received bytes; return False if the limit is exceeded."""
        self.buffered_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.buffered_bytes)
        return self.buffered_bytes <= MAX_BUFFERED_BYTES

    def remove(self, size: int) -> None:
        """Count bytes that were delivered or discarded."""
        self.buffered_bytes -= size
