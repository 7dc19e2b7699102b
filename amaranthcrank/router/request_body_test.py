"""Tests of long bodies that wait for memory."""

import asyncio
import unittest
from unittest import mock

from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import request_body
from standins import caller_server

BODY = b'x' * 100_000
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\n'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(BODY)


class RequestBodyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        patch = mock.patch.object(request_body, 'MAX_WAIT_S', 0.3)
        patch.start()
        self.addCleanup(patch.stop)
        self.bodies = []
        self.may_end = asyncio.Event()
        self.server = http_server.Server(self._handle)
        self.server.limits = model.CallerLimits(5000, 1_000_000, 2.0, 2.0)
        self.server.uploads.max_bytes = 150_000
        self.port = await caller_server.listen(self, self.server)

    async def _handle(self, request):
        self.bodies.append(request.body)
        if request.body:
            await self.may_end.wait()
        return http_server.Response(200, [], b'')

    async def _send(self, data):
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def _read_head(self, reader):
        async with asyncio.timeout(2.0):
            head = await reader.readuntil(b'\r\n\r\n')
        return int(head.split()[1]), head.lower()

    async def _wait_for_bodies(self, count):
        async with asyncio.timeout(2.0):
            while len(self.bodies) < count:
                await asyncio.sleep(0.01)

    async def test_long_body_waits_for_memory(self):
        """Guards against uploads that together end the process."""
        await self._send(HEAD + LENGTH + BODY)
        await self._wait_for_bodies(1)
        reader, _ = await self._send(HEAD + LENGTH + BODY)
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.bodies), 1)
        self.may_end.set()
        status, _ = await self._read_head(reader)
        self.assertEqual(status, 200)
        self.assertEqual(self.bodies, [BODY, BODY])
        self.assertEqual(self.server.uploads.reserved_bytes, 0)

    async def test_body_that_gets_no_memory(self):
        """Guards against a caller that waits for a rejection in vain.

        The response arrives although the caller has not sent all of its body.
        """
        await self._send(HEAD + LENGTH + BODY)
        await self._wait_for_bodies(1)
        length = b'Content-Length: 900000\r\n\r\n'
        reader, writer = await self._send(HEAD + length + BODY)
        status, head = await self._read_head(reader)
        self.assertEqual(status, 503)
        self.assertIn(b'retry-after: 1', head)
        self.assertIn(b'connection: close', head)
        writer.write(BODY * 8)
        await writer.drain()
        self.assertEqual(len(self.bodies), 1)

    async def test_short_bodies_do_not_wait(self):
        """Guards against short requests that wait behind long ones."""
        await self._send(HEAD + LENGTH + BODY)
        await self._wait_for_bodies(1)
        await self._send(HEAD + LENGTH + BODY)
        await self._send(HEAD + b'Content-Length: 5\r\n\r\nshort')
        await self._wait_for_bodies(2)
        self.assertEqual(self.bodies[1], b'short')

    async def test_chunked_bodies_wait_as_well(self):
        """Guards against uploads of unknown length beyond the limit."""
        chunked = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        chunked += b'%x\r\n%s\r\n0\r\n\r\n' % (len(BODY), BODY)
        await self._send(HEAD + LENGTH + BODY)
        await self._wait_for_bodies(1)
        reader, _ = await self._send(
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
            b'%x\r\n%s' % (900_000, BODY)
        )
        status, _ = await self._read_head(reader)
        self.assertEqual(status, 503)
        self.may_end.set()
        reader, _ = await self._send(chunked)
        status, _ = await self._read_head(reader)
        self.assertEqual(status, 200)
        self.assertEqual(self.bodies[-1], BODY)

    async def test_caller_that_leaves_gives_its_memory_back(self):
        """Guards against memory that stays reserved for lost connections."""
        _, writer = await self._send(HEAD + LENGTH + BODY[:70_000])
        async with asyncio.timeout(2.0):
            while not self.server.uploads.reserved_bytes:
                await asyncio.sleep(0.01)
        reader, _ = await self._send(HEAD + LENGTH + BODY)
        writer.close()
        self.may_end.set()
        status, _ = await self._read_head(reader)
        self.assertEqual(status, 200)

    async def test_announced_length_beyond_the_limit(self):
        """Guards against a body that is read only to be rejected."""
        reader, _ = await self._send(HEAD + b'Content-Length: 1000001\r\n\r\n')
        status, _ = await self._read_head(reader)
        self.assertEqual(status, 413)


if __name__ == '__main__':
    unittest.main()
