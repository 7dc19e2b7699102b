"""Assigns each key of the keyed services to exactly one target.

One host at a time does this, under the controller's lease. A move is first
written to the store as moving. Then the former owner releases the keys and is
fenced off from earlier grants, or its grants expire. After that the new owner
is granted the keys with a higher fencing token, and the move is written as
completed.
"""

import asyncio
import functools
import math
import time
import typing

from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import cold_owners
from amaranthcrank.router import controller_lease
from amaranthcrank.router import directory
from amaranthcrank.router import event_log
from amaranthcrank.router import former_owners
from amaranthcrank.router import held_keys
from amaranthcrank.router import inherited_maps
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_load
from amaranthcrank.router import key_map_store
from amaranthcrank.router import key_plan
from amaranthcrank.router import key_ranges
from amaranthcrank.router import key_renewals
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import ownership_events
from amaranthcrank.router import refused_holders
from amaranthcrank.router import target_stability
from amaranthcrank.router import target_state
from amaranthcrank.router import unsettled_holds

STEP_INTERVAL_S = 0.1
# Moves that complete within this time are written to the store together.
# Hosts are notified of each at once by datagram.
BATCH_WINDOW_S = 0.5
# An owner with a higher utilisation than this has a queue at times, so hosts
# need to know the usage by the other hosts.
CONTENDED_UTILISATION = 0.5
# After all tokens of a service were raised, a target that rejects them is not
# believed for this long, counted from its last rejection: it is assigned no
# keys in place of that.
DOUBT_INTERVAL_S = 60.0

# The service, the first key, the last key and the fencing token.
_MoveId = tuple[str, int, int, int]


