"""Limits how many requests the hosts together send to a cold target.

Time and randomness are arguments, there is no I/O, and hosts exchange no
messages for this.

A cold target of a service without keys is assigned to one host of its failure
domain by rendezvous hashing. Only this host sends to it, evenly spaced. All
hosts send to a cold owner of keys, each in turns of a fixed interval with a
random phase. A turn that is not used at once is lost, so that hosts whose
turns passed without demand do not send together when demand arrives.
"""

import functools
import math
import typing

from amaranthcrank.core import hashing
from amaranthcrank.router import model
from amaranthcrank.router import target_state

# The end of the cold time is extended by this time, because the entry in the
# store is read late.
COLD_MARGIN_S = 0.3
# A host sends nothing to cold targets until this time after it read the list
# of hosts as a registered host. Until then, the others may not know it.
JOIN_S = 3.0
# How many hosts may take a target for theirs at the same time, because their
# views of the membership differ.
MAX_SENDERS = 3
# The longest time for which a turn at a cold owner is valid. Waiting requests
# are reassigned every 0.03 s.
TURN_VALID_S = 0.1
# Requests that are sent within one second plus this time may arrive within
# one second: the validity of a turn and a varying transit time.
ARRIVAL_SPREAD_S = 0.25
# The largest share of the permitted rate that turns at a cold owner use.
OWNER_SHARE = 0.8
# The rate at which the requests of all hosts to a cold owner may exceed the
# bound by chance, per second of a cold owner that is always in demand.
EXCESS_PER_S = 1e-6
# The rate if the bound permits nothing.
LEAST_PER_S = 1e-6
_SEARCH_STEPS = 40


class Limits(typing.NamedTuple):
    """The limits of a service's cold targets.

    Attributes:
      cold_per_s: The rate of requests that a cold target bears.
      most_per_s: The most requests that all hosts may send in one second.
      warm_up_s: How long a target is cold after its start.
    """

    cold_per_s: float
    most_per_s: float
    warm_up_s: float


class Membership(typing.NamedTuple):
    """The known hosts, including this one.

    Attributes:
      domain_host_ids: The hosts of this host's failure domain.
      count: The number of hosts of all failure domains.
    """

    domain_host_ids: frozenset[str]
    count: int


def limits_by_service(
    services: typing.Iterable[model.Service], bounds: model.Bounds
) -> dict[str, Limits]:
    """Return the limits of the services for which the feature is on."""
    if bounds.cold_overshoot is None or bounds.cold_slack is None:
        return {}
    found = {}
    for service in services:
        if not service.cold_per_s:
            continue
        most_per_s = (
            service.cold_per_s * bounds.cold_overshoot + bounds.cold_slack
        )
        found[service.name] = Limits(
            service.cold_per_s, most_per_s, service.warm_up_s
        )
    return found


def spacing_s(limits: Limits) -> float:
    """Return the least interval between sends to an assigned cold target.

    At most one request more than the rate arrives in any second, which must
    be permitted to `MAX_SENDERS` hosts at once.
    """
    share = limits.most_per_s / MAX_SENDERS
    per_s = max(share - 1, share / 2) / (1 + ARRIVAL_SPREAD_S)
    return 1 / min(limits.cold_per_s, max(per_s, LEAST_PER_S))


@functools.lru_cache(maxsize=256)
def owner_turns_per_s(limits: Limits) -> float:
    """Return the rate of turns of all hosts together at a cold owner.

    The number of turns in a second has at most the variance of a Poisson
    distribution. The rate is so low that it rarely exceeds the bound.
    """
    low = 0.0
    high = OWNER_SHARE * limits.cold_per_s
    if _excess_per_s(high, limits.most_per_s) <= EXCESS_PER_S:
        return high
    for _ in range(_SEARCH_STEPS):
        middle = (low + high) / 2
        if _excess_per_s(middle, limits.most_per_s) <= EXCESS_PER_S:
            low = middle
        else:
            high = middle
    return low


def _excess_per_s(turns_per_s: float, most_per_s: float) -> float:
    """Return how often a Poisson process exceeds a bound, per second.

    Each send ends a window of one second. The bound is exceeded if that
    window contains as many further sends as the bound permits in total.
    """
    mean = turns_per_s * (1 + ARRIVAL_SPREAD_S)
    term = math.exp(-mean)
    at_most = 0.0
    for number in range(math.floor(most_per_s)):
        at_most += term
        term *= mean / (number + 1)
    return turns_per_s * max(0.0, 1 - at_most)


