"""Tests of the limit of requests to cold targets, without a network.

Load: every host always has a request for the cold target, or all hosts get
one at the same time. The requests of all hosts that arrive at the target in
any one second must stay within the bound; above it, the target crashes.
"""

import math
import random
import unittest

from amaranthcrank.router import cold_quota
from amaranthcrank.router import model
from amaranthcrank.router import target_state

STEP_S = 0.03
MOST_PER_S = 4.1 * 1.5 + 8
LIMITS = cold_quota.Limits(4.1, MOST_PER_S, 3.0)
TRANSIT_S = 0.15
ALWAYS_COLD_S = 1e6


def _target(name='i-1', domain='a', cold_s=ALWAYS_COLD_S):
    entry = model.TargetEntry(
        name,
        'desk',
        model.Address('10.0.0.1', 1),
        domain,
        3,
        model.READY,
        cold_s,
        1,
    )
    return target_state.Target(entry, 0.0)


def _most_within_a_second(times):
    times = sorted(times)
    most = 0
    first = 0
    for last, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


class _Host:
    def __init__(self, host_id, rng, domain='a'):
        self.host_id = host_id
        self.events = []
        self.counted = []
        self.quota = cold_quota.ColdQuota(
            host_id,
            domain,
            rng.random,
            lambda event, **fields: self.events.append((event, fields)),
            self.counted.append,
        )
        self.quota.limits_by_service = {'desk': LIMITS}

    def see(self, host_ids, now, count=None):
        ids = frozenset({*host_ids, self.host_id})
        self.quota.set_membership(
            cold_quota.Membership(ids, count or len(ids)), now
        )

    def try_send(self, target, now, keyed):
        if keyed:
            if self.quota.next_turn_at(target, now) > now:
                return False
            self.quota.use_turn(target, now)
            return True
        if self.quota.next_send_at(target, now) > now:
            return False
        self.quota.record_send(target, now)
        return True


class _FleetTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(7)

    def _fleet(self, count):
        hosts = [_Host(f'h-{number}', self.rng) for number in range(count)]
        self.ids = [host.host_id for host in hosts]
        return hosts

    def _run(self, hosts, target, keyed, began_at, end_at, demand=None):
        """Return when requests arrive, and which hosts sent them."""
        offsets = [self.rng.random() * STEP_S for _ in hosts]
        arrivals = []
        senders = set()
        for step in range(int((end_at - began_at) / STEP_S)):
            for host, offset in zip(hosts, offsets, strict=True):
                now = began_at + step * STEP_S + offset
                if demand is not None and not demand(now):
                    continue
                if host.try_send(target, now, keyed):
                    arrivals.append(now + self.rng.random() * TRANSIT_S)
                    senders.add(host.host_id)
        return arrivals, senders


