"""Tests of the changes that a host keeps to send them to other hosts."""

import unittest

from amaranthcrank.router import change_history


def _removal(number):
    return change_history.EntryChange(f'i-{number}', None)


def _always(_):
    return True


class ChangeHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = change_history.ChangeHistory()
        self.history.reset(10)

    def _changes_after(self, revision, fits=_always):
        return self.history.changes_after(revision, fits)

    def test_nothing_is_known_before_the_list(self):
        history = change_history.ChangeHistory()
        self.assertIsNone(history.changes_after(10, _always))

    def test_all_changes_after_a_revision(self):
        self.history.record(10, 12, [_removal(1)])
        self.history.record(12, 15, [])
        self.history.record(15, 17, [_removal(2)])
        found = self._changes_after(10)
        self.assertEqual(found, (10, 17, (_removal(1), _removal(2))))
        self.assertEqual(self._changes_after(12), (12, 17, (_removal(2),)))
        self.assertIsNone(self._changes_after(17))

    def test_latest_change_of_a_target(self):
        first = change_history.EntryChange('i-1', 'an entry')
        self.history.record(10, 12, [first])
        self.history.record(12, 14, [_removal(1)])
        self.assertEqual(self._changes_after(10), (10, 14, (_removal(1),)))

    def test_changes_that_were_never_read(self):
        """Guards against changes that other hosts would skip."""
        self.history.record(10, 12, [_removal(1)])
        self.history.record(14, 15, [_removal(3)])
        self.assertIsNone(self._changes_after(10))
        self.assertIsNone(self._changes_after(13))
        self.assertEqual(self._changes_after(14), (14, 15, (_removal(3),)))

    def test_reads_that_overlap(self):
        self.history.record(10, 14, [_removal(1)])
        self.history.record(12, 16, [_removal(2)])
        self.assertEqual(
            self._changes_after(10), (10, 16, (_removal(1), _removal(2)))
        )

    def test_changes_before_the_list(self):
        self.history.record(10, 12, [_removal(1)])
        self.history.reset(13)
        self.assertIsNone(self._changes_after(12))

    def test_changes_that_are_too_long(self):
        self.history.record(10, 12, [_removal(1)])
        self.history.record(12, 14, [_removal(2)])
        found = self._changes_after(
            10, lambda changes: len(changes.changes) < 2
        )
        self.assertEqual(found, (10, 12, (_removal(1),)))

    def test_old_reads_are_discarded(self):
        """Guards against unbounded memory and against gaps."""
        for number in range(change_history.MAX_READS + 1):
            revision = 10 + number
            self.history.record(revision, revision + 1, [_removal(number)])
        self.assertIsNone(self._changes_after(10))
        self.assertEqual(
            len(self._changes_after(11).changes), change_history.MAX_READS
        )

    def test_discarded_changes_are_not_returned(self):
        self.history.record(10, 12, [_removal(1)])
        self.history.clear()
        self.assertIsNone(self._changes_after(10))
        self.history.record(12, 14, [_removal(2)])
        self.assertIsNone(self._changes_after(10))
        self.assertEqual(self._changes_after(12), (12, 14, (_removal(2),)))


if __name__ == '__main__':
    unittest.main()
