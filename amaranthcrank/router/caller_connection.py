"""A connection of a caller: parsing, timeouts and the order of responses.

Idempotent requests that a caller sends ahead are handled at the same time, and
are answered in order. If a caller closes its connection, the handlers of all
its requests are cancelled. See docs/design/pipelining.md.
"""

import asyncio
import typing

import h11

from amaranthcrank.router import http_messages
from amaranthcrank.router import model
from amaranthcrank.router import receive_buffer
from amaranthcrank.router import request_body
from amaranthcrank.router import response_progress
from amaranthcrank.router import response_queue
from amaranthcrank.router import response_writer

if typing.TYPE_CHECKING:
    from amaranthcrank.router import http_server

# While more bytes of responses wait on a connection, nothing more is read from
# it. A few connections that read nothing could fill a host's memory otherwise.
MAX_WAITING_BYTES = 256 * 1024
# Retry-After for a request whose long body got no memory, and for a connection
# beyond the limit.
REFUSAL_S = 1.0
# How long data behind a rejected request is read and discarded. Closing a
# connection with unread data resets it, and the caller loses the response.
DISCARD_S = 2.0


class CallerConnection(asyncio.Protocol):
    """A connection of a caller.

    Attributes:
      requests_served: The number of requests handled on this connection.
      progress: Whether the caller takes its responses.
    """

    def __init__(self, server: 'http_server.Server') -> None:
        """Create the protocol of a connection that a server accepts."""
        self.requests_served = 0
        self.progress = response_progress.ResponseProgress()
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._received = receive_buffer.ReceiveBuffer()
        self._queue = response_queue.ResponseQueue(server.is_idempotent)
        # The request that is being read, or the one started last while no data
        # has arrived behind it.
        self._current = self._new_exchange()
        self._needs_data = True
        # The next event of the current request, which waits until all requests
        # before it are answered.
        self._held_event: h11.Event | None = None
        self._is_paused = False
        self._is_discarding = False
        self._timer_started_at = 0.0
        self._data_arrived_at = 0.0

    def _new_exchange(self) -> response_queue.Exchange:
        body = request_body.RequestBody(
            self._server.uploads,
            self._update_reading,
            self._resume_upload,
            self._reject_upload,
        )
        return response_queue.Exchange(self._new_parser(), body)

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._server.limits.header_bytes,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server and start the timeouts."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._timer_started_at = asyncio.get_running_loop().time()
        self.progress.made_at = self._timer_started_at
        if not self._server.admit(self):
            self._reject(503, b'too many connections', REFUSAL_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress, whose caller is gone."""
        self._server.remove(self)
        self._current.body.release()
        self._received.clear()
        self._queue.cancel_all()

    def eof_received(self) -> bool:
        """Close the connection when the caller half-closes it."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the requests that are complete."""
        if self._is_discarding:
            return
        now = asyncio.get_running_loop().time()
        self._data_arrived_at = now
        if self.is_idle:
            self._timer_started_at = now
        self._received.append(data, now)
        self._read()

    def resume_writing(self) -> None:
        """Go on reading when the caller has taken its responses."""
        if not self._is_discarding:
            self._restart_timers()
            self._read()

    def resume_parsing(self) -> None:
        """Parse received data in a later turn of the event loop."""
        self._read()

    @property
    def header_awaited_since(self) -> float | None:
        """Since when the header of a request is awaited; None if it is not.

        None also while a response is not taken: closing would lose it.
        """
        if self._queue or self._current.head is not None or self.unsent_bytes:
            return None
        return self._timer_started_at

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        if self._queue or self._received.size:
            return False
        if self._current.head is not None:
            return False
        return not self._current.http.trailing_data[0]

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that wait to be sent to the caller."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    @property
    def waiting_bytes(self) -> int:
        """The number of bytes of responses that the connection holds."""
        return self.unsent_bytes + self._queue.completed_bytes

    @property
    def is_backlogged(self) -> bool:
        """Whether so many responses wait that nothing more is read."""
        return self.waiting_bytes > MAX_WAITING_BYTES

    def check_timeouts(self, now: float, limits: model.CallerLimits) -> None:
        """Close the connection if it exceeds a timeout.

        A body may take any time, as long as data of it arrives within the
        idle timeout and at the least rate.

        Args:
          now: The current event loop time.
          limits: The timeouts to enforce.
        """
        self.progress.check(self.unsent_bytes, now)
        if now - self.progress.made_at > limits.idle_timeout_s:
            # Closing would wait for the caller and keep the response.
            self.abort()
        if self._queue or self._is_paused or self._is_discarding:
            return
        elapsed = now - self._timer_started_at
        if self.is_idle:
            if elapsed > limits.idle_timeout_s:
                self.close()
            return
        if self._current.head is None:
            if elapsed > limits.header_timeout_s:
                self._reject(408, b'the header took too long')
            return
        if now - self._data_arrived_at > limits.idle_timeout_s:
            self._reject(408, b'the body took too long')
            return
        if self._current.body.rate.is_too_slow(now, self._server.rate_rule):
            self._reject(408, b'the body arrived too slowly')

    def _restart_timers(self) -> None:
        """Restart the timeouts of a request that could not be read."""
        self._timer_started_at = asyncio.get_running_loop().time()
        self._data_arrived_at = self._timer_started_at
        self._current.body.rate.restart(self._timer_started_at)

    def abort(self) -> None:
        """Close the connection at once, discarding unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()

    def _read(self) -> None:
        """Parse received data and start requests, as far as limits allow."""
        if self._transport is None or self._transport.is_closing():
            return
        if not self._is_discarding and not self.is_backlogged:
            try:
                while not self._current.body.is_waiting and self._read_step():
                    pass
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error).encode())
        self._update_reading()

    def _read_step(self) -> bool:
        """Take one step; return whether to go on."""
        current = self._current
        if current.is_started:
            if not self._received.size or not self._may_read_ahead():
                return False
            self._current = self._new_exchange()
            return True
        if current.request is not None:
            if self._server.draining and self._queue:
                return False
            if not self._queue.may_start(current):
                return False
            self._start_handler(current)
            return True
        event = self._next_event()
        if event is None:
            return False
        self._on_event(event)
        return True

    def _may_read_ahead(self) -> bool:
        """Return whether a request may be read behind the last started one."""
        if self._current.http.their_state is not h11.DONE:
            # The request ends the connection, or asks for another protocol.
            return False
        return not self._server.draining and self._queue.may_grow()

    def _next_event(self) -> h11.Event | None:
        """Return the next event of the current request, or None."""
        event: typing.Any = self._held_event
        if event is not None:
            if self._queue:
                return None
            self._held_event = None
            return event
        http = self._current.http
        while True:
            if self._needs_data:
                if not self._received.size:
                    self._send_continue_if_expected()
                    return None
                http.receive_data(self._received.take())
                self._needs_data = False
            if not self._server.turns.take(self):
                return None
            event = http.next_event()
            self._needs_data = event is h11.NEED_DATA
            if not self._needs_data:
                break
        if self._queue and self._current.body.needs_reservation(event):
            # A body that waits for memory in vain is rejected. The requests
            # before it may hold the memory, or take longer than it may wait.
            self._held_event = event
            return None
        return event

    def _on_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._current.head = event
            self._current.body.begin(event, self._server.limits.body_bytes)
            return
        if isinstance(event, h11.Data):
            self._current.body.add(event.data)
            return
        if isinstance(event, h11.EndOfMessage):
            self._complete_request(self._current)

    def _complete_request(self, current: response_queue.Exchange) -> None:
        """Keep a complete request, which may have to wait for others."""
        head = current.head
        assert head is not None
        trailing_data = current.http.trailing_data[0]
        if trailing_data:
            current.is_reusable = False
            self._received.put_back(trailing_data)
        self._needs_data = True
        current.request = http_messages.Request(
            head.method,
            head.target,
            list(head.headers),
            current.body.take(),
            self._received.taken_at,
        )

    def _update_reading(self) -> None:
        """Pause or resume reading from the connection."""
        if self._transport is None:
            return
        should_pause = not self._is_discarding and (
            self._current.body.is_waiting
            or self._received.is_full
            or self.is_backlogged
        )
        if should_pause == self._is_paused:
            return
        self._is_paused = should_pause
        if should_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _resume_upload(self) -> None:
        """Read the body that waited for memory."""
        self._data_arrived_at = asyncio.get_running_loop().time()
        self._read()

    def _reject_upload(self) -> None:
        """Reject a request whose body got no memory in time."""
        self._reject(503, b'too many long requests', REFUSAL_S)

    def _send_continue_if_expected(self) -> None:
        http = self._current.http
        if self._queue or not http.they_are_waiting_for_100_continue:
            return
        self._write(
            http.send(h11.InformationalResponse(status_code=100, headers=[]))
        )

    def _start_handler(self, exchange: response_queue.Exchange) -> None:
        self._server.active_requests += 1
        self._queue.add(exchange)
        exchange.task = asyncio.get_running_loop().create_task(
            self._run_handler(exchange)
        )

    async def _run_handler(self, exchange: response_queue.Exchange) -> None:
        assert exchange.request is not None
        try:
            # On a busy host, the end of the connection may have arrived behind
            # the request long ago. It is read in this turn of the event loop.
            await asyncio.sleep(0)
            if self._transport is None or self._transport.is_closing():
                self._server.abandoned_requests += 1
                return
            response = await self._server.handler(exchange.request)
        except Exception as error:
            # Without an answer the caller would wait until its deadline. The
            # request may have run.
            response = self._report_error(error)
        finally:
            self._server.active_requests -= 1
            exchange.body.release()
        self._queue.complete(exchange, response)
        self._send_completed()

    def _report_error(self, error: Exception) -> http_messages.Response:
        if self._server.on_handler_error is not None:
            self._server.on_handler_error(error)
        return response_writer.error_response(500, b'internal error')

    def _reject(
        self,
        status: int,
        reason: bytes,
        retry_after_s: float | None = None,
    ) -> None:
        """Answer the current request without the handler, and close."""
        current = self._current
        current.is_unread = current.http.their_state is h11.SEND_BODY
        current.body.release()
        self._queue.add(current)
        self._queue.complete(
            current,
            response_writer.error_response(status, reason, retry_after_s),
        )
        self._send_completed()

    def _send_completed(self) -> None:
        """Send the responses whose turn it is, and read on."""
        while (exchange := self._queue.take_completed()) is not None:
            if self._transport is None or self._transport.is_closing():
                return
            closes = not self._queue and (
                self._queue.is_closing or self._server.draining
            )
            self._send_response(exchange, closes)
            self.requests_served += 1
            if not self._queue and not self._prepare_next(exchange, closes):
                self._end_connection(exchange)
                return
        self._read()

    def _prepare_next(
        self, exchange: response_queue.Exchange, closes: bool
    ) -> bool:
        """Prepare for the time after the last started request.

        Returns:
          Whether the connection stays open.
        """
        if closes:
            return False
        if exchange is self._current:
            if not exchange.may_be_followed:
                return False
            if exchange.is_reusable:
                exchange.restart()
            else:
                self._current = self._new_exchange()
        self._restart_timers()
        return True

    def _send_response(
        self, exchange: response_queue.Exchange, closes: bool
    ) -> None:
        response = exchange.response
        assert response is not None
        try:
            data = response_writer.serialise(exchange.http, response, closes)
        except h11.LocalProtocolError as error:
            # The response is not valid, or does not fit the request. A new
            # serialiser is in a state in which an error can be sent. The error
            # has no body, because the request may be a HEAD request.
            exchange.http = self._new_parser()
            response = self._report_error(error)._replace(body=b'')
            self._queue.is_closing = True
            closes = not self._queue
            data = response_writer.serialise(exchange.http, response, closes)
        self._write(data)

    def _end_connection(self, exchange: response_queue.Exchange) -> None:
        """Close the connection after its last response."""
        self._current.body.release()
        if exchange.is_unread or self._received.size or self._is_paused:
            self._discard_then_close()
            return
        self.close()

    def _discard_then_close(self) -> None:
        """Close after the caller had time to read the response."""
        self._is_discarding = True
        self._received.clear()
        self._update_reading()
        if self._transport is not None:
            # The caller need not wait for the answers to discarded requests.
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(DISCARD_S, self.close)

    def _write(self, data: bytes | None) -> None:
        if self._transport is not None and data:
            self.progress.record_write(len(data))
            self._transport.write(data)
