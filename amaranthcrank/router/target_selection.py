"""Selects the target of a request from the targets that may serve it."""

import math
import typing

from amaranthcrank.router import allowed_targets
from amaranthcrank.router import cold_quota
from amaranthcrank.router import demand as demands
from amaranthcrank.router import directory
from amaranthcrank.router import key_table
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_state

# A draining owner is still sent requests for this fraction of the drain time,
# because its keys have not moved yet. The rest allows for the delay until the
# drain is known to the host and for the transit time of the request.
DRAINING_SEND_SHARE = 0.25
# A keyed owner in an evacuated failure domain is still sent requests for this
# fraction of the time within which the evacuation takes effect.
EVACUATED_SEND_SHARE = 0.25
# Number of hosts assumed to share a target of another failure domain, to which
# all hosts may send.
HOSTS_PER_REMOTE_TARGET = 64
# The same where targets report their load: each host then prefers a few of the
# remote targets.
HOSTS_PER_PREFERRED_TARGET = 3
# Fraction of its response-time goal that a request waits for nearer capacity
# before it may use a target of its own failure domain (no wait), of another
# one in the region, and of another region.
SPILLOVER_SHARE_BY_DISTANCE = (0.0, 0.15, 0.6)
# How long the list of cold targets is used while the directory does not
# change. Only the end of a cold time and a refused connection change it then.
COLD_REFRESH_S = 0.01


class SelectionPass(typing.NamedTuple):
    """Values that stay the same during one assignment pass over a queue.

    Attributes:
      service_s: The typical service time of the service.
      now: The event loop's time.
      waiting_by_owner: Number of requests that wait at this host, by the id
        of the owner of their key.
      contended_regions: The regions to which waiting requests without key are
        limited.
    """

    service_s: float
    now: float
    waiting_by_owner: dict[str, int]
    contended_regions: frozenset[str] = frozenset()


