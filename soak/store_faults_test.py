import asyncio
import random
import unittest
from unittest import mock

from amaranthcrank.platform import entries
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
    async def test_entry_of_an_owner_that_is_replaced(self):
        """Guards against foreign entries that leave the targets' alone."""
        site = self._site()
        site.store = platform_store.PlatformStore()
        site.random_owner().config.target_id = 'i-book-1'
        await store_faults.write_foreign_entries(site)
        revisions = site.store.revisions('servers')
        self.assertIn('i-book-1', revisions)
        foreign = set(revisions) - {'i-book-1'}
        self.assertEqual(len(foreign), len(store_faults.foreign_entries('')))

    def test_foreign_entries(self):
        """Guards against entries that the router rightly takes for targets."""
        for name, fields in store_faults.foreign_entries('1'):
            item = {'metadata': {'name': name, 'rev': 1}, **fields}
            with self.subTest(name), self.assertRaises(entries.EntryError):
                entries.decode_target(name, item)

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
