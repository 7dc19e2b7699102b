"""Tests of how a host reads the state that all hosts share.

Load: the keys of a busy service move once a second, and every host reads from
time to time. The size of a read must not grow with the number of moves since
the last one.
"""

import asyncio
import unittest
from unittest import mock

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import shared_feed
from amaranthcrank.router import store_sync


class _Client:
    """A store that can only be listed; a watch would transfer all versions."""

    def __init__(self):
        self.is_unavailable = False
        self.calls = 0
        self.stale_calls = 0
        self.on_restored = []
        self.registrations = 0
        self.own_item = None

    async def create(self, kind, name, spec, timeout_s):
        self.registrations += 1
        self.own_item = {'metadata': {'rev': 10}, 'spec': spec}

    async def list_all(self, kind, timeout_s, allow_stale):
        self.calls += 1
        self.stale_calls += allow_stale
        if self.is_unavailable:
            raise store.StoreError('unreachable')
        part = model.KeyRange(0, 65535, 'i-1', 1, 1, False, '')
        key_map = model.KeyMap('book', 1, (part,), 7, {})
        other = peers.Peer('h-2', model.Address('10.0.0.2', 7200), 'a')
        own = {names.HOST_PREFIX + 'h-1': self.own_item}
        return store.Listing(
            {
                **(own if self.own_item else {}),
                names.KEY_MAP_PREFIX + 'book': {
                    'metadata': {'rev': 7},
                    'spec': entries.encode_key_map(key_map),
                },
                names.HOST_PREFIX + 'h-2': {
                    'metadata': {'rev': 8},
                    'spec': entries.encode_peer(other),
                },
                names.HOST_PREFIX + 'h-3': {'metadata': {'rev': 9}},
            },
            9,
        )


class _ReadSchedule:
    def __init__(self):
        self.reads = 0
        self.restores = 0

    def record_read(self):
        self.reads += 1

    def record_restore(self):
        self.restores += 1

    async def wait(self):
        await asyncio.sleep(0.01)


class SharedFeedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = _Client()
        self.keys = key_table.KeyTable()
        self.peer_by_id = {}
        self.read_schedule = _ReadSchedule()
        self.feed = shared_feed.SharedFeed(
            self.client,
            self.keys,
            self.peer_by_id,
            peers.Peer('h-1', model.Address('10.0.0.1', 7200), 'a'),
            mock.Mock(),
            store_sync.no_gate,
            lambda service: None,
            self.read_schedule,
        )
        self.following = asyncio.create_task(self.feed.follow())
        self.addCleanup(self.following.cancel)

    async def test_only_the_current_state_is_read(self):
        """Guards against old versions of maps that saturate the link."""
        await asyncio.sleep(0.1)
        self.assertFalse(self.following.done())
        self.assertGreater(self.read_schedule.reads, 1)
        self.assertEqual(self.keys.revision('book'), 7)

    async def test_malformed_entry_of_a_host(self):
        await asyncio.sleep(0.1)
        self.assertEqual(set(self.peer_by_id), {'h-2'})

    async def test_host_has_joined_once_it_read_as_a_registered_host(self):
        """Guards against hosts that start together and do not know each other.

        A host that registered after this one read the list is not in it.
        """
        await asyncio.sleep(0.1)
        self.assertGreater(self.read_schedule.reads, 1)
        self.assertFalse(self.feed.has_joined)
        await self.feed.register()
        self.assertFalse(self.feed.has_joined)
        await asyncio.sleep(0.1)
        self.assertTrue(self.feed.has_joined)

    async def test_restore_of_the_store(self):
        """Guards against a registration that is missed only much later."""
        for listener in self.client.on_restored:
            listener(1, 2)
        self.assertEqual(self.read_schedule.restores, 1)

    async def test_registration_that_the_store_has_lost(self):
        """Guards against a host that is not known to others that start."""
        await self.feed.register()
        await asyncio.sleep(0.1)
        self.assertEqual(self.client.registrations, 1)
        self.client.own_item = None
        async with asyncio.timeout(1.0):
            while self.client.own_item is None:
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        self.assertEqual(self.client.registrations, 2)

    async def test_store_unavailable(self):
        self.client.is_unavailable = True
        await asyncio.sleep(0.1)
        reads = self.read_schedule.reads
        self.client.is_unavailable = False
        await asyncio.sleep(1.0)
        self.assertGreater(self.read_schedule.reads, reads)


if __name__ == '__main__':
    unittest.main()
