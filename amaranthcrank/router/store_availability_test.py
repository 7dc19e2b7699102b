"""Tests of the record of the store's answers and failures."""

import unittest

from amaranthcrank.router import store_availability


class AvailabilityHistoryTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000.0
        self.history = store_availability.AvailabilityHistory(lambda: self.now)

    def _answers(self, seconds, step_s):
        end = self.now + seconds
        while self.now < end:
            self.now += step_s
            self.history.record_answer()

    def test_steady_answers_leave_no_silence(self):
        self._answers(10.0, 1.0)
        self.assertAlmostEqual(self.history.longest_silence_s(1000.0), 1.0)

    def test_silence_counts_up_to_now(self):
        self._answers(3.0, 1.0)
        since = self.now
        self.now += 4.0
        self.assertAlmostEqual(self.history.longest_silence_s(since), 4.0)

    def test_frequent_answers_are_thinned_without_a_gap(self):
        self._answers(20.0, 0.01)
        self.assertLess(self.history.longest_silence_s(1000.0), 0.5)

    def test_failure_of_a_long_call_is_recent(self):
        self.now += 15.0
        self.history.record_failure(1000.0)
        expected = self.now - store_availability.SILENCE_DETECTION_S
        self.assertEqual(self.history.failed_at, expected)


if __name__ == '__main__':
    unittest.main()
