"""Tests of the lease of the key controller."""

import asyncio
import unittest
from unittest import mock

from amaranthcrank.platform import store
from amaranthcrank.platform import store_position
from amaranthcrank.router import clock
from amaranthcrank.router import controller_lease
from amaranthcrank.router import store_availability


class _Store:
    """Keeps one object in memory, can be unavailable and counts its calls.

    It can come back from an older copy, and then has a higher era.
    """

    def __init__(self):
        self.era = 0
        self.era_seen_at = clock.now()
        self.has_seen_restore = False
        self.on_restored = []
        self.item = None
        self.availability = store_availability.AvailabilityHistory()
        self.is_unavailable = False
        # How long each write takes.
        self.write_s = 0.0
        # How many of the next writes take effect without a response.
        self.lost_responses = 0
        self.revision = 1
        self.calls = 0
        # Whether the next write is sent without knowledge of the last restore.
        self.hides_restore = False

    def _check(self):
        self.calls += 1
        if self.is_unavailable:
            raise store.StoreError('unavailable')

    def record_position(self, position):
        self.era = max(self.era, store_position.era_of(position))

    def record_stored_era(self, era):
        self.has_seen_restore = self.has_seen_restore or era < self.era

    def restore(self, item):
        """Come back from a copy that has an object, or none."""
        self.era += 1
        self.era_seen_at = clock.now()
        self.has_seen_restore = True
        for listener in self.on_restored:
            listener(self.era - 1, self.era)
        self.revision = store_position.position(self.era, 1)
        self.item = item and {**item, 'metadata': {'rev': self.revision}}

    async def get(self, kind, name, timeout_s):
        self._check()
        return self.item

    async def create(self, kind, name, spec, timeout_s):
        return await self.replace(kind, name, 0, spec, timeout_s)

    async def replace(self, kind, name, revision, spec, timeout_s):
        self._check()
        await asyncio.sleep(self.write_s)
        if revision and store_position.era_of(revision) != self.era:
            if not self.hides_restore:
                raise store.RestoredError
            self.hides_restore = False
            raise store.ConflictError(self.item)
        if self.item and self.item['metadata']['rev'] != revision:
            raise store.ConflictError(self.item)
        self.revision += 1
        self.item = {'metadata': {'rev': self.revision}, 'spec': spec}
        if self.lost_responses:
            self.lost_responses -= 1
            raise store.StoreError('no answer in time', silent=True)
        return self.item


