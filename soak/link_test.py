import asyncio
import contextlib
import random
import socket
import unittest

from amaranthcrank.router import model
from soak import link

WAIT_S = 5.0
# Far longer than a chunk takes over loopback.
QUIET_S = 0.1
REQUESTS = (link.Direction.REQUESTS,)
RESPONSES = (link.Direction.RESPONSES,)


def _free_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return model.Address(*probe.getsockname())


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.received = asyncio.Queue()
        self.echoes = set()
        self.server = await asyncio.start_server(self._echo, '127.0.0.1', 0)
        destination = model.Address(*self.server.sockets[0].getsockname())
        self.link = link.Link(_free_address(), destination, random.Random(1))
        await self.link.listen()

    async def asyncTearDown(self):
        self.link.close()
        self.server.close()
        async with asyncio.timeout(WAIT_S):
            await asyncio.gather(*self.echoes)

    async def _echo(self, reader, writer):
        self.echoes.add(asyncio.current_task())
        with contextlib.suppress(OSError):
            while chunk := await reader.read(1000):
                self.received.put_nowait(chunk)
                writer.write(chunk)
        self.received.put_nowait(b'')
        writer.close()

    async def _connect(self):
        return await asyncio.open_connection(*self.link.address)

    async def _next(self):
        async with asyncio.timeout(WAIT_S):
            return await self.received.get()

    async def test_forwards_both_ways(self):
        reader, writer = await self._connect()
        writer.write(b'call')
        self.assertEqual(await self._next(), b'call')
        self.assertEqual(await reader.readexactly(4), b'call')
        writer.close()
        self.assertEqual(await self._next(), b'')

    async def test_held_bytes_arrive_after_their_sender_closed(self):
        """Guards against a link that loses what a sender gave up."""
        self.link.hold(REQUESTS)
        _, writer = await self._connect()
        writer.write(b'call')
        await writer.drain()
        writer.close()
        await asyncio.sleep(QUIET_S)
        self.assertTrue(self.received.empty())
        self.link.resume(REQUESTS)
        self.assertEqual(await self._next(), b'call')
        self.assertEqual(await self._next(), b'')

    async def test_held_bytes_arrive_after_their_sender_reset(self):
        self.link.hold(REQUESTS)
        _, writer = await self._connect()
        writer.write(b'call')
        await writer.drain()
        await asyncio.sleep(QUIET_S)
        writer.transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
        )
        writer.transport.abort()
        await asyncio.sleep(QUIET_S)
        self.link.resume(REQUESTS)
        self.assertEqual(await self._next(), b'call')

    async def test_holds_one_way(self):
        """Guards against a link that also holds back the other direction."""
        self.link.hold(RESPONSES)
        reader, writer = await self._connect()
        writer.write(b'call')
        self.assertEqual(await self._next(), b'call')
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(4), QUIET_S)
        self.link.resume(RESPONSES)
        self.assertEqual(await reader.readexactly(4), b'call')
        writer.close()

    async def test_overlapping_holds(self):
        """Guards against a hold that ends with an earlier one."""
        self.link.hold(REQUESTS)
        self.link.hold(REQUESTS)
        _, writer = await self._connect()
        writer.write(b'call')
        self.link.resume(REQUESTS)
        await asyncio.sleep(QUIET_S)
        self.assertTrue(self.received.empty())
        self.link.resume(REQUESTS)
        self.assertEqual(await self._next(), b'call')
        writer.close()

    async def test_delays_keep_the_order(self):
        self.link.delays = link.Delays(0.5, 0.01, 0.05)
        _, writer = await self._connect()
        sent = b''
        for number in range(10):
            writer.write(b'%d' % number)
            sent += b'%d' % number
            await writer.drain()
            await asyncio.sleep(0.005)
        writer.close()
        arrived = b''
        while chunk := await self._next():
            arrived += chunk
        self.assertEqual(arrived, sent)

    async def test_target_that_is_gone(self):
        """Guards against a caller that waits for a target that has ended."""
        self.server.close()
        await self.server.wait_closed()
        reader, writer = await self._connect()
        with contextlib.suppress(OSError):
            async with asyncio.timeout(WAIT_S):
                self.assertEqual(await reader.read(), b'')
        writer.close()
