"""Tests of who goes where while requests wait for one region. No network.

Load: requests that are limited to a region compete for its targets with
others, which the targets of the other region could serve as well.
"""

import asyncio
import unittest

from amaranthcrank.router import admission
from amaranthcrank.router import demand
from amaranthcrank.router import directory
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import service_times
from amaranthcrank.router import target_choice
from amaranthcrank.router import wait_order
from standins import virtual_time

NORTH = frozenset(('n',))


def _entry(target_id, domain):
    return model.TargetEntry(
        target_id,
        'desk',
        model.Address('10.0.0.1', 1),
        domain,
        1,
        model.READY,
        0.0,
        1,
    )


class _Host:
    def __init__(self):
        loop = asyncio.get_running_loop()
        self.targets = directory.Directory(
            loop.time, 2.0, lambda *_, **__: None
        )
        self.admission = admission.Admission(
            self.targets,
            key_table.KeyTable(),
            target_choice.Locality('a', 'n', {'a': 'n', 'c': 's'}),
            service_times.ServiceTimes(),
            loop.time,
            lambda: 0.5,
        )
        self.targets.replace_all([_entry('north', 'a'), _entry('south', 'c')])

    def request(self, rank, regions=None):
        now = asyncio.get_running_loop().time()
        priority = wait_order.Priority(rank, now + 1.0, now + 5.0)
        return asyncio.create_task(
            self.admission.acquire(
                demand.Demand('desk', priority, regions=regions)
            )
        )


class ContendedRegionTest(unittest.TestCase):
    def test_urgent_requests_leave_the_region_to_limited_ones(self):
        # Urgent requests that any region may serve held all slots of the one
        # region that may serve the others.
        virtual_time.run(self._play_contention())

    async def _play_contention(self):
        host = _Host()
        held = await host.request(0)
        self.assertEqual(held.entry.target_id, 'north')
        limited = host.request(1, NORTH)
        await asyncio.sleep(0.05)
        urgent = host.request(0)
        await asyncio.sleep(0.01)
        self.assertEqual(urgent.result().entry.target_id, 'south')
        host.admission.release(held)
        await asyncio.sleep(0.01)
        self.assertEqual(limited.result().entry.target_id, 'north')

    def test_region_is_kept_without_contention(self):
        # Bytes between regions are billed.
        virtual_time.run(self._play_calm())

    async def _play_calm(self):
        host = _Host()
        held = await host.request(0)
        waiting = host.request(0)
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        host.admission.release(held)
        await asyncio.sleep(0.01)
        self.assertEqual(waiting.result().entry.target_id, 'north')

    def test_changes_of_targets_are_seen_at_once(self):
        # The lists of allowed targets are kept between assignments.
        virtual_time.run(self._play_change())

    async def _play_change(self):
        host = _Host()
        held = await host.request(0, NORTH)
        host.admission.release(held)
        host.targets.put(_entry('north', 'a')._replace(state=model.DRAINING))
        with self.assertRaises(demand.RefusedError):
            await host.request(0, NORTH)
