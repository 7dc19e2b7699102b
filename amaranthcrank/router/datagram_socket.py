"""A UDP socket that is read as fast as the host's own event loop allows.

The datagram transport of asyncio reads one datagram in each turn of the event
loop. On a busy host, whose turns are long, datagrams would arrive faster than
they are read, and wait for seconds or be lost.
"""

import asyncio
import socket
import typing

from amaranthcrank.router import model

# The rest is read in the next turn, so that a flood of datagrams does not
# keep the host from serving its callers.
MAX_DATAGRAMS_PER_TURN = 64
MAX_RECEIVED_BYTES = 64 * 1024


class DatagramSocket:
    """A bound UDP socket, read in the event loop until it is closed.

    Attributes:
      address: The address that it is bound to.
      errors: How many datagrams could not be sent or received.
    """

    def __init__(
        self,
        address: model.Address,
        on_datagram: typing.Callable[[bytes], None],
    ) -> None:
        """Bind the socket and start to read; needs a running event loop.

        Args:
          address: Where to listen; port 0 selects a free port.
          on_datagram: Called with each datagram.

        Raises:
          OSError: The address is not available.
        """
        self.errors = 0
        self._on_datagram = on_datagram
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.bind(address)
        except OSError:
            self._socket.close()
            raise
        self.address = model.Address(*self._socket.getsockname())
        self._loop.add_reader(self._socket, self._read)

    def send(self, data: bytes, address: model.Address) -> None:
        """Send a datagram, or drop it if it cannot be sent at once."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            self.errors += 1

    def close(self) -> None:
        """Close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data = self._socket.recv(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self.errors += 1
                return
            self._on_datagram(data)
            if self._socket.fileno() < 0:
                # A handler has closed it.
                return
