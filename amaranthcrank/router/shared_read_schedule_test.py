"""Tests of when a host reads the shared state from the store."""

import unittest

from amaranthcrank.router import shared_read_schedule


class SharedReadScheduleTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.revision = 7
        self.is_controller_known = True
        self.hosts = 2
        self.schedule = shared_read_schedule.SharedReadSchedule(
            lambda: self.now,
            lambda: 0.5,
            lambda service: self.revision,
            lambda: self.is_controller_known,
            lambda: self.hosts,
        )

    def test_no_read_while_datagrams_arrive(self):
        """Guards against a store call by every host for every change."""
        for _ in range(20):
            self.now += 0.5
            self.revision += 1
            self.schedule.record_revisions({'batchbook': self.revision})
            self.assertFalse(self.schedule.is_due())

    def test_lost_datagram_leads_to_a_read(self):
        """Guards against a host that keeps sending to a former owner."""
        self.schedule.record_revisions({'soaklog': 7, 'batchbook': 8})
        self.assertFalse(self.schedule.is_due())
        self.now += (
            shared_read_schedule.LAG_GRACE_S + shared_read_schedule.SPREAD_S
        )
        self.assertTrue(self.schedule.is_due())
        self.schedule.record_read()
        self.assertFalse(self.schedule.is_due())

    def test_no_read_if_the_datagram_arrives_late(self):
        """Guards against reads if a heartbeat arrives before the change."""
        self.schedule.record_revisions({'batchbook': 8})
        self.revision = 8
        self.schedule.record_revisions({'batchbook': 8})
        self.now += 1.0
        self.assertFalse(self.schedule.is_due())

    def test_read_without_a_controller(self):
        """Guards against a host that the controller does not know."""
        self.is_controller_known = False
        self.now += (
            shared_read_schedule.NO_CONTROLLER_S
            + shared_read_schedule.SPREAD_S
        )
        self.assertTrue(self.schedule.is_due())

    def test_periodic_read(self):
        """Guards against hosts that never discover each other."""
        self.now += 1.5 * shared_read_schedule.MAX_AGE_S - 0.1
        self.assertFalse(self.schedule.is_due())
        self.now += 0.2
        self.assertTrue(self.schedule.is_due())

    def test_requested_read(self):
        """Guards against unknown hosts after this host's registration.

        They registered after this host's first list and before its own entry
        was written.
        """
        self.schedule.request()
        self.assertTrue(self.schedule.is_due())
        self.schedule.record_read()
        self.assertFalse(self.schedule.is_due())

    def test_read_after_a_restore(self):
        """Guards against a host that stays unregistered after a restore.

        Heartbeats of a controller that has written its maps again, and the
        periodic read, bring the next list up to a minute later.
        """
        self.schedule.record_restore()
        self.assertFalse(self.schedule.is_due())
        self.schedule.record_revisions({'batchbook': 7})
        self.now += shared_read_schedule.SPREAD_S
        self.assertTrue(self.schedule.is_due())
        self.schedule.record_read()
        self.assertFalse(self.schedule.is_due())

    def test_many_hosts_without_a_controller(self):
        """Guards against frequent reads by every host during a failover."""
        self.hosts = 88
        self.is_controller_known = False
        self.now += 3.5
        self.assertFalse(self.schedule.is_due())
        self.now += 4.0
        self.assertTrue(self.schedule.is_due())
