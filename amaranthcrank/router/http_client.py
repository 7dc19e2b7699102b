"""HTTP/1.1 client for targets, other hosts and the platform's store.

A connection carries one request and its response at a time. Targets echo the
request id, by which a response is matched to its request: one with another id
belongs to an earlier request and is skipped.
"""

import asyncio
import re
import typing

import h11

from amaranthcrank.router import buffer_budget
from amaranthcrank.router import clock
from amaranthcrank.router import exchange_results
from amaranthcrank.router import headers as header_fields
from amaranthcrank.router import model
from amaranthcrank.router import request_writer
from amaranthcrank.router import sockets

__all__ = [
    'MAX_IDLE_S',
    'MAX_RESPONSE_BYTES',
    'ConnectError',
    'Connection',
    'ExchangeError',
    'Response',
    'connect',
]

ConnectError = exchange_results.ConnectError
ExchangeError = exchange_results.ExchangeError
Response = exchange_results.Response

# No working target sends a larger status line and headers.
MAX_HEAD_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
TOO_LONG = 'the answer is too long'
MAX_STATUS = 599
# Interim (1xx) responses, and responses to earlier requests, accepted before
# the awaited response.
MAX_SKIPPED_RESPONSES = 16
# Idle connections are discarded this long before the keep-alive timeout that
# the server announced.
IDLE_MARGIN_S = 1.0
# The idle limit unless the server announces another timeout.
DEFAULT_IDLE_S = 4.0
# Bounds the connections that are kept although they are seldom used.
MAX_IDLE_S = 30.0

_WHOLE = re.compile(rb'[0-9]{1,9}')


