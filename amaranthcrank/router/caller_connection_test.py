"""Tests of the memory and the time-outs of requests that are sent ahead.

Load: callers that send hundreds of requests or long bodies behind an
unanswered request, and callers that read no responses.
"""

import asyncio
import os
import socket
import unittest

from amaranthcrank.router import caller_connection
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import response_queue
from standins import pipelined_calls

LONG = b'x' * 100_000


class BusyHostTest(pipelined_calls.PipelinedCalls):
    """A host whose event loop is blocked while callers give up."""

    async def test_request_of_a_caller_that_has_left(self):
        """Guards against requests that are sent on after their caller left.

        The request and the end of its connection wait in the socket's buffer
        when the host comes to read them.
        """
        sock = self.writer.get_extra_info('socket')
        for path in (b'/1', b'/2'):
            data = pipelined_calls.get(path)
            self.assertEqual(os.write(sock.fileno(), data), len(data))
        # Nothing is read between these steps, as nothing is awaited.
        sock.shutdown(socket.SHUT_WR)
        await self.wait(lambda: self.server.abandoned_requests == 2)
        self.assertEqual(self.requests, [])
        self.assertEqual(self.server.active_requests, 0)


class BodyTest(pipelined_calls.PipelinedCalls):
    async def test_long_body_behind_others(self):
        """Guards against memory and its time-out for a body that must wait."""
        self.block(b'/1')
        self.writer.write(
            pipelined_calls.get(b'/1') + pipelined_calls.post(b'/2', LONG)
        )
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.uploads.reserved_bytes, 0)
        self.event_by_path[b'/1'].set()
        await self.wait(lambda: len(self.requests) == 2)
        self.assertEqual(self.requests[1].body, LONG)
        for path in (b'/1', b'/2'):
            self.assertEqual((await self.read_response())[2], path)
        self.assertEqual(self.server.uploads.reserved_bytes, 0)

    async def test_long_chunked_body_behind_others(self):
        """Guards against long bodies that do not announce their length."""
        self.block(b'/1')
        chunked = (
            b'PUT /2'
            + pipelined_calls.HEAD
            + b'Transfer-Encoding: chunked\r\n\r\n'
        )
        chunked += b'%x\r\n%s\r\n' % (50_000, LONG[:50_000]) * 2
        self.writer.write(
            pipelined_calls.get(b'/1')
            + chunked
            + b'0\r\n\r\n'
            + pipelined_calls.get(b'/3')
        )
        await asyncio.sleep(0.1)
        self.assertEqual(self.server.uploads.reserved_bytes, 0)
        self.event_by_path[b'/1'].set()
        for path in (b'/1', b'/2', b'/3'):
            self.assertEqual((await self.read_response())[2], path)
        self.assertEqual(self.requests[1].body, LONG)

    async def test_expect_continue(self):
        """Guards against 100 Continue in front of another response."""
        self.block(b'/1')
        body = pipelined_calls.post(b'/2', b'abc', b'Expect: 100-continue\r\n')
        self.writer.write(pipelined_calls.get(b'/1') + body[:-3])
        await asyncio.sleep(0.05)
        self.event_by_path[b'/1'].set()
        self.assertEqual((await self.read_response())[2], b'/1')
        self.assertEqual((await self.read_response())[0], 100)
        self.writer.write(body[-3:])
        self.assertEqual((await self.read_response())[2], b'/2')

    async def test_body_timeout_starts_anew(self):
        """Guards against a time-out for a body that was not read."""
        self.server.limits = model.CallerLimits(2000, 1_000_000, 0.3, 0.3)
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        self.block(b'/1')
        second = pipelined_calls.post(b'/2', LONG)
        self.writer.write(pipelined_calls.get(b'/1') + second[:-50])
        await asyncio.sleep(1.2)
        self.event_by_path[b'/1'].set()
        await asyncio.sleep(0.1)
        self.writer.write(second[-50:])
        for path in (b'/1', b'/2'):
            self.assertEqual((await self.read_response())[2], path)

    async def test_header_timeout_behind_others(self):
        """Guards against a header that is waited for without end."""
        self.server.limits = model.CallerLimits(2000, 1_000_000, 0.2, 9.0)
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        self.block(b'/1')
        self.writer.write(
            pipelined_calls.get(b'/1') + pipelined_calls.get(b'/2')[:10]
        )
        await self.wait(lambda: self.requests)
        self.event_by_path[b'/1'].set()
        self.assertEqual((await self.read_response())[2], b'/1')
        self.assertEqual((await self.read_response())[0], 408)


