"""Tests of adding up what hosts have at the owners of keys."""

import unittest

from amaranthcrank.router import owner_usage

Usage = owner_usage.Usage


class UsageAggregatorTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.usage = owner_usage.UsageAggregator(lambda: self.now)

    def test_a_host_is_told_of_the_others_only(self):
        """Guards against a host that takes its own requests for others'."""
        self.usage.put_report('h-1', {'i-1': Usage(2, 5)})
        self.usage.put_report('h-2', {'i-1': Usage(1, 3), 'i-2': Usage(1, 0)})
        self.assertEqual(
            self.usage.usage_by_others('h-1'), {'i-1': Usage(1, 3)}
        )
        self.assertEqual(
            self.usage.usage_by_others('h-2'),
            {'i-1': Usage(2, 5), 'i-2': Usage(0, 0)},
        )

    def test_a_newer_report_replaces_the_older(self):
        """Guards against sums that only grow."""
        for waiting in range(50):
            self.usage.put_report('h-1', {'i-1': Usage(1, waiting)})
            self.usage.put_report('h-2', {'i-1': Usage(0, 1)})
        self.assertEqual(
            self.usage.usage_by_others('h-2'), {'i-1': Usage(1, 49)}
        )
        self.usage.put_report('h-1', {})
        self.assertEqual(
            self.usage.usage_by_others('h-2'), {'i-1': Usage(0, 0)}
        )

    def test_a_lost_host_is_forgotten(self):
        """Guards against slots that a lost host binds for ever."""
        self.usage.put_report('h-1', {'i-1': Usage(3, 9)})
        self.now += owner_usage.REPORT_TTL_S + 0.1
        self.usage.put_report('h-2', {'i-1': Usage(1, 0)})
        self.assertEqual(
            self.usage.usage_by_others('h-2'), {'i-1': Usage(0, 0)}
        )
        self.assertEqual(self.usage.usage_by_others('h-1'), {})
