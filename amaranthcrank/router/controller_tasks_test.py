"""Tests that a failed part of the controller does not go unnoticed.

Without heartbeats or renewals a host held the lease and told nobody.
"""

import asyncio
import contextlib
import os
import unittest

from amaranthcrank.router import main
from standins import platform_site

NEVER_S = 60.0


class ControllerTasksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        site = platform_site.Site(stack)
        descriptor = os.open(os.devnull, os.O_WRONLY)
        stack.callback(os.close, descriptor)
        self.router = main.Router(site.settings('h-1'), '', descriptor)
        self.resigned = 0
        self.router.controller.run = self._go_on
        self.router.lease.renew = self._go_on
        self.router.reports.send_heartbeats = self._go_on
        self.router._resign = self._resign

    async def _go_on(self):
        await asyncio.sleep(NEVER_S)

    async def _fail(self):
        raise ValueError('unexpected')

    async def _end(self):
        return

    async def _resign(self):
        self.resigned += 1

    async def _run(self):
        async with asyncio.timeout(1.0):
            await self.router._act_as_controller()

    async def test_failed_heartbeats(self):
        self.router.reports.send_heartbeats = self._fail
        await self._run()
        self.assertEqual(self.resigned, 1)

    async def test_failed_renewal(self):
        self.router.lease.renew = self._fail
        await self._run()
        self.assertEqual(self.resigned, 1)

    async def test_failed_moves(self):
        self.router.controller.run = self._fail
        await self._run()
        self.assertEqual(self.resigned, 1)

    async def test_lost_lease(self):
        # The lease is not given back when the controller just ends.
        self.router.controller.run = self._end
        await self._run()
        self.assertEqual(self.resigned, 0)
