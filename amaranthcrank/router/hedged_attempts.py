"""Sends a request to a target, and to a second one if the first is late.

The first valid response is used, and the connection of the other attempt is
closed at once. `hedge_rules` decides; this module runs the attempts.

The first attempt runs in the task of the request, because a task of its own
and a wait for it would cost each request 0.03 ms and more.
"""

import asyncio
import contextlib
import typing

from amaranthcrank.router import admission
from amaranthcrank.router import call as calls
from amaranthcrank.router import crash_reports
from amaranthcrank.router import demand as demands
from amaranthcrank.router import hedge_rules
from amaranthcrank.router import latency_quantiles
from amaranthcrank.router import metrics
from amaranthcrank.router import retry_rules
from amaranthcrank.router import sender
from amaranthcrank.router import service_times
from amaranthcrank.router import target_state

CANCELLED = 'cancelled'
# Before the results of hedges in the request log.
HEDGE_PREFIX = 'hedge '

NewDemand = typing.Callable[[frozenset[str]], demands.Demand]


class HedgedAttempts:
    """Runs the attempts of requests that may be hedged."""

    def __init__(
        self,
        request_queue: admission.Admission,
        request_sender: sender.Sender,
        budget: retry_rules.RetryBudget,
        times: service_times.ServiceTimes,
        crashes: crash_reports.CrashReports,
        counters: metrics.Registry,
        ratio: float,
    ) -> None:
        """Start without samples.

        Args:
          request_queue: Assigns requests to targets.
          request_sender: Sends requests to targets.
          budget: Limits retries, and hedges with them.
          times: The typical service times.
          crashes: Knows the requests that targets crashed on.
          counters: Counts hedges.
          ratio: The largest share of a service's requests that may be hedged.
        """
        self._admission = request_queue
        self._sender = request_sender
        self._budget = budget
        self._times = times
        self._crashes = crashes
        self._metrics = counters
        self._latencies = latency_quantiles.LatencyQuantiles()
        self._limits = hedge_rules.HedgeLimits(ratio)

    async def run(
        self,
        call: calls.Call,
        progress: calls.Progress,
        new_demand: NewDemand,
        target: target_state.Target,
        waited_s: float,
    ) -> sender.Attempt:
        """Send a request and return the better result of its attempts.

        Args:
          call: The request, which has no key and is repeatable.
          progress: Records the attempts.
          new_demand: Returns what the request asks of admission by the
            newest ticket, without the given targets.
          target: The target of the first attempt; its slot is released here.
          waited_s: How long the request waited for the target.
        """
        first = _Run(target, waited_s, is_hedge=False)
        runs = [first]
        delay_s = self._delay_s(call, first)
        if not progress.attempts:
            self._limits.record_request(call.service, first.began_at)
        with contextlib.ExitStack() as stack:
            stack.callback(_cancel_hedges, runs)
            interruption = asyncio.timeout(None)

            def start_hedge() -> None:
                hedge = self._start_hedge(call, progress, new_demand, first)
                if hedge is not None:
                    hedge.on_end = interrupt_first
                    runs.append(hedge)

            def interrupt_first(hedge: _Run) -> None:
                if first.ended_at is None and hedge.is_final:
                    interruption.reschedule(hedge.ended_at)

            if delay_s is not None:
                loop = asyncio.get_running_loop()
                stack.callback(loop.call_later(delay_s, start_hedge).cancel)
            await self._run_first(call, first, interruption)
            for hedge in runs[1:]:
                if hedge.task is not None and not first.is_final:
                    await asyncio.wait({hedge.task})
        if delay_s is not None and first.is_final and not first.is_late:
            self._limits.record_attempt(call.service, False, first.ended_at)
        return self._finish(call, progress, runs)

    async def _run_first(
        self, call: calls.Call, first: '_Run', interruption: asyncio.Timeout
    ) -> None:
        """Run the first attempt until it ends or is interrupted."""
        loop = asyncio.get_running_loop()
        try:
            async with interruption:
                first.attempt = await self._sender.send(call, first.target)
        except TimeoutError:
            if not interruption.expired():
                raise
        finally:
            first.ended_at = loop.time()
            self._admission.release(first.target)

    def _delay_s(self, call: calls.Call, first: '_Run') -> float | None:
        """Return after how many seconds the first attempt is late."""
        now = first.began_at
        slowness = first.target.slowness
        if first.target.is_cold(now):
            slowness *= target_state.COLD_FACTOR
        quantile_s = self._latencies.quantile_s(call.route.name, now)
        return hedge_rules.delay_s(quantile_s, slowness)

    def _start_hedge(
        self,
        call: calls.Call,
        progress: calls.Progress,
        new_demand: NewDemand,
        first: '_Run',
    ) -> '_Run | None':
        """Start a second attempt, or return None if there may be none."""
        now = asyncio.get_running_loop().time()
        first.is_late = True
        self._limits.record_attempt(call.service, True, now)
        reason = self._limits.refusal(
            hedge_rules.LateAttempt(
                call.service,
                now,
                call.deadline_at,
                self._times.of_route(call.route.name),
                progress.send_count + 1,
                call.route.max_attempts,
                self._crashes.count(call.fingerprint),
                self._admission.waiting(call.service),
            )
        )
        target = None
        if not reason:
            excluded = progress.excluded | {first.target.entry.target_id}
            target = self._admission.try_acquire(new_demand(excluded))
            reason = self._check_target(call, target, now)
        if target is None or reason:
            if target is not None:
                self._admission.release(target)
            self._metrics.add('hedges_not_sent_' + reason)
            return None
        self._limits.record_hedge(call.service, now)
        self._metrics.add('hedges_sent')
        return self._start(call, target, now - first.began_at)

    def _check_target(
        self, call: calls.Call, target: target_state.Target | None, now: float
    ) -> str:
        """Return why a target does not get a hedge, or spend the budget."""
        if target is None:
            return hedge_rules.NO_TARGET
        failure_rate = target.current_failure_rate(now)
        if failure_rate > hedge_rules.MAX_FAILURE_RATE:
            return hedge_rules.TARGET_FAILING
        if not self._budget.try_spend(call.service, now):
            return hedge_rules.BUDGET
        return ''

    def _start(
        self, call: calls.Call, target: target_state.Target, waited_s: float
    ) -> '_Run':
        """Start a second attempt, which releases its slot at its end."""
        loop = asyncio.get_running_loop()
        hedge = _Run(target, waited_s, is_hedge=True)
        hedge.task = loop.create_task(self._sender.send(call, target))

        def finish(task: asyncio.Task[sender.Attempt]) -> None:
            hedge.ended_at = loop.time()
            self._admission.release(target)
            if task.cancelled():
                return
            error = task.exception()
            if error is not None:
                # A fault of the program. The first attempt goes on.
                loop.call_exception_handler(
                    {'message': 'hedge failed', 'exception': error}
                )
                return
            hedge.attempt = task.result()
            if hedge.on_end is not None:
                hedge.on_end(hedge)

        # A task that is cancelled before its first step runs no `finally`.
        hedge.task.add_done_callback(finish)
        return hedge

    def _finish(
        self, call: calls.Call, progress: calls.Progress, runs: list['_Run']
    ) -> sender.Attempt:
        """Record the attempts and return the better result."""
        now = asyncio.get_running_loop().time()
        route = call.route.name
        for run in runs:
            elapsed_s = run.elapsed_s(now)
            is_abandoned = run.attempt is None
            if is_abandoned:
                typical_s = self._times.of_route(route)
                run.target.record_abandoned(elapsed_s, typical_s, now)
            if not run.is_hedge and (is_abandoned or run.is_final):
                self._latencies.record(route, elapsed_s, now)
        best, attempt = _best_result(runs)
        _record(progress, runs, best, now)
        if best.is_hedge and not attempt.reason:
            self._metrics.add('hedges_won')
        return attempt


