"""A short play of changes of the controller, with real processes."""

import asyncio
import unittest

from soak import ownership

SEED = 5
SECONDS = 12.0


class OwnershipTest(unittest.TestCase):
    def test_no_key_has_two_owners(self):
        """Guards against two owners after a change of the controller.

        Grants of the former controller took effect after the release.
        """
        outcome = asyncio.run(
            ownership.play(SEED, SECONDS, ownership.SHAPES['small'])
        )
        self.assertEqual(outcome.violations, ())
        self.assertGreater(outcome.moves, 10)
        self.assertGreater(outcome.served[200], 500)
