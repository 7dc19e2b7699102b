"""Tests of keys that move just after another host became the controller.

The targets keep to what the platform promises and to nothing more: a grant
without a response may take effect seconds later, and a target rejects grants
below the highest fencing token among the *grants* that it has taken.
"""

import asyncio
import unittest
from unittest import mock

from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import hold_times
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_renewals
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from soak import holds as key_holds
from standins import key_targets
from standins import platform_target

GRANT_MAX_S = 1.0
FORMER_FENCE = 5
LAST_KEY = model.KEY_COUNT - 1
OWNED = model.KeyRange(0, LAST_KEY, 'i-1', 1, FORMER_FENCE, False, '')
# The former controller wrote the move to the second target, and ended.
MOVING = model.KeyRange(0, LAST_KEY, 'i-2', 1, FORMER_FENCE + 2, True, 'i-1/1')


def _find_shared(targets):
    """Return pairs of holds in which two targets held a key together.

    However short that is: also a target that is fenced off holds for an
    instant.
    """
    holds = [hold for target in targets for hold in target.holds]
    with mock.patch.object(key_holds, 'OVERLAP_TOLERANCE_S', 0.0):
        return key_holds.overlaps(holds)


class UnansweredGrantTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for name, value in (('STEP_INTERVAL_S', 0.02),):
            patch = mock.patch.object(key_controller, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.former = key_targets.Target(key_targets.entry(1))
        self.next = key_targets.Target(key_targets.entry(2))
        self.third = key_targets.Target(key_targets.entry(3))
        self.targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        self.targets.services = frozenset({'book'})
        self.targets.replace_all([key_targets.entry(1), key_targets.entry(2)])
        self.lease = mock.Mock(
            is_held=True,
            was_last_holder=False,
            held_until=clock.now() + 1000,
            term=1,
            revision=1,
        )

    async def _run_next_controller(
        self, seconds, owned=OWNED, lost_fences=0, fence_delay_s=0.5
    ):
        key_map = model.KeyMap(
            'book',
            owned.fence,
            (owned,),
            7,
            {
                target.entry.holder: target.entry.address
                for target in (self.former, self.next, self.third)
            },
        )
        target_by_holder = {
            target.entry.holder: target
            for target in (self.former, self.next, self.third)
        }
        target_by_holder['i-1/1'] = self.former
        calls = key_targets.Calls(target_by_holder)
        calls.lost_fences = lost_fences
        calls.fence_delay_s = fence_delay_s
        controller = key_controller.Controller(
            key_targets.Store(key_map),
            self.lease,
            calls,
            self.targets,
            key_table.KeyTable(),
            mock.Mock(),
            GRANT_MAX_S,
            mock.Mock(),
        )
        controller.keyed_services = ('book',)
        task = asyncio.create_task(controller.run())
        await asyncio.sleep(seconds)
        task.cancel()

    def _check(self, owner):
        """Check that one target at a time held keys, at last the owner."""
        targets = (self.former, self.next, self.third)
        self.assertGreater(owner.holds[-1].until, clock.now())
        self.assertEqual(_find_shared(targets), [])
        holds = [hold for target in targets for hold in target.holds]
        self.assertEqual(key_holds.stale_fences(holds), [])

    async def test_grant_of_the_former_controller_that_takes_effect_late(self):
        """Guards against two owners after a change of the controller.

        An owner had left a grant of the former controller unanswered. It took
        effect after the owner had answered the new controller's release, and
        after the keys were granted to another target.
        """
        late = platform_target.GrantCall(0, LAST_KEY, FORMER_FENCE, 0.8, '')
        self.former.take_grant(late, clock.now())
        arrived_at = clock.now()
        asyncio.get_running_loop().call_later(
            0.2, lambda: self.former.take_grant(late, arrived_at)
        )
        await self._run_next_controller(0.6)
        self._check(self.next)

    async def test_inherited_move_whose_new_owner_holds_the_keys(self):
        """Guards against a fence that gives keys back beside their owner.

        The former controller had granted the keys to their new owner and ended
        before it wrote that.
        """
        moved = platform_target.GrantCall(0, LAST_KEY, MOVING.fence, 0.8, '')
        self.next.take_grant(moved, clock.now())
        await self._run_next_controller(0.4, MOVING)
        self._check(self.next)

    async def test_inherited_move_whose_grant_takes_effect_late(self):
        """Guards against two owners after a change of the controller.

        The new owner had left the former controller's grant unanswered, and
        drains when it takes effect.
        """
        late = platform_target.GrantCall(0, LAST_KEY, MOVING.fence, 0.8, '')
        arrived_at = clock.now()
        draining = self.next.entry._replace(state=model.DRAINING)
        self.targets.put(draining)
        self.targets.put(self.third.entry)
        asyncio.get_running_loop().call_later(
            0.2, lambda: self.next.take_grant(late, arrived_at)
        )
        await self._run_next_controller(0.6, MOVING)
        self._check(self.third)

    async def test_fence_that_arrives_late(self):
        """Guards against a former owner that gets keys beside the next one.

        The call that fences it off had no response and was repeated. The first
        one arrived after the keys had been granted to another target.
        """
        owned = platform_target.GrantCall(0, LAST_KEY, FORMER_FENCE, 0.8, '')
        self.former.take_grant(owned, clock.now())
        await self._run_next_controller(0.9, lost_fences=1)
        self._check(self.next)

    async def test_fence_that_arrives_after_a_repeated_one(self):
        """Guards against a former owner that gets keys beside the next one.

        The call that fences it off was held back for longer than calls are
        usually in transit. A later attempt was answered, and the keys were
        granted to another target.
        """
        owned = platform_target.GrantCall(0, LAST_KEY, FORMER_FENCE, 0.8, '')
        self.former.take_grant(owned, clock.now())
        with mock.patch.object(key_renewals, 'RENEWAL_INTERVAL_S', 0.3):
            await self._run_next_controller(
                1.8, lost_fences=1, fence_delay_s=1.5 * hold_times.TRANSIT_S
            )
        self._check(self.next)

    async def test_two_lives_of_a_target_among_the_former_owners(self):
        """Guards against keys without an owner for the longest grant.

        Both are released by one process, which rejected the lower token of
        the two with which it was to be fenced off.
        """
        self.former.counts_releases = True
        self.former.entry = self.former.entry._replace(incarnation=2)
        self.targets.put(self.former.entry)
        moving = MOVING._replace(former_holders='i-1/2 i-1/1')
        await self._run_next_controller(0.5, moving)
        self._check(self.next)

    async def test_several_former_owners_of_which_one_still_works(self):
        """Guards against a fence that gives keys back while another works.

        A second move began before the first owner had released the keys.
        """
        self.former.work_s = 0.2
        owned = platform_target.GrantCall(0, LAST_KEY, FORMER_FENCE, 0.8, '')
        self.former.take_grant(owned, clock.now())
        self.targets.put(self.next.entry._replace(state=model.DRAINING))
        self.targets.put(self.third.entry)
        await self._run_next_controller(0.5, MOVING)
        self._check(self.third)

    async def test_later_entry_at_the_address_of_a_live_owner(self):
        """Guards against two owners when the clocks of targets differ.

        A target whose clock is ahead had the address before. Its entry is
        still known and has the later start, so the owner was taken for ended.
        """
        earlier = key_targets.entry(9)._replace(
            incarnation=2, address=self.former.entry.address
        )
        self.targets.put(earlier)
        granted = platform_target.GrantCall(0, LAST_KEY, FORMER_FENCE, 0.8, '')
        self.former.take_grant(granted, clock.now())
        await self._run_next_controller(0.6)
        self._check(self.next)


if __name__ == '__main__':
    unittest.main()
