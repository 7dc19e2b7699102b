"""A short play of changes of the controller, with real processes."""

import asyncio
import unittest

from soak import ownership
from soak import ownership_faults
from soak import store_faults

SEED = 5
SECONDS = 18.0
# So short that each fault begins in the time.
MEAN_FAULT_GAP_S = 0.8


class OwnershipTest(unittest.TestCase):
    def test_no_key_has_two_owners(self):
        """Guards against two owners after a change of the controller.

        Grants of the former controller took effect after the release. Guards
        also against grants that wait at a stopped target or in a link and take
        effect when another target has their keys.
        """
        outcome = asyncio.run(
            ownership.play(
                SEED,
                SECONDS,
                ownership.SHAPES['small'],
                mean_fault_gap_s=MEAN_FAULT_GAP_S,
            )
        )
        self.assertEqual(outcome.violations, ())
        self.assertGreater(outcome.moves, 10)
        self.assertGreater(outcome.served[200], 500)
        for fault in (*ownership_faults.STALLS, *store_faults.FAULTS):
            self.assertTrue(outcome.faults[fault.__name__], fault.__name__)
