"""Finds requests that reached a target too long after it said it leaves."""

from collections import abc
import contextlib
import time
import typing

from soak import callers
from soak import target
from standins import platform_settings

# The store's name among what is disturbed.
STORE = 'store'


class Span(typing.NamedTuple):
    """A time in which something was disturbed, in monotonic seconds."""

    start: float
    end: float


class Disturbances:
    """What was disturbed, and when.

    Attributes:
      spans_by_name: The spans of the store, each router and each target.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.spans_by_name: dict[str, list[Span]] = {}

    @contextlib.contextmanager
    def during(self, name: str) -> abc.Iterator[None]:
        """Count the time within as disturbed."""
        start = time.monotonic()
        spans = self.spans_by_name.setdefault(name, [])
        spans.append(Span(start, float('inf')))
        index = len(spans) - 1
        try:
            yield
        finally:
            spans[index] = Span(start, time.monotonic())

    def is_calm(self, name: str, at: float) -> bool:
        """Tell whether a name had settled at a moment."""
        settled_since = at - platform_settings.SETTLE_S
        return not any(
            span.start <= at and span.end >= settled_since
            for span in self.spans_by_name.get(name, ())
        )


def late_runs(
    results: abc.Iterable[callers.Result],
    runs: abc.Iterable[target.Run],
    notice_by_holder: dict[str, float],
    disturbances: Disturbances,
) -> abc.Iterator[str]:
    """Yield a line for each request that was sent too late.

    Routers that were disturbed, and news that the store gave while it was,
    do not count.
    """
    result_by_id = {result.request_id: result for result in results}
    for run in runs:
        notice_at = notice_by_holder.get(run.holder)
        result = result_by_id.get(run.request_id)
        if notice_at is None or result is None:
            continue
        late_s = run.at - notice_at
        if late_s <= platform_settings.DRAIN_S:
            continue
        names = (STORE, result.router, run.holder)
        if not disturbances.is_calm(STORE, notice_at):
            continue
        if not all(
            disturbances.is_calm(name, at)
            for name in names
            for at in (result.sent_at, run.at)
        ):
            continue
        yield f'reached {run.holder} {late_s:.2f} s after its notice: {result}'
