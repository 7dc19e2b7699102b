"""Requests sent ahead on one connection, for tests of the server."""

import asyncio
import unittest

from amaranthcrank.router import http_server
from amaranthcrank.router import model
from standins import caller_server

HEAD = b' HTTP/1.1\r\nHost: a\r\n'


def get(path, headers=b''):
    """Return a request without a body."""
    return b'GET ' + path + HEAD + headers + b'\r\n'


def post(path, body, headers=b''):
    """Return a request with a body, which is not idempotent."""
    length = b'Content-Length: %d\r\n' % len(body)
    return b'POST ' + path + HEAD + headers + length + b'\r\n' + body


class PipelinedCalls(unittest.IsolatedAsyncioTestCase):
    """A server with one connection on which requests are sent ahead.

    Attributes:
      requests: The requests that the handler has got.
      cancelled: The paths of those that were cancelled.
      event_by_path: A request of such a path ends when its event is set.
      body_by_path: The bodies of responses; the path unless given.
    """

    async def asyncSetUp(self):
        """Start the server and connect to it."""
        self.requests = []
        self.cancelled = []
        self.event_by_path = {}
        self.body_by_path = {}
        self.server = http_server.Server(
            self._handle, lambda request: request.method != b'POST'
        )
        self.server.limits = model.CallerLimits(2000, 1_000_000, 9.0, 9.0)
        self.port = await caller_server.listen(self, self.server)
        self.reader, self.writer = await asyncio.open_connection(
            '127.0.0.1', self.port
        )
        self.addCleanup(self.writer.close)

    @property
    def paths(self):
        """The paths of the requests that the handler has got."""
        return [request.path for request in self.requests]

    async def _handle(self, request):
        self.requests.append(request)
        event = self.event_by_path.get(request.path)
        try:
            if event is not None:
                await event.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        if request.path == b'/fails':
            raise ValueError('unexpected')
        body = self.body_by_path.get(request.path, request.path)
        return http_server.Response(
            200, [], body, close=request.path == b'/closes'
        )

    def block(self, *paths):
        """Let requests of these paths run until their event is set."""
        for path in paths:
            self.event_by_path[path] = asyncio.Event()

    async def wait(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(3.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def read_response(self):
        """Return the status, head and body of the next response."""
        async with asyncio.timeout(3.0):
            head = (await self.reader.readuntil(b'\r\n\r\n')).lower()
            length = 0
            if b'content-length: ' in head:
                value = head.partition(b'content-length: ')[2]
                length = int(value.partition(b'\r\n')[0])
            body = await self.reader.readexactly(length)
        return int(head.split()[1]), head, body

    async def read_end(self):
        """Check that nothing follows and the connection is closed."""
        async with asyncio.timeout(1.0):
            self.assertEqual(await self.reader.read(), b'')

    def connection(self):
        """Return the connection at the server."""
        return next(iter(self.server.connections))
