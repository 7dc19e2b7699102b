"""A loopback TCP relay that injects faults into its connections."""

import asyncio
import contextlib

from amaranthcrank.router import model

CHUNK_BYTES = 65536

# The faults of a relay; '' is none.
SILENT = 'silent'
ONE_WAY = 'one_way'
RESET = 'reset'
DELAY = 'delay'
FAULTS = (SILENT, ONE_WAY, RESET, DELAY)

# Far below the transit time that leases allow for a call.
DELAY_S = 0.08


class Relay:
    """Forwards connections to one address.

    Attributes:
      address: The address that it listens on.
      fault: One of FAULTS, or '' to forward everything.
    """

    def __init__(
        self, address: model.Address, destination: model.Address
    ) -> None:
        """Set both addresses; nothing is opened yet."""
        self.address = address
        self.fault = ''
        self._destination = destination
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(
            self._accept, self.address.ip, self.address.port
        )

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    def refuse(self) -> None:
        """Refuse connections and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections; bytes in transit are lost."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError, RuntimeError):
                writer.transport.abort()

    def close(self) -> None:
        """Close the listener, all connections and all tasks."""
        self.refuse()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault == RESET:
            writer.transport.abort()
            return
        try:
            destination = await asyncio.open_connection(
                self._destination.ip, self._destination.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, destination[1]}
        loop = asyncio.get_running_loop()
        for task in (
            loop.create_task(self._forward(reader, destination[1], False)),
            loop.create_task(self._forward(destination[0], writer, True)),
        ):
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        has_lost_bytes = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault == DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.fault == SILENT:
                    has_lost_bytes = True
                if self.fault == ONE_WAY and is_response:
                    has_lost_bytes = True
                # Once bytes were dropped, the rest of the stream is useless.
                if has_lost_bytes:
                    continue
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            has_lost_bytes = True
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                if has_lost_bytes:
                    writer.transport.abort()
                writer.close()
