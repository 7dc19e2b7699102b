"""Tests of when a host reads what all hosts share."""

import unittest

from amaranthcrank.router import shared_news


class SharedNewsTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.revision = 7
        self.near = True
        self.hosts = 2
        self.news = shared_news.SharedNews(
            lambda: self.now,
            lambda: 0.5,
            lambda service: self.revision,
            lambda: self.near,
            lambda: self.hosts,
        )

    def test_nothing_is_read_while_datagrams_arrive(self):
        """Guards against a call of each host for each change."""
        for _ in range(20):
            self.now += 0.5
            self.revision += 1
            self.news.note_revisions({'batchbook': self.revision})
            self.assertFalse(self.news.is_due())

    def test_a_lost_datagram_is_made_up_for(self):
        """Guards against a host that keeps an old owner for long."""
        self.news.note_revisions({'soaklog': 7, 'batchbook': 8})
        self.assertFalse(self.news.is_due())
        self.now += shared_news.BEHIND_S + shared_news.SPREAD_S
        self.assertTrue(self.news.is_due())
        self.news.note_read()
        self.assertFalse(self.news.is_due())

    def test_a_late_datagram_spares_the_call(self):
        """Guards against a heartbeat that overtakes the change it names."""
        self.news.note_revisions({'batchbook': 8})
        self.revision = 8
        self.news.note_revisions({'batchbook': 8})
        self.now += 1.0
        self.assertFalse(self.news.is_due())

    def test_without_a_controller_the_store_is_read(self):
        """Guards against a host that the controller does not know."""
        self.near = False
        self.now += shared_news.ALONE_S + shared_news.SPREAD_S
        self.assertTrue(self.news.is_due())

    def test_read_now_and_then(self):
        """Guards against hosts that never learn of one another."""
        self.now += 1.5 * shared_news.LONGEST_S - 0.1
        self.assertFalse(self.news.is_due())
        self.now += 0.2
        self.assertTrue(self.news.is_due())

    def test_asked(self):
        """Guards against hosts that registered between list and own entry."""
        self.news.ask()
        self.assertTrue(self.news.is_due())
        self.news.note_read()
        self.assertFalse(self.news.is_due())

    def test_many_hosts_without_a_controller(self):
        """Guards against reads of each host all through a failover."""
        self.hosts = 88
        self.near = False
        self.now += 3.5
        self.assertFalse(self.news.is_due())
        self.now += 4.0
        self.assertTrue(self.news.is_due())
