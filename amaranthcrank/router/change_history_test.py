"""Tests of the changes that a host remembers for others."""

import unittest

from amaranthcrank.router import change_history


def _gone(number):
    return change_history.EntryChange(f'i-{number}', None)


def _always(_):
    return True


class ChangeHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = change_history.ChangeHistory()
        self.history.start(10)

    def _after(self, revision, fits=_always):
        return self.history.after(revision, fits)

    def test_nothing_is_known_before_the_list(self):
        history = change_history.ChangeHistory()
        self.assertIsNone(history.after(10, _always))

    def test_all_changes_after_a_revision(self):
        self.history.note(10, 12, [_gone(1)])
        self.history.note(12, 15, [])
        self.history.note(15, 17, [_gone(2)])
        found = self._after(10)
        self.assertEqual(found, (10, 17, (_gone(1), _gone(2))))
        self.assertEqual(self._after(12), (12, 17, (_gone(2),)))
        self.assertIsNone(self._after(17))

    def test_latest_change_of_a_target(self):
        first = change_history.EntryChange('i-1', 'an entry')
        self.history.note(10, 12, [first])
        self.history.note(12, 14, [_gone(1)])
        self.assertEqual(self._after(10), (10, 14, (_gone(1),)))

    def test_changes_that_were_never_read(self):
        """Guards against changes that are skipped over."""
        self.history.note(10, 12, [_gone(1)])
        self.history.note(14, 15, [_gone(3)])
        self.assertIsNone(self._after(10))
        self.assertIsNone(self._after(13))
        self.assertEqual(self._after(14), (14, 15, (_gone(3),)))

    def test_reads_that_overlap(self):
        self.history.note(10, 14, [_gone(1)])
        self.history.note(12, 16, [_gone(2)])
        self.assertEqual(self._after(10), (10, 16, (_gone(1), _gone(2))))

    def test_changes_before_the_list(self):
        self.history.note(10, 12, [_gone(1)])
        self.history.start(13)
        self.assertIsNone(self._after(12))

    def test_changes_that_are_too_long(self):
        self.history.note(10, 12, [_gone(1)])
        self.history.note(12, 14, [_gone(2)])
        found = self._after(10, lambda changes: len(changes.changes) < 2)
        self.assertEqual(found, (10, 12, (_gone(1),)))

    def test_old_reads_are_forgotten(self):
        """Guards against memory that grows, and against gaps."""
        for number in range(change_history.MAX_READS + 1):
            revision = 10 + number
            self.history.note(revision, revision + 1, [_gone(number)])
        self.assertIsNone(self._after(10))
        self.assertEqual(
            len(self._after(11).changes), change_history.MAX_READS
        )

    def test_what_is_in_doubt(self):
        self.history.note(10, 12, [_gone(1)])
        self.history.forget()
        self.assertIsNone(self._after(10))
        self.history.note(12, 14, [_gone(2)])
        self.assertIsNone(self._after(10))
        self.assertEqual(self._after(12), (12, 14, (_gone(2),)))


if __name__ == '__main__':
    unittest.main()
