"""Tests of cell records."""

import unittest

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.record import cell_record

SLOT = model.SlotId('soaklog', 3)


def planned(target: str) -> dict[model.SlotId, model.Assignment]:
    return {SLOT: model.Assignment(target, 0, '')}


class EncodeTest(unittest.TestCase):
    def test_large_record_is_encoded_compactly(self) -> None:
        """Guards against records that exceed the limit of the store."""
        record = cell_record.first_record('ktm-patan', ('a', 'b'), 'z', 7)
        assignments = {
            model.SlotId('soaklog', each): model.Assignment(
                f'soaklog-{each % 10:02}', 1, ''
            )
            for each in range(512)
        }
        record = cell_record.with_assignments(record, assignments, 0, 7)
        body = cell_record.encode(record)
        self.assertLess(len(body), 30_000)
        self.assertEqual((record, ()), cell_record.decode(body))

    def test_invalid_input_gives_problems(self) -> None:
        """Guards against a crash on an invalid object or accepting it."""
        valid = cell_record.encode(
            cell_record.first_record('c', ('a',), '', 0)
        )
        bad = (
            b'',
            b'\xff',
            b'[]',
            b'{}',
            valid.replace(b'"version":1', b'"version":0'),
            valid.replace(b'"version":1', b'"version":true'),
            valid.replace(b'"hosts":["a"]', b'"hosts":["a","a"]'),
            valid.replace(b'"hosts":["a"]', b'"hosts":[1]'),
            valid.replace(b'"slots":{}', b'"slots":{"s":[[1,9,1,0]]}'),
            valid.replace(b'"slots":{}', b'"slots":{"s":[[1,0,1,0]]}'),
            valid.replace(b'"slots":{}', b'"slots":{"s":7}'),
        )
        for body in bad:
            record, problems = cell_record.decode(body)
            self.assertIsNone(record, body)
            self.assertEqual({codes.BAD_RECORD}, {p.code for p in problems})


class NextVersionTest(unittest.TestCase):
    def test_second_move_before_the_first_is_effective(self) -> None:
        """Guards against a release that does not cover an earlier owner."""
        record = cell_record.first_record('c', ('a',), None, 1)
        record = cell_record.with_assignments(record, planned('t0'), 1)
        self.assertEqual('', record.assignment_by_slot[SLOT].previous_target)
        moved = cell_record.with_assignments(record, planned('t1'), 2)
        self.assertEqual('t0', moved.assignment_by_slot[SLOT].previous_target)
        again = cell_record.with_assignments(moved, planned('t2'), 2)
        self.assertEqual(
            cell_record.UNRESOLVED,
            again.assignment_by_slot[SLOT].previous_target,
        )

    def test_slot_that_returns_after_a_drop_waits(self) -> None:
        """Guards against a new owner while an older grant is in force."""
        record = cell_record.first_record('c', ('a',), None, 1)
        record = cell_record.with_assignments(record, planned('t0'), 1)
        dropped = cell_record.with_assignments(record, {}, 2)
        back = cell_record.with_assignments(dropped, planned('t1'), 2)
        self.assertEqual(
            cell_record.UNRESOLVED,
            back.assignment_by_slot[SLOT].previous_target,
        )
        back = cell_record.with_assignments(dropped, planned('t1'), 3)
        self.assertEqual('', back.assignment_by_slot[SLOT].previous_target)

    def test_remapped_slot_gets_a_new_fence(self) -> None:
        """Guards against a key that returns from a pin without a wait."""
        record = cell_record.first_record('c', ('a',), None, 1)
        record = cell_record.with_assignments(record, planned('t0'), 1)
        following = cell_record.with_assignments(
            record, planned('t0'), 2, 5, frozenset({SLOT})
        )
        self.assertEqual(
            model.Assignment('t0', 3, cell_record.UNRESOLVED),
            following.assignment_by_slot[SLOT],
        )
        self.assertEqual(5, following.planned_ticket)

    def test_no_change_keeps_the_version(self) -> None:
        """Guards against writes that only increase the version."""
        record = cell_record.first_record('c', ('a',), None, 1)
        record = cell_record.with_assignments(record, planned('t0'), 1)
        for same in (
            cell_record.with_assignments(record, planned('t0'), 2),
            cell_record.with_hosts(record, ('a',), None)[0],
            cell_record.with_attester_change_completed(record),
            cell_record.with_settled_ticket(record, 1),
        ):
            self.assertIs(record, same)

    def test_second_change_of_attesters_is_refused(self) -> None:
        """Guards against two pending changes of the attesters."""
        record = cell_record.first_record('c', ('a', 'b', 'd'), None, 1)
        record, _ = cell_record.with_hosts(record, ('a', 'b'), 'z')
        self.assertEqual(('a', 'b', 'z'), record.attesters)
        self.assertEqual(('a', 'b', 'd'), record.previous_attesters)
        refused, problems = cell_record.with_hosts(record, ('a',), 'z')
        self.assertIsNone(refused)
        self.assertEqual(codes.CHANGE_PENDING, problems[0].code)
        record = cell_record.with_attester_change_completed(record)
        record, problems = cell_record.with_hosts(record, ('a',), 'z')
        self.assertEqual((('a',), ()), (record.attesters, problems))

    def test_large_cells_have_five_attesters(self) -> None:
        """Guards against a change of attesters when another host joins."""
        hosts = tuple(f'h{each}' for each in range(12))
        attesters = cell_record.select_attesters('c', hosts, 'z')
        self.assertEqual(5, len(attesters))
        other = next(each for each in hosts if each not in attesters)
        fewer = tuple(each for each in hosts if each != other)
        self.assertEqual(
            attesters, cell_record.select_attesters('c', fewer, 'z')
        )
        record = cell_record.first_record('c', fewer, None, 1)
        record, _ = cell_record.with_hosts(record, hosts, None)
        self.assertEqual((), record.previous_attesters)
        _, problems = cell_record.with_hosts(record, (*hosts, 'h12'), None)
        self.assertEqual(codes.TOO_MANY_HOSTS, problems[0].code)
