"""Tests of slot assignments."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthcrank.core import model
from amaranthcrank.plan import assignment

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
CAPACITIES = strategies.lists(
    strategies.integers(1, 5), min_size=1, max_size=8
)


def slots_of(count: int) -> frozenset[model.SlotId]:
    return frozenset(model.SlotId('holdbook', each) for each in range(count))


def targets_of(
    capacities: list[int], draining: frozenset[str] = frozenset()
) -> tuple[model.Target, ...]:
    return tuple(
        model.Target(
            f't{i}', 'holdbook', 'c', '', each, 9, True, f't{i}' in draining
        )
        for i, each in enumerate(capacities)
    )


class PlanSlotsTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        capacities=CAPACITIES,
        count=strategies.integers(0, 120),
        down=strategies.frozensets(strategies.integers(0, 7)),
    )
    def test_balance_and_least_moves(
        self, capacities: list[int], count: int, down: frozenset[int]
    ) -> None:
        """Guards against unneeded moves and more than a slot of imbalance."""
        targets = targets_of(capacities)
        wanted = slots_of(count)
        first, _ = assignment.plan_slots(
            {}, wanted, targets, {}, frozenset(), 2
        )
        unusable = frozenset(f't{each}' for each in down)
        usable = [each for each in targets if each.target not in unusable]
        planned, moves = assignment.plan_slots(
            first, wanted, targets, {}, unusable, 3
        )
        necessary = assignment.necessary_moves(
            first, wanted, targets, unusable
        )
        self.assertEqual(wanted, frozenset(planned))
        if not usable:
            self.assertEqual(first, planned)
            return
        self.assertLessEqual(necessary, len(moves))
        total = sum(each.slots for each in usable)
        owners = [each.target for each in planned.values()]
        for target in usable:
            share = count * target.slots / total
            self.assertLess(abs(owners.count(target.target) - share), 1)
        if len(set(capacities)) == 1:
            self.assertEqual(necessary, len(moves))
        again, moves = assignment.plan_slots(
            planned, wanted, targets, {}, unusable, 4
        )
        self.assertEqual((planned, ()), (again, moves))

    def test_draining_target_gets_nothing(self) -> None:
        """Guards against slots assigned to a draining target."""
        wanted = slots_of(12)
        targets = targets_of([3, 3, 3])
        first, _ = assignment.plan_slots(
            {}, wanted, targets, {}, frozenset(), 2
        )
        targets = targets_of([3, 3, 3], frozenset({'t1'}))
        planned, moves = assignment.plan_slots(
            first, wanted, targets, {}, frozenset(), 3
        )
        owners = {each.target for each in planned.values()}
        self.assertEqual({'t0', 't2'}, owners)
        for slot_id in moves:
            self.assertEqual('t1', first[slot_id].target)
            self.assertEqual('t1', planned[slot_id].previous_target)
            self.assertEqual(3, planned[slot_id].fence)

    def test_pin_follows_its_target(self) -> None:
        """Guards against a hot key that stays on a target that is down."""
        pinned = model.SlotId('holdbook', 12)
        targets = targets_of([3, 3])
        owners = []
        plan: dict[model.SlotId, model.Assignment] = {}
        for down in (frozenset(), frozenset({'t1'}), frozenset()):
            plan, _ = assignment.plan_slots(
                plan, slots_of(12), targets, {pinned: 't1'}, down, 2
            )
            owners.append(plan[pinned].target)
        self.assertEqual(['t1', 't0', 't1'], owners)

    def test_slots_that_are_not_wanted_are_omitted(self) -> None:
        """Guards against slots kept after a ticket moved them elsewhere."""
        targets = targets_of([3])
        first, _ = assignment.plan_slots(
            {}, slots_of(4), targets, {}, frozenset(), 2
        )
        planned, _ = assignment.plan_slots(
            first, slots_of(2), targets, {}, frozenset(), 3
        )
        self.assertEqual(slots_of(2), frozenset(planned))
