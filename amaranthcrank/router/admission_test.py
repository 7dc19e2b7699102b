import asyncio
import collections
import random
import unittest

from amaranthcrank.router import admission
from amaranthcrank.router import demand
from amaranthcrank.router import directory
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import pacing
from amaranthcrank.router import reader_election
from amaranthcrank.router import reported_load
from amaranthcrank.router import sender
from amaranthcrank.router import service_times
from amaranthcrank.router import shutdown_limits
from amaranthcrank.router import store_sync
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_feed
from amaranthcrank.router import target_selection
from amaranthcrank.router import wait_order
from standins import virtual_time


def _entry(target_id, domain='a', service='desk', slots=3):
    return model.TargetEntry(
        target_id,
        service,
        model.Address('10.0.0.1', 1),
        domain,
        slots,
        model.READY,
        0.0,
        1,
    )


EVACUATION_S = 5.0
# Round-trip time over a congested link.
BUSY_LINK_S = 0.4
TURN_SEEDS = 100


class _AdmissionTest(unittest.IsolatedAsyncioTestCase):
    seed = 5

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        rng = random.Random(self.seed)
        self.now = loop.time
        self.targets = directory.Directory(
            loop.time, 2.0, lambda *_, **__: None, EVACUATION_S
        )
        self.keys = key_table.KeyTable()
        self.times = service_times.ServiceTimes()
        self.admission = admission.Admission(
            self.targets,
            self.keys,
            target_choice.Locality('a', 'n', {'a': 'n', 'b': 'n', 'c': 's'}),
            self.times,
            loop.time,
            rng.random,
        )

    def _priority(self, rank=1, goal_s=0.5, deadline_s=2.0):
        now = self.now()
        return wait_order.Priority(rank, now + goal_s, now + deadline_s)

    async def _acquire(
        self,
        rank=1,
        key=None,
        goal_s=0.5,
        deadline_s=2.0,
        regions=None,
        route=None,
        excluded=frozenset(),
    ):
        return await self.admission.acquire(
            demand.Demand(
                'desk',
                self._priority(rank, goal_s, deadline_s),
                key,
                excluded,
                regions,
                route,
            )
        )

    async def _tick(self):
        while True:
            await asyncio.sleep(0.01)
            self.admission.assign_all_waiting()