class Connection(asyncio.Protocol):
    """A client connection.

    Attributes:
      transport: The transport, once connected.
      idle_since: When the pool took the connection back, by the pool's clock.
      idle_limit_s: How long the connection may be idle and still be used.
      identified_at: When the last response arrived that named its request, by
        `clock.now`; 0.0 if the last one did not, or there was none.
      reusable: Whether the state of the connection permits another request.
      on_data: Called whenever data of a response arrives.
      on_head: Called with the status and the headers of each final response,
        also of those that are skipped or not awaited any more.
    """

    def __init__(
        self,
        address: model.Address,
        budget: buffer_budget.BufferBudget | None = None,
    ) -> None:
        """Create the protocol of a connection that is not open yet.

        Args:
          address: The server's address.
          budget: The memory limit shared with other connections.
        """
        self._budget = budget or buffer_budget.BufferBudget()
        self._account = buffer_budget.Account(address, self._on_evicted)
        self._max_response_bytes = MAX_RESPONSE_BYTES
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.idle_limit_s = DEFAULT_IDLE_S
        self.reusable = True
        self.identified_at = 0.0
        self._request_count = 0
        self._http = _new_http_state()
        self.on_data: typing.Callable[[], None] | None = None
        self.on_head: (
            typing.Callable[[int, header_fields.Headers], None] | None
        ) = None
        self._waiter: asyncio.Future[Response] | None = None
        self._expected_id: bytes | None = None
        self._sent_request: h11.Request | None = None
        self._response_head: h11.Response | None = None
        self._body: list[bytes] = []
        self._writer = request_writer.RequestWriter()
        self._skipped_responses = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        self.transport = typing.cast(asyncio.Transport, transport)
        sockets.set_options(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request, if any."""
        self.reusable = False
        if self._waiter is not None and not self._waiter.done():
            timed_out = isinstance(exc, TimeoutError)
            self._fail(f'connection lost: {exc or "closed"}', True, timed_out)

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection."""
        self.reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._parse(b'')
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self._waiter is None or self._waiter.done():
            # Data without a pending request belongs to no response.
            self.reusable = False
            self.abort()
            return
        if self.on_data is not None:
            self.on_data()
        self._parse(data)

    def use_for(self, group: str, max_response_bytes: int) -> None:
        """Set what the connection is used for next.

        Args:
          group: What its responses are counted as, such as a service. Those
            of the group that uses the most memory give way first.
          max_response_bytes: The limit of a body. Responses that announce or
            have more are given up.
        """
        self._account.group = group
        self._max_response_bytes = max_response_bytes

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent on this connection."""
        if self.transport is None or self.transport.is_closing():
            return False
        return self.reusable

    @property
    def is_request_sent(self) -> bool:
        """Whether all of the request was handed to the transport."""
        return self._writer.is_done

    @property
    def is_new(self) -> bool:
        """Whether no request was sent on this connection yet."""
        return self._request_count == 0

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        self.reusable = False
        self._writer.discard()
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self,
        method: bytes,
        path: bytes,
        headers: header_fields.Headers,
        body: bytes | bytearray,
        request_id: bytes | None,
        on_sent: typing.Callable[[], None] | None = None,
    ) -> Response:
        """Send a request and wait for its response.

        Cancelling the call closes the connection.

        Args:
          method: The HTTP method.
          path: The path with the query.
          headers: All headers, including Host and Content-Length.
          body: The complete body.
          request_id: Responses that carry another id are skipped; with None
            the first final response is taken.
          on_sent: Called once the request was handed to the transport; the
            rest of a long one may follow.

        Raises:
          ExchangeError: The connection was lost, or the data received was not
            a valid response.
        """
        assert self.transport is not None
        request = h11.Request(method=method, target=path, headers=headers)
        parts = self._encode(request, body)
        self._sent_request = request
        self._expected_id = request_id
        self._waiter = asyncio.get_running_loop().create_future()
        self._skipped_responses = 0
        self._request_count += 1
        if self.transport.is_closing():
            # Nothing would ever end the wait.
            self._fail('connection lost before sending', disconnected=True)
        self._writer.write(self.transport, parts)
        if on_sent is not None:
            on_sent()
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            self._waiter = None
            self._discard_body()

    def _encode(
        self, request: h11.Request, body: bytes | bytearray
    ) -> list[bytes | bytearray]:
        """Return the parts of a request; the body is not copied."""
        events: list[typing.Any] = [request]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        parts: list[bytes | bytearray] = []
        for event in events:
            parts += self._http.send_with_data_passthrough(event) or ()
        return parts

    def pause_writing(self) -> None:
        """Keep the rest of the request until the server has read more."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Send more of the request."""
        self._writer.resume()

    def _parse(self, data: bytes) -> None:
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
                self._count_skipped_response()
                continue
            if isinstance(event, h11.Response):
                _check_status(event)
                self._response_head = event
                self._discard_body()
                self._check_announced_length(event)
                if self.on_head is not None:
                    self.on_head(event.status_code, list(event.headers))
                continue
            if isinstance(event, h11.Data):
                self._add_body(bytes(event.data))
                continue
            if isinstance(event, h11.EndOfMessage):
                if self._complete_response():
                    return
                continue
            if isinstance(event, h11.ConnectionClosed):
                self._fail('closed without an answer', disconnected=True)
                return

    def _check_announced_length(self, head: h11.Response) -> None:
        """Give up a response at once whose body would exceed the limit."""
        assert self._sent_request is not None
        if self._sent_request.method == b'HEAD':
            return
        length = header_fields.find(list(head.headers), b'content-length')
        if length is not None and int(length) > self._max_response_bytes:
            raise h11.RemoteProtocolError(TOO_LONG)

    def _add_body(self, data: bytes) -> None:
        self._body.append(data)
        if not self._budget.add(self._account, len(data)):
            raise h11.RemoteProtocolError(TOO_LONG)
        if self._account.size > self._max_response_bytes:
            raise h11.RemoteProtocolError(TOO_LONG)

    def _on_evicted(self) -> None:
        """Give up the response, as its memory is needed for others."""
        self._discard_body()
        self._fail(f'no valid answer: {TOO_LONG}', disconnected=False)

    def _discard_body(self) -> None:
        self._budget.remove_all(self._account)
        self._body = []

    def _count_skipped_response(self) -> None:
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise h11.RemoteProtocolError('no answer among many')

    def _complete_response(self) -> bool:
        """Deliver a complete response to the waiting call.

        Returns:
          False if the response belongs to another request and was skipped.
        """
        assert self._response_head is not None
        response = Response(
            self._response_head.status_code,
            list(self._response_head.headers),
            _join_parts(self._body),
            self._request_count == 1 and self._skipped_responses == 0,
        )
        self._response_head = None
        self._discard_body()
        echoed_id = response.header(b'x-request-id')
        self.identified_at = 0.0 if echoed_id is None else clock.now()
        if self._expected_id is not None and echoed_id is not None:
            if echoed_id != self._expected_id:
                self._skip_response()
                return False
        self._apply_keep_alive(response)
        self._prepare_next_request()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(response)
        return True

    def _skip_response(self) -> None:
        """Discard a response of an earlier request and wait for the next."""
        self._count_skipped_response()
        self.reusable = False
        trailing = self._http.trailing_data[0]
        must_close = self._http.their_state is h11.MUST_CLOSE
        self._http = _new_http_state()
        assert self._sent_request is not None
        # Only sets the state of the new parser to awaiting a response; these
        # bytes are not sent.
        self._http.send(
            h11.Request(
                method=self._sent_request.method,
                target=self._sent_request.target,
                headers=[(b'host', b'-')],
            )
        )
        self._http.send(h11.EndOfMessage())
        if trailing:
            self._http.receive_data(trailing)
        if must_close and not trailing:
            self._http.receive_data(b'')

    def _apply_keep_alive(self, response: Response) -> None:
        value = response.header(b'keep-alive')
        if value is None:
            return
        for part in value.split(b','):
            name, _, seconds = part.strip().partition(b'=')
            if name.lower() != b'timeout' or not _WHOLE.fullmatch(seconds):
                continue
            limit_s = int(seconds) - IDLE_MARGIN_S
            self.idle_limit_s = min(MAX_IDLE_S, max(0.0, limit_s))

    def _prepare_next_request(self) -> None:
        if not self._writer.is_done:
            # Answered early; the server expects the rest of the body next.
            self.reusable = False
        try:
            if self._http.trailing_data[0]:
                self.reusable = False
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            # `Connection: close`, or a response without a length.
            self.reusable = False

    def _fail(
        self, reason: str, disconnected: bool, timed_out: bool = False
    ) -> None:
        response_started = self._response_head is not None
        self.reusable = False
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                ExchangeError(
                    reason, disconnected, response_started, timed_out
                )
            )
        self.abort()


def _check_status(head: h11.Response) -> None:
    """Reject a final response whose status is of no class of HTTP.

    Raises:
      RemoteProtocolError: The status is above 599; the parser rejects those
        below 100.
    """
    if head.status_code > MAX_STATUS:
        raise h11.RemoteProtocolError(f'status {head.status_code}')


def _new_http_state() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _join_parts(parts: list[bytes]) -> bytes:
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
      address: The server's address.
      timeout_s: The time limit for opening the connection.
      budget: The memory limit shared with other connections.

    Raises:
      ConnectError: The connection failed or was not opened in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: Connection(address, budget),
                address.ip,
                address.port,
            )
    except TimeoutError as error:
        raise ConnectError('no answer to connecting', False) from error
    except ConnectionRefusedError as error:
        raise ConnectError('refused', True) from error
    except OSError as error:
        # A reset during connecting does not count as refused: something was
        # listening, though it may be shutting down.
        raise ConnectError(str(error), False) from error
    return connection