class TargetSelection:
    """Knows which targets may serve a request, and chooses one.

    Attributes:
      domain_hosts: Number of hosts that share the targets of this failure
        domain.
      cold_quota: Limits the requests to cold targets; None: they are not
        limited.
    """

    def __init__(
        self,
        targets: directory.Directory,
        keys: key_table.KeyTable,
        locality: target_choice.Locality,
        random: typing.Callable[[], float],
    ) -> None:
        """Use the known targets.

        Args:
          targets: The known targets.
          keys: The owners of keys.
          locality: This host's failure domain and region.
          random: Returns floats from 0 to below 1.
        """
        self.domain_hosts = 2
        self.cold_quota: cold_quota.ColdQuota | None = None
        self._targets = targets
        self._keys = keys
        self._locality = locality
        self._random = random
        self._allowed = allowed_targets.AllowedTargets(
            targets, locality, int(random() * 2**32)
        )
        self._cold: dict[str, tuple[float, list[target_state.Target]]] = {}
        targets.listeners.append(self._cold.clear)

    def owner(self, service: str, key: int) -> target_state.Target | None:
        """Return the target that holds a key, or None while there is none."""
        key_range = self._keys.find(service, key)
        if key_range is None or key_range.moving:
            return None
        return self._targets.find(key_range.target_id, key_range.incarnation)

    def is_servable(self, demand: demands.Demand, now: float) -> bool:
        """Return whether regions and evacuations leave a request a target.

        Requests that they do not concern wait for a target instead.
        """
        if demand.regions is None:
            if not self._targets.is_evacuated(demand.service):
                return True
        elif not demand.regions:
            return False
        if demand.key is not None:
            owner = self.owner(demand.service, demand.key)
            if owner is not None and not self._allowed.is_allowed(
                owner, demand
            ):
                return False
            if owner is not None and self._accepts_keyed(owner, now):
                return True
        return any(
            not target.is_silent(now) for target in self._allowed.ready(demand)
        )

    def concurrency(self, demand: demands.Demand, now: float) -> int:
        """Return how many requests this host may have in flight at once."""
        concurrency = 0
        quota = self._quota(demand.service)
        for target in self._allowed.ready(demand):
            if target.is_paused(now):
                continue
            if quota is not None and quota.is_limited(target, now):
                continue
            if self._allowed.distance(target) == 0:
                concurrency += target_choice.per_host_limit(
                    target.entry.slots, self.domain_hosts
                )
                continue
            concurrency += 1
        return concurrency

    def cold_wait_s(
        self, demand: demands.Demand, ahead: int, now: float
    ) -> float:
        """Return the wait of a request if only cold targets may serve it.

        Args:
          demand: What the request asks for.
          ahead: Number of requests of this host that are sent before it.
          now: The event loop's time.

        Returns:
          The time until the first of these targets may get the request, or
          is warm; 0 if another target may serve it.
        """
        quota = self._quota(demand.service)
        if quota is None or not quota.cold_targets:
            return 0.0
        if demand.key is not None:
            owner = self.owner(demand.service, demand.key)
            if owner is None:
                return 0.0
            return quota.wait_s(owner, True, ahead, now)
        cold_targets = self._cold_targets(demand.service, now)
        if not cold_targets:
            return 0.0
        wait_s = math.inf
        for target in self._allowed.ready(demand):
            if target not in cold_targets:
                return 0.0
            wait_s = min(wait_s, quota.wait_s(target, False, ahead, now))
        return 0.0 if wait_s == math.inf else wait_s

    def held_off_until(self, demand: demands.Demand) -> float:
        """Return until when no allowed target wants requests."""
        if not self._targets.any_held_off:
            return 0.0
        if demand.key is not None:
            target = self.owner(demand.service, demand.key)
            return 0.0 if target is None else target.held_off_until
        return min(
            (target.held_off_until for target in self._allowed.ready(demand)),
            default=0.0,
        )

    def choose(
        self,
        selection_pass: SelectionPass,
        demand: demands.Demand,
        queued_at: float,
    ) -> target_state.Target | None:
        """Return a target with capacity for a request, or None.

        Args:
          selection_pass: The values of the assignment pass.
          demand: What the request asks for.
          queued_at: When it was queued, in event loop time.
        """
        if demand.key is not None:
            return self._owner_with_capacity(
                selection_pass, demand, demand.key
            )
        quota = self._quota(demand.service)
        chosen = self._choose_unkeyed(selection_pass, demand, queued_at)
        if chosen is not None and quota is not None:
            quota.record_send(chosen, selection_pass.now)
        return chosen

    def _choose_unkeyed(
        self,
        selection_pass: SelectionPass,
        demand: demands.Demand,
        queued_at: float,
    ) -> target_state.Target | None:
        now = selection_pass.now
        by_distance = self._usable_by_distance(demand, now)
        contended = selection_pass.contended_regions
        if contended and demand.regions is None:
            chosen = self._choose_outside(
                by_distance, contended, selection_pass
            )
            if chosen is not None:
                return chosen
        waited_s = now - queued_at
        goal_s = demand.priority.goal_at - queued_at
        for distance, share in enumerate(SPILLOVER_SHARE_BY_DISTANCE):
            if (
                distance
                and waited_s < share * goal_s
                and _has_active_target(by_distance[:distance], now)
            ):
                return None
            chosen = self._choose_at_distance(
                by_distance[distance], distance, selection_pass
            )
            if chosen is not None:
                return chosen
        return None

    def _choose_outside(
        self,
        by_distance: allowed_targets.ByDistance,
        contended: frozenset[str],
        selection_pass: SelectionPass,
    ) -> target_state.Target | None:
        """Return a target outside of regions that other requests wait for.

        Requests that are limited to these regions can be served nowhere else.
        """
        region_by_domain = self._locality.region_by_domain
        for distance, targets in enumerate(by_distance):
            outside = [
                target
                for target in targets
                if region_by_domain.get(target.entry.failure_domain)
                not in contended
            ]
            chosen = self._choose_at_distance(
                outside, distance, selection_pass
            )
            if chosen is not None:
                return chosen
        return None

    def _choose_at_distance(
        self,
        targets: list[target_state.Target],
        distance: int,
        selection_pass: SelectionPass,
    ) -> target_state.Target | None:
        """Return a target with capacity among those at a distance, or None."""
        hosts = self.domain_hosts if distance == 0 else HOSTS_PER_REMOTE_TARGET
        considered: typing.Iterable[target_state.Target] = targets
        compared = None
        if self._reports_load(targets):
            compared = target_choice.COMPARED_TARGETS
            if distance:
                # A host that prefers a few targets has recent reports of
                # their load, and reuses its connections.
                hosts = HOSTS_PER_PREFERRED_TARGET
            else:
                considered = target_choice.in_random_order(
                    targets, self._random
                )
        return target_choice.choose(
            considered,
            selection_pass.service_s,
            selection_pass.now,
            hosts,
            self._random,
            compared,
        )

    def _reports_load(self, targets: list[target_state.Target]) -> bool:
        """Return whether targets of one service report their load."""
        if not targets:
            return False
        return targets[0].entry.service in self._targets.reporting_services

    def _quota(self, service: str) -> cold_quota.ColdQuota | None:
        """Return the quota if the cold targets of a service are limited."""
        quota = self.cold_quota
        if quota is None or service not in quota.limits_by_service:
            return None
        return quota

    def _cold_targets(
        self, service: str, now: float
    ) -> list[target_state.Target]:
        """Return the ready targets to which requests are limited now."""
        quota = self._quota(service)
        if quota is None:
            return []
        known = self._cold.get(service)
        if known is not None and now - known[0] < COLD_REFRESH_S:
            return known[1]
        found = [
            target
            for target in self._targets.ready(service)
            if quota.is_limited(target, now)
        ]
        self._cold[service] = (now, found)
        return found

    def _usable_by_distance(
        self, demand: demands.Demand, now: float
    ) -> allowed_targets.ByDistance:
        """Return the allowed targets that this host may send to now."""
        left_out = self._held_back_ids(demand.service, now) | demand.excluded
        return self._allowed.by_distance(demand, left_out)

    def _held_back_ids(self, service: str, now: float) -> frozenset[str]:
        """Return the cold targets that this host may not send to now."""
        quota = self._quota(service)
        if quota is None:
            return frozenset()
        held_back = frozenset(
            target.entry.target_id
            for target in self._cold_targets(service, now)
            if quota.next_send_at(target, now) > now
        )
        if held_back:
            quota.record_hold()
        return held_back

    def _owner_with_capacity(
        self,
        selection_pass: SelectionPass,
        demand: demands.Demand,
        key: int,
    ) -> target_state.Target | None:
        """Return the owner of a key if it has capacity."""
        now = selection_pass.now
        target = self.owner(demand.service, key)
        if target is None or not self._allowed.is_allowed(target, demand):
            return None
        if not self._accepts_keyed(target, now):
            return None
        rank = demand.priority.rank
        interval_s = target_choice.owner_interval_s(
            target,
            selection_pass.service_s,
            selection_pass.waiting_by_owner.get(target.entry.target_id, 0),
        )
        quota = self._quota(demand.service)
        if quota is not None and quota.is_limited(target, now):
            if quota.next_turn_at(target, now) > now:
                quota.record_hold()
                return None
            # The turns at a cold owner replace those at a contended one.
            interval_s = 0.0
        if not target_choice.owner_has_capacity(
            target, now, rank, interval_s, self.domain_hosts, self._random
        ):
            return None
        if quota is not None:
            quota.use_turn(target, now)
        if rank and target_choice.is_contended(target, self.domain_hosts):
            target.pacer.take_turn(now, interval_s, self._random)
        return target

    def _accepts_keyed(self, target: target_state.Target, now: float) -> bool:
        """Return whether an owner may be sent requests for its keys."""
        targets = self._targets
        if targets.awaits_evacuations:
            return False
        draining_since = target.draining_since
        if draining_since is not None:
            if now > draining_since + DRAINING_SEND_SHARE * targets.drain_s:
                return False
        evacuated_since = targets.evacuated_since_by_domain.get(
            target.entry.failure_domain
        )
        if evacuated_since is None:
            return True
        send_window_s = EVACUATED_SEND_SHARE * targets.evacuation_s
        return now <= evacuated_since + send_window_s


def _has_active_target(
    groups: typing.Iterable[list[target_state.Target]], now: float
) -> bool:
    """Return whether any of the targets is not paused."""
    for targets in groups:
        for target in targets:
            if not target.is_paused(now):
                return True
    return False
