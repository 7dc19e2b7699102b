"""Quantiles of the recent response times of each route.

Samples are recorded with a weight that grows exponentially with time, so that
older samples lose weight relative to newer ones and need not be removed.
"""

import math

from hdrh import histogram

QUANTILE_PERCENT = 95.0
# Fewer samples do not determine the quantile well: 5 of 100 are above it.
MIN_SAMPLES = 100.0
HALF_LIFE_S = 30.0
# Computing the quantile scans the histogram, which takes about 0.2 ms.
QUANTILE_LIFETIME_S = 1.0
MAX_LATENCY_MS = 120_000
SIGNIFICANT_DIGITS = 2
# Weight of a sample just after the counts were scaled. It keeps the rounding
# error of the weights below 0.1%.
FIRST_WEIGHT = 1024
# The counts are scaled down after this many half-lives. The counters have 64
# bits, of which a weight then uses 40.
MAX_HALF_LIVES = 30


class LatencyQuantiles:
    """The response times of all routes."""

    def __init__(self) -> None:
        """Start without samples."""
        self._history_by_route: dict[str, _History] = {}

    def record(self, route: str, elapsed_s: float, now: float) -> None:
        """Record a response time.

        Args:
          route: The name of the route.
          elapsed_s: The time until the response, or until the attempt was
            given up.
          now: The time, in seconds.
        """
        history = self._history_by_route.get(route)
        if history is None:
            history = _History(now)
            self._history_by_route[route] = history
        history.record(elapsed_s, now)

    def quantile_s(self, route: str, now: float) -> float | None:
        """Return the quantile of a route, or None without enough samples."""
        history = self._history_by_route.get(route)
        return None if history is None else history.quantile_s(now)


class _History:
    """The response times of one route."""

    def __init__(self, now: float) -> None:
        self._histogram = _new_histogram()
        self._scaled_at = now
        self._quantile_s: float | None = None
        self._computed_at = -QUANTILE_LIFETIME_S

    def record(self, elapsed_s: float, now: float) -> None:
        elapsed_ms = min(max(math.ceil(elapsed_s * 1000), 1), MAX_LATENCY_MS)
        self._histogram.record_value(elapsed_ms, self._weight(now))

    def quantile_s(self, now: float) -> float | None:
        if now - self._computed_at < QUANTILE_LIFETIME_S:
            return self._quantile_s
        self._computed_at = now
        self._quantile_s = None
        weight = self._weight(now)
        if self._histogram.get_total_count() >= MIN_SAMPLES * weight:
            self._quantile_s = (
                self._histogram.get_value_at_percentile(QUANTILE_PERCENT)
                / 1000
            )
        return self._quantile_s

    def _weight(self, now: float) -> int:
        """Return the weight of a sample taken now."""
        half_lives = (now - self._scaled_at) / HALF_LIFE_S
        if half_lives >= MAX_HALF_LIVES:
            self._scale(int(half_lives))
            half_lives -= int(half_lives)
        return round(FIRST_WEIGHT * 2.0**half_lives)

    def _scale(self, half_lives: int) -> None:
        """Halve all counts so many times."""
        scaled = _new_histogram()
        for item in self._histogram.get_recorded_iterator():
            count = item.count_at_value_iterated_to >> half_lives
            if count:
                scaled.record_value(item.value_iterated_to, count)
        self._histogram = scaled
        self._scaled_at += half_lives * HALF_LIFE_S


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
