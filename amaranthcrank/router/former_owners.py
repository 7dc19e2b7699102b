"""Reclaims keys from their former owners before they are granted anew."""

import asyncio
import typing

from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import key_calls
from amaranthcrank.router import model
from amaranthcrank.router import ownership_events

RELEASE_RETRY_S = 0.1
# The retry interval for a target that refuses connections: it has ended, is
# cut off, or has closed its port while it finishes its requests.
REFUSED_RETRY_S = 0.3


class FormerOwners:
    """Reclaims keys from targets, or detects that the targets have ended.

    A refused connection proves nothing: a target that is cut off refuses, and
    a draining one closes its port while it still runs requests. Entries prove
    nothing either; what listens at the address says itself who it is.
    """

    def __init__(
        self,
        calls: key_calls.KeyCalls,
        targets: directory.Directory,
        address_by_holder: dict[str, model.Address],
        events: ownership_events.OwnershipEvents,
    ) -> None:
        """Share the state of the controller.

        Args:
          calls: Releases keys, and knows when grants expire.
          targets: The known targets and their states.
          address_by_holder: Where each holder listens; the controller keeps
            it up to date.
          events: Records what showed that keys were no longer held.
        """
        self._calls = calls
        self._targets = targets
        self._address_by_holder = address_by_holder
        self._events = events

    async def reclaim(
        self,
        former: str,
        key_range: model.KeyRange,
        hold_end: typing.Callable[[], float],
    ) -> str:
        """Wait until a former owner no longer holds a range.

        Args:
          former: The former owner, as `id/incarnation`.
          key_range: The keys, with a fencing token above all that were granted
            before and below that of the next owner.
          hold_end: Returns when all grants to the former owner have expired.

        Returns:
          The handover of the former owner, or '' if there is none.
        """
        evidence, handover = await self._await_end(former, key_range, hold_end)
        self._events.keys_reclaimed(
            former, key_range, evidence, self._calls.has_unknown_grants
        )
        return handover

    async def _await_end(
        self,
        former: str,
        key_range: model.KeyRange,
        hold_end: typing.Callable[[], float],
    ) -> tuple[str, str]:
        """Return what showed the end of a hold, and the handover."""
        is_fenced_off = False
        while clock.now() < hold_end():
            restarted = self._find_restarted(former)
            address = self._address_by_holder.get(former)
            if restarted is not None:
                address = restarted.address
            if address is None:
                await asyncio.sleep(RELEASE_RETRY_S)
                continue
            may_hold_again = (
                not is_fenced_off and self._calls.may_take_effect_late(former)
            )
            result, handover = await self._calls.release(
                former,
                address,
                key_range.first,
                key_range.last,
                key_range.fence,
            )
            if result == key_calls.RELEASED and may_hold_again:
                is_fenced_off = await self._fence_off(
                    former, address, key_range
                )
                if is_fenced_off:
                    # A grant may have taken effect since the release.
                    continue
            elif result == key_calls.RELEASED:
                if restarted is not None:
                    return ownership_events.RESTARTED, handover
                return ownership_events.RELEASED, handover
            if result == key_calls.OTHER_SERVER:
                return ownership_events.REPLACED, ''
            if result == key_calls.REFUSED:
                await asyncio.sleep(REFUSED_RETRY_S)
                continue
            await asyncio.sleep(RELEASE_RETRY_S)
        return ownership_events.EXPIRED, ''

    async def _fence_off(
        self, former: str, address: model.Address, key_range: model.KeyRange
    ) -> bool:
        """Let a former owner reject grants that take effect from now on.

        A release alone does not: the platform promises that a target rejects
        grants below the tokens that it has seen, and does not say whether that
        of a release is one of them.

        Returns:
          Whether no earlier grant can take effect any more.
        """
        result = await self._calls.fence_off(former, address, key_range)
        if result != key_calls.GRANTED:
            self._events.not_fenced_off(former, key_range, result)
        return result == key_calls.GRANTED

    def _find_restarted(self, holder: str) -> model.TargetEntry | None:
        """Return the entry of the target's later incarnation, or None.

        Calls name only the target's id, so a renewal that was sent before the
        restart was known may have granted the new incarnation the keys of the
        former one.
        """
        target_id, incarnation = model.split_holder(holder)
        target = self._targets.by_id.get(target_id)
        if target is None or target.entry.incarnation <= incarnation:
            return None
        if not self._targets.names_target(target.entry):
            return None
        return target.entry

    def has_ended(self, holder: str) -> bool:
        """Return whether newer entries say that a holder has ended.

        Either the target has restarted under its id, or a target that started
        later has its address. That is reason to send it no grant, but no
        proof: the times of start are those of several clocks.
        """
        target_id, incarnation = model.split_holder(holder)
        address = self._address_by_holder.get(holder)
        for target in self._targets.by_id.values():
            entry = target.entry
            if entry.target_id != target_id and entry.address != address:
                continue
            if entry.incarnation <= incarnation:
                continue
            if self._targets.names_target(entry):
                return True
        return False
