"""Strict reading of the header lines of an upstream's response.

`http.client` accepts a connection that is closed within the header section as
the end of that section, and reads interim (1xx) responses for as long as bytes
arrive.
"""

import http.client
import time
import typing

from urllib3 import exceptions

# `http.client` reads one byte more and rejects a longer line.
MAX_LINE_BYTES = 65536


class LineReader:
    """Wraps a socket's file; lines must be complete and arrive in time.

    A header section, and likewise a trailer section, ends with a blank line.
    """

    def __init__(
        self, file: typing.Any, sock: typing.Any, deadline_at: float
    ) -> None:
        """Wrap a file.

        Args:
          file: The file object that reads from the socket.
          sock: The socket.
          deadline_at: Until when lines may be read, monotonic seconds.
        """
        self._file = file
        self._sock = sock
        self._deadline_at = deadline_at
        self._in_header_section = False

    def __getattr__(self, name: str) -> typing.Any:
        """Delegate everything but `readline` to the file."""
        return getattr(self._file, name)

    def readline(self, limit: int = MAX_LINE_BYTES + 1) -> bytes:
        """Return a line, or b'' if the connection was closed before it.

        Raises:
          TimeoutError: The deadline has passed.
          ProtocolError: The connection was closed within a line or a header
            section.
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
    """A response whose header section must be complete."""

    def __init__(
        self, sock: typing.Any, deadline_at: float, **kwargs: typing.Any
    ) -> None:
        """Read from a socket until a deadline in monotonic seconds."""
        super().__init__(sock, **kwargs)
        self.fp = LineReader(self.fp, sock, deadline_at)