class MemoryTest(pipelined_calls.PipelinedCalls):
    async def test_responses_that_are_not_read(self):
        """Guards against a write buffer that grows without bound.

        80 such connections took 840 MB where the host has 300 MB.
        """
        size = 50_000
        self.body_by_path[b'/1'] = b'x' * size
        self.writer.transport.pause_reading()
        count = 2000
        self.writer.write(pipelined_calls.get(b'/1') * count)
        await self.wait(lambda: self.connection().unsent_bytes > size)
        await asyncio.sleep(0.5)
        limit = caller_connection.MAX_WAITING_BYTES
        limit += response_queue.MAX_EXCHANGES * (size + 200)
        self.assertLess(self.connection().waiting_bytes, limit)
        started = len(self.requests)
        self.assertLess(started, count)
        self.assertEqual(self.server.backlogged_connections, 1)
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.requests), started)
        # Once they are read, the others follow.
        self.writer.transport.resume_reading()
        for _ in range(count):
            _, _, body = await self.read_response()
            self.assertEqual(len(body), size)

    async def test_requests_are_not_read_either(self):
        """Guards against requests that fill the memory instead."""
        self.body_by_path[b'/1'] = b'x' * 50_000
        self.writer.transport.pause_reading()
        request = pipelined_calls.get(b'/1', b'X: %s\r\n' % (b'x' * 1000))
        self.writer.write(request * 20_000)
        await asyncio.sleep(1.0)
        self.assertGreater(self.writer.transport.get_write_buffer_size(), 0)

    async def test_slow_caller_is_not_cut(self):
        """Guards against a new response that hides what the caller took.

        The write buffer of such a caller is as full at each check.
        """
        self.server.limits = model.CallerLimits(2000, 1_000_000, 0.2, 0.4)
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        size = 500_000
        self.body_by_path[b'/1'] = b'x' * size
        count = 40
        self.writer.write(pipelined_calls.get(b'/1') * count)
        for _ in range(count):
            _, _, body = await self.read_response()
            self.assertEqual(len(body), size)
            await asyncio.sleep(0.06)

    async def test_caller_that_stops_to_read_is_disconnected(self):
        """Guards against requests that run for a caller that is gone."""
        self.server.limits = model.CallerLimits(2000, 1_000_000, 9.0, 0.4)
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        self.block(b'/2')
        self.body_by_path[b'/1'] = b'x' * 8_000_000
        self.writer.transport.pause_reading()
        self.writer.write(
            pipelined_calls.get(b'/1') + pipelined_calls.get(b'/2')
        )
        await self.wait(lambda: self.cancelled == [b'/2'])
        self.assertEqual(self.server.active_requests, 0)

    async def test_completed_responses_behind_an_unfinished_one(self):
        """Guards against completed responses that are not counted."""
        self.block(b'/0')
        self.body_by_path[b'/1'] = b'x' * 150_000
        self.writer.write(
            pipelined_calls.get(b'/0') + pipelined_calls.get(b'/1') * 3
        )
        await self.wait(
            lambda: (
                self.connection().waiting_bytes
                > caller_connection.MAX_WAITING_BYTES
            )
        )
        self.assertEqual(self.connection().unsent_bytes, 0)
        self.writer.write(pipelined_calls.get(b'/2'))
        await asyncio.sleep(0.1)
        self.assertNotIn(b'/2', self.paths)
        self.event_by_path[b'/0'].set()
        self.assertEqual((await self.read_response())[2], b'/0')
        for _ in range(3):
            self.assertEqual(len((await self.read_response())[2]), 150_000)
        self.assertEqual((await self.read_response())[2], b'/2')

    async def test_completed_responses_of_all_connections(self):
        """Guards against callers that together exhaust the memory."""
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        self.block(b'/0')
        self.body_by_path[b'/1'] = b'x' * http_server.MAX_UNSENT_BYTES
        self.writer.write(
            pipelined_calls.get(b'/0') + pipelined_calls.get(b'/1') * 2
        )
        await self.wait(lambda: not self.server.connections)
        await self.wait(lambda: self.cancelled == [b'/0'])


if __name__ == '__main__':
    unittest.main()