def assigned_host(holder: str, host_ids: typing.Collection[str]) -> str | None:
    """Return the host that a cold target is assigned to, or None.

    Args:
      holder: The incarnation of the target, as `id/incarnation`.
      host_ids: The known hosts of its failure domain.
    """
    return next(iter(hashing.rendezvous(holder, host_ids, 1)), None)


class Turns:
    """The turns of one host at one cold owner."""

    def __init__(self, now: float, interval_s: float, phase: float) -> None:
        """Start at a random phase, 0 to below 1, of the interval."""
        self._next_at = now + interval_s * phase
        self._interval_s = interval_s

    def next_at(self, now: float, interval_s: float) -> float:
        """Return when the next turn is due; not after `now` if it is now.

        Args:
          now: The event loop's time.
          interval_s: The interval. It changes with the number of hosts; the
            time until the next turn is scaled.
        """
        valid_s = min(TURN_VALID_S, self._interval_s)
        overdue_s = now - valid_s - self._next_at
        if overdue_s > 0:
            missed = math.ceil(overdue_s / self._interval_s)
            self._next_at += missed * self._interval_s
        if interval_s != self._interval_s:
            scale = interval_s / self._interval_s
            if self._next_at > now:
                self._next_at = now + (self._next_at - now) * scale
            self._interval_s = interval_s
        return self._next_at

    def use(self) -> None:
        """Use the turn that is due."""
        self._next_at += self._interval_s


