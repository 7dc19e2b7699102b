"""Sends a request to a target and evaluates the response."""

import asyncio
import typing

from amaranthcrank.router import call as calls
from amaranthcrank.router import connection_pool
from amaranthcrank.router import crash_checks
from amaranthcrank.router import crash_reports
from amaranthcrank.router import crash_withdrawals
from amaranthcrank.router import http_client
from amaranthcrank.router import model
from amaranthcrank.router import retry_rules
from amaranthcrank.router import service_times
from amaranthcrank.router import target_notices
from amaranthcrank.router import target_state

CONNECT_TIMEOUT_S = 0.25
# How long a response is awaited after the deadline that was passed to the
# target, which may respond as late as at the deadline.
RESPONSE_GRACE_S = 0.06
# Longest idle time of connections that are reused for requests that are not
# repeatable ('unsafe') and for those that are ('safe'). The target may have
# closed an idle connection, and an unsafe request could not be sent again.
# A shorter timeout that the target announced goes first.
UNSAFE_MAX_IDLE_S = 2.0
SAFE_MAX_IDLE_S = http_client.MAX_IDLE_S
# How long an unsafe request may continue after its caller disconnected or its
# response timed out.
DETACHED_TIMEOUT_S = 10.0


class Attempt(typing.NamedTuple):
    """The result of one attempt to send a request.

    Attributes:
      execution: Whether the request may have run, a constant of
        `retry_rules`.
      response: The target's response, or None.
      reason: Why it failed; '' if the response is to be passed to the caller.
    """

    execution: str
    response: http_client.Response | None
    reason: str


