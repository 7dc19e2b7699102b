"""A network between hosts that can be partitioned without any privileges.

Each host is reached through a relay of its own. During a partition a relay
reads what the other side sends and forwards nothing, as a network that drops
packets does; connections look open. When the partition heals, these
connections are closed, because some of their bytes are lost.
"""

from collections import abc
import contextlib
import os
import pathlib
import select
import socket
import threading

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
POLL_S = 0.05


class Network:
    """The relays and the sides of a partition.

    Attributes:
      lock: Guards `damaged`.
      side_by_pid: The side of each process that opens connections.
      is_partitioned: Whether nothing passes between the sides.
      closing: Whether the relays are to end.
      damaged: The connections that have lost bytes.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.side_by_pid: dict[int, str] = {}
        self.is_partitioned = False
        self.closing = False
        self.damaged: set[socket.socket] = set()


@contextlib.contextmanager
def running() -> abc.Iterator[Network]:
    """Create a network; its relays end with the block."""
    network = Network()
    try:
        yield network
    finally:
        network.closing = True


def partition(network: Network) -> None:
    """Start to drop everything that is sent between the sides."""
    network.is_partitioned = True


def heal(network: Network) -> None:
    """End the partition; close the connections that lost bytes."""
    network.is_partitioned = False
    with network.lock:
        damaged, network.damaged = network.damaged, set()
    for each in damaged:
        with contextlib.suppress(OSError):
            each.shutdown(socket.SHUT_RDWR)


def start_relay(network: Network, pid: int, side: str, address: str) -> str:
    """Start the relay of one host.

    Args:
      network: The network.
      pid: The process id of the host.
      side: The side of the host in a partition.
      address: host:port of the host.

    Returns:
      host:port of the relay.
    """
    network.side_by_pid[pid] = side
    listener = socket.create_server(('127.0.0.1', 0))
    listener.settimeout(POLL_S)
    host, _, port = address.rpartition(':')
    threading.Thread(
        target=_accept,
        args=(network, listener, side, (host, int(port))),
        daemon=True,
    ).start()
    return f'127.0.0.1:{listener.getsockname()[1]}'


def _accept(
    network: Network,
    listener: socket.socket,
    side: str,
    address: tuple[str, int],
) -> None:
    with listener:
        while not network.closing:
            try:
                client, _ = listener.accept()
            except TimeoutError:
                continue
            threading.Thread(
                target=_serve,
                args=(network, client, side, address),
                daemon=True,
            ).start()


def _serve(
    network: Network,
    client: socket.socket,
    side: str,
    address: tuple[str, int],
) -> None:
    crosses_sides = _side_of_client(network, client) != side
    with client, contextlib.suppress(OSError):
        if crosses_sides and network.is_partitioned:
            _discard(network, client)
            return
        with socket.create_connection(address, CONNECT_TIMEOUT_S) as server:
            _forward(network, client, server, crosses_sides)


def _discard(network: Network, client: socket.socket) -> None:
    """Read and drop all data until the partition ends."""
    with network.lock:
        network.damaged.add(client)
    while not network.closing and client.recv(CHUNK_BYTES):
        pass


def _forward(
    network: Network,
    client: socket.socket,
    server: socket.socket,
    crosses_sides: bool,
) -> None:
    other_by_socket = {client: server, server: client}
    for each in other_by_socket:
        each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while not network.closing:
        readable, _, _ = select.select(list(other_by_socket), (), (), POLL_S)
        for each in readable:
            data = each.recv(CHUNK_BYTES)
            if not data:
                return
            if crosses_sides and network.is_partitioned:
                with network.lock:
                    network.damaged.update(other_by_socket)
                continue
            other_by_socket[each].sendall(data)


def _side_of_client(network: Network, client: socket.socket) -> str:
    """Find the side of the connecting process by the inode of its socket."""
    port = client.getpeername()[1]
    inode = _socket_inode(port, client.getsockname()[1])
    wanted = f'socket:[{inode}]'
    for pid, side in list(network.side_by_pid.items()):
        # The process or one of its files may end meanwhile.
        with contextlib.suppress(OSError):
            if wanted in _open_files(pid):
                return side
    return ''


def _open_files(pid: int) -> set[str]:
    found = set()
    for entry in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(FileNotFoundError):
            found.add(os.readlink(entry))
    return found


def _socket_inode(port: int, peer_port: int) -> str:
    ends = f':{port:04X}', f':{peer_port:04X}'
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(ends[0]) and fields[2].endswith(ends[1]):
            return fields[9]
    return ''
