"""Tests of how targets' entries reach the hosts of a failure domain.

Load: targets join, depart and restart continually, every change must reach
every host, and each call to the store costs money.
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
    DISCONNECTED_S = 2.0

    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.cluster = domain_hosts.DomainHosts(self.stack)
        await self.cluster.start_store()
        self.messengers = self.cluster.messenger_by_id
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
        # A client per host, so that a test can fail the calls of one host.
        client = copy.copy(self.cluster.client)
        client.availability = store_availability.AvailabilityHistory()
        self.client_by_host[host_id] = client
        grace = outage_grace.OutageGrace(
            client.availability,
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
            messenger.make_election(),
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
                    targets.drop_expired()
                await asyncio.sleep(0.02)

    async def _disconnect(self, host_ids):
        """Disconnect hosts from the store until the stack is closed."""
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
        await asyncio.sleep(self.DISCONNECTED_S)
        return stack

    async def _holds(self, condition, seconds):
        """Return whether a condition holds at all hosts for some time."""
        end_at = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_at:
            for targets in self.targets_by_host.values():
                targets.drop_expired()
                if not condition(targets):
                    return False
            await asyncio.sleep(0.02)
        return True

    async def _restore_without_entry(self):
        """Restore a copy that lacks the entry of a target of all hosts."""
        copied = self.cluster.store.copy()
        self._put(2)
        await self._wait(lambda targets: 'i-2' in targets.by_id)
        # The pause after changes. Reads of other kinds make none, and notice
        # a restore in it.
        await asyncio.sleep(target_feed.BATCH_S)
        self.cluster.store.restore(copied)


class _RestoreTests:
    """Restores of the store; the same whoever reads it."""

    async def test_entry_that_a_restored_store_lacks(self):
        """Guards against live targets that get no requests after a restore."""
        await self._restore_without_entry()
        self.assertTrue(
            await self._holds(lambda targets: 'i-2' in targets.by_id, 1.5)
        )
        self._put(2)
        await self._wait(
            lambda targets: targets.by_id['i-2'].missing_until is None, 1.0
        )

    async def test_target_that_ended_before_a_restore(self):
        """Guards against requests to it until the store is read again."""
        await self._restore_without_entry()
        await self._wait(lambda targets: 'i-2' not in targets.by_id, SETTLE_S)

    async def test_entry_that_a_restored_store_brings_back(self):
        """Guards against requests to a target that has left and serves on."""
        self._put(2)
        await self._wait(lambda targets: 'i-2' in targets.by_id)
        copied = self.cluster.store.copy()
        self.cluster.store.remove(names.TARGETS_KIND, 'i-2')
        await self._wait(lambda targets: 'i-2' not in targets.by_id)
        await asyncio.sleep(target_feed.BATCH_S)
        self.cluster.store.restore(copied)
        expiry_s = 3 * HEARTBEAT_S
        self.assertTrue(
            await self._holds(
                lambda targets: 'i-2' not in targets.by_id, expiry_s
            )
        )
        self.cluster.store.remove(names.TARGETS_KIND, 'i-2')
        self.assertTrue(
            await self._holds(lambda targets: 'i-2' not in targets.by_id, 2.0)
        )


class TargetFeedTest(_RestoreTests, _FeedsTest):
    async def test_one_host_reads(self):
        """Guards against store calls that grow with hosts times changes."""
        before = self._calls()
        for number in range(2, 6):
            self._put(number)
            name = f'i-{number}'
            await self._wait(lambda targets, name=name: name in targets.by_id)
        self.cluster.store.remove(names.TARGETS_KIND, 'i-2')
        await self._wait(lambda targets: 'i-2' not in targets.by_id)
        self.assertLess(self._calls() - before, 2 * HOSTS)

    async def test_hosts_get_the_same_entry(self):
        self._put(2, model.DRAINING)
        await self._wait(lambda targets: 'i-2' in targets.by_id)
        seen = {
            targets.by_id['i-2'].entry
            for targets in self.targets_by_host.values()
        }
        self.assertEqual(len(seen), 1)

    async def test_missed_datagram(self):
        """Guards against requests to a target that has already ended.

        One host missed the datagram and must read the store itself.
        """
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
        """Guards against detecting a draining target after its drain time.

        The host that reads the store ends, and another one must take over.
        """
        self.cluster.task_by_id['h-0'].cancel()
        self.messengers['h-0'].is_isolated = True
        self._put(1, model.DRAINING)
        await self._wait(
            lambda targets: targets.by_id['i-1'].draining_since is not None,
            DRAIN_S * (1 - 0.25),
            without=('h-0',),
        )

    async def test_store_refuses_one_host(self):
        """Guards against requests to departed targets after the drain time.

        The store refused some hosts for seconds and served the others. The
        refused hosts kept the entries of departed targets, as if these had
        expired in an outage.
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

    async def test_reader_that_cannot_reach_the_store(self):
        """Guards against requests to departed targets after the drain time.

        A reader that alone could not reach the store applied nothing from its
        successor until it had read the store itself, seconds later.
        """
        async with await self._disconnect(['h-0']):
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await self._wait(lambda targets: 'i-1' not in targets.by_id)

    async def test_isolated_host_returns(self):
        """Guards against a retry pause that outlasts the disconnection."""
        patch = mock.patch.object(reader_election, 'RETRYING_HOSTS', 0.05)
        patch.start()
        self.addCleanup(patch.stop)
        self.messengers['h-5'].is_isolated = True
        async with await self._disconnect(['h-5']):
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