class UnkeyedTest(_FleetTest):
    def test_one_host_sends_evenly(self):
        for count in (1, 20, 80):
            hosts = self._fleet(count)
            for host in hosts:
                host.see(self.ids, 0.0)
            arrivals, senders = self._run(hosts, _target(), False, 0.0, 60.0)
            self.assertEqual(len(senders), 1)
            self.assertLessEqual(_most_within_a_second(arrivals), 5)
            self.assertGreater(len(arrivals), 57 * 2.5)

    def test_views_differ(self):
        """Guards against a bound that holds only if all views are equal.

        Each host lacks up to two of the hosts, so that up to three of them
        take the target for theirs.
        """
        for count in (20, 80):
            for number in range(15):
                hosts = self._fleet(count)
                target = _target(f'i-{number}')
                holder = target.entry.holder
                first = cold_quota.assigned_host(holder, self.ids)
                others = set(self.ids) - {first}
                second = cold_quota.assigned_host(holder, others)
                for host in hosts:
                    missing = self.rng.choice(
                        [set(), {first}, {second}, {first, second}]
                    )
                    host.see(set(self.ids) - missing, 0.0)
                arrivals, senders = self._run(hosts, target, False, 0.0, 20.0)
                self.assertLessEqual(len(senders), 3)
                self.assertLessEqual(
                    _most_within_a_second(arrivals), MOST_PER_S
                )

    def test_all_hosts_start_at_once(self):
        """Guards against hosts that send before they know each other.

        Each host first knows only itself. The announcements of the others
        arrive within the time that a host waits after it has joined.
        """
        for count in (20, 80):
            hosts = self._fleet(count)
            target = _target()
            arrivals, _ = self._run(hosts, target, False, 0.0, 2.0)
            self.assertEqual(arrivals, [])
            for host in hosts:
                host.see((), 2.0)
            arrivals, _ = self._run(
                hosts, target, False, 2.0, 2.0 + cold_quota.JOIN_S - 0.05
            )
            self.assertEqual(arrivals, [])
            for host in hosts:
                host.see(self.ids, 4.9)
            arrivals, senders = self._run(hosts, target, False, 4.95, 10.0)
            self.assertEqual(len(senders), 1)
            self.assertLessEqual(_most_within_a_second(arrivals), 5)

    def test_host_that_holds_the_assignment_dies(self):
        # Nobody else sends until the membership shows the loss, and then the
        # former and the next host together stay within the bound.
        for count in (20, 80):
            hosts = self._fleet(count)
            target = _target()
            dead = cold_quota.assigned_host(target.entry.holder, self.ids)
            for host in hosts:
                host.see(self.ids, 0.0)
            before, senders = self._run(hosts, target, False, 0.0, 10.0)
            self.assertEqual(senders, {dead})
            alive = [host for host in hosts if host.host_id != dead]
            during, _ = self._run(alive, target, False, 10.0, 12.0)
            self.assertEqual(during, [])
            for host in alive:
                host.see(set(self.ids) - {dead}, 12.0)
            after, senders = self._run(alive, target, False, 12.0, 20.0)
            self.assertEqual(len(senders), 1)
            self.assertLessEqual(
                _most_within_a_second(before + after), MOST_PER_S
            )

    def test_hosts_of_other_domains_send_nothing(self):
        host = _Host('h-1', self.rng, domain='b')
        host.see((), 0.0)
        target = _target(domain='a')
        self.assertEqual(host.quota.next_send_at(target, 10.0), math.inf)

    def test_assignments_are_spread(self):
        # A single host with all cold targets would be short of processor time.
        ids = [f'h-{number}' for number in range(20)]
        assigned = [
            cold_quota.assigned_host(f'i-{number}/1', ids)
            for number in range(200)
        ]
        self.assertLess(max(map(assigned.count, ids)), 25)
        self.assertGreater(min(map(assigned.count, ids)), 1)


class OwnerTest(_FleetTest):
    def test_all_hosts_always_have_requests(self):
        for count in (1, 20, 80):
            hosts = self._fleet(count)
            for host in hosts:
                host.see(self.ids, 0.0)
            arrivals, _ = self._run(hosts, _target(), True, 3.0, 303.0)
            self.assertLessEqual(_most_within_a_second(arrivals), MOST_PER_S)
            turns_per_s = cold_quota.owner_turns_per_s(LIMITS)
            self.assertGreater(len(arrivals), 300 * turns_per_s * 0.8)
            self.assertLess(len(arrivals), 300 * turns_per_s * 1.2)

    def test_sudden_demand_of_all_hosts(self):
        """Guards against turns that are saved up while there is no demand.

        A turn that stayed valid would be used by all hosts at once.
        """
        for count in (20, 80):
            hosts = self._fleet(count)
            for host in hosts:
                host.see(self.ids, 0.0)
            arrivals, _ = self._run(
                hosts, _target(), True, 3.0, 303.0, lambda now: now % 7 < 1.5
            )
            self.assertGreater(len(arrivals), 50)
            self.assertLessEqual(_most_within_a_second(arrivals), MOST_PER_S)

    def test_new_membership_makes_no_turn_due(self):
        # All hosts learn of a new host at the same time.
        hosts = self._fleet(80)
        for host in hosts:
            host.see(self.ids, 0.0)
        target = _target()
        self._run(hosts, target, True, 3.0, 60.0)
        arrivals = []
        for number in range(60):
            now = 60.0 + number
            for host in hosts:
                host.see([*self.ids, f'new-{number}'], now)
            sent, _ = self._run(hosts, target, True, now, now + 1.0)
            arrivals += sent
        self.assertLessEqual(_most_within_a_second(arrivals), MOST_PER_S)

    def test_views_differ(self):
        # Some hosts know only nine tenths of the others.
        for count in (20, 80):
            hosts = self._fleet(count)
            for host in hosts:
                known = self.rng.sample(self.ids, int(count * 0.9))
                host.see(known, 0.0)
            arrivals, _ = self._run(hosts, _target(), True, 3.0, 303.0)
            self.assertLessEqual(_most_within_a_second(arrivals), MOST_PER_S)

    def test_host_without_membership_sends_nothing(self):
        host = _Host('h-1', self.rng)
        for now in (0.0, 50.0):
            self.assertFalse(host.try_send(_target(), now, True))
        host.see((), 50.0)
        self.assertFalse(host.try_send(_target(), 52.9, True))

    def test_wait_of_a_host_without_membership(self):
        # A host that has just started has requests for the keys of a cold
        # owner; the process ended when it estimated their wait.
        host = _Host('h-1', random.Random(1))
        target = _target(cold_s=3.0)
        wait_s = host.quota.wait_s(target, True, 2, 1.0)
        self.assertAlmostEqual(wait_s, 2.0 + cold_quota.COLD_MARGIN_S)

    def test_rate_keeps_the_chance_of_an_excess(self):
        # The chance is that of a Poisson process; a bound without slack
        # permits fewer turns.
        generous = cold_quota.Limits(4.1, 100.0, 3.0)
        self.assertEqual(
            cold_quota.owner_turns_per_s(generous),
            cold_quota.OWNER_SHARE * 4.1,
        )
        usual = cold_quota.owner_turns_per_s(LIMITS)
        tight = cold_quota.owner_turns_per_s(cold_quota.Limits(4.1, 6.15, 3.0))
        self.assertGreater(usual, 1.5)
        self.assertLess(tight, usual)
        self.assertGreater(tight, 0.0)
        for most_per_s in (0.0, 0.5, 1.0):
            limits = cold_quota.Limits(4.1, most_per_s, 3.0)
            self.assertGreater(cold_quota.owner_turns_per_s(limits), 0.0)
            self.assertGreater(cold_quota.spacing_s(limits), 0.0)


