"""A relay that holds bytes back for a while and loses none of them.

It acknowledges what it reads, as a proxy or a kernel does, and delivers it
later, also if the sender has closed its connection meanwhile.
"""

import asyncio
import contextlib
import enum
import random
import typing

from amaranthcrank.router import model

BACKLOG = 512


class Direction(enum.Enum):
    """The direction of bytes, seen from the target behind the link."""

    REQUESTS = 'requests'
    RESPONSES = 'responses'


class Delays(typing.NamedTuple):
    """How long chunks are delayed; their order stays.

    Attributes:
      share: The share of chunks that are delayed, 0 to 1.
      min_s: The shortest delay.
      max_s: The longest delay.
    """

    share: float
    min_s: float
    max_s: float


NO_DELAYS = Delays(0.0, 0.0, 0.0)


class Link:
    """Forwards connections to one target.

    Attributes:
      address: Where it accepts connections.
      delays: How long chunks are delayed.
    """

    def __init__(
        self,
        address: model.Address,
        destination: model.Address,
        rng: random.Random,
    ) -> None:
        """Set both addresses; nothing is opened yet."""
        self.address = address
        self.delays = NO_DELAYS
        self._destination = destination
        self._rng = rng
        self._hold_count = dict.fromkeys(Direction, 0)
        self._is_open = {each: asyncio.Event() for each in Direction}
        for event in self._is_open.values():
            event.set()
        self._server: asyncio.Server | None = None
        self._ends: set[_End] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, self.address.ip, self.address.port, backlog=BACKLOG
        )

    def hold(self, directions: typing.Iterable[Direction]) -> None:
        """Hold back bytes in some directions, until as many calls of resume.

        New connections are accepted meanwhile.
        """
        for direction in directions:
            self._hold_count[direction] += 1
            self._is_open[direction].clear()

    def resume(self, directions: typing.Iterable[Direction]) -> None:
        """Deliver what was held back, unless another hold lasts on."""
        for direction in directions:
            self._hold_count[direction] -= 1
            if not self._hold_count[direction]:
                self._is_open[direction].set()

    def close(self) -> None:
        """Close the listener, all connections and all tasks."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for end in list(self._ends):
            end.abort()

    def _accept(self) -> '_End':
        client = _End()
        self._start(self._connect(client))
        return client

    def _start(self, work: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, client: '_End') -> None:
        loop = asyncio.get_running_loop()
        self._ends.add(client)
        try:
            _, target = await loop.create_connection(
                _End, self._destination.ip, self._destination.port
            )
        except OSError:
            self._ends.discard(client)
            client.abort()
            return
        self._ends.add(target)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(client, target, Direction.REQUESTS)
                )
                group.create_task(
                    self._forward(target, client, Direction.RESPONSES)
                )
        finally:
            self._ends -= {client, target}
            client.close()
            target.close()

    async def _forward(
        self, source: '_End', sink: '_End', direction: Direction
    ) -> None:
        while True:
            chunk = await source.chunks.get()
            await self._is_open[direction].wait()
            if self._rng.random() < self.delays.share:
                delay_s = self._rng.uniform(
                    self.delays.min_s, self.delays.max_s
                )
                await asyncio.sleep(delay_s)
            if not chunk:
                # The other direction goes on: the response to a call whose
                # sender has gone is read, so that nothing resets the target.
                sink.end()
                return
            sink.write(chunk)


class _End(asyncio.Protocol):
    """A connection of the link; keeps what has been read after its loss.

    Attributes:
      chunks: What was read, then b'' for the end.
    """

    def __init__(self) -> None:
        self.chunks: asyncio.Queue[bytes] = asyncio.Queue()
        self._transport: asyncio.Transport | None = None
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are forwarded."""
        self.chunks.put_nowait(data)

    def eof_received(self) -> bool:
        """Keep the other direction open."""
        self._end_chunks()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Let what has been read be forwarded."""
        self._end_chunks()
        self._transport = None

    def _end_chunks(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self.chunks.put_nowait(b'')

    def write(self, chunk: bytes) -> None:
        """Send bytes, unless the connection is lost."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(chunk)

    def end(self) -> None:
        """Close this direction after what was written."""
        if self._transport is not None and not self._transport.is_closing():
            # The peer may have reset the connection.
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
