"""Tracks whether a caller takes the responses that are sent to it. No I/O."""


class ResponseProgress:
    """The progress of one connection, seen at regular checks.

    Attributes:
      made_at: When the caller was last seen to have taken data of a response,
        or had taken all of it, in event loop time.
    """

    def __init__(self) -> None:
        """Start without responses."""
        self.made_at = 0.0
        self._written_bytes = 0
        self._taken_bytes_before = 0
        self._unsent_bytes_before = 0

    def record_write(self, size: int) -> None:
        """Count bytes that were given to the transport."""
        self._written_bytes += size

    def check(self, unsent_bytes: int, now: float) -> None:
        """Update the progress.

        Args:
          unsent_bytes: The bytes that wait to be sent to the caller.
          now: The event loop's time.
        """
        taken_bytes = self._written_bytes - unsent_bytes
        had_taken_all = not self._unsent_bytes_before
        if had_taken_all or taken_bytes > self._taken_bytes_before:
            self.made_at = now
        self._taken_bytes_before = taken_bytes
        self._unsent_bytes_before = unsent_bytes
