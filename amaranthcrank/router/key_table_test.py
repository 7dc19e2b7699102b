import unittest

from amaranthcrank.platform import store_position
from amaranthcrank.router import key_table
from amaranthcrank.router import model


def _range(first, last, fence=1, moving=False):
    return model.KeyRange(first, last, 'i-1', 1, fence, moving, '')


def _map(revision, *ranges):
    return model.KeyMap('book', 1, ranges, revision, {})


class KeyTableTest(unittest.TestCase):
    def setUp(self):
        self.table = key_table.KeyTable()

    def test_find(self):
        self.table.put(_map(1, _range(0, 9), _range(20, 65535, 2)))
        self.assertEqual(self.table.find('book', 9).fence, 1)
        self.assertIsNone(self.table.find('book', 10))
        self.assertEqual(self.table.find('book', 65535).fence, 2)
        self.assertIsNone(self.table.find('desk', 5))

    def test_older_map_changes_nothing(self):
        self.table.put(_map(5, _range(0, 65535, 5)))
        self.assertFalse(self.table.put(_map(4, _range(0, 65535, 4))))
        self.assertEqual(self.table.find('book', 0).fence, 5)

    def test_completion_ahead_of_the_store(self):
        # While the store is unavailable, requests must use a completed move.
        self.table.put(_map(1, _range(0, 65535, 3, moving=True)))
        self.table.mark_move_completed('book', 0, 65535, 3)
        self.assertFalse(self.table.find('book', 7).moving)
        self.table.put(_map(2, _range(0, 65535, 3, moving=True)))
        self.assertFalse(self.table.find('book', 7).moving)

    def test_completion_of_another_move_is_ignored(self):
        self.table.put(_map(1, _range(0, 65535, 4, moving=True)))
        self.table.mark_move_completed('book', 0, 65535, 3)
        self.assertTrue(self.table.find('book', 7).moving)

    def test_difference_leads_to_the_next_map(self):
        """Guards against routing by a partly updated map."""
        self.table.put(_map(1, _range(0, 99), _range(100, 65535)))
        changed = [_range(50, 120, 2, moving=True), _range(121, 65535)]
        self.assertTrue(self.table.apply_diff('book', 1, 4, changed))
        self.assertEqual(
            self.table.map_by_service['book'].ranges,
            (_range(0, 49), *changed),
        )
        self.assertTrue(self.table.find('book', 99).moving)
        self.assertEqual(self.table.find('book', 121).fence, 1)
        self.assertEqual(self.table.revision('book'), 4)

    def test_copy_that_is_not_used_counts_as_read(self):
        """Guards against hosts that read a copy again after each heartbeat.

        A controller that knows only the copy names its revision until it may
        use it.
        """
        self.table.put(_map(8, _range(0, 65535, 9))._replace(fence=9))
        revision = store_position.position(1, 3)
        copy = _map(revision, _range(0, 65535, 5))._replace(fence=5)
        self.assertFalse(self.table.put(copy))
        self.assertEqual(self.table.find('book', 7).fence, 9)
        self.assertEqual(self.table.revision('book'), revision)

    def test_empty_difference_to_an_empty_map(self):
        """Guards against a datagram that raises an error."""
        self.table.put(_map(1))
        self.assertTrue(self.table.apply_diff('book', 1, 4, []))
        self.assertEqual(self.table.revision('book'), 4)

    def test_difference_from_another_revision_is_rejected(self):
        """Guards against a map with two owners of a key.

        After a lost datagram the next difference does not fit the known map.
        """
        self.table.put(_map(2, _range(0, 65535)))
        changed = [_range(0, 10, 3)]
        self.assertFalse(self.table.apply_diff('book', 1, 4, changed))
        self.assertEqual(self.table.find('book', 5).fence, 1)
        self.assertEqual(self.table.revision('book'), 2)
        self.assertFalse(self.table.apply_diff('desk', 1, 4, changed))
