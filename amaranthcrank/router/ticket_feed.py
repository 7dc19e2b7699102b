"""Follows the operator's ticket and serves it to other hosts.

If every host read a ticket with many routes from the store, the transfers
would fill the link between regions. In a failure domain with many hosts, one
elected host reads the ticket and sends its number to the others, which fetch
the ticket from that host. A host that cannot reach the store polls hosts of
any failure domain for a newer ticket.
"""

import asyncio
import typing
import zlib

import cbor2

from amaranthcrank.platform import manifest
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import connection_pool
from amaranthcrank.router import event_log
from amaranthcrank.router import http_client
from amaranthcrank.router import http_server
from amaranthcrank.router import message_kinds
from amaranthcrank.router import model
from amaranthcrank.router import peer_polling
from amaranthcrank.router import peers
from amaranthcrank.router import reader_election
from amaranthcrank.router import store_sync

# The path at which other hosts fetch the ticket.
PATH = b'/ticket'
CONNECT_TIMEOUT_S = 0.25
# If another host does not deliver the ticket within this time, or its transfer
# stalls for as long, the ticket is read from the store.
FETCH_TIMEOUT_S = 0.5
# The fastest level: latency matters more than size here.
COMPRESSION_LEVEL = 1
# Bounds the memory that a compressed ticket may need. Objects of the store are
# smaller than this.
MAX_TICKET_BYTES = 16 * 1024 * 1024

_FETCH_ERRORS = (
    http_client.ConnectError,
    http_client.ExchangeError,
    TimeoutError,
    ValueError,
    OverflowError,
    RecursionError,
    zlib.error,
    cbor2.CBORDecodeError,
)


