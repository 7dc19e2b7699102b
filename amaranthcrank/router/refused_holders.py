"""Tracks holders of keys that were not reached at their address."""

from amaranthcrank.router import clock

# A target that was not reached at its address is assigned no keys for this
# time.
REFUSAL_TTL_S = 4.0


class RefusedHolders:
    """Holders, as `id/incarnation`, that were not reached at their address.

    Either they could not be reached, or another server uses the address now.
    Only the latter shows that the holder has ended.
    """

    def __init__(self) -> None:
        """Start without holders."""
        self._refused_at_by_holder: dict[str, float] = {}
        self._replaced: set[str] = set()

    def add(self, holder: str) -> None:
        """Record that a holder could not be reached at its address."""
        self._refused_at_by_holder[holder] = clock.now()

    def add_replaced(self, holder: str) -> None:
        """Record that another server uses the address of a holder."""
        self.add(holder)
        self._replaced.add(holder)

    def discard(self, holder: str) -> None:
        """Remove a holder that accepted a grant."""
        self._refused_at_by_holder.pop(holder, None)
        self._replaced.discard(holder)

    def clear(self) -> None:
        """Remove all holders."""
        self._refused_at_by_holder.clear()
        self._replaced.clear()

    def is_refused(self, holder: str) -> bool:
        """Return whether a holder was added recently."""
        refused_at = self._refused_at_by_holder.get(holder)
        return (
            refused_at is not None and clock.now() - refused_at < REFUSAL_TTL_S
        )

    def is_replaced(self, holder: str) -> bool:
        """Return whether another server was found at a holder's address."""
        return holder in self._replaced
