"""Tests of the store's stand-in: plays of the soak rest on it."""

import asyncio
import json
import random
import unittest

from amaranthcrank.platform import store as store_client
from amaranthcrank.router import connection_pool
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from standins import platform_site
from standins import platform_store
from standins import virtual_time

KIND = 'maps'
TIMEOUT_S = 0.5


class _Calls:
    """A store, called as by its server."""

    def __init__(self):
        self.store = platform_store.PlatformStore(random.Random(1))

    async def call(self, method, path, content=None):
        """Return the status, the body and the era of the response."""
        body = b'' if content is None else json.dumps(content).encode()
        path = platform_store.PREFIX + path
        response = await self.store.server.handler(
            http_server.Request(method.encode(), path.encode(), [], body, 0.0)
        )
        era = dict(response.headers)[platform_store.ERA_HEADER]
        content = json.loads(response.body) if response.body else None
        return response.status, content, int(era)

    async def create(self, name, spec, **metadata):
        content = {'metadata': {'name': name, **metadata}, 'spec': spec}
        _, item, _ = await self.call('POST', KIND, content)
        return item['metadata']['rev']

    async def put(self, name, spec, **metadata):
        content = {'metadata': {'name': name, **metadata}, 'spec': spec}
        status, item, _ = await self.call('PUT', f'{KIND}/{name}', content)
        return status, item

    def spec(self, name):
        item = self.store.get(KIND, name)
        return None if item is None else item['spec']


class WriteTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.calls = _Calls()
        self.store = self.calls.store

    async def test_put_that_changes_nothing(self):
        """Guards against a revision and an event without a change.

        A conditional write whose number is still valid shows no other writer
        on the platform then.
        """
        revision = await self.calls.create('a', 1)
        status, item = await self.calls.put('a', 1, rev=revision)
        self.assertEqual((status, item['metadata']['rev']), (200, revision))
        self.assertEqual(self.store.revision, revision)
        _, body, _ = await self.calls.call(
            'GET', f'{KIND}?watch={revision}&waitMs=0'
        )
        self.assertEqual(body['events'], [])

    async def test_put_of_a_missing_object(self):
        status, _ = await self.calls.put('a', 1)
        self.assertEqual(status, 404)
        self.assertIsNone(self.store.get(KIND, 'a'))

    async def test_put_with_another_revision(self):
        revision = await self.calls.create('a', 1)
        status, item = await self.calls.put('a', 2, rev=revision - 1)
        self.assertEqual((status, item['spec']), (409, 1))

    async def test_put_keeps_the_status(self):
        """Guards against writes of one part that remove the other."""
        await self.calls.create('a', 1)
        path = f'{KIND}/a/status'
        await self.calls.call('PUT', path, {'status': {'state': 'ready'}})
        await self.calls.put('a', 2)
        item = self.store.get(KIND, 'a')
        self.assertEqual((item['spec'], item['status']['state']), (2, 'ready'))

    async def test_revision_in_the_query_of_a_delete(self):
        """Guards against conditional deletes that always succeed."""
        revision = await self.calls.create('a', 1)
        status, item, _ = await self.calls.call(
            'DELETE', f'{KIND}/a?rev={revision - 1}'
        )
        self.assertEqual((status, item['spec']), (409, 1))
        status, _, _ = await self.calls.call(
            'DELETE', f'{KIND}/a?rev={revision}'
        )
        self.assertEqual(status, 200)
        self.assertIsNone(self.store.get(KIND, 'a'))

    async def test_finalizers_delay_a_delete(self):
        revision = await self.calls.create('a', 1, finalizers=['x'])
        await self.calls.call('DELETE', f'{KIND}/a')
        self.assertTrue(self.store.get(KIND, 'a')['metadata']['deleting'])
        await self.calls.put('a', 1)
        self.assertIsNone(self.store.get(KIND, 'a'))
        _, body, _ = await self.calls.call(
            'GET', f'{KIND}?watch={revision}&waitMs=0'
        )
        self.assertEqual(
            [event['tombstone'] for event in body['events']], [False, True]
        )


class ReadTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.calls = _Calls()
        self.store = self.calls.store

    async def _list(self, query=''):
        _, body, _ = await self.calls.call('GET', KIND + query)
        names = [item['metadata']['name'] for item in body['items']]
        return names, body['hasMore'], body['asOf']

    async def test_pages(self):
        """Guards against readers that are never given a second page."""
        self.store.page_objects = 2
        for name in 'abc':
            await self.calls.create(name, name)
        now = self.store.revision
        self.assertEqual(await self._list(), (['a', 'b'], True, now))
        self.assertEqual(await self._list('?after=b'), (['c'], False, now))

    async def test_long_objects(self):
        """Guards against pages of any length, and against empty ones."""
        self.store.page_bytes = 1000
        for name in 'abc':
            await self.calls.create(name, name * 600)
        names, has_more, _ = await self._list('?after=a')
        self.assertEqual((names, has_more), (['b'], True))

    async def test_stale_reads(self):
        """Guards against stale answers to reads that do not allow them."""
        await self.calls.create('a', 1)
        self.store.stale_copy = self.store.copy()
        then = self.store.revision
        await self.calls.create('b', 2)
        self.assertEqual(
            await self._list('?serializable=1'), (['a'], False, then)
        )
        self.assertEqual(
            await self._list(), (['a', 'b'], False, self.store.revision)
        )
        status, _, _ = await self.calls.call('GET', f'{KIND}/b?serializable=1')
        self.assertEqual(status, 404)


