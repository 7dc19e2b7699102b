"""The targets that may serve a request, and their distance from this host."""

import typing

import xxhash

from amaranthcrank.router import demand as demands
from amaranthcrank.router import directory
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_state

# In the failure domain of the host, in its region, and elsewhere.
DISTANCES = 3

# Targets of equal distance, from the nearest to the farthest.
ByDistance = tuple[list[target_state.Target], ...]


class AllowedTargets:
    """Keeps what is derived from the directory until it changes."""

    def __init__(
        self,
        targets: directory.Directory,
        locality: target_choice.Locality,
        seed: int,
    ) -> None:
        """Follow the changes of the directory.

        Args:
          targets: The known targets.
          locality: This host's failure domain and region.
          seed: Orders targets of equal distance, differently at each host.
        """
        self._targets = targets
        self._locality = locality
        self._seed = seed
        self._ready: dict[
            tuple[str, demands.Regions], list[target_state.Target]
        ] = {}
        self._by_distance: dict[tuple[str, demands.Regions], ByDistance] = {}
        targets.listeners.append(self._forget)

    def _forget(self) -> None:
        self._ready.clear()
        self._by_distance.clear()

    def distance(self, target: target_state.Target) -> int:
        """Return the distance of a target, from 0 to below DISTANCES."""
        return target_choice.distance(
            self._locality, target.entry.failure_domain
        )

    def is_allowed(
        self, target: target_state.Target, demand: demands.Demand
    ) -> bool:
        """Return whether a target may serve a request at all."""
        entry = target.entry
        if entry.target_id in demand.excluded:
            return False
        if demand.regions is None:
            return True
        region = self._locality.region_by_domain.get(entry.failure_domain)
        return region in demand.regions

    def ready(self, demand: demands.Demand) -> list[target_state.Target]:
        """Return the ready targets that may serve a request without key."""
        key = (demand.service, demand.regions)
        found = self._ready.get(key)
        if found is None:
            any_target = demand._replace(excluded=frozenset())
            found = [
                target
                for target in self._targets.ready(demand.service)
                if self.is_allowed(target, any_target)
            ]
            self._ready[key] = found
        if not demand.excluded:
            return found
        return [
            target
            for target in found
            if target.entry.target_id not in demand.excluded
        ]

    def by_distance(
        self, demand: demands.Demand, left_out: typing.Collection[str]
    ) -> ByDistance:
        """Return the ready targets of a request by their distance.

        Args:
          demand: What the request asks for; `excluded` is not regarded.
          left_out: The ids of targets that are not returned.
        """
        by_distance = self._all_by_distance(demand)
        if not left_out:
            return by_distance
        return tuple(
            [
                target
                for target in targets
                if target.entry.target_id not in left_out
            ]
            for targets in by_distance
        )

    def _all_by_distance(self, demand: demands.Demand) -> ByDistance:
        key = (demand.service, demand.regions)
        found = self._by_distance.get(key)
        if found is None:
            found = tuple([] for _ in range(DISTANCES))
            for target in self.ready(demand._replace(excluded=frozenset())):
                found[self.distance(target)].append(target)
            for targets in found:
                targets.sort(key=self._rank)
            self._by_distance[key] = found
        return found

    def _rank(self, target: target_state.Target) -> int:
        """Return a number that orders targets differently at each host."""
        return xxhash.xxh3_64_intdigest(
            target.entry.target_id.encode(), self._seed
        )
