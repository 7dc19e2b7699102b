"""Tests of how entries of targets reach many hosts of a failure domain.

The pattern: targets come, leave and restart all the time, each change wakes
every host, and each call of the store is paid for.
"""

import asyncio
import contextlib
import copy
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import departure_queries
from amaranthcrank.router import directory
from amaranthcrank.router import model
from amaranthcrank.router import outage_grace
from amaranthcrank.router import peer_polling
from amaranthcrank.router import reader_election
from amaranthcrank.router import store_availability
from amaranthcrank.router import store_sync
from amaranthcrank.router import target_feed
from standins import domain_hosts
from standins import platform_store
from standins import platform_target

HOSTS = 8
DRAIN_S = 3.0
HEARTBEAT_S = 0.87
SETTLE_S = 3.0


class _FeedsTest(unittest.IsolatedAsyncioTestCase):
    HOSTS = HOSTS
    AWAY_S = 2.0

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.cluster = domain_hosts.DomainHosts(self.stack)
        await self.cluster.start_store()
        self.messengers = self.cluster.peers_by_id
        self._put(1)
        self.targets_by_host = {}
        self.client_by_host = {}
        self.feed_by_host = {}
        for number in range(self.HOSTS):
            self._start(f'h-{number}')
        await self._wait(lambda targets: 'i-1' in targets.by_id)
        await asyncio.sleep(2 * reader_election.READER_WATCH_S)

    def _put(self, number, state=model.READY):
        self.cluster.store.put(
            names.TARGETS_KIND,
            f'i-{number}',
            platform_target.entry(
                'desk', model.Address('10.0.0.1', number), 'a', 1, state
            ),
        )

    def _start(self, host_id):
        messenger = self.cluster.add_host(host_id)
        clock = asyncio.get_running_loop().time
        targets = directory.Directory(clock, DRAIN_S, lambda *_, **__: None)
        self.targets_by_host[host_id] = targets
        # One of its own, so that the store can refuse a single host.
        client = copy.copy(self.cluster.client)
        client.history = store_availability.AvailabilityHistory()
        self.client_by_host[host_id] = client
        grace = outage_grace.OutageGrace(
            client.history,
            targets,
            departure_queries.DepartureQueries(messenger, targets),
            HEARTBEAT_S,
            SETTLE_S,
            mock.Mock(),
        )
        feed = target_feed.TargetFeed(
            client,
            targets,
            messenger,
            mock.Mock(),
            store_sync.no_gate,
            messenger.rota(),
            grace,
        )
        self.feed_by_host[host_id] = feed
        self.cluster.start_task(host_id, feed.follow())

    def _calls(self):
        return sum(client.calls for client in self.client_by_host.values())

    async def _wait(self, condition, seconds=2.0, without=()):
        async with asyncio.timeout(seconds):
            while not all(
                condition(targets)
                for host_id, targets in self.targets_by_host.items()
                if host_id not in without
            ):
                for targets in self.targets_by_host.values():
                    targets.expire()
                await asyncio.sleep(0.02)

    async def _cut(self, host_ids):
        """Cut hosts off until the returned stack is closed."""
        error = store.StoreError('no answer in time')
        stack = contextlib.AsyncExitStack()
        for host_id in host_ids:
            stack.enter_context(
                mock.patch.object(
                    self.client_by_host[host_id],
                    '_exchange',
                    autospec=True,
                    side_effect=error,
                )
            )
            self.cluster.task_by_id[host_id].cancel()
            feed = self.feed_by_host[host_id]
            self.cluster.start_task(host_id, feed.follow())
        await asyncio.sleep(self.AWAY_S)
        return stack


