"""Tests that the soak reports requests to targets that have drained."""

import unittest

from soak import callers
from soak import drain_checks
from soak import target

# When the target announces that it drains.
NOTICE_AT = 100.0


class LateRunsTest(unittest.TestCase):
    def setUp(self):
        self.fault_intervals = drain_checks.FaultIntervals()

    def _late(self, at):
        result = callers.Result(
            'host-0-1-1',
            callers.REQUEST_KINDS[0],
            'host-0',
            at,
            200,
            True,
            '',
            b'',
        )
        run = target.Run('host-0-1-1', 'desk', 'desk-1/1', at)
        drain_start_by_holder = {'desk-1/1': NOTICE_AT}
        return list(
            drain_checks.late_runs(
                [result], [run], drain_start_by_holder, self.fault_intervals
            )
        )

    def _add_interval(self, name, start, end):
        intervals = self.fault_intervals.intervals_by_name.setdefault(name, [])
        intervals.append(drain_checks.Interval(start, end))

    def test_within_the_drain_time(self):
        self.assertEqual(self._late(NOTICE_AT + 1.9), [])

    def test_after_the_drain_time(self):
        self.assertEqual(len(self._late(NOTICE_AT + 2.1)), 1)

    def test_router_that_was_cut_off_and_has_settled(self):
        # As in the incident: the router missed the drain while it had no
        # access to the store, and still sent requests after it had it again.
        self._add_interval('host-0', NOTICE_AT - 1, NOTICE_AT + 8)
        self.assertEqual(self._late(NOTICE_AT + 10.9), [])
        self.assertEqual(len(self._late(NOTICE_AT + 11.1)), 1)

    def test_drain_announced_during_an_outage(self):
        self._add_interval(drain_checks.STORE, NOTICE_AT - 2, NOTICE_AT - 1)
        self.assertEqual(self._late(NOTICE_AT + 9), [])

    def test_active_fault_has_no_end(self):
        with self.fault_intervals.record('host-0'):
            intervals = self.fault_intervals.intervals_by_name['host-0']
            self.assertEqual(intervals[0].end, float('inf'))
        self.assertLess(intervals[0].end, float('inf'))


if __name__ == '__main__':
    unittest.main()
