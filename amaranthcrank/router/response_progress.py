"""Tells whether a caller takes the responses that are sent to it."""


class ResponseProgress:
    """How far the responses of a connection were taken by its caller.

    Attributes:
      at: When the caller was last seen to have taken data of a response, or
        had taken all of it, in event loop time.
    """

    def __init__(self) -> None:
        """Start without a response."""
        self.at = 0.0
        self._written_bytes = 0
        self._taken_bytes_before = 0
        self._unsent_bytes_before = 0

    def record_write(self, size: int) -> None:
        """Record that data of a response was handed to the transport."""
        self._written_bytes += size

    def update(self, now: float, unsent_bytes: int) -> float:
        """Compare what is unsent with the last check.

        Args:
          now: The event loop time.
          unsent_bytes: How much of what was written waits to be sent.

        Returns:
          For how many seconds the caller has not been seen to take data.
        """
        taken_bytes = self._written_bytes - unsent_bytes
        if not self._unsent_bytes_before:
            # Nothing waited at the last check.
            self.at = now
        if taken_bytes > self._taken_bytes_before:
            self.at = now
        self._taken_bytes_before = taken_bytes
        self._unsent_bytes_before = unsent_bytes
        return now - self.at
