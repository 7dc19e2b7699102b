import asyncio
import unittest

from amaranthcrank.router import http_server
from amaranthcrank.router import model
from soak import call_server

WAIT_S = 5.0


def _call(path, body=b''):
    head = f'POST {path} HTTP/1.1\r\nHost: t\r\nContent-Length: {len(body)}'
    return head.encode() + b'\r\n\r\n' + body


class CallServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.begun = asyncio.Event()
        self.may_go_on = asyncio.Event()
        self.may_go_on.set()
        self.carried_out = []
        self.is_repeated = False
        self.server = call_server.CallServer(
            self._handle, lambda request: self.is_repeated
        )
        self.address = model.Address('127.0.0.1', 0)
        await self.server.listen(self.address)
        self.address = model.Address(*self.server.address)

    async def asyncTearDown(self):
        self.server.close()

    async def _handle(self, request):
        self.begun.set()
        await self.may_go_on.wait()
        self.carried_out.append((request.path, request.body))
        if request.path == b'/unanswered':
            return None
        return http_server.Response(200, [(b'x-path', request.path)], b'ok')

    async def _wait_for(self, count):
        async with asyncio.timeout(WAIT_S):
            while len(self.carried_out) < count:
                await asyncio.sleep(0.01)

    async def _read(self, reader):
        async with asyncio.timeout(WAIT_S):
            head = await reader.readuntil(b'\r\n\r\n')
            self.assertEqual(await reader.readexactly(2), b'ok')
        return head

    async def test_answers_several_calls_of_a_connection(self):
        reader, writer = await asyncio.open_connection(*self.address)
        for path in ('/one', '/two'):
            writer.write(_call(path, b'body'))
            head = await self._read(reader)
            self.assertIn(path.encode(), head)
            self.assertTrue(head.startswith(b'HTTP/1.1 200 OK'))
        writer.close()
        self.assertEqual(
            self.carried_out, [(b'/one', b'body'), (b'/two', b'body')]
        )

    async def test_call_takes_effect_after_its_connection_closed(self):
        """Guards against a target that drops calls nobody waits for.

        Two owners of a key were not seen with such targets.
        """
        self.may_go_on.clear()
        _, writer = await asyncio.open_connection(*self.address)
        writer.write(_call('/one') + _call('/two'))
        await self.begun.wait()
        writer.transport.abort()
        await asyncio.sleep(0.05)
        self.may_go_on.set()
        await self._wait_for(2)
        self.assertEqual([path for path, _ in self.carried_out][1], b'/two')

    async def test_unanswered_call(self):
        """Guards against a late call whose connection is used again."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(_call('/unanswered') + _call('/two'))
        await self._wait_for(1)
        writer.write_eof()
        async with asyncio.timeout(WAIT_S):
            self.assertEqual(await reader.read(), b'')
        self.assertEqual(len(self.carried_out), 1)
        writer.close()

    async def test_response_is_repeated_before_the_next(self):
        reader, writer = await asyncio.open_connection(*self.address)
        self.is_repeated = True
        writer.write(_call('/one'))
        self.assertIn(b'/one', await self._read(reader))
        self.is_repeated = False
        writer.write(_call('/two'))
        self.assertIn(b'/one', await self._read(reader))
        self.assertIn(b'/two', await self._read(reader))
        writer.close()

    async def test_bytes_that_are_no_call(self):
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(b'\0\r\n\r\n')
        async with asyncio.timeout(WAIT_S):
            self.assertEqual(await reader.read(), b'')
        writer.close()

    async def test_incomplete_call(self):
        """Guards against carrying out a call of which a part is missing."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(_call('/one', b'body')[:-1])
        writer.write_eof()
        async with asyncio.timeout(WAIT_S):
            self.assertEqual(await reader.read(), b'')
        self.assertEqual(self.carried_out, [])
        writer.close()
