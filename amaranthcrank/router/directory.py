"""The targets known to the host.

Their entries come from the store. While the store is unavailable, the last
known entries stay valid. Entries that expired during the outage are kept for a
short time after it, in which a live target writes its entry again.
"""

import collections
import math
import typing

from amaranthcrank.router import model
from amaranthcrank.router import reported_load
from amaranthcrank.router import target_state

# How long departures are remembered. No grant lasts longer, and hosts that
# were disconnected from the store query other hosts for departures.
DEPARTURE_RETENTION_S = 60.0
# How long it is remembered that a target said that it is leaving. Targets end
# sooner than that.
LEAVING_RETENTION_S = 900.0
# Live targets write an expired entry again within about two seconds after an
# outage of the store. Entries that disappear within this time may have
# expired.
REREGISTRATION_S = 2.3
# Reasons for dropping a target, as logged.
EXPIRED = 'lapsed'
REMOVED = 'removed'


class Departure(typing.NamedTuple):
    """The removal of the entry of one incarnation of a target.

    Attributes:
      at: The earliest time at which the entry may have been removed, in event
        loop time.
      expired: Whether it was removed just after an outage of the store, so
        that it may have expired during the outage.
    """

    at: float
    expired: bool


class Directory:
    """All targets that may get requests.

    Attributes:
      by_id: The targets.
      by_service: The targets of each service.
      listeners: Called after each change.
      loaded: Whether the list of entries was read from the store once.
      drain_s: How long a draining target keeps serving.
      evacuation_s: How long after the evacuation of a failure domain its
        targets may still receive requests.
      services: The services of the ticket in force; none before the first
        ticket.
      evacuated_since_by_domain: The evacuated failure domains, with the
        earliest time at which the evacuation may have begun, in event loop
        time.
      cold_services: The services whose targets may say in responses that they
        are cold.
      reporting_services: The services of which a target reported its load.
      awaits_evacuations: Whether no target accepts requests yet, because the
        evacuated domains are not known.
    """

    def __init__(
        self,
        clock: typing.Callable[[], float],
        drain_s: float,
        log: typing.Callable[..., None],
        evacuation_s: float = 0.0,
    ) -> None:
        """Create a directory without targets.

        Args:
          clock: Returns the event loop's time.
          drain_s: How long a draining target keeps serving.
          log: Logs an event.
          evacuation_s: How long after the evacuation of a failure domain its
            targets may still receive requests.
        """
        self.by_id: dict[str, target_state.Target] = {}
        self.by_service: dict[str, list[target_state.Target]] = {}
        self.listeners: list[typing.Callable[[], None]] = []
        self.loaded = False
        self.drain_s = drain_s
        self.evacuation_s = evacuation_s
        self.services: frozenset[str] = frozenset()
        self.evacuated_since_by_domain: dict[str, float] = {}
        self.cold_services: frozenset[str] = frozenset()
        self.reporting_services: set[str] = set()
        self.awaits_evacuations = False
        self._departure_by_holder: dict[str, Departure] = {}
        # What incarnations of targets said about themselves. It is kept when
        # their entry is removed, as the entry may come back.
        self._leaving_since_by_holder: dict[str, float] = {}
        self._held_off_until_by_holder: dict[str, float] = {}
        self._clock = clock
        self._log = log
        # Entries of a restored store that are older than what is known.
        self._outdated_by_id: dict[str, model.TargetEntry] = {}
        self._outdated_until = 0.0
        self._keep_missing_until = 0.0
        self._expiries_possible_until = 0.0
        self._stale_since = 0.0
        self._is_current = True

    def mark_stale(self, stale_s: float) -> None:
        """Record that changes may have been missed.

        Changes seen from now on are dated to the start of that time.

        Args:
          stale_s: For how long this host has not received changes.
        """
        self._stale_since = self._clock() - stale_s
        self._is_current = False

    def mark_current(self) -> None:
        """Record that all changes until now are known."""
        self._is_current = True

    def keep_missing(self, keep_s: float, stale_s: float) -> None:
        """Keep targets whose entries are missing from now on for some time.

        The entries may have expired during an outage of the store, and live
        targets write them again. Draining targets are not kept.

        Args:
          keep_s: For how long to keep them; 0 or less: not at all.
          stale_s: For how long this host did not receive changes.
        """
        now = self._clock()
        self._keep_missing_until = now + keep_s
        self._expiries_possible_until = now + REREGISTRATION_S
        self._stale_since = now - stale_s

    def begin_restore(self, keep_s: float, expiry_s: float) -> None:
        """Expect an older list, as the store came back from a copy.

        Live targets write missing entries again. Entries of targets that have
        ended, or of their former starts, expire.

        Args:
          keep_s: For how long to keep targets whose entries are missing.
          expiry_s: After which time entries that are older than what is known
            must have expired; what is left of them is applied then.
        """
        now = self._clock()
        stale_since = now if self._is_current else self._stale_since
        self.keep_missing(keep_s, now - stale_since)
        self._outdated_until = now + expiry_s
        for target in self.by_id.values():
            self._remember_drain(target)

    @property
    def removals_may_be_expiries(self) -> bool:
        """Whether entries removed now may have expired in an outage."""
        return self._clock() < self._expiries_possible_until

    def names_target(self, entry: model.TargetEntry) -> bool:
        """Return whether an entry shows that a target runs at its address.

        The store also contains entries by other writers, for services that
        no ticket names. They show nothing about the targets.
        """
        return entry.service in self.services

    def missing_holders(self) -> list[str]:
        """Return the holders that are kept although their entry is missing."""
        return [
            target.entry.holder
            for target in self.by_id.values()
            if target.missing_until is not None
        ]

    def has_departed(self, holder: str) -> bool:
        """Return whether this host saw a removal that was not an expiry."""
        departure = self._departure_by_holder.get(holder)
        return departure is not None and not departure.expired

    def confirm_departure(self, holder: str) -> None:
        """Drop a kept target that departed according to another host."""
        target = self.find(*model.split_holder(holder))
        if target is None or target.missing_until is None:
            return
        self._drop(target.entry.target_id, REMOVED)
        self._publish_change()

    def replace_all(self, entries: typing.Iterable[model.TargetEntry]) -> None:
        """Replace all entries by a complete list."""
        entry_by_id = {entry.target_id: entry for entry in entries}
        self._outdated_by_id = self._find_outdated(entry_by_id)
        for target_id in self._outdated_by_id:
            del entry_by_id[target_id]
        for target_id in list(self.by_id):
            if target_id not in entry_by_id:
                self._handle_removal(target_id)
        for entry in entry_by_id.values():
            self._upsert(entry)
        self.loaded = True
        self._publish_change()

    def put(self, entry: model.TargetEntry) -> None:
        """Add or update an entry."""
        self._outdated_by_id.pop(entry.target_id, None)
        self._upsert(entry)
        self._publish_change()

    def remove(self, target_id: str) -> None:
        """Handle the removal of an entry from the store."""
        self._outdated_by_id.pop(target_id, None)
        self._handle_removal(target_id)
        self._publish_change()

    def mark_leaving(self, holder: str) -> bool:
        """Record that an incarnation of a target said that it is leaving.

        From then on it is treated as draining, whatever its entry says.

        Returns:
          Whether that was not known before.
        """
        if holder in self._leaving_since_by_holder:
            return False
        self._leaving_since_by_holder[holder] = self._clock()
        target = self.find(*model.split_holder(holder))
        if target is None:
            return True
        if target.entry.state == model.DRAINING:
            return False
        self._set_entry(target, target.entry._replace(state=model.DRAINING))
        self._publish_change()
        return True

    def hold_off(self, holder: str, hold_off_s: float) -> None:
        """Record that a target wants no request from this host for a time.

        Args:
          holder: The incarnation of the target, as `id/incarnation`.
          hold_off_s: For how long, in seconds.
        """
        until = self._clock() + hold_off_s
        until = max(until, self._held_off_until_by_holder.get(holder, 0.0))
        self._held_off_until_by_holder[holder] = until
        target = self.find(*model.split_holder(holder))
        if target is None:
            return
        target.held_off_until = until
        self._log('target_held_off', target=holder, hold_off_s=hold_off_s)
        self.notify_listeners()

    def record_warm_up(self, holder: str, warm_up_s: float) -> None:
        """Record that a target said for how much longer it is cold.

        Args:
          holder: The incarnation of the target, as `id/incarnation`.
          warm_up_s: For how long, in seconds.
        """
        target = self.find(*model.split_holder(holder))
        if target is None or target.entry.service not in self.cold_services:
            return
        target.cold_until_by_response = target_state.cold_until(
            self._clock(), warm_up_s
        )

    def record_load(
        self, holder: str, fields: reported_load.LoadFields
    ) -> None:
        """Record the load that an incarnation of a target reported."""
        target = self.find(*model.split_holder(holder))
        if target is None:
            return
        self.reporting_services.add(target.entry.service)
        target.reported_load = reported_load.arrived(
            fields, target.in_flight, self._clock()
        )

    @property
    def any_held_off(self) -> bool:
        """Whether any target wants no request from this host now."""
        return bool(self._held_off_until_by_holder)

    def drop_expired(self) -> None:
        """Drop kept targets whose entries were not written again in time."""
        now = self._clock()
        self._drop_expired_notices(now)
        for holder, departure in list(self._departure_by_holder.items()):
            if now - departure.at > DEPARTURE_RETENTION_S:
                del self._departure_by_holder[holder]
        dropped = False
        for target_id, target in list(self.by_id.items()):
            if target.missing_until is None or now < target.missing_until:
                continue
            self._drop(target_id, EXPIRED)
            dropped = True
        if self._apply_outdated(now) or dropped:
            self._publish_change()

    def _find_outdated(
        self, entry_by_id: dict[str, model.TargetEntry]
    ) -> dict[str, model.TargetEntry]:
        """Return the entries of a list that are older than what is known."""
        if self._clock() >= self._outdated_until:
            return {}
        departed: dict[str, int] = {}
        for holder in self._departure_by_holder:
            target_id, incarnation = model.split_holder(holder)
            departed[target_id] = max(departed.get(target_id, 0), incarnation)
        outdated = {}
        for target_id, entry in entry_by_id.items():
            known = self.by_id.get(target_id)
            if known is None:
                is_outdated = entry.incarnation <= departed.get(target_id, -1)
            else:
                is_outdated = _is_older_instance(entry, known.entry)
            if is_outdated:
                outdated[target_id] = entry
                self._log('target_outdated', target=entry.holder)
        return outdated

    def _apply_outdated(self, now: float) -> bool:
        """Apply entries that have not expired; return whether there are any.

        Their targets live, as somebody keeps the entries alive.
        """
        if not self._outdated_by_id or now < self._outdated_until:
            return False
        for entry in self._outdated_by_id.values():
            self._upsert(entry)
        self._outdated_by_id = {}
        return True

    def _drop_expired_notices(self, now: float) -> None:
        for holder, since in list(self._leaving_since_by_holder.items()):
            if now - since > LEAVING_RETENTION_S:
                del self._leaving_since_by_holder[holder]
        for holder, until in list(self._held_off_until_by_holder.items()):
            if now >= until:
                del self._held_off_until_by_holder[holder]

    def ready(self, service: str) -> list[target_state.Target]:
        """Return the targets of a service that accept requests."""
        targets = self.by_service.get(service, ())
        evacuated = self.evacuated_since_by_domain
        if self.awaits_evacuations:
            return []
        if not evacuated:
            return [
                target
                for target in targets
                if target.entry.state == model.READY
            ]
        return [
            target
            for target in targets
            if target.entry.state == model.READY
            and target.entry.failure_domain not in evacuated
        ]

    def ready_slots(self) -> int:
        """Return the number of slots of all targets that accept requests."""
        return sum(
            target.entry.slots
            for service in self.by_service
            for target in self.ready(service)
        )

    def is_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave a service without a target."""
        evacuated = self.evacuated_since_by_domain
        if not evacuated or self.ready(service):
            return False
        return any(
            target.entry.failure_domain in evacuated
            for target in self.by_service.get(service, ())
        )

    def evacuate(
        self, domains: typing.Collection[str], stale_s: float
    ) -> bool:
        """Replace the set of evacuated failure domains.

        Args:
          domains: All evacuated domains.
          stale_s: For how long changes may have been missed. A domain that is
            new in the set may have been evacuated as long ago.

        Returns:
          Whether the set has changed.
        """
        known = self.evacuated_since_by_domain
        if known.keys() == set(domains):
            self.end_evacuation_wait()
            return False
        since = self._clock() - stale_s
        for domain in sorted(known.keys() - set(domains)):
            self._log('domain_restored', domain=domain)
        for domain in sorted(set(domains) - known.keys()):
            self._log('domain_evacuated', domain=domain)
        self.evacuated_since_by_domain = {
            domain: known.get(domain, since) for domain in domains
        }
        self.awaits_evacuations = False
        self.notify_listeners()
        return True

    def end_evacuation_wait(self) -> None:
        """Let targets accept requests, with the evacuations known so far."""
        if self.awaits_evacuations:
            self.awaits_evacuations = False
            self.notify_listeners()

    def find(
        self, target_id: str, incarnation: int
    ) -> target_state.Target | None:
        """Return one incarnation of a target, or None."""
        target = self.by_id.get(target_id)
        if target is None or target.entry.incarnation != incarnation:
            return None
        return target

    def is_current(self, holder: str) -> bool:
        """Return whether a target, as `id/incarnation`, is known."""
        return self.find(*model.split_holder(holder)) is not None

    def _upsert(self, entry: model.TargetEntry) -> None:
        now = self._clock()
        if entry.holder in self._leaving_since_by_holder:
            entry = entry._replace(state=model.DRAINING)
        known = self.by_id.get(entry.target_id)
        if known is None or _is_new_instance(known.entry, entry):
            draining_since = self._draining_since(entry)
            target = target_state.Target(entry, now, draining_since)
            target.held_off_until = self._held_off_until_by_holder.get(
                entry.holder, 0.0
            )
            self.by_id[entry.target_id] = target
            self._departure_by_holder.pop(entry.holder, None)
            self._log('target_known', **entry._asdict())
            return
        known.missing_until = None
        known.cold_until = target_state.cold_until(now, entry.cold_s)
        self._set_entry(known, entry)

    def _set_entry(
        self, target: target_state.Target, entry: model.TargetEntry
    ) -> None:
        if target.entry.state != entry.state:
            target.draining_since = self._draining_since(entry)
            self._log(
                'target_state', target=entry.target_id, state=entry.state
            )
        target.entry = entry

    def _draining_since(self, entry: model.TargetEntry) -> float | None:
        if entry.state != model.DRAINING:
            return None
        leaving_since = self._leaving_since_by_holder.get(
            entry.holder, math.inf
        )
        return min(leaving_since, self._earliest_change_at())

    def _earliest_change_at(self) -> float:
        """Return the earliest possible time of a change that is seen now."""
        if not self.loaded:
            return -math.inf
        if self.removals_may_be_expiries or not self._is_current:
            return self._stale_since
        return self._clock()

    def _handle_removal(self, target_id: str) -> None:
        target = self.by_id.get(target_id)
        if target is None:
            return
        is_draining = target.entry.state == model.DRAINING
        if is_draining or not self.removals_may_be_expiries:
            self._drop(target_id, REMOVED)
            return
        if self._clock() >= self._keep_missing_until:
            self._drop(target_id, EXPIRED)
            return
        if target.missing_until is None:
            target.missing_until = self._keep_missing_until
            self._log('target_missing', target=target_id)

    def _remember_drain(self, target: target_state.Target) -> None:
        """Remember that a target drains, though its entry may say otherwise.

        A drain that has lasted longer than it may counts as just over.
        """
        if target.draining_since is None:
            return
        since = max(target.draining_since, self._clock() - self.drain_s)
        self._leaving_since_by_holder.setdefault(target.entry.holder, since)

    def _drop(self, target_id: str, reason: str) -> None:
        target = self.by_id.pop(target_id)
        self._remember_drain(target)
        self._departure_by_holder[target.entry.holder] = Departure(
            self._earliest_change_at(), reason == EXPIRED
        )
        self._log('target_gone', target=target_id, reason=reason)

    def _publish_change(self) -> None:
        by_service = collections.defaultdict(list)
        for target in self.by_id.values():
            by_service[target.entry.service].append(target)
        self.by_service = dict(by_service)
        self.notify_listeners()

    def notify_listeners(self) -> None:
        """Call the listeners, as waiting requests may now be assigned."""
        for listener in self.listeners:
            listener()


def _is_new_instance(
    known: model.TargetEntry, entry: model.TargetEntry
) -> bool:
    if known.incarnation != entry.incarnation:
        return True
    return known.address != entry.address or known.service != entry.service


def _is_older_instance(
    entry: model.TargetEntry, known: model.TargetEntry
) -> bool:
    """Return whether an entry of a restored store is of a former instance."""
    if entry.incarnation != known.incarnation:
        return entry.incarnation < known.incarnation
    return _is_new_instance(known, entry)
