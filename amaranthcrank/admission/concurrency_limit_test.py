"""Tests of the adaptive concurrency limit."""

import unittest

from amaranthcrank.admission import concurrency_limit


def _record_responses(limit, latency_s, count, now=0.0):
    for _ in range(count):
        now += latency_s
        concurrency_limit.record_response(limit, latency_s, now)
    return now


class LimitTest(unittest.TestCase):
    """Tests of the limit between 1 and the number of slots."""

    def test_cold_start(self):
        """A cold upstream gets one request at a time at first."""
        limit = concurrency_limit.open_limit(4)
        self.assertEqual(1, concurrency_limit.current(limit))
        _record_responses(limit, 0.1, 12)
        self.assertEqual(4, concurrency_limit.current(limit))
        concurrency_limit.reset(limit)
        self.assertEqual(1, concurrency_limit.current(limit))

    def test_cold_latencies_do_not_set_the_base(self):
        """Guards against slow first responses that hide a later overload."""
        limit = concurrency_limit.open_limit(4)
        now = _record_responses(limit, 1.0, concurrency_limit.COLD_RESPONSES)
        now = _record_responses(limit, 0.01, 60, now)
        self.assertEqual(4, concurrency_limit.current(limit))
        _record_responses(limit, 0.05, 10, now)
        self.assertLess(concurrency_limit.current(limit), 4)

    def test_shedding_cuts_once_for_one_burst(self):
        """Requests that are shed together decrease the limit once."""
        limit = concurrency_limit.open_limit(4, cold=False)
        now = _record_responses(limit, 0.1, 20)
        for _ in range(4):
            concurrency_limit.record_shed(limit, now)
        self.assertEqual(2, concurrency_limit.current(limit))
        for number in range(20):
            concurrency_limit.record_shed(limit, now + number)
        self.assertEqual(1, concurrency_limit.current(limit))

    def test_recovery_after_overload(self):
        """The limit returns to the number of slots after an overload."""
        limit = concurrency_limit.open_limit(4, cold=False)
        now = _record_responses(limit, 0.1, 20)
        now = _record_responses(limit, 0.5, 20, now)
        self.assertEqual(1, concurrency_limit.current(limit))
        _record_responses(limit, 0.1, 60, now)
        self.assertEqual(4, concurrency_limit.current(limit))
        concurrency_limit.set_slots(limit, 3)
        self.assertEqual(3, concurrency_limit.current(limit))
        _record_responses(limit, 0.1, 60, now)
        self.assertAlmostEqual(
            0.1, concurrency_limit.service_s(limit), places=2
        )
