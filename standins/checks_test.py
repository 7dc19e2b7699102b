"""Tests of the checks of the recorder's records."""

import unittest

from standins import checks


def hold(target, from_ms, until_ms, slot=7):
    return {
        'target': target,
        'service': 's',
        'slot': slot,
        'from_ms': from_ms,
        'until_ms': until_ms,
    }


class ChecksTest(unittest.TestCase):
    def test_two_owners(self):
        """Guards against missing an overlap with a long earlier hold."""
        long = hold('t1', 0, 100)
        short = hold('t2', 10, 20)
        late = hold('t3', 99, 150)
        pairs = checks.overlapping_holds([late, short, long])
        self.assertEqual([(long, short), (long, late)], pairs)

    def test_one_owner(self):
        """Guards against false alarms when a slot moves to another target."""
        holds = [
            hold('t1', 0, 10),
            hold('t2', 10, 20),
            hold('t2', 15, 30),
            hold('t1', 0, 99, slot=8),
        ]
        self.assertEqual([], checks.overlapping_holds(holds))

    def test_repeated_runs(self):
        """Guards against reporting repeatable requests."""
        ran = [
            {'request_id': request_id, 'repeatable': repeatable}
            for request_id, repeatable in (
                ('a', False),
                ('b', True),
                ('a', False),
                ('b', True),
                ('c', False),
            )
        ]
        self.assertEqual(['a'], list(checks.repeated_runs(ran)))
