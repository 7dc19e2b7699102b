"""Forwards the requests of callers to targets and returns the responses."""

import asyncio
import functools
import json
import random
import typing

from amaranthcrank.platform import names
from amaranthcrank.router import admission
from amaranthcrank.router import call as calls
from amaranthcrank.router import crash_reports
from amaranthcrank.router import demand
from amaranthcrank.router import event_log
from amaranthcrank.router import hedged_attempts
from amaranthcrank.router import http_client
from amaranthcrank.router import http_server
from amaranthcrank.router import metrics
from amaranthcrank.router import model
from amaranthcrank.router import retry_rules
from amaranthcrank.router import route_table
from amaranthcrank.router import sender
from amaranthcrank.router import service_times
from amaranthcrank.router import shutdown_timeout
from amaranthcrank.router import wait_order

# Delay before a keyed request is retried after its target did not hold the
# key. Meanwhile this host may receive an update of the key map.
MISDIRECTED_PAUSE_S = 0.05
# Retry-After for a request that is blocked because it crashes targets.
CRASHING_RETRY_AFTER_S = 30.0
CRASHING_REASON = 'the request crashes targets'
ENDING_REASON = 'the host ends before the target has answered'
# Basis of Retry-After for a request whose attempts failed.
FAILED_RETRY_AFTER_S = 0.2


