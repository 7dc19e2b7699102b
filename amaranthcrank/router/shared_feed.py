"""Follows the shared state in the store: key maps and host addresses."""

import asyncio
import contextlib
import random
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import event_log
from amaranthcrank.router import key_table
from amaranthcrank.router import peers
from amaranthcrank.router import rejection_log
from amaranthcrank.router import shared_read_schedule
from amaranthcrank.router import store_sync

REGISTER_TIMEOUT_S = 1.0
REGISTER_RETRY_S = 0.5


class SharedFeed:
    """Reads key maps and hosts from the store, and registers this host.

    Attributes:
      has_joined: Whether the hosts were read since this host is registered.
        Of any two hosts that join, the later one then knows the other.
    """

    def __init__(
        self,
        client: store.Client,
        keys: key_table.KeyTable,
        peer_by_id: dict[str, peers.Peer],
        own: peers.Peer,
        log: event_log.EventLog,
        retry_gate: store_sync.RetryGate,
        on_key_map: typing.Callable[[str], None],
        read_schedule: shared_read_schedule.SharedReadSchedule,
    ) -> None:
        """Set up the feed of one host.

        Args:
          client: The client of the store.
          keys: The key table to update.
          peer_by_id: The other hosts by id, to be updated.
          own: This host, as it should be registered.
          log: Logs objects that could not be decoded.
          retry_gate: Awaited before each retry of a failed read.
          on_key_map: Called with the service whose key map changed.
          read_schedule: Decides when the store is read again.
        """
        self.has_joined = False
        self._is_registered = False
        self._client = client
        self._keys = keys
        self._peer_by_id = peer_by_id
        self._own = own
        self._log = log
        self._on_key_map = on_key_map
        self._read_schedule = read_schedule
        self._rejections = rejection_log.RejectionLog(log)
        self._backoff = store_sync.RetryBackoff(retry_gate)
        client.on_restored.append(lambda *_: read_schedule.record_restore())

    async def follow(self) -> None:
        """Follow key maps and the other hosts until cancelled.

        Each read lists the complete state: a watch would transfer every
        version of a map that changes every second. The first list may be
        stale, as heartbeats name the newest revisions soon after.
        """
        allow_stale = True
        reachability = store_sync.Reachability(names.SHARED_KIND, self._log)
        while True:
            # A stale list need not have the hosts that registered before.
            will_have_joined = self._is_registered and not allow_stale
            try:
                listing = await self._client.list_all(
                    names.SHARED_KIND,
                    store_sync.CALL_TIMEOUT_S,
                    allow_stale,
                )
            except (
                store.StoreError,
                store.ConflictError,
                store.RevisionExpiredError,
            ) as error:
                silent = isinstance(error, store.StoreError) and error.silent
                reachability.record_failure(str(error), silent)
                await self._backoff.wait()
                continue
            allow_stale = False
            reachability.record_answer()
            self._backoff.reset()
            for name, item in listing.item_by_name.items():
                self._apply(name, item)
            own_name = names.HOST_PREFIX + self._own.host_id
            if will_have_joined and own_name not in listing.item_by_name:
                # A store that was restored may have lost the registration.
                self._log.event('registration_lost')
                await self._register()
            self.has_joined = self.has_joined or will_have_joined
            self._read_schedule.record_read()
            await self._read_schedule.wait()

    async def register(self) -> None:
        """Register the address at which this host receives datagrams."""
        await self._register()
        self._is_registered = True

    async def _register(self) -> None:
        spec = entries.encode_peer(self._own)
        name = names.HOST_PREFIX + self._own.host_id
        while True:
            try:
                await self._client.create(
                    names.SHARED_KIND, name, spec, REGISTER_TIMEOUT_S
                )
                return
            except store.ConflictError as error:
                if isinstance(error.item, dict):
                    if error.item.get('spec') == spec:
                        return
                await self._replace_registration(name, error.item, spec)
            except store.StoreError as error:
                self._log.event('not_registered', reason=str(error))
            await asyncio.sleep(REGISTER_RETRY_S * (1 + random.random()))

    async def _replace_registration(
        self, name: str, existing: typing.Any, spec: typing.Any
    ) -> None:
        revision = entries.revision_of(existing)
        # The next attempt of `register` to create the entry shows whether the
        # replacement succeeded.
        with contextlib.suppress(store.StoreError, store.ConflictError):
            await self._client.replace(
                names.SHARED_KIND, name, revision, spec, REGISTER_TIMEOUT_S
            )

    def _apply(self, name: str, item: typing.Any) -> None:
        try:
            self._apply_shared(name, item)
        except entries.EntryError as error:
            self._rejections.record(
                name, entries.revision_of(item), str(error)
            )

    def _apply_shared(self, name: str, item: typing.Any) -> None:
        if name.startswith(names.KEY_MAP_PREFIX):
            service = name.removeprefix(names.KEY_MAP_PREFIX)
            if self._keys.put(entries.decode_key_map(service, item)):
                self._on_key_map(service)
            return
        if not name.startswith(names.HOST_PREFIX):
            return
        host_id = name.removeprefix(names.HOST_PREFIX)
        if host_id != self._own.host_id:
            self._peer_by_id[host_id] = entries.decode_peer(host_id, item)
