"""Tests of keys whose owner is stopped and goes on later.

What was sent to it meanwhile waits at it, also when the connection has been
closed, and takes effect when it goes on.
"""

import asyncio
import unittest
from unittest import mock

from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_renewals
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from soak import holds as key_holds
from standins import key_targets

GRANT_MAX_S = 0.8
LAST_KEY = model.KEY_COUNT - 1
OWNED = model.KeyRange(0, LAST_KEY, 'i-1', 1, 5, False, '')
# The platform's bound on how long two targets may hold the same keys.
MAX_SHARED_S = 0.5
# How long an owner is stopped before its entry expires, and after that.
EXPIRY_S = 0.3
ABSENCE_S = 2.5


def _longest_shared_s(targets):
    holds = [hold for target in targets for hold in target.holds]
    return max(
        (
            min(one.until, other.until) - other.since
            for one, other in key_holds.overlaps(holds)
        ),
        default=0.0,
    )


class StoppedTargetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for module, name, value in (
            (key_controller, 'STEP_INTERVAL_S', 0.02),
            (key_renewals, 'RENEWAL_INTERVAL_S', 0.1),
            (key_renewals, 'CHECK_INTERVAL_S', 0.02),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.grant_max_s = GRANT_MAX_S
        self.absence_s = ABSENCE_S
        self.former = key_targets.Target(key_targets.entry(1))
        self.next = key_targets.Target(key_targets.entry(2))
        self.targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        self.targets.services = frozenset({'book'})
        self.targets.replace_all([self.former.entry, self.next.entry])
        self.target_by_holder = {
            target.entry.holder: target for target in (self.former, self.next)
        }
        half = LAST_KEY // 2
        self._write_map(
            (
                OWNED._replace(last=half),
                OWNED._replace(first=half + 1, target_id='i-2'),
            )
        )

    def _write_map(self, ranges):
        address_by_holder = {
            holder: target.entry.address
            for holder, target in self.target_by_holder.items()
        }
        self.store = key_targets.Store(
            model.KeyMap('book', OWNED.fence, ranges, 7, address_by_holder)
        )

    def _start_controller(self, was_last_holder):
        controller = key_controller.Controller(
            self.store,
            mock.Mock(
                is_held=True,
                was_last_holder=was_last_holder,
                held_until=clock.now() + 1000,
                term=1,
                revision=1,
            ),
            key_targets.Calls(self.target_by_holder),
            self.targets,
            key_table.KeyTable(),
            mock.Mock(),
            self.grant_max_s,
            mock.Mock(),
        )
        controller.keyed_services = ('book',)
        task = asyncio.create_task(controller.run())
        self.addCleanup(task.cancel)
        return task

    async def _stop_former(self):
        """Stop the owner for so long that its keys move on.

        It stops just after it has shown that it reads its calls.
        """
        self.former.stops_after_release = True
        while not self.former.is_stopped:
            await asyncio.sleep(0.01)
        await asyncio.sleep(EXPIRY_S)
        self.targets.remove(self.former.entry.target_id)
        await asyncio.sleep(self.absence_s)
        self.assertGreater(self.next.holds[-1].until, clock.now())
        self.assertNotEqual(self.former.waiting_grants, [])

    async def test_no_grant_is_sent_to_a_stopped_owner(self):
        """Guards against grants that wait at a stopped owner at all.

        It took them when it went on, below the token of the next owner.
        """
        self._start_controller(was_last_holder=True)
        await asyncio.sleep(0.3)
        self.former.is_stopped = True
        await asyncio.sleep(EXPIRY_S)
        self.targets.remove(self.former.entry.target_id)
        await asyncio.sleep(ABSENCE_S)
        self.former.resume()
        await asyncio.sleep(0.3)
        targets = (self.former, self.next)
        holds = [hold for target in targets for hold in target.holds]
        with mock.patch.object(key_holds, 'OVERLAP_TOLERANCE_S', 0.0):
            self.assertEqual(key_holds.overlaps(holds), [])
        self.assertEqual(key_holds.stale_fences(holds), [])

    async def test_grants_that_waited_at_a_stopped_owner(self):
        """Guards against two owners when a stopped owner goes on.

        Renewals had waited at it while their time was taken to run out, and
        its keys had been granted to another target.
        """
        self._start_controller(was_last_holder=True)
        await asyncio.sleep(0.3)
        await self._stop_former()
        self.former.resume()
        await asyncio.sleep(1.2)
        shared_s = _longest_shared_s((self.former, self.next))
        self.assertLessEqual(shared_s, MAX_SHARED_S)

    async def test_grants_that_waited_when_the_controller_changes(self):
        """Guards against a next controller that forgets such an owner.

        The controller that gave it up had ended when it went on.
        """
        task = self._start_controller(was_last_holder=True)
        await asyncio.sleep(0.3)
        await self._stop_former()
        await asyncio.sleep(key_controller.BATCH_WINDOW_S)
        task.cancel()
        await asyncio.wait([task])
        self._start_controller(was_last_holder=False)
        await asyncio.sleep(0.2)
        self.former.resume()
        await asyncio.sleep(1.2)
        self.assertLessEqual(self.former.holds[-1].until, clock.now())
        shared_s = _longest_shared_s((self.former, self.next))
        self.assertLessEqual(shared_s, MAX_SHARED_S)

    async def test_keys_that_are_to_come_back(self):
        """Guards against two owners while a move back has only been planned.

        The owner went on while the target that had its keys meanwhile could
        not be reached, and held them still.
        """
        self.grant_max_s = 2.0
        self.absence_s = 5.0
        self._start_controller(was_last_holder=True)
        await asyncio.sleep(0.3)
        await self._stop_former()
        self.next.is_stopped = True
        self.targets.put(self.former.entry)
        self.targets.remove(self.next.entry.target_id)
        await asyncio.sleep(0.15)
        self.former.resume()
        await asyncio.sleep(2.2)
        shared_s = _longest_shared_s((self.former, self.next))
        self.assertLessEqual(shared_s, MAX_SHARED_S)

    async def test_keys_that_come_back(self):
        """Guards against an owner whose keys are released while it owns them.

        It went on, and the keys came back from the target that had them.
        """
        self._start_controller(was_last_holder=True)
        await asyncio.sleep(0.3)
        await self._stop_former()
        self.former.resume()
        await asyncio.sleep(0.3)
        self.targets.put(self.former.entry)
        self.targets.put(self.next.entry._replace(state=model.DRAINING))
        await asyncio.sleep(0.5)
        released = self.former.releases
        await asyncio.sleep(0.6)
        self.assertEqual(self.former.releases, released)
        self.assertGreater(self.former.holds[-1].until, clock.now())
        self.assertGreater(self.former.holds[-1].fence, OWNED.fence)


if __name__ == '__main__':
    unittest.main()
