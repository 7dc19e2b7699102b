"""Carries one request of a caller to a target and its answer back."""

import asyncio
import json
import random
import typing

from amaranthcrank.platform import names
from amaranthcrank.router import admission
from amaranthcrank.router import call as calls
from amaranthcrank.router import connection_pool
from amaranthcrank.router import crash_reports
from amaranthcrank.router import directory
from amaranthcrank.router import event_log
from amaranthcrank.router import http_client
from amaranthcrank.router import http_server
from amaranthcrank.router import metrics
from amaranthcrank.router import model
from amaranthcrank.router import retry_rules
from amaranthcrank.router import route_table
from amaranthcrank.router import service_times
from amaranthcrank.router import target_state
from amaranthcrank.router import wait_order

CONNECT_TIMEOUT_S = 0.25
# A target answers at the deadline that it was handed; its answer is awaited
# this much longer than that.
ANSWER_SLACK_S = 0.06
# Work that may not repeat is not sent over a connection that was idle for
# longer: the target may have closed it, and the send could not be repeated.
UNSAFE_IDLE_S = 2.0
SAFE_IDLE_S = 4.0
# A keyed request that its owner disowns waits this long for news of its keys.
DISOWNED_PAUSE_S = 0.05
# Work that may not repeat goes on for this long after its caller left.
ABANDONED_S = 10.0
# When the caller of a request that crashes targets may ask again.
HELD_BACK_S = 30.0
CRASHES = 'the request crashes targets'
# When a caller whose attempts failed should come back.
FAILED_WAIT_S = 0.2


class Attempt(typing.NamedTuple):
    """The result of one send.

    Attributes:
      knowledge: What is known of the request, one of `retry_rules`.
      answer: The target's answer, or None.
      reason: Why it failed; '' for an answer to pass on.
    """

    knowledge: str
    answer: http_client.Answer | None
    reason: str


