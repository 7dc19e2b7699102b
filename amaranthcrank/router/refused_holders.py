"""Tracks holders of keys that were not reached at their address."""

from amaranthcrank.router import clock

# A target that was not reached at its address is assigned no keys for this
# time.
REFUSAL_TTL_S = 4.0


class RefusedHolders:
    """Holders, as `id/incarnation`, that were not reached at their address.

    Either the address refused a connection, or another server uses it now.
    """

    def __init__(self) -> None:
        """Start without holders."""
        self._refused_at_by_holder: dict[str, float] = {}

    def add(self, holder: str) -> None:
        """Record that a holder was not reached at its address."""
        self._refused_at_by_holder[holder] = clock.now()

    def discard(self, holder: str) -> None:
        """Remove a holder that accepted a grant."""
        self._refused_at_by_holder.pop(holder, None)

    def clear(self) -> None:
        """Remove all holders."""
        self._refused_at_by_holder.clear()

    def is_refused(self, holder: str) -> bool:
        """Return whether a holder was added recently."""
        refused_at = self._refused_at_by_holder.get(holder)
        return (
            refused_at is not None and clock.now() - refused_at < REFUSAL_TTL_S
        )
