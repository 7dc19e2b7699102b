import asyncio
import random
import unittest
from unittest import mock

from soak import store_faults
from standins import platform_store
from standins import virtual_time

MACHINES = ['host-0', 'host-1', 'i-book-1', 'i-book-2']


class StoreFaultsTest(unittest.TestCase):
    def _site(self):
        store = mock.Mock(fault='', fault_by_machine={}, stale_copy=None)
        site = mock.Mock(
            rng=random.Random(1), store=store, machines=MACHINES, copies=[1, 2]
        )
        site.controller().name = 'host-1'
        return site

    @virtual_time.in_virtual_time
    async def test_rejected_machines(self):
        """Guards against faults of single machines that reach all or stay."""
        for _ in range(20):
            site = self._site()
            task = asyncio.create_task(store_faults.reject_machines(site))
            await asyncio.sleep(store_faults.REJECTION_S[0] / 2)
            rejected = site.store.fault_by_machine
            self.assertTrue(0 < len(rejected) < len(MACHINES))
            self.assertLessEqual(
                set(rejected.values()), set(store_faults.REJECTIONS)
            )
            await task
            self.assertEqual(rejected, {})

    @virtual_time.in_virtual_time
    async def test_fault_that_replaces_another(self):
        """Guards against a fault that ends with an earlier one."""
        site = self._site()
        task = asyncio.create_task(store_faults.reject_controller(site))
        await asyncio.sleep(0.1)
        self.assertEqual(list(site.store.fault_by_machine), ['host-1'])
        site.store.fault_by_machine['host-1'] = 'another'
        await task
        self.assertEqual(site.store.fault_by_machine, {'host-1': 'another'})

    @virtual_time.in_virtual_time
    async def test_stale_reads(self):
        site = self._site()
        task = asyncio.create_task(store_faults.serve_stale_reads(site))
        await asyncio.sleep(0.1)
        self.assertIn(site.store.stale_copy, site.copies)
        await task
        self.assertIsNone(site.store.stale_copy)

    @virtual_time.in_virtual_time
    async def test_entries_that_expire_amid_an_outage(self):
        site = self._site()
        task = asyncio.create_task(store_faults.lose_store_and_entries(site))
        await asyncio.sleep(0.1)
        self.assertEqual(site.store.fault, platform_store.BUSY)
        self.assertTrue(site.entries_expire_amid_outages)
        await task
        self.assertFalse(site.entries_expire_amid_outages)
        self.assertEqual(site.store.fault, '')


if __name__ == '__main__':
    unittest.main()
