import asyncio
import contextlib
import unittest

from amaranthcrank.router import connection_pool
from amaranthcrank.router import model
from standins import scripted_server

HEADERS = [(b'host', b'a')]


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


class KeepAliveTest(unittest.IsolatedAsyncioTestCase):
    """A server that announces how long it keeps idle connections."""

    async def asyncSetUp(self):
        self.now = 100.0
        self.announced = b'timeout=10'
        self.connections = 0
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        self.address = model.Address(*server.sockets[0].getsockname())
        self.pool = connection_pool.Pool(lambda: self.now)
        self.addCleanup(self.pool.close)

    async def _serve(self, reader, writer):
        self.connections += 1

        def respond(head, number):
            return (
                b'HTTP/1.1 200 OK\r\nkeep-alive: %s\r\n'
                b'content-length: 0\r\n\r\n' % self.announced
            )

        await scripted_server.serve(reader, writer, respond)

    async def _count_after(self, idle_s):
        """Return the connections after two requests with a pause."""
        for _ in range(2):
            await connection_pool.request(
                self.pool, self.address, b'GET', b'/', HEADERS, b'', 1.0, 1.0
            )
            self.now += idle_s
            self.pool.close_expired()
        return self.connections

    async def test_longer_timeout_than_the_default(self):
        # Each needless connection costs the target time.
        self.assertEqual(await self._count_after(8.0), 1)

    async def test_expired_connection_is_not_used(self):
        # The request would cross the close, and be lost.
        self.assertEqual(await self._count_after(9.5), 2)

    async def test_nonsense(self):
        self.announced = b'timeout=' + b'9' * 5000
        self.assertEqual(await self._count_after(3.0), 1)


if __name__ == '__main__':
    unittest.main()
