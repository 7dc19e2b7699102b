import asyncio
import contextlib
import unittest

from amaranthcrank.router import http_client
from standins import platform_site
from standins import platform_store

KEYED = ['book', '/healthz', 100, True]
PLAIN = ['desk', '/healthz', 100, None]


class _PathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.site = platform_site.Site(self.stack)
        self.addAsyncCleanup(self.stack.aclose)
        await self.site.start_store()

    def _put(self, version, *routes):
        self.site.put_manifest(
            platform_site.manifest(version, routes, [PLAIN, KEYED])
        )

    async def _wait(self, condition, seconds=8.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)


class PlainServiceTest(_PathTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self._put(
            1,
            platform_site.route_row('read', '/read/', 'desk'),
            platform_site.route_row('post', '/post/', 'desk', 'unsafe'),
        )
        self.first = await self.site.add_target('i-1', 'desk')
        self.second = await self.site.add_target('i-2', 'desk')
        self.router = await self.site.add_router('host-1')

    async def test_response_is_passed_on(self):
        # The caller gets the status, body, id and signature of the target's
        # response.
        response = await self.site.call(self.router, '/read/1', 'a1')
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b'done')
        self.assertEqual(response.header(b'x-response-signature'), b'signed')
        ran = self.first.ran + self.second.ran
        self.assertEqual(ran, ['a1'])

    async def test_deadline_shrinks(self):
        # A target must not get a later deadline than the caller's.
        await self.site.call(self.router, '/read/1', 'a1', deadline_ms=700)
        given = self.first.deadlines_ms + self.second.deadlines_ms
        self.assertLessEqual(given[0], 700)

    async def test_no_route(self):
        response = await self.site.call(self.router, '/other/1', 'a1')
        self.assertEqual(response.status, 404)

    async def test_refusal_by_all_targets(self):
        # If all targets refuse a request, the caller gets 503 with
        # Retry-After, and nothing has run.
        self.first.refuses_requests = self.second.refuses_requests = True
        response = await self.site.call(self.router, '/post/1', 'a1', 'POST')
        self.assertEqual(response.status, 503)
        self.assertIsNotNone(response.header(b'retry-after'))
        self.assertEqual(self.first.ran + self.second.ran, [])

    async def test_503_after_a_run_is_not_passed_on(self):
        # A target that ran the request and answered 503 must not lead the
        # caller to conclude that it has not run.
        self.first.status = self.second.status = 503
        response = await self.site.call(self.router, '/post/1', 'a1', 'POST')
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.first.ran + self.second.ran), 1)

    async def test_failed_read_is_retried(self):
        self.first.status = 500
        for number in range(6):
            response = await self.site.call(
                self.router, '/read/1', f'a{number}'
            )
            self.assertEqual(response.status, 200)

    async def test_route_timeout(self):
        # A caller waits no longer than the time-out of the route.
        self._put(
            2,
            platform_site.route_row('read', '/read/', 'desk', timeout_ms=200),
        )
        self.first.work_s = self.second.work_s = 1.0
        await self._wait(
            lambda: self.router.forwarder.table.ticket.number == 2
        )
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        response = await self.site.call(self.router, '/read/1', 'a1')
        self.assertEqual(response.status, 504)
        self.assertLess(loop.time() - began_at, 0.5)

    async def test_caller_disconnects(self):
        # A repeatable request is cancelled when its caller disconnects.
        self.first.work_s = self.second.work_s = 5.0
        task = asyncio.create_task(
            self.site.call(self.router, '/read/1', 'a1')
        )
        await self._wait(lambda: self.first.ran or self.second.ran)
        task.cancel()
        await self._wait(lambda: self.router.server.active_requests == 0, 1.0)
        await self._wait(
            lambda: (
                not (
                    self.first.server.active_requests
                    + self.second.server.active_requests
                )
            ),
            1.0,
        )

    async def test_older_ticket_is_ignored(self):
        self._put(5, platform_site.route_row('read', '/new/', 'desk'))
        await self._wait(
            lambda: self.router.forwarder.table.ticket.number == 5
        )
        self._put(3, platform_site.route_row('read', '/old/', 'desk'))
        await asyncio.sleep(0.2)
        self.assertEqual(self.router.forwarder.table.ticket.number, 5)

    async def test_history_is_discarded(self):
        # A watch that was interrupted missed a ticket, and the store has
        # discarded the changes since: the list is read again.
        self.site.store.fault = platform_store.BUSY
        self.site.store.discard_history()
        self._put(7, platform_site.route_row('read', '/read/', 'desk'))
        self.site.store.discard_history()
        await asyncio.sleep(0.3)
        self.site.store.fault = ''
        await self._wait(
            lambda: self.router.forwarder.table.ticket.number == 7
        )

    async def test_store_unavailable(self):
        # Requests are served with the last known state.
        self.site.store.fault = platform_store.BUSY
        self.site.store.discard_history()
        await asyncio.sleep(0.3)
        response = await self.site.call(self.router, '/read/1', 'a1')
        self.assertEqual(response.status, 200)

    async def test_malformed_entry(self):
        # Malformed entries by another writer are ignored; the others count.
        self.site.store.put('servers', 'i-9', {'spec': 'odd'})
        self.site.store.put(
            'servers', 'i-8', {'spec': {'info': {}}, 'status': None}
        )
        await asyncio.sleep(0.2)
        response = await self.site.call(self.router, '/read/1', 'a1')
        self.assertEqual(response.status, 200)
        self.assertEqual(len(self.router.targets.by_id), 2)

    async def test_draining_target_gets_no_requests(self):
        address = self.site.address_by_id['i-1']
        entry = self.first.entry('desk', address, 'a')
        entry['status']['state'] = 'draining'
        self.site.store.put('servers', 'i-1', entry)
        await asyncio.sleep(0.7)
        for number in range(4):
            await self.site.call(self.router, '/read/1', f'a{number}')
        self.assertEqual(self.first.ran, [])

    async def test_shutdown_finishes_open_requests(self):
        self.first.work_s = self.second.work_s = 1.0
        call = asyncio.create_task(
            self.site.call(self.router, '/post/1', 'a1', 'POST')
        )
        await self._wait(lambda: self.first.ran or self.second.ran)
        self.router.stopping.set()
        self.assertFalse(self.router.is_ready)
        response = await call
        self.assertEqual(response.status, 200)
        self.assertEqual(response.header(b'connection'), b'close')
        await self._wait(self.site.tasks[0].done)
        with self.assertRaises(http_client.ConnectError):
            await http_client.connect(self.router.settings.listen_address, 0.5)


