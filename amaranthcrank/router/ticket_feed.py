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
from amaranthcrank.router import asker
from amaranthcrank.router import connection_pool
from amaranthcrank.router import event_log
from amaranthcrank.router import http_client
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import reading_rota
from amaranthcrank.router import store_sync

# Where neighbours take the ticket.
PATH = b'/ticket'
CONNECT_TIMEOUT_S = 0.25
# The ticket is read from the store if a neighbour has not passed it on so
# soon, or sends nothing of it for as long.
TAKE_TIMEOUT_S = 0.5
# Speed matters more than size here.
COMPRESSION_LEVEL = 1

_TAKING_ERRORS = (
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
        talk: peers.Peers,
        pool: connection_pool.Pool,
        log: event_log.EventLog,
        on_ticket: typing.Callable[[model.Ticket], None],
        rota: reading_rota.ReadingRota,
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
        self.contact = store_sync.Contact(names.TICKET_KIND, log)
        self._talk = talk
        self._pool = pool
        self._log = log
        self._on_ticket = on_ticket
        self._follower = store_sync.Follower(
            client,
            names.TICKET_KIND,
            store_sync.Sink(self._take_list, self._take_changes),
            self.contact,
            log,
            rota,
            store_sync.gather(lambda: 0.0),
            store_sync.at_once,
        )
        self._number = -1
        # What a neighbour has, while it is taken from there.
        self._wanted = -1
        self._spec: typing.Any = None
        # The ticket as neighbours take it, once one has asked for it.
        self._packed = b''
        self._taking: asyncio.Task[None] | None = None
        self._asker = asker.Asker(
            talk, self.contact, peers.TICKET_AFTER, lambda: self._number
        )
        talk.handler_by_kind[peers.TICKET] = self._hear
        talk.handler_by_kind[peers.TICKET_AFTER] = self._tell_newer
        talk.handler_by_kind[peers.NEWER_TICKET] = self._hear_newer

    async def follow(self) -> None:
        """Follow the ticket, for ever."""
        await self._follower.follow()

    async def answer(self, request: http_server.Request) -> http_server.Reply:
        """Pass the ticket on to a neighbour."""
        if request.path != PATH or self._spec is None:
            return http_server.Reply(404, [], b'')
        if not self._packed:
            self._packed = zlib.compress(
                cbor2.dumps(self._spec), COMPRESSION_LEVEL
            )
        headers = [(b'content-type', b'application/cbor')]
        return http_server.Reply(200, headers, self._packed)

    def _take_list(
        self, item_by_name: dict[str, typing.Any], revision: int
    ) -> None:
        item = item_by_name.get(names.TICKET_NAME)
        if item is not None:
            self._take(item.get('spec'))
        self._tell()

    def _take_changes(
        self,
        former: int,
        revision: int,
        changes: typing.Sequence[store.Change],
    ) -> None:
        for change in changes:
            if change.name != names.TICKET_NAME:
                continue
            if change.deleted:
                self._log.event('ticket_removed', name=change.name)
                continue
            self._take(change.item.get('spec'))
        self._tell()

    def _tell(self) -> None:
        """Tell the failure domain what was read just now."""
        if self._follower.rota.is_shared:
            self._talk.send_nearby(peers.TICKET, self._number)

    def _hear(self, host_id: str, content: typing.Any) -> None:
        """Learn which ticket a neighbour has read just now."""
        if not isinstance(content, int) or content < self._number:
            return
        if content == self._number:
            self._confirm(host_id)
            return
        self._want(content, self._take_read(host_id))

    def _tell_newer(self, host_id: str, content: typing.Any) -> None:
        """Answer a host that lost the store."""
        if not isinstance(content, int) or self.contact.lost_at is not None:
            return
        if content < self._number:
            self._talk.send(host_id, peers.NEWER_TICKET, self._number)

    def _hear_newer(self, host_id: str, content: typing.Any) -> None:
        """Learn which ticket another host has, of old or just now."""
        if isinstance(content, int) and content > self._number:
            self._want(content, self._take_from(host_id))

    def _want(
        self,
        number: int,
        taking: typing.Coroutine[typing.Any, typing.Any, typing.Any],
    ) -> None:
        """Take a ticket, unless one is being taken: that goes on to it."""
        self._wanted = max(number, self._wanted)
        if self._taking is not None and not self._taking.done():
            taking.close()
            return
        self._taking = asyncio.get_running_loop().create_task(taking)

    def _confirm(self, host_id: str) -> None:
        self._follower.rota.note_heard(host_id)
        if self._number >= 0:
            self.contact.note_answer()

    async def _take_read(self, host_id: str) -> None:
        """Take what a neighbour has read just now."""
        if await self._take_from(host_id):
            self._confirm(host_id)

    async def _take_from(self, host_id: str) -> bool:
        """Take the ticket from a host; otherwise the store is read."""
        while self._number < self._wanted:
            peer = self._talk.by_id.get(host_id)
            if peer is None:
                return False
            known = self._number
            try:
                self._take(await self._fetch(peer.address))
            except _TAKING_ERRORS as error:
                self._log.event(
                    'ticket_not_taken', neighbour=host_id, reason=repr(error)
                )
            if self._number == known:
                self._follower.rota.hurry()
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
            TAKE_TIMEOUT_S,
            TAKE_TIMEOUT_S,
        )
        if answer.status != 200:
            raise ValueError(f'answered {answer.status}')
        return cbor2.loads(zlib.decompress(answer.body))

    def _take(self, spec: typing.Any) -> None:
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
