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
