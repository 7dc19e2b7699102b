"""Bounds the memory that answers may take before they are whole."""

# Faulty targets send without end, and a host has a few hundred megabytes.
MAX_UNFINISHED_BYTES = 48 * 1024 * 1024


class UnfinishedAnswers:
    """The bytes of answers that have not arrived whole, of all connections.

    Attributes:
      size: How many there are.
      peak: The most that there were.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.size = 0
        self.peak = 0

    def add(self, size: int) -> bool:
        """Count bytes that arrived; False: there are too many in all."""
        self.size += size
        self.peak = max(self.peak, self.size)
        return self.size <= MAX_UNFINISHED_BYTES

    def remove(self, size: int) -> None:
        """Count bytes that were handed over or dropped."""
        self.size -= size
