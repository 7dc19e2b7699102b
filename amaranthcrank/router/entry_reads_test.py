import asyncio
import time
import unittest
from unittest import mock

from amaranthcrank.platform import store
from amaranthcrank.router import entry_reads
from amaranthcrank.router import model
from standins import platform_target

HOLDER = 'i-1/5'
TIMEOUT_S = entry_reads.PRE_GRANT_TIMEOUT_S


def _entry(incarnation, state=model.READY, service='book'):
    address = model.Address('127.0.0.1', 1)
    return platform_target.entry(service, address, 'a', incarnation, state)


def _names_target(entry):
    return entry.service == 'book'


class RestartCheckTest(unittest.IsolatedAsyncioTestCase):
    """Guards against grants that reach a later incarnation."""

    def setUp(self):
        self.client = mock.AsyncMock()
        self.has_restarted = entry_reads.restart_check(
            entry_reads.entry_reader(self.client, mock.Mock(), TIMEOUT_S),
            _names_target,
        )

    async def test_entries(self):
        for item, expected in (
            (_entry(5), False),
            (_entry(6), True),
            (None, None),
            ({'spec': 'bytes of another writer'}, None),
            # Another writer's entry under the id is no restart.
            (_entry(6, service='inventory'), None),
        ):
            with self.subTest(item=item):
                self.client.get.return_value = item
                self.assertIs(await self.has_restarted(HOLDER), expected)

    async def test_store_that_is_unavailable(self):
        self.client.get.side_effect = store.StoreError('unavailable')
        self.assertIsNone(await self.has_restarted(HOLDER))

    async def test_store_that_is_silent(self):
        # A grant that waits for the store would be sent after the lease ends.
        async def wait(*_):
            await asyncio.sleep(5.0)

        self.client.get.side_effect = wait
        began_at = time.monotonic()
        self.assertIsNone(await self.has_restarted(HOLDER))
        self.assertLess(time.monotonic() - began_at, 0.5)


if __name__ == '__main__':
    unittest.main()
