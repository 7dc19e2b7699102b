"""Load balancing: chooses targets and determines which have capacity.

Pure decisions, except that `owner_has_capacity` advances the pacer of a
contended owner.
"""

import itertools
import typing

from amaranthcrank.router import pacing
from amaranthcrank.router import reported_load
from amaranthcrank.router import target_state

# Cost of a failure rate of 1, in service times.
FAILURE_COST_SERVICE_TIMES = 8.0
# Requests sent to a target beyond its number of slots. A value above 0 would
# reuse a released slot at once, but urgent requests cannot overtake requests
# in the target's own queue.
REQUESTS_BEYOND_SLOTS = 0
# Requests of the most urgent rank that may wait in an owner's own queue. They
# cannot overtake other ranks there, but later requests cannot overtake them
# either. Half of the queue length of targets, which leaves room for hosts that
# have not received load reports yet.
URGENT_BEYOND_SLOTS = 6
# In failure domains with at least this many hosts, the requests that all hosts
# send between two load reports fill a slot of a contended owner. Requests of
# other than the most urgent rank therefore leave that many slots free.
LARGE_DOMAIN_HOSTS = 8
UNREPORTED_LOAD_SLOTS = 1
# Among targets that report their load, a host compares only this many. Hosts
# with the same reports would otherwise all choose the same target.
COMPARED_TARGETS = 3
# Limit of requests in flight per host at an owner that is not contended.
OWNER_PER_HOST_LIMIT = 2


class Locality(typing.NamedTuple):
    """The location of this host, by which the distance of targets is measured.

    Attributes:
      failure_domain: The host's failure domain.
      region: The host's region.
      region_by_domain: The region of each failure domain.
    """

    failure_domain: str
    region: str
    region_by_domain: dict[str, str]


def distance(locality: Locality, failure_domain: str) -> int:
    """Return 0 in the same domain, 1 in the same region, 2 otherwise."""
    if failure_domain == locality.failure_domain:
        return 0
    if locality.region_by_domain.get(failure_domain) == locality.region:
        return 1
    return 2


def has_capacity(
    target: target_state.Target, typical_s: float, now: float, hosts: int
) -> bool:
    """Return whether this host may send another request to a target.

    Args:
      target: The target.
      typical_s: The typical service time.
      now: The event loop's time.
      hosts: Number of hosts that share the target and whose load is unknown.
    """
    if target.is_paused(now):
        return False
    elsewhere = target.in_flight_elsewhere
    if target.reported_load is not None:
        if reported_load.is_full(target.reported_load, typical_s, now):
            return False
        elsewhere = round(_elsewhere(target, now))
    slots = target.entry.slots
    if target.in_flight + elsewhere >= slots + REQUESTS_BEYOND_SLOTS:
        return False
    return target.in_flight < per_host_limit(slots, hosts)


def _elsewhere(target: target_state.Target, now: float) -> float:
    if target.reported_load is None:
        return target.in_flight_elsewhere
    return reported_load.elsewhere(
        target.reported_load, target.in_flight_elsewhere, now
    )


def owner_interval_s(
    target: target_state.Target, typical_s: float, waiting: int
) -> float:
    """Return this host's mean interval between sends to a contended owner.

    Args:
      target: The owner.
      typical_s: The typical service time.
      waiting: Number of requests that wait for the owner at this host.
    """
    return pacing.turn_interval_s(
        typical_s * target.slowness,
        target.entry.slots,
        target.in_flight + waiting,
        target.in_flight_elsewhere + target.waiting_elsewhere,
    )


def is_contended(target: target_state.Target, hosts: int) -> bool:
    """Return whether hosts should pace their requests to an owner.

    Args:
      target: The owner.
      hosts: Number of hosts in the failure domain.
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
    """Return whether this host may send a request to the owner of its key.

    Hosts of all failure domains send to an owner. While requests wait for it
    at other hosts, each host paces its own requests. The most urgent rank is
    not paced and may also use the owner's own queue.

    Args:
      target: The owner.
      now: The event loop's time.
      rank: The rank of the request.
      interval_s: The mean interval between sends of this host.
      hosts: Number of hosts in the failure domain.
      random: Returns floats from 0 to below 1.
    """
    if target.is_paused(now) or now < target.keyed_paused_until:
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
    if not is_contended(target, hosts):
        return not is_full and target.in_flight < OWNER_PER_HOST_LIMIT
    if not target.pacer.is_due(now, interval_s, random):
        return False
    if is_full:
        # The turn is used up: otherwise all hosts would send at once as soon
        # as a load report shows a free slot.
        target.pacer.take_turn(now, interval_s, random)
    return not is_full


def per_host_limit(slots: int, hosts: int) -> int:
    """Return how many requests one host may have in flight at a target.

    The limits of all hosts add up to at least 1.5 times the slots: hosts are
    seldom busy at the same time, and a target queues a few requests.
    """
    return max(1, -(-slots * 3 // (2 * hosts)))


def expected_cost_s(
    target: target_state.Target, typical_s: float, now: float
) -> float:
    """Return the expected cost of sending to a target, in seconds.

    Args:
      target: The target.
      typical_s: The typical service time.
      now: The event loop's time.
    """
    service_s = typical_s * target.slowness * target.pace(now)
    load = target.in_flight + _elsewhere(target, now) + 1
    cost = service_s * max(1.0, load / target.entry.slots)
    # Among targets with free slots, prefer the least utilised one.
    cost += 0.2 * service_s * load / target.entry.slots
    failure_rate = target.current_failure_rate(now)
    return cost + typical_s * FAILURE_COST_SERVICE_TIMES * failure_rate


def choose(
    targets: typing.Iterable[target_state.Target],
    typical_s: float,
    now: float,
    hosts: int,
    random: typing.Callable[[], float],
    compared: int | None = None,
) -> target_state.Target | None:
    """Return the target with the lowest expected cost, or None.

    Args:
      targets: The targets that are allowed and ready.
      typical_s: The typical service time.
      now: The event loop's time.
      hosts: Number of hosts that share each target and whose load is
        unknown.
      random: Returns floats from 0 to below 1; breaks ties.
      compared: How many targets with capacity are compared, the first ones;
        None: all.
    """
    candidates = (
        target
        for target in targets
        if has_capacity(target, typical_s, now, hosts)
    )
    best = None
    best_cost = 0.0
    for target in itertools.islice(candidates, compared):
        cost = expected_cost_s(target, typical_s, now) * (
            0.95 + 0.1 * random()
        )
        if best is None or cost < best_cost:
            best = target
            best_cost = cost
    return best


def in_random_order(
    targets: typing.Iterable[target_state.Target],
    random: typing.Callable[[], float],
) -> typing.Iterator[target_state.Target]:
    """Yield the targets in random order."""
    remaining = list(targets)
    while remaining:
        index = int(random() * len(remaining))
        remaining[index], remaining[-1] = remaining[-1], remaining[index]
        yield remaining.pop()