class Forwarder:
    """Handles the requests of callers.

    Attributes:
      table: The routes in force; None until a ticket is known.
      on_keyed_request: Called with the service, the key and the typical
        service time in seconds of each keyed request.
      on_blocked: Called with the fingerprint of each request that is refused
        because it crashes targets.
      shutdown: Ends the requests in progress when the process ends.
    """

    def __init__(
        self,
        request_queue: admission.Admission,
        request_sender: sender.Sender,
        budget: retry_rules.RetryBudget,
        times: service_times.ServiceTimes,
        crashes: crash_reports.CrashReports,
        log: event_log.EventLog,
        counters: metrics.Registry,
        hedging: hedged_attempts.HedgedAttempts | None = None,
    ) -> None:
        """Create a forwarder without routes.

        Args:
          request_queue: Assigns requests to targets.
          request_sender: Sends requests to targets.
          budget: Limits retries.
          times: The typical service times.
          crashes: Determines which requests are blocked.
          log: Logs the result of each request.
          counters: Counts results.
          hedging: Runs the attempts of requests that may be hedged; None if
            none may.
        """
        self.table: route_table.RouteTable | None = None
        self.on_keyed_request: (
            typing.Callable[[str, int, float], None] | None
        ) = None
        self.on_blocked: typing.Callable[[bytes], None] | None = None
        self.shutdown = shutdown_timeout.ShutdownTimeout()
        self._admission = request_queue
        self._sender = request_sender
        self._budget = budget
        self._times = times
        self._crashes = crashes
        self._log = log
        self._metrics = counters
        self._hedging = hedging
        self._splitter = route_table.TrafficSplitter()
        self._max_deadline_s_by_route: dict[str, float] = {}

    def is_idempotent(self, request: http_server.Request) -> bool:
        """Return whether a request may run at the same time as others."""
        route = self._find_route(request)
        return route is not None and route.repeatable

    def _find_route(self, request: http_server.Request) -> model.Route | None:
        if self.table is None:
            return None
        host = (request.header(b'host') or b'').decode('latin-1')
        return self.table.find(host, request.path.decode('latin-1'))

    async def handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Return the response to a request."""
        request_id = request.header(names.REQUEST_ID) or b''
        if self.table is None:
            return self._refuse(request_id, 503, 'no ticket known', 0.5)
        route = self._find_route(request)
        if route is None:
            return self._refuse(request_id, 404, 'no route', None)
        call = self._parse_call(request, request_id, route)
        if isinstance(call, http_server.Response):
            return call
        return await self._serve_call(call)

    def _parse_call(
        self,
        request: http_server.Request,
        request_id: bytes,
        route: model.Route,
    ) -> calls.Call | http_server.Response:
        remaining_s = calls.parse_deadline(
            request.header(names.DEADLINE_MS), route.timeout_s
        )
        if remaining_s is None:
            return self._refuse(request_id, 400, 'bad deadline', None)
        service = self._splitter.pick(route)
        assert self.table is not None
        service_config = self.table.ticket.service_by_name.get(service)
        key = None
        if service_config is not None and service_config.keyed:
            key = calls.parse_key(request.header(names.KEY))
            if key is None:
                return self._refuse(request_id, 400, 'bad key', None)
            if self.on_keyed_request is not None:
                self.on_keyed_request(
                    service, key, self._times.of_route(route.name)
                )
        # The time that the caller spent on earlier attempts counts towards
        # the goal. Callers start with the longest remaining time that was seen
        # for the route.
        max_deadline_s = max(
            remaining_s, self._max_deadline_s_by_route.get(route.name, 0.0)
        )
        self._max_deadline_s_by_route[route.name] = max_deadline_s
        goal_s = route.goal_s - (max_deadline_s - remaining_s)
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
            arrived_at + min(remaining_s, route.timeout_s),
            arrived_at + goal_s,
        )

    async def _serve_call(self, call: calls.Call) -> http_server.Response:
        now = asyncio.get_running_loop().time()
        self._budget.record_request(call.service, now)
        if self._crashes.is_blocked(call.fingerprint):
            if self.on_blocked is not None:
                self.on_blocked(call.fingerprint)
            return self._refuse(
                call.request_id,
                503,
                CRASHING_REASON,
                CRASHING_RETRY_AFTER_S,
                call,
            )
        progress = calls.Progress()
        try:
            async with self.shutdown.limit():
                response = await self._run_attempts(call, progress)
        except shutdown_timeout.ProcessEndsError:
            response = self._refuse(
                call.request_id, 502, ENDING_REASON, None, call, progress
            )
        except asyncio.CancelledError:
            self._log.event('caller_left', **self._describe(call, None))
            self._metrics.add('callers_left')
            raise
        elapsed_s = asyncio.get_running_loop().time() - now
        self._metrics.record(
            call.service, call.route.rank, response.status, elapsed_s
        )
        return response

    async def _run_attempts(
        self, call: calls.Call, progress: calls.Progress
    ) -> http_server.Response:
        while True:
            try:
                attempt = await self._attempt(call, progress)
            except demand.RefusedError as error:
                return self._reply_unserved(call, progress, error)
            if not attempt.reason and attempt.response is not None:
                return self._pass_through(call, attempt.response, progress)
            if not self._may_retry(call, attempt, progress):
                error = demand.RefusedError(
                    attempt.reason, FAILED_RETRY_AFTER_S
                )
                return self._reply_unserved(call, progress, error)
            if call.key is None:
                progress.excluded = frozenset(
                    record.target for record in progress.attempts
                )
                continue
            await asyncio.sleep(MISDIRECTED_PAUSE_S)

    async def _attempt(
        self, call: calls.Call, progress: calls.Progress
    ) -> sender.Attempt:
        """Wait for a target and send the request to it.

        Raises:
          demand.RefusedError: No target will be free in time, or the request
            crashes targets.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        target = await self._admission.acquire(
            self._demand(call, progress.excluded)
        )
        if self._crashes.is_blocked(call.fingerprint):
            # It was blocked while the request waited.
            self._admission.release(target)
            raise demand.RefusedError(CRASHING_REASON, CRASHING_RETRY_AFTER_S)
        sent_at = loop.time()
        if (
            self._hedging is not None
            and call.key is None
            and call.route.repeatable
        ):
            return await self._hedging.run(
                call,
                progress,
                functools.partial(self._demand, call),
                target,
                sent_at - began_at,
            )
        in_flight = target.in_flight
        try:
            attempt = await self._sender.send(call, target)
        finally:
            self._admission.release(target)
        progress.record_attempt(attempt.execution, attempt.response)
        status = attempt.response.status if attempt.response else 0
        progress.attempts.append(
            calls.AttemptRecord(
                target.entry.target_id,
                round((sent_at - began_at) * 1000),
                in_flight,
                target.in_flight_elsewhere,
                round(target.slowness, 2),
                round((loop.time() - sent_at) * 1000),
                attempt.reason or str(status),
            )
        )
        return attempt

    def _demand(
        self, call: calls.Call, excluded: frozenset[str]
    ) -> demand.Demand:
        priority = wait_order.Priority(
            call.route.rank, call.goal_at, call.deadline_at
        )
        route = call.route
        regions = route.allowed_regions
        if self.table is not None:
            # The ticket may have changed since an earlier attempt.
            regions = demand.intersect(regions, self.table.regions(route))
        return demand.Demand(
            call.service, priority, call.key, excluded, regions, route
        )

    def _may_retry(
        self,
        call: calls.Call,
        attempt: sender.Attempt,
        progress: calls.Progress,
    ) -> bool:
        now = asyncio.get_running_loop().time()
        if now >= call.deadline_at:
            return False
        if self._crashes.count(call.fingerprint) > 1:
            # Two targets crashed on it, so only its caller may repeat it.
            return False
        if not retry_rules.may_retry(
            call.route.repeatable,
            progress.execution,
            progress.send_count,
            call.route.max_attempts,
        ):
            return False
        if attempt.execution == retry_rules.NOT_SENT:
            return True
        return self._budget.try_spend(call.service, now)

    def _pass_through(
        self,
        call: calls.Call,
        response: http_client.Response,
        progress: calls.Progress,
    ) -> http_server.Response:
        log = self._log.success if response.status < 500 else self._log.event
        log(
            'answered',
            status=response.status,
            **self._describe(call, progress),
        )
        return http_server.Response(
            response.status, calls.response_headers(response), response.body
        )

    def _reply_unserved(
        self,
        call: calls.Call,
        progress: calls.Progress,
        error: demand.RefusedError,
    ) -> http_server.Response:
        """Return the response to a request that no target answered."""
        now = asyncio.get_running_loop().time()
        if progress.last_response is not None:
            return self._pass_through(call, progress.last_response, progress)
        if progress.execution == retry_rules.MAYBE_RUN:
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
    ) -> http_server.Response:
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
        return http_server.Response(status, headers, body)

    def _describe(
        self, call: calls.Call, progress: calls.Progress | None
    ) -> dict[str, object]:
        """Return the fields that log events of a request have in common."""
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
            details['tries'] = [tuple(record) for record in progress.attempts]
        return details
