"""Requests that wait for a target, and their assignment to targets."""

import asyncio
import typing

from amaranthcrank.router import directory
from amaranthcrank.router import key_table
from amaranthcrank.router import service_times
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_state
from amaranthcrank.router import wait_order

# Waiting requests of one service; more are refused at once.
MAX_WAITING = 400
# An owner that leaves is still sent requests for this part of the drain time,
# until its keys have moved. The host may have learnt of it late, and a request
# takes its way.
LEAVING_SHARE = 0.25
# When a caller should try another host if this one cannot reach the owner.
SILENT_WAIT_S = 0.15
# All hosts share targets of other failure domains.
REMOTE_HOSTS = 64
# Part of the goal that a request waits for room nearby before it goes to
# another failure domain, and to another region.
SPILL_SHARE_BY_DISTANCE = (0.0, 0.15, 0.6)


class RefusedError(Exception):
    """No target will be free in time.

    Attributes:
      reason: Why.
      wait_s: When there is likely room.
    """

    def __init__(self, reason: str, wait_s: float) -> None:
        """Give the reason and when there is likely room."""
        super().__init__(reason)
        self.reason = reason
        self.wait_s = wait_s


class Waiter:
    """One request that waits for a target."""

    def __init__(
        self,
        standing: wait_order.Standing,
        key: int | None,
        excluded: frozenset[str],
        since: float,
    ) -> None:
        """Start to wait."""
        self.standing = standing
        self.key = key
        self.excluded = excluded
        self.since = since
        self.future: asyncio.Future[target_state.Target] = (
            asyncio.get_running_loop().create_future()
        )


class _Round(typing.NamedTuple):
    """What holds for all that wait for a service while it is served once.

    Attributes:
      service: The service.
      service_s: Its usual service time.
      now: The event loop's time.
      waiting_by_owner: How many requests wait for each owner at this host.
    """

    service: str
    service_s: float
    now: float
    waiting_by_owner: dict[str, int]


