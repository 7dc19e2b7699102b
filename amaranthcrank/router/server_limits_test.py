"""Tests of the limits of the servers, on loopback connections."""

import asyncio
import unittest

from amaranthcrank.router import body_rate
from amaranthcrank.router import connection_shares
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import options
from amaranthcrank.router import server_limits
from standins import platform_site

GET = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
TIMEOUT_S = 5.0
SETTINGS = model.HostSettings(
    host_id='host-0',
    ip='127.0.0.1',
    failure_domain='a',
    region='north',
    region_by_domain={'a': 'north'},
    listen_address=model.Address('127.0.0.1', 1),
    readiness_address=model.Address('127.0.0.1', 1),
    peer_port=1,
    metrics_port=1,
    store=model.Address('127.0.0.1', 1),
    heartbeat_s=0.5,
    max_descriptors=1000,
    memory_bytes=100_000_000,
    bounds=model.Bounds(2.0, 3.0, 6.0, 0.2, 10.0, 60.0, 10.0),
)


class ServerLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.handled = 0
        self.may_end = asyncio.Event()
        self.may_end.set()
        self.server = http_server.Server(self._handle)
        self.address = model.Address('127.0.0.1', platform_site.free_port())
        await self.server.listen(self.address)
        self.addCleanup(self.server.close)

    async def _handle(self, request):
        self.handled += 1
        await self.may_end.wait()
        return http_server.Response(200, [], b'')

    async def _open(self, data=b''):
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def _read_status(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return int((await reader.readuntil(b'\r\n\r\n')).split()[1])

    async def _wait(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_request_replaces_a_connection_without_one(self):
        """Guards against callers kept out by connections that send nothing."""
        self.server.max_connections = 2
        first, _ = await self._open()
        await self._wait(lambda: len(self.server.connections) == 1)
        await self._open()
        await self._wait(lambda: len(self.server.connections) == 2)
        reader, _ = await self._open(GET)
        self.assertEqual(await self._read_status(reader), 200)
        async with asyncio.timeout(TIMEOUT_S):
            with self.assertRaises(ConnectionError):
                if not await first.read():
                    raise ConnectionResetError
        self.assertEqual(len(self.server.connections), 2)

    async def test_running_requests_are_not_closed(self):
        """Guards against a request that runs although its caller is cut off.

        The one that is refused must not run.
        """
        self.server.max_connections = 2
        self.may_end.clear()
        readers = [(await self._open(GET))[0] for _ in range(2)]
        await self._wait(lambda: self.handled == 2)
        refused, _ = await self._open()
        self.assertEqual(await self._read_status(refused), 503)
        self.may_end.set()
        for reader in readers:
            self.assertEqual(await self._read_status(reader), 200)
        self.assertEqual(self.handled, 2)
        self.assertEqual(self.server.refused_connections, 1)

    async def test_slow_body_is_refused(self):
        """Guards against a body in single bytes that never ends."""
        self.server.limits = model.CallerLimits(5000, 1_000_000, 5.0, 5.0)
        self.server.rate_rule = body_rate.RateRule(1000.0, 0.3)
        checking = asyncio.create_task(self.server.enforce_timeouts())
        self.addCleanup(checking.cancel)
        reader, writer = await self._open(
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n'
        )
        reading = asyncio.create_task(self._read_status(reader))
        while not reading.done():
            writer.write(b'x')
            await asyncio.sleep(0.02)
        self.assertEqual(await reading, 408)
        self.assertEqual(self.handled, 0)

    async def test_tiny_chunks_let_others_through(self):
        """Guards against a turn of the loop that only parses chunks."""
        head = b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n'
        chunks = b'1\r\nx\r\n' * 20_000
        reader, _ = await self._open(head + b'\r\n' + chunks)
        await self._wait(lambda: self.server.turns.deferred)
        other, _ = await self._open(GET)
        self.assertEqual(await self._read_status(other), 200)
        self.assertEqual(self.handled, 1)

    async def test_body_in_tiny_chunks_arrives_whole(self):
        """Guards against a deferred connection that is never read on."""
        head = b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n'
        data = head + b'\r\n' + b'1\r\nx\r\n' * 5_000 + b'0\r\n\r\n'
        reader, _ = await self._open(data + GET)
        self.assertEqual(await self._read_status(reader), 200)
        self.assertEqual(await self._read_status(reader), 200)
        self.assertEqual(self.handled, 2)


class ApplyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.servers = server_limits.Servers(
            *(http_server.Server(self._handle) for _ in range(3))
        )

    async def _handle(self, request):
        return http_server.Response(200, [], b'')

    def test_all_servers_have_limits(self):
        """Guards against an address whose connections nobody limits."""
        chosen = options.Options(max_callers=50, parse_events_per_turn=7)
        server_limits.apply(self.servers, SETTINGS, chosen)
        limits = [server.max_connections for server in self.servers]
        self.assertEqual(limits, [50, 36, 36])
        for server in self.servers:
            self.assertIs(server.turns, self.servers.callers.turns)
        self.assertEqual(self.servers.hosts.turns.events_per_turn, 7)
        self.assertEqual(self.servers.callers.uploads.max_bytes, 30_000_000)

    def test_idle_connections_give_way_to_callers(self):
        """Guards against idle connections that take callers' descriptors."""
        shares = connection_shares.ConnectionShares(10, 1, 1, 5)
        may_keep = server_limits.idle_check(self.servers.callers, shares)
        self.assertTrue(may_keep(14))
        self.servers.callers.active_requests = 5
        self.assertTrue(may_keep(9))
        self.assertFalse(may_keep(10))
