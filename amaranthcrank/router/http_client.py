"""HTTP/1.1 connections to targets and to the platform's store.

A connection carries one exchange at a time. An answer is matched to its
request by the id that targets echo: an answer with another id is left over
from an earlier exchange and is passed over.
"""

import asyncio
import typing

import h11

from amaranthcrank.router import buffer_budget
from amaranthcrank.router import headers as fields
from amaranthcrank.router import model
from amaranthcrank.router import sockets

# Larger heads are no answers of a target that works.
MAX_HEAD_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Heads of interim answers, and answers to other requests, that may precede
# the answer.
MAX_PRECEDING = 16
# An idle connection is given up this long before the server's own timeout.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 4.0


class Response(typing.NamedTuple):
    """A complete answer.

    Attributes:
      status: The HTTP status.
      headers: All headers.
      body: The whole body.
      is_first_on_connection: Whether nothing preceded it on its connection, so
        that it cannot belong to an earlier request.
    """

    status: int
    headers: fields.Headers
    body: bytes
    is_first_on_connection: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        return fields.find(self.headers, name)


class ConnectError(Exception):
    """No connection could be made; nothing was sent.

    Attributes:
      refused: Whether the address refused, so that nothing listens there.
    """

    def __init__(self, reason: str, refused: bool) -> None:
        """Give the reason and whether the address refused."""
        super().__init__(reason)
        self.refused = refused


class ExchangeError(Exception):
    """The exchange broke after the request was sent: it may have run.

    Attributes:
      disconnected: Whether the connection ended; otherwise the data received
        was not valid HTTP.
      response_started: Whether a part of an answer had arrived.
      timed_out: Whether the connection ended since nothing came from the other
        side any more, not even acknowledgements.
    """

    def __init__(
        self,
        reason: str,
        disconnected: bool,
        response_started: bool,
        timed_out: bool = False,
    ) -> None:
        """Give the reason and how far the exchange came."""
        super().__init__(reason)
        self.disconnected = disconnected
        self.response_started = response_started
        self.timed_out = timed_out