class TicketFeed:
    """Keeps the ticket in force up to date.

    Attributes:
      reachability: Whether the store is reachable for reads of the ticket.
    """

    def __init__(
        self,
        client: store.Client,
        messenger: peers.Messenger,
        pool: connection_pool.Pool,
        log: event_log.EventLog,
        on_ticket: typing.Callable[[model.Ticket], None],
        election: reader_election.ReaderElection,
    ) -> None:
        """Set up the feed of one host.

        Args:
          client: The client of the store.
          messenger: Exchanges datagrams with the other hosts.
          pool: Connections to other hosts.
          log: Logs changes of the ticket and failed transfers.
          on_ticket: Called with each ticket that comes into force.
          election: Decides whether this host reads the store.
        """
        self.reachability = store_sync.Reachability(names.TICKET_KIND, log)
        self._messenger = messenger
        self._pool = pool
        self._log = log
        self._on_ticket = on_ticket
        self._follower = store_sync.Follower(
            client,
            names.TICKET_KIND,
            store_sync.Sink(self._on_list, self._on_changes),
            self.reachability,
            log,
            election,
            store_sync.pause_after_changes(lambda: 0.0),
            store_sync.no_gate,
        )
        self._number = -1
        # The number of the ticket that is being fetched from another host.
        self._wanted_number = -1
        self._spec: typing.Any = None
        # The compressed ticket, once another host has requested it.
        self._compressed = b''
        self._fetching: asyncio.Task[None] | None = None
        self._poller = peer_polling.PeerPoller(
            messenger,
            self.reachability,
            message_kinds.TICKET_AFTER,
            lambda: self._number,
        )
        messenger.handler_by_kind[message_kinds.TICKET] = self._on_ticket_read
        messenger.handler_by_kind[message_kinds.TICKET_AFTER] = (
            self._on_ticket_after
        )
        messenger.handler_by_kind[message_kinds.NEWER_TICKET] = (
            self._on_newer_ticket
        )

    async def follow(self) -> None:
        """Follow the ticket until cancelled."""
        await self._follower.follow()

    async def handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Respond to another host's request for the ticket."""
        if request.path != PATH or self._spec is None:
            return http_server.Response(404, [], b'')
        if not self._compressed:
            self._compressed = zlib.compress(
                cbor2.dumps(self._spec), COMPRESSION_LEVEL
            )
        headers = [(b'content-type', b'application/cbor')]
        return http_server.Response(200, headers, self._compressed)

    def _on_list(
        self, item_by_name: dict[str, typing.Any], revision: int
    ) -> None:
        item = item_by_name.get(names.TICKET_NAME)
        if item is not None:
            self._apply(item.get('spec'))
        self._notify_domain()

    def _on_changes(
        self,
        from_revision: int,
        revision: int,
        changes: typing.Sequence[store.Change],
    ) -> None:
        for change in changes:
            if change.name != names.TICKET_NAME:
                continue
            if change.deleted:
                self._log.event('ticket_removed', name=change.name)
                continue
            self._apply(change.item.get('spec'))
        self._notify_domain()

    def _notify_domain(self) -> None:
        """Send the number of the ticket that was just read to the domain."""
        if self._follower.election.is_enabled:
            self._messenger.send_in_domain(message_kinds.TICKET, self._number)

    def _on_ticket_read(self, host_id: str, content: typing.Any) -> None:
        """Handle the number of a ticket that the reader has just read."""
        if content < self._number:
            return
        if content == self._number:
            self._confirm_read(host_id)
            return
        self._start_fetch(content, self._fetch_read(host_id))

    def _on_ticket_after(self, host_id: str, content: typing.Any) -> None:
        """Reply to the poll of a host that cannot reach the store."""
        if self.reachability.unreachable_since is not None:
            return
        if content < self._number:
            self._messenger.send(
                host_id, message_kinds.NEWER_TICKET, self._number
            )

    def _on_newer_ticket(self, host_id: str, content: typing.Any) -> None:
        """Handle the reply to a poll: the number of a newer ticket."""
        if content > self._number:
            self._start_fetch(content, self._fetch_from(host_id))

    def _start_fetch(
        self,
        number: int,
        fetching: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        """Start to fetch a ticket.

        A fetch that already runs goes on until it has the wanted number.
        """
        self._wanted_number = max(number, self._wanted_number)
        if self._fetching is not None and not self._fetching.done():
            fetching.close()
            return
        self._fetching = asyncio.get_running_loop().create_task(fetching)

    def _confirm_read(self, host_id: str) -> None:
        self._follower.election.record_read_by(host_id)
        if self._number >= 0:
            self.reachability.record_answer()

    async def _fetch_read(self, host_id: str) -> None:
        """Fetch a ticket that another host has just read from the store."""
        if await self._fetch_from(host_id):
            self._confirm_read(host_id)

    async def _fetch_from(self, host_id: str) -> bool:
        """Fetch the ticket from a host; if that fails, read the store soon."""
        while self._number < self._wanted_number:
            peer = self._messenger.by_id.get(host_id)
            if peer is None:
                return False
            previous_number = self._number
            try:
                self._apply(await self._fetch(peer.address))
            except _FETCH_ERRORS as error:
                self._log.event(
                    'ticket_not_taken', neighbour=host_id, reason=repr(error)
                )
            if self._number == previous_number:
                self._follower.election.expedite()
                return False
        return True

    async def _fetch(self, address: model.Address) -> typing.Any:
        host = f'{address.ip}:{address.port}'.encode()
        response = await connection_pool.request(
            self._pool,
            address,
            b'GET',
            PATH,
            [(b'host', host)],
            b'',
            CONNECT_TIMEOUT_S,
            FETCH_TIMEOUT_S,
            FETCH_TIMEOUT_S,
        )
        if response.status != 200:
            raise ValueError(f'answered {response.status}')
        return cbor2.loads(_decompress(response.body))

    def _apply(self, spec: typing.Any) -> None:
        try:
            ticket = manifest.decode(spec)
        except manifest.ManifestError as error:
            self._log.event('ticket_rejected', error=str(error))
            return
        if ticket.number <= self._number:
            return
        self._number = ticket.number
        self._spec = spec
        self._compressed = b''
        self._on_ticket(ticket)
        self._log.event('ticket_in_force', number=ticket.number)


def _decompress(data: bytes) -> bytes:
    """Return the decompressed data.

    Raises:
      ValueError: It is longer than a ticket may be.
      zlib.error: It is not compressed data.
    """
    decompressor = zlib.decompressobj()
    text = decompressor.decompress(data, MAX_TICKET_BYTES)
    if not decompressor.eof:
        raise ValueError('the compressed ticket is too long or incomplete')
    return text
