"""Counters, gauges and latency histograms in the Prometheus text format."""

from hdrh import histogram

PREFIX = 'amaranthcrank_'
QUANTILES = (0.5, 0.9, 0.99)
# Two significant digits keep the memory of a histogram small.
SIGNIFICANT_DIGITS = 2
MAX_LATENCY_US = 120_000_000


class Registry:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Start at zero."""
        self._latency_by_labels: dict[
            tuple[str, int], histogram.HdrHistogram
        ] = {}
        self._count_by_labels: dict[tuple[str, int, int], int] = {}
        self._counter_by_name: dict[str, int] = {}
        self._gauge_by_name: dict[str, float] = {}

    def record(
        self, service: str, rank: int, status: int, seconds: float
    ) -> None:
        """Count one answered request.

        Args:
          service: The service.
          rank: The rank of its route.
          status: The HTTP status of the response.
          seconds: The time from the arrival of the request to its response.
        """
        labels = (service, rank, status)
        count = self._count_by_labels.get(labels, 0)
        self._count_by_labels[labels] = count + 1
        latency = self._latency_by_labels.get((service, rank))
        if latency is None:
            latency = histogram.HdrHistogram(
                1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
            self._latency_by_labels[service, rank] = latency
        micros = min(max(int(seconds * 1e6), 1), MAX_LATENCY_US)
        latency.record_value(micros)

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter, exported as `amaranthcrank_<name>_total`."""
        count = self._counter_by_name.get(name, 0)
        self._counter_by_name[name] = count + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge, exported as `amaranthcrank_<name>`."""
        self._gauge_by_name[name] = value

    def render(self) -> str:
        """Return all metrics in the text exposition format."""
        lines = [f'# TYPE {PREFIX}requests_total counter']
        for labels, count in sorted(self._count_by_labels.items()):
            service, rank, status = labels
            label_text = f'service="{service}",rank="{rank}",status="{status}"'
            lines.append(f'{PREFIX}requests_total{{{label_text}}} {count}')
        lines.append(f'# TYPE {PREFIX}request_seconds summary')
        for pair, latency in sorted(self._latency_by_labels.items()):
            lines += _render_latency(pair, latency)
        for name, value in sorted(self._counter_by_name.items()):
            lines.append(f'# TYPE {PREFIX}{name}_total counter')
            lines.append(f'{PREFIX}{name}_total {value}')
        for name, gauge in sorted(self._gauge_by_name.items()):
            lines.append(f'# TYPE {PREFIX}{name} gauge')
            lines.append(f'{PREFIX}{name} {gauge:.15g}')
        return '\n'.join(lines) + '\n'


def _render_latency(
    pair: tuple[str, int], latency: histogram.HdrHistogram
) -> list[str]:
    service, rank = pair
    labels = f'service="{service}",rank="{rank}"'
    name = f'{PREFIX}request_seconds'
    lines = []
    for quantile in QUANTILES:
        seconds = latency.get_value_at_percentile(quantile * 100) / 1e6
        label_text = f'{labels},quantile="{quantile}"'
        lines.append(f'{name}{{{label_text}}} {seconds:g}')
    lines.append(f'{name}_count{{{labels}}} {latency.get_total_count()}')
    return lines
