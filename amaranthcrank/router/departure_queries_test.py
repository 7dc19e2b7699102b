"""Tests of queries between hosts about targets that may have departed."""

import asyncio
import unittest

import cbor2

from amaranthcrank.router import departure_queries
from amaranthcrank.router import directory
from amaranthcrank.router import message_kinds
from amaranthcrank.router import model
from amaranthcrank.router import peers
from standins import domain_hosts

HOSTS = 3
LOST_S = 5.0
KEEP_S = 2.3


def _entry(number):
    return model.TargetEntry(
        f'i-{number:010}',
        'desk',
        model.Address('10.0.0.1', number),
        'a',
        3,
        model.READY,
        0.0,
        1769767296096,
    )


class DepartureQueriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        peers_by_id = {}
        self.peers_by_id = peers_by_id
        self.targets_by_host = {}
        self.departures_by_host = {}
        for number in range(HOSTS):
            self._add(f'h-{number}')

    def _add(self, host_id):
        address = model.Address('10.0.0.2', 1)
        messenger = domain_hosts.InMemoryMessenger(
            peers.Peer(host_id, address, domain_hosts.DOMAIN), self.peers_by_id
        )
        targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        targets.replace_all(map(_entry, range(40)))
        self.targets_by_host[host_id] = targets
        self.departures_by_host[host_id] = departure_queries.DepartureQueries(
            messenger, targets
        )

    async def _recover_without(self, host_id, numbers):
        """Let a host reach the store again and query for missing entries."""
        targets = self.targets_by_host[host_id]
        targets.keep_missing(KEEP_S, LOST_S)
        remaining = set(range(40)) - set(numbers)
        targets.replace_all(map(_entry, remaining))
        self.departures_by_host[host_id].query()
        await asyncio.sleep(0.05)
        return targets

    async def test_departure_that_another_host_saw(self):
        self.targets_by_host['h-2'].remove(_entry(7).target_id)
        targets = await self._recover_without('h-0', [7, 8])
        self.assertNotIn(_entry(7).target_id, targets.by_id)
        self.assertIn(_entry(8).target_id, targets.by_id)

    async def test_lost_query_is_repeated(self):
        self.targets_by_host['h-2'].remove(_entry(7).target_id)
        self.peers_by_id['h-2'].is_isolated = True
        targets = await self._recover_without('h-0', [7])
        self.assertIn(_entry(7).target_id, targets.by_id)
        self.peers_by_id['h-2'].is_isolated = False
        await asyncio.sleep(departure_queries.QUERY_DELAYS_S[1] + 0.1)
        self.assertNotIn(_entry(7).target_id, targets.by_id)

    async def test_outage_at_all_hosts(self):
        for host_id in ('h-1', 'h-2'):
            await self._recover_without(host_id, [7])
        targets = await self._recover_without('h-0', [7])
        self.assertIn(_entry(7).target_id, targets.by_id)

    async def test_queries_and_replies_fit_into_a_datagram(self):
        targets = await self._recover_without('h-0', range(40))
        holders = targets.missing_holders()[
            : departure_queries.QUERIED_TARGETS
        ]
        self.assertTrue(
            self.peers_by_id['h-0'].fits(
                message_kinds.MISSING_TARGETS, holders
            )
        )

    async def test_malformed_messages_are_ignored(self):
        messenger = self.peers_by_id['h-0']
        for kind in (
            message_kinds.MISSING_TARGETS,
            message_kinds.DEPARTED_TARGETS,
        ):
            for content in ('x', [1, None], ['i-1/x'], None):
                data = cbor2.dumps([kind, 'h-1', content])
                messenger.receive(data)
        self.assertEqual(messenger.malformed, 8)


if __name__ == '__main__':
    unittest.main()
