"""Splits a change of a key map over several datagrams, and joins it again."""

import typing

from amaranthcrank.router import model

# A longer change is read from the store.
MAX_PARTS = 8
# Changes of which a part may still be on its way.
MAX_OPEN = 8

Ranges = typing.Sequence[model.KeyRange]


def split(
    changed: Ranges, fits: typing.Callable[[Ranges], bool]
) -> tuple[Ranges, ...]:
    """Return parts of a change that each fit into a datagram.

    Args:
      changed: The ranges that changed.
      fits: Tells whether some ranges fit.

    Returns:
      The parts; none if the change is too long.
    """
    for count in range(1, MAX_PARTS + 1):
        parts = tuple(changed[index::count] for index in range(count))
        if all(fits(part) for part in parts):
            return parts
    return ()


class PartCollector:
    """Joins the parts of changes, which may arrive in any order."""

    def __init__(self) -> None:
        """Start without parts."""
        self._parts_by_change: dict[tuple[str, int], dict[int, Ranges]] = {}

    def add(
        self, service: str, revision: int, index: int, count: int, part: Ranges
    ) -> list[model.KeyRange] | None:
        """Take a part.

        Args:
          service: The service.
          revision: The revision that the change leads to.
          index: Which part this is, from 0.
          count: How many there are.
          part: The part.

        Returns:
          The whole change if this was the last part of it to arrive.
        """
        change = (service, revision)
        parts = self._parts_by_change.setdefault(change, {})
        parts[index] = part
        if len(parts) < count:
            if len(self._parts_by_change) > MAX_OPEN:
                oldest = next(iter(self._parts_by_change))
                del self._parts_by_change[oldest]
            return None
        del self._parts_by_change[change]
        whole: list[model.KeyRange] = []
        for one in parts.values():
            whole += one
        return whole
