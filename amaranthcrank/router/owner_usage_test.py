"""Tests of the aggregation of the hosts' usage of owners of keys."""

import unittest

from amaranthcrank.router import owner_usage

Usage = owner_usage.Usage


class UsageAggregatorTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.aggregator = owner_usage.UsageAggregator(lambda: self.now)

    def test_host_receives_the_usage_by_others_only(self):
        """Guards against hosts that count their own requests as others'."""
        self.aggregator.record_report('h-1', {'i-1': Usage(2, 5)})
        self.aggregator.record_report(
            'h-2', {'i-1': Usage(1, 3), 'i-2': Usage(1, 0)}
        )
        self.assertEqual(
            self.aggregator.usage_by_others('h-1'), {'i-1': Usage(1, 3)}
        )
        self.assertEqual(
            self.aggregator.usage_by_others('h-2'),
            {'i-1': Usage(2, 5), 'i-2': Usage(0, 0)},
        )

    def test_newer_report_replaces_the_older(self):
        """Guards against sums to which every report of a host is added."""
        for waiting in range(50):
            self.aggregator.record_report('h-1', {'i-1': Usage(1, waiting)})
            self.aggregator.record_report('h-2', {'i-1': Usage(0, 1)})
        self.assertEqual(
            self.aggregator.usage_by_others('h-2'), {'i-1': Usage(1, 49)}
        )
        self.aggregator.record_report('h-1', {})
        self.assertEqual(
            self.aggregator.usage_by_others('h-2'), {'i-1': Usage(0, 0)}
        )

    def test_report_of_a_lost_host_expires(self):
        """Guards against slots that requests of a lost host occupy forever."""
        self.aggregator.record_report('h-1', {'i-1': Usage(3, 9)})
        self.now += owner_usage.REPORT_TTL_S + 0.1
        self.aggregator.record_report('h-2', {'i-1': Usage(1, 0)})
        self.assertEqual(
            self.aggregator.usage_by_others('h-2'), {'i-1': Usage(0, 0)}
        )
        self.assertEqual(self.aggregator.usage_by_others('h-1'), {})
