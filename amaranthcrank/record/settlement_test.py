"""Tests of slots that move between cells."""

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
    def test_giving_cell_drops_waits_and_settles(self) -> None:
        """Guards against settling while an older grant is in force."""
        state = state_of(4)
        record = record_of('a', range(6), 1, 1)
        due = settlement.settle('a', 2, state, record, 2, {'c': 1})
        self.assertEqual([4, 5], [each.slot for each in due.drop])
        self.assertFalse(due.raise_settled)
        record = record_of('a', range(4), 2, 1)
        due = settlement.settle('a', 2, state, record, 1, {'c': 1})
        self.assertEqual(((), False), (due.drop, due.raise_settled))
        due = settlement.settle('a', 2, state, record, 2, {'c': 1})
        self.assertTrue(due.raise_settled)

    def test_not_settled_before_the_record_follows_the_ticket(self) -> None:
        """Guards against hosts that still route by the older ticket."""
        record = record_of('a', range(4), 1, 1)
        due = settlement.settle('a', 2, state_of(4), record, 2, {'c': 1})
        self.assertEqual(((), False), (due.drop, due.raise_settled))

    def test_taking_cell_waits_for_every_other(self) -> None:
        """Guards against two cells that own a slot."""
        state = state_of(4)
        record = record_of('c', range(6, 8), 2, 1)
        for settled, taken in (({'a': 1}, []), ({'a': 2}, [4, 5])):
            due = settlement.settle('c', 2, state, record, 2, settled)
            self.assertEqual(taken, [each.slot for each in due.take])
        due = settlement.settle('c', 2, state, record, 1, {'a': 2})
        self.assertEqual((), due.take)
        due = settlement.settle('c', 2, state, record, 2, {})
        self.assertEqual((('a',), ('a',)), (due.missing, due.waiting_for))
        state['lost_cells'] = ['a']
        due = settlement.settle('c', 2, state, record, 2, {})
        self.assertEqual(((), 2), (due.missing, len(due.take)))

    def test_cell_that_a_ticket_left_out_counts(self) -> None:
        """Guards against a removed cell that still holds slots."""
        record = record_of('c', range(6, 8), 2, 1)
        settled = {'a': 2, 'old': 1}
        due = settlement.settle('c', 2, state_of(4), record, 2, settled)
        self.assertEqual(((), ('old',)), (due.take, due.waiting_for))


class PinsTest(unittest.TestCase):
    def test_pin_stays_in_the_cell_of_its_slot(self) -> None:
        """Guards against a pin that moves a key between cells."""
        state = state_of(4, {'k1': 't1', 'k2': 't2'})
        for cell, numbers in (('a', range(4)), ('c', range(4, 8))):
            expected = {
                model.SlotId('s', 8 + position): target
                for position, (key, target) in enumerate(
                    (('k1', 't1'), ('k2', 't2'))
                )
                if hashing.slot_of('s', key, 8) in numbers
            }
            self.assertEqual(expected, settlement.pinned_slots(state, cell))

    def test_changed_pins_remap_slots(self) -> None:
        """Guards against a key that changes its slot without a wait."""
        old = state_of(4, {'k1': 't1', 'k2': 't2'})
        base = model.SlotId('s', hashing.slot_of('s', 'k1', 8))
        changed = settlement.remapped_slots(old, state_of(4, {'k2': 't2'}))
        self.assertEqual({base, model.SlotId('s', 8)}, changed)
        added = state_of(4, {'k0': 't1', 'k1': 't1', 'k2': 't2'})
        numbers = {each.slot for each in settlement.remapped_slots(old, added)}
        self.assertEqual({8, 9, 10}, numbers)
        self.assertEqual(frozenset(), settlement.remapped_slots(old, old))
