"""Tests of two processes of one host, one started soon after the other.

The earlier one may still count on its lease when the later one starts: it
shuts down slowly, or is stopped and goes on. What it sends then must not be
taken to be over. Time is virtual, with the real durations.
"""

import asyncio
import unittest
from unittest import mock

from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import controller_lease
from amaranthcrank.router import directory
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import store_availability
from soak import holds as key_holds
from standins import key_targets
from standins import virtual_time

HOST_ID = 'host-1'
# The longest grant that targets accept (docs/platform.md).
GRANT_MAX_S = 10.0
LAST_KEY = model.KEY_COUNT - 1
HALF = LAST_KEY // 2
FENCE = 5
RANGES = (
    model.KeyRange(0, HALF, 'i-1', 1, FENCE, False, ''),
    model.KeyRange(HALF + 1, LAST_KEY, 'i-2', 1, FENCE, False, ''),
)
# How long after its start the earlier process has a successor.
RESTARTS_S = (0.05, 0.7, 1.5, 2.9, 3.2, 10.0)
STEP_S = 0.01


class _LeaseStore:
    """Keeps the lease in memory.

    Attributes:
      lost_responses: How many of the next writes take effect without a
        response.
    """

    era = 0
    has_seen_restore = False

    def __init__(self) -> None:
        self.era_seen_at = 0.0
        self.on_restored = []
        self.availability = store_availability.AvailabilityHistory()
        self.lost_responses = 0
        self._item = None
        self._revision = 0

    def record_stored_era(self, era):
        """Record nothing: the store has no eras."""

    async def get(self, kind, name, timeout_s):
        """Return the lease."""
        await asyncio.sleep(0.001)
        return self._item

    async def create(self, kind, name, spec, timeout_s):
        """Create the lease."""
        return await self.replace(kind, name, 0, spec, timeout_s)

    async def replace(self, kind, name, revision, spec, timeout_s):
        """Replace the lease if it has the revision."""
        await asyncio.sleep(0.001)
        if revision != self._revision:
            raise store.ConflictError(self._item)
        self._revision += 1
        self._item = {'metadata': {'rev': self._revision}, 'spec': spec}
        if self.lost_responses:
            self.lost_responses -= 1
            raise store.StoreError('no answer in time', silent=True)
        return self._item


async def _store_is_available():
    """Return at once, as no outage of the store is known."""


class HostProcessesTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(
            clock, 'now', lambda: asyncio.get_running_loop().time()
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.store = None

    def _run(self, play, *arguments):
        """Run a play with a store of its own, in virtual time."""
        self.store = _LeaseStore()
        virtual_time.run(play(*arguments))

    def _lease(self, incarnation, host_id=HOST_ID):
        return controller_lease.Lease(
            self.store, host_id, incarnation, '10.0.0.1', mock.Mock()
        )

    async def _acquire(self, lease):
        async with asyncio.timeout(60.0):
            await lease.acquire(lambda: False, _store_is_available, lambda: 2)

    async def _play_crash(self, restart_s):
        earlier = self._lease('1')
        await self._acquire(earlier)
        renewing = asyncio.create_task(earlier.renew())
        await asyncio.sleep(restart_s)
        renewing.cancel()
        await asyncio.wait([renewing])
        held_until = earlier.held_until
        began_at = clock.now()
        later = self._lease('2')
        await self._acquire(later)
        self.assertGreaterEqual(clock.now(), held_until)
        self.assertFalse(earlier.is_held)
        self.assertFalse(later.was_last_holder)
        # It counts from its first read, as it knows of none before.
        longest_s = controller_lease.LEASE_S + controller_lease.MARGIN_S
        jitter_s = 2 * controller_lease.JITTER_PER_HOST_S
        self.assertLess(
            clock.now() - began_at,
            longest_s + jitter_s + controller_lease.POLL_INTERVAL_S,
        )

    def test_restart_after_a_crash(self):
        """Guards against two processes that hold the lease at once.

        The later one waits for the rest of the lease, whenever it starts.
        """
        for restart_s in RESTARTS_S:
            with self.subTest(restart_s=restart_s):
                self._run(self._play_crash, restart_s)

    async def _play_slow_shutdown(self):
        earlier = self._lease('1')
        await self._acquire(earlier)
        renewing = asyncio.create_task(earlier.renew())
        acquiring = asyncio.create_task(self._acquire(self._lease('2')))
        await asyncio.sleep(20.0)
        self.assertTrue(earlier.is_held)
        self.assertFalse(acquiring.done())
        renewing.cancel()
        await earlier.resign()
        resigned_at = clock.now()
        await acquiring
        self.assertLess(
            clock.now() - resigned_at,
            controller_lease.LEASE_S + controller_lease.MARGIN_S + 0.1,
        )

    def test_earlier_process_that_goes_on(self):
        """Guards against a lease that is taken while it is renewed.

        The earlier process works on beside the later one and then resigns.
        """
        self._run(self._play_slow_shutdown)

    async def _play_stopped(self):
        earlier = self._lease('1')
        await self._acquire(earlier)
        later = self._lease('2')
        await self._acquire(later)
        renewing = asyncio.create_task(later.renew())
        self.assertFalse(earlier.is_held)
        # It had checked its lease when it was stopped, and now renews it.
        earlier.held_until = clock.now() + STEP_S
        await earlier.renew()
        self.assertFalse(earlier.is_held)
        acquiring = asyncio.create_task(self._acquire(earlier))
        await asyncio.sleep(20.0)
        self.assertTrue(later.is_held)
        self.assertFalse(earlier.is_held)
        for task in (renewing, acquiring):
            task.cancel()

    def test_earlier_process_that_was_stopped(self):
        """Guards against a lease that its former holder takes back.

        The earlier process is stopped for longer than its lease and finds its
        host in the record, but the incarnation of the later process.
        """
        self._run(self._play_stopped)

    async def _play_own_record(self):
        lease = self._lease('1')
        await self._acquire(lease)
        lease.held_until = 0.0
        began_at = clock.now()
        await self._acquire(lease)
        self.assertTrue(lease.was_last_holder)
        self.assertLess(clock.now() - began_at, controller_lease.LEASE_S / 2)

    def test_own_record(self):
        """Guards against a needless wait of a process for its own lease."""
        self._run(self._play_own_record)

    async def _play_unanswered(self):
        self.store.lost_responses = 1
        earlier = self._lease('1')
        acquiring = asyncio.create_task(self._acquire(earlier))
        # It crashes with its first write on the way.
        await asyncio.sleep(0.2)
        acquiring.cancel()
        began_at = clock.now()
        later = self._lease('2')
        await self._acquire(later)
        self.assertFalse(later.was_last_holder)
        self.assertGreaterEqual(
            clock.now() - began_at, controller_lease.LEASE_S
        )

    def test_takeover_without_a_response(self):
        """Guards against two holders after a takeover without a response.

        The earlier process may have read since that it holds the lease.
        """
        self._run(self._play_unanswered)


class TwoProcessesTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(
            clock, 'now', lambda: asyncio.get_running_loop().time()
        )
        patch.start()
        self.addCleanup(patch.stop)

    def _start_process(self, incarnation):
        """Let a process of the host compete for the lease and move keys.

        The first one does not renew its lease: its calls are lost.
        """
        lease = controller_lease.Lease(
            self.lease_store, HOST_ID, incarnation, '10.0.0.1', mock.Mock()
        )
        calls = key_targets.Calls(self.target_by_holder)
        calls._is_lease_held = lambda: lease.is_held
        controller = key_controller.Controller(
            self.map_store,
            lease,
            calls,
            self.targets,
            key_table.KeyTable(),
            mock.Mock(),
            GRANT_MAX_S,
            mock.Mock(),
        )
        controller.keyed_services = ('book',)

        async def lead():
            await lease.acquire(lambda: False, _store_is_available, lambda: 2)
            if incarnation == '1':
                await controller.run()
                return
            renewing = asyncio.create_task(lease.renew())
            try:
                await controller.run()
            finally:
                renewing.cancel()

        task = asyncio.create_task(lead())
        return lease, task

    async def _play(self, restart_s):
        self.lease_store = _LeaseStore()
        self.former = key_targets.RangeTarget(key_targets.entry(1))
        self.next = key_targets.RangeTarget(key_targets.entry(2))
        self.target_by_holder = {
            target.entry.holder: target for target in (self.former, self.next)
        }
        self.map_store = key_targets.Store(
            model.KeyMap(
                'book',
                FENCE,
                RANGES,
                7,
                {
                    holder: target.entry.address
                    for holder, target in self.target_by_holder.items()
                },
            )
        )
        self.targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        self.targets.services = frozenset({'book'})
        self.targets.replace_all([self.former.entry, self.next.entry])
        lease, earlier = self._start_process('1')
        await asyncio.sleep(restart_s)
        _, later = self._start_process('2')
        while lease.is_held:
            await asyncio.sleep(STEP_S)
        # The owner stops just after its last renewal, and its entry expires.
        self.former.is_stopped = True
        await asyncio.sleep(1.0)
        self.targets.remove(self.former.entry.target_id)
        await asyncio.sleep(3 * GRANT_MAX_S)
        for task in (earlier, later):
            task.cancel()
        targets = (self.former, self.next)
        holds = [hold for target in targets for hold in target.holds]
        with mock.patch.object(key_holds, 'OVERLAP_TOLERANCE_S', 0.0):
            self.assertEqual(key_holds.overlaps(holds), [])
        self.assertEqual(key_holds.stale_fences(holds), [])
        # The keys have moved on.
        self.assertEqual(
            {hold.first for hold in self.next.holds if hold.fence > FENCE}, {0}
        )
        self.assertGreater(self.next.holds[-1].until, clock.now())

    def test_owner_that_stops_between_two_processes(self):
        """Guards against two owners after a quick restart of the controller.

        The later process waited for the longest grant from its own start,
        while the earlier one still held its lease and went on to renew.
        """
        for restart_s in (0.2, 1.0, 2.0):
            with self.subTest(restart_s=restart_s):
                virtual_time.run(self._play(restart_s))


if __name__ == '__main__':
    unittest.main()
