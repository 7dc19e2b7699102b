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


class IgnoredNoticeTest(unittest.TestCase):
    """A target says in a response that it is leaving."""

    def setUp(self):
        self.fault_intervals = drain_checks.FaultIntervals()

    def _ignored(self, sent_at, first_status=200, router='host-0'):
        results = [
            callers.Result(
                request_id, kind, name, at, status, True, request_id, b''
            )
            for request_id, name, at, status, kind in (
                (
                    'host-0-1-1',
                    'host-0',
                    NOTICE_AT,
                    first_status,
                    callers.REQUEST_KINDS[0],
                ),
                ('x-1-2', router, sent_at, 200, callers.REQUEST_KINDS[0]),
            )
        ]
        answer = target.LeavingAnswer('host-0-1-1', 'desk-1/1', NOTICE_AT)
        run = target.Run('x-1-2', 'desk', 'desk-1/1', sent_at)
        return list(
            drain_checks.ignored_notices(
                results, [run], [answer], self.fault_intervals
            )
        )

    def test_after_the_drain_time(self):
        self.assertEqual(self._ignored(NOTICE_AT + 2.2), [])
        self.assertEqual(len(self._ignored(NOTICE_AT + 2.3)), 1)

    def test_loss_of_the_store_is_no_excuse(self):
        with self.fault_intervals.record('host-0'):
            self.assertEqual(len(self._ignored(NOTICE_AT + 5)), 1)

    def test_process_that_restarted(self):
        interval = drain_checks.Interval(NOTICE_AT + 1, NOTICE_AT + 1.5)
        name = drain_checks.process_of('host-0')
        self.fault_intervals.intervals_by_name[name] = [interval]
        self.assertEqual(self._ignored(NOTICE_AT + 5), [])

    def test_response_that_was_not_passed_on(self):
        self.assertEqual(self._ignored(NOTICE_AT + 5, 0), [])
        self.assertEqual(self._ignored(NOTICE_AT + 5, 200, 'host-1'), [])


if __name__ == '__main__':
    unittest.main()