class Connection(asyncio.Protocol):
    """One connection; owned by a pool or by its exchange."""

    def __init__(
        self, budget: buffer_budget.BufferBudget | None = None
    ) -> None:
        """Start unconnected.

        Args:
          budget: Counts with those of other connections.
        """
        self._budget = budget or buffer_budget.BufferBudget()
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.reusable = True
        self._exchanges = 0
        self._http = _new_state()
        # Called whenever a part of an answer arrives.
        self.on_data: typing.Callable[[], None] | None = None
        self._waiter: asyncio.Future[Response] | None = None
        self._expected_id: bytes | None = None
        self._request: h11.Request | None = None
        self._head: h11.Response | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._preceding = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = typing.cast(asyncio.Transport, transport)
        sockets.set_options(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that waits, if any."""
        self.reusable = False
        if self._waiter is not None and not self._waiter.done():
            timed_out = isinstance(exc, TimeoutError)
            self._fail(f'connection lost: {exc or "closed"}', True, timed_out)

    def eof_received(self) -> bool:
        """Finish an answer that ends with its connection."""
        self.reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._feed(b'')
        return False

    def data_received(self, data: bytes) -> None:
        """Read a part of an answer."""
        if self._waiter is None or self._waiter.done():
            # No request waits: these bytes belong to none.
            self.reusable = False
            self.abort()
            return
        if self.on_data is not None:
            self.on_data()
        self._feed(data)

    @property
    def is_open(self) -> bool:
        """Whether a further exchange may start here."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.reusable

    @property
    def is_new(self) -> bool:
        """Whether nothing was sent here yet."""
        return self._exchanges == 0

    def abort(self) -> None:
        """Drop the connection at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self,
        method: bytes,
        path: bytes,
        headers: fields.Headers,
        body: bytes,
        request_id: bytes | None,
    ) -> Response:
        """Send a request and wait for its answer.

        Args:
          method: The HTTP method.
          path: The path with the query.
          headers: All headers, with Host and the length of the body.
          body: The whole body.
          request_id: The id that the answer must carry, or None.

        Returns:
          The complete answer.

        Raises:
          ExchangeError: The connection broke, or the bytes are no answer.
        """
        assert self.transport is not None
        request = h11.Request(method=method, target=path, headers=headers)
        data = self._http.send(request) or b''
        if body:
            data += self._http.send(h11.Data(data=body)) or b''
        data += self._http.send(h11.EndOfMessage()) or b''
        self._request = request
        self._expected_id = request_id
        self._waiter = asyncio.get_running_loop().create_future()
        self._preceding = 0
        self._exchanges += 1
        self.transport.write(data)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiter = None
            self._drop_body()

    def _feed(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError as error:
            if data:
                self._fail(f'no valid answer: {error}', disconnected=False)
                return
            self._fail('closed before the end of an answer', disconnected=True)

    def _read_events(self) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                self._count_preceding()
                continue
            if isinstance(event, h11.Response):
                self._head = event
                self._drop_body()
                continue
            if isinstance(event, h11.Data):
                self._add_body(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage):
                if self._finish():
                    return
                continue
            if isinstance(event, h11.ConnectionClosed):
                self._fail('closed without an answer', disconnected=True)
                return

    def _add_body(self, data: bytes) -> None:
        self._body_size += len(data)
        has_room = self._budget.add(len(data))
        if self._body_size > MAX_RESPONSE_BYTES or not has_room:
            raise h11.RemoteProtocolError('the answer is too long')
        self._body.append(data)

    def _drop_body(self) -> None:
        self._budget.remove(self._body_size)
        self._body = []
        self._body_size = 0

    def _count_preceding(self) -> None:
        self._preceding += 1
        if self._preceding > MAX_PRECEDING:
            raise h11.RemoteProtocolError('no answer among many')

    def _finish(self) -> bool:
        """Deliver the answer; return False where it was another's."""
        assert self._head is not None
        answer = Response(
            self._head.status_code,
            list(self._head.headers),
            _join(self._body),
            self._exchanges == 1 and self._preceding == 0,
        )
        self._head = None
        self._drop_body()
        echoed = answer.header(b'x-request-id')
        if self._expected_id is not None and echoed is not None:
            if echoed != self._expected_id:
                self._pass_over()
                return False
        self._note_keep_alive(answer)
        self._prepare_next()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)
        return True

    def _pass_over(self) -> None:
        """Wait again for the answer, behind one of an earlier exchange."""
        self._count_preceding()
        self.reusable = False
        trailing = self._http.trailing_data[0]
        closed = self._http.their_state is h11.MUST_CLOSE
        self._http = _new_state()
        assert self._request is not None
        # The request is not sent again: only the state is brought to where
        # an answer is due.
        self._http.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=[(b'host', b'-')],
            )
        )
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)
        if closed and not trailing:
            self._http.receive_data(b'')

    def _note_keep_alive(self, answer: Response) -> None:
        value = answer.header(b'keep-alive')
        if value is None:
            return
        for part in value.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() == b'timeout' and seconds.isdigit():
                limit = int(seconds) - IDLE_MARGIN_S
                self.idle_limit_s = max(0.0, limit)

    def _prepare_next(self) -> None:
        try:
            if self._http.trailing_data[0]:
                self.reusable = False
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            # `Connection: close`, or an answer without a length.
            self.reusable = False

    def _fail(
        self, reason: str, disconnected: bool, timed_out: bool = False
    ) -> None:
        response_started = self._head is not None
        self.reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                ExchangeError(
                    reason, disconnected, response_started, timed_out
                )
            )
        if self.transport is not None:
            self.transport.abort()


def _new_state() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _join(parts: list[bytes]) -> bytes:
    if len(parts) == 1:
        return parts[0]
    return b''.join(parts)


async def connect(
    address: model.Address,
    timeout_s: float,
    budget: buffer_budget.BufferBudget | None = None,
) -> Connection:
    """Open a connection.

    Args:
      address: The server.
      timeout_s: How long opening may take.
      budget: Counts the bytes of its answers with those of others.

    Raises:
      ConnectError: The address refuses or does not answer in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(budget), address.ip, address.port
            )
    except TimeoutError as error:
        raise ConnectError('no answer to connecting', False) from error
    except ConnectionRefusedError as error:
        raise ConnectError('refused', True) from error
    except OSError as error:
        # A reset while connecting: a listener was there, or is going.
        raise ConnectError(str(error), False) from error
    return connection
