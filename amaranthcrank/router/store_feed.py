"""Brings what the platform's store holds to the parts that believe it."""

import asyncio
import contextlib
import random
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import directory
from amaranthcrank.router import event_log
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import shared_news
from amaranthcrank.router import store_sync

# Targets that start report several times within their first seconds.
TARGETS_GATHER_S = 0.5
# With more hosts than these each asks more seldom, as the store's rate is
# shared, but within this part of the time for which a target that leaves may
# still get requests.
GATHER_HOSTS = 30
GATHER_DRAIN_SHARE = 0.4
# What the hosts share is read when there is news of it: the call need not
# wait for a change.
SHARED_WAIT_S = 0.05
REGISTER_TIMEOUT_S = 1.0
REGISTER_RETRY_S = 0.5


class StoreFeed:
    """Follows the targets and what the hosts share."""

    def __init__(
        self,
        client: store.Client,
        targets: directory.Directory,
        keys: key_table.KeyTable,
        peer_by_id: dict[str, peers.Peer],
        own: peers.Peer,
        log: event_log.EventLog,
        ticket_contact: store_sync.Contact,
        on_keys: typing.Callable[[str], None],
        news: shared_news.SharedNews,
    ) -> None:
        """Feed the given parts.

        Args:
          client: The store's client.
          targets: Takes the targets.
          keys: Takes the key maps.
          peer_by_id: Takes the other hosts.
          own: This host, as the others should know it.
          log: Where rejected objects are logged.
          ticket_contact: Whether the ticket's reads succeed.
          on_keys: Called with the service whose key map changed.
          news: Tells when what the hosts share should be read.
        """
        self._client = client
        self._targets = targets
        self._keys = keys
        self._peer_by_id = peer_by_id
        self._own = own
        self._log = log
        self._on_keys = on_keys
        self._news = news
        # Waits while the ticket's reads fail.
        self.after_outage = store_sync.behind(ticket_contact)

    async def follow_targets(self) -> None:
        """Follow what the targets say of themselves, for ever."""

        def replace_all(items: dict[str, typing.Any]) -> None:
            found = []
            for name, item in items.items():
                entry = self._read_target(name, item)
                if entry is not None:
                    found.append(entry)
            self._targets.replace_all(found)

        def take(change: store.Change) -> None:
            entry = None
            if not change.deleted:
                entry = self._read_target(change.name, change.item)
            if entry is None:
                self._targets.remove(change.name)
                return
            self._targets.put(entry)

        contact = store_sync.Contact(
            names.TARGETS_KIND, self._log, self._targets.note_store_back
        )
        await store_sync.follow(
            self._client,
            names.TARGETS_KIND,
            replace_all,
            take,
            contact,
            self._log,
            store_sync.gather(self._targets_gather_s),
            self.after_outage,
        )

    def _targets_gather_s(self) -> float:
        hosts = len(self._peer_by_id) + 1
        wanted_s = TARGETS_GATHER_S * max(1.0, hosts / GATHER_HOSTS)
        return min(wanted_s, GATHER_DRAIN_SHARE * self._targets.drain_s)

    async def follow_shared(self) -> None:
        """Follow key maps and the other hosts, for ever."""

        def drop(name: str) -> None:
            if name.startswith(names.HOST_PREFIX):
                host_id = name.removeprefix(names.HOST_PREFIX)
                self._peer_by_id.pop(host_id, None)

        def take(name: str, item: typing.Any) -> None:
            try:
                self._take_shared(name, item)
            except entries.EntryError as error:
                self._log.event('entry_rejected', name=name, error=str(error))

        async def pause(changed: bool) -> None:
            self._news.note_read()
            await self._news.wait()

        await self._follow(
            names.SHARED_KIND,
            take,
            drop,
            store_sync.Contact(names.SHARED_KIND, self._log),
            pause,
            self.after_outage,
            SHARED_WAIT_S,
        )

    async def register(self) -> None:
        """Tell the other hosts where this one takes datagrams."""
        spec = entries.encode_peer(self._own)
        name = names.HOST_PREFIX + self._own.host_id
        while True:
            try:
                await self._client.create(
                    names.SHARED_KIND, name, spec, REGISTER_TIMEOUT_S
                )
                return
            except store.ConflictError as error:
                known = error.item or {}
                if known.get('spec') == spec:
                    return
                await self._replace_registration(name, known, spec)
            except store.StoreError as error:
                self._log.event('not_registered', reason=str(error))
            await asyncio.sleep(REGISTER_RETRY_S * (1 + random.random()))

    async def _replace_registration(
        self, name: str, known: dict[str, typing.Any], spec: typing.Any
    ) -> None:
        revision = known.get('metadata', {}).get('rev', 0)
        # Either fault shows again when the registration is read back.
        with contextlib.suppress(store.StoreError, store.ConflictError):
            await self._client.replace(
                names.SHARED_KIND, name, revision, spec, REGISTER_TIMEOUT_S
            )

    def _read_target(
        self, name: str, item: typing.Any
    ) -> model.TargetEntry | None:
        try:
            return entries.decode_target(name, item)
        except entries.EntryError as error:
            self._log.event('entry_rejected', name=name, error=str(error))
            return None

    def _take_shared(self, name: str, item: typing.Any) -> None:
        if name.startswith(names.KEY_MAP_PREFIX):
            service = name.removeprefix(names.KEY_MAP_PREFIX)
            if self._keys.put(entries.decode_key_map(service, item)):
                self._on_keys(service)
            return
        if not name.startswith(names.HOST_PREFIX):
            return
        host_id = name.removeprefix(names.HOST_PREFIX)
        if host_id != self._own.host_id:
            self._peer_by_id[host_id] = entries.decode_peer(host_id, item)

    async def _follow(
        self,
        kind: str,
        take: typing.Callable[[str, typing.Any], None],
        drop: typing.Callable[[str], None],
        contact: store_sync.Contact,
        pause: store_sync.Pause,
        turn: store_sync.Turn,
        wait_s: float,
    ) -> None:
        def take_all(items: dict[str, typing.Any]) -> None:
            for name, item in items.items():
                take(name, item)

        def take_change(change: store.Change) -> None:
            if change.deleted:
                drop(change.name)
                return
            take(change.name, change.item)

        await store_sync.follow(
            self._client,
            kind,
            take_all,
            take_change,
            contact,
            self._log,
            pause,
            turn,
            wait_s,
        )
