"""Finds the owner of a key in the newest known key maps."""

import bisect
import collections
import typing

from amaranthcrank.platform import store_position
from amaranthcrank.router import key_ranges
from amaranthcrank.router import model

# How many completed moves are remembered until a map from the store shows
# their completion.
MAX_COMPLETED_MOVES = 200


class KeyTable:
    """The newest known key map of each service.

    Attributes:
      map_by_service: The key maps.
    """

    def __init__(self) -> None:
        """Start without key maps."""
        self.map_by_service: dict[str, model.KeyMap] = {}
        self._firsts_by_service: dict[str, list[int]] = {}
        self._announced_by_service: dict[str, int] = {}
        # Of maps from an older copy of the store that were not used.
        self._unused_revision_by_service: dict[str, int] = {}
        self._completed_moves: collections.deque[tuple[str, int, int, int]] = (
            collections.deque(maxlen=MAX_COMPLETED_MOVES)
        )

    def put(self, key_map: model.KeyMap) -> bool:
        """Store a map unless the known one is at least as new.

        What the store has back from an older copy is older, though its
        position is new.

        Returns:
          Whether the map was stored.
        """
        known = self.map_by_service.get(key_map.service)
        if known is not None and known.revision >= key_map.revision:
            return False
        is_restored = key_map.era < store_position.era_of(key_map.revision)
        if known is not None and is_restored and known.fence > key_map.fence:
            self._unused_revision_by_service[key_map.service] = (
                key_map.revision
            )
            return False
        self._set(key_map)
        return True

    def revision(self, service: str) -> int:
        """Return the highest revision seen of a service's map, or 0."""
        unused = self._unused_revision_by_service.get(service, 0)
        key_map = self.map_by_service.get(service)
        return unused if key_map is None else max(unused, key_map.revision)

    def revisions_to_announce(self) -> dict[str, int]:
        """Return the revision of each map, as the controller announces it.

        A map from an older copy of the store is announced without the era in
        which it was read, so that nobody takes it for one that was written in
        that era.
        """
        revision_by_service = {}
        for service, key_map in self.map_by_service.items():
            revision = key_map.revision
            if key_map.era != store_position.era_of(revision):
                revision = store_position.revision_of(revision)
            revision_by_service[service] = revision
        return revision_by_service

    def record_announced(self, revision_by_service: dict[str, int]) -> None:
        """Record the revisions of the maps that the controller has."""
        for service, revision in revision_by_service.items():
            known = self._announced_by_service.get(service, 0)
            self._announced_by_service[service] = max(known, revision)

    def is_newest(self, service: str) -> bool:
        """Return whether no later map of a service was announced."""
        announced = self._announced_by_service.get(service, 0)
        known = self.map_by_service.get(service)
        return known is not None and 0 < announced <= known.revision

    def apply_diff(
        self,
        service: str,
        from_revision: int,
        revision: int,
        changed: typing.Sequence[model.KeyRange],
    ) -> bool:
        """Apply the difference between two revisions of a map.

        Args:
          service: The service.
          from_revision: The revision that the difference applies to.
          revision: The revision that results.
          changed: All ranges of the new map that are not in the former one.

        Returns:
          Whether the difference was applied; False if this host has another
          revision of the map than `from_revision`.
        """
        key_map = self.map_by_service.get(service)
        if key_map is None or key_map.revision != from_revision:
            return False
        ranges = list(changed)
        for key_range in key_map.ranges:
            ranges += key_ranges.subtract(key_range, changed)
        ranges.sort()
        fences = [part.fence for part in ranges]
        self._set(
            key_map._replace(
                ranges=tuple(ranges),
                revision=revision,
                era=store_position.era_of(revision),
                fence=max([key_map.fence, *fences]),
            )
        )
        return True

    def _set(self, key_map: model.KeyMap) -> None:
        ranges = tuple(
            self._with_known_completion(key_map.service, part)
            for part in key_map.ranges
        )
        self.map_by_service[key_map.service] = key_map._replace(ranges=ranges)
        firsts = [key_range.first for key_range in ranges]
        self._firsts_by_service[key_map.service] = firsts

    def mark_move_completed(
        self, service: str, first: int, last: int, fence: int
    ) -> None:
        """Mark a move as completed before the store's map shows it.

        A wrong mark is harmless: a target rejects requests for a key that it
        does not hold.
        """
        self._completed_moves.append((service, first, last, fence))
        key_map = self.map_by_service.get(service)
        if key_map is None:
            return
        ranges = tuple(
            self._with_known_completion(service, part)
            for part in key_map.ranges
        )
        self.map_by_service[service] = key_map._replace(ranges=ranges)

    def _with_known_completion(
        self, service: str, part: model.KeyRange
    ) -> model.KeyRange:
        if not part.moving:
            return part
        if (
            service,
            part.first,
            part.last,
            part.fence,
        ) in self._completed_moves:
            return part._replace(moving=False)
        return part

    def find(self, service: str, key: int) -> model.KeyRange | None:
        """Return the range of a key, or None if the key has no owner yet."""
        key_map = self.map_by_service.get(service)
        if key_map is None:
            return None
        firsts = self._firsts_by_service[service]
        index = bisect.bisect_right(firsts, key) - 1
        if index < 0:
            return None
        key_range = key_map.ranges[index]
        if key > key_range.last:
            return None
        return key_range
