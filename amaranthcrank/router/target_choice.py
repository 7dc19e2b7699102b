"""Chooses a target for a request, and tells which have room.

Decisions only; the turns that a host takes at an owner are the only state.
"""

import typing

from amaranthcrank.router import pacing
from amaranthcrank.router import target_state

# One fault in two requests weighs like this many service times.
FAILURE_COST_SERVICE_TIMES = 8.0
# Requests beyond its slots that a target is given. Above 0 a slot that falls
# free is taken at once, but what waits there cannot be passed by urgent work.
REQUESTS_BEYOND_SLOTS = 0
# The most urgent rank may wait in an owner's own queue, where work of other
# ranks cannot be passed but is at least not followed. Half of what targets
# queue, so that those of hosts that know nothing yet find room as well.
URGENT_BEYOND_SLOTS = 6
# With so many hosts in a failure domain, what all of them send between two
# reports fills a slot of an owner in demand: bulk work leaves one.
LARGE_DOMAIN_HOSTS = 8
UNREPORTED_LOAD_SLOTS = 1
# Requests of one host at an owner for which no host reports a queue.
OWNER_PER_HOST_LIMIT = 2


class Locality(typing.NamedTuple):
    """Which failure domains a choice may use.

    Attributes:
      failure_domain: The host's own.
      region: The host's region.
      region_by_domain: The region of each domain.
    """

    failure_domain: str
    region: str
    region_by_domain: dict[str, str]


def distance(reach: Locality, failure_domain: str) -> int:
    """Return 0 in the same domain, 1 in the same region, 2 beyond."""
    if failure_domain == reach.failure_domain:
        return 0
    if reach.region_by_domain.get(failure_domain) == reach.region:
        return 1
    return 2


def has_capacity(target: target_state.Target, now: float, hosts: int) -> bool:
    """Tell whether a target may get a further request of this host.

    Args:
      target: The target.
      now: The event loop's time.
      hosts: Hosts that share the target and whose load is not known.
    """
    if now < target.paused_until:
        return False
    slots = target.entry.slots
    if (
        target.in_flight + target.in_flight_elsewhere
        >= slots + REQUESTS_BEYOND_SLOTS
    ):
        return False
    return target.in_flight < per_host_limit(slots, hosts)


def owner_interval_s(
    target: target_state.Target, typical_s: float, waiting: int
) -> float:
    """Return this host's mean time between sends to an owner in demand.

    Args:
      target: The owner.
      usual_s: The usual service time.
      waiting: How many requests wait for the owner at this host.
    """
    return pacing.turn_interval_s(
        typical_s * target.slowness,
        target.entry.slots,
        target.in_flight + waiting,
        target.in_flight_elsewhere + target.waiting_elsewhere,
    )


def is_contested(target: target_state.Target, hosts: int) -> bool:
    """Tell whether hosts should take turns at an owner.

    Args:
      target: The owner.
      hosts: How many hosts the failure domain has.
    """
    if target.waiting_elsewhere:
        return True
    return hosts >= LARGE_DOMAIN_HOSTS and target.in_flight_elsewhere > 0


def owner_has_capacity(
    target: target_state.Target,
    now: float,
    rank: int,
    interval_s: float,
    hosts: int,
    random: typing.Callable[[], float],
) -> bool:
    """Tell whether the owner of a key may get a request of this host.

    Hosts of all failure domains send to an owner. Where requests wait for it
    at other hosts, each host keeps its pace. The most urgent rank need not,
    and may use the owner's own queue as well.

    Args:
      target: The owner.
      now: The event loop's time.
      rank: The rank of the request.
      interval_s: The mean time between sends of this host.
      hosts: How many hosts the failure domain has.
      random: Returns floats from 0 to below 1.
    """
    if now < max(target.paused_until, target.keyed_paused_until):
        return False
    slots = target.entry.slots
    known_in_flight = target.in_flight + target.in_flight_elsewhere
    if rank == 0:
        if known_in_flight >= slots + URGENT_BEYOND_SLOTS:
            return False
        return target.in_flight < OWNER_PER_HOST_LIMIT + URGENT_BEYOND_SLOTS
    if hosts >= LARGE_DOMAIN_HOSTS and known_in_flight:
        slots = max(1, slots - UNREPORTED_LOAD_SLOTS)
    is_full = known_in_flight >= slots
    if not is_contested(target, hosts):
        return not is_full and target.in_flight < OWNER_PER_HOST_LIMIT
    if not target.pacer.is_due(now, interval_s, random):
        return False
    if is_full:
        # Its turn is lost: hosts that all waited for the same news of a free
        # slot would send together when it comes.
        target.pacer.take_turn(now, interval_s, random)
    return not is_full


def per_host_limit(slots: int, hosts: int) -> int:
    """Return how many requests one host may have at a target.

    Half of a target's slots are given out twice: hosts are seldom busy at
    the same moment, and a target queues a few requests.
    """
    return max(1, -(-slots * 3 // (2 * hosts)))


def expected_cost_s(
    target: target_state.Target, typical_s: float, now: float
) -> float:
    """Return the expected cost of a send in seconds.

    Args:
      target: The target.
      usual_s: The usual service time.
      now: The event loop's time.
    """
    service_s = typical_s * target.slowness
    if target.is_cold(now):
        service_s *= target_state.COLD_FACTOR
    waiting = target.in_flight + target.in_flight_elsewhere + 1
    cost = service_s * max(1.0, waiting / target.entry.slots)
    # Among idle targets the emptier one is less likely to fill up.
    cost += 0.2 * service_s * waiting / target.entry.slots
    failure_rate = target.current_failure_rate(now)
    return cost + typical_s * FAILURE_COST_SERVICE_TIMES * failure_rate


def choose(
    targets: typing.Iterable[target_state.Target],
    typical_s: float,
    now: float,
    hosts: int,
    random: typing.Callable[[], float],
) -> target_state.Target | None:
    """Choose the target with the least expected cost, or None.

    Args:
      targets: The targets that are allowed and ready.
      usual_s: The usual service time.
      now: The event loop's time.
      hosts: Hosts that share each target and whose load is not known.
      random: Returns floats from 0 to below 1; breaks ties.
    """
    best = None
    best_cost = 0.0
    for target in targets:
        if not has_capacity(target, now, hosts):
            continue
        cost = expected_cost_s(target, typical_s, now) * (
            0.95 + 0.1 * random()
        )
        if best is None or cost < best_cost:
            best = target
            best_cost = cost
    return best
