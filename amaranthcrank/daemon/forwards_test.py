from concurrent import futures
import unittest
from unittest import mock

from amaranthcrank.core import codes
from amaranthcrank.daemon import forwards

HOST = 'htd-north-1'


class ForwardsTest(unittest.TestCase):
    def setUp(self):
        self.probes = []

        def call(links, host, frame):
            self.probes.append(futures.Future())
            return self.probes[-1]

        patcher = mock.patch.object(forwards.links_module, 'call', call)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.tracker = forwards.ForwardTracker(None)

    def add(self, repeatable=True):
        pending = futures.Future()
        request = forwards.ForwardedRequest(HOST, repeatable, 0.0, pending)
        forwards.track(self.tracker, request)
        return pending

    def check_until(self, until_s):
        for tick in range(round(until_s * 10) + 1):
            forwards.check(self.tracker, tick / 10)

    def test_lookup_leaves_a_silent_host(self):
        """Guards against lookups that wait for a frozen host."""
        pending = self.add()
        self.check_until(0.5)
        self.assertFalse(pending.done())
        self.check_until(0.7)
        self.assertIs(codes.ANSWER_LOST, pending.result(0).code)
        self.assertEqual({HOST}, self.tracker.unresponsive)
        self.assertEqual(1, len(self.probes))

    def test_change_goes_on_waiting(self):
        """Guards against giving up work whose answer may still come."""
        pending = self.add(repeatable=False)
        self.check_until(2.0)
        self.assertFalse(pending.done())

    def test_slow_host_that_answers(self):
        """Guards against taking slow work for a frozen host."""
        pending = self.add()
        self.check_until(0.4)
        self.probes[0].set_result({})
        self.check_until(0.4)
        self.assertFalse(pending.done())
        self.assertEqual(frozenset(), self.tracker.unresponsive)

    def test_host_that_returns(self):
        """Guards against leaving out a host for good."""
        self.add()
        self.check_until(1.0)
        self.probes[0].set_result({})
        self.check_until(1.0)
        self.assertEqual(frozenset(), self.tracker.unresponsive)

    def test_answered_request_is_forgotten(self):
        """Guards against questions about requests that have ended."""
        self.add().set_result(None)
        self.check_until(1.0)
        self.assertEqual([], self.probes)


if __name__ == '__main__':
    unittest.main()
