"""Tests of how evacuations reach the hosts of a failure domain.

Load: an operator evacuates and restores domains one after the other, at times
several at once, while hosts lose the store, datagrams and their reader. Each
call to the store costs money.
"""

import asyncio
import contextlib
import copy
import math
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import evacuation_feed
from amaranthcrank.router import reader_election
from amaranthcrank.router import store_sync
from standins import domain_hosts
from standins import platform_store

DRAIN_S = 2.0
# Hosts stop to send to keyed owners a quarter of the time of an evacuation
# after they have learned of it, so they must learn of it well before.
LEARN_S = 2.5


class _FeedsTest(unittest.IsolatedAsyncioTestCase):
    HOSTS = 8

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.cluster = domain_hosts.DomainHosts(self.stack)
        await self.cluster.start_store()
        self.messengers = self.cluster.messenger_by_id
        self.targets_by_id = {}
        self.client_by_id = {}
        self.feed_by_id = {}
        for number in range(self.HOSTS):
            self._start(f'h-{number}')
        await asyncio.sleep(2 * reader_election.READER_WATCH_S)

    def _start(self, host_id):
        messenger = self.cluster.add_host(host_id)
        loop = asyncio.get_running_loop()
        targets = directory.Directory(loop.time, DRAIN_S, mock.Mock())
        # A client per host, so that a test can fail the calls of one host.
        client = copy.copy(self.cluster.client)
        feed = evacuation_feed.EvacuationFeed(
            client,
            targets,
            messenger,
            mock.Mock(),
            store_sync.no_gate,
            messenger.make_election(),
        )
        self.targets_by_id[host_id] = targets
        self.client_by_id[host_id] = client
        self.feed_by_id[host_id] = feed
        self.cluster.start_task(host_id, feed.follow())

    def _evacuate(self, *domains):
        for domain in domains:
            self.cluster.store.put(
                names.EVACUATIONS_KIND, domain, {'spec': {}}
            )

    def _restore(self, domain):
        self.cluster.store.remove(names.EVACUATIONS_KIND, domain)

    def _calls(self):
        return sum(client.calls for client in self.client_by_id.values())

    async def _wait_for(self, *domains, seconds=LEARN_S, without=()):
        async with asyncio.timeout(seconds):
            while not all(
                targets.evacuated_since_by_domain.keys() == set(domains)
                for host_id, targets in self.targets_by_id.items()
                if host_id not in without
            ):
                await asyncio.sleep(0.02)

    @contextlib.asynccontextmanager
    async def _without_store(self, *host_ids):
        error = store.StoreError('no answer in time')
        with contextlib.ExitStack() as stack:
            for host_id in host_ids:
                stack.enter_context(
                    mock.patch.object(
                        self.client_by_id[host_id],
                        '_exchange',
                        autospec=True,
                        side_effect=error,
                    )
                )
                self.cluster.task_by_id[host_id].cancel()
                feed = self.feed_by_id[host_id]
                self.cluster.start_task(host_id, feed.follow())
            await asyncio.sleep(0.5)
            yield

    async def _restore_without_evacuation(self):
        """Restore a copy of before an evacuation that all hosts know."""
        copied = self.cluster.store.copy()
        self._evacuate('b')
        await self._wait_for('b')
        self.cluster.store.restore(copied)

    async def _check_stays_evacuated(self, seconds):
        end_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_at:
            await self._wait_for('b', seconds=0.01)
            await asyncio.sleep(0.02)

    def _limit_keep(self, seconds):
        patch = mock.patch.object(evacuation_feed, 'RESTORED_KEEP_S', seconds)
        patch.start()
        self.addCleanup(patch.stop)


