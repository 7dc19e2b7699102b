"""Decides whether a request can be served in time, before and while it waits.

A request that cannot be served is refused at once, so that its caller can try
another host or come back later.
"""

import typing

from amaranthcrank.router import demand as demands
from amaranthcrank.router import shutdown_limits
from amaranthcrank.router import target_selection
from amaranthcrank.router import wait_order

# Limit of waiting requests per service; further requests are refused at once.
MAX_WAITING = 400
# Basis of Retry-After if the owner cannot be reached from this host: another
# host may be able to reach it.
UNREACHABLE_RETRY_AFTER_S = 0.15
# Basis of Retry-After if no target may serve the request. Other hosts know the
# same targets, and a start of a target or a move of keys takes seconds.
NO_TARGET_RETRY_AFTER_S = 1.0
COLD_REASON = 'the targets are cold'
# Basis of Retry-After while this host shuts down: other hosts serve.
SHUTDOWN_RETRY_AFTER_S = 0.1


class QueueState(typing.NamedTuple):
    """The state of a service's queue that a check depends on.

    Attributes:
      now: The event loop's time.
      service_s: The typical service time.
      total: Number of waiting requests.
      waiting: The priorities of those that may use the same targets.
      waiting_by_owner: Number of waiting requests of all services, by the id
        of the owner of their key.
    """

    now: float
    service_s: float
    total: int
    waiting: typing.Sequence[wait_order.Priority]
    waiting_by_owner: typing.Mapping[str, int]


def check_new(
    selection: target_selection.TargetSelection,
    demand: demands.Demand,
    queue: QueueState,
    timeout_at: float,
) -> None:
    """Refuse a new request that is not expected to be served in time.

    Args:
      selection: Knows the targets that may serve the request.
      demand: What the request asks for.
      queue: The state of its queue.
      timeout_at: When it would stop waiting, in event loop time.

    Raises:
      RefusedError: It would time out in the queue.
    """
    now = queue.now
    service_s = queue.service_s
    if now + service_s * 0.5 > demand.priority.deadline_at:
        raise demands.RefusedError('too little time left', service_s)
    if queue.total >= MAX_WAITING:
        raise demands.RefusedError('too many waiting', service_s)
    if demand.key is not None:
        _check_owner(selection, demand, demand.key, queue, timeout_at)
        return
    wait_s = expected_wait_s(selection, demand, queue)
    if now + wait_s > max(timeout_at, now + service_s):
        raise demands.RefusedError('expected wait too long', wait_s)


def refusal(
    selection: target_selection.TargetSelection,
    demand: demands.Demand,
    now: float,
    service_s: float,
    timeout_at: float,
    shutdown: shutdown_limits.ShutdownLimits | None,
) -> demands.RefusedError | None:
    """Return why a request cannot be sent before its timeout, or None.

    This may become known while the request waits: the host shuts down, or the
    targets that may serve it are gone or want no requests for a time.

    Args:
      selection: Knows the targets that may serve the request.
      demand: What the request asks for.
      now: The event loop's time.
      service_s: The typical service time.
      timeout_at: When it stops waiting, in event loop time.
      shutdown: The limits while this host shuts down; None before.
    """
    if shutdown is not None:
        latest_at = shutdown_limits.latest_send_at(
            shutdown, demand.priority.deadline_at, service_s
        )
        if now >= latest_at:
            return demands.RefusedError(
                'the host stops', SHUTDOWN_RETRY_AFTER_S
            )
    if not selection.is_servable(demand, now):
        return demands.RefusedError(
            'no target may serve the request', NO_TARGET_RETRY_AFTER_S
        )
    cold_wait_s = selection.cold_wait_s(demand, 0, now)
    if now + cold_wait_s > max(now, timeout_at):
        return demands.RefusedError(COLD_REASON, cold_wait_s)
    held_off_until = selection.held_off_until(demand)
    if held_off_until > max(now, timeout_at):
        return demands.RefusedError(
            'the targets accept no requests now', held_off_until - now
        )
    return None


def expected_wait_s(
    selection: target_selection.TargetSelection,
    demand: demands.Demand,
    queue: QueueState,
) -> float:
    """Return the expected wait of a request without key, in seconds."""
    own_sort_key = wait_order.sort_key(
        demand.priority, queue.now, queue.service_s
    )
    ahead = 0
    for priority in queue.waiting:
        other_sort_key = wait_order.sort_key(
            priority, queue.now, queue.service_s
        )
        if other_sort_key <= own_sort_key:
            ahead += 1
    if not ahead:
        return 0.0
    cold_wait_s = selection.cold_wait_s(demand, ahead, queue.now)
    if cold_wait_s:
        return cold_wait_s
    return wait_order.expected_wait_s(
        ahead, queue.service_s, selection.concurrency(demand, queue.now)
    )


def _check_owner(
    selection: target_selection.TargetSelection,
    demand: demands.Demand,
    key: int,
    queue: QueueState,
    timeout_at: float,
) -> None:
    """Refuse a request that its owner is not expected to serve in time.

    If the owner cannot be reached from this host, the caller's next attempt
    goes to another host, which may be able to reach it.

    Raises:
      RefusedError: The owner is unreachable or its queue too long.
    """
    target = selection.owner(demand.service, key)
    if target is None:
        return
    if target.is_silent(queue.now):
        raise demands.RefusedError(
            'owner cannot be reached', UNREACHABLE_RETRY_AFTER_S
        )
    if demand.priority.rank == 0:
        # The most urgent rank overtakes all waiting requests.
        return
    ahead = queue.waiting_by_owner.get(target.entry.target_id, 0)
    cold_wait_s = selection.cold_wait_s(demand, ahead, queue.now)
    if queue.now + cold_wait_s > timeout_at:
        raise demands.RefusedError(COLD_REASON, cold_wait_s)
    ahead += target.waiting_elsewhere
    if not ahead:
        return
    wait_s = wait_order.expected_wait_s(
        ahead, queue.service_s * target.slowness, target.entry.slots
    )
    if queue.now + wait_s > timeout_at + queue.service_s:
        raise demands.RefusedError('too many wait for the owner', wait_s)
