"""A consumer's connection: sends one request at a time, reads its answer."""

import asyncio
import typing

from amaranthcrank.router import model
from review.common import deployment


class Answer(typing.NamedTuple):
    """What a consumer got.

    Attributes:
      status: The status; 0 if the connection ended without an answer.
      headers: The headers by name in lower case.
      body: The body.
      complete: Whether the whole answer arrived.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


NOTHING = Answer(0, {}, b'', False)


class Caller:
    """A connection that is kept for many requests."""

    def __init__(self, address: model.Address) -> None:
        """Connect later."""
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.used = 0

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b'',
        key: int | None = None,
    ) -> Answer:
        """Send a request and read its answer."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {deployment.HOST}',
            f'X-Request-Id: {request_id}',
            f'X-Request-Deadline: {deadline_ms}',
        ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        if key is not None:
            lines.append(f'X-Shard-Key: {key}')
        head = ('\r\n'.join(lines) + '\r\n\r\n').encode()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self._address
                    )
                    self.used = 0
                self.used += 1
                self._writer.write(head)
                for start in range(0, len(body), 262144):
                    self._writer.write(body[start : start + 262144])
                    await self._writer.drain()
                answer = await self._read()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = NOTHING
        if not answer.complete or answer.headers.get('connection') == 'close':
            self.close()
        return answer

    async def _read(self) -> Answer:
        assert self._reader is not None
        line = await self._reader.readline()
        if not line.startswith(b'HTTP/1.1 '):
            return NOTHING
        status = int(line.split()[1])
        headers = {}
        while True:
            line = await self._reader.readline()
            if line in (b'\r\n', b''):
                break
            name, _, value = line.decode('latin-1').partition(':')
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get('content-length', '0'))
        try:
            body = await self._reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            return Answer(status, headers, b'', False)
        return Answer(status, headers, body, True)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None
        self._reader = None
