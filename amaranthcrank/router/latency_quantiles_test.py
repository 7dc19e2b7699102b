import unittest

from amaranthcrank.router import latency_quantiles


def _record(quantiles, elapsed_s, count, now):
    for _ in range(count):
        quantiles.record('read', elapsed_s, now)


class LatencyQuantilesTest(unittest.TestCase):
    def setUp(self):
        self.quantiles = latency_quantiles.LatencyQuantiles()

    def test_few_samples_give_no_quantile(self):
        # A host that has just started would hedge at an accidental delay.
        _record(self.quantiles, 0.1, 99, 0.0)
        self.assertIsNone(self.quantiles.quantile_s('read', 0.0))
        _record(self.quantiles, 0.1, 1, 2.0)
        self.assertIsNone(self.quantiles.quantile_s('other', 2.0))

    def test_quantile_is_above_nineteen_of_twenty(self):
        # One in a hundred responses is slow: the delay is that of the others.
        _record(self.quantiles, 0.1, 940, 0.0)
        _record(self.quantiles, 0.2, 50, 0.0)
        _record(self.quantiles, 2.0, 10, 0.0)
        quantile_s = self.quantiles.quantile_s('read', 0.0)
        self.assertAlmostEqual(quantile_s, 0.2, delta=0.004)

    def test_routes_do_not_share(self):
        # A slow route would keep a fast one from being hedged.
        _record(self.quantiles, 0.1, 100, 0.0)
        for _ in range(100):
            self.quantiles.record('report', 3.0, 0.0)
        quantile_s = self.quantiles.quantile_s('read', 0.0)
        self.assertAlmostEqual(quantile_s, 0.1, delta=0.002)

    def test_older_samples_lose_weight(self):
        # The load falls: the delay must follow although many samples were
        # taken under load.
        _record(self.quantiles, 0.8, 1000, 0.0)
        later = 6 * latency_quantiles.HALF_LIFE_S
        _record(self.quantiles, 0.1, 400, later)
        quantile_s = self.quantiles.quantile_s('read', later)
        self.assertAlmostEqual(quantile_s, 0.1, delta=0.002)

    def test_idle_route_has_no_quantile(self):
        # The samples of an hour ago say nothing about the speed now.
        _record(self.quantiles, 0.1, 1000, 0.0)
        self.assertIsNotNone(self.quantiles.quantile_s('read', 0.0))
        self.assertIsNone(self.quantiles.quantile_s('read', 3600.0))

    def test_weights_stay_within_the_counters(self):
        """Guards against counters that overflow after some hours.

        The quantile must also not change when the counts are scaled.
        """
        step_s = latency_quantiles.HALF_LIFE_S / 100
        period_s = (
            latency_quantiles.MAX_HALF_LIVES * latency_quantiles.HALF_LIFE_S
        )
        now = 0.0
        number = 0
        while now < 3.2 * period_s:
            slow = number % 10 == 0
            self.quantiles.record('read', 0.5 if slow else 0.1, now)
            if number % 500 == 499:
                quantile_s = self.quantiles.quantile_s('read', now)
                self.assertAlmostEqual(quantile_s, 0.5, delta=0.008)
            number += 1
            now += step_s

    def test_extreme_times_are_recorded(self):
        # A time outside the range of the histogram would raise an error or
        # be lost.
        _record(self.quantiles, 0.0, 10, 0.0)
        _record(self.quantiles, 1e6, 190, 0.0)
        quantile_s = self.quantiles.quantile_s('read', 0.0)
        self.assertAlmostEqual(quantile_s, 120.0, delta=1.2)
