import unittest

from amaranthcrank.router import key_recovery
from amaranthcrank.router import model

ADDRESS = model.Address('10.0.0.1', 1)
LAST_KEY = model.KEY_COUNT - 1


def _map(fence, *ranges, addresses=()):
    return model.KeyMap(
        'book', fence, ranges, 7, dict.fromkeys(addresses, ADDRESS)
    )


def _range(first, last, number, fence, moving=False, former=''):
    return model.KeyRange(first, last, f'i-{number}', 1, fence, moving, former)


class RecoveryTest(unittest.TestCase):
    def test_later_owners_keep_their_keys(self):
        """Guards against keys that move though their owner is known."""
        stored = _map(5, _range(0, LAST_KEY, 1, 5))
        known = _map(9, _range(0, 99, 1, 5), _range(100, LAST_KEY, 2, 9))
        found = key_recovery.recover(stored, known, 1)
        self.assertEqual(
            [(part.first, part.holder) for part in found.ranges],
            [(0, 'i-1/1'), (100, 'i-2/1')],
        )

    def test_unsettled_holds_of_all_versions(self):
        """Guards against a former owner that is no longer asked for keys.

        It may still take a grant that waited. The copy is of before its keys
        were moved.
        """
        first = model.UnsettledHold('i-3/1', 0, 9, 4)
        second = model.UnsettledHold('i-4/1', 0, 9, 8)
        stored = _map(5, _range(0, LAST_KEY, 1, 5))._replace(
            unsettled=(first,)
        )
        known = _map(9, _range(0, LAST_KEY, 2, 9))._replace(
            unsettled=(first, second)
        )
        found = key_recovery.recover(stored, known, 1)
        self.assertEqual(found.unsettled, (first, second))

    def test_all_owners_are_former_holders(self):
        """Guards against a known owner that is not asked for its keys."""
        stored = _map(5, _range(0, LAST_KEY, 1, 5, True, 'i-3/1'))
        known = _map(9, _range(0, LAST_KEY, 2, 9, True, 'i-4/1'))
        (found,) = key_recovery.recover(stored, known, 1).ranges
        self.assertTrue(found.moving)
        self.assertEqual(found.holder, 'i-2/1')
        self.assertEqual(
            set(found.former_holders.split()), {'i-1/1', 'i-3/1', 'i-4/1'}
        )

    def test_tokens_rise_with_each_restore(self):
        """Guards against tokens that are given out again.

        The second copy may be from before what was written after the first
        restore.
        """
        stored = _map(5, _range(0, LAST_KEY, 1, 5))
        once = key_recovery.recover(stored, None, 1)
        twice = key_recovery.recover(stored, None, 2)
        used = once.fence + key_recovery.TOKENS_PER_RESTORE - 1
        self.assertGreater(once.fence, 5)
        self.assertGreater(twice.fence, used)

    def test_tokens_of_changes_that_this_host_heard_of(self):
        """Guards against tokens below those in changes of the map."""
        stored = _map(5, _range(0, LAST_KEY, 1, 5))
        known = _map(5, _range(0, LAST_KEY, 2, 70))
        found = key_recovery.recover(stored, known, 1)
        self.assertGreater(
            found.fence, 70 + key_recovery.TOKENS_PER_RESTORE - 1
        )

    def test_map_that_the_copy_lacks(self):
        """Guards against known owners that are not asked for their keys."""
        known = _map(9, _range(0, LAST_KEY, 2, 9), addresses=['i-2/1'])
        found = key_recovery.recover(_map(0), known, 1)
        self.assertEqual(found.ranges[0].holder, 'i-2/1')
        self.assertEqual(found.address_by_holder, {'i-2/1': ADDRESS})
