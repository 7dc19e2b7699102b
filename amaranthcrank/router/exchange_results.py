"""What sending a request to a server results in: a response or an error."""

import typing

from amaranthcrank.router import headers as header_fields


class Response(typing.NamedTuple):
    """A complete response.

    Attributes:
      status: The HTTP status code.
      headers: All headers, names in lower case.
      body: The complete body.
      is_first_on_connection: Whether nothing preceded it on its connection, so
        that it cannot belong to an earlier request.
    """

    status: int
    headers: header_fields.Headers
    body: bytes
    is_first_on_connection: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None.

        Args:
          name: The name in lower case.
        """
        return header_fields.find(self.headers, name)


class ConnectError(Exception):
    """No connection could be opened, so nothing was sent.

    Attributes:
      refused: Whether the connection was refused, which shows that nothing
        listens at the address.
    """

    def __init__(self, reason: str, refused: bool) -> None:
        """Create the error.

        Args:
          reason: The message.
          refused: Whether the connection was refused.
        """
        super().__init__(reason)
        self.refused = refused


class ExchangeError(Exception):
    """A request was sent and may have run, but got no valid response.

    Attributes:
      disconnected: Whether the connection ended; otherwise the data received
        was invalid or exceeded a limit.
      response_started: Whether the headers of a response had arrived.
      timed_out: Whether TCP closed the connection because the peer no longer
        acknowledged data.
    """

    def __init__(
        self,
        reason: str,
        disconnected: bool,
        response_started: bool,
        timed_out: bool = False,
    ) -> None:
        """Create the error; see the attributes of the class."""
        super().__init__(reason)
        self.disconnected = disconnected
        self.response_started = response_started
        self.timed_out = timed_out