class KeyedServiceTest(_PathTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self._put(
            1, platform_site.route_row('post', '/post/', 'book', 'unsafe', 0)
        )
        self.first = await self.site.add_target('i-1', 'book', keyed=True)
        self.second = await self.site.add_target('i-2', 'book', keyed=True)
        self.router = await self.site.add_router('host-1')

    def _owners(self, key):
        targets = self.site.target_by_id.values()
        return [target for target in targets if target.holds(key)]

    async def _call(self, request_id, key):
        return await self.site.call(
            self.router, '/post/1', request_id, 'POST', key
        )

    def _is_assigned(self):
        key_map = self.router.keys.map_by_service.get('book')
        if key_map is None or not key_map.ranges:
            return False
        return not any(part.moving for part in key_map.ranges)

    async def test_each_key_has_one_owner(self):
        await self._wait(self._is_assigned)
        for key in (0, 1000, 32767, 32768, 65535):
            self.assertEqual(len(self._owners(key)), 1)
            response = await self._call(f'a{key}', key)
            self.assertEqual(response.status, 200)
            self.assertIn(f'a{key}', self._owners(key)[0].ran)

    async def test_owner_drains(self):
        # The keys of a draining owner are released, granted to another owner
        # with a higher fencing token, and then served again.
        await self._wait(self._is_assigned)
        address = self.site.address_by_id['i-1']
        entry = self.first.entry('book', address, 'a')
        entry['status']['state'] = 'draining'
        self.site.store.put('servers', 'i-1', entry)
        await self._wait(lambda: self.first.released)
        await self._wait(self._is_assigned)
        for key in (0, 65535):
            self.assertEqual(self._owners(key), [self.second])
            response = await self._call(f'a{key}', key)
            self.assertEqual(response.status, 200)
        fences = [grant.fence for grant in self.first.grants]
        newer = [grant.fence for grant in self.second.grants]
        self.assertGreater(max(newer), max(fences))

    async def test_grants_outlast_the_store(self):
        # While the store is unavailable, keys keep their owners beyond the
        # end of the controller's lease.
        await self._wait(self._is_assigned)
        self.site.store.fault = platform_store.SILENT
        self.site.store.discard_history()
        await asyncio.sleep(7.0)
        response = await self._call('a1', 5)
        self.assertEqual(response.status, 200)

    async def test_missing_key(self):
        response = await self._call('a1', None)
        self.assertEqual(response.status, 400)
