"""Requests and responses of callers, as handlers see them."""

import typing

from amaranthcrank.router import headers as header_fields


class Request(typing.NamedTuple):
    """A complete request of a caller.

    Attributes:
      method: The HTTP method.
      path: The request target, that is path and query, as received.
      headers: All headers, names in lower case.
      body: The complete body, without transfer encoding. A long one is not
        copied, and must not be changed.
      arrived_at: When the last byte arrived, in event loop time.
    """

    method: bytes
    path: bytes
    headers: header_fields.Headers
    body: bytes | bytearray
    arrived_at: float

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None.

        Args:
          name: The name in lower case.
        """
        return header_fields.find(self.headers, name)


class Response(typing.NamedTuple):
    """A response to a caller.

    Attributes:
      status: The HTTP status code.
      headers: The headers except Content-Length and Connection, which the
        server adds.
      body: The complete body.
      close: Whether to close the connection after the response, or after the
        last one to the requests that were started behind.
    """

    status: int
    headers: header_fields.Headers
    body: bytes
    close: bool = False


Handler = typing.Callable[[Request], typing.Awaitable[Response]]
IdempotencyCheck = typing.Callable[[Request], bool]
