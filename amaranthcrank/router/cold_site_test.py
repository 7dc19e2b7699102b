"""Tests of cold targets with a store, targets and routers on loopback.

Guards against a part of the limit that is not connected: the fields of the
configuration and of the settings, the list of hosts, and the header of
responses. Load: callers repeat their requests at once.
"""

import asyncio
import contextlib
import unittest
from unittest import mock

from amaranthcrank.platform import settings_file
from standins import platform_site

COLD_MS = 60_000
MOST_PER_S = 14


class ColdSiteTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.site = platform_site.Site(stack)
        self.addAsyncCleanup(stack.aclose)
        self.site.bounds = self.site.bounds._replace(
            cold_overshoot=1.5, cold_slack=8.0
        )
        await self.site.start(
            [platform_site.route_row('read', '/read/', 'desk')],
            [['desk', '/healthz', 100, None, 3.0, 4.1]],
        )
        self.target = await self.site.add_target('i-1', 'desk')

    def _put_cold(self):
        entry = self.target.entry('desk', self.site.address_by_id['i-1'], 'a')
        entry['status']['warmupLeftMs'] = COLD_MS
        self.site.store.put('servers', 'i-1', entry)

    async def _call(self, router, count):
        """Return the statuses of requests that are sent together."""
        responses = await asyncio.gather(
            *(
                self.site.call(router, '/read/1', f'a{number}')
                for number in range(count)
            )
        )
        return [response.status for response in responses]

    async def test_host_that_starts_sends_nothing_to_a_cold_target(self):
        self._put_cold()
        first = await self.site.add_router('host-1')
        second = await self.site.add_router('host-2')
        for router in (first, second):
            self.assertEqual(set(await self._call(router, 20)), {503})
        self.assertEqual(self.target.ran, [])
        self.assertEqual(first.cold_quota.cold_targets, 1)
        # Once the hosts know each other, one of them sends.
        async with asyncio.timeout(10.0):
            while len(self.target.ran) < 5:
                await self._call(first, 5)
                await self._call(second, 5)
        for at in self.target.ran_at:
            within = [
                other for other in self.target.ran_at if at <= other < at + 1.0
            ]
            self.assertLessEqual(len(within), MOST_PER_S)

    async def test_target_says_that_it_is_cold_again(self):
        router = await self.site.add_router('host-1')
        self.assertEqual(set(await self._call(router, 3)), {200})
        self.target.warm_up_ms = str(COLD_MS)
        await self._call(router, 1)
        self.assertIn(503, await self._call(router, 20))
        self.target.warm_up_ms = '0'
        target = router.targets.by_id['i-1']
        now = asyncio.get_running_loop().time()
        self.assertTrue(target.is_cold(now))

    async def test_bounds_are_reloaded(self):
        # Guards against a limit that is in force only from the next ticket.
        bounds = self.site.bounds
        self.site.bounds = bounds._replace(cold_slack=None)
        router = await self.site.add_router('host-1')
        self.assertEqual(router.cold_quota.limits_by_service, {})
        settings = router.settings._replace(bounds=bounds)
        with mock.patch.object(
            settings_file, 'parse', autospec=True, return_value=settings
        ):
            router.reload()
        self.assertEqual(list(router.cold_quota.limits_by_service), ['desk'])

    async def test_feature_is_off_without_the_bounds(self):
        self.site.bounds = self.site.bounds._replace(cold_slack=None)
        self._put_cold()
        router = await self.site.add_router('host-1')
        self.assertEqual(set(await self._call(router, 10)), {200})
