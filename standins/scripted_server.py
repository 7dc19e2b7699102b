"""Serves HTTP requests with raw bytes that a test supplies."""

import asyncio
from collections import abc
import contextlib

END_OF_HEAD = b'\r\n\r\n'


async def serve(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    respond: abc.Callable[[bytes, int], bytes],
) -> None:
    """Respond to the requests of one connection until it ends.

    Args:
      reader: The stream of requests.
      writer: The stream of responses.
      respond: Returns the bytes to write for a request, given its head and its
        number on the connection, from 1.
    """
    number = 0
    with (
        contextlib.closing(writer),
        contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
    ):
        while True:
            head = await reader.readuntil(END_OF_HEAD)
            size = int(get_header(head, b'content-length') or 0)
            await reader.readexactly(size)
            number += 1
            writer.write(respond(head, number))


def get_header(head: bytes, name: bytes) -> bytes:
    """Return the value of a header in a request's head, or b''."""
    for line in head.split(b'\r\n'):
        found, _, value = line.partition(b': ')
        if found.lower() == name:
            return value
    return b''