async def _store_is_available():
    """Return at once, as no outage of the store is known."""


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for name, value in (
            ('LEASE_S', 0.5),
            ('RENEWAL_INTERVAL_S', 0.1),
            ('MARGIN_S', 0.1),
            ('RETRY_S', 0.05),
        ):
            patch = mock.patch.object(controller_lease, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.store = _Store()

    def _lease(self, host_id, incarnation='1'):
        return controller_lease.Lease(
            self.store, host_id, incarnation, '10.0.0.' + host_id, mock.Mock()
        )

    async def _acquire(self, lease, seconds=3.0):
        async with asyncio.timeout(seconds):
            await lease.acquire(lambda: False, _store_is_available, lambda: 2)

    async def test_renewed_lease_is_not_taken(self):
        first = self._lease('1')
        await self._acquire(first)
        renewing = asyncio.create_task(first.renew())
        self.addCleanup(renewing.cancel)
        second = self._lease('2')
        with self.assertRaises(TimeoutError):
            await self._acquire(second, 1.5)
        self.assertTrue(first.is_held)

    async def test_silent_holder_is_replaced_after_its_lease(self):
        # The second host must not hold the lease before the first has
        # stopped.
        first = self._lease('1')
        await self._acquire(first)
        second = self._lease('2')
        while not second.is_held:
            self.assertTrue(
                not first.is_held or not second.is_held, 'two holders'
            )
            await self._acquire(second)
        self.assertFalse(first.is_held)

    async def test_resigned_lease_is_taken_at_once(self):
        first = self._lease('1')
        await self._acquire(first)
        await first.resign()
        began_at = clock.now()
        await self._acquire(self._lease('2'))
        self.assertLess(clock.now() - began_at, 0.3)

    async def test_restarted_holder_waits_for_its_earlier_lease(self):
        """Guards against two processes of one host that both send grants.

        The earlier one may shut down slowly, or be stopped and go on.
        """
        earlier = self._lease('1')
        await self._acquire(earlier)
        began_at = clock.now()
        later = self._lease('1', '2')
        await self._acquire(later)
        self.assertFalse(earlier.is_held)
        longest_s = controller_lease.LEASE_S + controller_lease.MARGIN_S
        self.assertLess(clock.now() - began_at, longest_s + 0.3)

    async def _hold(self, lease):
        await self._acquire(lease)
        renewing = asyncio.create_task(lease.renew())
        self.addCleanup(renewing.cancel)

    async def test_holder_goes_on_after_a_restore(self):
        """Guards against keys without an owner after a short restore.

        While its lease lasts, nobody else can have held it in what the store
        has lost, also if the copy names another holder or none.
        """
        for copy in (None, {'spec': {'holder': '2', 'term': 1}}):
            with self.subTest(copy=copy):
                self.store = _Store()
                first = self._lease('1')
                await self._hold(first)
                self.store.restore(copy)
                for _ in range(20):
                    await asyncio.sleep(0.05)
                    self.assertTrue(first.is_held)
                self.assertTrue(first.was_last_holder)
                self.assertEqual(self.store.item['spec']['era'], 1)

    async def test_holder_stops_if_the_lease_was_taken_since_a_restore(self):
        """Guards against two holders after a restore.

        The first one's lease had all but ended.
        """
        first = self._lease('1')
        await self._hold(first)
        # Its next renewal is due after the second host's attempt.
        await asyncio.sleep(0.01)
        second = self._lease('2', '2')
        self.store.restore(None)
        self.store.era_seen_at -= controller_lease.LEASE_S
        self.store.era_seen_at -= controller_lease.MARGIN_S
        await self._acquire(second)
        await asyncio.sleep(0.3)
        self.assertFalse(first.is_held)
        self.assertTrue(second.is_held)

    async def test_lease_is_not_taken_just_after_a_restore(self):
        """Guards against a holder that loses its lease to a host that waits.

        The copy names nobody, and the holder has not learnt of it yet.
        """
        first = self._lease('1')
        await self._acquire(first)
        second = self._lease('2', '2')
        self.store.restore({'spec': {'holder': '', 'term': 1}})
        with self.assertRaises(TimeoutError):
            await self._acquire(second, controller_lease.LEASE_S)
        await self._acquire(second)

    async def test_holder_that_was_known_until_a_restore(self):
        """Guards against an old map that is taken for the newest."""
        silent, told = self._lease('1'), self._lease('2')
        silent.record_active_holder()
        await asyncio.sleep(0.3)
        told.record_active_holder()
        with mock.patch.object(controller_lease, 'KNOWN_HOLDER_S', 0.2):
            self.store.restore(None)
            self.assertFalse(silent.knew_holder_at_restore())
            self.assertTrue(told.knew_holder_at_restore())

    async def test_holder_whose_lease_ended_before_a_restore(self):
        """Guards against a holder that takes a copy's word for its own.

        Its lease had ended, so another host may have held it in what the store
        has lost. The copy still names it.
        """
        first = self._lease('1')
        await self._acquire(first)
        copy = self.store.item
        await asyncio.sleep(controller_lease.LEASE_S)
        self.store.restore(copy)
        await self._acquire(first)
        self.assertFalse(first.was_last_holder)

    async def test_renewal_that_begins_after_the_end_of_the_lease(self):
        """Guards against a host that was suspended and uses its old maps.

        Another one held the lease meanwhile, which the store has forgotten.
        The former holder learns of the restore before it renews.
        """
        first = self._lease('1')
        await self._acquire(first)
        copy = self.store.item
        renewing = asyncio.create_task(first.renew())
        await asyncio.sleep(0.01)
        first.held_until = clock.now() - 5.0
        self.store.restore(copy)
        await renewing
        await self._acquire(first)
        self.assertFalse(first.was_last_holder)

    async def test_term_that_is_given_out_again(self):
        """Guards against a lost term that is taken for the present one.

        This host held the term that the copy's next one is, then another host
        a later one. The response to the first write after the restore is lost.
        """
        other = self._lease('2', '2')
        await self._acquire(other)
        await other.resign()
        copy = self.store.item
        first = self._lease('1')
        await self._acquire(first)
        await first.resign()
        await self._acquire(other)
        self.store.restore(copy)
        self.store.lost_responses = 1
        await self._acquire(first)
        self.assertFalse(first.was_last_holder)

    async def test_holder_goes_on_after_two_restores(self):
        """Guards against a lease that is given up for a second restore.

        The store comes back from the copy again while the lease is continued.
        """
        first = self._lease('1')
        await self._hold(first)
        await asyncio.sleep(0.01)
        self.store.restore(None)
        get = self.store.get

        async def get_and_restore(kind, name, timeout_s):
            item = await get(kind, name, timeout_s)
            self.store.get = get
            self.store.restore({'spec': {'holder': '2', 'term': 1}})
            return item and dict(item)

        self.store.item = {
            'spec': {'holder': '2', 'term': 1},
            'metadata': {'rev': self.store.revision},
        }
        self.store.get = get_and_restore
        await asyncio.sleep(0.4)
        self.assertTrue(first.is_held)
        self.assertTrue(first.was_last_holder)
        self.assertEqual(self.store.item['spec']['era'], 2)

    async def test_holder_that_learns_of_a_restore_by_a_conflict(self):
        """Guards against keys without an owner after a short restore.

        The holder learns of the restore by the response to its renewal.
        """
        for copy in (None, 'own', {'spec': {'holder': '2', 'term': 1}}):
            with self.subTest(copy=copy):
                self.store = _Store()
                first = self._lease('1')
                await self._hold(first)
                item = self.store.item if copy == 'own' else copy
                self.store.restore(item)
                self.store.hides_restore = True
                await asyncio.sleep(1.0)
                self.assertTrue(first.is_held)
                self.assertTrue(first.was_last_holder)
                self.assertEqual(self.store.item['spec']['era'], 1)

    async def test_controller_that_begins_again_after_a_restore(self):
        """Guards against a controller that forgets its maps at a restore.

        It ends as soon as this host learns of the restore, mostly before the
        next renewal, and begins again under the lease that it still holds.
        """
        first = self._lease('1')
        await self._acquire(first)
        self.assertFalse(first.was_last_holder)
        self.store.restore(None)
        await self._acquire(first)
        self.assertTrue(first.was_last_holder)

    async def test_renewal_after_a_restore_is_not_delayed(self):
        """Guards against a lease that ends after a short outage of the store.

        Nothing can be done with it until the restored store has it.
        """
        first = self._lease('1')
        await self._acquire(first)
        self.store.restore(None)
        patch = mock.patch.object(controller_lease, 'RENEWAL_INTERVAL_S', 9.0)
        with patch:
            renewing = asyncio.create_task(first.renew())
            self.addCleanup(renewing.cancel)
            await asyncio.sleep(0.05)
        self.assertEqual(self.store.item['spec']['era'], 1)

    async def test_restore_before_the_start_of_the_process(self):
        """Guards against keys that are given out anew though they have owners.

        A service without a map had one in what the store has lost. The process
        has started since, so only the stored lease shows the restore.
        """
        first = self._lease('1')
        await self._acquire(first)
        self.store.restore(self.store.item)
        await self._acquire(self._lease('2', '2'))
        self.assertTrue(self.store.has_seen_restore)

    async def test_late_renewal_of_an_earlier_era(self):
        """Guards against two holders after a renewal that is stored late.

        The restored store has given out its revision again, so it replaces
        the lease of another host, which does not know of it yet.
        """
        first = self._lease('1')
        await self._acquire(first)
        late = self.store.item['spec']
        await asyncio.sleep(controller_lease.LEASE_S)
        self.store.restore(None)
        second = self._lease('2', '2')
        await self._acquire(second)
        self.store.revision += 1
        self.store.item = {
            'metadata': {'rev': self.store.revision},
            'spec': late,
        }
        await self._acquire(first)
        self.assertFalse(second.is_held)

    async def test_invalidated_lease_is_held_once_it_is_confirmed(self):
        """Guards against a controller that goes on by a lease in doubt."""
        first = self._lease('1')
        await self._hold(first)
        first.invalidate()
        self.assertFalse(first.is_held)
        await asyncio.sleep(0.2)
        self.assertFalse(first.is_held)
        await self._acquire(first)
        self.assertTrue(first.is_held)
        self.assertTrue(first.was_last_holder)

    async def test_holder_stops_when_the_store_is_unavailable(self):
        lease = self._lease('1')
        await self._acquire(lease)
        renewing = asyncio.create_task(lease.renew())
        self.addCleanup(renewing.cancel)
        self.store.is_unavailable = True
        await asyncio.sleep(0.7)
        self.assertFalse(lease.is_held)

    async def test_renewal_that_is_confirmed_too_late(self):
        """Guards against a controller that holds its lease and renews no keys.

        Its lease had ended for a moment, in which its renewals of keys ended.
        """
        lease = self._lease('1')
        await self._acquire(lease)
        self.store.write_s = 0.9 * controller_lease.LEASE_S
        async with asyncio.timeout(2.0):
            await lease.renew()
        self.assertFalse(lease.is_held)
        self.store.write_s = 0.0
        await self._acquire(lease)
        self.assertTrue(lease.was_last_holder)

    async def test_heartbeats_count_as_renewals(self):
        """Guards against a second wait of a whole lease after a failover.

        A host that received the holder's heartbeats knows when the lease was
        last renewed, and need not count from its own first read.
        """
        first = self._lease('1')
        await self._acquire(first)
        second = self._lease('2')
        second.record_heartbeat(first.revision)
        await asyncio.sleep(0.55)
        self.assertFalse(first.is_held)
        began_at = clock.now()
        await self._acquire(second)
        self.assertLess(clock.now() - began_at, 0.3)

    async def test_old_heartbeat_does_not_hide_a_renewal(self):
        """Guards against taking the lease while its holder renews it."""
        first = self._lease('1')
        await self._acquire(first)
        second = self._lease('2')
        second.record_heartbeat(first.revision)
        await asyncio.sleep(0.35)
        renewing = asyncio.create_task(first.renew())
        self.addCleanup(renewing.cancel)
        with self.assertRaises(TimeoutError):
            await self._acquire(second, 1.0)
        self.assertTrue(first.is_held)

    async def test_many_hosts_try_one_after_the_other(self):
        """Guards against store calls of every host at each failover.

        The lease of a lost holder expires for all hosts at the same time.
        """
        holder = self._lease('0')
        await self._acquire(holder)
        leases = [self._lease(str(number)) for number in range(1, 41)]
        for lease in leases:
            lease.record_heartbeat(holder.revision)
        self.store.calls = 0
        heartbeat_received = asyncio.Event()

        async def acquire_and_announce(lease):
            await lease.acquire(
                heartbeat_received.is_set, _store_is_available, lambda: 40
            )
            # The delay until the new holder's first heartbeat arrives.
            await asyncio.sleep(0.02)
            heartbeat_received.set()

        tasks = [
            asyncio.create_task(acquire_and_announce(lease))
            for lease in leases
        ]
        for task in tasks:
            self.addCleanup(task.cancel)
        async with asyncio.timeout(3.0):
            await heartbeat_received.wait()
        self.assertEqual(sum(lease.is_held for lease in leases), 1)
        self.assertLess(self.store.calls, len(leases))

    async def test_no_calls_while_the_store_is_known_to_be_unavailable(self):
        lease = self._lease('1')

        async def outage():
            await asyncio.sleep(10)

        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.5):
                await lease.acquire(lambda: False, outage, lambda: 2)
        self.assertEqual(self.store.calls, 0)

    async def test_resignation_whose_message_was_lost(self):
        """Guards against waiting for a lease that no host holds any more."""
        first = self._lease('1')
        await self._acquire(first)
        second = self._lease('2')
        second.record_heartbeat(first.revision)
        await first.resign()
        began_at = clock.now()
        await self._acquire(second)
        self.assertLess(clock.now() - began_at, 1.0)

    async def test_resignation_whose_message_arrived(self):
        first = self._lease('1')
        await self._acquire(first)
        second = self._lease('2')
        second.record_heartbeat(first.revision)
        await first.resign()
        second.record_resignation()
        began_at = clock.now()
        await self._acquire(second)
        self.assertLess(clock.now() - began_at, 0.3)

    async def test_first_write_without_a_response(self):
        """Guards against a controller that forgets its predecessor's grants.

        A host found its own incarnation in the lease, written by a takeover
        whose response was lost, and believed that it had sent all grants
        (review case 2).
        """
        former = self._lease('1')
        await self._acquire(former)
        await former.resign()
        lease = self._lease('2')
        for lost_responses in (1, 2):
            with self.subTest(lost_responses=lost_responses):
                self.store.lost_responses = lost_responses
                await self._acquire(lease)
                self.assertFalse(lease.was_last_holder)
                await lease.resign()
                await self._acquire(former)
                self.assertFalse(former.was_last_holder)
                await former.resign()

    async def test_creation_without_a_response(self):
        """Guards against a controller that forgets grants, as above."""
        self.store.lost_responses = 1
        lease = self._lease('1')
        await self._acquire(lease)
        self.assertFalse(lease.was_last_holder)

    async def test_takeover_that_takes_effect_late(self):
        """Guards against a controller that forgets its successor's grants.

        The takeover of a former holder took effect seconds later, when its
        successor had led for a while.
        """
        first = self._lease('1')
        await self._acquire(first)
        await first.resign()
        second = self._lease('2')
        await self._acquire(second)
        await second.resign()
        # The unanswered write of the first host takes effect now.
        self.store.lost_responses = 1
        with self.assertRaises(store.StoreError):
            await first._try_acquire()
        await self._acquire(first)
        self.assertFalse(first.was_last_holder)

    async def test_lease_that_is_taken_again(self):
        """Guards against a needless wait when no other host has led."""
        lease = self._lease('1')
        await self._acquire(lease)
        self.assertFalse(lease.was_last_holder)
        lease.held_until = 0.0
        self.store.lost_responses = 1
        await self._acquire(lease)
        self.assertTrue(lease.was_last_holder)

    async def test_many_hosts_back_off_while_the_store_fails(self):
        """Guards against store calls of every host throughout an outage.

        Attempts to take the lease fail before the watch of the ticket does,
        and only the latter makes the outage known.
        """
        self.store.is_unavailable = True
        for number in range(40):
            lease = self._lease(str(number))
            task = asyncio.create_task(
                lease.acquire(lambda: False, _store_is_available, lambda: 40)
            )
            self.addCleanup(task.cancel)
        await asyncio.sleep(1.0)
        calls = self.store.calls
        limit = (
            controller_lease.UNSCALED_RETRY_HOSTS / controller_lease.RETRY_S
        )
        self.assertLess(calls, limit + 40)
