"""Bounds the memory that answers may take before they are whole."""

# Faulty targets send without end, and a host has a few hundred megabytes.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class BufferBudget:
    """The bytes of answers that have not arrived whole, of all connections.

    Attributes:
      buffered_bytes: How many there are.
      peak_bytes: The most that there were.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.buffered_bytes = 0
        self.peak_bytes = 0

    def add(self, size: int) -> bool:
        """Count bytes that arrived; False: there are too many in all."""
        self.buffered_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.buffered_bytes)
        return self.buffered_bytes <= MAX_BUFFERED_BYTES

    def remove(self, size: int) -> None:
        """Count bytes that were handed over or dropped."""
        self.buffered_bytes -= size