class Sender:
    """Sends requests of callers and records the results.

    Attributes:
      on_misdirected: Called with the id of a target that does not hold a key.
      on_crash: Called with the fingerprint of a request and the target, as
        `id/incarnation`, that crashed on it.
      on_crash_cleared: Called with the fingerprint of such a request once it
        was answered.
    """

    def __init__(
        self,
        pool: connection_pool.Pool,
        times: service_times.ServiceTimes,
        crashes: crash_reports.CrashReports,
        withdrawals: crash_withdrawals.CrashWithdrawals,
        notices: target_notices.TargetNotices,
    ) -> None:
        """Create a sender.

        Args:
          pool: The connections to targets.
          times: Records the service times.
          crashes: Records the requests that targets crashed on.
          withdrawals: Withdraws reports on targets that have not crashed.
          notices: Reads what targets say about themselves.
        """
        self.on_misdirected: typing.Callable[[str], None] | None = None
        self.on_crash: typing.Callable[[bytes, str], None] | None = None
        self.on_crash_cleared: typing.Callable[[bytes], None] | None = None
        self._pool = pool
        self._times = times
        self._crashes = crashes
        self._withdrawals = withdrawals
        self._notices = notices
        self._checks = crash_checks.CrashChecks(pool, self._report_crashes)
        self._detached: set[asyncio.Task[typing.Any]] = set()

    async def send(
        self, call: calls.Call, target: target_state.Target
    ) -> Attempt:
        """Send a request to a target and evaluate the response."""
        loop = asyncio.get_running_loop()
        max_idle_s = (
            SAFE_MAX_IDLE_S if call.route.repeatable else UNSAFE_MAX_IDLE_S
        )
        try:
            connection = await self._pool.acquire(
                target.entry.address,
                CONNECT_TIMEOUT_S,
                max_idle_s,
                call.service,
            )
        except http_client.ConnectError as error:
            target.record_unreachable(loop.time(), not error.refused)
            if error.refused:
                target.refused_at = loop.time()
                self._report_crashes(target)
            self._pool.drop(target.entry.address)
            return Attempt(
                retry_rules.NOT_SENT, None, f'connecting failed: {error}'
            )
        connection.on_head = self._notices.reader(
            target.entry.holder, target.entry.address
        )
        sent_at = loop.time()
        remaining_s = call.deadline_at - sent_at
        if remaining_s <= 0.001:
            self._pool.release(target.entry.address, connection)
            return Attempt(retry_rules.NOT_SENT, None, 'deadline passed')
        exchange = connection.exchange(
            call.request.method,
            call.request.path,
            calls.request_headers(call, target.entry.target_id, remaining_s),
            call.request.body,
            call.request_id,
        )
        try:
            response = await self._await_response(
                call, connection, exchange, remaining_s
            )
        except http_client.ExchangeError as error:
            if error.disconnected and not error.response_started:
                target.record_unreachable(loop.time())
                self._record_reset(call, target, error)
                # Its other connections are likely to be broken as well.
                self._pool.drop(target.entry.address)
            else:
                target.record_failure(loop.time())
            return Attempt(retry_rules.MAYBE_RUN, None, str(error))
        except TimeoutError:
            target.record_failure(loop.time())
            return Attempt(
                retry_rules.MAYBE_RUN, None, 'no answer before the deadline'
            )
        elapsed_s = loop.time() - sent_at
        if not calls.is_refusal(response):
            self._return_connection(target, connection)
            return self._evaluate(call, target, response, elapsed_s)
        # A faulty target may send this response twice. If the same request
        # were sent again on this connection, the duplicate would be taken for
        # its response.
        connection.abort()
        if response.is_first_on_connection or calls.has_request_id(
            call.request_id, response
        ):
            self._record_not_run(call, target, response, loop.time())
            return Attempt(
                retry_rules.NOT_RUN, None, f'not run ({response.status})'
            )
        target.record_failure(loop.time())
        return Attempt(
            retry_rules.MAYBE_RUN, None, 'the refusal bears another id'
        )

    def _return_connection(
        self, target: target_state.Target, connection: http_client.Connection
    ) -> None:
        """Return a connection to the pool, unless its target is leaving."""
        if target.entry.state == model.DRAINING:
            connection.abort()
            return
        self._pool.release(target.entry.address, connection)

    async def _await_response(
        self,
        call: calls.Call,
        connection: http_client.Connection,
        exchange: typing.Coroutine[typing.Any, typing.Any, typing.Any],
        remaining_s: float,
    ) -> http_client.Response:
        """Wait for the response.

        If the caller disconnects, a repeatable request is aborted. Any other
        request is allowed to finish, because its effect would otherwise be
        unknown.
        """
        if call.route.repeatable:
            async with asyncio.timeout(remaining_s + RESPONSE_GRACE_S):
                return await exchange
        task = asyncio.get_running_loop().create_task(exchange)
        done = False
        try:
            async with asyncio.timeout(remaining_s + RESPONSE_GRACE_S):
                response = await asyncio.shield(task)
            done = True
            return response
        finally:
            if not done and not task.done():
                self._detach(task, connection)

    def _detach(
        self,
        task: asyncio.Task[http_client.Response],
        connection: http_client.Connection,
    ) -> None:
        """Let a request finish whose response is no longer awaited."""
        if not connection.is_request_sent:
            # The target cannot finish it before the deadline, and the rest of
            # the body would be kept in memory.
            connection.abort()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(DETACHED_TIMEOUT_S, connection.abort)
        self._detached.add(task)

        def finish(done: asyncio.Task[http_client.Response]) -> None:
            timer.cancel()
            self._detached.discard(done)
            connection.abort()
            if not done.cancelled():
                # Otherwise asyncio reports the exception as never retrieved.
                done.exception()

        task.add_done_callback(finish)

    def _evaluate(
        self,
        call: calls.Call,
        target: target_state.Target,
        response: http_client.Response,
        elapsed_s: float,
    ) -> Attempt:
        """Record the result of a request that ran.

        Returns:
          The attempt, with a reason unless the response may be passed to the
          caller.
        """
        now = asyncio.get_running_loop().time()
        response_error = calls.response_error(call.request_id, response)
        if response_error:
            target.record_failure(now)
            return Attempt(retry_rules.MAYBE_RUN, None, response_error)
        # A refusal shows nothing: another server at the address refuses too.
        self._withdrawals.record_run(target.entry.holder)
        if response.status < 500:
            typical_s = self._times.of_route(call.route.name)
            target.record_success(elapsed_s, typical_s, now)
            was_reported = self._crashes.clear(call.fingerprint)
            if was_reported and self.on_crash_cleared is not None:
                self.on_crash_cleared(call.fingerprint)
            self._times.record(call.service, call.route.name, elapsed_s)
            return Attempt(retry_rules.MAYBE_RUN, response, '')
        target.record_failure(now)
        if call.route.repeatable and response.status != 504:
            return Attempt(
                retry_rules.MAYBE_RUN, response, f'failed ({response.status})'
            )
        if not retry_rules.may_pass_through(
            response.status, call.route.repeatable
        ):
            return Attempt(
                retry_rules.MAYBE_RUN, None, f'answered {response.status}'
            )
        return Attempt(retry_rules.MAYBE_RUN, response, '')

    def _record_reset(
        self,
        call: calls.Call,
        target: target_state.Target,
        error: http_client.ExchangeError,
    ) -> None:
        """Record a lost connection, and check whether the target crashed."""
        if error.timed_out:
            return
        now = asyncio.get_running_loop().time()
        target.record_reset(call.fingerprint, now)
        self._checks.start(target)

    def _report_crashes(self, target: target_state.Target) -> None:
        """Report the requests on which a target seems to have crashed."""
        now = asyncio.get_running_loop().time()
        for fingerprint in target.pop_recent_resets(now):
            self._crashes.record_crash(fingerprint, target.entry.holder)
            if self.on_crash is not None:
                self.on_crash(fingerprint, target.entry.holder)

    def _record_not_run(
        self,
        call: calls.Call,
        target: target_state.Target,
        response: http_client.Response,
        now: float,
    ) -> None:
        if call.key is None or response.status != 421:
            target.record_rejection(now)
            return
        target.record_misdirected(now)
        if self.on_misdirected is not None:
            self.on_misdirected(target.entry.target_id)