class ColdTimeTest(_FleetTest):
    def setUp(self):
        super().setUp()
        self.host = _Host('h-1', self.rng)
        self.host.see((), -10.0)
        self.quota = self.host.quota

    def test_cold_time_ends_with_a_margin(self):
        target = _target(cold_s=3.0)
        self.assertTrue(self.quota.is_limited(target, 3.25))
        self.assertFalse(self.quota.is_limited(target, 3.31))

    def test_target_that_is_not_cold_has_no_margin(self):
        # Otherwise each update of its entry would keep requests from it.
        target = _target(cold_s=0.0)
        self.assertFalse(self.quota.is_limited(target, 0.0))

    def test_response_says_that_the_target_is_cold_again(self):
        target = _target(cold_s=0.0)
        self.assertFalse(self.quota.is_limited(target, 1.0))
        target.cold_until_by_response = 4.0
        self.assertTrue(self.quota.is_limited(target, 4.2))

    def test_target_that_refused_a_connection_may_have_restarted(self):
        """Guards against full speed to a restarted target.

        A host that cannot reach the store does not see its new entry.
        """
        target = _target(cold_s=0.0)
        target.refused_at = 10.0
        self.assertTrue(self.quota.is_limited(target, 14.9))
        self.assertFalse(self.quota.is_limited(target, 15.4))

    def test_services_without_the_feature(self):
        self.quota.limits_by_service = {}
        target = _target()
        self.assertFalse(self.quota.is_limited(target, 1.0))
        self.assertEqual(self.quota.next_send_at(target, 1.0), 1.0)
        self.assertEqual(self.quota.next_turn_at(target, 1.0), 1.0)
        self.quota.record_send(target, 1.0)
        self.quota.use_turn(target, 1.0)
        self.assertEqual(self.host.counted, [])

    def test_feature_needs_both_bounds_and_a_rate(self):
        with_rate = model.Service('desk', 100, False, 3.0, 4.1)
        without = model.Service('book', 100, True)
        zero = model.Service('bulk', 100, True, 3.0, 0.0)
        services = [with_rate, without, zero]
        base = (2.0, 3.0, 6.0, 0.2, 10.0, 60.0, 10.0)
        for overshoot, slack, expected in (
            (1.5, 8.0, {'desk': LIMITS}),
            (None, 8.0, {}),
            (1.5, None, {}),
        ):
            bounds = model.Bounds(
                *base, cold_overshoot=overshoot, cold_slack=slack
            )
            found = cold_quota.limits_by_service(services, bounds)
            self.assertEqual(found, expected)

    def test_changes_are_logged(self):
        target = _target(cold_s=3.0)
        for now in (1.0, 2.0, 3.5, 4.0):
            self.quota.refresh([target], now)
        events = [event for event, _ in self.host.events]
        self.assertEqual(events, ['target_cold', 'target_warm'])

    def test_wait_ends_when_the_target_is_warm(self):
        target = _target(cold_s=3.0)
        self.assertAlmostEqual(self.quota.wait_s(target, False, 20, 3.0), 0.3)
        self.assertEqual(self.quota.wait_s(target, False, 0, 1.0), 0.0)
        self.assertEqual(self.quota.wait_s(target, False, 5, 3.4), 0.0)
