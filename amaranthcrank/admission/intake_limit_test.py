import unittest

from amaranthcrank.admission import intake_limit
from amaranthcrank.core import model


def _fill(limit, rank):
    """Return how many requests of a rank get in."""
    count = 0
    while intake_limit.acquire(limit, rank):
        count += 1
    return count


class IntakeLimitTest(unittest.TestCase):
    def test_a_flood_leaves_the_other_ranks_their_places(self):
        """Guards against urgent work that waits behind held threads."""
        for flood in model.RANKS:
            limit = intake_limit.open_limit(64)
            held = _fill(limit, flood)
            for rank in model.RANKS:
                if rank == flood:
                    continue
                reserved = limit.reserved_by_rank[rank]
                self.assertEqual(reserved, _fill(limit, rank))
                held += reserved
            self.assertEqual(limit.capacity, held)
            self.assertLess(limit.capacity, 64)

    def test_one_rank_may_use_what_is_not_reserved(self):
        """Guards against places that nobody uses."""
        limit = intake_limit.open_limit(64)
        kept = sum(limit.reserved_by_rank.values())
        kept -= limit.reserved_by_rank[model.BULK]
        self.assertEqual(limit.capacity - kept, _fill(limit, model.BULK))

    def test_a_place_comes_back(self):
        """Guards against places that are lost with refused requests."""
        limit = intake_limit.open_limit(1)
        for _ in range(3):
            self.assertTrue(intake_limit.acquire(limit, model.URGENT))
            self.assertFalse(intake_limit.acquire(limit, model.URGENT))
            intake_limit.release(limit, model.URGENT)
