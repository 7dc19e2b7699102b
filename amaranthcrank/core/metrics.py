"""Counters, gauges and latency histograms of one process.

The functions of the module use the one registry of the process. Latency
quantiles cover the last one to two windows, because quantiles since the
start of the process would hide recent changes. Counters and sums cover the
whole time since the start.
"""

import threading
import time
import typing

from hdrh import histogram

from amaranthcrank.core import codes

PREFIX = 'amaranthcrank_'
QUANTILES = (0.5, 0.9, 0.99)
WINDOW_S = 60.0
# With two significant digits a histogram has 2,688 counts of 8 bytes (22 KB).
SIGNIFICANT_DIGITS = 2
MAX_LATENCY_US = 120_000_000
# Callers choose the name of the service in a request, so the number of
# services with histograms of their own is limited; all others share
# OTHER_SERVICE.
MAX_SERVICES = 128
OTHER_SERVICE = 'other'

_Labels = tuple[tuple[str, str], ...]


class _Latency:
    """The latencies of one service and rank."""

    def __init__(self) -> None:
        self.current = _new_histogram()
        self.previous = _new_histogram()
        self.count = 0
        self.sum_s = 0.0


class Registry:
    """The metrics of one process; thread-safe."""

    def __init__(
        self, clock: typing.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._window_started_at = clock()
        self._latency_by_labels: dict[tuple[str, str], _Latency] = {}
        self._count_by_labels: dict[tuple[str, str, int], int] = {}
        self._gauge_by_name: dict[str, dict[_Labels, float]] = {}
        self._counter_by_name: dict[str, dict[_Labels, float]] = {}
        self._services: set[str] = set()

    def record_request(
        self, service: str, rank: str, code: int, seconds: float
    ) -> None:
        """Count one completed request.

        Args:
          service: The service, empty if the path named none.
          rank: The rank of the request.
          code: The number of the result code.
          seconds: The time from the arrival of the request to the response.
        """
        latency_us = min(max(int(seconds * 1e6), 1), MAX_LATENCY_US)
        with self._lock:
            if service not in self._services:
                if len(self._services) < MAX_SERVICES:
                    self._services.add(service)
                else:
                    service = OTHER_SERVICE
            labels = (service, rank, code)
            count = self._count_by_labels.get(labels, 0)
            self._count_by_labels[labels] = count + 1
            self._rotate()
            latency = self._latency_by_labels.get((service, rank))
            if latency is None:
                latency = _Latency()
                self._latency_by_labels[service, rank] = latency
            latency.current.record_value(latency_us)
            latency.count += 1
            latency.sum_s += seconds

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set the gauge `amaranthcrank_<name>`."""
        with self._lock:
            values = self._gauge_by_name.setdefault(name, {})
            values[_label_key(labels)] = value

    def remove_gauge(self, name: str, **labels: str) -> None:
        """Remove a gauge, such as one of a target that was removed."""
        with self._lock:
            self._gauge_by_name.get(name, {}).pop(_label_key(labels), None)

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increment the counter `amaranthcrank_<name>_total`."""
        with self._lock:
            values = self._counter_by_name.setdefault(name, {})
            key = _label_key(labels)
            values[key] = values.get(key, 0) + amount

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            self._rotate()
            lines = [
                *self._render_requests(),
                *self._render_latencies(),
                *_render_values('gauge', '', self._gauge_by_name),
                *_render_values('counter', '_total', self._counter_by_name),
            ]
        return '\n'.join(lines) + '\n'

    def _rotate(self) -> None:
        elapsed = self._clock() - self._window_started_at
        if elapsed < WINDOW_S:
            return
        self._window_started_at += elapsed - elapsed % WINDOW_S
        for latency in self._latency_by_labels.values():
            latency.previous, latency.current = (
                latency.current,
                latency.previous,
            )
            latency.current.reset()
            if elapsed >= 2 * WINDOW_S:
                latency.previous.reset()

    def _render_requests(self) -> typing.Iterator[str]:
        yield f'# TYPE {PREFIX}requests_total counter'
        for labels, count in sorted(self._count_by_labels.items()):
            service, rank, number = labels
            code = codes.CODE_BY_NUMBER.get(number)
            pairs = (
                ('code', str(number)),
                ('outcome', code.outcome if code else 'none'),
                ('rank', rank),
                ('service', service),
            )
            yield f'{PREFIX}requests_total{_render_labels(pairs)} {count}'

    def _render_latencies(self) -> typing.Iterator[str]:
        name = f'{PREFIX}request_seconds'
        max_lines = []
        yield f'# TYPE {name} summary'
        for labels, latency in sorted(self._latency_by_labels.items()):
            service, rank = labels
            pairs = (('rank', rank), ('service', service))
            window = _new_histogram()
            window.add(latency.previous)
            window.add(latency.current)
            label_text = _render_labels(pairs)
            max_lines.append(
                f'{name}_max{label_text} {window.get_max_value() / 1e6:g}'
            )
            for quantile in QUANTILES:
                value = window.get_value_at_percentile(quantile * 100) / 1e6
                quantile_text = _render_labels(
                    (*pairs, ('quantile', f'{quantile}'))
                )
                yield f'{name}{quantile_text} {value:g}'
            yield f'{name}_sum{label_text} {latency.sum_s:g}'
            yield f'{name}_count{label_text} {latency.count}'
        yield f'# TYPE {name}_max gauge'
        yield from max_lines


_PROCESS_REGISTRY = Registry()


def record_request(service: str, rank: str, code: int, seconds: float) -> None:
    """Count one completed request in the registry of this process."""
    _PROCESS_REGISTRY.record_request(service, rank, code, seconds)


def set_gauge(name: str, value: float, **labels: str) -> None:
    """Set a gauge in the registry of this process."""
    _PROCESS_REGISTRY.set_gauge(name, value, **labels)


def remove_gauge(name: str, **labels: str) -> None:
    """Remove a gauge from the registry of this process."""
    _PROCESS_REGISTRY.remove_gauge(name, **labels)


def add(name: str, amount: float = 1, **labels: str) -> None:
    """Increment a counter in the registry of this process."""
    _PROCESS_REGISTRY.add(name, amount, **labels)


def render() -> str:
    """Return the metrics of this process in the Prometheus text format."""
    return _PROCESS_REGISTRY.render()


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _label_key(labels: dict[str, str]) -> _Labels:
    return tuple(sorted(labels.items()))


def _render_values(
    kind: str, suffix: str, values_by_name: dict[str, dict[_Labels, float]]
) -> typing.Iterator[str]:
    for name, values in sorted(values_by_name.items()):
        if not values:
            continue
        full_name = f'{PREFIX}{name}{suffix}'
        yield f'# TYPE {full_name} {kind}'
        for labels, value in sorted(values.items()):
            yield f'{full_name}{_render_labels(labels)} {value:.15g}'


def _render_labels(labels: _Labels) -> str:
    if not labels:
        return ''
    pairs = (f'{name}="{_escape(value)}"' for name, value in labels)
    return '{' + ','.join(pairs) + '}'


def _escape(value: str) -> str:
    escaped = str(value).replace('\\', '\\\\').replace('"', '\\"')
    return escaped.replace('\n', '\\n')
