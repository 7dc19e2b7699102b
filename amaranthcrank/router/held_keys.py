"""Remembers busy keys that were moved a short while ago."""

import typing

from amaranthcrank.router import key_plan

# For how long a single key that was moved for its load is not moved again.
KEY_HOLD_S = 10.0


class HeldKeys:
    """Single keys that were moved for their load a short while ago.

    A key that is busier than any owner can serve would else move again and
    again, and nobody serves it during a move.
    """

    def __init__(self) -> None:
        """Start without keys."""
        self._until_by_key: dict[int, float] = {}

    def record(
        self, moves: typing.Iterable[key_plan.Move], now: float
    ) -> None:
        """Record the moves that begin now, in seconds."""
        for move in moves:
            if move.first == move.last:
                self._until_by_key[move.first] = now + KEY_HOLD_S

    def keys(self, now: float) -> frozenset[int]:
        """Return the keys that are held at a moment, in seconds."""
        for key, until in list(self._until_by_key.items()):
            if now >= until:
                del self._until_by_key[key]
        return frozenset(self._until_by_key)