class Admission:
    """Gives waiting requests to targets, in order, as these fall free.

    Attributes:
      domain_hosts: How many hosts share the targets of this failure domain.
    """

    def __init__(
        self,
        targets: directory.Directory,
        keys: key_table.KeyTable,
        reach: target_choice.Reach,
        times: service_times.ServiceTimes,
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
    ) -> None:
        """Assign the directory's targets."""
        self._times = times
        self.domain_hosts = 2
        self._targets = targets
        self._keys = keys
        self._reach = reach
        self._clock = clock
        self._random = random
        self._waiting_by_service: dict[str, list[Waiter]] = {}
        targets.listeners.append(self.serve_all)

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return len(self._waiting_by_service.get(service, ()))

    def total_waiting(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._waiting_by_service.values()))

    async def acquire(
        self,
        service: str,
        standing: wait_order.Standing,
        key: int | None,
        excluded: frozenset[str],
    ) -> target_state.Target:
        """Wait for a target; `release` gives it back.

        Args:
          service: The service.
          standing: What decides the request's place.
          key: Its key, or None for a service without keys.
          excluded: Targets that it was sent to already.

        Returns:
          The target, with the request counted in flight.

        Raises:
          RefusedError: No target will be free in time.
        """
        now = self._clock()
        service_s = self._usual_s(service)
        queue = self._waiting_by_service.setdefault(service, [])
        leave_at = wait_order.leave_at(standing, now, service_s)
        self._check(service, standing, key, leave_at, service_s)
        waiter = Waiter(standing, key, excluded, now)
        queue.append(waiter)
        self.serve(service)
        if waiter.future.done():
            return waiter.future.result()
        return await self._wait(service, waiter, leave_at)

    def release(self, target: target_state.Target) -> None:
        """Give back a target that a request was assigned to."""
        target.in_flight -= 1
        self.serve(target.entry.service)

    def refuse_all(self, reason: str) -> None:
        """Refuse all requests that wait."""
        for service, queue in self._waiting_by_service.items():
            for waiter in queue:
                if not waiter.future.done():
                    waiter.future.set_exception(
                        RefusedError(reason, self._usual_s(service))
                    )
            self._waiting_by_service[service] = []

    def serve_all(self) -> None:
        """Assign waiting requests of all services."""
        for service in list(self._waiting_by_service):
            self.serve(service)

    def serve(self, service: str) -> None:
        """Assign waiting requests of a service, as far as there is room."""
        queue = self._waiting_by_service.get(service)
        if not queue:
            return
        now = self._clock()
        service_s = self._usual_s(service)
        queue.sort(
            key=lambda waiter: wait_order.sort_key(
                waiter.standing, now, service_s
            )
        )
        serving = _Round(
            service, service_s, now, self._count_by_owner(service)
        )
        left = []
        for waiter in queue:
            if waiter.future.done():
                continue
            target = self._choose(serving, waiter)
            if target is None:
                left.append(waiter)
                continue
            target.in_flight += 1
            waiter.future.set_result(target)
        self._waiting_by_service[service] = left

    async def _wait(
        self, service: str, waiter: Waiter, leave_at: float
    ) -> target_state.Target:
        try:
            async with asyncio.timeout_at(leave_at):
                return await asyncio.shield(waiter.future)
        except TimeoutError as error:
            if waiter.future.done():
                return waiter.future.result()
            waiter.future.cancel()
            self._forget(service, waiter)
            wait_s = self._expected_wait_s(service, waiter.standing)
            raise RefusedError('no target free in time', wait_s) from error
        except asyncio.CancelledError:
            if _is_assigned(waiter.future):
                self.release(waiter.future.result())
            waiter.future.cancel()
            self._forget(service, waiter)
            raise

    def _forget(self, service: str, waiter: Waiter) -> None:
        queue = self._waiting_by_service.get(service, [])
        if waiter in queue:
            queue.remove(waiter)

    def _check(
        self,
        service: str,
        standing: wait_order.Standing,
        key: int | None,
        leave_at: float,
        service_s: float,
    ) -> None:
        """Refuse at once what would wait in vain."""
        now = self._clock()
        if now + service_s * 0.5 > standing.deadline_at:
            raise RefusedError('too little time left', service_s)
        if self.waiting(service) >= MAX_WAITING:
            raise RefusedError('too many waiting', service_s)
        if key is not None:
            self._check_owner(service, key, standing.rank, leave_at, service_s)
            return
        wait_s = self._expected_wait_s(service, standing)
        if now + wait_s > max(leave_at, now + service_s):
            raise RefusedError('expected wait too long', wait_s)

    def _check_owner(
        self,
        service: str,
        key: int,
        rank: int,
        leave_at: float,
        service_s: float,
    ) -> None:
        """Refuse what this host cannot bring to its owner in time.

        Where the owner cannot be reached from here, the caller's next try
        reaches another host, which may be able to.
        """
        now = self._clock()
        target = self.owner(service, key)
        if target is None:
            return
        if target.is_silent(now):
            raise RefusedError('owner cannot be reached', SILENT_WAIT_S)
        if rank == 0:
            # It passes what waits.
            return
        target_id = target.entry.target_id
        ahead = self.waiting_by_owner().get(target_id, 0)
        ahead += target.waiting_elsewhere
        if not ahead:
            return
        wait_s = wait_order.expected_wait_s(
            ahead, service_s * target.slowness, target.entry.slots
        )
        if now + wait_s > leave_at + service_s:
            raise RefusedError('too many wait for the owner', wait_s)

    def _expected_wait_s(
        self, service: str, standing: wait_order.Standing
    ) -> float:
        now = self._clock()
        service_s = self._usual_s(service)
        own = wait_order.sort_key(standing, now, service_s)
        ahead = 0
        for waiter in self._waiting_by_service.get(service, ()):
            key_of_other = wait_order.sort_key(waiter.standing, now, service_s)
            if key_of_other <= own:
                ahead += 1
        if not ahead:
            return 0.0
        places = 0
        for target in self._targets.ready(service):
            if now < target.paused_until:
                continue
            if self._distance(target) == 0:
                places += target_choice.own_limit(
                    target.entry.slots, self.domain_hosts
                )
                continue
            places += 1
        return wait_order.expected_wait_s(ahead, service_s, places)

    def _choose(
        self, serving: _Round, waiter: Waiter
    ) -> target_state.Target | None:
        if waiter.key is not None:
            return self._owner(serving, waiter)
        now = serving.now
        targets = [
            target
            for target in self._targets.ready(serving.service)
            if target.entry.target_id not in waiter.excluded
        ]
        waited = now - waiter.since
        goal_s = waiter.standing.goal_at - waiter.since
        for distance, share in enumerate(SPILL_SHARE_BY_DISTANCE):
            near = [
                target
                for target in targets
                if self._distance(target) == distance
            ]
            hosts = self.domain_hosts if distance == 0 else REMOTE_HOSTS
            if (
                distance
                and waited < share * goal_s
                and self._near_usable(targets, distance, now)
            ):
                return None
            chosen = target_choice.choose(
                near, serving.service_s, now, hosts, self._random
            )
            if chosen is not None:
                return chosen
        return None

    def _near_usable(
        self, targets: list[target_state.Target], distance: int, now: float
    ) -> bool:
        """Tell whether a nearer target may fall free."""
        for target in targets:
            if self._distance(target) < distance:
                if now >= target.paused_until:
                    return True
        return False

    def owner(self, service: str, key: int) -> target_state.Target | None:
        """Return the target that holds a key, or None."""
        key_range = self._keys.find(service, key)
        if key_range is None or key_range.moving:
            return None
        return self._targets.find(key_range.target_id, key_range.incarnation)

    def waiting_by_owner(self) -> dict[str, int]:
        """Return how many requests wait for the owner of their key."""
        counts: dict[str, int] = {}
        for service in self._waiting_by_service:
            counts.update(self._count_by_owner(service))
        return counts

    def _count_by_owner(self, service: str) -> dict[str, int]:
        counts: dict[str, int] = {}
        for waiter in self._waiting_by_service.get(service, ()):
            if waiter.key is None or waiter.future.done():
                continue
            target = self.owner(service, waiter.key)
            if target is None:
                continue
            target_id = target.entry.target_id
            counts[target_id] = counts.get(target_id, 0) + 1
        return counts

    def _owner(
        self, serving: _Round, waiter: Waiter
    ) -> target_state.Target | None:
        """Return the owner of a waiter's key if it has room."""
        assert waiter.key is not None
        now = serving.now
        target = self.owner(serving.service, waiter.key)
        if target is None:
            return None
        leaving_since = target.leaving_since
        leaving_s = LEAVING_SHARE * self._targets.drain_s
        if leaving_since is not None and now > leaving_since + leaving_s:
            return None
        rank = waiter.standing.rank
        interval_s = target_choice.owner_interval_s(
            target,
            serving.service_s,
            serving.waiting_by_owner.get(target.entry.target_id, 0),
        )
        if not target_choice.owner_has_room(
            target, now, rank, interval_s, self.domain_hosts, self._random
        ):
            return None
        if rank and target_choice.is_contested(target, self.domain_hosts):
            target.pace.take_turn(now, interval_s, self._random)
        return target

    def _distance(self, target: target_state.Target) -> int:
        return target_choice.distance(self._reach, target.entry.failure_domain)

    def _usual_s(self, service: str) -> float:
        return self._times.of_service(service)


def _is_assigned(future: asyncio.Future[target_state.Target]) -> bool:
    if not future.done() or future.cancelled():
        return False
    return future.exception() is None
