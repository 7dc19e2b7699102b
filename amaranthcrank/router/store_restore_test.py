"""Tests of the key controller when the store has come back from a copy.

The copy is seconds old. What was granted since by the maps that the store has
lost still runs at targets, and they have seen its tokens.
"""

import asyncio
import unittest
from unittest import mock

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from soak import holds as key_holds
from standins import key_targets
from standins import platform_target
from standins import virtual_time

GRANT_MAX_S = 10.0
LAST_KEY = model.KEY_COUNT - 1
MIDDLE = model.KEY_COUNT // 2
STORED_FENCE = 5
LOST_FENCE = 40
# The copy knows one owner, which drains and has given up all keys since.
STORED = model.KeyMap(
    'book',
    STORED_FENCE,
    (model.KeyRange(0, LAST_KEY, 'i-1', 1, STORED_FENCE, False, ''),),
    7,
    {},
)
# What the store has lost: the keys were moved to two others.
LOST = STORED._replace(
    fence=LOST_FENCE,
    ranges=(
        model.KeyRange(0, MIDDLE, 'i-2', 1, LOST_FENCE, False, ''),
        model.KeyRange(MIDDLE + 1, LAST_KEY, 'i-3', 1, LOST_FENCE, False, ''),
    ),
    revision=30,
)


class _Lease:
    """A lease that is taken again as soon as it was invalidated."""

    term = 2
    revision = 1 << 41
    was_last_holder = False

    def __init__(self):
        self.is_held = True
        self.has_heard = False

    def knew_holder_at_restore(self):
        return self.has_heard

    @property
    def held_until(self):
        return clock.now() + 3.0

    def invalidate(self):
        self.is_held = False


class _StoreWithoutMap(key_targets.Store):
    """The copy is of before the first map was written."""

    def __init__(self):
        super().__init__(STORED)
        self.is_written = False

    async def list_all(self, kind, timeout_s):
        """Return the map if it was written since."""
        if self.is_written:
            return await super().list_all(kind, timeout_s)
        return store.Listing({}, 1)

    async def create(self, kind, name, spec, timeout_s):
        """Create the map."""
        if self.is_written:
            raise store.ConflictError(self.item)
        self.is_written = True
        self.item = {'metadata': {'rev': 1}, 'spec': spec}
        return self.item


