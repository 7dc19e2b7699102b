import asyncio
import time
import unittest
from unittest import mock

from amaranthcrank.platform import store
from amaranthcrank.router import model
from amaranthcrank.router import new_starts
from standins import platform_target

HOLDER = 'i-1/5'


class StartCheckTest(unittest.IsolatedAsyncioTestCase):
    """Guards against grants to an incarnation that they are not for."""

    def setUp(self):
        self.client = mock.AsyncMock()
        self.has_started_anew = new_starts.start_check(
            self.client, mock.Mock()
        )

    def _entry(self, incarnation):
        address = model.Address('127.0.0.1', 1)
        return platform_target.entry(
            'book', address, 'a', incarnation, model.READY
        )

    async def test_entries(self):
        for item, expected in (
            (self._entry(5), False),
            (self._entry(6), True),
            (None, False),
            ({'spec': 'bytes of another writer'}, False),
        ):
            with self.subTest(item=item):
                self.client.get.return_value = item
                self.assertIs(await self.has_started_anew(HOLDER), expected)

    async def test_store_that_is_away(self):
        # Owners keep their keys while the store is away.
        self.client.get.side_effect = store.StoreError('away')
        self.assertFalse(await self.has_started_anew(HOLDER))

    async def test_store_that_is_silent(self):
        # A grant that waited for it would go out after the lease.
        async def wait(*_):
            await asyncio.sleep(5.0)

        self.client.get.side_effect = wait
        began_at = time.monotonic()
        self.assertFalse(await self.has_started_anew(HOLDER))
        self.assertLess(time.monotonic() - began_at, 0.5)


if __name__ == '__main__':
    unittest.main()
