import asyncio
import contextlib
import unittest

from amaranthcrank.router import connection_pool
from amaranthcrank.router import model


class SlowAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An answer that is longer than its link carries in the time for it."""

    async def asyncSetUp(self):
        self.pause_s = 0.05
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.address = model.Address(*server.sockets[0].getsockname())
        self.pool = connection_pool.Pool(asyncio.get_running_loop().time)
        self.addCleanup(self.pool.close)

    async def _serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n')
        with contextlib.suppress(ConnectionError):
            for _ in range(8):
                await asyncio.sleep(self.pause_s)
                writer.write(b'x')
                await writer.drain()

    async def _request(self, silence_s):
        return await connection_pool.request(
            self.pool,
            self.address,
            b'GET',
            b'/',
            [(b'host', b'a')],
            b'',
            1.0,
            0.2,
            silence_s,
        )

    async def test_answer_that_arrives_is_awaited(self):
        # Given up and asked for anew, it would fill the link for ever.
        answer = await self._request(0.2)
        self.assertEqual(answer.body, b'x' * 8)

    async def test_answer_that_stops_is_given_up(self):
        self.pause_s = 0.4
        with self.assertRaises(TimeoutError):
            await self._request(0.2)

    async def test_without_extension(self):
        with self.assertRaises(TimeoutError):
            await self._request(0.0)


if __name__ == '__main__':
    unittest.main()
