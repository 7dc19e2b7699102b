"""Waits until a former owner of keys holds them no more."""

import asyncio

from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import entry_reads
from amaranthcrank.router import event_log
from amaranthcrank.router import key_calls
from amaranthcrank.router import model

RELEASE_RETRY_S = 0.1
# A target that closed its port before its end takes no release any more.
DRAINING_RETRY_S = 0.5


class FormerOwners:
    """Takes keys back from targets, or learns that these have ended."""

    def __init__(
        self,
        calls: key_calls.KeyCalls,
        targets: directory.Directory,
        address_by_holder: dict[str, model.Address],
        is_ready: entry_reads.HolderCheck,
        log: event_log.EventLog,
    ) -> None:
        """Work on what the controller knows.

        Args:
          calls: Releases keys, and knows until when grants last.
          targets: Tells what became of a target.
          address_by_holder: Where each holder listens; the controller's.
          is_ready: Tells whether a target should be serving, by the store.
          log: Takes what decided.
        """
        self._calls = calls
        self._targets = targets
        self._address_by_holder = address_by_holder
        self._is_ready = is_ready
        self._log = log

    async def reclaim(self, former: str, key_range: model.KeyRange) -> str:
        """Wait until a former owner holds a range no more.

        Returns:
          The handover that it gave, or ''.
        """
        hold_end = self._calls.hold_end(former)
        while clock.now() < hold_end():
            restarted = self._find_restarted(former)
            if restarted is None and self.has_ended(former):
                return ''
            address = self._address_by_holder.get(former)
            if address is None:
                await asyncio.sleep(RELEASE_RETRY_S)
                continue
            # A grant that is on its way may arrive after the release. With
            # the next owner's token the release makes the target reject it.
            none_pending = self._calls.has_no_pending_grant(former)
            result, handover = await self._calls.release(
                former,
                address,
                key_range.first,
                key_range.last,
                key_range.fence,
            )
            if result == key_calls.ELSEWHERE:
                self._log.event('former_owner_replaced', former=former)
                return ''
            if result == key_calls.REFUSED:
                if await self._has_crashed(restarted or former):
                    self._log.event('former_owner_ended', former=former)
                    return ''
                await asyncio.sleep(DRAINING_RETRY_S)
                continue
            if result == key_calls.RELEASED and restarted is not None:
                # What the former life had yet to carry out ended with it.
                return handover
            if result == key_calls.RELEASED and none_pending:
                return handover
            await asyncio.sleep(RELEASE_RETRY_S)
        return ''

    async def _has_crashed(self, holder: str) -> bool:
        """Tell whether a target that refuses connections has ended.

        That it should be serving must be known of just now: one that leaves
        closes its port while it still works, and the news of its leaving may
        not have reached this host.
        """
        if not self._targets.has_crashed_if_refusing(holder):
            return False
        if self._targets.find(*model.split_holder(holder)) is None:
            return True
        return await self._is_ready(holder)

    def _find_restarted(self, holder: str) -> str | None:
        """Return the holder at the same address and id after a new start.

        A renewal that was sent before the start was known may have given it
        the keys of the former life: calls name only the id.
        """
        target_id, incarnation = model.split_holder(holder)
        target = self._targets.by_id.get(target_id)
        if target is None or target.entry.incarnation <= incarnation:
            return None
        if target.entry.address != self._address_by_holder.get(holder):
            return None
        return target.entry.holder

    def has_ended(self, holder: str) -> bool:
        """Tell whether a target has ended, by what others say since.

        Either it has started anew under its id, or a target that started
        later has its address.
        """
        target_id, incarnation = model.split_holder(holder)
        target = self._targets.by_id.get(target_id)
        if target is not None and target.entry.incarnation > incarnation:
            return True
        address = self._address_by_holder.get(holder)
        for other in self._targets.by_id.values():
            if other.entry.address != address:
                continue
            if other.entry.incarnation > incarnation:
                return True
        return False
