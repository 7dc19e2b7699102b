import asyncio
import contextlib
import unittest

from amaranthcrank.router import connection_pool
from amaranthcrank.router import model


class SlowResponseTest(unittest.IsolatedAsyncioTestCase):
    """A response that takes longer to transfer than its time limit."""

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

    async def _request(self, read_idle_timeout_s):
        return await connection_pool.request(
            self.pool,
            self.address,
            b'GET',
            b'/',
            [(b'host', b'a')],
            b'',
            1.0,
            0.2,
            read_idle_timeout_s,
        )

    async def test_timeout_is_extended_while_data_arrives(self):
        # Aborting and repeating the request would saturate a slow link without
        # ever completing the transfer.
        response = await self._request(0.2)
        self.assertEqual(response.body, b'x' * 8)

    async def test_stalled_response_times_out(self):
        self.pause_s = 0.4
        with self.assertRaises(TimeoutError):
            await self._request(0.2)

    async def test_without_extension(self):
        with self.assertRaises(TimeoutError):
            await self._request(0.0)


if __name__ == '__main__':
    unittest.main()
