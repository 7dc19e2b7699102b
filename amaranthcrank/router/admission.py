"""Admission control: queues requests and assigns them to targets."""

import asyncio
import typing

from amaranthcrank.router import admission_checks
from amaranthcrank.router import demand as demands
from amaranthcrank.router import directory
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import service_times
from amaranthcrank.router import shutdown_limits
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_selection
from amaranthcrank.router import target_state
from amaranthcrank.router import wait_order

# A request that waits for less is on its way to a free slot.
CONTENTION_WAIT_S = 0.02


class Waiter:
    """A request that waits for a target.

    Attributes:
      demand: What the request asks for.
      queued_at: When it was queued, in event loop time.
      timeout_at: When it stops waiting, in event loop time.
      future: Resolved with the assigned target.
    """

    def __init__(
        self, demand: demands.Demand, queued_at: float, timeout_at: float
    ) -> None:
        """Create the future on the running event loop."""
        self.demand = demand
        self.queued_at = queued_at
        self.timeout_at = timeout_at
        self.future: asyncio.Future[target_state.Target] = (
            asyncio.get_running_loop().create_future()
        )


class Admission:
    """Assigns waiting requests to targets in order of priority.

    Attributes:
      selection: Chooses the targets.
    """

    def __init__(
        self,
        targets: directory.Directory,
        keys: key_table.KeyTable,
        locality: target_choice.Locality,
        times: service_times.ServiceTimes,
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
    ) -> None:
        """Create empty queues and subscribe to changes of the directory.

        Args:
          targets: The known targets.
          keys: The owners of keys.
          locality: This host's failure domain and region.
          times: The typical service times.
          clock: Returns the event loop's time.
          random: Returns floats from 0 to below 1.
        """
        self.selection = target_selection.TargetSelection(
            targets, keys, locality, random
        )
        self._times = times
        self._clock = clock
        self._waiting_by_service: dict[str, list[Waiter]] = {}
        self._shutdown: shutdown_limits.ShutdownLimits | None = None
        targets.listeners.append(self.assign_all_waiting)

    def waiting(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        return len(self._waiting_by_service.get(service, ()))

    def total_waiting(self) -> int:
        """Return the number of waiting requests of all services."""
        return sum(map(len, self._waiting_by_service.values()))

    async def acquire(self, demand: demands.Demand) -> target_state.Target:
        """Wait for a target, which the caller must `release` later.

        Returns:
          The target. The request is counted in its `in_flight`.

        Raises:
          RefusedError: No target will be free in time.
        """
        now = self._clock()
        service_s = self._times.of_service(demand.service)
        timeout_at = wait_order.queue_timeout_at(
            demand.priority, now, service_s
        )
        refusal = self._refusal(demand, timeout_at)
        if refusal is not None:
            raise refusal
        admission_checks.check_new(
            self.selection, demand, self._queue_state(demand), timeout_at
        )
        waiter = Waiter(demand, now, timeout_at)
        queue = self._waiting_by_service.setdefault(demand.service, [])
        queue.append(waiter)
        self.assign_waiting(demand.service)
        if waiter.future.done():
            return waiter.future.result()
        return await self._wait_for_target(waiter)

    def try_acquire(
        self, demand: demands.Demand
    ) -> target_state.Target | None:
        """Return a target with capacity now, or None, without waiting.

        Waiting requests of the service go first: there is no target while
        there are any. The caller must `release` the target later.
        """
        if self.waiting(demand.service):
            return None
        now = self._clock()
        if self._refusal(demand, now) is not None:
            return None
        selection_pass = target_selection.SelectionPass(
            self._times.of_service(demand.service),
            now,
            self._count_by_owner(demand.service),
        )
        target = self.selection.choose(selection_pass, demand, now)
        if target is not None:
            target.in_flight += 1
        return target

    def release(self, target: target_state.Target) -> None:
        """Release the slot of a request and assign waiting requests."""
        target.in_flight -= 1
        self.assign_waiting(target.entry.service)

    def begin_shutdown(self, limits: shutdown_limits.ShutdownLimits) -> None:
        """Refuse requests from now on that could not be answered in time.

        Waiting requests are refused as soon as it is too late to send them.
        """
        self._shutdown = limits
        self.assign_all_waiting()

    def limit_regions(
        self, regions: typing.Callable[[model.Route], demands.Regions]
    ) -> None:
        """Limit waiting requests to the regions of a new ticket as well.

        Args:
          regions: Returns the regions of a route of an older ticket.
        """
        for queue in self._waiting_by_service.values():
            for waiter in queue:
                route = waiter.demand.route
                if route is None:
                    continue
                limit = demands.intersect(
                    waiter.demand.regions, regions(route)
                )
                waiter.demand = waiter.demand._replace(regions=limit)
        self.assign_all_waiting()

    def assign_all_waiting(self) -> None:
        """Assign waiting requests of all services to targets."""
        for service in list(self._waiting_by_service):
            self.assign_waiting(service)

    def assign_waiting(self, service: str) -> None:
        """Assign waiting requests of a service while there is capacity."""
        queue = self._waiting_by_service.get(service)
        if not queue:
            return
        now = self._clock()
        service_s = self._times.of_service(service)
        queue.sort(
            key=lambda waiter: wait_order.sort_key(
                waiter.demand.priority, now, service_s
            )
        )
        selection_pass = target_selection.SelectionPass(
            service_s,
            now,
            self._count_by_owner(service),
            _contended_regions(queue, now),
        )
        unassigned = []
        for waiter in queue:
            if waiter.future.done():
                continue
            refusal = self._refusal(waiter.demand, waiter.timeout_at)
            if refusal is not None:
                waiter.future.set_exception(refusal)
                continue
            target = self.selection.choose(
                selection_pass, waiter.demand, waiter.queued_at
            )
            if target is None:
                unassigned.append(waiter)
                continue
            target.in_flight += 1
            waiter.future.set_result(target)
        self._waiting_by_service[service] = unassigned

    def waiting_by_owner(self) -> dict[str, int]:
        """Return the number of waiting requests by the owner of their key."""
        counts: dict[str, int] = {}
        for service in self._waiting_by_service:
            counts.update(self._count_by_owner(service))
        return counts

    async def _wait_for_target(self, waiter: Waiter) -> target_state.Target:
        demand = waiter.demand
        try:
            async with asyncio.timeout_at(waiter.timeout_at):
                return await asyncio.shield(waiter.future)
        except TimeoutError as error:
            if waiter.future.done():
                return waiter.future.result()
            waiter.future.cancel()
            self._dequeue(waiter)
            wait_s = admission_checks.expected_wait_s(
                self.selection, demand, self._queue_state(demand)
            )
            raise demands.RefusedError(
                'no target free in time', wait_s
            ) from error
        except asyncio.CancelledError:
            if _is_assigned(waiter.future):
                self.release(waiter.future.result())
            waiter.future.cancel()
            self._dequeue(waiter)
            raise

    def _dequeue(self, waiter: Waiter) -> None:
        queue = self._waiting_by_service.get(waiter.demand.service, [])
        if waiter in queue:
            queue.remove(waiter)

    def _refusal(
        self, demand: demands.Demand, timeout_at: float
    ) -> demands.RefusedError | None:
        return admission_checks.refusal(
            self.selection,
            demand,
            self._clock(),
            self._times.of_service(demand.service),
            timeout_at,
            self._shutdown,
        )

    def _queue_state(
        self, demand: demands.Demand
    ) -> admission_checks.QueueState:
        waiters = self._waiting_by_service.get(demand.service, ())
        return admission_checks.QueueState(
            self._clock(),
            self._times.of_service(demand.service),
            len(waiters),
            [
                waiter.demand.priority
                for waiter in waiters
                if demands.may_compete(demand.regions, waiter.demand.regions)
            ],
            {} if demand.key is None else self.waiting_by_owner(),
        )

    def _count_by_owner(self, service: str) -> dict[str, int]:
        counts: dict[str, int] = {}
        for waiter in self._waiting_by_service.get(service, ()):
            key = waiter.demand.key
            if key is None or waiter.future.done():
                continue
            target = self.selection.owner(service, key)
            if target is None:
                continue
            target_id = target.entry.target_id
            counts[target_id] = counts.get(target_id, 0) + 1
        return counts


def _contended_regions(queue: list[Waiter], now: float) -> frozenset[str]:
    """Return the regions to which waiting requests without key are limited."""
    regions: frozenset[str] = frozenset()
    for waiter in queue:
        if waiter.demand.key is not None or waiter.future.done():
            continue
        if now - waiter.queued_at < CONTENTION_WAIT_S:
            continue
        if waiter.demand.regions is not None:
            regions |= waiter.demand.regions
    return regions


def _is_assigned(future: asyncio.Future[target_state.Target]) -> bool:
    if not future.done() or future.cancelled():
        return False
    return future.exception() is None
