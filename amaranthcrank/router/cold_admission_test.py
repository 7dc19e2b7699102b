"""Tests of admission while targets are cold."""

import asyncio

from amaranthcrank.router import admission_checks
from amaranthcrank.router import admission_test
from amaranthcrank.router import cold_quota
from amaranthcrank.router import demand
from amaranthcrank.router import model


class ColdTest(admission_test._AdmissionTest):
    """Guards against sends to cold targets that pass by the quota.

    Also against requests that wait for them in vain.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.counted = []
        self.quota = cold_quota.ColdQuota(
            'h-1', 'a', lambda: 0.5, lambda *_, **__: None, self.counted.append
        )
        self.quota.limits_by_service = {
            'desk': cold_quota.Limits(4.1, 14.15, 3.0)
        }
        self.admission.selection.cold_quota = self.quota
        self._see({'h-1'})

    def _see(self, host_ids, count=1):
        membership = cold_quota.Membership(frozenset(host_ids), count)
        self.quota.set_membership(membership, self.now() - cold_quota.JOIN_S)

    def _put(self, *entries):
        self.targets.replace_all(entries)
        self.quota.refresh(self.targets.by_id.values(), self.now())

    def _cold(self, target_id, domain='a', cold_s=60.0):
        return admission_test._entry(target_id, domain)._replace(cold_s=cold_s)

    def _other_holder(self):
        """Return the id of a target that is assigned to another host."""
        for number in range(100):
            host = cold_quota.assigned_host(f'i-{number}/1', {'h-1', 'h-2'})
            if host == 'h-2':
                return f'i-{number}'

    async def test_sends_are_spaced(self):
        self._put(self._cold('i-1'))
        ticking = asyncio.create_task(self._tick())
        self.addCleanup(ticking.cancel)
        began_at = self.now()
        for _ in range(4):
            target = await self._acquire()
            self.admission.release(target)
        self.assertGreater(self.now() - began_at, 0.95)
        self.assertEqual(self.counted.count('cold_sends'), 4)
        self.assertGreater(self.counted.count('cold_holds'), 0)

    async def test_target_of_another_host_gets_nothing(self):
        # The request is refused at once and not after its wait.
        self._see({'h-1', 'h-2'}, 2)
        self._put(self._cold(self._other_holder()))
        began_at = self.now()
        for rank in (0, 1, 2):
            with self.assertRaises(demand.RefusedError) as caught:
                await self._acquire(rank)
            self.assertEqual(
                caught.exception.reason, admission_checks.COLD_REASON
            )
        self.assertLess(self.now() - began_at, 0.05)

    async def test_warm_targets_serve_meanwhile(self):
        # Nearer cold targets must not make requests wait for them.
        self._see({'h-1', 'h-2'}, 2)
        self._put(
            self._cold(self._other_holder()), admission_test._entry('far', 'c')
        )
        began_at = self.now()
        for _ in range(3):
            target = await self._acquire()
            self.assertEqual(target.entry.target_id, 'far')
            self.admission.release(target)
        self.assertLess(self.now() - began_at, 0.05)

    async def test_cold_targets_do_not_shorten_the_expected_wait(self):
        entries = [self._cold(f'i-{number}') for number in range(5)]
        self._put(*entries, admission_test._entry('warm'))
        wanted = demand.Demand('desk', self._priority())
        warm_only = self.admission.selection.concurrency(wanted, self.now())
        self._put(admission_test._entry('warm'))
        self.assertEqual(
            warm_only,
            self.admission.selection.concurrency(wanted, self.now()),
        )

    async def test_queue_for_a_cold_target_is_bounded(self):
        # The rate does not suffice for all: the rest is refused at once.
        self._put(self._cold('i-1'))
        began_at = self.now()
        tasks = [asyncio.create_task(self._acquire()) for _ in range(30)]
        await asyncio.sleep(0.01)
        refused = [task for task in tasks if task.done() and task.exception()]
        self.assertGreater(len(refused), 20)
        self.assertLess(len(refused), 30)
        self.assertLess(self.now() - began_at, 0.2)
        for task in tasks:
            task.cancel()

    async def test_target_that_becomes_warm_serves_waiting_requests(self):
        self._see({'h-1', 'h-2'}, 2)
        self._put(self._cold(self._other_holder(), cold_s=0.001))
        ticking = asyncio.create_task(self._tick())
        self.addCleanup(ticking.cancel)
        began_at = self.now()
        await self._acquire()
        waited_s = self.now() - began_at
        self.assertGreater(waited_s, cold_quota.COLD_MARGIN_S - 0.05)
        self.assertLess(waited_s, cold_quota.COLD_MARGIN_S + 0.2)

    async def test_owner_gets_requests_in_turns_only(self):
        # Also of the most urgent rank, which is not paced otherwise.
        self._see({'h-1'}, 20)
        self._put(self._cold('i-1'))
        key_range = model.KeyRange(0, 65535, 'i-1', 1, 1, False, '')
        self.keys.put(model.KeyMap('desk', 1, (key_range,), 1, {}))
        for rank in (0, 2):
            with self.assertRaises(demand.RefusedError):
                await self._acquire(rank, key=5)
        self.assertEqual(self.counted.count('cold_sends'), 0)
        # With few hosts, the next turn is soon.
        self._see({'h-1'}, 1)
        ticking = asyncio.create_task(self._tick())
        self.addCleanup(ticking.cancel)
        sent_at = []
        for rank in (0, 2, 0):
            self.admission.release(await self._acquire(rank, key=5))
            sent_at.append(self.now())
        interval_s = 1 / cold_quota.owner_turns_per_s(
            self.quota.limits_by_service['desk']
        )
        self.assertGreater(sent_at[2] - sent_at[0], 2 * interval_s - 0.15)

    async def test_retries_and_spillover_obey_the_quota(self):
        # A cold target of another domain is left to the hosts there.
        self._put(self._cold('far', 'b'))
        with self.assertRaises(demand.RefusedError):
            await self._acquire()
