"""Tests with one router process and callers that exceed the limits.

Each checks that the process lives, that its memory and its open descriptors
stay within the limits of its settings, and that an ordinary request is
answered while the clients are still connected.
"""

import asyncio
import contextlib
import unittest

from abuse import client_group
from abuse import site as sites
from amaranthcrank.platform import names
from amaranthcrank.router import http_client
from amaranthcrank.router import model
from standins import platform_site

# How long clients run before the ordinary request is sent.
ACT_S = 10.0
AHEAD_CONNECTIONS = 80
AHEAD_BYTES = 8 * 1024 * 1024
BLOCK_REQUESTS = 400
MANY_AHEAD = 300
LONG_RESPONSE_BYTES = 1024 * 1024
UPLOAD_CONNECTIONS = 40
COMPLETE_UPLOADS = 4
MISSING_BYTES = 1024
BLOCK_BYTES = 64 * 1024
TINY_CHUNK_CONNECTIONS = 16
TINY_CHUNKS_BYTES = 24 * 1024 * 1024
MANY_CONNECTIONS = 800
TRICKLE_CONNECTIONS = 120
TRICKLE_INTERVAL_S = 0.2


def _get(path: str, *extra: str) -> bytes:
    lines = [f'GET {path} HTTP/1.1', f'host: {platform_site.HOST}', *extra]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def _ahead(path: str, *extra: str) -> client_group.Script:
    """Return a script that sends requests ahead."""
    return client_group.repeat(
        _get(path, *extra) * BLOCK_REQUESTS, AHEAD_BYTES
    )


