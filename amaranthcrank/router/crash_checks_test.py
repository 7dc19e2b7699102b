"""Tests of the recognition of requests that crash targets, at low load."""

import asyncio
import contextlib
import unittest
from unittest import mock

from amaranthcrank.router import crash_reports
from standins import platform_site

CRASHING_PATH = '/post/crash'
TARGETS = 7


class CrashChecksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.site = platform_site.Site(self.stack)
        await self.site.start(
            [platform_site.route_row('post', '/post/', 'desk', 'unsafe')],
            [['desk', '/healthz', 100, None]],
        )
        self.crashed = []
        for number in range(TARGETS):
            target = await self.site.add_target(f'i-{number}', 'desk')
            self._crash_on_request(target)
        self.router = await self.site.add_router('host-1')

    def _crash_on_request(self, target):
        """Let a target crash when it runs the request to CRASHING_PATH."""
        respond = target.server.handler

        async def handle(request):
            if request.path.decode() != CRASHING_PATH:
                return await respond(request)
            self._close(target)
            self.crashed.append(target.target_id)
            return await asyncio.sleep(3600)

        target.server.handler = handle

    def _close(self, target):
        target.server.stop_listening()
        for connection in list(target.server.connections):
            connection.abort()

    async def _call(self, path, request_id):
        return await self.site.call(self.router, path, request_id, 'POST')

    async def test_request_is_blocked_while_other_targets_have_room(self):
        """Guards against a request that crashes one target after the other.

        A crash was only recognized by the next request to the same target,
        and none was sent there while others had room (review case 5).
        """
        for number in range(TARGETS):
            response = await self._call(CRASHING_PATH, f'a{number}')
            await asyncio.sleep(0.4)
        self.assertEqual(response.status, 503)
        self.assertEqual(len(self.crashed), crash_reports.BLOCKING_CRASHES)
        response = await self._call('/post/1', 'b1')
        self.assertEqual(response.status, 200)

    async def test_target_that_resets_but_still_listens(self):
        """Guards against a crash report on a target that is only full.

        Each check costs a full target a connection, so there is one in a
        while, and its connection is not kept.
        """
        target = self.site.target_by_id['i-0']
        record = self.router.targets.by_id['i-0']
        fingerprint = crash_reports.fingerprint(b'POST', b'/post/1', b'')
        pool = self.router.pool
        with mock.patch.object(pool, 'acquire', wraps=pool.acquire) as acquire:
            for _ in range(5):
                now = asyncio.get_running_loop().time()
                record.record_reset(fingerprint, now)
                self.router.sender._checks.start(record)
                await asyncio.sleep(0.15)
        addresses = [call.args[0] for call in acquire.call_args_list]
        self.assertEqual(self.router.crashes.count(fingerprint), 0)
        self.assertEqual(len(target.server.connections), 0)
        self.assertEqual(addresses.count(record.entry.address), 1)

    async def test_report_is_withdrawn_when_the_target_answers(self):
        """Guards against blocking requests after a short cut."""
        fingerprint = crash_reports.fingerprint(b'POST', b'/post/9', b'')
        for target in self.router.targets.by_id.values():
            self.router.crashes.record_crash(fingerprint, target.entry.holder)
        response = await self._call('/post/9', 'a1')
        self.assertEqual(response.status, 503)
        # Which target gets a request is random.
        number = 0
        async with asyncio.timeout(8.0):
            while self.router.crashes.is_blocked(fingerprint):
                number += 1
                await self._call('/post/1', f'b{number}')
        response = await self._call('/post/9', 'a2')
        self.assertEqual(response.status, 200)

    async def test_request_that_waits_when_it_is_blocked(self):
        """Guards against a send long after the third crash.

        A request that waited for a target was not looked at again.
        """
        targets = list(self.site.target_by_id.values())
        for target in targets:
            target.work_s = 0.6
        fingerprint = crash_reports.fingerprint(b'POST', b'/post/9', b'')
        async with asyncio.TaskGroup() as group:
            slots = self.router.targets.ready_slots()
            for number in range(slots):
                group.create_task(self._call('/post/1', f'b{number}'))
            await asyncio.sleep(0.2)
            waiting = group.create_task(self._call('/post/9', 'a1'))
            await asyncio.sleep(0.1)
            for number in range(crash_reports.BLOCKING_CRASHES):
                self.router.crashes.record_crash(fingerprint, f'i-{number}/9')
        self.assertEqual(waiting.result().status, 503)
        self.assertFalse(any('a1' in target.ran for target in targets))

    async def test_refusal_at_the_address_withdraws_no_report(self):
        """Guards against a crashing request that is let through again.

        The next life of a crashed target listens at its address and refuses
        what is sent to the former one (review case 8).
        """
        fingerprint = crash_reports.fingerprint(b'POST', b'/post/9', b'')
        for target in self.router.targets.by_id.values():
            self.router.crashes.record_crash(fingerprint, target.entry.holder)
        for target_id, target in self.site.target_by_id.items():
            target.target_id = f'{target_id}-next'
        for number in range(TARGETS):
            response = await self._call('/post/1', f'b{number}')
            self.assertEqual(response.status, 503)
        self.assertEqual(self.router.crashes.count(fingerprint), TARGETS)


if __name__ == '__main__':
    unittest.main()
