"""Connections of callers that send without reading any response.

A group stays connected until it is closed. Its connections use raw sockets:
an asyncio transport would read what arrives.
"""

import asyncio
import contextlib
import socket
import typing

from amaranthcrank.router import model

# Small, so that unread responses soon wait in the router.
RECEIVE_BUFFER_BYTES = 4096
SEND_BUFFER_BYTES = 64 * 1024

# Sends on the connected socket until nothing is left to send.
Script = typing.Callable[[socket.socket], typing.Awaitable[None]]


class ClientGroup:
    """Connections that each run a script.

    Attributes:
      connected: How many connections were established.
    """

    def __init__(self) -> None:
        """Create a group without connections."""
        self.connected = 0
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    def add(self, address: model.Address, script: Script, count: int) -> None:
        """Start connections to an address, all at once."""
        loop = asyncio.get_running_loop()
        for _ in range(count):
            self._tasks.append(loop.create_task(self._run(address, script)))

    async def run(self, duration_s: float) -> None:
        """Return when all scripts have ended, or after a time.

        Scripts that have not ended go on until the group is closed.
        """
        done, _ = await asyncio.wait(self._tasks, timeout=duration_s)
        for task in done:
            task.result()

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def _run(self, address: model.Address, script: Script) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        # The router may refuse the connection or close it at any time.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_connect(sock, address)
            self.connected += 1
            await script(sock)


def repeat(block: bytes, total_bytes: int) -> Script:
    """Return a script that sends a block until so many bytes are sent."""

    async def send(sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(0, total_bytes, len(block)):
            await loop.sock_sendall(sock, block)

    return send


def sequence(*scripts: Script) -> Script:
    """Return a script that runs scripts one after the other."""

    async def send(sock: socket.socket) -> None:
        for script in scripts:
            await script(sock)

    return send


def trickle(data: bytes, interval_s: float) -> Script:
    """Return a script that sends one byte at a time."""

    async def send(sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        for number in range(len(data)):
            await loop.sock_sendall(sock, data[number : number + 1])
            await asyncio.sleep(interval_s)

    return send
