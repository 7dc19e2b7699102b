import random
import unittest

from amaranthcrank.router import cold_owners
from amaranthcrank.router import key_plan
from amaranthcrank.router import key_ranges
from amaranthcrank.router import model

KEYS = model.KEY_COUNT
WINDOW_S = 3.0


def _owners(count, slots=3):
    return [
        key_plan.Owner(f'i-{number}', 1, slots * WINDOW_S)
        for number in range(count)
    ]


def _assigned(owners, load):
    moves = key_plan.plan((), owners, load)
    ranges = key_ranges.apply((), moves, 1)
    return _completed(ranges)


def _completed(ranges):
    return key_ranges.merge(
        [part._replace(moving=False, former_holders='') for part in ranges]
    )


def _covers_all_keys(ranges):
    expected = 0
    for part in ranges:
        if part.first != expected or part.last < part.first:
            return False
        expected = part.last + 1
    return expected == KEYS


def _work_by_owner(ranges, work_by_key):
    load = key_plan.Load(work_by_key)
    work = {}
    for part in ranges:
        carried = load.measured(part.first, part.last)
        work[part.target_id] = work.get(part.target_id, 0.0) + carried
    return work


def _count_moved_keys(moves):
    return sum(move.last - move.first + 1 for move in moves)


IDLE = key_plan.Load({})


class ColdOwnerTest(unittest.TestCase):
    def _limited(self, owners, cold_ids, load_s=0.4):
        return cold_owners.limit_cold(
            owners, dict.fromkeys(cold_ids, load_s), WINDOW_S
        )

    def test_capacity_is_limited(self):
        first, second = self._limited(_owners(2), ['i-1'])
        self.assertEqual(first, _owners(2)[0])
        self.assertAlmostEqual(second.capacity_s, 1.2)
        # A slow target does not get more than it can do.
        owners = self._limited(_owners(1, slots=1), ['i-0'], load_s=5.0)
        self.assertEqual(owners[0].capacity_s, WINDOW_S)

    def test_keys_go_to_warm_targets(self):
        # A target is lost while another one that has no keys is cold.
        owners = _owners(3)
        ranges = _assigned(owners, IDLE)
        replaced = [
            owners[0],
            owners[1],
            key_plan.Owner('i-new', 1, owners[0].capacity_s),
        ]
        moves = key_plan.plan(ranges, self._limited(replaced, ['i-new']), IDLE)
        self.assertTrue(moves)
        receivers = {move.owner.target_id for move in moves}
        self.assertNotIn('i-new', receivers)

    def test_all_targets_are_cold(self):
        # After a start of the whole service, keys need owners all the same.
        owners = self._limited(_owners(3), ['i-0', 'i-1', 'i-2'])
        self.assertTrue(_covers_all_keys(_assigned(owners, IDLE)))

    def test_load_leaves_a_target_that_became_cold(self):
        work = {key: 0.001 for key in range(0, KEYS, 64)}
        load = key_plan.Load(work)
        owners = _owners(2)
        ranges = _assigned(owners, load)
        cold = self._limited(owners, ['i-0'], load_s=0.02)
        moves = key_plan.plan(ranges, cold, load)
        self.assertTrue(moves)
        self.assertEqual({move.owner.target_id for move in moves}, {'i-1'})


class ColdReceiverTest(unittest.TestCase):
    """Busy warm owners beside cold ones, whose capacity is limited."""

    def test_plans_keep_the_ranges_whole(self):
        # While only cold targets had less load, a range whose first key was
        # above its last one was moved, and two targets got the same keys.
        for seed in range(200):
            with self.subTest(seed=seed):
                self._check(random.Random(seed))

    def _check(self, rng):
        owners = _owners(8)
        ranges = _assigned(owners, key_plan.Load({}))
        # The cold owners, which have the last keys, are nearly idle.
        warm_keys = KEYS * 5 // 8
        work_by_key = {
            rng.randrange(warm_keys): rng.uniform(0.2, 1.0) for _ in range(60)
        }
        work_by_key[KEYS - 1] = 0.1
        load = key_plan.Load(work_by_key)
        limited = cold_owners.limit_cold(
            owners, {'i-5': 2.0, 'i-6': 2.0, 'i-7': 2.0}, WINDOW_S
        )
        for fence in range(2, 6):
            moves = key_plan.plan(ranges, limited, load)
            for move in moves:
                self.assertLessEqual(move.first, move.last)
            ranges = key_ranges.apply(ranges, moves, fence)
            self.assertTrue(_covers_all_keys(ranges))
            ranges = _completed(ranges)


