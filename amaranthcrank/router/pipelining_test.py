"""Tests of the order of requests that a caller sends ahead.

Load: callers that send further requests before the first is answered.
"""

import asyncio
import contextlib
import unittest

from amaranthcrank.router import http_server
from amaranthcrank.router import response_queue
from standins import pipelined_calls
from standins import platform_site


class OrderTest(pipelined_calls.PipelinedCalls):
    async def test_requests_run_at_the_same_time(self):
        """Guards against requests that wait for whole service times."""
        self.block(b'/1')
        self.writer.write(
            pipelined_calls.get(b'/1')
            + pipelined_calls.get(b'/2')
            + pipelined_calls.get(b'/3')
        )
        await self.wait(lambda: len(self.requests) == 3)
        self.event_by_path[b'/1'].set()
        for path in (b'/1', b'/2', b'/3'):
            self.assertEqual((await self.read_response())[2], path)

    async def test_request_that_comes_later(self):
        """Guards against overlap only for requests in one segment."""
        self.block(b'/1')
        self.writer.write(pipelined_calls.get(b'/1'))
        await self.wait(lambda: len(self.requests) == 1)
        second = pipelined_calls.get(b'/2')
        self.writer.write(second[:9])
        await asyncio.sleep(0.05)
        self.writer.write(second[9:])
        await self.wait(lambda: len(self.requests) == 2)
        self.event_by_path[b'/1'].set()
        for path in (b'/1', b'/2'):
            self.assertEqual((await self.read_response())[2], path)
        # The connection goes on as usual.
        self.writer.write(pipelined_calls.get(b'/3'))
        self.assertEqual((await self.read_response())[2], b'/3')

    async def test_at_most_eight(self):
        """Guards against a caller that fills the host with its requests."""
        paths = [b'/%d' % number for number in range(20)]
        self.block(*paths)
        self.writer.write(
            b''.join(pipelined_calls.get(path) for path in paths)
        )
        limit = response_queue.MAX_EXCHANGES
        await self.wait(lambda: len(self.requests) == limit)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.requests), limit)
        for path in paths:
            self.event_by_path[path].set()
        for path in paths:
            self.assertEqual((await self.read_response())[2], path)

    async def test_request_that_is_not_idempotent(self):
        """Guards against work that starts before what it depends on ends."""
        self.block(b'/1', b'/2')
        self.writer.write(
            pipelined_calls.get(b'/1')
            + pipelined_calls.post(b'/2', b'abc')
            + pipelined_calls.get(b'/3')
        )
        await self.wait(lambda: self.requests)
        await asyncio.sleep(0.05)
        self.assertEqual(self.paths, [b'/1'])
        self.event_by_path[b'/1'].set()
        await self.wait(lambda: len(self.requests) == 2)
        await asyncio.sleep(0.05)
        self.assertEqual(self.paths, [b'/1', b'/2'])
        self.assertEqual(self.requests[1].body, b'abc')
        self.event_by_path[b'/2'].set()
        for path in (b'/1', b'/2', b'/3'):
            self.assertEqual((await self.read_response())[2], path)

    async def test_no_request_is_idempotent_by_default(self):
        """Guards against overlap at servers that did not ask for it."""
        self.server.is_idempotent = http_server.Server(
            self._handle
        ).is_idempotent
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        self.block(b'/1')
        writer.write(pipelined_calls.get(b'/1') + pipelined_calls.get(b'/2'))
        await asyncio.sleep(0.1)
        self.assertEqual(self.paths, [b'/1'])

    async def test_arrival_times(self):
        """Guards against deadlines that start when a request is parsed."""
        loop = asyncio.get_running_loop()
        paths = [b'/%d' % number for number in range(10)]
        self.block(b'/0')
        sent_at = loop.time()
        self.writer.write(
            b''.join(pipelined_calls.get(path) for path in paths)
        )
        await asyncio.sleep(0.3)
        self.writer.write(pipelined_calls.get(b'/late'))
        await asyncio.sleep(0.2)
        self.event_by_path[b'/0'].set()
        await self.wait(lambda: len(self.requests) == 11)
        by_path = {each.path: each.arrived_at for each in self.requests}
        for path in paths:
            self.assertLess(by_path[path], sent_at + 0.2)
        self.assertGreater(by_path[b'/late'], sent_at + 0.25)
        self.assertLess(by_path[b'/late'], sent_at + 0.45)


