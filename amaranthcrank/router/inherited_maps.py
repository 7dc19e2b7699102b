"""The key maps that a controller begins with, and when it may move keys.

A map that was written in the store's present era, or that this process wrote
under the lease that it still holds, names all possible owners. Any other may
be an old version: grants of a controller that the store has forgotten may run,
to anybody. Until all of them have ended no keys are moved. If this host heard
of all changes of the map until the restore, the owners that it knows are
renewed meanwhile, by the tokens that they have.
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


class _Doubt(typing.NamedTuple):
    """What shows that a map is not the newest.

    Attributes:
      known: The map, as this process knows it.
      until: When no grants that it does not know can run, by `clock.now`.
    """

    known: model.KeyMap
    until: float

    def covers(self, stored: model.KeyMap | None) -> bool:
        """Return whether the store has this map, or a later one as doubtful.

        The controller may have written it without a response, under the same
        term. After a recovery its token is far higher.
        """
        if stored is None:
            return self.known.revision == 0
        if stored.revision == self.known.revision:
            return True
        if (stored.era, stored.term) != (self.known.era, self.known.term):
            return False
        raised = stored.fence - self.known.fence
        return raised < key_recovery.TOKENS_PER_RESTORE // 2


class InheritedMaps:
    """The maps of services that the controller does not act on yet."""

    def __init__(
        self,
        client: store.Client,
        keys: key_table.KeyTable,
        events: ownership_events.OwnershipEvents,
        grant_max_s: float,
        heard_until_restore: typing.Callable[[], bool],
    ) -> None:
        """Start without maps.

        Args:
          client: The client of the store, which knows its era.
          keys: The newest maps that this host knows.
          events: Records with which map the controller begins.
          grant_max_s: The longest duration of a grant.
          heard_until_restore: Returns whether this host was the controller, or
            heard from it, until the last restore of the store.
        """
        self._heard_until_restore = heard_until_restore
        self._client = client
        self._keys = keys
        self._events = events
        # From the last grant of a controller until none of them can run.
        self._grants_s = (
            hold_times.TRANSIT_S + grant_max_s * hold_times.CLOCK_RATE_FACTOR
        )
        # From when the lease of a forgotten controller was valid at the
        # latest, until none of its grants can run.
        self._forgotten_s = (
            controller_lease.LEASE_S
            + controller_lease.MARGIN_S
            + self._grants_s
        )
        self._lease_taken_at = clock.now()
        self._stored_by_service: dict[str, model.KeyMap] = {}
        self._own_by_service: dict[str, model.KeyMap] = {}
        self._usable_at_by_service: dict[str, float] = {}
        # Kept until the map is written again, as the controller may end while
        # it waits.
        self._doubt_by_service: dict[str, _Doubt] = {}

    def record_other_holder(self) -> None:
        """Record that another host may have held the lease until now."""
        self._lease_taken_at = clock.now()

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
            own = self._own_by_service.get(service)
            if own is not None:
                self._doubt_by_service[service] = _Doubt(
                    own, clock.now() + self._forgotten_s
                )
        for service, doubt in list(self._doubt_by_service.items()):
            own = self._own_by_service.get(service)
            if own is not None and own.revision == doubt.known.revision:
                del self._own_by_service[service]
            if not doubt.covers(self._stored_by_service.get(service)):
                # It has been written since, by this controller or another.
                del self._doubt_by_service[service]
                continue
            self._usable_at_by_service[service] = doubt.until

    def find_stored(self, service: str) -> model.KeyMap | None:
        """Return the map that the store had, which need not be that used."""
        return self._stored_by_service.get(service)

    def take(self, service: str) -> model.KeyMap:
        """Return the map of a service to act on."""
        stored = self._stored_by_service.get(service)
        own = self._own_by_service.get(service)
        is_doubted = service in self._usable_at_by_service
        if not is_doubted and not self._is_restored(service, stored):
            return self._begun(stored or _empty_map(service), 0)
        if not is_doubted and own is not None:
            revision = self._revision(service)
            return self._begun(own._replace(revision=revision), 0)
        if not is_doubted:
            # A controller may have gone on after the restore.
            usable_at = max(
                self._client.era_seen_at + self._forgotten_s,
                self._lease_taken_at + self._grants_s,
            )
            self._usable_at_by_service[service] = usable_at
        stored = stored or _empty_map(service)
        restores = max(1, self._client.era - stored.era)
        known = self._keys.map_by_service.get(service)
        recover = key_recovery.recover
        if not is_doubted and self._knows_owners(service):
            recover = key_recovery.keep_owners
        return self._begun(recover(stored, known, restores), restores)

    def may_move(self, service: str) -> bool:
        """Return whether no unknown grant of a service can run any more."""
        usable_at = self._usable_at_by_service.get(service)
        if usable_at is None or clock.now() >= usable_at:
            self._usable_at_by_service.pop(service, None)
            return True
        return False

    def _knows_owners(self, service: str) -> bool:
        return self._keys.is_newest(service) and self._heard_until_restore()

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
        usable_at = self._usable_at_by_service.get(key_map.service, 0.0)
        wait_s = max(0.0, usable_at - clock.now())
        self._events.map_inherited(key_map, self._client.era, restores, wait_s)
        return key_map


def _empty_map(service: str) -> model.KeyMap:
    return model.KeyMap(service, 0, (), 0, {})
