"""Tests with real processes: the store comes back from an older copy."""

import asyncio
import contextlib
import time
import unittest

from amaranthcrank.platform import names
from amaranthcrank.router import http_client
from soak import callers
from soak import run
from standins import platform_settings

SEED = 1
ROUTERS = 3
TARGETS = 6
# A new ticket must be in force this long after it was written.
IN_FORCE_S = 2.0
# Targets write their missing entries again within about this time.
REWRITTEN_AFTER_S = 1.0
# Entries of targets that have ended expire this long after the restore.
EXPIRED_AFTER_S = 1.5
# A target that joins must get requests this long after its entry was written.
JOINED_S = 4.0
REGISTERED_S = 5.0
# Running requests have ended, and no new ones begin.
EVACUATED_S = 2.0
# Evacuations are written again this long after the restore.
EVACUATED_AGAIN_AFTER_S = 1.5


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        session = await run.start_session(stack, SEED, ROUTERS, TARGETS)
        self.env = session.env
        self.store = self.env.store

    async def _status(self, router, prefix):
        """Return the status of a request on a route at a router."""
        kind = callers.RequestKind(b'GET', prefix, True, False)
        connection = await http_client.connect(router.serve, 1.0)
        request_id = f'route-{time.monotonic()}'
        result = await callers.call(
            connection, router.name, request_id, kind, self.env.rng
        )
        connection.abort()
        return result.status

    async def _statuses(self, prefix):
        return [
            await self._status(router, prefix) for router in self.env.routers
        ]

    async def _wait_for_ticket(self):
        """Wait until all routers apply the ticket that was just written."""
        async with asyncio.timeout(IN_FORCE_S):
            while set(await self._statuses(self.env.newest_prefix)) != {200}:
                await asyncio.sleep(0.05)

    async def _wait_for_runs(self, instance, since):
        async with asyncio.timeout(JOINED_S):
            while not self._runs(instance, since):
                await asyncio.sleep(0.05)

    def _runs(self, instance, since):
        return [one.at for one in instance.runs if one.at > since]

    async def _check_in_force(self, prefix, former_prefix, seconds):
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            self.assertEqual(set(await self._statuses(prefix)), {200})
            self.assertEqual(set(await self._statuses(former_prefix)), {404})
            await asyncio.sleep(0.1)

    async def test_tickets_targets_and_hosts(self):
        """Guards against hosts that no longer follow the store.

        They also must not use what the copy brings back: a former ticket,
        and a target that has left and still serves.
        """
        former_prefix = self.env.newest_prefix
        leaving = self.env.targets[0]
        copy = self.store.copy()
        self.store.remove(names.TARGETS_KIND, leaving.target_id)
        left_at = time.monotonic()
        for _ in range(2):
            self.env.write_manifest()
            await self._wait_for_ticket()
        await self.env.add_target('desk')
        joined = self.env.targets[-1]
        await self._wait_for_runs(joined, 0.0)
        await asyncio.sleep(
            left_at + platform_settings.DRAIN_S - time.monotonic()
        )
        restored_at = time.monotonic()
        self.store.restore(copy)
        await self._check_in_force(
            self.env.newest_prefix, former_prefix, REWRITTEN_AFTER_S
        )
        written_again_at = time.monotonic()
        self.env.register(joined, 'ready')
        self.assertNotEqual(self._runs(joined, written_again_at - 0.5), [])
        await asyncio.sleep(restored_at + EXPIRED_AFTER_S - time.monotonic())
        self.store.remove(names.TARGETS_KIND, leaving.target_id)
        self.env.write_manifest()
        await self._wait_for_ticket()
        self.assertEqual(set(await self._statuses(former_prefix)), {404})
        added_at = time.monotonic()
        await self.env.add_target('desk')
        await self._wait_for_runs(self.env.targets[-1], added_at)
        self.assertEqual(self._runs(leaving, restored_at), [])

    async def _wait_for_registrations(self):
        expected = {
            names.HOST_PREFIX + router.name for router in self.env.routers
        }
        async with asyncio.timeout(REGISTERED_S):
            while expected - self.store.revisions(names.SHARED_KIND).keys():
                await asyncio.sleep(0.05)

    async def test_ticket_at_revisions_that_exist_again(self):
        """Guards against hosts that wait for changes at a former revision.

        Their watches stay open: the store soon has their revisions again.
        """
        copy = self.store.copy()
        for number in range(30):
            self.store.put('other', f'name-{number}', {'spec': {}})
        self.env.write_manifest()
        await self._wait_for_ticket()
        former_revision = self.store.revision
        self.store.restore(copy)
        # The lost version is written again, and the next one.
        self.env.write_manifest()
        while self.store.revision < former_revision + 10:
            self.store.put('other', 'name', {'spec': {}})
        await self._wait_for_ticket()

    async def test_registrations_that_the_copy_lacks(self):
        """Guards against hosts that a host that starts does not learn of."""
        copy = self.store.copy()
        for name in list(self.store.revisions(names.SHARED_KIND)):
            if name.startswith(names.HOST_PREFIX):
                copy.item_by_path.pop((names.SHARED_KIND, name))
        self.store.restore(copy)
        await self._wait_for_registrations()

    async def test_evacuation_that_the_copy_lacks(self):
        """Guards against requests to a domain that is still evacuated."""
        copy = self.store.copy()
        self.env.evacuate('a')
        await asyncio.sleep(EVACUATED_S)
        restored_at = time.monotonic()
        self.store.restore(copy)
        await asyncio.sleep(EVACUATED_AGAIN_AFTER_S)
        self.env.evacuate('a')
        await asyncio.sleep(0.5)
        runs = [
            at
            for instance in self.env.targets_in('a')
            for at in self._runs(instance, restored_at)
        ]
        self.assertEqual(runs, [])


if __name__ == '__main__':
    unittest.main()