class EvacuationFeedTest(_FeedsTest):
    async def test_one_host_reads(self):
        """Guards against store calls that grow with the number of hosts."""
        loop = asyncio.get_running_loop()
        before, began_at = self._calls(), loop.time()
        for domain in 'bcdb':
            self._evacuate(domain)
            await self._wait_for(domain)
            self._restore(domain)
            await self._wait_for()
        calls = self._calls() - before
        elapsed_s = loop.time() - began_at
        changes = 8
        idle_calls = elapsed_s / reader_election.READER_WATCH_S
        self.assertLess(calls, changes + idle_calls + self.HOSTS)

    async def test_several_domains_and_a_restored_one(self):
        self._evacuate('a', 'b', 'c')
        self._restore('b')
        await self._wait_for('a', 'c')

    async def test_lost_datagrams(self):
        """Guards against requests to an evacuated domain after its time."""
        self.messengers['h-3'].is_isolated = True
        self._evacuate('b')
        await self._wait_for('b', without=('h-3',))
        self.messengers['h-3'].is_isolated = False
        await self._wait_for('b')

    async def test_isolated_host(self):
        self.messengers['h-3'].is_isolated = True
        self._evacuate('b')
        await self._wait_for('b')

    async def test_reader_ends(self):
        self.cluster.task_by_id['h-0'].cancel()
        self.messengers['h-0'].is_isolated = True
        self._evacuate('b')
        await self._wait_for('b', without=('h-0',))

    async def test_reader_that_cannot_reach_the_store(self):
        async with self._without_store('h-0'):
            self._evacuate('b')
            await self._wait_for('b')

    async def test_outage(self):
        """Guards against evacuations that end because the store is lost."""
        self._evacuate('b')
        await self._wait_for('b')
        self.cluster.store.fault = platform_store.BUSY
        await asyncio.sleep(2.0)
        await self._wait_for('b', seconds=0.1)
        self._evacuate('c')
        self._restore('b')
        self.cluster.store.fault = ''
        await self._wait_for('c')

    async def test_history_is_discarded(self):
        self._evacuate('b')
        await self._wait_for('b')
        self.cluster.store.fault = platform_store.BUSY
        self.cluster.store.discard_history()
        self._restore('b')
        self.cluster.store.discard_history()
        await asyncio.sleep(0.3)
        self.cluster.store.fault = ''
        await self._wait_for()

    async def test_evacuation_that_a_restored_store_lacks(self):
        """Guards against requests to a domain that is still evacuated.

        The operator writes the evacuation again, and then ends it.
        """
        self._limit_keep(2.0)
        await self._restore_without_evacuation()
        await self._check_stays_evacuated(1.5)
        self._evacuate('b')
        await self._check_stays_evacuated(3.0)
        self._restore('b')
        await self._wait_for()

    async def test_older_set_is_ignored(self):
        """Guards against a restored domain because of a late datagram."""
        self._evacuate('b')
        await self._wait_for('b')
        handler_by_kind = self.messengers['h-5'].handler_by_kind
        for kind in (
            evacuation_feed.message_kinds.EVACUATIONS,
            evacuation_feed.message_kinds.EVACUATIONS_CHANGED,
        ):
            handler_by_kind[kind]('h-0', [1, []])
        await self._wait_for('b', seconds=0.01)

    async def test_host_that_starts(self):
        """Guards against requests to a domain that was evacuated long ago."""
        self._evacuate('b')
        await self._wait_for('b')
        self._start('h-new')
        await self._wait_for('b')
        since = self.targets_by_id['h-new'].evacuated_since_by_domain['b']
        self.assertEqual(since, -math.inf)
        self.assertFalse(self.targets_by_id['h-new'].awaits_evacuations)

    async def test_names_that_do_not_fit_into_a_datagram(self):
        """Guards against a set that only the reader knows."""
        domains = [f'domain-{number:03}' for number in range(150)]
        self._evacuate(*domains)
        await self._wait_for(*domains)

    async def test_malformed_names(self):
        self._evacuate('b', 'x' * 10_000, 'a\nb')
        await self._wait_for('b')


