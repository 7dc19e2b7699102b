"""The key maps that a controller begins with, and when it may use them.

A map that was written in the store's present era, or that this process wrote
under the lease that it still holds, names all possible owners. Any other may
be an old version: grants of a controller that the store has forgotten may run,
to anybody. Such a map is used only when all of them have ended.
"""

import typing

from amaranthcrank.platform import store
from amaranthcrank.platform import store_position
from amaranthcrank.router import clock
from amaranthcrank.router import controller_lease
from amaranthcrank.router import hold_times
from amaranthcrank.router import key_recovery
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import ownership_events


class InheritedMaps:
    """The maps of services that the controller does not act on yet."""

    def __init__(
        self,
        client: store.Client,
        keys: key_table.KeyTable,
        events: ownership_events.OwnershipEvents,
        grant_max_s: float,
    ) -> None:
        """Start without maps.

        Args:
          client: The client of the store, which knows its era.
          keys: The newest maps that this host knows.
          events: Records with which map the controller begins.
          grant_max_s: The longest duration of a grant.
        """
        self._client = client
        self._keys = keys
        self._events = events
        # From when the lease of a forgotten controller was valid at the
        # latest, until none of its grants can run.
        self._forgotten_s = (
            controller_lease.LEASE_S
            + controller_lease.MARGIN_S
            + hold_times.TRANSIT_S
            + grant_max_s * hold_times.CLOCK_RATE_FACTOR
        )
        self._stored_by_service: dict[str, model.KeyMap] = {}
        self._own_by_service: dict[str, model.KeyMap] = {}
        self._usable_at_by_service: dict[str, float] = {}

    def begin(
        self,
        stored: typing.Sequence[model.KeyMap],
        own_by_service: dict[str, model.KeyMap],
        doubted: typing.Collection[str],
    ) -> None:
        """Begin with the maps that the store has.

        Args:
          stored: The maps.
          own_by_service: The last maps of this process, if it has held the
            lease without a break since it wrote them; else none.
          doubted: Services of which a target has seen a higher token than
            that of the map.
        """
        self._stored_by_service = {
            key_map.service: key_map for key_map in stored
        }
        self._own_by_service = dict(own_by_service)
        self._usable_at_by_service.clear()
        for service in doubted:
            own = self._own_by_service.pop(service, None)
            if own is None or self._revision(service) != own.revision:
                # Another controller has written the map since.
                continue
            self._usable_at_by_service[service] = (
                clock.now() + self._forgotten_s
            )

    def take(self, service: str) -> model.KeyMap | None:
        """Return the map to act on, or None while grants may run unknown."""
        stored = self._stored_by_service.get(service)
        own = self._own_by_service.get(service)
        is_restored = self._is_restored(service, stored)
        if service not in self._usable_at_by_service:
            if stored is not None and not is_restored:
                return self._begun(stored, 0)
            if stored is None and not is_restored:
                return model.KeyMap(service, 0, (), 0, {})
            if own is not None:
                return self._begun(
                    own._replace(revision=self._revision(service)), 0
                )
            usable_at = self._client.era_seen_at + self._forgotten_s
            self._usable_at_by_service[service] = usable_at
            self._events.map_doubted(service, usable_at - clock.now())
        if clock.now() < self._usable_at_by_service[service]:
            return None
        del self._usable_at_by_service[service]
        if stored is None:
            stored = model.KeyMap(service, 0, (), 0, {})
        restores = max(1, self._client.era - stored.era)
        known = self._keys.map_by_service.get(service)
        return self._begun(
            key_recovery.recover(stored, known, restores), restores
        )

    def _revision(self, service: str) -> int:
        stored = self._stored_by_service.get(service)
        return 0 if stored is None else stored.revision

    def _is_restored(self, service: str, stored: model.KeyMap | None) -> bool:
        """Return whether later versions of a map may have been lost."""
        if stored is not None:
            return stored.era != self._client.era
        if self._client.has_seen_restore:
            return True
        if self._client.era > store_position.FIRST_ERA:
            # The copy may be of before the first map, and this host may have
            # started after the restore.
            return True
        return service in self._keys.map_by_service

    def _begun(self, key_map: model.KeyMap, restores: int) -> model.KeyMap:
        self._events.map_inherited(key_map, self._client.era, restores)
        return key_map