class PlanTest(unittest.TestCase):
    def test_all_keys_are_assigned(self):
        for count in (1, 3, 11, 93):
            ranges = _assigned(_owners(count), IDLE)
            self.assertTrue(_covers_all_keys(ranges))
            self.assertEqual(len(ranges), count)

    def test_max_utilisation_is_that_of_the_busiest_owner(self):
        """Guards against an overloaded owner that the mean hides."""
        owners = _owners(11)
        ranges = _assigned(owners, IDLE)
        self.assertEqual(key_plan.max_utilisation(ranges, owners, IDLE), 0.0)
        hot = key_plan.Load({5: 4.5, 60000: 1.0})
        self.assertEqual(key_plan.max_utilisation(ranges, owners, hot), 0.5)
        self.assertEqual(key_plan.max_utilisation(ranges, (), hot), 0.0)

    def test_nothing_moves_without_need(self):
        owners = _owners(11)
        ranges = _assigned(owners, IDLE)
        self.assertEqual(key_plan.plan(ranges, owners, IDLE), ())

    def test_keys_of_a_lost_target_are_spread(self):
        # A target crashes. Only its keys move, to more than one target.
        owners = _owners(11)
        ranges = _assigned(owners, IDLE)
        lost = ranges[4]
        remaining = [
            owner for owner in owners if owner.target_id != lost.target_id
        ]
        moves = key_plan.plan(ranges, remaining, IDLE)
        self.assertEqual(_count_moved_keys(moves), lost.last - lost.first + 1)
        self.assertGreater(len({move.owner for move in moves}), 1)
        self.assertTrue(_covers_all_keys(key_ranges.apply(ranges, moves, 2)))

    def test_new_incarnation_gets_keys_by_a_move(self):
        owners = _owners(3)
        ranges = _assigned(owners, IDLE)
        owners[1] = owners[1]._replace(incarnation=2)
        moves = key_plan.plan(ranges, owners, IDLE)
        part = ranges[1]
        self.assertEqual(_count_moved_keys(moves), part.last - part.first + 1)

    def test_joining_target_gets_keys(self):
        owners = _owners(10)
        ranges = _assigned(owners, IDLE)
        more = [*owners, key_plan.Owner('new', 1, 9.0)]
        moves = key_plan.plan(ranges, more, IDLE)
        self.assertEqual({move.owner.target_id for move in moves}, {'new'})
        self.assertLess(_count_moved_keys(moves), KEYS / 8)

    def test_busy_narrow_range_is_split(self):
        # 200 adjacent keys get 40 % of the requests, more than one target can
        # serve.
        chance = random.Random(1)
        owners = _owners(11)
        ranges = _assigned(owners, IDLE)
        work_by_key = {}
        for _ in range(150):
            key = chance.randrange(KEYS)
            if chance.random() < 0.4:
                key = 26000 + chance.randrange(200)
            work_by_key[key] = work_by_key.get(key, 0.0) + 0.35
        load = key_plan.Load(work_by_key)
        before = max(_work_by_owner(ranges, work_by_key).values())
        moved = 0
        for fence in range(2, 6):
            moves = key_plan.plan(ranges, owners, load)
            moved += _count_moved_keys(moves)
            ranges = _completed(key_ranges.apply(ranges, moves, fence))
        after = max(_work_by_owner(ranges, work_by_key).values())
        self.assertGreater(before, 9.0)
        self.assertLess(after, 9.0)
        self.assertLess(moved, KEYS / 20)

    def test_single_busy_key_stays(self):
        # A single key has most of the load. Moving it would only shift the
        # overload to another target.
        owners = _owners(4)
        ranges = _assigned(owners, IDLE)
        load = key_plan.Load({100: 12.0})
        self.assertEqual(key_plan.plan(ranges, owners, load), ())

    def test_single_busy_key_goes_to_a_fast_target(self):
        # The load of a single key exceeds the capacity of its owner; another
        # target is twice as fast.
        owners = _owners(4)
        ranges = _assigned(owners, IDLE)
        owners[3] = owners[3]._replace(capacity_s=18.0)
        load = key_plan.Load({100: 12.0})
        (move,) = key_plan.plan(ranges, owners, load)
        self.assertEqual((move.first, move.last), (100, 100))
        self.assertEqual(move.owner.target_id, 'i-3')

    def test_light_load_moves_nothing(self):
        # A few requests that all go to one target by chance.
        owners = _owners(4)
        ranges = _assigned(owners, IDLE)
        load = key_plan.Load({10: 0.4, 500: 0.4, 900: 0.4})
        self.assertEqual(key_plan.plan(ranges, owners, load), ())


class ApplyTest(unittest.TestCase):
    def test_move_names_all_possible_holders(self):
        # A range that moves again before its first move has completed may
        # still be held by the first owner.
        owners = _owners(3)
        ranges = _assigned(owners, IDLE)
        first = key_plan.Move(10, 20, owners[1])
        ranges = key_ranges.apply(ranges, [first], 2)
        second = key_plan.Move(15, 30, owners[2])
        ranges = key_ranges.apply(ranges, [second], 3)
        self.assertTrue(_covers_all_keys(ranges))
        formers = {
            (part.first, part.last): set(part.former_holders.split())
            for part in ranges
            if part.fence == 3
        }
        self.assertEqual(
            formers,
            {(15, 20): {'i-0/1', 'i-1/1'}, (21, 30): {'i-0/1'}},
        )

    def test_merge_keeps_fences_apart(self):
        # Adjacent ranges of one owner with different fencing tokens are two
        # grants.
        owner = _owners(1)[0]
        parts = [
            model.KeyRange(0, 9, owner.target_id, 1, 1, False, ''),
            model.KeyRange(10, 19, owner.target_id, 1, 2, False, ''),
            model.KeyRange(20, 29, owner.target_id, 1, 2, False, ''),
        ]
        merged = key_ranges.merge(parts)
        self.assertEqual([part.first for part in merged], [0, 10])

    def test_random_moves_leave_no_gap(self):
        chance = random.Random(7)
        owners = _owners(5)
        ranges = _assigned(owners, IDLE)
        for fence in range(2, 200):
            first = chance.randrange(KEYS)
            last = min(KEYS - 1, first + chance.randrange(5000))
            move = key_plan.Move(first, last, chance.choice(owners))
            before = ranges
            ranges = key_ranges.apply(ranges, [move], fence)
            self.assertTrue(_covers_all_keys(ranges))
            self.assertGreater(fence, max(part.fence for part in before))
            if chance.random() < 0.5:
                ranges = _completed(ranges)
