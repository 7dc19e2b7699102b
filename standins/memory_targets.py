"""Targets in memory, for tests of the request path without a network.

A `MemoryPool` takes the place of the connection pool. Its connections use the
real HTTP client over a transport that ends in a `MemoryTarget`.
"""

import asyncio
import collections
import typing

from amaranthcrank.router import connection_pool
from amaranthcrank.router import http_client
from amaranthcrank.router import model
from standins import scripted_server

# In place of a status: the connection is closed, or nothing is sent.
RESET = 0
SILENCE = -1


class Reply(typing.NamedTuple):
    """How a target replies to a request.

    Attributes:
      delay_s: After how many seconds.
      status: The status of the response, RESET or SILENCE.
      header: A further header line, with CRLF.
    """

    delay_s: float
    status: int = 200
    header: bytes = b''


class MemoryTarget:
    """One target.

    Attributes:
      reply: Returns the reply to the next request.
      received: The number of requests that it received.
      running: The number of requests that it has not replied to.
      abandoned_at: When connections with such a request were closed.
    """

    def __init__(self, reply: typing.Callable[[], Reply]) -> None:
        """Create a target that has received nothing."""
        self.reply = reply
        self.received = 0
        self.running = 0
        self.abandoned_at: list[float] = []


class MemoryPool(connection_pool.Pool):
    """Connects to targets in memory.

    Attributes:
      target_by_address: The targets; others refuse connections.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Create a pool without targets."""
        super().__init__(clock)
        self.target_by_address: dict[model.Address, MemoryTarget] = {}

    async def acquire(
        self,
        address: model.Address,
        connect_timeout_s: float,
        max_idle_s: float = http_client.MAX_IDLE_S,
        group: str = '',
        max_response_bytes: int = http_client.MAX_RESPONSE_BYTES,
    ) -> http_client.Connection:
        """Return a new connection."""
        target = self.target_by_address.get(address)
        if target is None:
            raise http_client.ConnectError('refused', True)
        connection = http_client.Connection(address, self.buffer_budget)
        connection.connection_made(_MemoryTransport(target, connection))
        return connection

    def release(
        self, address: model.Address, connection: http_client.Connection
    ) -> None:
        """Close a connection, as none is reused."""
        connection.abort()


class _MemoryTransport(asyncio.Transport):
    """Hands requests to a target and its replies to a connection."""

    def __init__(
        self, target: MemoryTarget, connection: http_client.Connection
    ) -> None:
        super().__init__()
        self._target = target
        self._connection = connection
        self._timer: asyncio.TimerHandle | None = None
        self._is_closing = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        target = self._target
        target.received += 1
        target.running += 1
        reply = target.reply()
        request_id = scripted_server.get_header(bytes(data), b'x-request-id')
        self._timer = asyncio.get_running_loop().call_later(
            reply.delay_s, self._send, reply, request_id
        )

    def is_closing(self) -> bool:
        return self._is_closing

    def abort(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._target.running -= 1
            self._target.abandoned_at.append(loop.time())
        loop.call_soon(self._connection.connection_lost, None)

    def _send(self, reply: Reply, request_id: bytes) -> None:
        if reply.status == SILENCE:
            return
        self._timer = None
        self._target.running -= 1
        if reply.status == RESET:
            self._is_closing = True
            self._connection.connection_lost(ConnectionResetError())
            return
        self._connection.data_received(
            b'HTTP/1.1 %d -\r\nx-request-id: %s\r\n%s'
            b'x-response-signature: signed\r\ncontent-length: 4\r\n\r\ndone'
            % (reply.status, request_id, reply.header)
        )


def replies_in_order(
    replies: typing.Iterable[Reply], otherwise: typing.Callable[[], Reply]
) -> typing.Callable[[], Reply]:
    """Return a function that returns each reply once, then others.

    Args:
      replies: The replies to the next requests, at whichever targets.
      otherwise: Returns the replies to all further requests.
    """
    queue = collections.deque(replies)

    def reply() -> Reply:
        return queue.popleft() if queue else otherwise()

    return reply
