import unittest

from amaranthcrank.router import key_plan
from amaranthcrank.router import key_ranges
from amaranthcrank.router import model

OWNER = key_plan.Owner('i-3', 1, 1.0)


def _range(first, last, fence, former_holders='', target_id='i-1'):
    return model.KeyRange(
        first, last, target_id, 1, fence, bool(former_holders), former_holders
    )


class FenceTest(unittest.TestCase):
    def test_each_former_holder_has_tokens_of_its_own(self):
        """Guards against two targets, or two attempts, with one token."""
        ranges = (_range(0, 9, 4), _range(10, 19, 5, 'i-2/1 i-4/1'))
        moves = [key_plan.Move(0, 19, OWNER)]
        fence = key_ranges.next_fence(5, ranges, moves)
        moved = key_ranges.apply(ranges, moves, fence)
        for part in moved:
            holders = part.former_holders.split()
            fences = len(holders) * key_ranges.FENCES_PER_HOLDER
            self.assertGreater(part.fence - fences, 5)

    def test_first_assignment(self):
        moves = [key_plan.Move(0, 19, OWNER)]
        self.assertEqual(key_ranges.next_fence(0, (), moves), 1)

    def test_inherited_moves_get_new_tokens(self):
        """Guards against tokens that an earlier controller has used."""
        still = _range(0, 9, 4)
        moving = _range(10, 19, 5, 'i-2/1')
        renewed, fence = key_ranges.renew_moving((still, moving), 5)
        self.assertEqual(renewed[0], still)
        self.assertEqual(renewed[1].fence, fence)
        holders = renewed[1].former_holders.split()
        fences = len(holders) * key_ranges.FENCES_PER_HOLDER
        self.assertGreater(fence - fences, 5)

    def test_new_owner_of_an_inherited_move_may_hold_the_keys(self):
        """Guards against a former owner that is fenced off beside it."""
        moving = _range(10, 19, 5, 'i-2/1 i-1/1')
        renewed, _ = key_ranges.renew_moving((moving,), 5)
        self.assertEqual(renewed[0].former_holders, 'i-1/1 i-2/1')

    def test_nothing_moves(self):
        ranges = (_range(0, 9, 4),)
        self.assertEqual(key_ranges.renew_moving(ranges, 5), (ranges, 5))
