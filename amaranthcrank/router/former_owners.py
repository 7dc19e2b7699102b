"""Reclaims keys from their former owners before they are granted anew."""

import asyncio
import typing

from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import hold_times
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_ranges
from amaranthcrank.router import model
from amaranthcrank.router import ownership_events

RELEASE_RETRY_S = 0.1
# The retry interval for a target that refuses connections: it has ended, is
# cut off, or has closed its port while it finishes its requests.
REFUSED_RETRY_S = 0.3


class _End(typing.NamedTuple):
    """How a target came to hold a range no longer.

    Attributes:
      evidence: What showed it, as in `ownership_events`.
      handover: Its handover, or '' if there is none.
      may_take_late_grant: Whether an earlier grant may still take effect.
    """

    evidence: str
    handover: str = ''
    may_take_late_grant: bool = False


class Reclaimed(typing.NamedTuple):
    """What is known after a range was reclaimed.

    Attributes:
      handover: The handover of the first holder that gave one, or ''.
      unsettled: The holders that may take the range again, as earlier grants
        may still take effect there.
    """

    handover: str
    unsettled: tuple[str, ...]


_REPLACED = _End(ownership_events.REPLACED)
_EXPIRED = _End(ownership_events.EXPIRED)


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
        self, holders: typing.Sequence[str], key_range: model.KeyRange
    ) -> Reclaimed:
        """Wait until none of the possible holders holds a range.

        First all of them release it: to be fenced off gives a target the range
        for an instant, in which no other one may work on it.

        Args:
          holders: The targets that may hold the range, as `id/incarnation`.
          key_range: The keys, with the fencing token of their next owner. The
            tokens to fence off each holder are left below it.
        """
        may_be_late = [
            self._calls.hold_times.may_take_effect_late(holder)
            for holder in holders
        ]
        hold_ends = [
            self._calls.hold_times.hold_end(holder) for holder in holders
        ]
        had_unanswered = [
            not self._calls.hold_times.has_no_pending_grant(holder)
            for holder in holders
        ]
        # Two holders may be lives of one target, which would reject a token
        # below that of an earlier release.
        fences_per_holder = key_ranges.FENCES_PER_HOLDER
        lowest_fence = key_range.fence - len(holders) * fences_per_holder
        released = key_range._replace(fence=lowest_fence)
        ends = await asyncio.gather(
            *(
                self._await_release(holder, released, hold_end)
                for holder, hold_end in zip(holders, hold_ends, strict=True)
            )
        )
        for index, holder in enumerate(holders):
            fenced = key_range._replace(
                fence=lowest_fence + index * fences_per_holder
            )
            if ends[index].may_take_late_grant:
                ends[index] = await self._fence_off(
                    holder, fenced, hold_ends[index], ends[index]
                )
            self._events.keys_reclaimed(
                holder,
                fenced,
                ends[index].evidence,
                self._calls.hold_times.has_unknown_grants,
                had_unanswered[index],
            )
        handovers = [end.handover for end in ends if end.handover]
        unsettled = [
            holder
            for holder, end, is_late in zip(
                holders, ends, may_be_late, strict=True
            )
            if is_late and end.evidence == ownership_events.EXPIRED
        ]
        return Reclaimed(handovers[0] if handovers else '', tuple(unsettled))

    async def _await_release(
        self,
        holder: str,
        key_range: model.KeyRange,
        hold_end: typing.Callable[[], float],
    ) -> _End:
        """Wait until a target has released a range, or cannot hold it."""
        may_take_late_grant = self._calls.hold_times.may_take_effect_late
        while clock.now() < hold_end():
            is_suspect = may_take_late_grant(holder)
            result, handover = await self._release(holder, key_range)
            if result == key_calls.RELEASED:
                if is_suspect and not may_take_late_grant(holder):
                    # A grant that has been answered since may have arrived
                    # after the release.
                    continue
                evidence = ownership_events.RELEASED
                if self._find_restarted(holder) is not None:
                    evidence = ownership_events.RESTARTED
                return _End(evidence, handover, is_suspect)
            if result == key_calls.OTHER_SERVER:
                return _REPLACED
            await asyncio.sleep(_retry_s(result))
        return _EXPIRED

    async def _fence_off(
        self,
        holder: str,
        key_range: model.KeyRange,
        hold_end: typing.Callable[[], float],
        released: _End,
    ) -> _End:
        """Let a target reject the grants that may still take effect at it.

        A release alone does not: the platform promises that a target rejects
        grants below the tokens that it has seen, and does not say whether that
        of a release is one of them. What took effect between the release and
        the token is released as well.

        An attempt without a response may arrive at any time. The next one has
        a higher token, so that its response keeps the earlier ones out too.

        Args:
          holder: The target, as `id/incarnation`.
          key_range: The keys, with the first of the tokens for this holder.
          hold_end: Returns when its earlier grants have expired.
          released: How it came to release the range.
        """
        end = _EXPIRED
        in_transit_until = 0.0
        is_logged = False
        last_fence = key_range.fence + key_ranges.FENCES_PER_HOLDER - 1
        # One that is sent later could be in transit at the end of the hold.
        while clock.now() < hold_end() - hold_times.TRANSIT_S:
            if key_range.fence > last_fence:
                in_transit_until = max(in_transit_until, hold_end())
                break
            result = key_calls.UNANSWERED
            arrives_until = 0.0
            handover = ''
            address = self.find_address(holder)
            if address is not None:
                result, arrives_until = await self._calls.fence_off(
                    holder, address, key_range
                )
                in_transit_until = max(in_transit_until, arrives_until)
            if result != key_calls.GRANTED and not is_logged:
                is_logged = True
                self._events.not_fenced_off(holder, key_range, result)
            if result == key_calls.GRANTED:
                in_transit_until = 0.0
                result, handover = await self._release(holder, key_range)
            if result == key_calls.RELEASED:
                end = released._replace(
                    handover=handover or released.handover,
                    may_take_late_grant=False,
                )
                break
            if result == key_calls.OTHER_SERVER:
                end = _REPLACED
                break
            if arrives_until or result == key_calls.REJECTED:
                key_range = key_range._replace(fence=key_range.fence + 1)
            await asyncio.sleep(_retry_s(result))
        else:
            in_transit_until = max(in_transit_until, hold_end())
        # One without a response, and none after it, may still arrive.
        await asyncio.sleep(max(0.0, in_transit_until - clock.now()))
        return end

    async def _release(
        self, holder: str, key_range: model.KeyRange
    ) -> tuple[str, str]:
        """Ask a target, or its next life, to release a range once."""
        address = self.find_address(holder)
        if address is None:
            return key_calls.UNANSWERED, ''
        return await self._calls.release(
            holder, address, key_range.first, key_range.last, key_range.fence
        )

    def find_address(self, holder: str) -> model.Address | None:
        """Return where a holder, or its next life, listens, or None."""
        restarted = self._find_restarted(holder)
        if restarted is not None:
            return restarted.address
        return self._address_by_holder.get(holder)

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


def _retry_s(result: str) -> float:
    """Return how long to wait after a call that did not succeed, seconds."""
    if result == key_calls.REFUSED:
        return REFUSED_RETRY_S
    return RELEASE_RETRY_S
