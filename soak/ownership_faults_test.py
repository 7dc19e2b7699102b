import itertools
import random
import unittest

from soak import ownership_faults


class InRoundsTest(unittest.TestCase):
    def test_each_fault_in_each_round(self):
        """Guards against short plays in which some faults never begin."""
        rounds = ownership_faults.in_rounds('abc', random.Random(1))
        for _ in range(3):
            first = list(itertools.islice(rounds, 3))
            self.assertEqual(sorted(first), ['a', 'b', 'c'])
