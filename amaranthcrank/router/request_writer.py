"""Sends a request in parts, as fast as the server reads it.

A transport copies what it cannot send at once, so it is given only as much as
it asks for.
"""

import asyncio
import collections
import typing

# Longer requests are handed to the transport in parts of this size.
WRITE_BYTES = 64 * 1024


class RequestWriter:
    """The rest of a request that is being sent over a connection."""

    def __init__(self) -> None:
        """Start without a request."""
        self._transport: asyncio.Transport | None = None
        self._unsent: collections.deque[memoryview] = collections.deque()
        self._is_paused = False

    @property
    def is_done(self) -> bool:
        """Whether all of the request was handed to the transport."""
        return not self._unsent

    def write(
        self,
        transport: asyncio.Transport,
        parts: typing.Sequence[bytes | bytearray],
    ) -> None:
        """Send a request; a short one in a single call.

        Args:
          transport: The transport of the connection.
          parts: The encoded request. Long parts are not copied.
        """
        self._transport = transport
        if sum(len(part) for part in parts) <= WRITE_BYTES:
            parts = [b''.join(parts)]
        self._unsent.extend(memoryview(part) for part in parts)
        self._write_more()

    def pause(self) -> None:
        """Keep the rest until the server has read more."""
        self._is_paused = True

    def resume(self) -> None:
        """Send more of the request."""
        self._is_paused = False
        self._write_more()

    def discard(self) -> None:
        """Discard the rest of the request."""
        self._unsent.clear()

    def _write_more(self) -> None:
        while self._unsent and not self._is_paused:
            assert self._transport is not None
            if self._transport.is_closing():
                self.discard()
                return
            part = self._unsent.popleft()
            if len(part) > WRITE_BYTES:
                self._unsent.appendleft(part[WRITE_BYTES:])
            self._transport.write(part[:WRITE_BYTES])
