import asyncio
import socket
import unittest

from amaranthcrank.router import http_server
from amaranthcrank.router import model
from standins import caller_server


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.requests = []
        self.cancelled_count = 0
        self.handler_delay_s = 0.0
        self.server = http_server.Server(self._handle)
        self.server.limits = model.CallerLimits(500, 20, 0.2, 0.4)
        self.port = await caller_server.listen(self, self.server)

    async def _handle(self, request):
        self.requests.append(request)
        try:
            await asyncio.sleep(self.handler_delay_s)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        return http_server.Response(200, [], request.body)

    async def _connect(self):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def _read_response(self, reader):
        async with asyncio.timeout(2.0):
            head = await reader.readuntil(b'\r\n\r\n')
        return int(head.split()[1]), head.lower()

    async def test_pipelined_requests(self):
        # Pipelined requests are answered one after another.
        reader, writer = await self._connect()
        writer.write(b'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n' * 2)
        for _ in range(2):
            status, _ = await self._read_response(reader)
            self.assertEqual(status, 200)

    async def test_chunked_body(self):
        reader, writer = await self._connect()
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n0\r\n\r\n'
        )
        await self._read_response(reader)
        self.assertEqual(self.requests[0].body, b'abc')

    async def test_caller_disconnects(self):
        self.handler_delay_s = 5.0
        _, writer = await self._connect()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.cancelled_count, 1)
        self.assertEqual(self.server.active_requests, 0)

    async def test_long_header(self):
        reader, writer = await self._connect()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 600)
        status, _ = await self._read_response(reader)
        self.assertEqual(status, 431)
        self.assertEqual(self.requests, [])

    async def test_long_body(self):
        reader, writer = await self._connect()
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n'
            + b'x' * 30
        )
        status, _ = await self._read_response(reader)
        self.assertEqual(status, 413)
        self.assertEqual(self.requests, [])

    async def test_conflicting_content_lengths(self):
        # Guards against request smuggling: where two servers read different
        # lengths, a body can hide another request.
        reader, writer = await self._connect()
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n'
            b'Content-Length: 5\r\n\r\nabcde'
        )
        status, _ = await self._read_response(reader)
        self.assertEqual(status, 400)
        self.assertEqual(self.requests, [])

    async def test_header_timeout(self):
        reader, writer = await self._connect()
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        writer.write(b'GET / HTTP/1.1\r\nHos')
        status, _ = await self._read_response(reader)
        self.assertEqual(status, 408)

    async def test_body_timeout(self):
        # A caller that stops halfway through a body held its connection, and
        # what it had sent, for ever.
        reader, writer = await self._connect()
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        writer.write(
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf'
        )
        status, head = await self._read_response(reader)
        self.assertEqual(status, 408)
        self.assertIn(b'connection: close', head)
        self.assertEqual(self.requests, [])

    async def _request_long_response(self, size):
        async def respond(request):
            return http_server.Response(200, [], b'x' * size)

        self.server.handler = respond
        reader, writer = await self._connect()
        # The caller stops to read soon.
        writer.transport.pause_reading()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        async with asyncio.timeout(2.0):
            while not any(
                each.unsent_bytes for each in self.server.connections
            ):
                await asyncio.sleep(0.01)
        return reader, writer

    async def test_caller_that_does_not_read(self):
        # Its response was kept in memory for ever.
        await self._request_long_response(8 * 1024 * 1024)
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        async with asyncio.timeout(3.0):
            while self.server.connections:
                await asyncio.sleep(0.02)

    async def test_slow_caller_is_not_cut(self):
        body = b'x' * (16 * 1024 * 1024)

        async def respond(request):
            return http_server.Response(200, [], body)

        self.server.handler = respond
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        loop = asyncio.get_running_loop()
        with socket.create_connection(('127.0.0.1', self.port)) as caller:
            caller.setblocking(False)
            await loop.sock_sendall(
                caller, b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
            )
            received = 0
            # The transfer takes longer than the time-out.
            async with asyncio.timeout(10.0):
                while received < len(body):
                    data = await loop.sock_recv(caller, 256 * 1024)
                    self.assertTrue(data)
                    received += len(data)
                    await asyncio.sleep(0.02)

    async def test_many_callers_that_do_not_read(self):
        # Hosts have a few hundred megabytes of memory.
        self.server.limits = model.CallerLimits(500, 20, 9.0, 9.0)
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        size = http_server.MAX_UNSENT_BYTES // 2
        for _ in range(4):
            await self._request_long_response(size)
        async with asyncio.timeout(3.0):
            while len(self.server.connections) > 2:
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.6)
        self.assertTrue(self.server.connections)

    async def test_failed_handler(self):
        # The caller waited for an answer until its deadline.
        async def fail(request):
            raise ValueError('unexpected')

        errors = []
        self.server.handler = fail
        self.server.on_handler_error = errors.append
        reader, writer = await self._connect()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        status, _ = await self._read_response(reader)
        self.assertEqual(status, 500)
        self.assertEqual(len(errors), 1)
        self.assertEqual(self.server.active_requests, 0)

    async def test_idle_connection_is_closed(self):
        reader, _ = await self._connect()
        timeout_task = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(timeout_task.cancel)
        async with asyncio.timeout(2.0):
            self.assertEqual(await reader.read(), b'')

    async def test_draining_server_sends_connection_close(self):
        self.server.draining = True
        reader, writer = await self._connect()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        _, head = await self._read_response(reader)
        self.assertIn(b'connection: close', head)