class _Run:
    """An attempt that runs or has ended.

    Attributes:
      target: Its target, of which it holds a slot until it has ended.
      is_hedge: Whether it is the second attempt.
      is_late: Whether it ran for longer than the delay.
      began_at: When it was started, in event loop time.
      ended_at: When it ended, or None.
      attempt: Its result; None if it has none yet or was cancelled.
      task: Sends the request; None for the first attempt.
      on_end: Called with this once there is a result.
    """

    def __init__(
        self, target: target_state.Target, waited_s: float, is_hedge: bool
    ) -> None:
        self.target = target
        self.is_hedge = is_hedge
        self.is_late = False
        self.began_at = asyncio.get_running_loop().time()
        self.ended_at: float | None = None
        self.attempt: sender.Attempt | None = None
        self.task: asyncio.Task[sender.Attempt] | None = None
        self.on_end: typing.Callable[[_Run], None] | None = None
        self._waited_s = waited_s
        self._in_flight = target.in_flight

    @property
    def status(self) -> int:
        """The status of the response, or 0."""
        if self.attempt is None or self.attempt.response is None:
            return 0
        return self.attempt.response.status

    @property
    def is_final(self) -> bool:
        """Whether the result ends the other attempt."""
        if self.attempt is None:
            return False
        return hedge_rules.is_final(self.status, self.attempt.reason)

    def elapsed_s(self, now: float) -> float:
        """Return how long it has run, or ran."""
        ended_at = now if self.ended_at is None else self.ended_at
        return ended_at - self.began_at

    def log_record(self, now: float) -> calls.AttemptRecord:
        """Return its record in the log of the request."""
        result = CANCELLED
        if self.attempt is not None:
            result = self.attempt.reason or str(self.status)
        return calls.AttemptRecord(
            self.target.entry.target_id,
            round(self._waited_s * 1000),
            self._in_flight,
            self.target.in_flight_elsewhere,
            round(self.target.slowness, 2),
            round(self.elapsed_s(now) * 1000),
            HEDGE_PREFIX + result if self.is_hedge else result,
        )


def _cancel_hedges(runs: list[_Run]) -> None:
    for run in runs:
        if run.task is not None:
            run.task.cancel()


def _best_result(runs: list[_Run]) -> tuple[_Run, sender.Attempt]:
    """Return the better result; the first attempt if both are equal."""
    results = [(run, run.attempt) for run in runs if run.attempt is not None]
    return min(
        results,
        key=lambda pair: hedge_rules.preference(
            pair[0].status, pair[1].reason, pair[1].execution
        ),
    )


def _record(
    progress: calls.Progress, runs: list[_Run], best: _Run, now: float
) -> None:
    """Record the attempts of a request; the best result is the last one."""
    for run in sorted(runs, key=lambda run: run is best):
        execution = retry_rules.MAYBE_RUN
        response = None
        if run.attempt is not None:
            execution = run.attempt.execution
            response = run.attempt.response
        progress.record_attempt(execution, response)
    progress.attempts += [run.log_record(now) for run in runs]
