"""HTTP/1.1 server for callers."""

import asyncio
import socket
import typing

from amaranthcrank.router import body_rate
from amaranthcrank.router import caller_connection
from amaranthcrank.router import http_messages
from amaranthcrank.router import model
from amaranthcrank.router import parse_turns
from amaranthcrank.router import upload_budget

__all__ = [
    'DEFAULT_LIMITS',
    'MAX_UNSENT_BYTES',
    'CallerConnection',
    'Handler',
    'Request',
    'Response',
    'Server',
]

CallerConnection = caller_connection.CallerConnection
Handler = http_messages.Handler
Request = http_messages.Request
Response = http_messages.Response

# Used until a ticket is in force, which sets its own limits.
DEFAULT_LIMITS = model.CallerLimits(16384, 64 * 1024 * 1024, 3.0, 15.0)
TIMEOUT_CHECK_INTERVAL_S = 0.5
BACKLOG = 1024
# Connections are accepted before the limit of connections is applied, so that
# a burst would take many descriptors for a moment.
ACCEPTS_PER_TURN = 4
# Callers that read slowly keep responses in memory, as do responses that wait
# for an earlier one. Beyond this sum, the connections that have made no
# progress for longest are closed.
MAX_UNSENT_BYTES = 32 * 1024 * 1024


def _never_idempotent(request: http_messages.Request) -> bool:
    """Make a server handle one request of a connection after the other."""
    return False


def _call_soon(call: typing.Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(call)


class Server:
    """Accepts connections of callers and keeps track of them.

    Attributes:
      handler: Produces the response to a request.
      is_idempotent: Says whether a request may run at the same time as others
        of its connection.
      limits: Limits on requests and connections; replaced when a ticket
        comes into force.
      draining: Whether responses carry `Connection: close`.
      active_requests: The number of requests being handled.
      connections: All open connections.
      max_connections: The most open connections; None for no limit.
      uploads: Limits the memory used by bodies of requests.
      rate_rule: How slowly bodies may arrive.
      turns: Limits what is parsed in a turn of the event loop; servers may
        share it.
      refused_connections: How many connections were refused or closed because
        of the limit.
      abandoned_requests: How many requests were not handled because their
        connection was closed before.
      on_handler_error: Called with each exception of the handler.
    """

    def __init__(
        self,
        handler: Handler,
        is_idempotent: http_messages.IdempotencyCheck = _never_idempotent,
    ) -> None:
        """Create a server that does not listen yet.

        Args:
          handler: Produces the response to a request.
          is_idempotent: Says whether a request may run at the same time as
            others of its connection. By default none may.
        """
        self.handler = handler
        self.is_idempotent = is_idempotent
        self.limits = DEFAULT_LIMITS
        self.draining = False
        self.active_requests = 0
        self.connections: set[CallerConnection] = set()
        self.max_connections: int | None = None
        self.uploads = upload_budget.UploadBudget()
        self.rate_rule = body_rate.RateRule()
        self.turns = parse_turns.ParseTurns(_call_soon)
        self.refused_connections = 0
        self.abandoned_requests = 0
        self.on_handler_error: typing.Callable[[Exception], None] | None = None
        self._listeners: list[asyncio.Server] = []

    async def listen(self, address: model.Address) -> None:
        """Start to accept connections at an address.

        May be called again to listen at further addresses.

        Raises:
          OSError: Binding to the address failed.
        """
        loop = asyncio.get_running_loop()
        sock = socket.create_server(address, backlog=BACKLOG)
        # The event loop accepts as many connections in a turn as it is told
        # that the backlog has.
        listener = await loop.create_server(
            lambda: CallerConnection(self),
            sock=sock,
            backlog=ACCEPTS_PER_TURN,
        )
        sock.listen(BACKLOG)
        self._listeners.append(listener)

    def admit(self, connection: CallerConnection) -> bool:
        """Add a connection, if need be in place of another one.

        Returns:
          Whether the connection may stay. Otherwise it is not added.
        """
        if (
            self.max_connections is not None
            and len(self.connections) >= self.max_connections
        ):
            self.refused_connections += 1
            longest = self._find_longest_waiting()
            if longest is None:
                return False
            self.remove(longest)
            longest.abort()
        self.connections.add(connection)
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        self.turns.remove(connection)

    def _find_longest_waiting(self) -> CallerConnection | None:
        """Return the connection that has sent no request for longest."""
        found, found_since = None, 0.0
        for connection in self.connections:
            since = connection.header_awaited_since
            if since is None or (found is not None and since >= found_since):
                continue
            found, found_since = connection, since
        return found

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

    @property
    def backlogged_connections(self) -> int:
        """The number of connections that are not read, as responses wait."""
        return sum(each.is_backlogged for each in self.connections)

    async def enforce_timeouts(self) -> None:
        """Close connections that exceed the timeouts; runs until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for connection in list(self.connections):
                connection.check_timeouts(now, self.limits)
            self._limit_waiting_bytes()

    def _limit_waiting_bytes(self) -> None:
        waiting_bytes = sum(each.waiting_bytes for each in self.connections)
        if waiting_bytes <= MAX_UNSENT_BYTES:
            return
        by_progress = sorted(
            self.connections, key=lambda each: each.progress.made_at
        )
        for connection in by_progress:
            if waiting_bytes <= MAX_UNSENT_BYTES:
                return
            waiting_bytes -= connection.waiting_bytes
            if connection.waiting_bytes:
                connection.abort()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()
