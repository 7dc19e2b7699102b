import unittest

from amaranthcrank.admission import intake_limit
from amaranthcrank.core import model


def _fill(limit, rank):
    """Acquire until refused; return the number of admitted requests."""
    count = 0
    while intake_limit.acquire(limit, rank):
        count += 1
    return count


class IntakeLimitTest(unittest.TestCase):
    def test_a_flood_leaves_the_reserved_threads_of_other_ranks(self):
        """Guards against urgent requests that wait for occupied threads."""
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

    def test_one_rank_may_use_all_unreserved_threads(self):
        """Guards against idle threads that no rank may use."""
        limit = intake_limit.open_limit(64)
        kept = sum(limit.reserved_by_rank.values())
        kept -= limit.reserved_by_rank[model.BULK]
        self.assertEqual(limit.capacity - kept, _fill(limit, model.BULK))

    def test_released_threads_are_available_again(self):
        """Guards against threads that leak when requests are refused."""
        limit = intake_limit.open_limit(1)
        for _ in range(3):
            self.assertTrue(intake_limit.acquire(limit, model.URGENT))
            self.assertFalse(intake_limit.acquire(limit, model.URGENT))
            intake_limit.release(limit, model.URGENT)