class ManyHostsTest(_FeedsTest):
    """A large failure domain, in which many targets are replaced at once."""

    HOSTS = 24

    async def _put_many(self, numbers):
        for number in numbers:
            self._put(number)
        last = f'i-{numbers[-1]}'
        began_at = asyncio.get_running_loop().time()
        await self._wait(lambda targets: last in targets.by_id, 10.0)
        return asyncio.get_running_loop().time() - began_at

    async def test_change_in_several_datagrams(self):
        """Guards against requests to targets after their drain time.

        A change that was too long for one datagram was read from the store by
        each host, one after the other.
        """
        before = self._calls()
        await self._put_many(range(10, 40))
        self.assertLess(self._calls() - before, self.HOSTS)

    async def test_changes_of_a_target_keep_their_order(self):
        """Guards against new requests to draining targets.

        Targets that start and drain between two reads were ready again at
        all hosts but the reader, which got the changes in another order.
        """
        numbers = range(10, 41)
        for number in numbers:
            self._put(number)
        for number in numbers:
            self._put(number, model.DRAINING)
        last = f'i-{numbers[-1]}'
        await self._wait(lambda targets: last in targets.by_id, 10.0)
        await self._wait(
            lambda targets: all(
                targets.by_id[f'i-{number}'].entry.state == model.DRAINING
                for number in numbers
            )
        )

    async def test_change_too_long_to_send(self):
        """Guards against hosts that read one after the other.

        The notice of each host that had read postponed the reads of the
        others, so the last one read when all others had.
        """
        elapsed_s = await self._put_many(range(100, 400))
        self.assertLess(elapsed_s, DRAIN_S / 2)


class FewHostsTest(_RestoreTests, _FeedsTest):
    """Too few hosts for an election: each one reads the store itself."""

    HOSTS = 3

    async def test_departure_missed_by_a_disconnected_host(self):
        """Guards against requests to departed targets after the drain time.

        A host that alone could not reach the store treated a removed entry
        as one that had expired in an outage.
        """
        async with await self._disconnect(['h-2']):
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await self._wait(
                lambda targets: 'i-1' not in targets.by_id, without=('h-2',)
            )
        await self._wait(
            lambda targets: 'i-1' not in targets.by_id,
            store_sync.MAX_PAUSE_S * 1.5 + 0.5,
        )

    async def test_departure_while_the_store_is_unreachable(self):
        """Guards against new requests to draining targets.

        A host that alone could not reach the store sent to them until it was
        connected again, although the other hosts knew that they were draining.
        """
        async with await self._disconnect(['h-2']):
            changed_at = asyncio.get_running_loop().time()
            self._put(1, model.DRAINING)
            await self._wait(
                lambda targets: (
                    targets.by_id['i-1'].draining_since is not None
                ),
                DRAIN_S / 2,
            )
            # The change may have occurred as soon as the store became
            # unreachable, and is dated back to that time.
            target = self.targets_by_host['h-2'].by_id['i-1']
            self.assertLess(target.draining_since, changed_at)
            self._put(2)
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await self._wait(lambda targets: list(targets.by_id) == ['i-2'])

    async def test_many_changes_while_the_store_is_unreachable(self):
        """Guards against changes that do not fit into one datagram."""
        async with await self._disconnect(['h-2']):
            for number in range(2, 40):
                self._put(number)
                await asyncio.sleep(0.03)
            await self._wait(lambda targets: len(targets.by_id) == 39, 5.0)

    async def test_expired_entry_is_not_sent_as_a_departure(self):
        """Guards against live targets that get no requests after an outage.

        Hosts that can read the store again see that entries are missing, but
        not whether their targets have left.
        """
        async with await self._disconnect(['h-2']):
            async with await self._disconnect(['h-0', 'h-1']):
                self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
            await asyncio.sleep(2 * peer_polling.POLL_INTERVAL_S)
            self.assertIn('i-1', self.targets_by_host['h-2'].by_id)
            self._put(1)
            self._put(2)
            await asyncio.sleep(2 * peer_polling.POLL_INTERVAL_S)
            self.assertIn('i-1', self.targets_by_host['h-2'].by_id)

    async def test_entry_that_expired_in_an_outage(self):
        """Guards against live targets that get no requests after an outage."""
        async with await self._disconnect(self.targets_by_host):
            self.cluster.store.remove(names.TARGETS_KIND, 'i-1')
        end_at = asyncio.get_running_loop().time() + 1.5
        while asyncio.get_running_loop().time() < end_at:
            await asyncio.sleep(0.05)
            for targets in self.targets_by_host.values():
                targets.drop_expired()
                self.assertIn('i-1', targets.by_id)
        self._put(1)
        await self._wait(
            lambda targets: targets.by_id['i-1'].missing_until is None, 1.0
        )


if __name__ == '__main__':
    unittest.main()
