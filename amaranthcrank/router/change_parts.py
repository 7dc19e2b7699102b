"""Splits a long change over several datagrams, and joins it again."""

import typing

# A longer change is read from the store.
MAX_PARTS = 8
# Changes of which a part may still be on its way.
MAX_INCOMPLETE = 8

Part = typing.Sequence[typing.Any]


def split(
    changed: Part, fits: typing.Callable[[Part], bool]
) -> tuple[Part, ...]:
    """Return parts of a change that each fit into a datagram.

    Args:
      changed: What changed, in any order.
      fits: Tells whether some of it fits.

    Returns:
      The parts; none if the change is too long.
    """
    for count in range(1, MAX_PARTS + 1):
        parts = tuple(changed[index::count] for index in range(count))
        if all(fits(part) for part in parts):
            return parts
    return ()


class PartAssembler:
    """Joins the parts of changes, which may arrive in any order."""

    def __init__(self) -> None:
        """Start without parts."""
        self._parts_by_change: dict[typing.Hashable, dict[int, Part]] = {}

    def add(
        self, change: typing.Hashable, index: int, count: int, part: Part
    ) -> list[typing.Any] | None:
        """Take a part.

        Args:
          change: Names the change of which it is a part.
          index: Which part this is, from 0.
          count: How many there are.
          part: The part.

        Returns:
          The whole change if this was the last part of it to arrive.
        """
        parts = self._parts_by_change.setdefault(change, {})
        parts[index] = part
        if len(parts) < count:
            if len(self._parts_by_change) > MAX_INCOMPLETE:
                oldest = next(iter(self._parts_by_change))
                del self._parts_by_change[oldest]
            return None
        del self._parts_by_change[change]
        whole: list[typing.Any] = []
        for each in parts.values():
            whole += each
        return whole
