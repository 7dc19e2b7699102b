"""Tests of how the ticket reaches the hosts of a failure domain.

Load: a long ticket that changes several times in a row, in a fleet whose link
to the store can carry it only a few times a second.
"""

import asyncio
import contextlib
import copy
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import http_server
from amaranthcrank.router import peer_polling
from amaranthcrank.router import reader_election
from amaranthcrank.router import store_sync
from amaranthcrank.router import ticket_feed
from standins import domain_hosts
from standins import platform_site
from standins import platform_store

HOSTS = 8
SYNC_TIMEOUT_S = 3.0
# A new ticket must be in force at all hosts this long after it was written.
IN_FORCE_S = 2.0


class _FeedsTest(unittest.IsolatedAsyncioTestCase):
    HOSTS = HOSTS

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.cluster = domain_hosts.DomainHosts(self.stack)
        await self.cluster.start_store()
        self.client = self.cluster.client
        self.messengers = self.cluster.messenger_by_id
        self._put(1)
        self.number_by_id = {}
        self.server_by_id = {}
        self.client_by_id = {}
        self.feed_by_id = {}
        for number in range(self.HOSTS):
            await self._start(f'h-{number}')

    def _put(self, version):
        self.cluster.store.put(
            names.TICKET_KIND,
            names.TICKET_NAME,
            {
                'spec': platform_site.manifest(
                    version,
                    [platform_site.route_row('read', '/', 'desk')],
                    [['desk', '/healthz', 100, None]],
                )
            },
        )

    async def _start(self, host_id):
        messenger = self.cluster.add_host(host_id)

        def record_number(ticket):
            self.number_by_id[host_id] = ticket.number

        # A client per host, so that a test can fail the calls of one host.
        client = copy.copy(self.client)
        self.client_by_id[host_id] = client
        feed = ticket_feed.TicketFeed(
            client,
            messenger,
            self.cluster.pool,
            mock.Mock(),
            record_number,
            messenger.make_election(),
        )
        self.feed_by_id[host_id] = feed
        server = http_server.Server(feed.handle)
        await server.listen(messenger.own.address)
        self.stack.callback(server.close)
        self.server_by_id[host_id] = server
        self.cluster.start_task(host_id, feed.follow())

    def _calls(self):
        return sum(client.calls for client in self.client_by_id.values())

    async def _wait_until_elected(self):
        await self._wait_for(1, self.messengers)
        await asyncio.sleep(2 * reader_election.READER_WATCH_S)

    async def _wait_for(self, version, host_ids, seconds=SYNC_TIMEOUT_S):
        async with asyncio.timeout(seconds):
            while any(
                self.number_by_id.get(host_id) != version
                for host_id in host_ids
            ):
                await asyncio.sleep(0.02)

    async def _restore_former_ticket(self):
        """Restore a copy with a lower number than all hosts know."""
        await self._wait_until_elected()
        copied = self.cluster.store.copy()
        for version in (2, 3):
            self._put(version)
            await self._wait_for(version, self.messengers)
        self.cluster.store.restore(copied)

    async def _check_stays_in_force(self, version, seconds):
        end_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_at:
            self.assertEqual(set(self.number_by_id.values()), {version})
            await asyncio.sleep(0.02)


class TicketFeedTest(_FeedsTest):
    async def test_one_host_reads(self):
        """Guards against one transfer of the ticket over the link per host."""
        await self._wait_until_elected()
        before = self._calls()
        for version in range(2, 6):
            self._put(version)
            await self._wait_for(version, self.messengers, 0.5)
        self.assertLess(self._calls() - before, HOSTS)

    async def test_reader_ends(self):
        await self._wait_until_elected()
        self.cluster.task_by_id['h-0'].cancel()
        self.messengers['h-0'].is_isolated = True
        self._put(2)
        rest = [host_id for host_id in self.messengers if host_id != 'h-0']
        await self._wait_for(2, rest)

    async def test_reader_does_not_serve_the_ticket(self):
        """Guards against hosts that wait for an unresponsive reader."""
        await self._wait_until_elected()
        self.server_by_id['h-0'].close()
        self._put(2)
        await self._wait_for(2, self.messengers)

    async def test_isolated_host_reads_the_store(self):
        await self._wait_until_elected()
        self.messengers['h-5'].is_isolated = True
        self._put(2)
        await self._wait_for(2, self.messengers)

    async def test_restored_store_has_a_former_ticket(self):
        """Guards against a former ticket in force, and a next one that waits.

        Hosts know a higher number than the reader finds in the store.
        """
        await self._restore_former_ticket()
        await self._check_stays_in_force(3, 2.5)
        for version in (3, 4, 5):
            self._put(version)
            if version > 3:
                await self._wait_for(version, self.messengers, IN_FORCE_S)

    async def test_host_that_starts_after_a_restore(self):
        """Guards against a former ticket at a host that becomes the reader."""
        await self._restore_former_ticket()
        await self._start('a-host')
        await self._wait_for(3, self.messengers)
        await self._check_stays_in_force(3, 1.0)
        self._put(4)
        await self._wait_for(4, self.messengers, IN_FORCE_S)

    async def test_few_hosts_retry_in_an_outage(self):
        """Guards against calls from every host throughout an outage."""
        await self._wait_until_elected()
        self.cluster.store.fault = platform_store.BUSY
        await asyncio.sleep(4.0)
        before = self._calls()
        await asyncio.sleep(3.0)
        attempts = self._calls() - before
        # Without the election each host would try every 0.8 s.
        self.assertLess(attempts, HOSTS * 3.0 / store_sync.MAX_PAUSE_S)
        self.cluster.store.fault = ''
        self._put(2)
        await self._wait_for(2, self.messengers)


class FewHostsTest(_FeedsTest):
    """Too few hosts for an election: each one reads the store itself."""

    HOSTS = 3

    async def test_restored_store_has_a_former_ticket(self):
        """Guards against a former ticket in force, and a next one that waits.

        Hosts know a higher number than the reader finds in the store.
        """
        await self._restore_former_ticket()
        await self._check_stays_in_force(3, 2.5)
        for version in (3, 4, 5):
            self._put(version)
            if version > 3:
                await self._wait_for(version, self.messengers, IN_FORCE_S)

    async def test_ticket_while_the_store_is_unreachable(self):
        """Guards against a stale ticket at a host that the store refuses."""
        await self._wait_until_elected()
        error = store.StoreError('refused with 503', refused=True)
        with mock.patch.object(
            self.client_by_id['h-2'],
            '_exchange',
            autospec=True,
            side_effect=error,
        ):
            self.cluster.task_by_id['h-2'].cancel()
            self.cluster.start_task('h-2', self.feed_by_id['h-2'].follow())
            await asyncio.sleep(peer_polling.POLL_INTERVAL_S)
            for version in (2, 3):
                self._put(version)
                await self._wait_for(version, self.messengers)
            self.assertIsNotNone(
                self.feed_by_id['h-2'].reachability.unreachable_since
            )


if __name__ == '__main__':
    unittest.main()
