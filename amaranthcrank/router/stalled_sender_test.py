"""Tests of grants whose sender stands still before their bytes leave.

A target counts the time of a grant from its arrival. A process that is stopped
between the record of the sending and the write of the bytes sends the grant
long after the time that it recorded.
"""

import asyncio
import contextlib
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.router import clock
from amaranthcrank.router import connection_pool
from amaranthcrank.router import hold_times
from amaranthcrank.router import key_calls
from amaranthcrank.router import model
from amaranthcrank.router import request_writer
from standins import scripted_server

IP = '127.0.0.1'
HOLD_S = 1.0
# A target's clock may run two per cent slow (`hold_times`).
SLOW_CLOCK_FACTOR = 1.02
# Longer than a call that has left is taken to be under way.
STALL_S = hold_times.TRANSIT_S + 1.0
HOLDER = 'i-1/1'
RANGE = model.KeyRange(0, 99, 'i-1', 1, 1, False, '')
FOREIGN_KEY = 100
RELEASED = b'HTTP/1.1 200 OK\r\nx-handover: w\r\ncontent-length: 0\r\n\r\n'


class StalledSenderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.server = await asyncio.start_server(self._serve, IP, 0)
        self.stack.callback(self.server.close)
        self.address = model.Address(*self.server.sockets[0].getsockname())
        self.pool = connection_pool.Pool(asyncio.get_running_loop().time)
        self.stack.callback(self.pool.close)
        self.calls = key_calls.KeyCalls(
            self.pool,
            mock.Mock(),
            mock.AsyncMock(return_value=False),
            mock.Mock(),
            0.0,
            mock.Mock(),
            'host-1',
            lambda: True,
        )
        self.arrived = asyncio.Event()
        self.arrived_at = 0.0
        self.is_silent = False

    async def _serve(self, reader, writer):
        await scripted_server.serve(reader, writer, self._respond)

    def _respond(self, head, _):
        """Respond to releases, and take grants without a response.

        Their connection ends, unless the target is silent.
        """
        if head.split()[1].decode() == names.RELEASE_PATH:
            return RELEASED
        self.arrived_at = clock.now()
        self.arrived.set()
        if not self.is_silent:
            raise ConnectionResetError
        return b''

    def _stall(self):
        """Let the process stand still just before the bytes of a grant leave.

        That is one jump of the clock, as after SIGSTOP and SIGCONT. The hold
        counts from the arrival, which is after it.
        """
        read_clock = clock.now
        write = request_writer.RequestWriter.write
        stalled_s = 0.0

        def write_after_stall(writer, transport, parts):
            nonlocal stalled_s
            if names.GRANT_PATH.encode() in bytes(parts[0]):
                stalled_s = STALL_S
            write(writer, transport, parts)

        self.stack.enter_context(
            mock.patch.object(clock, 'now', lambda: read_clock() + stalled_s)
        )
        self.stack.enter_context(
            mock.patch.object(
                request_writer.RequestWriter, 'write', write_after_stall
            )
        )

    async def _grant(self, find_probe_key=lambda: FOREIGN_KEY):
        return await self.calls.grant(
            HOLDER, self.address, RANGE, HOLD_S, '', find_probe_key
        )

    def _check_hold(self):
        """Check that the hold does not end before the target lets go."""
        self.assertTrue(self.arrived.is_set())
        lets_go_at = self.arrived_at + HOLD_S * SLOW_CLOCK_FACTOR
        held_until = self.calls.hold_times.held_until(HOLDER)
        self.assertGreaterEqual(held_until, lets_go_at)

    async def test_grant_after_a_probe(self):
        """Guards against two owners after a stall of the controller.

        The probe shows that the target reads, and says nothing about when the
        grant leaves.
        """
        self._stall()
        self.assertEqual(await self._grant(), key_calls.UNANSWERED)
        self._check_hold()

    async def test_grant_without_a_probe(self):
        """Guards against two owners after a stall of the controller.

        A service whose keys have one owner has no key to probe with.
        """
        self._stall()
        self.assertEqual(await self._grant(lambda: None), key_calls.UNANSWERED)
        self._check_hold()

    async def test_call_that_fences_off(self):
        """Guards against a fence that arrives beside the next owner.

        The next owner is granted the keys at the time that the call returns,
        when the fence can no longer arrive.
        """
        self._stall()
        result, arrives_until = await self.calls.fence_off(
            HOLDER, self.address, RANGE
        )
        self.assertEqual(result, key_calls.UNANSWERED)
        self.assertTrue(self.arrived.is_set())
        self.assertGreaterEqual(arrives_until, self.arrived_at)

    async def test_grant_that_is_cancelled(self):
        """Guards against two owners after a grant that was given up.

        A plan that assigns its keys to another target cancels the move while
        the grant waits for its response.
        """
        self.is_silent = True
        task = asyncio.create_task(self._grant())
        await self.arrived.wait()
        task.cancel()
        await asyncio.wait([task])
        self.assertTrue(task.cancelled())
        self._check_hold()


if __name__ == '__main__':
    unittest.main()
