"""Sends one request to one target and judges what comes back."""

import asyncio
import typing

from amaranthcrank.router import call as calls
from amaranthcrank.router import connection_pool
from amaranthcrank.router import crash_reports
from amaranthcrank.router import http_client
from amaranthcrank.router import retry_rules
from amaranthcrank.router import service_times
from amaranthcrank.router import target_state

CONNECT_TIMEOUT_S = 0.25
# A target answers at the deadline that it was handed; its answer is awaited
# this much longer than that.
ANSWER_GRACE_S = 0.06
# Work that may not repeat is not sent over a connection that was idle for
# longer: the target may have closed it, and the send could not be repeated.
UNSAFE_MAX_IDLE_S = 2.0
SAFE_MAX_IDLE_S = 4.0
# Work that may not repeat goes on for this long after its caller left.
DETACHED_TIMEOUT_S = 10.0


class Attempt(typing.NamedTuple):
    """The result of one send.

    Attributes:
      knowledge: What is known of the request, one of `retry_rules`.
      answer: The target's answer, or None.
      reason: Why it failed; '' for an answer to pass on.
    """

    execution: str
    answer: http_client.Answer | None
    reason: str


class Sender:
    """Sends requests of callers, and learns from the answers.

    Attributes:
      note_disowned: Called with a target that does not hold a key.
      note_crash: Called with a request under which a target ended.
      note_cleared: Called with such a request that was answered.
    """

    def __init__(
        self,
        pool: connection_pool.Pool,
        times: service_times.ServiceTimes,
        crashes: crash_reports.CrashReports,
    ) -> None:
        """Send over a pool of connections."""
        self.on_misdirected: typing.Callable[[str], None] | None = None
        self.on_crash: typing.Callable[[bytes, str], None] | None = None
        self.on_crash_cleared: typing.Callable[[bytes], None] | None = None
        self._pool = pool
        self._times = times
        self._crashes = crashes
        self._detached: set[asyncio.Task[typing.Any]] = set()

    async def send(
        self, call: calls.Call, target: target_state.Target
    ) -> Attempt:
        """Send a request to a target and judge what comes back."""
        loop = asyncio.get_running_loop()
        max_idle_s = (
            SAFE_MAX_IDLE_S if call.route.repeatable else UNSAFE_MAX_IDLE_S
        )
        try:
            connection = await self._pool.acquire(
                target.entry.address, CONNECT_TIMEOUT_S, max_idle_s
            )
        except http_client.ConnectError as error:
            target.record_unreachable(loop.time(), not error.refused)
            for fingerprint in target.pop_recent_resets(loop.time()):
                self._report_crash(fingerprint, target)
            self._pool.drop(target.entry.address)
            return Attempt(
                retry_rules.NOT_SENT, None, f'connecting failed: {error}'
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
            answer = await self._await_answer(
                call, connection, exchange, remaining_s
            )
        except http_client.ExchangeError as error:
            if error.reset and not error.answered:
                target.record_unreachable(loop.time())
                target.record_reset(call.fingerprint, loop.time())
                # Its other connections are likely to be as dead.
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
        if not calls.is_refusal(answer):
            self._pool.release(target.entry.address, connection)
            return self._evaluate(call, target, answer, elapsed_s)
        # A faulty target may write its refusal once more: where the same
        # request comes again, that could not be told from a new one.
        connection.abort()
        if answer.is_first or calls.has_request_id(call.request_id, answer):
            self._record_not_run(call, target, answer, loop.time())
            return Attempt(
                retry_rules.NOT_RUN, None, f'not run ({answer.status})'
            )
        target.record_failure(loop.time())
        return Attempt(
            retry_rules.MAYBE_RUN, None, 'the refusal bears another id'
        )

    async def _await_answer(
        self,
        call: calls.Call,
        connection: http_client.Connection,
        exchange: typing.Coroutine[typing.Any, typing.Any, typing.Any],
        remaining_s: float,
    ) -> http_client.Answer:
        """Wait for an answer.

        Work that may be repeated is cut off when its caller leaves; other
        work is left to end, as breaking it off would leave its effect
        unknown.
        """
        if call.route.repeatable:
            async with asyncio.timeout(remaining_s + ANSWER_GRACE_S):
                return await exchange
        task = asyncio.get_running_loop().create_task(exchange)
        done = False
        try:
            async with asyncio.timeout(remaining_s + ANSWER_GRACE_S):
                answer = await asyncio.shield(task)
            done = True
            return answer
        finally:
            if not done and not task.done():
                self._detach(task, connection)

    def _detach(
        self,
        task: asyncio.Task[http_client.Answer],
        connection: http_client.Connection,
    ) -> None:
        """Let work end that nobody waits for any more."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(DETACHED_TIMEOUT_S, connection.abort)
        self._detached.add(task)

        def finish(done: asyncio.Task[http_client.Answer]) -> None:
            timer.cancel()
            self._detached.discard(done)
            connection.abort()
            if not done.cancelled():
                # Read, or it would be reported as never retrieved.
                done.exception()

        task.add_done_callback(finish)

    def _evaluate(
        self,
        call: calls.Call,
        target: target_state.Target,
        answer: http_client.Answer,
        elapsed_s: float,
    ) -> Attempt:
        """Tell whether an answer of a run may be passed on, and learn."""
        now = asyncio.get_running_loop().time()
        response_error = calls.response_error(call.request_id, answer)
        if response_error:
            target.record_failure(now)
            return Attempt(retry_rules.MAYBE_RUN, None, response_error)
        if answer.status < 500:
            typical_s = self._times.of_route(call.route.name)
            target.record_success(elapsed_s, typical_s, now)
            was_reported = self._crashes.clear(call.fingerprint)
            if was_reported and self.on_crash_cleared is not None:
                self.on_crash_cleared(call.fingerprint)
            self._times.record(call.service, call.route.name, elapsed_s)
            return Attempt(retry_rules.MAYBE_RUN, answer, '')
        target.record_failure(now)
        if call.route.repeatable and answer.status != 504:
            return Attempt(
                retry_rules.MAYBE_RUN, answer, f'failed ({answer.status})'
            )
        if not retry_rules.may_pass_through(
            answer.status, call.route.repeatable
        ):
            return Attempt(
                retry_rules.MAYBE_RUN, None, f'answered {answer.status}'
            )
        return Attempt(retry_rules.MAYBE_RUN, answer, '')

    def _report_crash(
        self, fingerprint: bytes, target: target_state.Target
    ) -> None:
        target_id = target.entry.target_id
        self._crashes.record_crash(fingerprint, target_id)
        if self.on_crash is not None:
            self.on_crash(fingerprint, target_id)

    def _record_not_run(
        self,
        call: calls.Call,
        target: target_state.Target,
        answer: http_client.Answer,
        now: float,
    ) -> None:
        if call.key is None or answer.status != 421:
            target.record_rejection(now)
            return
        target.record_misdirected(now)
        if self.on_misdirected is not None:
            self.on_misdirected(target.entry.target_id)
