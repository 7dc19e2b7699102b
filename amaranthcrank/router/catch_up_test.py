"""Tests of how hosts without access to the store get changes from others."""

import asyncio
import unittest
from unittest import mock

from amaranthcrank.router import catch_up
from amaranthcrank.router import change_history
from amaranthcrank.router import model
from amaranthcrank.router import peer_polling
from amaranthcrank.router import peers
from amaranthcrank.router import store_sync
from standins import domain_hosts

HOSTS = 3
REVISION = 10


class _Host:
    """One host: its known state, and whether it can reach the store."""

    def __init__(self, host_id, peers_by_id):
        address = model.Address('10.0.0.2', 1)
        self.messenger = domain_hosts.InMemoryMessenger(
            peers.Peer(host_id, address, domain_hosts.DOMAIN), peers_by_id
        )
        self.reachability = store_sync.Reachability('servers', mock.Mock())
        self.revision = REVISION
        self.applied = {}
        self.catch_up = catch_up.CatchUp(
            self.messenger,
            self.reachability,
            lambda: self.revision,
            self._apply,
            mock.Mock(),
        )
        self.catch_up.history.reset(REVISION)

    def _apply(self, from_revision, revision, changes):
        for content in changes:
            change = change_history.decode_change(content)
            self.applied[change.target_id] = change.entry
        self.revision = revision
        return True

    def read(self, from_revision, revision, numbers):
        changes = [_removal(number) for number in numbers]
        self.catch_up.history.record(from_revision, revision, changes)


def _removal(number):
    return change_history.EntryChange(f'i-{number:010}', None)


class CatchUpTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        peers_by_id = {}
        self.hosts = [
            _Host(f'h-{number}', peers_by_id) for number in range(HOSTS)
        ]

    async def _disconnect(self, host):
        host.reachability.record_failure('no answer in time', silent=True)
        await asyncio.sleep(peer_polling.POLL_INTERVAL_S + 0.05)

    async def test_host_that_cannot_reach_the_store(self):
        for host in self.hosts[1:]:
            host.read(REVISION, 12, [1])
        await self._disconnect(self.hosts[0])
        self.assertEqual(self.hosts[0].applied, {'i-0000000001': None})

    async def test_changes_continue_while_the_store_is_unreachable(self):
        """Guards against a host that polls only once."""
        await self._disconnect(self.hosts[0])
        self.hosts[1].read(REVISION, 12, [1])
        await asyncio.sleep(peer_polling.POLL_INTERVAL_S + 0.05)
        self.hosts[2].read(REVISION, 14, [1, 2])
        await asyncio.sleep(peer_polling.POLL_INTERVAL_S + 0.05)
        self.assertEqual(len(self.hosts[0].applied), 2)
        self.assertEqual(self.hosts[0].revision, 14)

    async def test_host_that_can_reach_the_store_does_not_poll(self):
        self.hosts[1].read(REVISION, 12, [1])
        await self._disconnect(self.hosts[0])
        self.hosts[0].reachability.record_answer()
        self.hosts[1].read(12, 14, [2])
        await asyncio.sleep(2 * peer_polling.POLL_INTERVAL_S)
        self.assertEqual(len(self.hosts[0].applied), 1)

    async def test_outage_at_all_hosts(self):
        """Guards against stale changes during an outage."""
        for host in self.hosts[1:]:
            host.read(REVISION, 12, [1])
            host.reachability.record_failure('refused with 503', silent=False)
        await self._disconnect(self.hosts[0])
        self.assertEqual(self.hosts[0].applied, {})

    async def test_changes_longer_than_a_datagram(self):
        self.hosts[1].read(REVISION, 12, range(200))
        await self._disconnect(self.hosts[0])
        self.assertEqual(len(self.hosts[0].applied), 200)

    async def test_more_changes_than_are_sent_at_once(self):
        """Guards against a host that never catches up."""
        for number in range(8):
            revision = REVISION + number
            numbers = range(100 * number, 100 * number + 100)
            self.hosts[1].read(revision, revision + 1, numbers)
        await self._disconnect(self.hosts[0])
        async with asyncio.timeout(6 * peer_polling.POLL_INTERVAL_S):
            while len(self.hosts[0].applied) < 800:
                await asyncio.sleep(0.05)
        self.assertEqual(self.hosts[0].revision, REVISION + 8)


if __name__ == '__main__':
    unittest.main()
