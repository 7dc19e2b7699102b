"""The order of the requests on a connection of a caller. No I/O.

Responses are sent in the order of the requests. Idempotent requests run at the
same time; any other request runs alone.
"""

import asyncio
import collections

import h11

from amaranthcrank.router import http_messages
from amaranthcrank.router import request_body

# The number of requests of a connection that are handled, or whose responses
# wait for an earlier one.
MAX_EXCHANGES = 8


class Exchange:
    """A request and its response.

    Attributes:
      http: Parses the request and serialises the response.
      body: Collects the body of the request.
      head: The method, target and headers, once they are received.
      request: The complete request, once it is received.
      response: The response, once the handler has returned it.
      response_bytes: The length of the response while it waits for another.
      task: Runs the handler, once it is started.
      is_started: Whether it has its place in the order of responses.
      is_reusable: Whether `http` holds no data behind the request.
      is_unread: Whether the rest of the request was not read.
      is_idempotent: Whether the request is idempotent, once it is known.
    """

    def __init__(
        self, http: h11.Connection, body: request_body.RequestBody
    ) -> None:
        """Create an exchange whose request is not received yet."""
        self.http = http
        self.body = body
        self._clear()

    def _clear(self) -> None:
        self.head: h11.Request | None = None
        self.request: http_messages.Request | None = None
        self.response: http_messages.Response | None = None
        self.response_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.is_started = False
        self.is_reusable = True
        self.is_unread = False
        self.is_idempotent: bool | None = None

    @property
    def may_be_followed(self) -> bool:
        """Whether the connection can go on after this exchange."""
        return (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
        )

    def restart(self) -> None:
        """Prepare for the next request, which saves a new parser."""
        self.http.start_next_cycle()
        self._clear()


class ResponseQueue:
    """The exchanges of a connection whose responses are not written yet.

    Attributes:
      completed_bytes: The length of all responses that wait for an earlier
        one.
      is_closing: Whether the connection closes after the last response, so
        that no further request may be started.
    """

    def __init__(self, is_idempotent: http_messages.IdempotencyCheck) -> None:
        """Create an empty queue.

        Args:
          is_idempotent: Says whether a request is idempotent. It is called
            only for requests that others are sent ahead of or behind.
        """
        self.completed_bytes = 0
        self.is_closing = False
        self._check_idempotent = is_idempotent
        self._exchanges: collections.deque[Exchange] = collections.deque()

    def __len__(self) -> int:
        """Return the number of exchanges."""
        return len(self._exchanges)

    def may_grow(self) -> bool:
        """Return whether a further idempotent request may be started."""
        if not self._exchanges:
            return True
        if self.is_closing or len(self._exchanges) >= MAX_EXCHANGES:
            return False
        return self._is_idempotent(self._exchanges[-1])

    def may_start(self, exchange: Exchange) -> bool:
        """Return whether the handler of a complete request may start."""
        if not self._exchanges:
            return True
        return self.may_grow() and self._is_idempotent(exchange)

    def _is_idempotent(self, exchange: Exchange) -> bool:
        if exchange.is_idempotent is None:
            exchange.is_idempotent = (
                exchange.request is not None
                and self._check_idempotent(exchange.request)
            )
        return exchange.is_idempotent

    def add(self, exchange: Exchange) -> None:
        """Give an exchange the last place."""
        exchange.is_started = True
        self._exchanges.append(exchange)

    def complete(
        self, exchange: Exchange, response: http_messages.Response
    ) -> None:
        """Record the response of an exchange."""
        exchange.response = response
        if response.close:
            self.is_closing = True
        if not self._exchanges or exchange is self._exchanges[0]:
            # The caller has left, or the response is written at once.
            return
        exchange.response_bytes = len(response.body) + sum(
            len(name) + len(value) for name, value in response.headers
        )
        self.completed_bytes += exchange.response_bytes

    def take_completed(self) -> Exchange | None:
        """Remove and return the first exchange, if it has its response."""
        if not self._exchanges or self._exchanges[0].response is None:
            return None
        exchange = self._exchanges.popleft()
        self.completed_bytes -= exchange.response_bytes
        return exchange

    def cancel_all(self) -> None:
        """Cancel the handlers and discard all responses."""
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self.completed_bytes = 0