class Controller:
    """Assigns and moves keys while this host holds the lease.

    Attributes:
      keyed_services: The services whose keys have owners.
      on_move_completed: Called with a service and a range whose move has
        completed.
      on_map_written: Called with the former and the new key map after a
        write to the store.
      cold_load_s: Returns the work per second that a target may get;
        infinite if it is not cold.
      load: The recent load by key, as all hosts report it.
      contended_services: The services with an owner that is likely to have a
        queue.
      domains_by_service: The failure domains whose targets may own keys, for
        services whose routes are all limited to regions.
    """

    def __init__(
        self,
        client: store.Client,
        lease: controller_lease.Lease,
        calls: key_calls.KeyCalls,
        targets: directory.Directory,
        keys: key_table.KeyTable,
        log: event_log.EventLog,
        grant_max_s: float,
        events: ownership_events.OwnershipEvents,
    ) -> None:
        """Use the target directory and key table of the request path."""
        self.keyed_services: tuple[str, ...] = ()
        self.on_move_completed: (
            typing.Callable[[str, model.KeyRange], None] | None
        ) = None
        self.on_map_written: (
            typing.Callable[[model.KeyMap, model.KeyMap], None] | None
        ) = None
        self.cold_load_s: typing.Callable[[target_state.Target], float] = (
            lambda target: math.inf
        )
        self.load = key_load.KeyLoad()
        self.contended_services: frozenset[str] = frozenset()
        self.domains_by_service: dict[str, frozenset[str]] = {}
        self._client = client
        self._store = key_map_store.KeyMapStore(client, lease, log)
        self._lease = lease
        self._calls = calls
        self._targets = targets
        self._keys = keys
        self._log = log
        self._events = events
        self._grant_max_s = grant_max_s
        self._map_by_service: dict[str, model.KeyMap] = {}
        self._completed_by_service: dict[str, list[model.KeyRange]] = {}
        self._task_by_move: dict[_MoveId, asyncio.Task[None]] = {}
        self._address_by_holder: dict[str, model.Address] = {}
        self._former_owners = former_owners.FormerOwners(
            calls,
            targets,
            self._address_by_holder,
            events,
        )
        self._unsettled = unsettled_holds.UnsettledHolds(
            lease,
            calls,
            self._former_owners,
            self._address_by_holder,
            events,
            grant_max_s,
        )
        self._refused_holders = refused_holders.RefusedHolders()
        self._renewals = key_renewals.KeyRenewals(
            lease,
            calls,
            self._former_owners,
            self._refused_holders,
            self._address_by_holder,
            log,
            grant_max_s,
            self._on_token_superseded,
        )
        self._inherited_maps = inherited_maps.InheritedMaps(
            client,
            keys,
            events,
            grant_max_s,
            lease.knew_holder_at_restore,
        )
        # Services of which a target has seen a higher token than that of the
        # map, and when that was found last, by `clock.now`.
        self._doubted_services: set[str] = set()
        self._doubted_at_by_service: dict[str, float] = {}
        # When targets last rejected tokens that had been raised.
        self._disbelieved_at_by_holder: dict[str, float] = {}
        self._rebalanced_at_by_service: dict[str, float] = {}
        self._held_keys_by_service: dict[str, held_keys.HeldKeys] = {}
        # Services whose moves were begun by an earlier controller.
        self._inherited_services: set[str] = set()
        self._first_completed_at = 0.0
        self._renewal_task: asyncio.Task[None] | None = None
        self._stability = target_stability.TargetStability()

    async def run(self) -> None:
        """Act as the controller while the lease is held."""
        if not self._lease.was_last_holder:
            self._calls.assume_prior_grants(self._grant_max_s)
            self._inherited_maps.record_other_holder()
            self._unsettled.clear()
            self._map_by_service = {}
        own_maps = {
            service: key_map
            for service, key_map in self._map_by_service.items()
            if self._inherited_maps.may_move(service)
        }
        self._reset()
        self._unsettled.start()
        try:
            if not await self._read_maps(own_maps):
                # They are still the newest if the lease is confirmed in time.
                self._map_by_service = own_maps
                return
            self._renewal_task = asyncio.create_task(
                self._renewals.run(self._map_by_service)
            )
            era = self._client.era
            while self._lease.is_held and self._client.era == era:
                if self._renewal_task.done():
                    # Without renewals, all keys would lose their owners.
                    self._renewal_task.result()
                    return
                for service in self.keyed_services:
                    if not await self._step(service):
                        return
                await asyncio.sleep(STEP_INTERVAL_S)
        finally:
            self._stop_tasks()

    def is_keyed(self, service: str) -> bool:
        """Return whether the keys of a service have owners."""
        return service in self.keyed_services

    def renew_soon(self, target_id: str) -> None:
        """Renew the grants of a target that rejected a key it should hold."""
        self._renewals.renew_soon(target_id)

    def _reset(self) -> None:
        self._map_by_service = {}
        self._completed_by_service = {}
        self._renewals.reset()
        self._refused_holders.clear()
        self._inherited_services.clear()
        self.contended_services = frozenset()

    def _stop_tasks(self) -> None:
        if self._renewal_task is not None:
            self._renewal_task.cancel()
        self._renewals.stop()
        self._unsettled.stop()
        for task in self._task_by_move.values():
            task.cancel()
        self._task_by_move.clear()

    async def _read_maps(self, own_maps: dict[str, model.KeyMap]) -> bool:
        """Read all key maps; return False if the lease is no longer held.

        Args:
          own_maps: The last maps of this process under this lease.
        """
        maps = await self._store.read_all()
        if maps is None:
            return False
        self._inherited_maps.begin(maps, own_maps, self._doubted_services)
        self._doubted_services.clear()
        for service in {*own_maps, *(each.service for each in maps)}:
            self._begin(service)
        return True

    def _begin(self, service: str) -> model.KeyMap:
        """Begin to act on the map of a service."""
        key_map = self._inherited_maps.take(service)
        self._map_by_service[service] = key_map
        self._address_by_holder.update(key_map.address_by_holder)
        if key_map.ranges:
            self._inherited_services.add(service)
        for hold in key_map.unsettled:
            self._unsettled.add(service, hold)
        if self._inherited_maps.may_move(service):
            self._keys.put(key_map)
        return key_map

    async def _step(self, service: str) -> bool:
        """Plan, write and start the moves that a service needs.

        Returns:
          False if this host must stop acting as the controller.
        """
        key_map = self._map_by_service.get(service)
        if key_map is None:
            key_map = self._begin(service)
        self._record_addresses(service)
        if not self._inherited_maps.may_move(service):
            return True
        completed = self._pop_completed(service)
        ranges = key_ranges.mark_completed(key_map.ranges, completed)
        fence = key_map.fence
        if service in self._inherited_services:
            # This host does not know which of the holders were granted them.
            ranges, fence = key_ranges.renew_moving(ranges, fence)
        moves = self._plan(service, ranges)
        if moves:
            fence = key_ranges.next_fence(fence, ranges, moves)
            ranges = key_ranges.apply(ranges, moves, fence)
        ranges = key_ranges.merge(ranges)
        # An inherited map is written in any case: a write by an earlier
        # controller that takes effect later then finds another revision.
        if ranges != key_map.ranges or service in self._inherited_services:
            updated = key_map._replace(
                fence=fence,
                ranges=ranges,
                unsettled=self._unsettled.holds(service),
                era=self._client.era,
                term=self._lease.term,
            )
            updated = updated._replace(
                address_by_holder=self._addresses(updated)
            )
            # Renewals read this map, so those of keys that are to move stop
            # before the write.
            self._map_by_service[service] = updated
            if not await self._write(updated):
                return False
            former = key_map
            if service in self._inherited_services:
                # Other hosts have read what the store had.
                former = self._inherited_maps.find_stored(service) or key_map
            self._inherited_services.discard(service)
            if self.on_map_written is not None:
                self.on_map_written(former, self._map_by_service[service])
            if moves:
                self._log_moves(service, moves, fence)
        self._start_moves(service)
        return True

    def _pop_completed(self, service: str) -> list[model.KeyRange]:
        """Remove and return the completed moves that are due to be written.

        They are due when all moves of the service have completed, or when
        the batch window is over.
        """
        completed = self._completed_by_service.get(service, [])
        if not completed:
            return []
        moving = sum(
            key_range.moving
            for key_range in self._map_by_service[service].ranges
        )
        age_s = clock.now() - self._first_completed_at
        if len(completed) < moving and age_s < BATCH_WINDOW_S:
            return []
        return self._completed_by_service.pop(service)

    def _log_moves(
        self, service: str, moves: typing.Sequence[key_plan.Move], fence: int
    ) -> None:
        self._log.event(
            'keys_move',
            service=service,
            fence=fence,
            moves=[
                (move.first, move.last, move.owner.target_id) for move in moves
            ],
        )

    def _record_addresses(self, service: str) -> None:
        for target in self._targets.by_service.get(service, ()):
            holder = target.entry.holder
            self._address_by_holder[holder] = target.entry.address

    def _addresses(self, key_map: model.KeyMap) -> dict[str, model.Address]:
        """Return the known address of each owner and former holder."""
        holders = [hold.holder for hold in key_map.unsettled]
        for key_range in key_map.ranges:
            holders += key_range.former_holders.split()
            holders.append(key_range.holder)
        found = {}
        for holder in holders:
            if holder in self._address_by_holder:
                found[holder] = self._address_by_holder[holder]
        return found

    def _plan(
        self, service: str, ranges: tuple[model.KeyRange, ...]
    ) -> tuple[key_plan.Move, ...]:
        owners = []
        cold_load_s_by_id = {}
        unreachable = set()
        domains = self.domains_by_service.get(service)
        for target in self._targets.ready(service):
            entry = target.entry
            if domains is not None and entry.failure_domain not in domains:
                continue
            if self._refused_holders.is_refused(entry.holder):
                if self._keeps_keys(entry.holder):
                    unreachable.add(entry.holder)
                continue
            owners.append(
                key_plan.Owner(
                    entry.target_id,
                    entry.incarnation,
                    entry.slots * key_load.WINDOW_S / self._slowness(target),
                )
            )
            cold_load_s = self.cold_load_s(target)
            if cold_load_s < math.inf:
                cold_load_s_by_id[entry.target_id] = cold_load_s
        owners.sort()
        now = time.monotonic()
        if not ranges and not self._stability.is_stable(service, owners, now):
            return ()
        owners = cold_owners.limit_cold(
            owners, cold_load_s_by_id, key_load.WINDOW_S
        )
        load = self.load.window(service)
        held = self._held_keys_by_service.setdefault(
            service, held_keys.HeldKeys()
        )
        moves = key_plan.plan(
            ranges, owners, load, held.keys(now), unreachable
        )
        utilisation = key_plan.max_utilisation(ranges, owners, load)
        rebalanced_at = self._rebalanced_at_by_service.get(service, 0.0)
        if key_plan.is_rebalancing_due(now - rebalanced_at, utilisation):
            self._rebalanced_at_by_service[service] = now
            self._update_contention(service, utilisation)
            held.record(moves, now)
            return moves
        # Between rebalancing rounds only keys without a live owner move.
        live = {
            model.holder_name(owner.target_id, owner.incarnation)
            for owner in owners
        }
        return tuple(
            move
            for move in moves
            if key_ranges.is_reassignment(ranges, move, live)
        )

    def _keeps_keys(self, holder: str) -> bool:
        """Return whether an owner that is not reached keeps its keys.

        Hosts that reach it can use them until its grants expire, and it is
        not known to have ended before. They stay where they are if it is
        reached again.
        """
        if self._refused_holders.is_replaced(holder):
            return False
        return self._calls.hold_times.may_hold(holder)

    def _update_contention(self, service: str, utilisation: float) -> None:
        """Record whether an owner of a service is likely to have a queue."""
        if utilisation >= CONTENDED_UTILISATION:
            self.contended_services |= {service}
            return
        self.contended_services -= {service}

    def _slowness(self, target: target_state.Target) -> float:
        """Return the slowness of a target, rounded to quarters.

        Small differences are random and would keep changing the plan.
        """
        slowness = target.slowness
        if target.is_cold(asyncio.get_running_loop().time()):
            slowness = 1.0
        return min(3.0, max(0.5, round(slowness * 4) / 4))

    async def _write(self, key_map: model.KeyMap) -> bool:
        """Write a map; return False if this host must stop as controller."""
        written = await self._store.write(key_map)
        if written is None:
            return False
        self._map_by_service[key_map.service] = written
        self._keys.put(written)
        self._targets.notify_listeners()
        return True

    def _start_moves(self, service: str) -> None:
        wanted = set()
        for key_range in self._map_by_service[service].ranges:
            if not key_range.moving:
                continue
            move_id = (
                service,
                key_range.first,
                key_range.last,
                key_range.fence,
            )
            wanted.add(move_id)
            if move_id not in self._task_by_move:
                task = asyncio.create_task(self._move(service, key_range))
                task.add_done_callback(
                    functools.partial(self._on_move_end, move_id)
                )
                self._task_by_move[move_id] = task
        for move_id, task in list(self._task_by_move.items()):
            if move_id[0] == service and move_id not in wanted:
                task.cancel()
                del self._task_by_move[move_id]

    def _on_move_end(self, move_id: _MoveId, task: asyncio.Task[None]) -> None:
        """Log a fault of the program; the next step tries the move again."""
        if task.cancelled() or task.exception() is None:
            return
        self._log.event('move_failed', error=repr(task.exception()))
        if self._task_by_move.get(move_id) is task:
            del self._task_by_move[move_id]

    async def _move(self, service: str, key_range: model.KeyRange) -> None:
        """Reclaim a range from all targets that may hold it, then grant it.

        While the new owner cannot be granted the range, this waits. A plan
        that assigns the keys to another target cancels the task.
        """
        holder = key_range.holder
        handover, unsettled = await self._former_owners.reclaim(
            key_range.former_holders.split(), key_range
        )
        for former in unsettled:
            if model.split_holder(former)[0] == key_range.target_id:
                # The grant of the new token keeps earlier ones out.
                continue
            hold = model.UnsettledHold(
                former, key_range.first, key_range.last, key_range.fence - 1
            )
            self._unsettled.add(service, hold)
        while self._lease.is_held:
            target = self._find_grantable(holder)
            if target is None:
                await asyncio.sleep(STEP_INTERVAL_S)
                continue
            # Until now, what the holder takes by an earlier grant is released.
            self._unsettled.exclude_owned(service, key_range)
            result = await self._calls.grant(
                holder,
                target.entry.address,
                key_range,
                self._renewals.hold_s(),
                handover,
                lambda: key_ranges.find_foreign_key(
                    self._map_by_service[service].ranges, holder
                ),
            )
            if result == key_calls.GRANTED:
                completed = self._completed_by_service.setdefault(service, [])
                if not completed:
                    self._first_completed_at = clock.now()
                completed.append(key_range)
                if self.on_move_completed is not None:
                    self.on_move_completed(service, key_range)
                self._renewals.record_grant(holder)
                self._events.keys_granted(key_range)
                return
            self._log.event(
                'grant_failed', target=key_range.target_id, result=result
            )
            if result == key_calls.REJECTED:
                self._on_token_superseded(service, key_range)
            if result == key_calls.OTHER_SERVER:
                self._refused_holders.add_replaced(holder)
            if result == key_calls.REFUSED:
                self._refused_holders.add(holder)
            await asyncio.sleep(STEP_INTERVAL_S)

    def _on_token_superseded(
        self, service: str, key_range: model.KeyRange
    ) -> None:
        """Stop if a target has seen a higher token than the map has.

        Another controller has granted the keys then, and this one's lease or
        map is out of date. Nothing is granted to anybody until the store has
        confirmed the lease and the map was read again.
        """
        key_map = self._map_by_service.get(service)
        if key_map is None or key_range not in key_map.ranges:
            # The token is that of a later move by this host.
            return
        self._events.token_superseded(key_range)
        if not self._inherited_maps.may_move(service):
            # Its owner is unknown, and is asked for it later.
            self._map_by_service[service] = key_map._replace(
                ranges=key_ranges.mark_moving(key_map.ranges, key_range)
            )
            return
        now = clock.now()
        holder = key_range.holder
        doubted_at = self._doubted_at_by_service.get(service, -math.inf)
        disbelieved_at = self._disbelieved_at_by_holder.get(holder, -math.inf)
        if now - max(doubted_at, disbelieved_at) < DOUBT_INTERVAL_S:
            self._disbelieved_at_by_holder[holder] = now
            self._refused_holders.add(holder)
            return
        self._doubted_at_by_service[service] = now
        self._doubted_services.add(service)
        self._lease.invalidate()

    def _find_grantable(self, holder: str) -> target_state.Target | None:
        """Return the target that is a holder, unless a grant would fail."""
        target = self._targets.find(*model.split_holder(holder))
        if target is None or self._refused_holders.is_refused(holder):
            return None
        if self._former_owners.has_ended(holder):
            return None
        return target
