"""Tests of a key map that a former controller wrote and that is stored late.

The write had no response. It is carried out after the controller has ended,
while the next one leads. Time is virtual, with the real durations.
"""

import asyncio
import contextlib
import unittest
from unittest import mock

from amaranthcrank.platform import entries
from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import controller_lease
from amaranthcrank.router import directory
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_map_store
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from soak import holds as key_holds
from standins import key_targets
from standins import virtual_time

# The longest grant that targets accept (docs/platform.md).
GRANT_MAX_S = 10.0
LAST_KEY = model.KEY_COUNT - 1
HALF = LAST_KEY // 2
FENCE = 5
REVISION = 7
RANGES = (
    model.KeyRange(0, HALF, 'i-1', 1, FENCE, False, ''),
    model.KeyRange(HALF + 1, LAST_KEY, 'i-2', 1, FENCE, False, ''),
)
# A key is served again within this time of a loss (docs/design.md).
MAX_UNAVAILABLE_S = 2.0
# How long after the start of the next controller the write is carried out;
# None for before it. The controller reads the maps at once.
DELAYS_S = (None, 0.0, 0.05, 0.3, 2.0, 5.0, 12.0)
STEP_S = 0.01


class _Store(key_targets.Store):
    """Holds writes back on request.

    Attributes:
      holds_back: Whether writes get no response and are kept.
      delay_s: How long it takes until other writes are carried out.
      response_s: How long it takes from then until the response.
      waiting: The writes that were kept.
    """

    def __init__(self, key_map):
        super().__init__(key_map)
        self.holds_back = False
        self.delay_s = 0.001
        self.response_s = 0.0
        self.waiting = []

    async def replace(self, kind, name, revision, spec, timeout_s):
        """Replace the map, or keep the write."""
        await asyncio.sleep(self.delay_s)
        response_s = self.response_s
        if self.holds_back:
            self.waiting.append((kind, name, revision, spec, timeout_s))
            await asyncio.sleep(timeout_s)
            raise store.StoreError('no answer in time', silent=True)
        item = await super().replace(kind, name, revision, spec, timeout_s)
        await asyncio.sleep(response_s)
        return item

    async def carry_out(self):
        """Carry out the writes that were kept, in their order."""
        for write in self.waiting:
            with contextlib.suppress(store.ConflictError):
                await super().replace(*write)
        self.waiting.clear()

    def ranges(self):
        """Return the stored ranges."""
        return entries.decode_key_map('book', self.item).ranges


class LateMapWriteTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(
            clock, 'now', lambda: asyncio.get_running_loop().time()
        )
        patch.start()
        self.addCleanup(patch.stop)

    def _prepare(self):
        self.all_targets = [
            key_targets.RangeTarget(key_targets.entry(number))
            for number in (1, 2, 3)
        ]
        self.former, self.other, self.third = self.all_targets
        self.target_by_holder = {
            target.entry.holder: target for target in self.all_targets
        }
        self.store = _Store(
            model.KeyMap(
                'book',
                FENCE,
                RANGES,
                REVISION,
                {
                    holder: target.entry.address
                    for holder, target in self.target_by_holder.items()
                },
            )
        )
        self.tasks = []

    def _start_controller(self, was_last_holder=False):
        """Start a controller with a directory and a lease of its own."""
        targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        targets.services = frozenset({'book'})
        targets.replace_all([self.former.entry, self.other.entry])
        lease = mock.Mock(
            is_held=True,
            was_last_holder=was_last_holder,
            held_until=clock.now() + 1000,
            term=len(self.tasks) + 1,
            revision=1,
        )
        calls = key_targets.Calls(self.target_by_holder)
        calls._is_lease_held = lambda: lease.is_held
        controller = key_controller.Controller(
            self.store,
            lease,
            calls,
            targets,
            key_table.KeyTable(),
            mock.Mock(),
            GRANT_MAX_S,
            mock.Mock(),
        )
        controller.keyed_services = ('book',)

        async def lead():
            # One that ends with a conflict takes its lease again.
            while lease.is_held:
                await controller.run()
                lease.was_last_holder = True
                await asyncio.sleep(STEP_S)

        self.tasks.append(asyncio.create_task(lead()))
        return targets, lease

    async def _leave_write(self):
        """Let a controller write a move to the third target, and end.

        Its call to the store gets no response while its lease lasts.
        """
        targets, lease = self._start_controller(was_last_holder=True)
        await asyncio.sleep(1.0)
        self.store.holds_back = True
        targets.put(self.former.entry._replace(state=model.DRAINING))
        targets.put(self.third.entry)
        while not self.store.waiting:
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(controller_lease.LEASE_S)
        lease.is_held = False
        # A write that it sent last ends without a response.
        await asyncio.sleep(
            key_map_store.STORE_TIMEOUT_S + key_map_store.RETRY_S
        )
        self.assertTrue(self.store.waiting)
        self.store.holds_back = False

    async def _start_next(self, delay_s):
        """Start the next controller, and carry the write out."""

        async def carry_out():
            await asyncio.sleep(delay_s or 0.0)
            await self.store.carry_out()

        if delay_s is None:
            await carry_out()
        targets, _ = self._start_controller()
        self.tasks.append(asyncio.create_task(carry_out()))
        return targets

    def _check_owners(self):
        """Check that one target at a time held each key."""
        holds = [hold for target in self.all_targets for hold in target.holds]
        with mock.patch.object(key_holds, 'OVERLAP_TOLERANCE_S', 0.0):
            self.assertEqual(key_holds.overlaps(holds), [])
        self.assertEqual(key_holds.stale_fences(holds), [])

    def _check_all_owned(self):
        """Check that the targets hold all keys by the stored map."""
        now = clock.now()
        for key_range in self.store.ranges():
            self.assertFalse(key_range.moving)
            target = self.target_by_holder[key_range.holder]
            for key in (key_range.first, key_range.last):
                self.assertTrue(
                    any(
                        hold.first <= key <= hold.last
                        and hold.until > now
                        and hold.fence == key_range.fence
                        for hold in target.holds
                    ),
                    f'{key} is not held',
                )

    async def _play_stable(self, delay_s):
        self._prepare()
        await self._leave_write()
        await self._start_next(delay_s)
        await self.tasks[-1]
        await asyncio.sleep(3 * GRANT_MAX_S)
        self._check_owners()

    def test_next_controller_without_moves(self):
        """Guards against two owners after a write that is stored late.

        The next controller keeps the keys with their owner, which the stored
        map marks as moving to another target.
        """
        for delay_s in DELAYS_S:
            with self.subTest(delay_s=delay_s):
                virtual_time.run(self._play_stable(delay_s))

    async def _play_moves(self, delay_s, moves_after_s):
        self._prepare()
        await self._leave_write()
        targets = await self._start_next(delay_s)
        carrying_out = self.tasks[-1]
        await asyncio.sleep(moves_after_s)
        targets.put(self.other.entry._replace(state=model.DRAINING))
        await carrying_out
        await asyncio.sleep(3 * GRANT_MAX_S)
        self._check_owners()
        self._check_all_owned()

    def test_next_controller_that_moves_other_keys(self):
        """Guards against two owners after a write that is stored late.

        The next controller writes a map by its own plan, before or after it,
        with the same fencing tokens.
        """
        for delay_s in DELAYS_S:
            for moves_after_s in (0.02, 1.0, 4.0):
                with self.subTest(
                    delay_s=delay_s, moves_after_s=moves_after_s
                ):
                    virtual_time.run(self._play_moves(delay_s, moves_after_s))

    async def _play_same_move(self, delay_s):
        self._prepare()
        await self._leave_write()
        targets = await self._start_next(delay_s)
        carrying_out = self.tasks[-1]
        await asyncio.sleep(1.0)
        targets.put(self.third.entry)
        targets.put(self.former.entry._replace(state=model.DRAINING))
        await carrying_out
        await asyncio.sleep(3 * GRANT_MAX_S)
        self._check_owners()
        self._check_all_owned()

    def test_next_controller_with_the_same_plan(self):
        """Guards against two owners after a write that is stored late.

        The next controller plans the same move, and takes the stored map for
        its own write or writes it anew.
        """
        for delay_s in DELAYS_S:
            with self.subTest(delay_s=delay_s):
                virtual_time.run(self._play_same_move(delay_s))

    async def _play_slow_end(self, delay_s, response_s):
        self._prepare()
        targets, lease = self._start_controller(was_last_holder=True)
        await asyncio.sleep(1.0)
        self.store.delay_s = delay_s
        self.store.response_s = response_s
        targets.put(self.former.entry._replace(state=model.DRAINING))
        targets.put(self.third.entry)
        await asyncio.sleep(key_controller.STEP_INTERVAL_S + STEP_S)
        # Its write is on the way when its lease ends and the next one leads.
        lease.is_held = False
        self.store.delay_s = self.store.response_s = 0.0
        is_stored = any(each.moving for each in self.store.ranges())
        self.assertEqual(is_stored, bool(response_s))
        next_targets, _ = self._start_controller()
        await asyncio.sleep(key_map_store.STORE_TIMEOUT_S)
        next_targets.put(self.other.entry._replace(state=model.DRAINING))
        await asyncio.sleep(3 * GRANT_MAX_S)
        self._check_owners()
        self._check_all_owned()

    def test_former_controller_that_still_runs(self):
        """Guards against two owners when a former controller still runs.

        It learns late that its map is stored, or that it is not, and must not
        grant by it.
        """
        late_s = key_map_store.STORE_TIMEOUT_S / 2
        for delay_s, response_s in ((late_s, 0.0), (0.0, late_s)):
            with self.subTest(delay_s=delay_s, response_s=response_s):
                virtual_time.run(self._play_slow_end(delay_s, response_s))

    async def _play_availability(self, delay_s):
        self._prepare()
        await self._leave_write()
        await self._start_next(delay_s)
        await self.tasks[-1]
        await asyncio.sleep(MAX_UNAVAILABLE_S)
        self.assertFalse(any(each.moving for each in self.store.ranges()))

    def test_keys_are_not_marked_as_moving(self):
        """Guards against keys that no host serves until the next write.

        Hosts send nothing for keys that the stored map marks as moving.
        """
        for delay_s in DELAYS_S:
            with self.subTest(delay_s=delay_s):
                virtual_time.run(self._play_availability(delay_s))


if __name__ == '__main__':
    unittest.main()
