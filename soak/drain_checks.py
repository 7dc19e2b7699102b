"""Finds requests that reached a target after its drain time had passed."""

from collections import abc
import contextlib
import time
import typing

from soak import callers
from soak import target
from standins import platform_settings

# The name under which faults of the store are recorded.
STORE = 'store'


# How long a response takes to pass through a router, at most.
PASSING_S = 0.25


def process_of(router: str) -> str:
    """Return the name under which faults of a router's process are kept."""
    return f'process of {router}'


class Interval(typing.NamedTuple):
    """The time in which a fault was active, in monotonic seconds."""

    start: float
    end: float


class FaultIntervals:
    """When a fault was active at each component.

    Attributes:
      intervals_by_name: The intervals of the store, by STORE, and of each
        router and target.
    """

    def __init__(self) -> None:
        """Start without intervals."""
        self.intervals_by_name: dict[str, list[Interval]] = {}

    @contextlib.contextmanager
    def record(self, name: str) -> abc.Iterator[None]:
        """Record a fault of a component for the duration of the block."""
        start = time.monotonic()
        intervals = self.intervals_by_name.setdefault(name, [])
        intervals.append(Interval(start, float('inf')))
        index = len(intervals) - 1
        try:
            yield
        finally:
            intervals[index] = Interval(start, time.monotonic())

    @contextlib.contextmanager
    def record_process(self, router: str) -> abc.Iterator[None]:
        """Record that a router's process does not run, for the block."""
        with self.record(router), self.record(process_of(router)):
            yield

    def ran_throughout(self, router: str, start: float, end: float) -> bool:
        """Return whether a router's process ran during a period."""
        return not any(
            interval.start <= end and interval.end >= start
            for interval in self.intervals_by_name.get(process_of(router), ())
        )

    def is_fault_free(self, name: str, at: float) -> bool:
        """Return whether a component was free of faults at a moment.

        It has no fault then and has had none for SETTLE_S.
        """
        fault_free_since = at - platform_settings.SETTLE_S
        return not any(
            interval.start <= at and interval.end >= fault_free_since
            for interval in self.intervals_by_name.get(name, ())
        )


def late_runs(
    results: abc.Iterable[callers.Result],
    runs: abc.Iterable[target.Run],
    drain_start_by_holder: dict[str, float],
    fault_intervals: FaultIntervals,
) -> abc.Iterator[str]:
    """Yield a description of each run that began after the drain time.

    Runs are ignored if the store, the router or the target had a fault at
    that time, or if the store had one when the drain began.

    Args:
      results: What callers sent.
      runs: What targets ran.
      drain_start_by_holder: When each target began to drain or its entry was
        removed, in monotonic seconds.
      fault_intervals: When faults were active.
    """
    result_by_id = {result.request_id: result for result in results}
    for run in runs:
        drain_started_at = drain_start_by_holder.get(run.holder)
        result = result_by_id.get(run.request_id)
        if drain_started_at is None or result is None:
            continue
        late_s = run.at - drain_started_at
        if late_s <= platform_settings.DRAIN_S:
            continue
        names = (STORE, result.router, run.holder)
        if not fault_intervals.is_fault_free(STORE, drain_started_at):
            continue
        if not all(
            fault_intervals.is_fault_free(name, at)
            for name in names
            for at in (result.sent_at, run.at)
        ):
            continue
        yield (
            f'reached {run.holder} {late_s:.2f} s after its drain began: '
            f'{result}'
        )


def ignored_notices(
    results: abc.Iterable[callers.Result],
    runs: abc.Iterable[target.Run],
    answers: abc.Iterable[target.LeavingAnswer],
    fault_intervals: FaultIntervals,
) -> abc.Iterator[str]:
    """Yield each run that a router sent although the target said it leaves.

    A router that has passed such a response on knows it, whatever becomes of
    its connections; only a restart or a suspension excuses it.

    Args:
      results: What callers sent.
      runs: What targets ran.
      answers: The responses in which targets said that they are leaving.
      fault_intervals: When faults were active.
    """
    result_by_id = {result.request_id: result for result in results}
    known_at: dict[tuple[str, str], float] = {}
    for answer in answers:
        result = result_by_id.get(answer.request_id)
        if result is None or result.status != 200:
            continue
        known_at.setdefault((result.router, answer.holder), answer.at)
    for run in runs:
        result = result_by_id.get(run.request_id)
        if result is None:
            continue
        at = known_at.get((result.router, run.holder))
        if at is None:
            continue
        late_s = result.sent_at - at - PASSING_S
        if late_s <= platform_settings.DRAIN_S:
            continue
        if fault_intervals.ran_throughout(result.router, at, run.at):
            yield (
                f'sent to {run.holder} {late_s:.2f} s after it had said that '
                f'it leaves: {result}'
            )