def _post(*framing: str) -> bytes:
    lines = [
        f'POST {sites.UPLOAD_PREFIX}x HTTP/1.1',
        f'host: {platform_site.HOST}',
        f'x-request-deadline: {sites.LONG_TIMEOUT_MS}',
        *framing,
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def _upload(missing_bytes: int) -> client_group.Script:
    """Return a script that sends a body of the announced length, or less."""
    head = _post(f'content-length: {sites.MAX_BODY_BYTES}')
    rest = sites.MAX_BODY_BYTES - BLOCK_BYTES
    return client_group.sequence(
        client_group.repeat(head, len(head)),
        client_group.repeat(bytes(BLOCK_BYTES), rest),
        client_group.repeat(
            bytes(BLOCK_BYTES - missing_bytes), BLOCK_BYTES - missing_bytes
        ),
    )


def _chunked_upload(is_complete: bool) -> client_group.Script:
    """Return a script that sends a body in chunks, with or without its end."""
    head = _post('transfer-encoding: chunked')
    chunk = f'{BLOCK_BYTES:x}\r\n'.encode() + bytes(BLOCK_BYTES) + b'\r\n'
    chunks = sites.MAX_BODY_BYTES // BLOCK_BYTES
    end = b'0\r\n\r\n' if is_complete else b''
    return client_group.sequence(
        client_group.repeat(head, len(head)),
        client_group.repeat(chunk, chunks * len(chunk)),
        client_group.repeat(end or b'0', len(end) or 1),
    )


def _tiny_chunks() -> client_group.Script:
    head = _post('transfer-encoding: chunked')
    block = b'1\r\nx\r\n' * (BLOCK_BYTES // 6)
    return client_group.sequence(
        client_group.repeat(head, len(head)),
        client_group.repeat(block, TINY_CHUNKS_BYTES),
    )


class CallersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.site = await sites.start(self.stack, sites.LOWERED_LIMITS)
        self.clients = client_group.ClientGroup()
        self.stack.push_async_callback(self.clients.close)

    async def check_usage(self):
        """Let the clients run, and check what the process uses then."""
        await self.clients.run(ACT_S)
        self.assertGreater(self.clients.connected, 0)
        self.check_bounds()
        try:
            async with asyncio.timeout(sites.GUARD_S):
                await self.site.wait_until_served()
        except TimeoutError:
            self.check_bounds()
            self.fail('no ordinary request was answered')
        self.check_bounds()
        await self.clients.close()
        try:
            async with asyncio.timeout(sites.GUARD_S):
                await self.site.wait_until_released()
        except TimeoutError:
            self.fail(f'{self.site.open_descriptors()} descriptors are open')
        self.check_bounds()

    def check_bounds(self):
        self.assertFalse(self.site.router.has_ended(), 'the process ended')
        used = {
            'memory': self.site.peak_memory_bytes(),
            'descriptors': self.site.peak_descriptors,
        }
        with self.subTest('memory', **used):
            self.assertLessEqual(used['memory'], sites.MAX_MEMORY_BYTES)
        with self.subTest('descriptors', **used):
            self.assertLessEqual(
                used['descriptors'], sites.MAX_OPEN_DESCRIPTORS
            )

    async def test_requests_ahead_to_readiness(self):
        """Guards against memory that grows with what is sent ahead.

        Seen at the readiness path: 840 MB on a host of 300 MB.
        """
        path = names.READINESS_PATH.decode()
        self.clients.add(
            sites.READINESS_ADDRESS, _ahead(path), AHEAD_CONNECTIONS
        )
        await self.check_usage()

    async def test_requests_ahead_without_route(self):
        """Guards against memory that grows where the host itself answers."""
        self.clients.add(
            sites.SERVE_ADDRESS, _ahead('/no/such/path'), AHEAD_CONNECTIONS
        )
        await self.check_usage()

    async def test_requests_ahead_on_route(self):
        """Guards against memory that grows where targets answer."""
        script = _ahead(
            f'{sites.ROUTE_PREFIX}x',
            f'x-request-deadline: {sites.DEADLINE_MS}',
        )
        self.clients.add(sites.SERVE_ADDRESS, script, AHEAD_CONNECTIONS)
        await self.check_usage()

    async def test_requests_ahead_on_many_connections(self):
        """Guards against memory that many connections take together."""
        self.clients.add(
            sites.SERVE_ADDRESS, _ahead('/no/such/path'), MANY_AHEAD
        )
        await self.check_usage()

    async def test_long_responses_unread(self):
        """Guards against responses in progress that exceed the memory.

        Each was started while little waited on its connection.
        """
        self.site.target.body = bytes(LONG_RESPONSE_BYTES)
        script = _ahead(
            f'{sites.ROUTE_PREFIX}x',
            f'x-request-deadline: {sites.DEADLINE_MS}',
        )
        self.clients.add(sites.SERVE_ADDRESS, script, AHEAD_CONNECTIONS)
        await self.check_usage()

    async def test_requests_ahead_to_metrics(self):
        """Guards against memory that grows with unread metrics."""
        self.clients.add(
            sites.METRICS_ADDRESS, _ahead('/metrics'), AHEAD_CONNECTIONS
        )
        await self.check_usage()

    async def test_requests_ahead_to_peer_port(self):
        """Guards against memory that grows with unread configurations."""
        self.clients.add(
            sites.PEER_ADDRESS, _ahead('/ticket'), AHEAD_CONNECTIONS
        )
        await self.check_usage()

    async def test_bodies_with_length_that_stop(self):
        """Guards against memory taken by bodies that never end."""
        self.clients.add(sites.SERVE_ADDRESS, _upload(0), COMPLETE_UPLOADS)
        self.clients.add(
            sites.SERVE_ADDRESS,
            _upload(MISSING_BYTES),
            UPLOAD_CONNECTIONS - COMPLETE_UPLOADS,
        )
        await self.check_usage()

    async def test_bodies_in_chunks_that_stop(self):
        """Guards against memory taken by bodies of unknown length."""
        self.clients.add(
            sites.SERVE_ADDRESS, _chunked_upload(True), COMPLETE_UPLOADS
        )
        self.clients.add(
            sites.SERVE_ADDRESS,
            _chunked_upload(False),
            UPLOAD_CONNECTIONS - COMPLETE_UPLOADS,
        )
        await self.check_usage()

    async def test_bodies_in_tiny_chunks(self):
        """Guards against a process that only parses chunks.

        Seen: while bodies came in chunks of one byte, nobody was answered.
        """
        self.clients.add(
            sites.SERVE_ADDRESS, _tiny_chunks(), TINY_CHUNK_CONNECTIONS
        )
        await self.check_usage()

    async def test_more_connections_than_descriptors(self):
        """Guards against connections that use up all descriptors."""
        self.clients.add(
            sites.SERVE_ADDRESS, client_group.repeat(b'G', 1), MANY_CONNECTIONS
        )
        await self.check_usage()

    async def test_headers_that_trickle(self):
        """Guards against connections that are kept by incomplete headers.

        The addresses share the descriptors of the process.
        """
        data = _get('/read/x', 'x-padding: ' + 'x' * 1024)
        for address in (
            sites.SERVE_ADDRESS,
            sites.READINESS_ADDRESS,
            sites.METRICS_ADDRESS,
            sites.PEER_ADDRESS,
        ):
            self.clients.add(
                address,
                client_group.trickle(data, TRICKLE_INTERVAL_S),
                TRICKLE_CONNECTIONS,
            )
        await self.check_usage()


class CalmTest(unittest.IsolatedAsyncioTestCase):
    async def test_largest_request(self):
        """Guards against limits that refuse what is permitted."""
        async with contextlib.AsyncExitStack() as stack:
            site = await sites.start(stack, sites.REAL_LIMITS)
            response = await _send_largest_request(sites.SERVE_ADDRESS)
            self.assertEqual(response.status, 200)
            self.assertFalse(site.router.has_ended())
            self.assertLessEqual(
                site.peak_memory_bytes(), sites.MAX_MEMORY_BYTES
            )


async def _send_largest_request(
    address: model.Address,
) -> http_client.Response:
    path = f'{sites.UPLOAD_PREFIX}x'.encode()
    headers = sites.request_headers(sites.LONG_TIMEOUT_MS)
    headers.append((b'content-length', str(sites.LARGEST_BODY_BYTES).encode()))
    head_bytes = len(b'POST ' + path + b' HTTP/1.1\r\n\r\n') + sum(
        len(name) + len(value) + len(b': \r\n') for name, value in headers
    )
    name = b'x-padding'
    padding = sites.LARGEST_HEADER_BYTES - head_bytes - len(name) - 4
    headers.append((name, b'x' * padding))
    async with asyncio.timeout(sites.GUARD_S):
        connection = await http_client.connect(
            address, sites.CONNECT_TIMEOUT_S
        )
        try:
            return await connection.exchange(
                b'POST',
                path,
                headers,
                bytes(sites.LARGEST_BODY_BYTES),
                b'ordinary',
            )
        finally:
            connection.abort()