class UnkeyedTest(_AdmissionTest):
    async def test_slots_are_not_exceeded(self):
        # A burst at one host must not fill the targets' own queues.
        self.targets.replace_all([_entry('i-1'), _entry('i-2')])
        tasks = [asyncio.create_task(self._acquire()) for _ in range(20)]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        counts = collections.Counter(
            task.result().entry.target_id for task in tasks if task.done()
        )
        self.assertEqual(counts, {'i-1': 3, 'i-2': 3})
        for task in tasks:
            task.cancel()

    async def test_urgent_goes_first(self):
        # An urgent request arrives while many bulk requests wait.
        self.targets.replace_all([_entry('i-1', slots=1)])
        held = await self._acquire()
        bulk = [
            asyncio.create_task(self._acquire(2, goal_s=1.0)) for _ in range(5)
        ]
        await asyncio.sleep(0.01)
        urgent = asyncio.create_task(self._acquire(0))
        await asyncio.sleep(0.01)
        self.admission.release(held)
        await asyncio.sleep(0.01)
        self.assertTrue(urgent.done())
        self.assertFalse(any(task.done() for task in bulk))
        for task in bulk:
            task.cancel()

    async def test_on_time_goes_before_late(self):
        # Under overload, a FIFO queue would make all requests late.
        self.targets.replace_all([_entry('i-1', slots=1)])
        held = await self._acquire()
        late = asyncio.create_task(self._acquire(goal_s=0.01))
        await asyncio.sleep(0.01)
        fresh = asyncio.create_task(self._acquire(goal_s=0.6))
        await asyncio.sleep(0.01)
        self.admission.release(held)
        await asyncio.sleep(0.01)
        self.assertTrue(fresh.done())
        self.assertFalse(late.done())
        late.cancel()

    async def test_hopeless_wait_is_refused_at_once(self):
        # Under overload, a request that cannot be served in time is refused
        # instead of being queued.
        self.targets.replace_all([_entry('i-1', slots=1)])
        self.times.record('desk', 'r', 0.4)
        await self._acquire()
        waiting = [asyncio.create_task(self._acquire()) for _ in range(6)]
        await asyncio.sleep(0.01)
        began_at = self.now()
        with self.assertRaises(demand.RefusedError):
            await self._acquire()
        self.assertLess(self.now() - began_at, 0.05)
        for task in waiting:
            task.cancel()

    async def test_cancelled_wait_is_removed_from_the_queue(self):
        self.targets.replace_all([_entry('i-1', slots=1)])
        held = await self._acquire()
        waiting = asyncio.create_task(self._acquire())
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.sleep(0.01)
        self.assertEqual(self.admission.total_waiting(), 0)
        self.admission.release(held)
        self.assertEqual(held.in_flight, 0)

    async def test_near_targets_first(self):
        # Under light load, requests stay in their failure domain.
        self.targets.replace_all(
            [_entry('far', 'c'), _entry('next', 'b'), _entry('near', 'a')]
        )
        target = await self._acquire()
        self.assertEqual(target.entry.target_id, 'near')

    async def test_full_domain_spills_over_after_a_wait(self):
        # Callers move to one failure domain, so that its targets are full.
        self.targets.replace_all(
            [_entry('near', 'a', slots=1), _entry('next', 'b', slots=1)]
        )
        ticking = asyncio.create_task(self._tick())
        self.addCleanup(ticking.cancel)
        await self._acquire()
        began_at = self.now()
        target = await self._acquire()
        self.assertEqual(target.entry.target_id, 'next')
        self.assertGreater(self.now() - began_at, 0.05)

    async def test_domain_without_targets_uses_others_at_once(self):
        # All targets of the own failure domain are lost.
        self.targets.replace_all([_entry('far', 'c')])
        began_at = self.now()
        target = await self._acquire()
        self.assertEqual(target.entry.target_id, 'far')
        self.assertLess(self.now() - began_at, 0.05)

    async def test_load_of_other_hosts_counts(self):
        # Connections are distributed unevenly over the hosts of a failure
        # domain.
        self.targets.replace_all([_entry('i-1'), _entry('i-2')])
        self.targets.by_id['i-1'].in_flight_elsewhere = 3
        for _ in range(3):
            target = await self._acquire()
            self.assertEqual(target.entry.target_id, 'i-2')

    async def test_failing_target_is_avoided(self):
        # A target that rejects part of its requests at once has few in flight
        # and so looks idle.
        self.targets.replace_all([_entry('failing'), _entry('healthy')])
        failing = self.targets.by_id['failing']
        for _ in range(4):
            failing.record_failure(self.now())
        picked = [await self._acquire() for _ in range(2)]
        names = {target.entry.target_id for target in picked}
        self.assertEqual(names, {'healthy'})

    async def test_remote_target_that_reports_no_free_slot_gets_nothing(self):
        # No datagram tells this host of the load in another region.
        self.targets.replace_all([_entry('far', 'c'), _entry('next', 'c')])
        self.times.record('desk', 'r', 0.4)
        fields = reported_load.LoadFields(3, 1, 3, None)
        self.targets.record_load('far/1', fields)
        ticking = asyncio.create_task(self._tick())
        self.addCleanup(ticking.cancel)
        began_at = self.now()
        limit = target_choice.per_host_limit(
            3, target_selection.HOSTS_PER_PREFERRED_TARGET
        )
        for _ in range(limit):
            target = await self._acquire()
            self.assertEqual(target.entry.target_id, 'next')
        target = await self._acquire(goal_s=1.5)
        self.assertEqual(target.entry.target_id, 'far')
        self.assertGreater(self.now() - began_at, 0.19)

    async def test_slow_target_gets_less(self):
        # One target takes five times as long as the other.
        self.targets.replace_all([_entry('slow'), _entry('healthy')])
        self.targets.by_id['slow'].slowness = 5.0
        picked = [await self._acquire() for _ in range(3)]
        names = {target.entry.target_id for target in picked}
        self.assertEqual(names, {'healthy'})


