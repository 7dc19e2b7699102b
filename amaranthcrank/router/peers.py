"""Datagrams between hosts: controller heartbeats, load, keys and changes.

Their content is advisory and out of date within a second. A lost datagram
does no harm and a late one is worse than none, so they are sent over UDP.
State on which hosts must agree is written to the platform's store.
"""

import random
import typing

import cbor2

from amaranthcrank.router import datagram_socket
from amaranthcrank.router import message_checks
from amaranthcrank.router import model
from amaranthcrank.router import owner_usage

MAX_DATAGRAM_BYTES = 1200

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    cbor2.CBORDecodeError,
)

Handler = typing.Callable[[str, typing.Any], None]


class Peer(typing.NamedTuple):
    """Another host.

    Attributes:
      host_id: The id of the host.
      address: Where it receives datagrams.
      failure_domain: The failure domain of the host.
    """

    host_id: str
    address: model.Address
    failure_domain: str


class Messenger:
    """Exchanges datagrams with the other hosts.

    Attributes:
      by_id: The other hosts, as registered in the store.
      handler_by_kind: Called with the sender's id and the content of each
        message of a kind.
      oversized: How many messages were dropped as too long for a datagram.
      malformed: How many received datagrams were dropped as malformed.
    """

    def __init__(self, host_id: str, failure_domain: str) -> None:
        """Start without peers."""
        self.by_id: dict[str, Peer] = {}
        self.handler_by_kind: dict[int, Handler] = {}
        self.oversized = 0
        self.malformed = 0
        self._host_id = host_id
        self._failure_domain = failure_domain
        self._socket: datagram_socket.DatagramSocket | None = None

    def open(self, address: model.Address) -> model.Address:
        """Open the socket, and return the address that it is bound to.

        Raises:
          OSError: The address is not available.
        """
        self._socket = datagram_socket.DatagramSocket(address, self.receive)
        return self._socket.address

    @property
    def socket_errors(self) -> int:
        """How many datagrams could not be sent or received."""
        return 0 if self._socket is None else self._socket.errors

    def receive(self, data: bytes) -> None:
        """Decode a datagram and call the handler of its kind."""
        try:
            kind, host_id, content = cbor2.loads(data)
            handler = self.handler_by_kind.get(kind)
        except _DECODE_ERRORS:
            self.malformed += 1
            return
        if handler is None:
            # A host of a later version may send kinds that are not known here.
            return
        if not message_checks.is_well_formed(kind, host_id, content):
            self.malformed += 1
            return
        handler(host_id, content)

    def send_to_all(self, kind: int, content: typing.Any) -> None:
        """Send to all other hosts."""
        data = self._encode(kind, content)
        for peer in self.by_id.values():
            self._send(data, peer)

    def send_in_domain(self, kind: int, content: typing.Any) -> None:
        """Send to the other hosts of the same failure domain."""
        data = self._encode(kind, content)
        for peer in self.by_id.values():
            if peer.failure_domain == self._failure_domain:
                self._send(data, peer)

    def count_all(self) -> int:
        """Return the number of hosts, including this one."""
        return 1 + len(self.by_id)

    def ids_in_domain(self) -> frozenset[str]:
        """Return the hosts of the failure domain, with this one."""
        found = {
            peer.host_id
            for peer in self.by_id.values()
            if peer.failure_domain == self._failure_domain
        }
        return frozenset(found | {self._host_id})

    def count_in_domain(self) -> int:
        """Return the number of hosts of the failure domain, with this one."""
        return 1 + sum(
            peer.failure_domain == self._failure_domain
            for peer in self.by_id.values()
        )

    def sample(self, count: int) -> list[str]:
        """Return the ids of some randomly chosen other hosts."""
        return random.sample(list(self.by_id), min(count, len(self.by_id)))

    def fits(self, kind: int, content: typing.Any) -> bool:
        """Return whether a message fits into a datagram."""
        return len(self._encode(kind, content)) <= MAX_DATAGRAM_BYTES

    def send(self, host_id: str, kind: int, content: typing.Any) -> None:
        """Send to one host; does nothing if it is unknown."""
        peer = self.by_id.get(host_id)
        if peer is not None:
            self._send(self._encode(kind, content), peer)

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _encode(self, kind: int, content: typing.Any) -> bytes:
        return cbor2.dumps([kind, self._host_id, content])

    def _send(self, data: bytes, peer: Peer) -> None:
        if self._socket is None:
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self.oversized += 1
            return
        self._socket.send(data, peer.address)


class DomainLoad:
    """Requests in flight from the other hosts of the failure domain.

    Attributes:
      in_flight_by_target: The sum over the other hosts.
      hosts: How many hosts of the failure domain report, including this one.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start without reports."""
        self.in_flight_by_target: dict[str, int] = {}
        self.hosts = 1
        self._clock = clock
        self._report_by_host: dict[str, tuple[float, dict[str, int]]] = {}

    def record_report(self, host_id: str, content: typing.Any) -> None:
        """Record another host's requests in flight by target."""
        self._report_by_host[host_id] = (self._clock(), content)

    def refresh(self) -> None:
        """Sum up the recent reports and discard older ones."""
        now = self._clock()
        sums: dict[str, int] = {}
        for host_id, (at, report) in list(self._report_by_host.items()):
            if now - at > owner_usage.REPORT_TTL_S:
                del self._report_by_host[host_id]
                continue
            for target_id, in_flight in report.items():
                sums[target_id] = sums.get(target_id, 0) + in_flight
        self.in_flight_by_target = sums
        self.hosts = 1 + len(self._report_by_host)
