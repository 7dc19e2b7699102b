"""Tests of when a controller may use a key map that is in doubt."""

import unittest
from unittest import mock

from amaranthcrank.router import clock
from amaranthcrank.router import inherited_maps
from amaranthcrank.router import key_recovery
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from standins import virtual_time

LAST_KEY = model.KEY_COUNT - 1
MAP = model.KeyMap(
    'book',
    5,
    (model.KeyRange(0, LAST_KEY, 'i-1', 1, 5, False, ''),),
    7,
    {},
    term=2,
)


class DoubtTest(unittest.TestCase):
    def _prepare(self):
        client = mock.Mock(era=0, has_seen_restore=False)
        client.era_seen_at = clock.now()
        self.maps = inherited_maps.InheritedMaps(
            client, key_table.KeyTable(), mock.Mock(), 10.0, lambda: False
        )

    @virtual_time.in_virtual_time
    async def test_write_without_a_response(self):
        """Guards against an own write that is taken for another controller's.

        The controller ended before it knew that its last write was stored.
        """
        self._prepare()
        stored = MAP._replace(fence=14, revision=8)
        self.maps.begin([stored], {'book': MAP}, {'book'})
        self.maps.take('book')
        self.assertFalse(self.maps.may_move('book'))

    @virtual_time.in_virtual_time
    async def test_map_of_another_controller(self):
        """Guards against a wait although the store has a newer map."""
        self._prepare()
        stored = MAP._replace(fence=14, revision=8, term=3)
        self.maps.begin([stored], {'book': MAP}, {'book'})
        self.assertEqual(self.maps.take('book'), stored)
        self.assertTrue(self.maps.may_move('book'))

    @virtual_time.in_virtual_time
    async def test_map_that_was_recovered(self):
        """Guards against a doubt that does not end."""
        self._prepare()
        self.maps.begin([MAP], {'book': MAP}, {'book'})
        fence = MAP.fence + key_recovery.TOKENS_PER_RESTORE
        recovered = MAP._replace(fence=fence, revision=8)
        self.maps.begin([recovered], {'book': recovered}, ())
        self.assertEqual(self.maps.take('book'), recovered)
        self.assertTrue(self.maps.may_move('book'))


if __name__ == '__main__':
    unittest.main()