class PreferredTargetsTest(_AdmissionTest):
    """Hosts of all regions send to the targets of one region.

    Hosts of different failure domains do not tell each other their load.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.targets.replace_all(
            [_entry(f'i-{number}', 'c') for number in range(60)]
        )
        self._report(self.targets, 'i-0')

    def _report(self, targets, target_id, running=1):
        fields = reported_load.LoadFields(running, 0, 3, None)
        targets.record_load(f'{target_id}/1', fields)

    async def test_host_uses_few_targets(self):
        """Guards against load reports that are too old when they are used.

        A host that spreads its requests over all targets has no recent report
        of any, and opens a connection to each.
        """
        used = set()
        for _ in range(100):
            targets = [await self._acquire() for _ in range(3)]
            for target in targets:
                used.add(target.entry.target_id)
                self._report(self.targets, target.entry.target_id)
                self.admission.release(target)
        self.assertLessEqual(len(used), 5)

    async def test_full_targets_are_replaced(self):
        """Guards against requests that wait for a preferred target."""
        used = set()
        for _ in range(20):
            target = await self._acquire()
            self._report(self.targets, target.entry.target_id, running=3)
            used.add(target.entry.target_id)
        self.assertEqual(len(used), 20)

    async def test_hosts_prefer_different_targets(self):
        """Guards against hosts that all send to the same few targets."""
        chosen = collections.Counter()
        for seed in range(40):
            selection = target_selection.TargetSelection(
                self.targets,
                self.keys,
                target_choice.Locality('a', 'n', {'a': 'n', 'c': 's'}),
                random.Random(seed).random,
            )
            target = selection.choose(
                target_selection.SelectionPass(0.1, self.now(), {}),
                demand.Demand('desk', self._priority()),
                self.now(),
            )
            chosen[target.entry.target_id] += 1
        self.assertLessEqual(max(chosen.values()), 5)


class EvacuationTest(_AdmissionTest):
    """A failure domain is evacuated while requests wait and arrive."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.targets.replace_all([_entry('i-1', slots=1), _entry('i-2', 'b')])

    async def test_new_requests_go_to_other_domains(self):
        self.targets.evacuate(['a'], 0.0)
        began_at = self.now()
        target = await self._acquire()
        self.assertEqual(target.entry.target_id, 'i-2')
        self.assertLess(self.now() - began_at, 0.05)

    async def test_waiting_requests_are_reassigned(self):
        """Guards against requests that wait for a target that they lost."""
        held = await self._acquire()
        self.assertEqual(held.entry.target_id, 'i-1')
        waiting = asyncio.create_task(self._acquire())
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self.targets.evacuate(['a'], 0.0)
        await asyncio.sleep(0.01)
        self.assertEqual(waiting.result().entry.target_id, 'i-2')

    async def test_all_domains(self):
        """Guards against waits that end as refusals."""
        held = await self._acquire()
        waiting = asyncio.create_task(self._acquire())
        await asyncio.sleep(0.01)
        self.targets.evacuate(['a', 'b'], 0.0)
        await asyncio.sleep(0.01)
        self.assertIsInstance(waiting.exception(), demand.RefusedError)
        began_at = self.now()
        with self.assertRaises(demand.RefusedError):
            await self._acquire()
        self.assertLess(self.now() - began_at, 0.05)
        self.admission.release(held)

    async def test_restored_domain(self):
        self.targets.evacuate(['a', 'b'], 0.0)
        self.targets.evacuate(['b'], 0.0)
        target = await self._acquire()
        self.assertEqual(target.entry.target_id, 'i-1')

    async def test_regions_and_evacuations(self):
        """Guards against a request that leaves its region to be served."""
        self.targets.replace_all([_entry('i-1'), _entry('far', 'c')])
        self.targets.evacuate(['c'], 0.0)
        with self.assertRaises(demand.RefusedError):
            await self._acquire(regions=frozenset({'s'}))
        self.assertEqual(self.targets.by_id['i-1'].in_flight, 0)


