"""Sends a request to a target, and to a second one if the first is late.

The first valid response is used, and the connection of the other attempt is
closed at once. `hedge_rules` decides; this module keeps the attempts.
"""

import asyncio

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
        demand: demands.Demand,
        target: target_state.Target,
        waited_s: float,
    ) -> sender.Attempt:
        """Send a request and return the better result of its attempts.

        Args:
          call: The request, which has no key and is repeatable.
          progress: Records the attempts.
          demand: What the request asked of admission.
          target: The target of the first attempt; its slot is released here.
          waited_s: How long the request waited for the target.
        """
        first = self._start(call, target, waited_s)
        runs = [first]
        if not progress.attempts:
            self._limits.record_request(call.service, first.began_at)
        try:
            if await self._wait_until_late(call, first):
                hedge = self._start_hedge(call, progress, demand, first)
                if hedge is not None:
                    runs.append(hedge)
            best = await _best_result(runs)
        finally:
            for run in runs:
                run.task.cancel()
        self._learn(call, runs)
        _record(progress, runs, best)
        if best.is_hedge and not best.task.result().reason:
            self._metrics.add('hedges_won')
        return best.task.result()

    def _start(
        self,
        call: calls.Call,
        target: target_state.Target,
        waited_s: float,
        is_hedge: bool = False,
    ) -> '_Run':
        """Start an attempt, which releases its slot at its end."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._sender.send(call, target))
        run = _Run(task, target, waited_s, is_hedge)

        def finish(_: asyncio.Task[sender.Attempt]) -> None:
            run.ended_at = loop.time()
            self._admission.release(target)

        # A task that is cancelled before its first step runs no `finally`.
        task.add_done_callback(finish)
        return run

    async def _wait_until_late(self, call: calls.Call, first: '_Run') -> bool:
        """Wait for the first attempt; return whether it is late."""
        now = first.began_at
        target = first.target
        slowness = target.slowness
        if target.is_cold(now):
            slowness *= target_state.COLD_FACTOR
        delay_s = hedge_rules.delay_s(
            self._latencies.quantile_s(call.route.name, now), slowness
        )
        done, _ = await asyncio.wait({first.task}, timeout=delay_s)
        if delay_s is None:
            return False
        if not done or _is_final(first):
            self._limits.record_attempt(
                call.service, not done, asyncio.get_running_loop().time()
            )
        return not done

    def _start_hedge(
        self,
        call: calls.Call,
        progress: calls.Progress,
        demand: demands.Demand,
        first: '_Run',
    ) -> '_Run | None':
        """Start a second attempt, or return None if there may be none."""
        now = asyncio.get_running_loop().time()
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
            excluded = demand.excluded | {first.target.entry.target_id}
            target = self._admission.try_acquire(
                demand._replace(excluded=excluded)
            )
            reason = self._check_target(call, target, now)
        if target is None or reason:
            if target is not None:
                self._admission.release(target)
            self._metrics.add('hedges_not_sent_' + reason)
            return None
        self._limits.record_hedge(call.service, now)
        self._metrics.add('hedges_sent')
        return self._start(call, target, now - first.began_at, is_hedge=True)

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

    def _learn(self, call: calls.Call, runs: list['_Run']) -> None:
        """Record the time of the first attempt, and of abandoned ones."""
        now = asyncio.get_running_loop().time()
        route = call.route.name
        for run in runs:
            is_abandoned = not _has_result(run)
            elapsed_s = run.elapsed_s(now)
            if is_abandoned:
                typical_s = self._times.of_route(route)
                run.target.record_abandoned(elapsed_s, typical_s, now)
            if not run.is_hedge and (is_abandoned or _is_final(run)):
                self._latencies.record(route, elapsed_s, now)


class _Run:
    """An attempt that runs or has ended.

    Attributes:
      task: Sends the request.
      target: Its target, of which it holds a slot.
      is_hedge: Whether it is the second attempt.
      began_at: When it was started, in event loop time.
      ended_at: When it ended, or None.
    """

    def __init__(
        self,
        task: asyncio.Task[sender.Attempt],
        target: target_state.Target,
        waited_s: float,
        is_hedge: bool,
    ) -> None:
        self.task = task
        self.target = target
        self.is_hedge = is_hedge
        self.began_at = asyncio.get_running_loop().time()
        self.ended_at: float | None = None
        self._waited_s = waited_s
        self._in_flight = target.in_flight

    def elapsed_s(self, now: float) -> float:
        """Return how long it has run, or ran."""
        ended_at = now if self.ended_at is None else self.ended_at
        return ended_at - self.began_at

    def log_record(self, now: float) -> calls.AttemptRecord:
        """Return its record in the log of the request."""
        result = CANCELLED
        if _has_result(self):
            attempt = self.task.result()
            result = attempt.reason or str(_status(attempt))
        return calls.AttemptRecord(
            self.target.entry.target_id,
            round(self._waited_s * 1000),
            self._in_flight,
            self.target.in_flight_elsewhere,
            round(self.target.slowness, 2),
            round(self.elapsed_s(now) * 1000),
            HEDGE_PREFIX + result if self.is_hedge else result,
        )


async def _best_result(runs: list[_Run]) -> _Run:
    """Wait for a valid response, or for all results; return the best one.

    The first attempt is returned if both are equal.
    """
    pending = {run.task for run in runs if not run.task.done()}
    while pending and not any(map(_is_final, runs)):
        _, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
    return min((run for run in runs if run.task.done()), key=_preference)


def _has_result(run: _Run) -> bool:
    return run.task.done() and not run.task.cancelled()


def _status(attempt: sender.Attempt) -> int:
    return attempt.response.status if attempt.response else 0


def _is_final(run: _Run) -> bool:
    if not run.task.done():
        return False
    attempt = run.task.result()
    return hedge_rules.is_final(_status(attempt), attempt.reason)


def _preference(run: _Run) -> int:
    attempt = run.task.result()
    return hedge_rules.preference(
        _status(attempt), attempt.reason, attempt.execution
    )


def _record(progress: calls.Progress, runs: list[_Run], best: _Run) -> None:
    """Record the attempts of a request; the best result is the last one."""
    now = asyncio.get_running_loop().time()
    for run in runs:
        progress.attempts.append(run.log_record(now))
        if run is best:
            continue
        execution = retry_rules.MAYBE_RUN
        if _has_result(run):
            execution = run.task.result().execution
        progress.record_attempt(execution, None)
    attempt = best.task.result()
    progress.record_attempt(attempt.execution, attempt.response)
