"""Tests of how long missing entries are kept once the store answers again.

One host or a few cannot read the store for seconds, because of silence,
refusals or a broken connection, while it serves the others.
"""

import unittest

from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import outage_grace
from amaranthcrank.router import store_availability

HEARTBEAT_S = 0.87
SETTLE_S = 3.0


class _Targets:
    """Records for how long missing entries are kept."""

    def __init__(self):
        self.keep_s = 0.0
        self.lost_s = 0.0

    def keep_missing(self, keep_s, lost_s):
        self.keep_s = keep_s
        self.lost_s = lost_s

    def begin_restore(self, keep_s, expiry_s):
        self.keep_s = keep_s


class _Departures:
    """Counts queries to other hosts."""

    def __init__(self):
        self.queried = 0

    def query(self):
        self.queried += 1


class OutageGraceTest(unittest.TestCase):
    def setUp(self):
        self.now = clock.now()
        self.availability = store_availability.AvailabilityHistory(
            lambda: self.now
        )
        self.targets = _Targets()
        self.departures = _Departures()
        self.grace = outage_grace.OutageGrace(
            self.availability,
            self.targets,
            self.departures,
            HEARTBEAT_S,
            SETTLE_S,
            lambda *_, **__: None,
        )

    def _fail_and_recover(self, failed_s):
        """Let a call fail, and the store answer again some seconds later."""
        self.now = clock.now() - failed_s
        self.availability.record_failure(self.now)
        self.now = clock.now()
        self.grace.on_recovered(self.now - 12.0)

    def test_outage_that_just_ended(self):
        self._fail_and_recover(0.2)
        self.assertAlmostEqual(
            self.targets.keep_s, directory.REREGISTRATION_S, delta=0.1
        )
        self.assertEqual(self.departures.queried, 1)

    def test_late_read_does_not_keep_targets_longer(self):
        """Guards against requests to departed targets after the drain time.

        The store may have answered since the last failed call, but the grace
        period was counted from the first call that succeeded.
        """
        self._fail_and_recover(1.5)
        self.assertLess(self.targets.keep_s + 1.5, SETTLE_S)

    def test_connection_that_fell_silent(self):
        # The store may have been available all the time.
        self.availability.record_failure(self.now - 15.0)
        self.grace.on_recovered(
            self.now - store_availability.SILENCE_DETECTION_S
        )
        self.assertLessEqual(self.targets.keep_s, 0.0)

    def test_short_interruption_gives_no_grace_period(self):
        self.grace.on_recovered(clock.now() - 0.5)
        self.assertEqual(self.targets.keep_s, 0.0)
        self.assertEqual(self.departures.queried, 0)

    def test_restore(self):
        """Guards against live targets that are dropped after a restore."""
        self.grace.on_restored(clock.now())
        self.assertAlmostEqual(
            self.targets.keep_s, directory.REREGISTRATION_S, delta=0.1
        )
        self.assertEqual(self.departures.queried, 1)

    def test_late_list_after_a_restore(self):
        """Guards against requests to departed targets after the drain time."""
        self.grace.on_restored(clock.now() - 1.5)
        self.assertLess(self.targets.keep_s + 1.5, SETTLE_S)

    def test_store_that_answers_other_hosts_is_available(self):
        """Guards against requests to departed targets after the drain time.

        Their entries would be kept as if they had expired in an outage.
        """
        unreachable_since = (
            clock.now() - store_availability.SILENCE_DETECTION_S
        )
        self.now = unreachable_since
        while self.now < clock.now():
            self.availability.record_answer()
            self.now += 0.4
        self.now = clock.now()
        self.grace.on_recovered(unreachable_since)
        self.assertEqual(self.targets.keep_s, 0.0)


if __name__ == '__main__':
    unittest.main()
