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

    def test_most_former_holders_of_a_range_count(self):
        """Guards against tokens that are too few for one of the moves."""
        ranges = (_range(0, 9, 4, 'i-2/1 i-4/1'), _range(10, 19, 5))
        moves = [
            key_plan.Move(0, 9, OWNER),
            key_plan.Move(10, 19, OWNER),
        ]
        fences = 3 * key_ranges.FENCES_PER_HOLDER
        expected = 5 + fences + 1
        self.assertEqual(key_ranges.next_fence(5, ranges, moves), expected)
        moves.reverse()
        self.assertEqual(key_ranges.next_fence(5, ranges, moves), expected)

    def test_former_holder_counts_once(self):
        """Guards against a token that rises without need.

        The owner of a moving range is among those that may still hold it.
        """
        ranges = (_range(0, 9, 4, 'i-1/1 i-2/1'),)
        moves = [key_plan.Move(0, 9, OWNER)]
        fence = key_ranges.next_fence(5, ranges, moves)
        self.assertEqual(fence, 5 + 2 * key_ranges.FENCES_PER_HOLDER + 1)
        (moved,) = key_ranges.apply(ranges, moves, fence)
        self.assertEqual(moved.former_holders, 'i-1/1 i-2/1')

    def test_batches_share_no_token(self):
        """Guards against two holders of a key with one token.

        The range moves again and again before a move is completed, also by
        new controllers.
        """
        ranges = (_range(0, 99, 1),)
        fence = 1
        used = {1}
        for number in range(2, 8):
            if number % 2:
                moves = [
                    key_plan.Move(0, 99, key_plan.Owner(f'i-{number}', 1, 1.0))
                ]
                fence = key_ranges.next_fence(fence, ranges, moves)
                ranges = key_ranges.apply(ranges, moves, fence)
            else:
                ranges, fence = key_ranges.renew_moving(ranges, fence)
            (moved,) = ranges
            holders = moved.former_holders.split()
            lowest = moved.fence - len(holders) * key_ranges.FENCES_PER_HOLDER
            tokens = (
                set(range(lowest, moved.fence + 1)) if moved.moving else set()
            )
            self.assertEqual(tokens & used, set())
            used |= tokens

    def test_inherited_moves_share_the_highest_token(self):
        """Guards against tokens that are too few for one of the moves."""
        one = _range(0, 9, 4, 'i-2/1')
        several = _range(20, 29, 5, 'i-2/1 i-4/1 i-5/1')
        for ranges in ((one, several), (several, one)):
            renewed, fence = key_ranges.renew_moving(ranges, 7)
            fences = 4 * key_ranges.FENCES_PER_HOLDER
            self.assertEqual(fence, 7 + fences + 1)
            self.assertEqual({each.fence for each in renewed}, {fence})

    def test_first_assignment_that_is_inherited(self):
        """Guards against a new owner that is not asked for its keys.

        The keys had no owner before, and it may have been granted them.
        """
        moving = _range(0, 9, 1)._replace(moving=True)
        renewed, fence = key_ranges.renew_moving((moving,), 1)
        self.assertEqual(renewed[0].former_holders, 'i-1/1')
        self.assertGreater(fence - key_ranges.FENCES_PER_HOLDER, 1)


class SubtractTest(unittest.TestCase):
    def test_parts(self):
        """Guards against a key at an edge that is lost, or is in two parts."""
        hold = model.UnsettledHold('i-1/1', 10, 19, 5)
        for removed, expected in (
            ([(0, 9)], [(10, 19)]),
            ([(20, 29)], [(10, 19)]),
            ([(0, 10)], [(11, 19)]),
            ([(19, 29)], [(10, 18)]),
            ([(15, 15)], [(10, 14), (16, 19)]),
            ([(12, 13), (16, 17)], [(10, 11), (14, 15), (18, 19)]),
            ([(12, 16), (14, 17)], [(10, 11), (18, 19)]),
            ([(10, 19)], []),
            ([(0, 14), (15, 29)], []),
            ([], [(10, 19)]),
        ):
            with self.subTest(removed=removed):
                parts = key_ranges.subtract_keys(
                    [hold], [_range(*keys, 9) for keys in removed]
                )
                self.assertEqual(
                    parts,
                    [
                        hold._replace(first=first, last=last)
                        for first, last in expected
                    ],
                )

    def test_several(self):
        """Guards against holds that are forgotten beside one that ends."""
        kept = [
            model.UnsettledHold('i-1/1', 0, 9, 5),
            model.UnsettledHold('i-1/1', 10, 19, 7),
            model.UnsettledHold('i-1/1', 30, 39, 6),
        ]
        removed = model.UnsettledHold('i-2/1', 5, 29, 9)
        self.assertEqual(
            key_ranges.subtract_keys(kept, [removed]),
            [kept[0]._replace(last=4), kept[2]],
        )

    def test_moves(self):
        """Guards against a range that keeps keys which move away."""
        owned = _range(0, 99, 4)
        moves = [key_plan.Move(20, 29, OWNER), key_plan.Move(90, 99, OWNER)]
        self.assertEqual(
            key_ranges.subtract(owned, moves),
            [owned._replace(last=19), owned._replace(first=30, last=89)],
        )


class ForeignKeyTest(unittest.TestCase):
    """The key whose release shows that a target reads its calls."""

    def test_key_of_another_target(self):
        ranges = (_range(0, 9, 4), _range(10, 19, 4, target_id='i-2'))
        self.assertEqual(key_ranges.find_foreign_key(ranges, 'i-1/1'), 10)
        self.assertEqual(key_ranges.find_foreign_key(ranges, 'i-2/1'), 0)

    def test_lives_of_a_target_are_the_same(self):
        """Guards against a probe that takes the keys of the next life."""
        ranges = (_range(0, 9, 4), _range(10, 19, 4, 'i-1/3', 'i-2'))
        for holder in ('i-1/1', 'i-1/2', 'i-1/4'):
            with self.subTest(holder=holder):
                self.assertIsNone(key_ranges.find_foreign_key(ranges, holder))

    def test_similar_ids(self):
        """Guards against a target that is taken for one with a longer id."""
        ranges = (_range(0, 9, 4, target_id='i-11'),)
        self.assertEqual(key_ranges.find_foreign_key(ranges, 'i-1/1'), 0)

    def test_keys_that_move_to_the_target(self):
        """Guards against a probe that takes keys just granted."""
        ranges = (_range(0, 9, 4, 'i-2/1'), _range(10, 19, 4, 'i-2/1', 'i-3'))
        self.assertEqual(key_ranges.find_foreign_key(ranges, 'i-1/1'), 10)

    def test_keys_that_move_away(self):
        """Guards against a probe that ends work on keys before their move."""
        ranges = (
            _range(0, 9, 4, 'i-4/1 i-1/1', 'i-2'),
            _range(10, 19, 4, 'i-4/1', 'i-2'),
        )
        self.assertEqual(key_ranges.find_foreign_key(ranges, 'i-1/1'), 10)
        self.assertIsNone(key_ranges.find_foreign_key(ranges, 'i-4/1'))

    def test_owner_of_all_keys(self):
        """Guards against a probe where there is no key for one."""
        self.assertIsNone(
            key_ranges.find_foreign_key((_range(0, 99, 4),), 'i-1/1')
        )
        self.assertIsNone(key_ranges.find_foreign_key((), 'i-1/1'))
