"""An HTTP/1.1 server for targets that carries out every call that arrives.

The router's own server drops a call whose connection was closed meanwhile.
Other programs do not notice this before they respond, so the call takes
effect although nobody waits for the response.
"""

import asyncio
import contextlib
import http
import typing

import h11

from amaranthcrank.router import http_server
from amaranthcrank.router import model

BACKLOG = 512

# Returns the response to a call, or None to leave it unanswered.
Handler = typing.Callable[
    [http_server.Request], typing.Awaitable[http_server.Response | None]
]
# Returns whether the response to a call is sent a second time.
RepetitionCheck = typing.Callable[[http_server.Request], bool]


def _never(request: http_server.Request) -> bool:
    return False


class CallServer:
    """Accepts connections and carries out their calls, one after the other."""

    def __init__(
        self, handler: Handler, is_repeated: RepetitionCheck = _never
    ) -> None:
        """Create a server that does not listen yet.

        Args:
          handler: Carries out a call.
          is_repeated: Says whether the response to a call is sent once more
            on its connection, where the response to the next call is due.
        """
        self._handler = handler
        self._is_repeated = is_repeated
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: model.Address) -> None:
        """Start to accept connections at an address."""
        self._server = await asyncio.get_running_loop().create_server(
            self._connect, address.ip, address.port, backlog=BACKLOG
        )

    @property
    def address(self) -> model.Address:
        """The address that it listens at."""
        assert self._server is not None
        return model.Address(*self._server.sockets[0].getsockname())

    def close(self) -> None:
        """Close the listener and all connections; calls are abandoned."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def _connect(self) -> '_Connection':
        connection = _Connection()
        self._connections.add(connection)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return connection

    async def _serve(self, connection: '_Connection') -> None:
        repeated = b''
        try:
            while (call := await connection.next_call()) is not None:
                response = await self._handler(call)
                if response is None:
                    # Nothing can be answered out of turn.
                    await connection.wait_for_loss()
                    return
                if repeated:
                    connection.write(repeated)
                content = connection.send(response)
                repeated = content if self._is_repeated(call) else b''
        finally:
            connection.close()
            self._connections.discard(connection)


class _Connection(asyncio.Protocol):
    """One connection; keeps what has been read after its loss."""

    def __init__(self) -> None:
        self._parser = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._changed = asyncio.Event()
        self._lost = asyncio.Event()
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Keep bytes for the parser, which reads one call at a time."""
        self._parser.receive_data(data)
        self._changed.set()

    def eof_received(self) -> bool:
        """Keep the other direction open for the responses."""
        self._end()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Let the calls that have been read be carried out."""
        self._end()
        self._lost.set()

    def _end(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._parser.receive_data(b'')
        self._changed.set()

    async def next_call(self) -> http_server.Request | None:
        """Return the next complete call, or None if there will be none."""
        if self._parser.our_state is h11.DONE:
            if self._parser.their_state is not h11.DONE:
                return None
            self._parser.start_next_cycle()
        head: h11.Request | None = None
        body = b''
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                return None
            if isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return http_server.Request(
                    head.method,
                    head.target,
                    list(head.headers),
                    body,
                    asyncio.get_running_loop().time(),
                )
            elif event is h11.NEED_DATA:
                self._changed.clear()
                await self._changed.wait()
            else:
                return None

    def send(self, response: http_server.Response) -> bytes:
        """Send a response and return its bytes."""
        length = str(len(response.body)).encode()
        head = h11.Response(
            status_code=response.status,
            reason=http.HTTPStatus(response.status).phrase.encode(),
            headers=[*response.headers, (b'content-length', length)],
        )
        content = b''.join(
            self._parser.send(event) or b''
            for event in (
                head,
                h11.Data(data=response.body),
                h11.EndOfMessage(),
            )
        )
        self.write(content)
        return content

    def write(self, content: bytes) -> None:
        """Send bytes, unless the connection is lost."""
        if self._transport is not None and not self._lost.is_set():
            self._transport.write(content)

    async def wait_for_loss(self) -> None:
        """Wait until the connection is lost or the peer has closed it."""
        while not self._has_ended:
            self._changed.clear()
            await self._changed.wait()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            with contextlib.suppress(OSError):
                self._transport.abort()
