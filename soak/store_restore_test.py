"""Tests with real processes: the store comes back from an older copy."""

import asyncio
import contextlib
import unittest

from amaranthcrank.platform import names
from soak import run

SEED = 1
ROUTERS = 3
TARGETS = 6
REGISTERED_S = 5.0


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        session = await run.start_session(stack, SEED, ROUTERS, TARGETS)
        self.env = session.env
        self.store = self.env.store

    async def _wait_for_registrations(self):
        expected = {
            names.HOST_PREFIX + router.name for router in self.env.routers
        }
        async with asyncio.timeout(REGISTERED_S):
            while expected - self.store.revisions(names.SHARED_KIND).keys():
                await asyncio.sleep(0.05)

    async def test_registrations_that_the_copy_lacks(self):
        """Guards against hosts that a host that starts does not learn of."""
        copy = self.store.copy()
        for name in list(self.store.revisions(names.SHARED_KIND)):
            if name.startswith(names.HOST_PREFIX):
                copy.item_by_path.pop((names.SHARED_KIND, name))
        self.store.restore(copy)
        await self._wait_for_registrations()


if __name__ == '__main__':
    unittest.main()