class TargetFeedTest(_FeedsTest):
    async def test_one_host_reads(self):
        """Guards against calls that grow with hosts times changes."""
        before = self._calls()
        for number in range(2, 6):
            self._put(number)
            name = f'i-{number}'
            await self._wait(lambda targets, name=name: name in targets.by_id)
        self.cluster.store.remove(names.TARGETS_KIND, 'i-2')
        await self._wait(lambda targets: 'i-2' not in targets.by_id)
        self.assertLess(self._calls() - before, 2 * HOSTS)

    async def test_told_entry_is_whole(self):
        self._put(2, model.DRAINING)
        await self._wait(lambda targets: 'i-2' in targets.by_id)
        seen = {
            targets.by_id['i-2'].entry
            for targets in self.targets_by_host.values()
        }
        self.assertEqual(len(seen), 1)

    async def test_missed_datagram(self):
        """Guards against a target that one host sends to after its end."""
        self.messengers['h-3'].is_isolated = True
        self._put(2)
        await self._wait(lambda targets: 'i-2' in targets.by_id)
        self.messengers['h-3'].is_isolated = False
        self._put(1, model.DRAINING)
        await self._wait(
            lambda targets: targets.by_id['i-1'].draining_since is not None
        )

    async def test_change_too_long_to_send(self):
        for number in range(10, 80):
            self._put(number)
        await self._wait(lambda targets: len(targets.by_id) == 71)

    async def test_reader_ends(self):
        """Guards against news of a leaving target after its drain time."""
        self.cluster.task_by_id['h-0'].cancel()
        self.messengers['h-0'].is_isolated = True
        self._put(1, model.DRAINING)
        await self._wait(
            lambda targets: targets.by_id['i-1'].draining_since is not None,
            DRAIN_S * (1 - 0.25),
            without=('h-0',),
        )

    async def test_store_that_refuses_one_host(self):
        """Guards against requests to targets that left, after the drain time.

        The store turned some hosts away for seconds and served the others;
        the former kept the entries of targets that left as if these had
        lapsed in an outage.
        """
        refused = self.client_by_host['h-5']
        error = store.StoreError('refused with 503', refused=True)
        with mock.patch.object(
            refused, 'watch', autospec=True, side_effect=error
        ):
            await asyncio.sleep(2.5)
            self._put(2)
            await self._wait(lambda targets: 'i-2' in targets.by_id)
        self.cluster.store.remove(names.TARGETS_KIND, 'i-2')
        await self._wait(lambda targets: 'i-2' not in targets.by_id)

    async def test_store_that_is_silent_to_the_reader(self):
        """Guards against requests to targets that left, after the drain time.

        A reader that alone was cut off from the store took nothing from the
        next one until it had read the store itself, seconds later.
        """
        async with await self._cut(['h-0']):
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await self._wait(lambda targets: 'i-1' not in targets.by_id)

    async def test_host_that_was_cut_off_from_all(self):
        """Guards against a pause after failures that outlasts a cut."""
        patch = mock.patch.object(reader_election, 'RETRYING_HOSTS', 0.05)
        patch.start()
        self.addCleanup(patch.stop)
        self.messengers['h-5'].is_isolated = True
        async with await self._cut(['h-5']):
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await asyncio.sleep(2.0)
        self.messengers['h-5'].is_isolated = False
        await self._wait(
            lambda targets: 'i-1' not in targets.by_id,
            reader_election.READER_WATCH_S
            + reader_election.EXPEDITED_SPREAD_S
            + 0.5,
        )

    async def test_outage(self):
        self.cluster.store.fault = platform_store.BUSY
        await asyncio.sleep(2.0)
        self._put(2)
        self.cluster.store.fault = ''
        await self._wait(lambda targets: 'i-2' in targets.by_id, 5.0)


class CutHostTest(_FeedsTest):
    """A few hosts, each of which reads the store for itself."""

    HOSTS = 3

    async def test_departure_missed_by_a_cut_off_host(self):
        """Guards against requests to targets that left, after the drain time.

        A host that alone could not reach the store took an entry that had
        been removed for one that lapsed in an outage.
        """
        async with await self._cut(['h-2']):
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await self._wait(
                lambda targets: 'i-1' not in targets.by_id, without=('h-2',)
            )
        await self._wait(
            lambda targets: 'i-1' not in targets.by_id,
            store_sync.MAX_PAUSE_S * 1.5 + 0.5,
        )

    async def test_departure_while_the_store_is_lost(self):
        """Guards against new work for targets that leave, for a whole cut.

        A host that alone could not reach the store went on sending to them
        until it was back, though the others knew.
        """
        async with await self._cut(['h-2']):
            noticed_at = asyncio.get_running_loop().time()
            self._put(1, model.DRAINING)
            await self._wait(
                lambda targets: (
                    targets.by_id['i-1'].draining_since is not None
                ),
                DRAIN_S / 2,
            )
            # What is told is as old as the loss at most.
            target = self.targets_by_host['h-2'].by_id['i-1']
            self.assertLess(target.draining_since, noticed_at)
            self._put(2)
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await self._wait(lambda targets: list(targets.by_id) == ['i-2'])

    async def test_many_changes_while_the_store_is_lost(self):
        """Guards against changes that are too long for one datagram."""
        async with await self._cut(['h-2']):
            for number in range(2, 40):
                self._put(number)
                await asyncio.sleep(0.03)
            await self._wait(lambda targets: len(targets.by_id) == 39, 5.0)

    async def test_entry_that_lapsed_is_not_passed_on(self):
        """Guards against living targets that get nothing after an outage.

        Hosts that have the store back know that entries are missing, and not
        whether their targets left.
        """
        async with await self._cut(['h-2']):
            async with await self._cut(['h-0', 'h-1']):
                self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await asyncio.sleep(2 * peer_polling.POLL_INTERVAL_S)
            self.assertIn('i-1', self.targets_by_host['h-2'].by_id)
            self._put(1)
            self._put(2)
            await asyncio.sleep(2 * peer_polling.POLL_INTERVAL_S)
            self.assertIn('i-1', self.targets_by_host['h-2'].by_id)

    async def test_entry_that_lapsed_in_an_outage(self):
        """Guards against living targets that get nothing after an outage."""
        async with await self._cut(self.targets_by_host):
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
        end_at = asyncio.get_running_loop().time() + 1.5
        while asyncio.get_running_loop().time() < end_at:
            await asyncio.sleep(0.05)
            for targets in self.targets_by_host.values():
                targets.expire()
                self.assertIn('i-1', targets.by_id)
        self._put(1)
        await self._wait(
            lambda targets: targets.by_id['i-1'].missing_until is None, 1.0
        )


if __name__ == '__main__':
    unittest.main()
