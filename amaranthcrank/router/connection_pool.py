"""Pool of client connections to targets, other hosts and the store."""

import asyncio
import typing

from amaranthcrank.router import buffer_budget
from amaranthcrank.router import headers as header_fields
from amaranthcrank.router import http_client
from amaranthcrank.router import model

MAX_IDLE_PER_ADDRESS = 16
# Bounds responses whose timeout is extended while data keeps arriving.
MAX_RESPONSE_TIME_S = 30.0


def _always_keep(idle_connections: int) -> bool:
    return True


class Pool:
    """Idle connections to be reused, by address.

    Attributes:
      may_keep: Says whether another connection may be kept while so many are
        idle; otherwise it is closed after its use.
      opened_connections: The number of connections opened, failed
        attempts included.
      buffer_budget: The memory limit for incomplete responses on all
        connections of the pool.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Create an empty pool.

        Args:
          clock: Returns the monotonic time in seconds.
        """
        self._clock = clock
        self._idle_by_address: dict[
            model.Address, list[http_client.Connection]
        ] = {}
        self._idle_count = 0
        self.may_keep: typing.Callable[[int], bool] = _always_keep
        self.opened_connections = 0
        self.buffer_budget = buffer_budget.BufferBudget()

    async def acquire(
        self,
        address: model.Address,
        connect_timeout_s: float,
        max_idle_s: float = http_client.MAX_IDLE_S,
        group: str = '',
        max_response_bytes: int = http_client.MAX_RESPONSE_BYTES,
        is_shared: bool = True,
    ) -> http_client.Connection:
        """Return an idle connection, or open one.

        Args:
          address: The server's address.
          connect_timeout_s: The time limit for opening a connection.
          max_idle_s: Connections idle for this long are closed, not reused.
          group: What its responses are counted as, such as a service; '' for
            calls of the host itself.
          max_response_bytes: The limit of a response's body.
          is_shared: Whether an idle connection may be used.

        Raises:
          ConnectError: No connection could be opened.
        """
        idle = self._idle_by_address.get(address) if is_shared else None
        now = self._clock()
        while idle:
            connection = idle.pop()
            self._idle_count -= 1
            limit_s = min(max_idle_s, connection.idle_limit_s)
            if connection.is_open and now - connection.idle_since < limit_s:
                connection.use_for(group, max_response_bytes)
                return connection
            connection.abort()
        self.opened_connections += 1
        connection = await http_client.connect(
            address, connect_timeout_s, self.buffer_budget
        )
        connection.use_for(group, max_response_bytes)
        return connection

    def release(
        self, address: model.Address, connection: http_client.Connection
    ) -> None:
        """Return a connection to the pool after a complete exchange."""
        idle = self._idle_by_address.setdefault(address, [])
        if (
            not connection.is_open
            or len(idle) >= MAX_IDLE_PER_ADDRESS
            or not self.may_keep(self._idle_count)
        ):
            connection.abort()
            return
        self._idle_count += 1
        connection.idle_since = self._clock()
        idle.append(connection)

    def close_expired(self) -> None:
        """Close connections that exceeded their idle limit."""
        now = self._clock()
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            self._idle_count -= len(idle)
            for connection in idle:
                idle_s = now - connection.idle_since
                if connection.is_open and idle_s < connection.idle_limit_s:
                    kept.append(connection)
                    continue
                connection.abort()
            if kept:
                self._idle_count += len(kept)
                self._idle_by_address[address] = kept
                continue
            del self._idle_by_address[address]

    def drop(self, address: model.Address) -> None:
        """Close the idle connections to an address."""
        dropped = self._idle_by_address.pop(address, [])
        self._idle_count -= len(dropped)
        for connection in dropped:
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.drop(address)


def _always_reusable(_: http_client.Response) -> bool:
    return True


async def _do_nothing(_: http_client.Connection) -> None:
    pass


async def request(
    pool: Pool,
    address: model.Address,
    method: bytes,
    path: bytes,
    headers: header_fields.Headers,
    body: bytes,
    connect_timeout_s: float,
    timeout_s: float,
    read_idle_timeout_s: float = 0.0,
    request_id: bytes | None = None,
    is_reusable: typing.Callable[
        [http_client.Response], bool
    ] = _always_reusable,
    before_send: typing.Callable[
        [http_client.Connection], typing.Awaitable[None]
    ] = _do_nothing,
    on_sent: typing.Callable[[], None] | None = None,
    on_head: (
        typing.Callable[[int, header_fields.Headers], None] | None
    ) = None,
    max_response_bytes: int = http_client.MAX_RESPONSE_BYTES,
    is_shared: bool = True,
) -> http_client.Response:
    """Send a request over a pooled connection and return the response.

    Args:
      pool: The pool to take the connection from.
      address: The server's address.
      method: The HTTP method.
      path: The path with the query.
      headers: All headers, including Host and Content-Length.
      body: The complete body.
      connect_timeout_s: The time limit for opening a connection.
      timeout_s: The time limit for the response.
      read_idle_timeout_s: Whenever data arrives, the time limit is extended to
        at least this long from then, up to MAX_RESPONSE_TIME_S in total; 0
        for no extension.
      request_id: Responses that carry another id are skipped.
      is_reusable: Returns whether to keep the connection after a response.
      before_send: Awaited before sending, with the connection, which it may
        use; an exception from it closes the connection and is passed on.
      on_sent: Called once the request was handed to the transport.
      on_head: Called with the status and the headers of each final response.
      max_response_bytes: The limit of the response's body.
      is_shared: Whether the connection may have been used before.

    Raises:
      ConnectError: No connection could be opened.
      ExchangeError: The connection was lost, or the data received was not a
        valid response.
      TimeoutError: There was no complete response in time.
    """
    connection = await pool.acquire(
        address,
        connect_timeout_s,
        max_response_bytes=max_response_bytes,
        is_shared=is_shared,
    )
    connection.on_head = on_head
    try:
        await before_send(connection)
    except BaseException:
        connection.abort()
        raise
    async with asyncio.timeout(timeout_s) as timeout:
        if read_idle_timeout_s:
            connection.on_data = _make_extender(timeout, read_idle_timeout_s)
        response = await connection.exchange(
            method, path, headers, body, request_id, on_sent
        )
    connection.on_data = None
    if is_reusable(response):
        pool.release(address, connection)
    else:
        connection.abort()
    return response


def _make_extender(
    timeout: asyncio.Timeout, read_idle_timeout_s: float
) -> typing.Callable[[], None]:
    """Return a callback on received data that extends a timeout."""
    loop = asyncio.get_running_loop()
    latest_at = loop.time() + MAX_RESPONSE_TIME_S

    def extend() -> None:
        extended_at = min(latest_at, loop.time() + read_idle_timeout_s)
        if extended_at > (timeout.when() or 0.0):
            timeout.reschedule(extended_at)

    return extend
