"""Tests that the soak sees requests to targets that have left."""

import unittest

from soak import callers
from soak import drain_checks
from soak import target

NOTICE_AT = 100.0


class LateRunsTest(unittest.TestCase):
    def setUp(self):
        self.disturbances = drain_checks.Disturbances()

    def _late(self, at):
        result = callers.Result(
            'host-0-1-1', callers.KINDS[0], 'host-0', at, 200, True, '', b''
        )
        run = target.Run('host-0-1-1', 'desk', 'desk-1/1', at)
        notices = {'desk-1/1': NOTICE_AT}
        return list(
            drain_checks.late_runs([result], [run], notices, self.disturbances)
        )

    def _disturb(self, name, start, end):
        spans = self.disturbances.spans_by_name.setdefault(name, [])
        spans.append(drain_checks.Span(start, end))

    def test_within_the_drain_time(self):
        self.assertEqual(self._late(NOTICE_AT + 1.9), [])

    def test_behind_the_drain_time(self):
        self.assertEqual(len(self._late(NOTICE_AT + 2.1)), 1)

    def test_router_that_was_cut_off_and_has_settled(self):
        # The incident: it missed the notice, and had the store again.
        self._disturb('host-0', NOTICE_AT - 1, NOTICE_AT + 8)
        self.assertEqual(self._late(NOTICE_AT + 10.9), [])
        self.assertEqual(len(self._late(NOTICE_AT + 11.1)), 1)

    def test_notice_during_an_outage(self):
        self._disturb(drain_checks.STORE, NOTICE_AT - 2, NOTICE_AT - 1)
        self.assertEqual(self._late(NOTICE_AT + 9), [])

    def test_disturbance_that_lasts(self):
        with self.disturbances.during('host-0'):
            spans = self.disturbances.spans_by_name['host-0']
            self.assertEqual(spans[0].end, float('inf'))
        self.assertLess(spans[0].end, float('inf'))


if __name__ == '__main__':
    unittest.main()
