"""Reads the lines of an upstream's answer strictly.

`http.client` takes the end of a connection within a head for the end of the
head, and waits behind interim answers for as long as bytes arrive.
"""

import http.client
import time
import typing

from urllib3 import exceptions

# `http.client` asks for one byte more and calls a longer line an error.
MAX_LINE_BYTES = 65536


class LineReader:
    """A socket's file whose lines are whole and come in time.

    A head, and likewise trailers, end with a blank line.
    """

    def __init__(
        self, file: typing.Any, sock: typing.Any, deadline_at: float
    ) -> None:
        """Wrap a file.

        Args:
          file: What the socket's bytes are read from.
          sock: The socket.
          end: Until when lines may be read, in monotonic seconds.
        """
        self._file = file
        self._sock = sock
        self._deadline_at = deadline_at
        self._in_header_section = False

    def __getattr__(self, name: str) -> typing.Any:
        """Leave all but lines to the file."""
        return getattr(self._file, name)

    def readline(self, limit: int = MAX_LINE_BYTES + 1) -> bytes:
        """Return a line, or nothing where the connection ended before it.

        Raises:
          TimeoutError: The time is over.
          ProtocolError: The connection ended within a line or a head.
        """
        remaining_s = self._deadline_at - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('the deadline passed within the answer')
        if self._sock.fileno() >= 0:
            self._sock.settimeout(remaining_s)
        line = self._file.readline(limit)
        is_complete = line.endswith(b'\n') or len(line) == limit
        if not is_complete and (line or self._in_header_section):
            raise exceptions.ProtocolError('the answer ended within its head')
        self._in_header_section = line not in (b'', b'\n', b'\r\n')
        return line


class Response(http.client.HTTPResponse):
    """A response whose head has to be whole."""

    def __init__(
        self, sock: typing.Any, deadline_at: float, **kwargs: typing.Any
    ) -> None:
        """Read from a socket until a moment, in monotonic seconds."""
        super().__init__(sock, **kwargs)
        self.fp = LineReader(self.fp, sock, deadline_at)
