"""Tests of changes that are longer than a datagram.

Load: many small moves of keys of a busy service at once. A change that cannot
be sent by datagram is read from the store by every host.
"""

import unittest

from amaranthcrank.router import change_parts
from amaranthcrank.router import model


def _ranges(count):
    return [
        model.KeyRange(at, at, 'i-1', 1, at + 2, False, '')
        for at in range(count)
    ]


def _fits_ten(ranges):
    return len(ranges) <= 10


class ChangePartsTest(unittest.TestCase):
    def test_short_change_is_one_part(self):
        self.assertEqual(len(change_parts.split(_ranges(10), _fits_ten)), 1)

    def test_parts_are_reassembled(self):
        """Guards against changes that are lost or applied in another order."""
        changed = _ranges(36)
        parts = change_parts.split(changed, _fits_ten)
        self.assertEqual(len(parts), 4)
        assembler = change_parts.PartAssembler()
        for index in (3, 0, 2):
            self.assertIsNone(
                assembler.add(('book', 8), index, 4, parts[index])
            )
        items = assembler.add(('book', 8), 1, 4, parts[1])
        self.assertEqual(items, changed)

    def test_change_that_is_too_long(self):
        changed = _ranges(10 * change_parts.MAX_PARTS + 1)
        self.assertEqual(change_parts.split(changed, _fits_ten), ())

    def test_lost_part(self):
        """Guards against applying an incomplete change."""
        assembler = change_parts.PartAssembler()
        self.assertIsNone(assembler.add(('book', 8), 0, 2, _ranges(1)))
        self.assertIsNone(assembler.add(('book', 9), 1, 2, _ranges(2)))

    def test_incomplete_changes_are_bounded(self):
        assembler = change_parts.PartAssembler()
        for revision in range(1000):
            assembler.add(('book', revision), 0, 2, _ranges(1))
        self.assertLessEqual(
            len(assembler._parts_by_change), change_parts.MAX_INCOMPLETE
        )


if __name__ == '__main__':
    unittest.main()
