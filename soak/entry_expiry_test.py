import asyncio
import unittest

from soak import entry_expiry
from standins import platform_store

HEARTBEAT_S = 0.5
SHORT_HEARTBEAT_S = 0.01


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.silence = entry_expiry.Silence(HEARTBEAT_S)

    def _expired(self, revision_by_name, now, is_available=True):
        return self.silence.expired(revision_by_name, is_available, now)

    def test_entry_expires_after_three_heartbeats(self):
        self.assertEqual(self._expired({'i-1': 4}, 1.0), [])
        self.assertEqual(self._expired({'i-1': 4}, 2.4), [])
        self.assertEqual(self._expired({'i-1': 4}, 2.6), ['i-1'])

    def test_heartbeat_keeps_an_entry(self):
        self._expired({'i-1': 4}, 1.0)
        self._expired({'i-1': 5}, 2.0)
        self.assertEqual(self._expired({'i-1': 5}, 3.0), [])

    def test_nothing_expires_while_the_store_is_unavailable(self):
        """Guards against entries that go because no heartbeat could arrive."""
        self._expired({'i-1': 4}, 1.0)
        self.assertEqual(self._expired({'i-1': 4}, 9.0, False), [])
        self.assertEqual(self._expired({'i-1': 4}, 10.0), [])
        self.assertEqual(self._expired({'i-1': 4}, 10.6), ['i-1'])

    def test_entry_that_is_back(self):
        """Guards against an entry that expires by its time before."""
        self._expired({'i-1': 4}, 1.0)
        self.assertEqual(self._expired({'i-1': 4}, 3.0), ['i-1'])
        self._expired({}, 3.1)
        self.assertEqual(self._expired({'i-1': 6}, 5.0), [])
        self.assertEqual(self._expired({'i-1': 6}, 6.0), [])


class RemovalTest(unittest.IsolatedAsyncioTestCase):
    async def _is_removed_amid_outage(self, expire_amid_outages):
        store = platform_store.PlatformStore()
        store.put('servers', 'i-1', {})
        store.fault = platform_store.BUSY
        task = asyncio.create_task(
            entry_expiry.remove_silent_entries(
                store, 'servers', SHORT_HEARTBEAT_S, expire_amid_outages
            )
        )
        await asyncio.sleep(3 * entry_expiry.POLL_S)
        task.cancel()
        return store.get('servers', 'i-1') is None

    async def test_outage(self):
        """Guards against entries that never expire amid an outage."""
        self.assertTrue(await self._is_removed_amid_outage(lambda: True))
        self.assertFalse(await self._is_removed_amid_outage(lambda: False))
