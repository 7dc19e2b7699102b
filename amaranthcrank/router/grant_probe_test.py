"""Tests of grants at targets that respond to probes in ways of their own."""

import asyncio
import contextlib
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.router import connection_pool
from amaranthcrank.router import key_calls
from amaranthcrank.router import model
from standins import scripted_server

IP = '127.0.0.1'
HOLD_S = 1.0
HOLDER = 'i-1/1'
RANGE = model.KeyRange(0, 99, 'i-1', 1, 1, False, '')
FOREIGN_KEY = 100
GRANTED = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
RELEASED = b'HTTP/1.1 200 OK\r\nx-handover: w\r\ncontent-length: 0\r\n\r\n'
CLOSING = b'connection: close\r\ncontent-length: 0'
FAILURE = b'HTTP/1.1 %d No\r\ncontent-length: 0\r\n\r\n'


class ProbeTest(unittest.IsolatedAsyncioTestCase):
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
        self.response_by_path = {
            names.RELEASE_PATH: RELEASED,
            names.GRANT_PATH: GRANTED,
        }
        self.paths = []

    async def _serve(self, reader, writer):
        await scripted_server.serve(reader, writer, self._respond)

    def _respond(self, head, number):
        path = head.split()[1].decode()
        self.paths.append(path)
        return self.response_by_path[path]

    async def _grant(self):
        return await self.calls.grant(
            HOLDER, self.address, RANGE, HOLD_S, '', lambda: FOREIGN_KEY
        )

    async def test_target_that_closes_each_connection(self):
        """Guards against an owner that is never renewed.

        It closed the connection after its response to the probe, so the grant
        had none on which it had responded.
        """
        for path, response in self.response_by_path.items():
            self.response_by_path[path] = response.replace(
                b'content-length: 0', CLOSING
            )
        self.assertEqual(await self._grant(), key_calls.GRANTED)
        self.assertEqual(self.paths, [names.RELEASE_PATH, names.GRANT_PATH])

    async def test_target_that_rejects_the_probe(self):
        """Guards against an owner that is never renewed.

        It rejects the release of keys that it never held.
        """
        for status in (400, 404, 409, 500, 503):
            with self.subTest(status=status):
                self.pool.drop(self.address)
                self.response_by_path[names.RELEASE_PATH] = FAILURE % status
                self.assertEqual(await self._grant(), key_calls.GRANTED)


if __name__ == '__main__':
    unittest.main()