class RegionTest(_AdmissionTest):
    """A request must not reach a target outside the regions of its route."""

    NORTH = frozenset({'n'})
    SOUTH = frozenset({'s'})

    async def _refused_at_once(self, **fields):
        began_at = self.now()
        with self.assertRaises(demand.RefusedError):
            await self._acquire(**fields)
        self.assertLess(self.now() - began_at, 0.05)

    async def test_far_region_is_used_at_once(self):
        """Guards against a nearer target of another region."""
        self.targets.replace_all(
            [_entry('near'), _entry('next', 'b'), _entry('far', 'c')]
        )
        began_at = self.now()
        for _ in range(3):
            target = await self._acquire(regions=self.SOUTH)
            self.assertEqual(target.entry.target_id, 'far')
            self.admission.release(target)
        self.assertLess(self.now() - began_at, 0.05)

    async def test_no_spillover_out_of_the_region(self):
        """Guards against spillover while the allowed targets are full."""
        self.targets.replace_all([_entry('near', slots=1), _entry('far', 'c')])
        ticking = asyncio.create_task(self._tick())
        self.addCleanup(ticking.cancel)
        await self._acquire(regions=self.NORTH)
        with self.assertRaises(demand.RefusedError):
            await self._acquire(regions=self.NORTH, goal_s=0.1, deadline_s=0.6)
        self.assertEqual(self.targets.by_id['far'].in_flight, 0)

    async def test_retry_stays_in_the_region(self):
        self.targets.replace_all([_entry('near'), _entry('far', 'c')])
        await self._refused_at_once(
            regions=self.NORTH, excluded=frozenset({'near'})
        )

    async def test_no_target_in_the_region(self):
        self.targets.replace_all([_entry('near')])
        await self._refused_at_once(regions=self.SOUTH)
        await self._refused_at_once(regions=frozenset())

    async def test_unknown_domain_is_in_no_region(self):
        self.targets.replace_all([_entry('lost', 'z')])
        await self._refused_at_once(regions=self.NORTH)

    async def test_allowed_targets_are_draining(self):
        self.targets.replace_all(
            [_entry('far', 'c')._replace(state=model.DRAINING), _entry('near')]
        )
        await self._refused_at_once(regions=self.SOUTH)

    async def test_unreachable_region(self):
        """Guards against waits for a region behind a broken link."""
        self.targets.replace_all([_entry('near'), _entry('far', 'c')])
        far = self.targets.by_id['far']
        far.record_unreachable(self.now(), silent=True)
        await self._refused_at_once(regions=self.SOUTH)

    async def test_last_target_leaves_while_requests_wait(self):
        self.targets.replace_all([_entry('near'), _entry('far', 'c', slots=1)])
        await self._acquire(regions=self.SOUTH)
        waiting = asyncio.create_task(self._acquire(regions=self.SOUTH))
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self.targets.remove('far')
        await asyncio.sleep(0.01)
        self.assertIsInstance(waiting.exception(), demand.RefusedError)

    async def test_new_ticket_limits_waiting_requests(self):
        """Guards against requests sent to regions that are forbidden now."""
        route = _route(self.NORTH)
        self.targets.replace_all(
            [_entry('near', slots=1), _entry('far', 'c', slots=1)]
        )
        held = [await self._acquire(regions=r) for r in (None, self.SOUTH)]
        tasks = [
            asyncio.create_task(
                self._acquire(regions=self.NORTH, route=route)
            ),
            asyncio.create_task(self._acquire(route=_route(None, 'free'))),
        ]
        await asyncio.sleep(0.01)
        self.admission.limit_regions(lambda _: self.SOUTH)
        await asyncio.sleep(0.01)
        # The first request may use no region at all now.
        self.assertIsInstance(tasks[0].exception(), demand.RefusedError)
        self.assertFalse(tasks[1].done())
        for target in held:
            self.admission.release(target)
        await asyncio.sleep(0.01)
        self.assertEqual(tasks[1].result().entry.target_id, 'far')

    async def test_full_region_does_not_refuse_other_requests(self):
        """Guards against refusals while other regions have free slots.

        Many requests wait for a region that is full.
        """
        self.targets.replace_all([_entry('near'), _entry('far', 'c', slots=1)])
        self.times.record('desk', 'r', 0.4)
        await self._acquire(regions=self.SOUTH)
        tasks = [
            asyncio.create_task(
                self._acquire(
                    0, regions=self.SOUTH, goal_s=8.0, deadline_s=9.0
                )
            )
            for _ in range(12)
        ]
        await asyncio.sleep(0.01)
        self.assertEqual(self.admission.total_waiting(), 12)
        for _ in range(3):
            target = await self._acquire(goal_s=0.3, deadline_s=0.7)
            self.assertEqual(target.entry.target_id, 'near')
        for task in tasks:
            task.cancel()


