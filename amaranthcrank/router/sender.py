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
ANSWER_SLACK_S = 0.06
# Work that may not repeat is not sent over a connection that was idle for
# longer: the target may have closed it, and the send could not be repeated.
UNSAFE_IDLE_S = 2.0
SAFE_IDLE_S = 4.0
# Work that may not repeat goes on for this long after its caller left.
ABANDONED_S = 10.0


class Attempt(typing.NamedTuple):
    """The result of one send.

    Attributes:
      knowledge: What is known of the request, one of `retry_rules`.
      answer: The target's answer, or None.
      reason: Why it failed; '' for an answer to pass on.
    """

    knowledge: str
    answer: http_client.Response | None
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
        self.note_disowned: typing.Callable[[str], None] | None = None
        self.note_crash: typing.Callable[[bytes, str], None] | None = None
        self.note_cleared: typing.Callable[[bytes], None] | None = None
        self._pool = pool
        self._times = times
        self._crashes = crashes
        self._abandoned: set[asyncio.Task[typing.Any]] = set()

    async def send(
        self, call: calls.Call, target: target_state.Target
    ) -> Attempt:
        """Send a request to a target and judge what comes back."""
        loop = asyncio.get_running_loop()
        idle_s = SAFE_IDLE_S if call.route.repeatable else UNSAFE_IDLE_S
        try:
            connection = await self._pool.acquire(
                target.entry.address, CONNECT_TIMEOUT_S, idle_s
            )
        except http_client.ConnectError as error:
            target.note_unreachable(loop.time(), not error.refused)
            for fingerprint in target.take_resets(loop.time()):
                self._note_crash(fingerprint, target)
            self._pool.drop(target.entry.address)
            return Attempt(
                retry_rules.NOT_SENT, None, f'connecting failed: {error}'
            )
        sent_at = loop.time()
        left_s = call.deadline_at - sent_at
        if left_s <= 0.001:
            self._pool.release(target.entry.address, connection)
            return Attempt(retry_rules.NOT_SENT, None, 'deadline passed')
        exchange = connection.exchange(
            call.request.method,
            call.request.path,
            calls.request_headers(call, target.entry.target_id, left_s),
            call.request.body,
            call.request_id,
        )
        try:
            answer = await self._wait(call, connection, exchange, left_s)
        except http_client.ExchangeError as error:
            if error.disconnected and not error.response_started:
                target.note_unreachable(loop.time())
                target.note_reset(call.fingerprint, loop.time())
                # Its other connections are likely to be as dead.
                self._pool.drop(target.entry.address)
            else:
                target.note_failure(loop.time())
            return Attempt(retry_rules.MAYBE_RUN, None, str(error))
        except TimeoutError:
            target.note_failure(loop.time())
            return Attempt(
                retry_rules.MAYBE_RUN, None, 'no answer before the deadline'
            )
        elapsed_s = loop.time() - sent_at
        if not calls.is_refusal(answer):
            self._pool.release(target.entry.address, connection)
            return self._judge(call, target, answer, elapsed_s)
        # A faulty target may write its refusal once more: where the same
        # request comes again, that could not be told from a new one.
        connection.abort()
        if answer.is_first_on_connection or calls.bears_id(
            call.request_id, answer
        ):
            self._learn_not_run(call, target, answer, loop.time())
            return Attempt(
                retry_rules.NOT_RUN, None, f'not run ({answer.status})'
            )
        target.note_failure(loop.time())
        return Attempt(
            retry_rules.MAYBE_RUN, None, 'the refusal bears another id'
        )

    async def _wait(
        self,
        call: calls.Call,
        connection: http_client.Connection,
        exchange: typing.Coroutine[typing.Any, typing.Any, typing.Any],
        left_s: float,
    ) -> http_client.Response:
        """Wait for an answer.

        Work that may be repeated is cut off when its caller leaves; other
        work is left to end, as breaking it off would leave its effect
        unknown.
        """
        if call.route.repeatable:
            async with asyncio.timeout(left_s + ANSWER_SLACK_S):
                return await exchange
        task = asyncio.get_running_loop().create_task(exchange)
        done = False
        try:
            async with asyncio.timeout(left_s + ANSWER_SLACK_S):
                answer = await asyncio.shield(task)
            done = True
            return answer
        finally:
            if not done and not task.done():
                self._abandon(task, connection)

    def _abandon(
        self,
        task: asyncio.Task[http_client.Response],
        connection: http_client.Connection,
    ) -> None:
        """Let work end that nobody waits for any more."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ABANDONED_S, connection.abort)
        self._abandoned.add(task)

        def finish(done: asyncio.Task[http_client.Response]) -> None:
            timer.cancel()
            self._abandoned.discard(done)
            connection.abort()
            if not done.cancelled():
                # Read, or it would be reported as never retrieved.
                done.exception()

        task.add_done_callback(finish)

    def _judge(
        self,
        call: calls.Call,
        target: target_state.Target,
        answer: http_client.Response,
        elapsed_s: float,
    ) -> Attempt:
        """Tell whether an answer of a run may be passed on, and learn."""
        now = asyncio.get_running_loop().time()
        spoiled = calls.find_fault(call.request_id, answer)
        if spoiled:
            target.note_failure(now)
            return Attempt(retry_rules.MAYBE_RUN, None, spoiled)
        if answer.status < 500:
            usual_s = self._times.of_route(call.route.name)
            target.note_success(elapsed_s, usual_s, now)
            cleared = self._crashes.clear(call.fingerprint)
            if cleared and self.note_cleared is not None:
                self.note_cleared(call.fingerprint)
            self._times.note(call.service, call.route.name, elapsed_s)
            return Attempt(retry_rules.MAYBE_RUN, answer, '')
        target.note_failure(now)
        if call.route.repeatable and answer.status != 504:
            return Attempt(
                retry_rules.MAYBE_RUN, answer, f'failed ({answer.status})'
            )
        if not retry_rules.passes_unchanged(
            answer.status, call.route.repeatable
        ):
            return Attempt(
                retry_rules.MAYBE_RUN, None, f'answered {answer.status}'
            )
        return Attempt(retry_rules.MAYBE_RUN, answer, '')

    def _note_crash(
        self, fingerprint: bytes, target: target_state.Target
    ) -> None:
        target_id = target.entry.target_id
        self._crashes.note_crash(fingerprint, target_id)
        if self.note_crash is not None:
            self.note_crash(fingerprint, target_id)

    def _learn_not_run(
        self,
        call: calls.Call,
        target: target_state.Target,
        answer: http_client.Response,
        now: float,
    ) -> None:
        if call.key is None or answer.status != 421:
            target.note_full(now)
            return
        target.note_disowned(now)
        if self.note_disowned is not None:
            self.note_disowned(target.entry.target_id)
