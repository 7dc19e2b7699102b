"""Tests of evacuations with whole routers.

Load: callers go on to send requests while the failure domain of their targets
is evacuated and restored.
"""

import asyncio
import contextlib
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.router import evacuation_feed
from standins import platform_site

KEYED = ['book', '/healthz', 100, True]
PLAIN = ['desk', '/healthz', 100, None]
KEYS = (0, 1000, 32767, 32768, 65535)
EVACUATION_S = 4.0


class _PathTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.site = platform_site.Site(self.stack)
        self.site.evacuation_s = EVACUATION_S
        self.addAsyncCleanup(self.stack.aclose)
        await self.site.start(
            [
                platform_site.route_row('read', '/read/', 'desk'),
                platform_site.route_row('post', '/post/', 'book', 'unsafe'),
            ],
            [PLAIN, KEYED],
        )

    async def _add_targets(self, service):
        keyed = service == 'book'
        self.first = await self.site.add_target('i-1', service, keyed)
        self.second = await self.site.add_target('i-2', service, keyed, 'b')

    async def _add_router(self):
        self.router = await self.site.add_router('host-1')

    async def _wait(self, condition, seconds=EVACUATION_S):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def _wait_for(self, *domains):
        await self._wait(
            lambda: (
                self.router.targets.evacuated_since_by_domain.keys()
                == set(domains)
            )
        )

    async def _statuses(self, count):
        return [
            (await self.site.call(self.router, '/read/1', f'a{n}')).status
            for n in range(count)
        ]


class PlainServiceTest(_PathTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self._add_targets('desk')

    async def test_evacuated_and_restored(self):
        await self._add_router()
        self.site.evacuate('a')
        await self._wait_for('a')
        self.assertEqual(await self._statuses(5), [200] * 5)
        self.assertEqual(self.first.ran, [])
        self.site.evacuate('b')
        await self._wait_for('a', 'b')
        self.assertEqual(await self._statuses(2), [503] * 2)
        self.site.restore('a')
        await self._wait_for('b')
        self.assertEqual(await self._statuses(5), [200] * 5)
        self.assertEqual(len(self.first.ran), 5)

    async def test_request_in_flight_finishes(self):
        await self._add_router()
        self.first.work_s = 1.0
        call = asyncio.create_task(self._statuses(1))
        await self._wait(lambda: self.first.ran)
        self.site.evacuate('a')
        await self._wait_for('a')
        self.assertEqual(await call, [200])
        self.assertEqual(self.second.ran, [])

    async def test_retry_after_the_evacuation(self):
        """Guards against a retry at a target that was evacuated meanwhile."""
        await self._add_router()
        self.first.work_s = 0.5
        self.first.status = 500
        call = asyncio.create_task(self._statuses(1))
        await self._wait(lambda: self.first.ran)
        self.site.evacuate('b')
        await self._wait_for('b')
        self.assertNotEqual(await call, [200])
        self.assertEqual(self.second.ran, [])

    async def test_host_that_starts(self):
        """Guards against requests before the first list is read."""
        self.site.evacuate('a')
        await self._add_router()
        self.assertEqual(await self._statuses(3), [200] * 3)
        self.assertEqual(self.first.ran, [])

    async def test_kind_is_not_returned(self):
        """Guards against hosts that never get ready."""
        self.site.store.failing_kinds.add(names.EVACUATIONS_KIND)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await self._add_router()
        wait_s = evacuation_feed.FIRST_LIST_TIMEOUT_S
        self.assertGreaterEqual(loop.time() - began_at, wait_s)
        self.assertEqual(await self._statuses(1), [200])

    async def test_feature_is_off(self):
        """Guards against store calls that nobody asked for."""
        self.site.evacuation_s = None
        self.site.evacuate('a')
        await self._add_router()
        self.assertEqual(await self._statuses(3), [200] * 3)
        self.assertEqual(len(self.first.ran), 3)
        reads = self.site.store.reads_by_kind
        self.assertEqual(reads[names.EVACUATIONS_KIND], 0)

    async def test_gauges(self):
        await self._add_router()
        self.site.evacuate('a')
        await self._wait_for('a')
        request = mock.Mock(path=b'/metrics')
        response = await self.router.handle_probe(request)
        slots = self.router.targets.by_id['i-2'].entry.slots
        text = response.body.decode()
        for name, value in (('evacuated_domains', 1), ('ready_slots', slots)):
            lines = [line for line in text.splitlines() if name in line]
            self.assertTrue(
                any(line.endswith(f' {value}') for line in lines), text
            )


class KeyedServiceTest(_PathTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self._add_targets('book')
        await self._add_router()
        await self._wait(self._is_assigned, 8.0)

    def _is_assigned(self):
        return all(
            self.first.holds(key) or self.second.holds(key) for key in KEYS
        )

    async def test_keys_of_the_domain_move(self):
        self.site.evacuate('a')
        await self._wait(lambda: all(map(self.second.holds, KEYS)))
        self.assertTrue(self.first.released)
        before = len(self.first.ran)
        for key in KEYS:
            response = await self.site.call(
                self.router, '/post/1', f'a{key}', 'POST', key
            )
            self.assertEqual(response.status, 200)
        self.assertEqual(len(self.first.ran), before)

    async def test_all_domains(self):
        """Guards against requests to owners after the evacuation's time."""
        self.site.evacuate('a', 'b')
        await self._wait_for('a', 'b')
        await asyncio.sleep(EVACUATION_S / 4)
        before = len(self.first.ran + self.second.ran)
        for key in KEYS:
            response = await self.site.call(
                self.router, '/post/1', f'a{key}', 'POST', key
            )
            self.assertEqual(response.status, 503)
        self.assertEqual(len(self.first.ran + self.second.ran), before)


if __name__ == '__main__':
    unittest.main()
