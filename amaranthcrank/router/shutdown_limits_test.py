"""Tests of requests that come late while a host shuts down.

Guards against requests that are passed on and then cut without an answer when
the process ends, which is worst for those that may not be repeated.
"""

import asyncio
import contextlib
import socket
import unittest

from amaranthcrank.router import http_client
from amaranthcrank.router import main
from amaranthcrank.router import shutdown_limits
from standins import platform_site

READ_BYTES = 64 * 1024
LIMITS = shutdown_limits.ShutdownLimits(2.4, 6.0)


class LimitTest(unittest.TestCase):
    def test_short_work_is_sent_while_the_host_listens(self):
        self.assertEqual(
            shutdown_limits.latest_send_at(LIMITS, 60.0, 0.1), 2.4
        )

    def test_long_work_is_sent_only_if_it_can_end(self):
        latest = shutdown_limits.latest_send_at(LIMITS, 60.0, 0.6)
        self.assertLess(latest, 6.0 - 5 * 0.6)

    def test_deadline_before_the_end(self):
        # It is answered before the end, by the target or by a time-out.
        self.assertEqual(shutdown_limits.latest_send_at(LIMITS, 5.0, 3.0), 5.0)


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.site = platform_site.Site(self.stack)
        routes = [
            platform_site.route_row(
                'post', '/post/', 'desk', 'unsafe', timeout_ms=20_000
            ),
            platform_site.route_row(
                'book', '/book/', 'book', 'unsafe', 0, timeout_ms=20_000
            ),
        ]
        services = [
            ['desk', '/healthz', 100, None],
            ['book', '/healthz', 100, True],
        ]
        await self.site.start(routes, services)
        self.target = await self.site.add_target('i-1', 'desk')
        self.owner = await self.site.add_target('i-2', 'book', keyed=True)
        self.router = await self.site.add_router('host-1')
        async with asyncio.timeout(8.0):
            while self.router.admission.selection.owner('book', 5) is None:
                await asyncio.sleep(0.02)

    async def _connect(self):
        return await http_client.connect(
            self.router.settings.listen_address, 1.0
        )

    async def _send(self, connection, request_id, path='/post/1', key=None):
        headers = [
            (b'host', platform_site.HOST.encode()),
            (b'x-request-id', request_id.encode()),
            (b'x-request-deadline', b'20000'),
            (b'content-length', b'0'),
        ]
        if key is not None:
            headers.append((b'x-shard-key', str(key).encode()))
        async with asyncio.timeout(8.0):
            return await connection.exchange(
                b'POST', path.encode(), headers, b'', request_id.encode()
            )

    async def test_late_requests_are_refused_as_not_run(self):
        # New connections, whose first request is in transit, stay open.
        connections = [await self._connect() for _ in range(3)]
        loop = asyncio.get_running_loop()
        # The host goes on for as long as this request is at work.
        self.target.work_s = 3.5
        busy = asyncio.create_task(self._send(await self._connect(), 'b1'))
        await asyncio.sleep(0.1)
        self.router.stopping.set()
        await asyncio.sleep(main.LISTEN_AFTER_SIGTERM_S + 0.3)
        # Work that would go on when the process ends.
        self.target.work_s = self.owner.work_s = 5.0
        for number, connection in enumerate(connections):
            path, key = ('/book/1', 5) if number else ('/post/1', None)
            began_at = loop.time()
            response = await self._send(connection, f'a{number}', path, key)
            self.assertEqual(response.status, 503)
            self.assertIsNotNone(response.header(b'retry-after'))
            self.assertEqual(response.header(b'connection'), b'close')
            self.assertLess(loop.time() - began_at, 0.3)
        self.assertEqual(self.target.ran + self.owner.ran, ['b1'])
        self.assertEqual((await busy).status, 200)

    async def test_request_at_a_silent_target_is_answered(self):
        """Guards against callers that learn nothing when the host ends.

        A full target says nothing, and the deadline lies beyond the end. The
        request may have run, so it is no refusal that the caller should get.
        """
        connection = await self._connect()
        self.router.stopping.set()
        await asyncio.sleep(1.0)
        self.target.queue_length = 0
        response = await self._send(connection, 'a1')
        self.assertIn(response.status, (502, 504))

    async def test_request_that_was_passed_on_is_answered(self):
        connection = await self._connect()
        self.router.stopping.set()
        await asyncio.sleep(1.0)
        self.target.work_s = 3.0
        response = await self._send(connection, 'a1')
        self.assertEqual(response.status, 200)

    async def _read_steadily(self, size, bytes_per_s):
        """Request a response and return how many bytes of its body arrive."""
        reader, writer = await asyncio.open_connection(
            *self.router.settings.listen_address, limit=READ_BYTES
        )
        self.addCleanup(writer.close)
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES
        )
        writer.write(
            b'POST /post/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: a1\r\n'
            b'X-Request-Deadline: 8000\r\nContent-Length: 0\r\n\r\n'
            % platform_site.HOST.encode()
        )
        await reader.readuntil(b'\r\n\r\n')
        received = 0
        while received < size:
            data = await reader.read(READ_BYTES)
            if not data:
                break
            received += len(data)
            await asyncio.sleep(len(data) / bytes_per_s)
        return received

    async def test_response_that_is_being_delivered(self):
        """Guards against responses that are cut at SIGTERM.

        The process ended once all responses were handed to the transport,
        and callers that read steadily lost the rest.
        """
        size = 14 * 1024 * 1024
        self.target.body = b'x' * size
        reading = asyncio.create_task(
            self._read_steadily(size, bytes_per_s=2.5 * 1024 * 1024)
        )
        await asyncio.sleep(0.5)
        self.router.stopping.set()
        async with asyncio.timeout(10.0):
            await asyncio.wait([self.site.tasks[0]])
            # What the process has not handed to the system is lost.
            unsent_bytes = sum(
                each.unsent_bytes for each in self.router.server.connections
            )
            self.assertEqual(unsent_bytes, 0)
            self.assertEqual(await reading, size)

    async def test_waiting_request_is_refused_when_it_is_too_late(self):
        # The target's slots are in use, so the request waits.
        self.target.work_s = 3.2
        busy = [
            asyncio.create_task(
                self._send(await self._connect(), f'b{number}')
            )
            for number in range(3)
        ]
        await asyncio.sleep(0.2)
        waiting = asyncio.create_task(self._send(await self._connect(), 'a1'))
        await asyncio.sleep(0.2)
        self.router.stopping.set()
        response = await waiting
        self.assertEqual(response.status, 503)
        self.assertNotIn('a1', self.target.ran)
        for task in busy:
            self.assertEqual((await task).status, 200)
