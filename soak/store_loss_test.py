"""A router that alone loses the store, as real processes see it."""

import asyncio
import contextlib
import time
import unittest

from amaranthcrank.router import http_client
from soak import callers
from soak import environment
from soak import run
from standins import platform_settings

SEED = 1
ROUTERS = 3
TARGETS = 6
LOST_S = 8.0
# Within so long of its writing a new manifest is in force.
IN_FORCE_S = 3.0


async def _serves(
    site: environment.Environment, number: int, prefix: str
) -> bool:
    """Tell whether a router knows a route."""
    router = site.routers[number]
    kind = callers.Kind(b'GET', prefix, True, False)
    connection = await http_client.connect(router.serve, 1.0)
    request_id = f'route-{time.monotonic()}'
    result = await callers.call(
        connection, router.name, request_id, kind, site.chance
    )
    connection.abort()
    return result.status == 200


class LostStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.scene = await run.start(stack, SEED, ROUTERS, TARGETS)
        self.site = self.scene.site

    async def test_departure_while_one_router_has_lost_the_store(self):
        """Guards against new work for targets that leave, for a whole cut."""
        leaving = next(
            made for made in self.site.targets if made.service == 'desk'
        )
        self.site.store_relays[0].refuse()
        await asyncio.sleep(0.5)
        notice_at = time.monotonic()
        self.site.register(leaving, 'draining')
        await asyncio.sleep(LOST_S)
        lost = self.site.routers[0].name
        runs = [
            one
            for one in leaving.runs
            if one.request_id.startswith(f'{lost}-')
        ]
        self.assertGreater(len(runs), 0)
        late_s = max(one.at for one in runs) - notice_at
        self.assertLessEqual(late_s, platform_settings.DRAIN_S)

    async def test_manifest_while_one_router_has_lost_the_store(self):
        """Guards against an old manifest at a router for a whole cut."""
        self.site.store_relays[0].refuse()
        await asyncio.sleep(0.5)
        self.site.write_manifest()
        async with asyncio.timeout(IN_FORCE_S):
            while not await _serves(self.site, 0, self.site.newest_prefix):
                await asyncio.sleep(0.1)


if __name__ == '__main__':
    unittest.main()
