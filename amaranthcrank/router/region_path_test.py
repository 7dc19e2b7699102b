"""Tests of routes that are limited to regions, with whole routers.

Load: requests and retries at a router of region north, whose routes change,
with targets in both regions.
"""

import asyncio
import contextlib
import unittest

from standins import platform_site

SERVICES = [['desk', '/healthz', 100, None], ['book', '/healthz', 100, True]]
KEYS = (0, 1000, 32767, 32768, 65535)


class RegionPathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.site = platform_site.Site(self.stack)
        self.addAsyncCleanup(self.stack.aclose)
        await self.site.start_store()

    def _put(self, version, *regions, service='desk', max_attempts=2):
        routes = [
            platform_site.route_row(
                f'r{number}',
                f'/r{number}/',
                service,
                max_attempts=max_attempts,
                allowed_regions=limit,
            )
            for number, limit in enumerate(regions)
        ]
        self.site.put_manifest(
            platform_site.manifest(version, routes, SERVICES)
        )

    async def _start(self, keyed=False):
        service = 'book' if keyed else 'desk'
        self.near = await self.site.add_target('i-1', service, keyed)
        self.far = await self.site.add_target('i-2', service, keyed, 'c')
        self.router = await self.site.add_router('host-1')

    async def _wait(self, condition, seconds=8.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def _statuses(self, path, count, key=None):
        statuses = []
        for number in range(count):
            response = await self.site.call(
                self.router, path, f'a{number}', key=key
            )
            statuses.append(response.status)
            if response.status == 503:
                self.assertIsNotNone(response.header(b'retry-after'))
        return statuses

    async def test_all_requests_stay_in_the_region(self):
        self._put(1, ['south'], None)
        await self._start()
        self.assertEqual(await self._statuses('/r0/x', 5), [200] * 5)
        self.assertEqual(self.near.ran, [])

    async def test_retry_stays_in_the_region(self):
        """Guards against a retry at a target of another region."""
        self._put(1, ['south'], max_attempts=3)
        await self._start()
        self.far.status = 500
        statuses = await self._statuses('/r0/x', 5)
        self.assertNotIn(200, statuses)
        self.assertEqual(self.near.ran, [])

    async def test_region_without_targets(self):
        """Guards against waits that end as refusals."""
        self._put(1, ['west'])
        await self._start()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self.assertEqual(await self._statuses('/r0/x', 3), [503] * 3)
        self.assertLess(loop.time() - began_at, 1.0)
        self.assertEqual(self.near.ran + self.far.ran, [])

    async def test_new_ticket_while_a_retry_is_due(self):
        """Guards against a retry in a region that is forbidden meanwhile."""
        self._put(1, ['north'], max_attempts=3)
        await self._start()
        second = await self.site.add_target('i-3', 'desk')
        await self._wait(lambda: 'i-3' in self.router.targets.by_id)
        for target in (self.near, second):
            target.status = 500
            target.work_s = 0.5
        call = asyncio.create_task(self._statuses('/r0/x', 1))
        await self._wait(lambda: self.near.ran or second.ran)
        self._put(2, ['south'], max_attempts=3)
        await self._wait(
            lambda: self.router.forwarder.table.ticket.number == 2
        )
        self.assertNotEqual(await call, [200])
        self.assertEqual(len(self.near.ran + second.ran), 1)
        self.assertEqual(self.far.ran, [])

    async def test_keyed_service(self):
        """Guards against keys that are owned outside the routes' regions."""
        self._put(1, ['south'], service='book')
        await self._start(keyed=True)
        await self._wait(lambda: all(map(self.far.holds, KEYS)))
        for key in KEYS:
            self.assertEqual(await self._statuses('/r0/x', 1, key), [200])
        self.assertEqual(self.near.ran, [])

    async def test_keyed_routes_with_different_regions(self):
        """Guards against requests sent to an owner in another region."""
        self._put(1, ['south'], ['north'], service='book')
        await self._start(keyed=True)
        await self._wait(
            lambda: all(
                self.near.holds(key) or self.far.holds(key) for key in KEYS
            )
        )
        for key in KEYS:
            for path, owner in (('/r0/x', self.far), ('/r1/x', self.near)):
                expected = 200 if owner.holds(key) else 503
                self.assertEqual(
                    await self._statuses(path, 1, key), [expected]
                )


if __name__ == '__main__':
    unittest.main()
