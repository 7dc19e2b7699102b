"""Connections to targets and to the platform's store, kept for reuse."""

import asyncio
import typing

from amaranthcrank.router import buffer_budget
from amaranthcrank.router import headers as fields
from amaranthcrank.router import http_client
from amaranthcrank.router import model

MAX_IDLE_PER_ADDRESS = 16
# An answer that arrives in drops is given up in the end.
MAX_RESPONSE_TIME_S = 30.0


class Pool:
    """Idle connections, kept for reuse.

    Attributes:
      opened_connections: How many connections were opened.
      buffer_budget: Answers that arrive, on all its connections.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle_by_address: dict[
            model.Address, list[http_client.Connection]
        ] = {}
        self.opened_connections = 0
        self.buffer_budget = buffer_budget.BufferBudget()

    async def acquire(
        self,
        address: model.Address,
        connect_timeout_s: float,
        max_idle_s: float = http_client.DEFAULT_IDLE_S,
    ) -> http_client.Connection:
        """Take an idle connection, or open one.

        Args:
          address: The server.
          connect_timeout_s: How long opening may take.
          max_idle_s: Connections that were idle for longer are not used.

        Raises:
          ConnectError: None could be opened.
        """
        idle = self._idle_by_address.get(address)
        now = self._clock()
        while idle:
            connection = idle.pop()
            limit = min(max_idle_s, connection.idle_limit_s)
            if connection.is_open and now - connection.idle_since < limit:
                return connection
            connection.abort()
        self.opened_connections += 1
        return await http_client.connect(
            address, connect_timeout_s, self.buffer_budget
        )

    def release(
        self, address: model.Address, connection: http_client.Connection
    ) -> None:
        """Give a connection back after a whole exchange."""
        idle = self._idle_by_address.setdefault(address, [])
        if not connection.is_open or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle_since = self._clock()
        idle.append(connection)

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now = self._clock()
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for connection in idle:
                age = now - connection.idle_since
                limit = min(
                    connection.idle_limit_s, http_client.DEFAULT_IDLE_S
                )
                if connection.is_open and age < limit:
                    kept.append(connection)
                    continue
                connection.abort()
            if kept:
                self._idle_by_address[address] = kept
                continue
            del self._idle_by_address[address]

    def drop(self, address: model.Address) -> None:
        """Close the idle connections of an address."""
        for connection in self._idle_by_address.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.drop(address)


def _always(_: http_client.Response) -> bool:
    return True


async def _send_at_once(_: bool) -> None:
    pass


async def request(
    pool: Pool,
    address: model.Address,
    method: bytes,
    path: bytes,
    headers: fields.Headers,
    body: bytes,
    connect_timeout_s: float,
    timeout_s: float,
    read_idle_timeout_s: float = 0.0,
    request_id: bytes | None = None,
    is_reusable: typing.Callable[[http_client.Response], bool] = _always,
    before_send: typing.Callable[[bool], typing.Awaitable[None]] = (
        _send_at_once
    ),
) -> http_client.Response:
    """Make one exchange over a pooled connection.

    Args:
      pool: The connections.
      address: The server.
      method: The HTTP method.
      path: The path with the query.
      headers: All headers, with Host and the length of the body.
      body: The whole body.
      connect_timeout_s: How long opening a connection may take.
      timeout_s: How long the answer may take.
      read_idle_timeout_s: While data of a response keeps arriving, its timeout
        is extended by this much.
      request_id: An answer that bears another id is passed over.
      is_reusable: Tells whether the connection is used again after an answer.
      before_send: Awaited when there is a connection, and told whether it is
        a new one; what it raises ends the exchange.

    Raises:
      ConnectError: No connection could be made.
      ExchangeError: The exchange broke.
      TimeoutError: There was no whole answer in time.
    """
    connection = await pool.acquire(address, connect_timeout_s)
    try:
        await before_send(connection.is_new)
    except BaseException:
        connection.abort()
        raise
    async with asyncio.timeout(timeout_s) as limit:
        if read_idle_timeout_s:
            connection.on_data = _extension(limit, read_idle_timeout_s)
        answer = await connection.exchange(
            method, path, headers, body, request_id
        )
    connection.on_data = None
    if is_reusable(answer):
        pool.release(address, connection)
    else:
        connection.abort()
    return answer


def _extension(
    limit: asyncio.Timeout, read_idle_timeout_s: float
) -> typing.Callable[[], None]:
    """Return a function that extends a timeout while an answer arrives."""
    loop = asyncio.get_running_loop()
    last_at = loop.time() + MAX_RESPONSE_TIME_S

    def extend() -> None:
        until = min(last_at, loop.time() + read_idle_timeout_s)
        if until > (limit.when() or 0.0):
            limit.reschedule(until)

    return extend