class StoreRestoreTest(unittest.TestCase):
    def _prepare(self, era, restored_store=None):
        self.all_targets = [
            key_targets.RangeTarget(key_targets.entry(number))
            for number in (1, 2, 3, 4)
        ]
        self.store = restored_store or key_targets.Store(STORED)
        self.store.era = era
        self.lease = _Lease()
        self.log = mock.Mock()
        self.keys = key_table.KeyTable()
        targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        targets.services = frozenset({'book'})
        targets.replace_all([target.entry for target in self.all_targets])
        drained = self.all_targets[0].entry
        targets.put(drained._replace(state=model.DRAINING))
        self.targets = targets
        self.calls = key_targets.Calls(
            {target.entry.holder: target for target in self.all_targets}
        )
        self.calls._is_lease_held = lambda: self.lease.is_held
        self.controller = key_controller.Controller(
            self.store,
            self.lease,
            self.calls,
            targets,
            self.keys,
            self.log,
            GRANT_MAX_S,
            mock.Mock(),
        )
        self.controller.keyed_services = ('book',)

    def _grant_lost_ranges(self, hold_s):
        for target, part in zip(
            self.all_targets[1:3], LOST.ranges, strict=True
        ):
            call = platform_target.GrantCall(
                part.first, part.last, LOST_FENCE, hold_s, ''
            )
            target.take_grant(call, clock.now())

    async def _run(self, seconds):
        async def lead():
            while True:
                await self.controller.run()
                self.lease.is_held = True
                self.lease.was_last_holder = True
                await asyncio.sleep(0.5)

        task = asyncio.create_task(lead())
        await asyncio.sleep(seconds)
        task.cancel()

    def _rejected(self):
        return [
            call.kwargs['target']
            for call in self.log.event.call_args_list
            if call.args[0] == 'grant_failed'
            and call.kwargs['result'] == 'rejected'
        ]

    def _overlaps(self):
        holds = [hold for each in self.all_targets for hold in each.holds]
        return key_holds.overlaps(holds)

    def _owned_share(self):
        """Return the share of the keys that targets hold now."""
        now = clock.now()
        owned = {
            (hold.first, hold.last)
            for target in self.all_targets
            for hold in target.holds
            if hold.since <= now < hold.until
        }
        count = 0
        # A target may hold some keys by several grants.
        end = 0
        for first, last in sorted(owned):
            count += max(0, last + 1 - max(first, end))
            end = max(end, last + 1)
        return count / model.KEY_COUNT

    @virtual_time.in_virtual_time
    async def test_grants_that_the_store_has_forgotten(self):
        """Guards against two owners after a restore of the store.

        The next controller read the copy. Its moves were rejected by targets
        that had seen higher tokens, again and again; another target accepted
        keys that these still held.
        """
        self._prepare(era=1)
        self._grant_lost_ranges(6.0)
        await self._run(40.0)
        self.assertEqual(self._rejected(), [])
        self.assertEqual(self._overlaps(), [])
        self.assertEqual(self._owned_share(), 1.0)

    @virtual_time.in_virtual_time
    async def test_grants_long_after_the_restore(self):
        """Guards against grants of a controller that went on after a restore.

        It could not write its map, or a late write of an earlier era replaced
        it, so the store still names an earlier era.
        """
        self._prepare(era=1)
        self.store.era_seen_at = clock.now() - 60.0
        self._grant_lost_ranges(GRANT_MAX_S)
        await self._run(40.0)
        self.assertEqual(self._rejected(), [])
        self.assertEqual(self._overlaps(), [])
        self.assertEqual(self._owned_share(), 1.0)

    @virtual_time.in_virtual_time
    async def test_late_grants_that_the_store_has_forgotten(self):
        """Guards against keys that a forgotten owner takes again.

        A grant to it waited in a stopped process. This host still knows that
        it was an owner.
        """
        self._prepare(era=1)
        self.keys.put(LOST)
        self._grant_lost_ranges(6.0)
        late = platform_target.GrantCall(0, MIDDLE, LOST_FENCE, 6.0, '')
        asyncio.get_running_loop().call_later(
            30.0, lambda: self.all_targets[1].take_grant(late, clock.now())
        )
        await self._run(40.0)
        self.assertEqual(self._overlaps(), [])

    @virtual_time.in_virtual_time
    async def test_owners_that_this_host_knows(self):
        """Guards against living owners without keys after a restore.

        This host heard of all changes of the map that the store has lost.
        """
        self._prepare(era=1)
        self.keys.put(LOST)
        self.keys.record_announced({'book': LOST.revision})
        self.lease.has_heard = True
        self._grant_lost_ranges(6.0)
        task = asyncio.create_task(self._run(30.0))
        for _ in range(59):
            await asyncio.sleep(0.5)
            self.assertEqual(self._owned_share(), 1.0)
        await task
        self.assertEqual(self._overlaps(), [])
        stored = entries.decode_key_map('book', self.store.item)
        self.assertEqual(stored.era, 1)

    @virtual_time.in_virtual_time
    async def test_owners_of_which_this_host_missed_a_change(self):
        """Guards against renewals by a map that is not the newest."""
        self._prepare(era=1)
        self.keys.put(LOST._replace(ranges=STORED.ranges, revision=29))
        self.keys.record_announced({'book': LOST.revision})
        self.lease.has_heard = True
        self._grant_lost_ranges(6.0)
        await self._run(40.0)
        self.assertEqual(self._overlaps(), [])
        self.assertEqual(self._owned_share(), 1.0)

    @virtual_time.in_virtual_time
    async def test_known_owner_that_has_seen_a_higher_token(self):
        """Guards against an owner that is taken for known, and is not.

        Its range is not granted to anybody before all grants have ended.
        """
        self._prepare(era=1)
        self.keys.put(LOST._replace(ranges=STORED.ranges, revision=29))
        self.keys.record_announced({'book': 29})
        self.lease.has_heard = True
        self._grant_lost_ranges(6.0)
        self.all_targets[0].take_grant(
            platform_target.GrantCall(0, LAST_KEY, LOST_FENCE - 1, 0.0, ''),
            clock.now(),
        )
        await self._run(40.0)
        self.assertEqual(self._overlaps(), [])
        self.assertEqual(self._owned_share(), 1.0)

    @virtual_time.in_virtual_time
    async def test_map_that_the_store_has_forgotten(self):
        """Guards against a second first map, by a host that started late.

        It has seen neither the restore nor the map, and gave out all keys
        again, from the first token on.
        """
        self._prepare(era=2, restored_store=_StoreWithoutMap())
        # It is measured by another clock than the virtual one.
        self.controller._stability.is_stable = lambda *_: True
        self._grant_lost_ranges(6.0)
        await self._run(40.0)
        self.assertEqual(self._rejected(), [])
        self.assertEqual(self._overlaps(), [])
        self.assertEqual(self._owned_share(), 1.0)

    @virtual_time.in_virtual_time
    async def test_second_restore_while_a_map_waits(self):
        """Guards against a map that is used as its own by a controller.

        The controller held the lease all the time, but had not begun to act on
        the map.
        """
        self._prepare(era=1)
        self._grant_lost_ranges(10.0)
        task = asyncio.create_task(self._run(40.0))
        await asyncio.sleep(3.0)
        self.store.era = 2
        self.store.era_seen_at = clock.now()
        await task
        self.assertEqual(self._rejected(), [])
        self.assertEqual(self._overlaps(), [])
        self.assertEqual(self._owned_share(), 1.0)

    @virtual_time.in_virtual_time
    async def test_rejected_tokens_of_a_store_without_eras(self):
        """Guards against moves that are rejected for good.

        A rejection shows that another controller has granted keys. Nothing
        shows to whom, so all its grants have to end first.
        """
        self._prepare(era=0)
        self._grant_lost_ranges(6.0)
        await self._run(40.0)
        self.assertLess(len(self._rejected()), 4)
        self.assertEqual(self._owned_share(), 1.0)
        stored = entries.decode_key_map('book', self.store.item)
        self.assertGreater(stored.fence, LOST_FENCE)

    @virtual_time.in_virtual_time
    async def test_nothing_is_granted_after_a_rejection(self):
        """Guards against grants by a map that one target has disproved.

        They are not sent to the targets that would accept them either.
        """
        self._prepare(era=0)
        self._grant_lost_ranges(6.0)
        await self._run(9.0)
        first_at = min(call.at for call in self.calls.sent)
        lasting = [
            call
            for call in self.calls.sent
            if call.path == names.GRANT_PATH and call.at > first_at + 1.0
        ]
        self.assertEqual(lasting, [])

    @virtual_time.in_virtual_time
    async def test_doubt_outlasts_a_run_of_the_controller(self):
        """Guards against a doubted map that is used after the next start.

        The controller ended for another reason while it waited for the grants
        that the map does not know.
        """
        self._prepare(era=0)
        self._grant_lost_ranges(6.0)
        asyncio.get_running_loop().call_later(4.0, self.lease.invalidate)
        await self._run(9.0)
        first_at = min(call.at for call in self.calls.sent)
        lasting = [
            call
            for call in self.calls.sent
            if call.path == names.GRANT_PATH and call.at > first_at + 1.0
        ]
        self.assertEqual(lasting, [])

    @virtual_time.in_virtual_time
    async def test_target_that_rejects_every_token(self):
        """Guards against a faulty target that stops all moves for good."""
        self._prepare(era=0)
        faulty = self.all_targets[1]
        faulty.take_grant = lambda call, arrived_at: False
        await self._run(50.0)
        self.assertEqual(self._owned_share(), 1.0)
        self.assertLess(len(self._rejected()), 20)

    @virtual_time.in_virtual_time
    async def test_target_that_goes_on_rejecting_every_token(self):
        """Guards against a faulty target that stops all moves each minute."""
        self._prepare(era=0)
        faulty = self.all_targets[1]
        faulty.take_grant = lambda call, arrived_at: False
        task = asyncio.create_task(self._run(160.0))
        await asyncio.sleep(40.0)
        # A drained target forces moves, at first to the faulty one as well.
        for number in range(11):
            draining = self.all_targets[2 + number % 2].entry
            ready = self.all_targets[3 - number % 2].entry
            self.targets.put(ready)
            self.targets.put(draining._replace(state=model.DRAINING))
            await asyncio.sleep(10.0)
            self.assertEqual(self._owned_share(), 1.0, number)
        await task

    @virtual_time.in_virtual_time
    async def test_controller_that_goes_on_after_a_restore(self):
        """Guards against keys without an owner, though their grants are known.

        The controller held the lease all the time, so it knows what the store
        has lost.
        """
        self._prepare(era=0)
        task = asyncio.create_task(self._run(12.0))
        await asyncio.sleep(4.0)
        lost = entries.decode_key_map('book', self.store.item)
        self.store.era = 1
        self.store.has_seen_restore = True
        self.store.item = key_targets.Store(STORED).item
        self.store.item['metadata']['rev'] = 1 << 40
        self.store.era_seen_at = clock.now()
        for _ in range(14):
            await asyncio.sleep(0.5)
            self.assertEqual(self._owned_share(), 1.0)
        await task
        stored = entries.decode_key_map('book', self.store.item)
        self.assertEqual(stored.era, 1)
        self.assertEqual(stored.ranges, lost.ranges)
        self.assertEqual(self._overlaps(), [])

    @virtual_time.in_virtual_time
    async def test_differences_after_a_restore(self):
        """Guards against hosts that send keys to the copy's owners for good.

        A host that has started since knows the copy only. What is sent to it
        are differences to the map that it has read.
        """
        self._prepare(era=0)
        task = asyncio.create_task(self._run(8.0))
        await asyncio.sleep(4.0)
        copy = key_targets.Store(STORED).item
        copy['metadata']['rev'] = 1 << 40
        self.store.era = 1
        self.store.has_seen_restore = True
        self.store.item = copy
        other = key_table.KeyTable()
        other.put(entries.decode_key_map('book', copy))

        def send_difference(former, new):
            known = set(former.ranges)
            changed = [part for part in new.ranges if part not in known]
            other.apply_diff('book', former.revision, new.revision, changed)

        self.controller.on_map_written = send_difference
        await task
        stored = entries.decode_key_map('book', self.store.item)
        known = other.map_by_service['book']
        self.assertGreater(known.revision, copy['metadata']['rev'])
        self.assertEqual(known.ranges, stored.ranges)


if __name__ == '__main__':
    unittest.main()
