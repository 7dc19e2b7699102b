"""Remembers owners of keys whose address refused connections just now."""

from amaranthcrank.router import clock

# A target whose address refused connections is given no keys for so long.
REFUSAL_TTL_S = 4.0


class RefusedHolders:
    """Holders, as `id/incarnation`, at whose address nothing listened."""

    def __init__(self) -> None:
        """Start with none."""
        self._refused_at_by_holder: dict[str, float] = {}

    def add(self, holder: str) -> None:
        """Learn that a holder's address refused, or is another's now."""
        self._refused_at_by_holder[holder] = clock.now()

    def discard(self, holder: str) -> None:
        """Learn that a holder answered."""
        self._refused_at_by_holder.pop(holder, None)

    def clear(self) -> None:
        """Forget all."""
        self._refused_at_by_holder.clear()

    def is_refused(self, holder: str) -> bool:
        """Tell whether a holder's address refused just now."""
        refused_at = self._refused_at_by_holder.get(holder)
        return (
            refused_at is not None and clock.now() - refused_at < REFUSAL_TTL_S
        )
