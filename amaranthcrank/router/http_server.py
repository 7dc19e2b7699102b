"""HTTP/1.1 server for callers.

Each connection handles one request at a time. If a caller closes its
connection, the handler of the request in progress is cancelled.
"""

import asyncio
import contextlib
import typing

import h11

from amaranthcrank.router import headers as header_fields
from amaranthcrank.router import model
from amaranthcrank.router import request_body
from amaranthcrank.router import upload_budget

# Used until a ticket is in force, which sets its own limits.
DEFAULT_LIMITS = model.CallerLimits(16384, 64 * 1024 * 1024, 3.0, 15.0)
TIMEOUT_CHECK_INTERVAL_S = 0.5
BACKLOG = 1024
# Reading from a connection pauses when more than this has been received behind
# a request that is still being handled.
MAX_PIPELINED_BYTES = 64 * 1024
# Retry-After for a request whose long body got no memory.
UPLOAD_RETRY_AFTER_S = 1.0
# How long data behind a rejected request is read and discarded. Closing a
# connection with unread data resets it, and the caller loses the response.
DISCARD_S = 2.0
# Callers that read slowly keep responses in memory. Beyond this sum, those
# that have made no progress for longest are disconnected.
MAX_UNSENT_BYTES = 32 * 1024 * 1024


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
      close: Whether to close the connection after the response.
    """

    status: int
    headers: header_fields.Headers
    body: bytes
    close: bool = False


Handler = typing.Callable[[Request], typing.Awaitable[Response]]


class Server:
    """Accepts connections of callers and keeps track of them.

    Attributes:
      handler: Produces the response to a request.
      limits: Limits on requests and connections; replaced when a ticket
        comes into force.
      draining: Whether responses carry `Connection: close`.
      active_requests: The number of requests being handled.
      connections: All open connections.
      uploads: Limits the memory used by bodies of requests.
      on_handler_error: Called with each exception of the handler.
    """

    def __init__(self, handler: Handler) -> None:
        """Create a server that does not listen yet.

        Args:
          handler: Produces the response to a request.
        """
        self.handler = handler
        self.limits = DEFAULT_LIMITS
        self.draining = False
        self.active_requests = 0
        self.connections: set[CallerConnection] = set()
        self.uploads = upload_budget.UploadBudget()
        self.on_handler_error: typing.Callable[[Exception], None] | None = None
        self._listeners: list[asyncio.Server] = []

    async def listen(self, address: model.Address) -> None:
        """Start to accept connections at an address.

        May be called again to listen at further addresses.

        Raises:
          OSError: Binding to the address failed.
        """
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: CallerConnection(self),
            address.ip,
            address.port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._listeners.append(listener)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def close_idle(self) -> None:
        """Close connections on which no request is being read or handled.

        New connections without a request so far are kept, as their first
        request is probably in transit.
        """
        for connection in list(self.connections):
            if connection.is_idle and connection.requests_served:
                connection.close()

    @property
    def is_busy(self) -> bool:
        """Whether a request is handled or a response not taken completely."""
        if self.active_requests:
            return True
        return any(each.unsent_bytes for each in self.connections)

    async def enforce_timeouts(self) -> None:
        """Close connections that exceed the timeouts; runs until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for connection in list(self.connections):
                connection.check_timeouts(now, self.limits)
            self._limit_unsent_bytes()

    def _limit_unsent_bytes(self) -> None:
        unsent_bytes = sum(each.unsent_bytes for each in self.connections)
        if unsent_bytes <= MAX_UNSENT_BYTES:
            return
        by_progress = sorted(
            self.connections, key=lambda each: each.progress_at
        )
        for connection in by_progress:
            if unsent_bytes <= MAX_UNSENT_BYTES:
                return
            unsent_bytes -= connection.unsent_bytes
            if connection.unsent_bytes:
                connection.abort()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()