def _route(regions, name='r'):
    return model.Route(
        name, 'a.example', '/', True, 1.0, 0.5, 1, 2, (), regions
    )


class TryAcquireTest(_AdmissionTest):
    """Requests that take a free slot or none, such as hedges."""

    def _try(self, excluded=(), regions=None):
        return self.admission.try_acquire(
            demand.Demand(
                'desk', self._priority(), None, frozenset(excluded), regions
            )
        )

    async def test_free_slot_is_taken(self):
        self.targets.replace_all([_entry('i-1')])
        target = self._try()
        self.assertEqual(target.in_flight, 1)
        self.admission.release(target)
        self.assertEqual(target.in_flight, 0)

    async def test_full_targets(self):
        # A hedge must not go into the targets' own queues.
        self.targets.replace_all([_entry('i-1', slots=1)])
        await self._acquire()
        self.assertIsNone(self._try())
        self.assertEqual(self.targets.by_id['i-1'].in_flight, 1)

    async def test_waiting_requests_go_first(self):
        # A request that waits for nearer capacity must not be overtaken.
        self.targets.replace_all(
            [_entry('near', slots=1), _entry('far', 'c', slots=3)]
        )
        await self._acquire()
        waiting = asyncio.create_task(self._acquire())
        await asyncio.sleep(0.001)
        self.assertEqual(self.admission.waiting('desk'), 1)
        self.assertIsNone(self._try(['near']))
        waiting.cancel()

    async def test_filters_apply(self):
        # A hedge must not reach the target of the first attempt, another
        # region than the allowed ones, or a draining target.
        draining = _entry('i-3')._replace(state=model.DRAINING)
        self.targets.replace_all([_entry('i-1'), _entry('i-2', 'c'), draining])
        self.assertIsNone(self._try(['i-1', 'i-2']))
        self.assertIsNone(self._try(['i-1'], frozenset(['n'])))
        self.assertIsNone(self._try(regions=frozenset()))
        target = self._try(regions=frozenset(['s']))
        self.assertEqual(target.entry.target_id, 'i-2')

    async def test_paused_targets(self):
        # A target that does not respond gets no hedge.
        self.targets.replace_all([_entry('i-1')])
        self.targets.by_id['i-1'].record_unreachable(self.now())
        self.assertIsNone(self._try())

    async def test_shutdown(self):
        # A request whose response would come after the end is not sent.
        self.targets.replace_all([_entry('i-1')])
        now = self.now()
        self.admission.begin_shutdown(
            shutdown_limits.ShutdownLimits(now, now + 0.1)
        )
        self.assertIsNone(self._try())


