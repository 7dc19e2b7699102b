"""Seeded tests of requests sent ahead in random segments.

Load: several callers whose requests of all kinds arrive in random segments
and take random times, some of which disconnect.
"""

import asyncio
import random
import unittest

from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import response_queue
from standins import caller_server

SEEDS = 12
CALLERS = 6
HEAD = b' HTTP/1.1\r\nHost: a\r\n'
# Some bodies are longer than what is read without a reservation.
BODY_SIZES = (0, 10, 3000, 90_000)
RESPONSE_SIZES = (0, 10, 5000, 200_000)


def _request(path, chance):
    """Return a random request for a path."""
    if chance.random() < 0.7:
        return b'GET ' + path + HEAD + b'\r\n'
    method = chance.choice((b'PUT ', b'POST '))
    body = b'b' * chance.choice(BODY_SIZES)
    if chance.random() < 0.5:
        length = b'Content-Length: %d\r\n\r\n' % len(body)
        return method + path + HEAD + length + body
    data = method + path + HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    if body:
        data += b'%x\r\n%s\r\n' % (len(body), body)
    return data + b'0\r\n\r\n'


class RandomTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.running_by_caller = {}
        self.most_at_once = 0
        self.faults = []
        self.server = http_server.Server(
            self._handle, lambda request: request.method != b'POST'
        )
        self.server.limits = model.CallerLimits(2000, 1_000_000, 9.0, 9.0)
        self.server.on_handler_error = self.faults.append
        self.port = await caller_server.listen(self, self.server)

    async def _handle(self, request):
        caller, number = request.path[1:].split(b'/')
        running = self.running_by_caller.setdefault(caller, {})
        if running and b'POST' in (request.method, *running.values()):
            self.faults.append(f'{request.path!r} does not run alone')
        if number in running:
            self.faults.append(f'{request.path!r} runs twice')
        running[number] = request.method
        self.most_at_once = max(self.most_at_once, len(running))
        try:
            await asyncio.sleep(self.chance.choice((0.0, 0.001, 0.01)))
        finally:
            del running[number]
        size = self.chance.choice(RESPONSE_SIZES)
        return http_server.Response(
            200, [(b'x-path', request.path)], b'r' * size
        )

    async def _send(self, writer, data):
        position = 0
        while position < len(data):
            size = self.chance.choice((1, 20, 500, 30_000))
            writer.write(data[position : position + size])
            position += size
            if self.chance.random() < 0.3:
                await asyncio.sleep(0.001)

    async def _read(self, reader):
        head = await reader.readuntil(b'\r\n\r\n')
        field_by_name = dict(
            line.split(b': ', 1) for line in head.lower().split(b'\r\n')[1:-2]
        )
        await reader.readexactly(int(field_by_name[b'content-length']))
        return field_by_name[b'x-path']

    async def _call(self, caller, leaves):
        paths = [b'/%d/%d' % (caller, number) for number in range(25)]
        data = b''.join(_request(path, self.chance) for path in paths)
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        sending = asyncio.create_task(self._send(writer, data))
        expected = paths[: self.chance.randrange(25)] if leaves else paths
        for path in expected:
            self.assertEqual(await self._read(reader), path)
        if leaves:
            sending.cancel()
            writer.transport.abort()
            return
        await sending

    async def test_random_requests(self):
        """Guards against responses in the wrong order, or lost ones.

        Also against requests that run twice or at a wrong time, and against
        memory and handlers that stay when callers have left.
        """
        for seed in range(SEEDS):
            self.chance = random.Random(seed)
            with self.subTest(seed=seed):
                async with asyncio.timeout(20.0):
                    await asyncio.gather(
                        *(
                            self._call(caller, leaves=caller % 3 == 2)
                            for caller in range(CALLERS)
                        )
                    )
                self.server.close()
                async with asyncio.timeout(3.0):
                    while self.server.connections:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                self.assertEqual(self.server.active_requests, 0)
                self.assertEqual(self.server.uploads.reserved_bytes, 0)
                self.assertEqual(self.faults, [])
        self.assertEqual(self.most_at_once, response_queue.MAX_EXCHANGES)


if __name__ == '__main__':
    unittest.main()
