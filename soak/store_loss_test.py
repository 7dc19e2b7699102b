"""Tests with real processes: a single router loses access to the store."""

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
OUTAGE_S = 8.0
# A new manifest must be in force this long after it was written.
IN_FORCE_S = 3.0


async def _serves_route(
    env: environment.Environment, number: int, prefix: str
) -> bool:
    """Return whether a router serves requests on a route."""
    router = env.routers[number]
    kind = callers.RequestKind(b'GET', prefix, True, False)
    connection = await http_client.connect(router.serve, 1.0)
    request_id = f'route-{time.monotonic()}'
    result = await callers.call(
        connection, router.name, request_id, kind, env.rng
    )
    connection.abort()
    return result.status == 200


class LostStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.session = await run.start_session(stack, SEED, ROUTERS, TARGETS)
        self.env = self.session.env

    async def test_drain_while_one_router_has_lost_the_store(self):
        """Guards against requests to a draining target during the outage."""
        leaving = next(
            instance
            for instance in self.env.targets
            if instance.service == 'desk'
        )
        self.env.store_relays[0].refuse()
        await asyncio.sleep(0.5)
        drain_started_at = time.monotonic()
        self.env.register(leaving, 'draining')
        await asyncio.sleep(OUTAGE_S)
        lost = self.env.routers[0].name
        runs = [
            one
            for one in leaving.runs
            if one.request_id.startswith(f'{lost}-')
        ]
        self.assertGreater(len(runs), 0)
        late_s = max(one.at for one in runs) - drain_started_at
        self.assertLessEqual(late_s, platform_settings.DRAIN_S)

    async def test_manifest_while_one_router_has_lost_the_store(self):
        """Guards against an old manifest in use during the outage."""
        self.env.store_relays[0].refuse()
        await asyncio.sleep(0.5)
        self.env.write_manifest()
        async with asyncio.timeout(IN_FORCE_S):
            while not await _serves_route(self.env, 0, self.env.newest_prefix):
                await asyncio.sleep(0.1)


if __name__ == '__main__':
    unittest.main()
