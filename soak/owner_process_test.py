"""Tests of the target's answers to grants, releases and requests."""

import asyncio
import io
import json
import time
import unittest

from amaranthcrank.platform import names
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from soak import owner_process

LAST_KEY = model.KEY_COUNT - 1
WORK_S = 0.1


def _target(checks_calls=True):
    """Return a target that is not started, as each process begins."""
    config = owner_process.Config(
        'i-1',
        'book',
        True,
        '127.0.0.1:1',
        '127.0.0.1:1',
        '127.0.0.1:1',
        'a',
        '',
        1.0,
        0,
        checks_calls,
        False,
        WORK_S,
        1,
    )
    return owner_process.OwnerProcess(config, io.StringIO())


async def _call(instance, path, headers=(), **fields):
    body = json.dumps(fields).encode()
    response = await instance._handle(
        http_server.Request(b'POST', path.encode(), list(headers), body, 0.0)
    )
    return response.status


def _grant(target, fence, hold_ms=5000, first=0, last=LAST_KEY):
    fields = {'from': first, 'target': last, 'fence': fence}
    return _call(target, names.GRANT_PATH, holdMs=hold_ms, **fields)


def _release(target, fence, first=0, last=LAST_KEY):
    fields = {'from': first, 'target': last, 'fence': fence}
    return _call(target, names.RELEASE_PATH, **fields)


def _run(target, key):
    headers = [(names.KEY, str(key).encode()), (names.REQUEST_ID, b'r')]
    return _call(target, '/book/', headers)


class GrantTest(unittest.IsolatedAsyncioTestCase):
    async def test_tokens_by_key(self):
        """Guards against one token for all keys of a target."""
        target = _target()
        self.assertEqual(await _grant(target, 5, first=0, last=9), 200)
        self.assertEqual(await _grant(target, 4, first=10, last=19), 200)
        self.assertEqual(await _grant(target, 4, first=9, last=12), 409)

    async def test_target_that_has_restarted(self):
        """Guards against tokens or keys that outlast a process."""
        self.assertEqual(await _grant(_target(), 5), 200)
        restarted = _target()
        self.assertEqual(await _run(restarted, 3), 421)
        self.assertEqual(await _grant(restarted, 4), 200)

    async def test_longest_grant(self):
        """Guards against grants that the platform would refuse."""
        target = _target()
        longest = owner_process.MAX_HOLD_MS
        self.assertEqual(await _grant(target, 1, longest + 1), 400)
        self.assertEqual(await _run(target, 3), 421)
        self.assertEqual(await _grant(target, 1, longest), 200)

    async def test_grant_for_another_target(self):
        """Guards against an option without effect."""
        fields = {'from': 0, 'target': 9, 'fence': 1, 'holdMs': 5000}
        headers = [(names.EXPECTED_TARGET, b'i-2')]
        for checks_calls, expected in ((True, 421), (False, 200)):
            target = _target(checks_calls)
            status = await _call(target, names.GRANT_PATH, headers, **fields)
            self.assertEqual(status, expected)

    async def test_malformed_range(self):
        target = _target()
        for first, last in ((5, 4), (0, LAST_KEY + 1), (-1, 4), ('0', 4)):
            status = await _grant(target, 1, first=first, last=last)
            self.assertEqual(status, 400)


class WorkTest(unittest.IsolatedAsyncioTestCase):
    async def test_work_that_outlasts_its_lease(self):
        """Guards against work that is answered after the end of a lease."""
        target = _target()
        await _grant(target, 1, hold_ms=50)
        began_at = time.monotonic()
        self.assertEqual(await _run(target, 3), 500)
        self.assertLess(time.monotonic() - began_at, WORK_S)

    async def test_lease_that_is_renewed(self):
        target = _target()
        await _grant(target, 1, hold_ms=50)
        running = asyncio.create_task(_run(target, 3))
        await asyncio.sleep(0.02)
        await _grant(target, 1)
        self.assertEqual(await running, 200)

    async def test_release_waits_for_work(self):
        """Guards against releases that cut off work or do not wait for it."""
        target = _target()
        await _grant(target, 1)
        running = asyncio.create_task(_run(target, 3))
        await asyncio.sleep(0)
        self.assertEqual(await _release(target, 1, 0, 9), 200)
        self.assertTrue(running.done())
        self.assertEqual(await running, 200)
        self.assertEqual(await _run(target, 3), 421)
        self.assertEqual(await _run(target, 10), 200)


if __name__ == '__main__':
    unittest.main()