class CallerConnection(asyncio.Protocol):
    """A connection of a caller.

    Attributes:
      requests_served: The number of requests handled on this connection.
      progress_at: When the caller was last seen to have taken data of a
        response, or had taken all of it, in event loop time.
    """

    def __init__(self, server: Server) -> None:
        """Create the protocol of a connection that a server accepts."""
        self.requests_served = 0
        self.progress_at = 0.0
        self._unsent_bytes_before = 0
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._request_head: h11.Request | None = None
        self._body = request_body.RequestBody(
            server.uploads,
            self._pause_upload,
            self._resume_upload,
            self._reject_upload,
        )
        self._is_discarding = False
        self._handler_task: asyncio.Task[None] | None = None
        self._timer_started_at = 0.0
        self._data_arrived_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server and start the timeouts."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._timer_started_at = asyncio.get_running_loop().time()
        self.progress_at = self._timer_started_at
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, whose caller is gone."""
        self._server.connections.discard(self)
        self._body.release()
        if self._handler_task is not None:
            self._handler_task.cancel()

    def eof_received(self) -> bool:
        """Close the connection when the caller half-closes it."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the handler when it is complete."""
        if self._is_discarding:
            return
        self._data_arrived_at = asyncio.get_running_loop().time()
        if self.is_idle:
            self._timer_started_at = self._data_arrived_at
        with contextlib.suppress(h11.RemoteProtocolError):
            # next_event() reports the error.
            self._http.receive_data(data)
        if self._handler_task is None:
            self._read_events()
            return
        pipelined_bytes = len(self._http.trailing_data[0])
        if (
            pipelined_bytes > MAX_PIPELINED_BYTES
            and self._transport is not None
        ):
            self._transport.pause_reading()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        if self._handler_task is not None or self._request_head is not None:
            return False
        return not self._http.trailing_data[0]

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that wait to be sent to the caller."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def check_timeouts(self, now: float, limits: model.CallerLimits) -> None:
        """Close the connection if it exceeds a timeout.

        A body may take any time, as long as data of it arrives within the
        idle timeout.

        Args:
          now: The current event loop time.
          limits: The timeouts to enforce.
        """
        self._check_progress(now, limits.idle_timeout_s)
        if self._handler_task is not None:
            return
        if self._body.is_waiting or self._is_discarding:
            return
        elapsed = now - self._timer_started_at
        if self.is_idle:
            if elapsed > limits.idle_timeout_s:
                self.close()
            return
        if self._request_head is None:
            if elapsed > limits.header_timeout_s:
                self._send_error(408, b'the header took too long')
            return
        if now - self._data_arrived_at > limits.idle_timeout_s:
            self._send_error(408, b'the body took too long')

    def _check_progress(self, now: float, timeout_s: float) -> None:
        """Disconnect a caller that does not take its response.

        Closing would wait for the caller, and keep the response in memory.
        """
        unsent_bytes = self.unsent_bytes
        if not self._unsent_bytes_before:
            # Nothing waited at the last check.
            self.progress_at = now
        if unsent_bytes < self._unsent_bytes_before:
            self.progress_at = now
        self._unsent_bytes_before = unsent_bytes
        if now - self.progress_at > timeout_s:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def _read_events(self) -> None:
        try:
            while self._handler_task is None and not self._body.is_waiting:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._send_continue_if_expected()
                    return
                if event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    self.close()
                    return
                self._on_event(event)
        except h11.RemoteProtocolError as error:
            self._send_error(error.error_status_hint, str(error).encode())

    def _on_event(self, event: typing.Any) -> None:
        if isinstance(event, h11.Request):
            self._request_head = event
            self._body.begin(event, self._server.limits.body_bytes)
            return
        if isinstance(event, h11.Data):
            self._body.add(event.data)
            return
        if (
            isinstance(event, h11.EndOfMessage)
            and self._request_head is not None
        ):
            self._start_handler(self._request_head)

    def _pause_upload(self) -> None:
        """Stop reading a body that waits for memory."""
        if self._transport is not None:
            self._transport.pause_reading()

    def _resume_upload(self) -> None:
        """Read the body that waited for memory."""
        self._data_arrived_at = asyncio.get_running_loop().time()
        if self._transport is not None:
            self._transport.resume_reading()
        self._read_events()

    def _reject_upload(self) -> None:
        """Reject a request whose body got no memory in time."""
        retry_after = f'{UPLOAD_RETRY_AFTER_S:.0f}'.encode()
        self._send_error(
            503, b'too many long requests', [(b'retry-after', retry_after)]
        )

    def _send_continue_if_expected(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def _start_handler(self, head: h11.Request) -> None:
        loop = asyncio.get_running_loop()
        request = Request(
            head.method,
            head.target,
            list(head.headers),
            self._body.take(),
            loop.time(),
        )
        self._server.active_requests += 1
        self._handler_task = loop.create_task(self._run_handler(request))

    async def _run_handler(self, request: Request) -> None:
        try:
            response = await self._server.handler(request)
            self._send_response(response)
        except Exception as error:
            # Without an answer the caller would wait until its deadline. The
            # request may have run.
            if self._server.on_handler_error is not None:
                self._server.on_handler_error(error)
            self._send_error(500, b'internal error')
        finally:
            self._server.active_requests -= 1
            self._handler_task = None
            self._body.release()
        self.requests_served += 1
        self._start_next_cycle()

    def _send_response(self, response: Response) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        headers = response.headers + [
            (b'content-length', str(len(response.body)).encode())
        ]
        if response.close or self._server.draining:
            headers.append((b'connection', b'close'))
        self._write(
            h11.Response(status_code=response.status, headers=headers),
            h11.Data(data=response.body),
            h11.EndOfMessage(),
        )

    def _start_next_cycle(self) -> None:
        """Read the next request, which may have been received already."""
        self._request_head = None
        if self._transport is None or self._transport.is_closing():
            return
        if self._http.our_state is not h11.DONE:
            self.close()
            return
        if self._http.their_state is not h11.DONE:
            self.close()
            return
        self._http.start_next_cycle()
        self._timer_started_at = asyncio.get_running_loop().time()
        self._transport.resume_reading()
        self._read_events()

    def _send_error(
        self,
        status: int,
        reason: bytes,
        extra_headers: header_fields.Headers | None = None,
    ) -> None:
        """Send an error without calling the handler, and close."""
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', str(len(reason)).encode()),
            (b'connection', b'close'),
            *(extra_headers or ()),
        ]
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write(
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=reason),
                h11.EndOfMessage(),
            )
        self._body.release()
        if self._http.their_state is h11.SEND_BODY:
            self._discard_then_close()
            return
        self.close()

    def _discard_then_close(self) -> None:
        """Close after the caller had time to read the response."""
        self._is_discarding = True
        if self._transport is not None:
            self._transport.resume_reading()
        asyncio.get_running_loop().call_later(DISCARD_S, self.close)

    def _write(self, *events: typing.Any) -> None:
        if self._transport is None:
            return
        data = [self._http.send(event) or b'' for event in events]
        self._transport.write(b''.join(data))