class ColdQuota:
    """Decides when this host may send to cold targets.

    Attributes:
      limits_by_service: The limits of the services with the feature.
    """

    def __init__(
        self,
        host_id: str,
        failure_domain: str,
        random: typing.Callable[[], float],
        log: typing.Callable[..., None],
        count: typing.Callable[[str], None],
    ) -> None:
        """Start without services and with unknown membership.

        Args:
          host_id: This host.
          failure_domain: The failure domain of this host.
          random: Returns floats from 0 to below 1.
          log: Logs an event.
          count: Adds 1 to a counter.
        """
        self.limits_by_service: dict[str, Limits] = {}
        self._host_id = host_id
        self._failure_domain = failure_domain
        self._random = random
        self._log = log
        self._count = count
        self._membership: Membership | None = None
        self._joined_at = math.inf
        self._host_by_holder: dict[str, str | None] = {}
        self._next_at_by_holder: dict[str, float] = {}
        self._turns_by_holder: dict[str, Turns] = {}
        self._cold_holders: set[str] = set()

    @property
    def cold_targets(self) -> int:
        """The number of cold targets at the last refresh."""
        return len(self._cold_holders)

    def set_membership(self, membership: Membership, now: float) -> None:
        """Set the known hosts, read from the store as a registered host."""
        if self._membership is None:
            self._joined_at = now + JOIN_S
        if membership != self._membership:
            self._host_by_holder.clear()
            self._membership = membership

    def is_limited(self, target: target_state.Target, now: float) -> bool:
        """Return whether sends to a target are limited now."""
        # It runs for each target of a service per choice, so the usual case
        # is decided first, with few steps.
        earlier = now - COLD_MARGIN_S
        if (
            earlier >= target.cold_until
            and earlier >= target.cold_until_by_response
            and target.refused_at < 0
        ):
            return False
        if target.entry.service not in self.limits_by_service:
            return False
        return now < self.warm_at(target)

    def warm_at(self, target: target_state.Target) -> float:
        """Return when a target is no longer cold, with the margin.

        A target that refused a connection may have restarted before this
        host sees its new entry. The next attempt to connect follows within
        the longest pause.
        """
        warm_up_s = self.limits_by_service[target.entry.service].warm_up_s
        restarted_until = target.refused_at + target_state.LONGEST_PAUSE_S
        return COLD_MARGIN_S + max(
            target.cold_end, restarted_until + warm_up_s
        )

    def next_send_at(self, target: target_state.Target, now: float) -> float:
        """Return when this host may next send to a target without keys.

        Returns:
          The time; not after `now` if it is now, infinite if another host
          sends.
        """
        if not self.is_limited(target, now):
            return now
        if not self._has_joined(now):
            return self._joined_at
        if target.entry.failure_domain != self._failure_domain:
            return math.inf
        holder = target.entry.holder
        if holder not in self._host_by_holder:
            assert self._membership is not None
            self._host_by_holder[holder] = assigned_host(
                holder, self._membership.domain_host_ids
            )
        if self._host_by_holder[holder] != self._host_id:
            return math.inf
        return self._next_at_by_holder.get(holder, now)

    def record_send(self, target: target_state.Target, now: float) -> None:
        """Record a send to a target without keys."""
        if not self.is_limited(target, now):
            return
        limits = self.limits_by_service[target.entry.service]
        self._next_at_by_holder[target.entry.holder] = now + spacing_s(limits)
        self._count('cold_sends')

    def next_turn_at(self, target: target_state.Target, now: float) -> float:
        """Return when this host's next turn at an owner of keys is due."""
        if not self.is_limited(target, now):
            return now
        if not self._has_joined(now):
            return self._joined_at
        interval_s = self._turn_interval_s(target)
        holder = target.entry.holder
        turns = self._turns_by_holder.get(holder)
        if turns is None:
            turns = Turns(now, interval_s, self._random())
            self._turns_by_holder[holder] = turns
        return turns.next_at(now, interval_s)

    def use_turn(self, target: target_state.Target, now: float) -> None:
        """Record a send to an owner of keys at the turn that is due."""
        if not self.is_limited(target, now):
            return
        self._turns_by_holder[target.entry.holder].use()
        self._count('cold_sends')

    def record_hold(self) -> None:
        """Count that a request was kept from a cold target."""
        self._count('cold_holds')

    def wait_s(
        self,
        target: target_state.Target,
        is_keyed: bool,
        ahead: int,
        now: float,
    ) -> float:
        """Return how long a request waits for a target, as far as it is cold.

        Args:
          target: The target.
          is_keyed: Whether the request has a key.
          ahead: Number of requests that this host sends to it before.
          now: The event loop's time.
        """
        if not self.is_limited(target, now):
            return 0.0
        if self._membership is None:
            return self.warm_at(target) - now
        limits = self.limits_by_service[target.entry.service]
        if is_keyed:
            sent_at = self.next_turn_at(target, now)
            sent_at += ahead * self._turn_interval_s(target)
        else:
            sent_at = self.next_send_at(target, now)
            sent_at += ahead * spacing_s(limits)
        return max(0.0, min(sent_at, self.warm_at(target)) - now)

    def owner_load_s(
        self, target: target_state.Target, service_s: float, now: float
    ) -> float:
        """Return the work per second that a target may get as an owner.

        Args:
          target: The target.
          service_s: The typical service time of a request.
          now: The event loop's time.

        Returns:
          The work in seconds; infinite if the target is not cold.
        """
        if not self.is_limited(target, now):
            return math.inf
        limits = self.limits_by_service[target.entry.service]
        return owner_turns_per_s(limits) * service_s

    def refresh(
        self, targets: typing.Iterable[target_state.Target], now: float
    ) -> None:
        """Log which targets became cold or warm, and forget the warm ones."""
        cold_holders = set()
        for target in targets:
            if not self.is_limited(target, now):
                continue
            holder = target.entry.holder
            cold_holders.add(holder)
            if holder not in self._cold_holders:
                warm_in_s = round(self.warm_at(target) - now, 3)
                self._log('target_cold', target=holder, warm_in_s=warm_in_s)
        for holder in self._cold_holders - cold_holders:
            self._log('target_warm', target=holder)
        self._cold_holders = cold_holders
        for by_holder in (
            self._host_by_holder,
            self._next_at_by_holder,
            self._turns_by_holder,
        ):
            for holder in by_holder.keys() - cold_holders:
                del by_holder[holder]

    def _has_joined(self, now: float) -> bool:
        return now >= self._joined_at

    def _turn_interval_s(self, target: target_state.Target) -> float:
        limits = self.limits_by_service[target.entry.service]
        assert self._membership is not None
        return self._membership.count / owner_turns_per_s(limits)
