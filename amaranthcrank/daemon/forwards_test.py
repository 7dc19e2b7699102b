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

    def test_repeatable_request_ends_at_frozen_host(self):
        """Guards against repeatable requests that wait for a frozen host."""
        pending = self.add()
        self.check_until(0.5)
        self.assertFalse(pending.done())
        self.check_until(0.7)
        self.assertIs(codes.ANSWER_LOST, pending.result(0).code)
        self.assertEqual({HOST}, self.tracker.unresponsive)
        self.assertEqual(1, len(self.probes))

    def test_not_repeatable_request_keeps_waiting(self):
        """Guards against ending a request whose reply may still arrive."""
        pending = self.add(repeatable=False)
        self.check_until(2.0)
        self.assertFalse(pending.done())

    def test_slow_host_that_replies_to_probes(self):
        """Guards against treating slow requests as a frozen host."""
        pending = self.add()
        self.check_until(0.4)
        self.probes[0].set_result({})
        self.check_until(0.4)
        self.assertFalse(pending.done())
        self.assertEqual(frozenset(), self.tracker.unresponsive)

    def test_host_that_replies_late(self):
        """Guards against hosts that stay unresponsive for ever."""
        self.add()
        self.check_until(1.0)
        self.probes[0].set_result({})
        self.check_until(1.0)
        self.assertEqual(frozenset(), self.tracker.unresponsive)

    def test_finished_request_causes_no_probe(self):
        """Guards against probes for requests that have their outcome."""
        self.add().set_result(None)
        self.check_until(1.0)
        self.assertEqual([], self.probes)


if __name__ == '__main__':
    unittest.main()
