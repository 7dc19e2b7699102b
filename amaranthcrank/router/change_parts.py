"""Splits a long change over several datagrams, and reassembles it."""

import typing

# A change that needs more parts is not sent; hosts read it from the store.
MAX_PARTS = 8
# How many incomplete changes are kept until their other parts arrive.
MAX_INCOMPLETE = 8

Part = typing.Sequence[typing.Any]


def split(
    changed: Part, fits: typing.Callable[[Part], bool]
) -> tuple[Part, ...]:
    """Split a change into parts that each fit into a datagram.

    Args:
      changed: The changed items, in order.
      fits: Returns whether a part fits into a datagram.

    Returns:
      The parts; none if the change is too long.
    """
    for count in range(1, MAX_PARTS + 1):
        size = max(1, -(-len(changed) // count))
        parts = tuple(
            changed[index * size : (index + 1) * size]
            for index in range(count)
        )
        if all(fits(part) for part in parts):
            return parts
    return ()


class PartAssembler:
    """Reassembles changes from parts, which may arrive in any order."""

    def __init__(self) -> None:
        """Start without parts."""
        self._parts_by_change: dict[typing.Hashable, dict[int, Part]] = {}

    def add(
        self, change: typing.Hashable, index: int, count: int, part: Part
    ) -> list[typing.Any] | None:
        """Add a part.

        Args:
          change: Identifies the change to which the part belongs.
          index: The index of the part, from 0.
          count: The number of parts of the change.
          part: The part.

        Returns:
          The items of the complete change, in order, if all its parts have
          arrived, else None.
        """
        parts = self._parts_by_change.setdefault(change, {})
        parts[index] = part
        if len(parts) < count:
            if len(self._parts_by_change) > MAX_INCOMPLETE:
                oldest = next(iter(self._parts_by_change))
                del self._parts_by_change[oldest]
            return None
        del self._parts_by_change[change]
        items: list[typing.Any] = []
        for _, each in sorted(parts.items()):
            items += each
        return items
