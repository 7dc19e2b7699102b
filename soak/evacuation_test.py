"""Tests with real processes: failure domains are evacuated under load."""

import asyncio
import contextlib
import time
import unittest

from soak import run
from standins import platform_settings

SEED = 1
ROUTERS = 3
TARGETS = 6
OBSERVED_S = 8.0
RESTORED_S = 5.0


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        session = await run.start_session(stack, SEED, ROUTERS, TARGETS)
        self.env = session.env

    def _runs(self, domain, since):
        """Return when requests began at the targets of a domain."""
        return [
            one.at
            for instance in self.env.targets_in(domain)
            for one in instance.runs
            if one.at > since
        ]

    async def _check_evacuation(self, *domains):
        began_at = time.monotonic()
        for domain in domains:
            self.assertGreater(len(self._runs(domain, 0.0)), 0)
            self.env.evacuate(domain)
        end_at = began_at + platform_settings.EVACUATION_S
        await asyncio.sleep(OBSERVED_S)
        for domain in domains:
            self.assertEqual(self._runs(domain, end_at), [])
        restored_at = time.monotonic()
        for domain in domains:
            self.env.restore(domain)
        async with asyncio.timeout(RESTORED_S):
            while not all(
                self._runs(domain, restored_at) for domain in domains
            ):
                await asyncio.sleep(0.1)

    async def test_all_domains(self):
        """Guards against requests and keys that stay in the domains."""
        await self._check_evacuation('a', 'b')

    async def test_one_router_has_lost_the_store(self):
        """Guards against requests of a host that others could tell."""
        self.env.store_relays[0].refuse()
        await asyncio.sleep(0.5)
        await self._check_evacuation('a')

    async def test_all_routers_restart(self):
        """Guards against requests before the first list is read."""
        self.env.evacuate('a')
        await asyncio.sleep(platform_settings.EVACUATION_S)
        restarted_at = time.monotonic()
        await self.env.kill_all_routers()
        await asyncio.sleep(OBSERVED_S)
        self.assertEqual(self._runs('a', restarted_at), [])
        # The routers serve what is not evacuated.
        self.assertGreater(len(self._runs('b', restarted_at)), 0)


if __name__ == '__main__':
    unittest.main()