class Forwarder:
    """Serves the requests of callers.

    Attributes:
      table: The routes in force; None until a ticket is known.
    """

    def __init__(
        self,
        targets: directory.Directory,
        waiting: admission.Admission,
        pool: connection_pool.Pool,
        budget: retry_rules.RetryBudget,
        times: service_times.ServiceTimes,
        crashes: crash_reports.CrashReports,
        log: event_log.EventLog,
        counters: metrics.Registry,
    ) -> None:
        """Serve by the given beliefs."""
        self.table: route_table.RouteTable | None = None
        self.note_key: typing.Callable[[str, int, float], None] | None = None
        self.note_disowned: typing.Callable[[str], None] | None = None
        self.note_crash: typing.Callable[[bytes, str], None] | None = None
        self.note_cleared: typing.Callable[[bytes], None] | None = None
        self._targets = targets
        self._admission = waiting
        self._pool = pool
        self._budget = budget
        self._times = times
        self._crashes = crashes
        self._log = log
        self._metrics = counters
        self._splitter = route_table.Splitter()
        self._longest_s_by_route: dict[str, float] = {}
        self._abandoned: set[asyncio.Task[typing.Any]] = set()

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Answer one request."""
        request_id = request.header(names.REQUEST_ID) or b''
        if self.table is None:
            return self._refuse(request_id, 503, 'no ticket known', 0.5)
        host = (request.header(b'host') or b'').decode('latin-1')
        route = self.table.find(host, request.path.decode('latin-1'))
        if route is None:
            return self._refuse(request_id, 404, 'no route', None)
        call = self._check(request, request_id, route)
        if isinstance(call, http_server.Reply):
            return call
        return await self._serve(call)

    def _check(
        self,
        request: http_server.Request,
        request_id: bytes,
        route: model.Route,
    ) -> calls.Call | http_server.Reply:
        left_s = calls.parse_deadline(
            request.header(names.DEADLINE_MS), route.timeout_s
        )
        if left_s is None:
            return self._refuse(request_id, 400, 'bad deadline', None)
        service = self._splitter.pick(route)
        assert self.table is not None
        known = self.table.ticket.service_by_name.get(service)
        key = None
        if known is not None and known.keyed:
            key = calls.parse_key(request.header(names.KEY))
            if key is None:
                return self._refuse(request_id, 400, 'bad key', None)
            if self.note_key is not None:
                self.note_key(service, key, self._times.of_route(route.name))
        # The time that the caller has spent on earlier tries counts towards
        # the goal. The most time that a route's callers ever had left shows
        # how much they start with.
        longest_s = max(left_s, self._longest_s_by_route.get(route.name, 0.0))
        self._longest_s_by_route[route.name] = longest_s
        goal_s = route.goal_s - (longest_s - left_s)
        arrived_at = request.arrived_at
        return calls.Call(
            request,
            request_id,
            route,
            self.table.ticket.number,
            service,
            key,
            crash_reports.fingerprint(
                request.method, request.path, request.body
            ),
            arrived_at + min(left_s, route.timeout_s),
            arrived_at + goal_s,
        )

    async def _serve(self, call: calls.Call) -> http_server.Reply:
        now = asyncio.get_running_loop().time()
        self._budget.note_request(call.service, now)
        if self._crashes.is_held_back(call.fingerprint):
            return self._refuse(
                call.request_id, 503, CRASHES, HELD_BACK_S, call
            )
        try:
            reply = await self._attempts(call)
        except asyncio.CancelledError:
            self._log.event('caller_left', **self._describe(call, None))
            self._metrics.add('callers_left')
            raise
        elapsed_s = asyncio.get_running_loop().time() - now
        self._metrics.record(
            call.service, call.route.rank, reply.status, elapsed_s
        )
        return reply

    async def _attempts(self, call: calls.Call) -> http_server.Reply:
        progress = calls.Progress()
        while True:
            try:
                attempt = await self._attempt(call, progress)
            except admission.RefusedError as error:
                return self._give_up(call, progress, error)
            if not attempt.reason and attempt.answer is not None:
                return self._pass_on(call, attempt.answer, progress)
            if not self._may_go_on(call, attempt, progress):
                error = admission.RefusedError(attempt.reason, FAILED_WAIT_S)
                return self._give_up(call, progress, error)
            if call.key is None:
                progress.excluded |= {progress.tries[-1].target}
                continue
            await asyncio.sleep(DISOWNED_PAUSE_S)

    async def _attempt(
        self, call: calls.Call, progress: calls.Progress
    ) -> Attempt:
        """Wait for a target and send to it.

        Raises:
          admission.RefusedError: No target will be free in time.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        target = await self._acquire(call, progress.excluded)
        sent_at = loop.time()
        in_flight = target.in_flight
        try:
            attempt = await self._send(call, target)
        finally:
            self._admission.release(target)
        progress.note(attempt.knowledge, attempt.answer)
        status = attempt.answer.status if attempt.answer else 0
        progress.tries.append(
            calls.Try(
                target.entry.target_id,
                round((sent_at - began_at) * 1000),
                in_flight,
                target.elsewhere,
                round(target.slowness, 2),
                round((loop.time() - sent_at) * 1000),
                attempt.reason or str(status),
            )
        )
        return attempt

    async def _acquire(
        self, call: calls.Call, excluded: frozenset[str]
    ) -> target_state.Target:
        standing = wait_order.Standing(
            call.route.rank, call.goal_at, call.deadline_at
        )
        return await self._admission.acquire(
            call.service, standing, call.key, excluded
        )

    def _may_go_on(
        self, call: calls.Call, attempt: Attempt, progress: calls.Progress
    ) -> bool:
        now = asyncio.get_running_loop().time()
        if now >= call.deadline_at:
            return False
        if self._crashes.count(call.fingerprint) > 1:
            # It has ended under two targets: its caller decides.
            return False
        if not retry_rules.may_send_again(
            call.route.repeatable,
            progress.knowledge,
            progress.sends,
            call.route.max_attempts,
        ):
            return False
        if attempt.knowledge == retry_rules.NOT_SENT:
            return True
        return self._budget.try_spend(call.service, now)

    async def _send(
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
            if error.reset and not error.answered:
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
        if answer.is_first or calls.bears_id(call.request_id, answer):
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
    ) -> http_client.Answer:
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
        task: asyncio.Task[http_client.Answer],
        connection: http_client.Connection,
    ) -> None:
        """Let work end that nobody waits for any more."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ABANDONED_S, connection.abort)
        self._abandoned.add(task)

        def finish(done: asyncio.Task[http_client.Answer]) -> None:
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
        answer: http_client.Answer,
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
        answer: http_client.Answer,
        now: float,
    ) -> None:
        if call.key is None or answer.status != 421:
            target.note_full(now)
            return
        target.note_disowned(now)
        if self.note_disowned is not None:
            self.note_disowned(target.entry.target_id)

    def _pass_on(
        self,
        call: calls.Call,
        answer: http_client.Answer,
        progress: calls.Progress,
    ) -> http_server.Reply:
        log = self._log.success if answer.status < 500 else self._log.event
        log('answered', status=answer.status, **self._describe(call, progress))
        return http_server.Reply(
            answer.status, calls.answer_headers(answer), answer.body
        )

    def _give_up(
        self,
        call: calls.Call,
        progress: calls.Progress,
        error: admission.RefusedError,
    ) -> http_server.Reply:
        """Answer a request that no target could serve."""
        now = asyncio.get_running_loop().time()
        if progress.last is not None:
            return self._pass_on(call, progress.last, progress)
        if progress.knowledge == retry_rules.MAYBE_RUN:
            status = 504 if now >= call.deadline_at else 502
            return self._refuse(
                call.request_id, status, error.reason, None, call, progress
            )
        wait_s = retry_rules.retry_after_s(
            error.wait_s, call.deadline_at - now, random.random
        )
        return self._refuse(
            call.request_id, 503, error.reason, wait_s, call, progress
        )

    def _refuse(
        self,
        request_id: bytes,
        status: int,
        reason: str,
        retry_after_s: float | None,
        call: calls.Call | None = None,
        progress: calls.Progress | None = None,
    ) -> http_server.Reply:
        details: dict[str, object] = {'id': request_id.decode('latin-1')}
        if call is not None:
            details = self._describe(call, progress)
        self._log.event(
            'refused',
            status=status,
            reason=reason,
            retry_after_s=retry_after_s,
            **details,
        )
        headers = [(b'content-type', b'application/json')]
        if request_id:
            headers.append((names.REQUEST_ID, request_id))
        if retry_after_s is not None:
            value = f'{retry_after_s:.3f}'.encode()
            headers.append((names.RETRY_AFTER, value))
        body = json.dumps({'status': status, 'reason': reason}).encode()
        return http_server.Reply(status, headers, body)

    def _describe(
        self, call: calls.Call, progress: calls.Progress | None
    ) -> dict[str, object]:
        """Return what a log line says of a request."""
        now = asyncio.get_running_loop().time()
        arrived_at = call.request.arrived_at
        details: dict[str, object] = {
            'id': call.request_id.decode('latin-1'),
            'route': call.route.name,
            'ticket': call.ticket,
            'service': call.service,
            'ms': round((now - arrived_at) * 1000),
            'goal_ms': round((call.goal_at - arrived_at) * 1000),
            'deadline_ms': round((call.deadline_at - arrived_at) * 1000),
            'waiting': self._admission.waiting(call.service),
        }
        if call.key is not None:
            details['key'] = call.key
        if progress is not None:
            details['tries'] = [tuple(one) for one in progress.tries]
        return details
