"""Renews the grants of all owners of keys.

A renewal sends the same grant again. It needs nothing from the store but the
lease, so renewals continue while the store is unavailable.
"""

import asyncio
import functools
import typing

from amaranthcrank.router import clock
from amaranthcrank.router import controller_lease
from amaranthcrank.router import event_log
from amaranthcrank.router import former_owners
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_ranges
from amaranthcrank.router import model
from amaranthcrank.router import refused_holders

GRANT_DURATION_S = 6.0
RENEWAL_INTERVAL_S = 2.0
CHECK_INTERVAL_S = 0.1
# Between attempts after a failed renewal.
RETRY_INTERVAL_S = 0.2
# The lease counts as unconfirmed when its last renewal is this old, which is
# after two missed renewals. Grants then get their longest duration, so that
# keys keep their owners after the lease has ended.
UNCONFIRMED_S = 1.8


class KeyRenewals:
    """Sends each owner its grants again before they expire."""

    def __init__(
        self,
        lease: controller_lease.Lease,
        calls: key_calls.KeyCalls,
        former_tracker: former_owners.FormerOwners,
        refused: refused_holders.RefusedHolders,
        address_by_holder: dict[str, model.Address],
        log: event_log.EventLog,
        grant_max_s: float,
        on_token_superseded: typing.Callable[[str, model.KeyRange], None],
    ) -> None:
        """Share the state of the controller.

        Args:
          lease: The controller's lease; grants are sent while it is held.
          calls: Sends the grants.
          former_tracker: Detects whether an owner has ended.
          refused: Updated with holders that are not reached at their address.
          address_by_holder: Where each holder listens; the controller keeps
            it up to date.
          log: Logs failures.
          grant_max_s: The longest duration of a grant that targets accept.
          on_token_superseded: Called with a service and a range of which a
            target has seen a higher token.
        """
        self._on_token_superseded = on_token_superseded
        self._lease = lease
        self._calls = calls
        self._former_owners = former_tracker
        self._refused_holders = refused
        self._address_by_holder = address_by_holder
        self._log = log
        self._grant_max_s = grant_max_s
        self._renewed_at_by_holder: dict[str, float] = {}
        self._task_by_holder: dict[str, asyncio.Task[None]] = {}

    async def run(self, map_by_service: dict[str, model.KeyMap]) -> None:
        """Renew the grants of the maps while the lease is held.

        Args:
          map_by_service: The newest key maps; the controller updates them.
        """
        while self._lease.is_held:
            for service in list(map_by_service):
                self._start_due_renewals(service, map_by_service)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def hold_s(self) -> float:
        """Return the duration of a grant that is sent now, seconds."""
        left_s = self._lease.held_until - clock.now()
        if left_s < controller_lease.LEASE_S - UNCONFIRMED_S:
            return self._grant_max_s
        return min(GRANT_DURATION_S, self._grant_max_s)

    def record_grant(self, holder: str) -> None:
        """Record that a holder was granted keys just now."""
        self._renewed_at_by_holder.setdefault(holder, clock.now())

    def renew_soon(self, target_id: str) -> None:
        """Renew the grants of a target ahead of their interval."""
        for holder in self._renewed_at_by_holder:
            if holder.startswith(target_id + '/'):
                self._renewed_at_by_holder[holder] = 0.0

    def reset(self) -> None:
        """Forget the times of all renewals, so that all grants are due."""
        self._renewed_at_by_holder.clear()

    def stop(self) -> None:
        """Cancel all renewals that are in progress."""
        for task in self._task_by_holder.values():
            task.cancel()
        self._task_by_holder.clear()

    def _start_due_renewals(
        self, service: str, map_by_service: dict[str, model.KeyMap]
    ) -> None:
        now = clock.now()
        interval_s = RENEWAL_INTERVAL_S
        if self.hold_s() > GRANT_DURATION_S:
            interval_s = RENEWAL_INTERVAL_S / 2
        for holder, ranges in _owned_ranges_by_holder(
            map_by_service[service]
        ).items():
            task = self._task_by_holder.get(holder)
            if task is not None and not task.done():
                continue
            if now - self._renewed_at_by_holder.get(holder, 0.0) < interval_s:
                continue
            self._renewed_at_by_holder[holder] = now
            if self._former_owners.has_ended(holder):
                # Another server may listen at its address now and must not be
                # granted its keys with its fencing token. As a replaced
                # holder it loses its keys in the next plan.
                self._refused_holders.add_replaced(holder)
                continue
            self._task_by_holder[holder] = asyncio.create_task(
                self._renew_all(service, map_by_service, holder, ranges)
            )

    async def _renew_all(
        self,
        service: str,
        map_by_service: dict[str, model.KeyMap],
        holder: str,
        ranges: list[model.KeyRange],
    ) -> None:
        """Renew the ranges of a holder, one after the other."""
        address = self._address_by_holder.get(holder)
        if address is None:
            return
        for key_range in ranges:
            if key_range not in map_by_service[service].ranges:
                continue
            if not self._lease.is_held:
                return
            result = await self._calls.grant(
                holder,
                address,
                key_range,
                self.hold_s(),
                '',
                functools.partial(
                    _find_foreign_key, map_by_service, service, holder
                ),
            )
            if result == key_calls.GRANTED:
                self._refused_holders.discard(holder)
                continue
            self._log.event(
                'renewal_failed', target=key_range.target_id, result=result
            )
            if result == key_calls.REJECTED:
                self._on_token_superseded(service, key_range)
            self._record_failure(holder, result)
            return

    def _record_failure(self, holder: str, result: str) -> None:
        """Schedule the next attempt; give up a holder that has lost its keys.

        A holder that refuses connections may still be at work, so it keeps
        its keys until they expire, and its renewal is tried again meanwhile.
        """
        self._renewed_at_by_holder[holder] = (
            clock.now() - RENEWAL_INTERVAL_S + RETRY_INTERVAL_S
        )
        if result == key_calls.OTHER_SERVER:
            self._refused_holders.add_replaced(holder)
            return
        if result == key_calls.REFUSED or not self._calls.hold_times.may_hold(
            holder
        ):
            self._refused_holders.add(holder)


def _find_foreign_key(
    map_by_service: dict[str, model.KeyMap], service: str, holder: str
) -> int | None:
    return key_ranges.find_foreign_key(map_by_service[service].ranges, holder)


def _owned_ranges_by_holder(
    key_map: model.KeyMap,
) -> dict[str, list[model.KeyRange]]:
    """Return by holder the ranges of a map that are not moving."""
    owned: dict[str, list[model.KeyRange]] = {}
    for key_range in key_map.ranges:
        if key_range.moving:
            continue
        owned.setdefault(key_range.holder, []).append(key_range)
    return owned
