"""A small HTTP/1.1 server and client for the stand-ins of these cases.

Only the standard library is used, so that the cases run without a network.
"""

import asyncio
import socket
import struct
import typing

MAX_HEAD_BYTES = 64 * 1024


class Request(typing.NamedTuple):
    """A request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Response(typing.NamedTuple):
    """A response with a complete body."""

    status: int
    headers: dict[str, str]
    body: bytes


# Returns None to end the connection without a response.
Handler = typing.Callable[[Request], typing.Awaitable[Response | None]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return first, headers, body
            body += chunk[:-2]
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return first, headers, body


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a message as it is sent."""
    lines = [first] + [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, as the end of its process does."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_HEAD_BYTES, backlog=512
        )

    def close(self) -> None:
        """Stop to accept, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(' ')
                handling = asyncio.ensure_future(
                    self._handler(Request(method, path, headers, body))
                )
                # A server drops the work of a caller that has left.
                while not handling.done():
                    await asyncio.wait({handling}, timeout=0.05)
                    if reader.at_eof() or writer.is_closing():
                        handling.cancel()
                response = handling.result()
                if response is None:
                    reset(writer)
                    return
                sent = dict(response.headers)
                sent['Content-Length'] = str(len(response.body))
                writer.write(
                    encode(
                        f'HTTP/1.1 {response.status} X', sent, response.body
                    )
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
            ValueError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Response | None:
    """Send a request on a new connection; return None without an answer."""
    writer = None
    sent = {'Host': f'{ip}:{port}', **headers}
    if body or method in ('POST', 'PUT'):
        sent['Content-Length'] = str(len(body))
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(encode(f'{method} {path} HTTP/1.1', sent, body))
            first, answered, content = await read_message(reader)
            return Response(int(first.split(' ')[1]), answered, content)
    except (
        OSError,
        TimeoutError,
        asyncio.IncompleteReadError,
        ValueError,
    ):
        return None
    finally:
        if writer is not None:
            writer.close()