class EndTest(pipelined_calls.PipelinedCalls):
    async def test_caller_disconnects(self):
        """Guards against work that goes on for nobody."""
        self.block(b'/1', b'/2', b'/3')
        self.writer.write(
            pipelined_calls.get(b'/1')
            + pipelined_calls.get(b'/2')
            + pipelined_calls.get(b'/3')
        )
        await self.wait(lambda: len(self.requests) == 3)
        self.writer.close()
        await self.wait(lambda: len(self.cancelled) == 3)
        await self.wait(lambda: not self.server.active_requests)

    async def test_caller_disconnects_with_requests_unread(self):
        """Guards against work for nobody when requests wait behind it."""
        paths = [b'/%d' % number for number in range(12)]
        self.block(*paths)
        self.writer.write(
            b''.join(pipelined_calls.get(path) for path in paths)
        )
        await self.wait(lambda: len(self.requests) == 8)
        self.writer.close()
        await self.wait(lambda: len(self.cancelled) == 8)

    async def test_parse_error(self):
        """Guards against an error in the place of another response."""
        self.block(b'/1')
        self.writer.write(
            pipelined_calls.get(b'/1')
            + pipelined_calls.get(b'/2')
            + b'nonsense\r\n\r\n'
        )
        await self.wait(lambda: len(self.requests) == 2)
        self.event_by_path[b'/1'].set()
        for path in (b'/1', b'/2'):
            status, head, body = await self.read_response()
            self.assertEqual((status, body), (200, path))
            self.assertNotIn(b'connection: close', head)
        status, head, _ = await self.read_response()
        self.assertEqual(status, 400)
        self.assertIn(b'connection: close', head)
        await self.read_end()

    async def test_caller_asks_to_close(self):
        """Guards against requests that run and are never answered."""
        self.block(b'/1')
        last = pipelined_calls.get(b'/2', b'Connection: close\r\n')
        self.writer.write(
            pipelined_calls.get(b'/1') + last + pipelined_calls.get(b'/3')
        )
        await self.wait(lambda: len(self.requests) == 2)
        await asyncio.sleep(0.05)
        self.event_by_path[b'/1'].set()
        for path in (b'/1', b'/2'):
            _, head, body = await self.read_response()
            self.assertEqual(body, path)
        self.assertIn(b'connection: close', head)
        await self.read_end()
        self.assertEqual(self.paths, [b'/1', b'/2'])

    async def test_http_1_0(self):
        """Guards against requests behind one that ends the connection."""
        self.block(b'/1')
        self.writer.write(
            b'GET /1 HTTP/1.0\r\nHost: a\r\n\r\n' + pipelined_calls.get(b'/2')
        )
        await self.wait(lambda: self.requests)
        self.event_by_path[b'/1'].set()
        _, head, _ = await self.read_response()
        self.assertIn(b'connection: close', head)
        await self.read_end()
        self.assertEqual(self.paths, [b'/1'])

    async def _check_started_ones_are_answered(self, path):
        """A response that closes must not take the others with it."""
        self.block(path, b'/2', b'/4')
        self.writer.write(
            pipelined_calls.get(path)
            + pipelined_calls.get(b'/2')
            + pipelined_calls.get(b'/3')
        )
        await self.wait(lambda: len(self.requests) == 3)
        self.event_by_path[path].set()
        _, head, _ = await self.read_response()
        self.assertNotIn(b'connection: close', head)
        # Nothing more starts behind it.
        self.writer.write(pipelined_calls.get(b'/4'))
        await asyncio.sleep(0.05)
        self.event_by_path[b'/2'].set()
        _, head, body = await self.read_response()
        self.assertEqual(body, b'/2')
        self.assertNotIn(b'connection: close', head)
        _, head, body = await self.read_response()
        self.assertEqual(body, b'/3')
        self.assertIn(b'connection: close', head)
        await self.read_end()
        self.assertEqual(self.paths, [path, b'/2', b'/3'])

    async def test_failed_handler(self):
        """Guards against other requests that get no answer."""
        await self._check_started_ones_are_answered(b'/fails')

    async def test_response_that_closes(self):
        """Guards against other requests that get no answer."""
        await self._check_started_ones_are_answered(b'/closes')

    async def test_shutdown(self):
        """Guards against started requests that are cut at a shutdown."""
        self.block(b'/1', b'/2')
        self.writer.write(
            pipelined_calls.get(b'/1')
            + pipelined_calls.get(b'/2')
            + pipelined_calls.get(b'/3')
        )
        await self.wait(lambda: len(self.requests) == 3)
        self.server.draining = True
        self.writer.write(pipelined_calls.get(b'/4'))
        await asyncio.sleep(0.05)
        self.server.close_idle()
        self.event_by_path[b'/1'].set()
        _, head, _ = await self.read_response()
        self.assertNotIn(b'connection: close', head)
        self.event_by_path[b'/2'].set()
        await self.read_response()
        _, head, body = await self.read_response()
        self.assertEqual(body, b'/3')
        self.assertIn(b'connection: close', head)
        await self.read_end()
        self.assertEqual(self.paths, [b'/1', b'/2', b'/3'])

    async def test_response_that_cannot_be_sent(self):
        """Guards against an error that takes other responses with it."""
        errors = []
        self.server.on_handler_error = errors.append
        self.block(b'/1')
        self.body_by_path[b'/1'] = b'not for HEAD'
        self.writer.write(
            b'HEAD /1'
            + pipelined_calls.HEAD
            + b'\r\n'
            + pipelined_calls.get(b'/2')
        )
        await self.wait(lambda: len(self.requests) == 2)
        self.event_by_path[b'/1'].set()
        status, _, _ = await self.read_response()
        self.assertEqual(status, 500)
        self.assertEqual((await self.read_response())[2], b'/2')
        self.assertEqual(len(errors), 1)


class RouterTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a router that does not say what is repeatable."""

    async def asyncSetUp(self):
        stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(stack.aclose)
        self.site = platform_site.Site(stack)
        await self.site.start(
            [
                platform_site.route_row('read', '/read/', 'desk'),
                platform_site.route_row('post', '/post/', 'desk', 'unsafe'),
            ],
            [['desk', '/healthz', 100, None]],
        )
        self.targets = [
            await self.site.add_target(f'i-{number}', 'desk')
            for number in range(2)
        ]
        router = await self.site.add_router('host-1')
        self.reader, self.writer = await asyncio.open_connection(
            *router.settings.listen_address
        )
        self.addCleanup(self.writer.close)

    def _request(self, path, request_id):
        return (
            b'GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n'
            b'X-Request-Deadline: 2000\r\n\r\n'
            % (path, platform_site.HOST.encode(), request_id)
        )

    async def _ids_after(self, data, seconds):
        for target in self.targets:
            target.work_s = 0.5
        self.writer.write(data)
        await asyncio.sleep(seconds)
        return {each for target in self.targets for each in target.ran}

    async def _read_ids(self, count):
        ids = []
        async with asyncio.timeout(4.0):
            for _ in range(count):
                head = (await self.reader.readuntil(b'\r\n\r\n')).lower()
                self.assertIn(b' 200 ', head)
                value = head.partition(b'x-request-id: ')[2]
                ids.append(value.partition(b'\r\n')[0])
                await self.reader.readexactly(len(b'done'))
        return ids

    async def test_repeatable_requests_run_at_the_same_time(self):
        data = b''.join(
            self._request(b'/read/1', b'a%d' % number) for number in range(4)
        )
        ran = await self._ids_after(data, 0.3)
        self.assertEqual(ran, {'a0', 'a1', 'a2', 'a3'})
        self.assertEqual(await self._read_ids(4), [b'a0', b'a1', b'a2', b'a3'])

    async def test_other_requests_run_alone(self):
        data = self._request(b'/read/1', b'a0')
        data += self._request(b'/post/1', b'a1')
        data += self._request(b'/read/1', b'a2')
        self.assertEqual(await self._ids_after(data, 0.3), {'a0'})
        self.assertEqual(await self._ids_after(b'', 0.5), {'a0', 'a1'})
        self.assertEqual(await self._read_ids(3), [b'a0', b'a1', b'a2'])


if __name__ == '__main__':
    unittest.main()
