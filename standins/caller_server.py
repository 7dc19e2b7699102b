"""Starts a server for callers on loopback, for tests of the server."""

import asyncio
import unittest

from amaranthcrank.router import http_server


async def listen(
    test: unittest.IsolatedAsyncioTestCase, server: http_server.Server
) -> int:
    """Return the port at which a server listens until a test ends."""
    listener = await asyncio.get_running_loop().create_server(
        lambda: http_server.CallerConnection(server), '127.0.0.1', 0
    )
    test.addCleanup(listener.close)
    test.addCleanup(server.close)
    return listener.sockets[0].getsockname()[1]