class KeyedTest(_AdmissionTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.targets.replace_all([_entry('i-1')])
        self._put_map(moving=False, revision=1)
        self.owner = self.targets.by_id['i-1']

    def _put_map(self, moving, revision):
        part = model.KeyRange(0, 65535, 'i-1', 1, 1, moving, '')
        self.keys.put(model.KeyMap('desk', 1, (part,), revision, {}))

    async def test_moving_keys_wait(self):
        # No request is sent while two targets might hold its key.
        self._put_map(moving=True, revision=2)
        task = asyncio.create_task(self._acquire(key=5))
        await asyncio.sleep(0.02)
        self.assertFalse(task.done())
        self._put_map(moving=False, revision=3)
        self.admission.assign_waiting('desk')
        await asyncio.sleep(0.01)
        self.assertIs(task.result(), self.owner)

    async def test_owner_outside_the_regions(self):
        """Guards against keyed requests sent to another region's owner."""
        for rank in (0, 1):
            began_at = self.now()
            with self.assertRaises(demand.RefusedError):
                await self._acquire(rank, key=5, regions=frozenset({'s'}))
            self.assertLess(self.now() - began_at, 0.05)
        self.assertEqual(self.owner.in_flight, 0)
        target = await self._acquire(key=5, regions=frozenset({'n'}))
        self.assertIs(target, self.owner)

    async def test_selection_itself_checks_the_regions(self):
        """Guards against a path to the selection without a check before."""
        selection_pass = target_selection.SelectionPass(0.1, self.now(), {})
        wanted = demand.Demand('desk', self._priority(), 5)
        for regions, owner in (
            (frozenset({'s'}), None),
            (frozenset(), None),
            (frozenset({'n'}), self.owner),
        ):
            chosen = self.admission.selection.choose(
                selection_pass, wanted._replace(regions=regions), self.now()
            )
            self.assertIs(chosen, owner)

    async def test_keys_move_out_of_the_regions(self):
        """Guards against requests that waited for a move to another region."""
        self.targets.replace_all([_entry('i-1'), _entry('i-2', 'c')])
        self._put_map(moving=True, revision=2)
        waiting = asyncio.create_task(
            self._acquire(key=5, regions=frozenset({'s'}))
        )
        await asyncio.sleep(0.01)
        self.assertFalse(waiting.done())
        self._put_map(moving=False, revision=3)
        self.admission.assign_waiting('desk')
        await asyncio.sleep(0.01)
        self.assertIsInstance(waiting.exception(), demand.RefusedError)

    async def test_urgent_overtakes_bulk_of_other_hosts(self):
        # Bulk requests of all hosts fill an owner. Urgent requests may use the
        # owner's own queue.
        self.owner.in_flight_elsewhere = 3
        self.owner.waiting_elsewhere = 10
        task = asyncio.create_task(self._acquire(2, key=5))
        await asyncio.sleep(0.01)
        self.assertFalse(task.done())
        self.assertIs(await self._acquire(0, key=5), self.owner)
        task.cancel()

    def test_bulk_waits_for_its_turn_at_a_contended_owner(self):
        """Guards against a host that takes each free slot, or gets none.

        Nine hosts with the same demand contend for an owner with three slots.
        A host gets its turn within the time that all of them need. The time
        is virtual, as a stall of the machine is no wait for a turn.
        """
        turn_s = 0.02 / 3 * 17 / pacing.RATE_HEADROOM
        for seed in range(TURN_SEEDS):
            with self.subTest(seed=seed):
                self.seed = seed
                waits = virtual_time.run(self._take_turns())
                self.assertGreater(sum(waits), 12 * turn_s * 0.5)
                self.assertLess(max(waits), 2 * turn_s + 0.05)

    async def _take_turns(self):
        """Return the waits for twelve turns, in the time of a new loop."""
        await self.asyncSetUp()
        self.times.record('desk', 'r', 0.02)
        self.owner.waiting_elsewhere = 16
        ticking = asyncio.create_task(self._tick())
        waits = []
        for _ in range(12):
            began_at = self.now()
            self.admission.release(await self._acquire(2, key=5))
            waits.append(self.now() - began_at)
        ticking.cancel()
        return waits

    async def test_unreachable_owner_is_refused_at_once(self):
        # This host cannot reach an owner that other hosts can reach.
        self.owner.record_unreachable(self.now(), silent=True)
        with self.assertRaises(demand.RefusedError):
            await self._acquire(key=5)

    async def test_queue_of_a_busy_key_is_bounded(self):
        # One key gets more requests than its owner can serve. Requests that
        # cannot be served in time are refused at once.
        self.owner.in_flight_elsewhere = 3
        self.owner.waiting_elsewhere = 40
        self.times.record('desk', 'r', 0.3)
        began_at = self.now()
        with self.assertRaises(demand.RefusedError):
            await self._acquire(2, key=5)
        self.assertLess(self.now() - began_at, 0.05)

    def test_requests_reach_a_draining_owner_in_time(self):
        """Guards against requests that reach an owner after its drain time.

        The host is notified late of the drain, connecting takes time, and the
        link to the target may be congested.
        """
        for drain_s in (2.0, 3.0):
            used_s = drain_s * target_feed.BATCH_DRAIN_SHARE
            used_s += drain_s * target_selection.DRAINING_SEND_SHARE
            used_s += sender.CONNECT_TIMEOUT_S
            self.assertLessEqual(used_s + BUSY_LINK_S, drain_s)

    def test_requests_reach_an_evacuated_owner_in_time(self):
        """Guards against requests that arrive after an evacuation's time.

        The reader of the domain is lost when the evacuation is acknowledged,
        and the next one reads the store after its time-out.
        """
        used_s = reader_election.MAX_READER_TIMEOUT_S
        used_s += store_sync.ELECTION_CHECK_S + BUSY_LINK_S
        used_s += EVACUATION_S * target_selection.EVACUATED_SEND_SHARE
        used_s += sender.CONNECT_TIMEOUT_S
        self.assertLessEqual(used_s + BUSY_LINK_S, EVACUATION_S)

    async def test_owner_in_an_evacuated_domain(self):
        """Guards against requests that arrive after an evacuation's time.

        Its keys have not moved yet, so the owner is used for a part of it.
        """
        self.targets.put(_entry('i-2', 'b'))
        self.targets.evacuate(['a'], 0.0)
        self.assertIs(await self._acquire(key=5), self.owner)
        send_window_s = EVACUATION_S * target_selection.EVACUATED_SEND_SHARE
        self.targets.evacuate([], 0.0)
        self.targets.evacuate(['a'], send_window_s + 0.1)
        task = asyncio.create_task(self._acquire(key=5))
        await asyncio.sleep(0.02)
        # The keys may still move to the other target.
        self.assertFalse(task.done())
        task.cancel()

    async def test_owner_while_evacuations_are_unknown(self):
        """Guards against keyed requests of a host that has just started."""
        self.targets.awaits_evacuations = True
        task = asyncio.create_task(self._acquire(key=5))
        await asyncio.sleep(0.02)
        self.assertFalse(task.done())
        self.targets.evacuate([], 0.0)
        await asyncio.sleep(0.01)
        self.assertIs(task.result(), self.owner)

    async def test_owner_without_a_successor(self):
        """Guards against waits that end as refusals."""
        self.targets.evacuate(['a'], 0.0)
        self.assertIs(await self._acquire(key=5), self.owner)
        self.targets.evacuate([], 0.0)
        self.targets.evacuate(['a'], EVACUATION_S)
        began_at = self.now()
        with self.assertRaises(demand.RefusedError):
            await self._acquire(key=5)
        self.assertLess(self.now() - began_at, 0.05)

    async def test_owner_past_its_drain_time_gets_nothing(self):
        send_window_s = (
            target_selection.DRAINING_SEND_SHARE * self.targets.drain_s
        )
        self.owner.draining_since = self.now() - send_window_s - 0.1
        task = asyncio.create_task(self._acquire(key=5))
        await asyncio.sleep(0.02)
        self.assertFalse(task.done())
        task.cancel()