class FewHostsTest(_FeedsTest):
    """Too few hosts for an election: each one reads the store itself."""

    HOSTS = 3

    async def test_all_hosts_read(self):
        self._evacuate('b')
        await self._wait_for('b', seconds=1.0)

    async def test_evacuation_that_a_restored_store_lacks(self):
        """Guards against requests to a domain that is still evacuated.

        The operator writes the evacuation again, and then ends it.
        """
        self._limit_keep(2.0)
        await self._restore_without_evacuation()
        await self._check_stays_evacuated(1.5)
        self._evacuate('b')
        await self._check_stays_evacuated(3.0)
        self._restore('b')
        await self._wait_for()

    async def test_evacuation_that_is_not_written_again(self):
        """Guards against a domain that gets no requests for good."""
        self._limit_keep(1.0)
        await self._restore_without_evacuation()
        await self._wait_for(seconds=LEARN_S)

    async def test_evacuation_of_another_domain_after_a_restore(self):
        """Guards against a set that lacks what the operator has written."""
        await self._restore_without_evacuation()
        await asyncio.sleep(0.2)
        self._evacuate('c')
        await self._wait_for('b', 'c')

    async def test_second_restore(self):
        """Guards against an evacuation that is lost by a second copy."""
        copied = self.cluster.store.copy()
        await self._restore_without_evacuation()
        await asyncio.sleep(0.5)
        self.cluster.store.restore(copied)
        await self._check_stays_evacuated(1.5)

    async def test_ended_evacuation_that_the_copy_brings_back(self):
        """Guards against an evacuation that the operator cannot end."""
        self._evacuate('b')
        await self._wait_for('b')
        copied = self.cluster.store.copy()
        self._restore('b')
        await self._wait_for()
        self.cluster.store.restore(copied)
        await self._wait_for('b')
        self._restore('b')
        await self._wait_for()

    async def test_host_without_store(self):
        """Guards against requests of a host that could know better."""
        async with self._without_store('h-2'):
            self._evacuate('b')
            await self._wait_for('b', seconds=1.0)

    async def test_host_that_lost_the_store_and_the_change(self):
        """Guards against a missed datagram: the host polls others."""
        async with self._without_store('h-2'):
            self.messengers['h-2'].is_isolated = True
            self._evacuate('b')
            await self._wait_for('b', without=('h-2',))
            self.messengers['h-2'].is_isolated = False
            await self._wait_for('b', seconds=1.5)
            # It may have been evacuated as soon as the store was lost.
            targets = self.targets_by_id['h-2']
            since = targets.evacuated_since_by_domain['b']
            self.assertLess(since, clock.now() - 0.5)

    async def test_change_during_the_loss(self):
        """Guards against requests to owners that the loss gave more time."""
        async with self._without_store('h-0', 'h-1', 'h-2'):
            self._evacuate('b')
            await asyncio.sleep(1.0)
        regained_at = asyncio.get_running_loop().time()
        await self._wait_for('b')
        for targets in self.targets_by_id.values():
            since = targets.evacuated_since_by_domain['b']
            self.assertLess(since, regained_at - 1.0)


class FirstListTest(unittest.IsolatedAsyncioTestCase):
    """A host that starts while the store does not return the kind."""

    async def test_wait_is_bounded(self):
        messenger = mock.Mock(handler_by_kind={})
        loop = asyncio.get_running_loop()
        targets = directory.Directory(loop.time, DRAIN_S, mock.Mock())
        feed = evacuation_feed.EvacuationFeed(
            mock.Mock(),
            targets,
            messenger,
            mock.Mock(),
            store_sync.no_gate,
            mock.Mock(),
        )
        with mock.patch.object(evacuation_feed, 'FIRST_LIST_TIMEOUT_S', 0.1):
            for pause_s, awaits in ((0.0, True), (0.05, True), (0.06, False)):
                await asyncio.sleep(pause_s)
                feed.limit_wait()
                self.assertEqual(targets.awaits_evacuations, awaits)


if __name__ == '__main__':
    unittest.main()