class LateWriteTest(unittest.TestCase):
    def _prepare(self):
        self.calls = _Calls()
        self.store = self.calls.store

    async def _put_late(self, **metadata):
        """Send a write that gets no response, and close its connection."""
        self.store.fault = platform_store.LATE_WRITES
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.6):
                await self.calls.put('a', 2, **metadata)
        self.store.fault = ''

    @virtual_time.in_virtual_time
    async def test_condition_that_still_holds(self):
        """Guards against writes that are always done at once, or never."""
        self._prepare()
        revision = await self.calls.create('a', 1)
        await self._put_late(rev=revision)
        self.assertEqual(self.calls.spec('a'), 1)
        await asyncio.sleep(platform_store.LATE_WRITE_S[1])
        self.assertEqual(self.calls.spec('a'), 2)

    @virtual_time.in_virtual_time
    async def test_condition_that_holds_no_longer(self):
        self._prepare()
        revision = await self.calls.create('a', 1)
        await self._put_late(rev=revision)
        await self.calls.put('a', 3, rev=revision)
        await asyncio.sleep(platform_store.LATE_WRITE_S[1])
        self.assertEqual(self.calls.spec('a'), 3)


class SlowTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_slow_store(self):
        """Guards against calls that are fast amid the fault."""
        calls = _Calls()
        calls.store.fault = platform_store.SLOW
        await calls.create('a', 1)
        taken_s = asyncio.get_running_loop().time()
        self.assertGreaterEqual(taken_s, 2 * platform_store.SLOW_S[0])
        self.assertLessEqual(taken_s, 2 * platform_store.SLOW_S[1])


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.calls = _Calls()
        self.store = self.calls.store

    async def test_restore(self):
        """Guards against restores that lose nothing or are not announced."""
        await self.calls.create('a', 1)
        copy = self.store.copy()
        await self.calls.put('a', 2)
        lost = await self.calls.create('b', 1)
        self.store.restore(copy)
        status, item, era = await self.calls.call('GET', f'{KIND}/a')
        self.assertEqual((status, item['spec']), (200, 1))
        self.assertEqual(era, platform_store.FIRST_ERA + 1)
        self.assertIsNone(self.store.get(KIND, 'b'))
        status, _, era = await self.calls.call(
            'GET', f'{KIND}?watch={lost}&waitMs=0'
        )
        self.assertEqual((status, era), (410, platform_store.FIRST_ERA + 1))
        await self.calls.create('c', 1)
        self.assertEqual(await self.calls.create('d', 1), lost)

    async def test_what_its_writers_write_again(self):
        """Guards against changes by others that a restore undoes."""
        self.store.put('config', 'main', {'spec': 1})
        self.store.put('config', 'unchanged', {'spec': 1})
        self.store.put('config', 'removed', {'spec': 1})
        copy = self.store.copy()
        self.store.put('config', 'main', {'spec': 2})
        self.store.remove('config', 'removed')
        unchanged = self.store.get('config', 'unchanged')
        self.store.restore(copy, ['config'])
        self.assertEqual(self.store.get('config', 'main')['spec'], 2)
        self.assertIsNone(self.store.get('config', 'removed'))
        self.assertEqual(self.store.get('config', 'unchanged'), unchanged)

    async def test_waiting_watch(self):
        await self.calls.create('a', 1)
        copy = self.store.copy()
        now = await self.calls.create('b', 1)
        watch = asyncio.create_task(
            self.calls.call('GET', f'{KIND}?watch={now}&waitMs=5000')
        )
        await asyncio.sleep(0)
        self.store.restore(copy)
        status, _, _ = await watch
        self.assertEqual(status, 410)


class MachineFaultTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = platform_store.PlatformStore(random.Random(1))
        self.addCleanup(self.store.close)
        loop = asyncio.get_running_loop()
        self.pool = connection_pool.Pool(loop.time)
        self.addCleanup(self.pool.close)

    async def _connect(self, machine):
        address = model.Address('127.0.0.1', platform_site.free_port())
        await self.store.listen(address, machine)
        return store_client.Client(address, self.pool)

    async def test_one_machine(self):
        """Guards against faults that reach all machines, or none."""
        one = await self._connect('host-1')
        other = await self._connect('host-2')
        anyone = await self._connect('')
        await one.create(KIND, 'a', 1, TIMEOUT_S)
        for fault in (
            platform_store.BUSY,
            platform_store.THROTTLED,
            platform_store.RESETTING,
            platform_store.SILENT,
        ):
            with self.subTest(fault):
                self.store.fault_by_machine['host-1'] = fault
                with self.assertRaises(store_client.StoreError):
                    await one.get(KIND, 'a', TIMEOUT_S)
                for client in (other, anyone):
                    self.assertTrue(await client.get(KIND, 'a', TIMEOUT_S))
                del self.store.fault_by_machine['host-1']
                self.assertTrue(await one.get(KIND, 'a', TIMEOUT_S))


if __name__ == '__main__':
    unittest.main()
