"""HTTP/1.1 connections of callers.

A connection serves one request at a time. A request that the handler works
on is cancelled when its caller closes the connection.
"""

import asyncio
import contextlib
import typing

import h11

from amaranthcrank.router import headers as fields
from amaranthcrank.router import model

# The ticket's limits apply once there is a ticket.
DEFAULT_LIMITS = model.CallerLimits(16384, 64 * 1024 * 1024, 3.0, 15.0)
TIMEOUT_CHECK_INTERVAL_S = 0.5
BACKLOG = 1024
# A caller that sends more behind a request that is still at work is not read
# any further until that one is answered.
MAX_UNREAD_BYTES = 64 * 1024


class Request(typing.NamedTuple):
    """A whole request of a caller.

    Attributes:
      method: The HTTP method.
      path: The path with the query, as sent.
      headers: All headers, names in lower case.
      body: The whole body.
      arrived_at: When its last byte arrived, the event loop's time.
    """

    method: bytes
    path: bytes
    headers: fields.Headers
    body: bytes
    arrived_at: float

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        return fields.find(self.headers, name)


class Response(typing.NamedTuple):
    """What a caller is answered.

    Attributes:
      status: The HTTP status.
      headers: fields.Headers, without those on length and connection.
      body: The whole body.
      close: Whether to close the connection behind it.
    """

    status: int
    headers: fields.Headers
    body: bytes
    close: bool = False


Handler = typing.Callable[[Request], typing.Awaitable[Response]]


class Server:
    """Listens for callers and owns their connections.

    Attributes:
      limits: What callers may send; replaced with the ticket.
      draining: Whether answers ask callers to close their connection.
      active_requests: How many requests are at work.
    """

    def __init__(self, handler: Handler) -> None:
        """Serve requests by a handler."""
        self.handler = handler
        self.limits = DEFAULT_LIMITS
        self.draining = False
        self.active_requests = 0
        self.connections: set[CallerConnection] = set()
        self._listeners: list[asyncio.Server] = []

    async def listen(self, address: model.Address) -> None:
        """Start to accept connections, also at a further address.

        Raises:
          OSError: The address cannot be used.
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
        """Accept no further connections."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or served.

        A connection that has carried nothing yet is left: its first request
        is probably on its way.
        """
        for connection in list(self.connections):
            if connection.is_idle and connection.requests_served:
                connection.close()

    async def enforce_timeouts(self) -> None:
        """Close idle and slow connections, for ever."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for connection in list(self.connections):
                connection.check_timeouts(now, self.limits)

    def close(self) -> None:
        """Close everything at once."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Attributes:
      requests_served: How many requests were answered here.
    """

    def __init__(self, server: Server) -> None:
        """Belong to a server."""
        self.requests_served = 0
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_size = 0
        self._task: asyncio.Task[None] | None = None
        self._since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the server's connections."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._since = asyncio.get_running_loop().time()
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request at work: nobody waits for it."""
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Take the caller's close as the end of the connection."""
        return False

    def data_received(self, data: bytes) -> None:
        """Read a part of a request."""
        if self.is_idle:
            self._since = asyncio.get_running_loop().time()
        with contextlib.suppress(h11.RemoteProtocolError):
            # Reported by the next event.
            self._http.receive_data(data)
        if self._task is None:
            self._read_events()
            return
        unread = len(self._http.trailing_data[0])
        if unread > MAX_UNREAD_BYTES and self._transport is not None:
            self._transport.pause_reading()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        if self._task is not None or self._head is not None:
            return False
        return not self._http.trailing_data[0]

    def check_timeouts(self, now: float, limits: model.CallerLimits) -> None:
        """Close the connection if its caller idles or sends too slowly."""
        if self._task is not None:
            return
        elapsed = now - self._since
        if self.is_idle:
            if elapsed > limits.idle_timeout_s:
                self.close()
            return
        if self._head is None and elapsed > limits.header_timeout_s:
            self._refuse(408, b'the header took too long')

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def _read_events(self) -> None:
        try:
            while self._task is None:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    self._continue_if_asked()
                    return
                if event is h11.PAUSED:
                    return
                if isinstance(event, h11.ConnectionClosed):
                    self.close()
                    return
                self._take(event)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error).encode())

    def _take(self, event: typing.Any) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._body = []
            self._body_size = 0
            return
        if isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
            self._body_size += len(event.data)
            if self._body_size > self._server.limits.body_bytes:
                raise h11.RemoteProtocolError('body too long', 413)
            return
        if isinstance(event, h11.EndOfMessage) and self._head is not None:
            self._start(self._head)

    def _continue_if_asked(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def _start(self, head: h11.Request) -> None:
        loop = asyncio.get_running_loop()
        request = Request(
            head.method,
            head.target,
            list(head.headers),
            b''.join(self._body),
            loop.time(),
        )
        self._body = []
        self._server.active_requests += 1
        self._task = loop.create_task(self._serve(request))

    async def _serve(self, request: Request) -> None:
        try:
            response = await self._server.handler(request)
            self._send_response(response)
        finally:
            self._server.active_requests -= 1
            self._task = None
        self.requests_served += 1
        self._next()

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

    def _next(self) -> None:
        """Go on to the next request, which may be here already."""
        self._head = None
        if self._transport is None or self._transport.is_closing():
            return
        if self._http.our_state is not h11.DONE:
            self.close()
            return
        if self._http.their_state is not h11.DONE:
            self.close()
            return
        self._http.start_next_cycle()
        self._since = asyncio.get_running_loop().time()
        self._transport.resume_reading()
        self._read_events()

    def _refuse(self, status: int, reason: bytes) -> None:
        """Answer a request that is not passed on, and close."""
        headers = [
            (b'content-type', b'text/plain'),
            (b'content-length', str(len(reason)).encode()),
            (b'connection', b'close'),
        ]
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._write(
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=reason),
                h11.EndOfMessage(),
            )
        self.close()

    def _write(self, *events: typing.Any) -> None:
        if self._transport is None:
            return
        data = [self._http.send(event) or b'' for event in events]
        self._transport.write(b''.join(data))
