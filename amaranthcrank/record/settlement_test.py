"""Tests of the moves of slots between cells."""

import typing
import unittest

from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.record import cell_record
from amaranthcrank.record import settlement


def state_of(
    middle: int, pins: dict[str, str] | None = None
) -> dict[str, typing.Any]:
    ranges = [
        {'cell': 'a', 'from': 0, 'to': middle},
        {'cell': 'c', 'from': middle, 'to': 8},
    ]
    section = {'slots': 8, 'ranges': ranges, 'targets': {}, 'pins': pins or {}}
    return {
        'services': {'s': section},
        'cells': {'a': {}, 'c': {}},
        'lost_cells': [],
    }


def record_of(
    cell: str, numbers: range, planned: int, settled: int
) -> model.CellRecord:
    record = cell_record.first_record(cell, (f'{cell}1',), None, settled)
    slots = {
        model.SlotId('s', each): model.Assignment('t', 0, '')
        for each in numbers
    }
    return cell_record.with_assignments(record, slots, 1, planned)


class SettleTest(unittest.TestCase):
    def test_cell_that_loses_slots_drops_waits_and_settles(self) -> None:
        """Guards against a settled ticket while an older grant is valid."""
        state = state_of(4)
        record = record_of('a', range(6), 1, 1)
        due = settlement.plan_settlement('a', 2, state, record, 2, {'c': 1})
        self.assertEqual([4, 5], [each.slot for each in due.drop])
        self.assertFalse(due.raise_settled)
        record = record_of('a', range(4), 2, 1)
        due = settlement.plan_settlement('a', 2, state, record, 1, {'c': 1})
        self.assertEqual(((), False), (due.drop, due.raise_settled))
        due = settlement.plan_settlement('a', 2, state, record, 2, {'c': 1})
        self.assertTrue(due.raise_settled)

    def test_not_settled_before_the_record_is_based_on_the_ticket(
        self,
    ) -> None:
        """Guards against hosts that still route with the older ticket."""
        record = record_of('a', range(4), 1, 1)
        due = settlement.plan_settlement(
            'a', 2, state_of(4), record, 2, {'c': 1}
        )
        self.assertEqual(((), False), (due.drop, due.raise_settled))

    def test_cell_that_gains_slots_waits_for_all_others(self) -> None:
        """Guards against two cells that own a slot."""
        state = state_of(4)
        record = record_of('c', range(6, 8), 2, 1)
        for settled, taken in (({'a': 1}, []), ({'a': 2}, [4, 5])):
            due = settlement.plan_settlement('c', 2, state, record, 2, settled)
            self.assertEqual(taken, [each.slot for each in due.take])
        due = settlement.plan_settlement('c', 2, state, record, 1, {'a': 2})
        self.assertEqual((), due.take)
        due = settlement.plan_settlement('c', 2, state, record, 2, {})
        self.assertEqual((('a',), ('a',)), (due.missing, due.waiting_for))
        state['lost_cells'] = ['a']
        due = settlement.plan_settlement('c', 2, state, record, 2, {})
        self.assertEqual(((), 2), (due.missing, len(due.take)))

    def test_waits_for_a_cell_that_is_not_in_the_ticket(self) -> None:
        """Guards against a removed cell that still holds slots."""
        record = record_of('c', range(6, 8), 2, 1)
        settled = {'a': 2, 'old': 1}
        due = settlement.plan_settlement(
            'c', 2, state_of(4), record, 2, settled
        )
        self.assertEqual(((), ('old',)), (due.take, due.waiting_for))


def pinned_slot_of(key: str) -> model.SlotId:
    return model.SlotId('s', hashing.pinned_slot_number('s', key, 8))


def hash_slot_of(key: str) -> model.SlotId:
    return model.SlotId('s', hashing.slot_of('s', key, 8))


class PinsTest(unittest.TestCase):
    def test_pin_stays_in_the_cell_of_its_hash_slot(self) -> None:
        """Guards against a pin that moves a key between cells."""
        pins = {'k1': 't1', 'k2': 't2'}
        state = state_of(4, pins)
        for cell, numbers in (('a', range(4)), ('c', range(4, 8))):
            expected = {
                pinned_slot_of(key): target
                for key, target in pins.items()
                if hash_slot_of(key).slot in numbers
            }
            self.assertEqual(expected, settlement.pinned_slots(state, cell))

    def test_pinned_slot_number_is_independent_of_other_pins(self) -> None:
        """Guards against a slot that gets another key with another pin."""
        for key in ('k1', 'k2', 'k0'):
            self.assertTrue(hashing.is_pinned_slot(pinned_slot_of(key).slot))
            self.assertFalse(hashing.is_pinned_slot(hash_slot_of(key).slot))
            base = hashing.base_slot_number(pinned_slot_of(key).slot)
            self.assertEqual(hash_slot_of(key).slot, base)

    def test_changed_pins_remap_slots(self) -> None:
        """Guards against a key that changes its slot without a wait."""
        record = record_of('a', range(8), 1, 1)
        pinned = {pinned_slot_of('k1'), pinned_slot_of('k2')}
        added = settlement.remapped_slots(record, pinned)
        self.assertEqual(pinned, added.gaining)
        self.assertEqual(
            {hash_slot_of('k1'), hash_slot_of('k2')}, added.losing
        )
        slots = {
            slot_id: model.Assignment('t', 0, '')
            for slot_id in (*record.assignment_by_slot, *pinned)
        }
        record = cell_record.with_assignments(
            record, slots, 2, 2, added.gaining, added.losing
        )
        self.assertEqual(
            cell_record.UNRESOLVED,
            record.assignment_by_slot[pinned_slot_of('k1')].previous_target,
        )
        self.assertEqual(
            model.Assignment('t', 3, ''),
            record.assignment_by_slot[hash_slot_of('k1')],
        )
        same = settlement.remapped_slots(record, pinned)
        self.assertEqual(
            settlement.RemappedSlots(frozenset(), frozenset()), same
        )
        remapped_after_removal = settlement.remapped_slots(
            record, {pinned_slot_of('k2')}
        )
        self.assertEqual(
            ({hash_slot_of('k1')}, set()),
            tuple(map(set, remapped_after_removal)),
        )
        del slots[pinned_slot_of('k1')]
        record = cell_record.with_assignments(
            record,
            slots,
            3,
            3,
            remapped_after_removal.gaining,
            remapped_after_removal.losing,
        )
        self.assertEqual(
            model.Assignment('t', 4, cell_record.UNRESOLVED),
            record.assignment_by_slot[hash_slot_of('k1')],
        )

    def test_pin_during_a_move_keeps_the_wait(self) -> None:
        """Guards against a new fence that drops an earlier owner."""
        record = record_of('a', range(8), 1, 1)
        base = hash_slot_of('k1')
        moved = {**record.assignment_by_slot}
        moved[base] = model.Assignment('t9', 0, '')
        record = cell_record.with_assignments(record, moved, 2, 1)
        changed = settlement.remapped_slots(record, {pinned_slot_of('k1')})
        moved[pinned_slot_of('k1')] = model.Assignment('t', 0, '')
        record = cell_record.with_assignments(
            record, moved, 2, 2, changed.gaining, changed.losing
        )
        self.assertEqual(
            cell_record.UNRESOLVED,
            record.assignment_by_slot[base].previous_target,
        )
