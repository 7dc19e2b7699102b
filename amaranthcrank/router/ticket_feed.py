"""Follows the operator's ticket, and passes it on to neighbours.

A ticket of many routes that each of many hosts reads from the store fills
the link between regions. In a failure domain of many hosts one reads it and
tells its number to the others, which take the ticket from that host. A host
that lost the store asks others for a newer ticket, wherever they are.
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
from amaranthcrank.router import model
from amaranthcrank.router import peer_polling
from amaranthcrank.router import peers
from amaranthcrank.router import reader_election
from amaranthcrank.router import store_sync

# Where neighbours take the ticket.
PATH = b'/ticket'
CONNECT_TIMEOUT_S = 0.25
# The ticket is read from the store if a neighbour has not passed it on so
# soon, or sends nothing of it for as long.
FETCH_TIMEOUT_S = 0.5
# Speed matters more than size here.
COMPRESSION_LEVEL = 1

_FETCH_ERRORS = (
    http_client.ConnectError,
    http_client.ExchangeError,
    TimeoutError,
    ValueError,
    zlib.error,
    cbor2.CBORDecodeError,
)


class TicketFeed:
    """Knows the ticket in force.

    Attributes:
      contact: Whether the store answers, as seen by the ticket's reads.
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
        """Follow the ticket for one host.

        Args:
          client: The store's client.
          talk: Sends to and hears from the other hosts.
          pool: Connections to neighbours.
          log: Takes what decided.
          on_ticket: Takes each ticket that replaces the one before.
          rota: Tells whether it is this host's turn to read.
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
        # What a neighbour has, while it is taken from there.
        self._wanted_number = -1
        self._spec: typing.Any = None
        # The ticket as neighbours take it, once one has asked for it.
        self._packed = b''
        self._fetching: asyncio.Task[None] | None = None
        self._poller = peer_polling.PeerPoller(
            messenger,
            self.reachability,
            peers.TICKET_AFTER,
            lambda: self._number,
        )
        messenger.handler_by_kind[peers.TICKET] = self._on_ticket_read
        messenger.handler_by_kind[peers.TICKET_AFTER] = self._on_ticket_after
        messenger.handler_by_kind[peers.NEWER_TICKET] = self._on_newer_ticket

    async def follow(self) -> None:
        """Follow the ticket, for ever."""
        await self._follower.follow()

    async def answer(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Pass the ticket on to a neighbour."""
        if request.path != PATH or self._spec is None:
            return http_server.Response(404, [], b'')
        if not self._packed:
            self._packed = zlib.compress(
                cbor2.dumps(self._spec), COMPRESSION_LEVEL
            )
        headers = [(b'content-type', b'application/cbor')]
        return http_server.Response(200, headers, self._packed)

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
        """Tell the failure domain what was read just now."""
        if self._follower.election.is_enabled:
            self._messenger.send_in_domain(peers.TICKET, self._number)

    def _on_ticket_read(self, host_id: str, content: typing.Any) -> None:
        """Learn which ticket a neighbour has read just now."""
        if not isinstance(content, int) or content < self._number:
            return
        if content == self._number:
            self._confirm_read(host_id)
            return
        self._start_fetch(content, self._fetch_read(host_id))

    def _on_ticket_after(self, host_id: str, content: typing.Any) -> None:
        """Answer a host that lost the store."""
        if (
            not isinstance(content, int)
            or self.reachability.lost_at is not None
        ):
            return
        if content < self._number:
            self._messenger.send(host_id, peers.NEWER_TICKET, self._number)

    def _on_newer_ticket(self, host_id: str, content: typing.Any) -> None:
        """Learn which ticket another host has, of old or just now."""
        if isinstance(content, int) and content > self._number:
            self._start_fetch(content, self._fetch_from(host_id))

    def _start_fetch(
        self,
        number: int,
        fetching: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        """Take a ticket, unless one is being taken: that goes on to it."""
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
        """Take what a neighbour has read just now."""
        if await self._fetch_from(host_id):
            self._confirm_read(host_id)

    async def _fetch_from(self, host_id: str) -> bool:
        """Take the ticket from a host; otherwise the store is read."""
        while self._number < self._wanted_number:
            peer = self._messenger.by_id.get(host_id)
            if peer is None:
                return False
            known = self._number
            try:
                self._apply(await self._fetch(peer.address))
            except _FETCH_ERRORS as error:
                self._log.event(
                    'ticket_not_taken', neighbour=host_id, reason=repr(error)
                )
            if self._number == known:
                self._follower.election.expedite()
                return False
        return True

    async def _fetch(self, address: model.Address) -> typing.Any:
        host = f'{address.ip}:{address.port}'.encode()
        answer = await connection_pool.request(
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
        if answer.status != 200:
            raise ValueError(f'answered {answer.status}')
        return cbor2.loads(zlib.decompress(answer.body))

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
        self._packed = b''
        self._on_ticket(ticket)
        self._log.event('ticket_in_force', number=ticket.number)
