"""Reads and writes the key maps of all keyed services in the store."""

import asyncio
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.platform import store_position
from amaranthcrank.router import controller_lease
from amaranthcrank.router import event_log
from amaranthcrank.router import model

STORE_TIMEOUT_S = 1.0
RETRY_S = 0.3


class KeyMapStore:
    """The controller's access to the key maps, under its lease."""

    def __init__(
        self,
        client: store.Client,
        lease: controller_lease.Lease,
        log: event_log.EventLog,
    ) -> None:
        """Access the store only while the lease is held."""
        self._client = client
        self._lease = lease
        self._log = log

    async def read_all(self) -> list[model.KeyMap] | None:
        """Return all key maps, or None if the lease is no longer held."""
        while self._lease.is_held:
            try:
                listing = await self._client.list_all(
                    names.SHARED_KIND, STORE_TIMEOUT_S
                )
            except store.StoreError as error:
                self._log.event('key_maps_unread', reason=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            if store_position.era_of(self._lease.revision) < self._client.era:
                # The lease is not known in a store that was restored.
                await asyncio.sleep(RETRY_S)
                continue
            return self._decode_all(listing.item_by_name)
        return None

    def _decode_all(
        self, item_by_name: dict[str, typing.Any]
    ) -> list[model.KeyMap]:
        """Decode all key maps; malformed ones are logged and left out."""
        key_maps, errors = entries.decode_key_maps(item_by_name)
        for error in errors:
            self._log.event('entry_rejected', error=error)
        return key_maps

    async def write(self, key_map: model.KeyMap) -> model.KeyMap | None:
        """Write a map, on condition that the store has its revision.

        Returns:
          The map with its new revision; None if the lease is no longer held or
          another host has written the map, so that this host must stop acting
          as the controller.
        """
        spec = entries.encode_key_map(key_map)
        while self._lease.is_held:
            try:
                item = await self._put(key_map, spec)
            except store.StoreError as error:
                self._log.event('key_map_unwritten', reason=str(error))
                await asyncio.sleep(RETRY_S)
                continue
            except store.ConflictError as error:
                item = error.item
                if not _has_spec(item, spec):
                    self._log.event('key_map_conflict')
                    return None
            try:
                return entries.decode_key_map(key_map.service, item)
            except entries.EntryError as error:
                # The write took effect, but its revision is unknown.
                self._log.event('key_map_unread', error=str(error))
                return None
        return None

    async def _put(
        self, key_map: model.KeyMap, spec: typing.Any
    ) -> typing.Any:
        name = names.KEY_MAP_PREFIX + key_map.service
        if key_map.revision == 0:
            return await self._client.create(
                names.SHARED_KIND, name, spec, STORE_TIMEOUT_S
            )
        return await self._client.replace(
            names.SHARED_KIND, name, key_map.revision, spec, STORE_TIMEOUT_S
        )


def _has_spec(item: typing.Any, spec: typing.Any) -> bool:
    """Return whether an object holds a spec.

    After a conflict this shows that the write itself took effect, but its
    response was lost.
    """
    if not isinstance(item, dict):
        return False
    return bool(item.get('spec') == spec)
