"""Checks that a connection does not lead to a later incarnation of a target.

A target that has restarted listens at the same address, and must not be
granted the keys of its former incarnation with the same fencing token.
"""

from amaranthcrank.router import clock
from amaranthcrank.router import entry_reads


class RestartedError(Exception):
    """The target has restarted since the incarnation that a grant names."""


class UnconfirmedError(Exception):
    """It is not known whether the target may be sent a grant."""


class IncarnationChecks:
    """What is known of targets, as `id/incarnation`, that were not reached."""

    def __init__(
        self, has_restarted: entry_reads.RestartCheck, registration_s: float
    ) -> None:
        """Start without such targets.

        Args:
          has_restarted: Reads whether a later incarnation is registered.
          registration_s: How long a target may listen before it is
            registered in the store, seconds.
        """
        self._has_restarted = has_restarted
        self._registration_s = registration_s
        # Holders that could not be reached, and since when they are again.
        self._reached_at_by_lost_holder: dict[str, float | None] = {}
        # Holders whose later incarnation is known.
        self._restarted: set[str] = set()

    def record_lost(self, holder: str) -> None:
        """Record that a holder could not be reached."""
        self._reached_at_by_lost_holder[holder] = None

    def forget_lost(self) -> None:
        """Forget which holders could not be reached."""
        self._reached_at_by_lost_holder.clear()

    async def check(self, holder: str) -> None:
        """Check that a new connection does not lead to a later incarnation.

        A target listens before its entry is written. If it could not be
        reached before, it may be one that has just restarted, so its entry
        is read only once it must have been written.

        Raises:
          RestartedError: The target has restarted.
          UnconfirmedError: It may have, as far as is known. An owner that
            was reached all the time is not suspected, so that owners keep
            their keys while the store is unavailable.
        """
        if holder in self._restarted:
            # A later read of the entry may fail.
            raise RestartedError
        is_lost = holder in self._reached_at_by_lost_holder
        if is_lost:
            now = clock.now()
            reached_at = self._reached_at_by_lost_holder[holder]
            if reached_at is None:
                reached_at = self._reached_at_by_lost_holder[holder] = now
            if now - reached_at < self._registration_s:
                raise UnconfirmedError
        has_restarted = await self._has_restarted(holder)
        if has_restarted:
            self._restarted.add(holder)
            raise RestartedError
        if is_lost and has_restarted is None:
            raise UnconfirmedError
        self._reached_at_by_lost_holder.pop(holder, None)
