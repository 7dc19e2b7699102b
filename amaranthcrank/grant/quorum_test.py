"""Tests of heartbeats, the host lease, adoption and recovery."""

import unittest

from amaranthcrank.core import model
from amaranthcrank.grant import quorum
from amaranthcrank.observe import failure_detector
from amaranthcrank.record import cell_record

HOSTS = ('a', 'b', 'd')
States = dict[str, quorum.QuorumState]


def record_of(
    hosts: tuple[str, ...] = HOSTS, version: int = 1
) -> model.CellRecord:
    record = cell_record.first_record('c', hosts, None, 1)
    return record._replace(version=version)


def started(hosts: tuple[str, ...] = HOSTS) -> States:
    states = {}
    for host in hosts:
        state = quorum.initial_state('c', host, f'{host}1')
        states[host] = quorum.install_record(
            state, record_of(hosts), 0.0, True
        )
    return states


def send_heartbeat(states: States, sender: str, to: str, now: float) -> None:
    states[sender], heartbeat = quorum.heartbeat_for(
        states[sender], to, now, 1
    )
    states[to] = quorum.receive_heartbeat(states[to], heartbeat, now)


def exchange_heartbeats(states: States, now: float, rounds: int = 2) -> None:
    for _ in range(rounds):
        for sender in states:
            for to in states:
                if to != sender:
                    send_heartbeat(states, sender, to, now)


class HostLeaseTest(unittest.TestCase):
    def test_counts_from_the_send_time(self) -> None:
        """Guards against a host lease that a delayed echo extends."""
        states = started()
        send_heartbeat(states, 'a', 'b', 1.0)
        self.assertLess(quorum.host_lease_until(states['a'], 1.0), 1.0)
        send_heartbeat(states, 'b', 'a', 1.3)
        self.assertAlmostEqual(1.4, quorum.host_lease_until(states['a'], 1.3))

    def test_promise_ends_the_older_lease(self) -> None:
        """Guards against a host that acts on an outdated record."""
        states = started()
        exchange_heartbeats(states, 1.0)
        states['a'] = quorum.install_record(
            states['a'], record_of(version=2), 1.0, True
        )
        send_heartbeat(states, 'a', 'b', 1.0)
        self.assertEqual(
            quorum.NEVER, quorum.host_lease_until(states['b'], 1.0)
        )
        self.assertEqual('a', quorum.newest_record_peer(states['b']))
        send_heartbeat(states, 'd', 'b', 1.0)
        states['b'], heartbeat = quorum.heartbeat_for(states['b'], 'd', 1.0, 1)
        self.assertEqual((2, False), (heartbeat.promised, heartbeat.attests))

    def test_overtaken_heartbeat_changes_nothing(self) -> None:
        """Guards against versions that decrease when frames arrive late."""
        states = started()
        states['a'], early = quorum.heartbeat_for(states['a'], 'b', 1, 1)
        states['a'], late = quorum.heartbeat_for(states['a'], 'b', 1, 2)
        received = quorum.receive_heartbeat(states['b'], late, 1.0)
        self.assertIs(received, quorum.receive_heartbeat(received, early, 1.1))

    def test_host_that_leaves_and_rejoins_is_seen(self) -> None:
        """Guards against a sequence that restarts for the same peer."""
        states = started()
        for now in range(1, 20):
            exchange_heartbeats(states, float(now))
        for version, hosts in ((2, ('a', 'b')), (3, HOSTS)):
            states['a'] = quorum.install_record(
                states['a'], record_of(hosts, version), version * 50.0, True
            )
        send_heartbeat(states, 'a', 'd', 150.0)
        self.assertEqual(150.0, quorum.last_seen_at(states['d'], 'a', 0))

    def test_no_dispatch_with_an_older_ticket_than_the_record(self) -> None:
        """Guards against two hosts that map a pinned key to two slots."""
        states = started()
        exchange_heartbeats(states, 1.0)
        self.assertTrue(quorum.may_dispatch(states['a'], 1.0, 1))
        self.assertFalse(quorum.may_dispatch(states['a'], 1.0, 0))
        self.assertFalse(quorum.may_dispatch(states['a'], 1.5, 1))

    def test_host_outside_the_record_has_no_lease(self) -> None:
        """Guards against a removed host that continues to grant."""
        states = started()
        exchange_heartbeats(states, 1.0)
        states['a'] = quorum.install_record(
            states['a'], record_of(('b', 'd'), 2), 1.0, True
        )
        self.assertEqual(
            quorum.NEVER, quorum.host_lease_until(states['a'], 1.0)
        )


class AdoptionTest(unittest.TestCase):
    def test_effective_after_the_wait(self) -> None:
        """Guards against a grant before older ones have expired."""
        states = started()
        for host in states:
            states[host] = quorum.install_record(
                states[host], record_of(version=2), 1.0, False
            )
        exchange_heartbeats(states, 1.0, 3)
        state = states['a']
        self.assertEqual(2, quorum.adopted_version(state))
        self.assertEqual(0, quorum.effective_version(state, 2.05))
        self.assertEqual(2, quorum.effective_version(state, 2.15))
        states['b'], heartbeat = quorum.heartbeat_for(
            states['b'], 'a', 2.15, 1
        )
        late = quorum.initial_state('c', 'a', 'a2')
        late = quorum.receive_heartbeat(late, heartbeat, 2.2)
        self.assertEqual(2, quorum.effective_version(late, 2.2))

    def test_exclusive_when_every_host_has_promised(self) -> None:
        """Guards against a planned move that always waits for the leases."""
        states = started()
        exchange_heartbeats(states, 1.0, 3)
        exchange_heartbeats(states, 2.2, 1)
        for host in states:
            states[host] = quorum.install_record(
                states[host], record_of(version=2), 2.3, False
            )
        send_heartbeat(states, 'b', 'a', 2.3)
        self.assertEqual(1, quorum.exclusive_version(states['a'], 2.3))
        exchange_heartbeats(states, 2.4, 3)
        self.assertEqual(2, quorum.exclusive_version(states['a'], 2.4))
        self.assertEqual(1, quorum.effective_version(states['a'], 2.4))

    def test_pending_change_needs_the_previous_attesters(self) -> None:
        """Guards against a change that only the new attesters promised."""
        states = started()
        following, _ = cell_record.with_hosts(record_of(), ('a', 'x'), None)
        states['x'] = quorum.initial_state('c', 'x', 'x1')
        for host in ('a', 'x'):
            states[host] = quorum.install_record(
                states[host], following, 1.0, True
            )
        for _ in range(3):
            send_heartbeat(states, 'a', 'x', 1.0)
            send_heartbeat(states, 'x', 'a', 1.0)
        self.assertFalse(quorum.is_attester_change_in_force(states['a']))
        self.assertEqual(0, quorum.adopted_version(states['a']))
        for _ in range(3):
            send_heartbeat(states, 'a', 'b', 1.1)
            send_heartbeat(states, 'b', 'a', 1.1)
        self.assertTrue(quorum.is_attester_change_in_force(states['a']))
        self.assertEqual(2, quorum.adopted_version(states['a']))

    def test_lost_hosts_count_as_promised(self) -> None:
        """Guards against a cell that waits for lost hosts."""
        state = started()['a']
        self.assertEqual(0, quorum.adopted_version(state))
        state = quorum.with_lost_hosts(state, frozenset({'b', 'd'}), 1.0)
        self.assertEqual(1, quorum.adopted_version(state))


class RecoveryTest(unittest.TestCase):
    def recover(self, hosts: tuple[str, ...], seen: int) -> bool:
        states = started(hosts)
        exchange_heartbeats(states, 1.0)
        states['a'] = quorum.initial_state('c', 'a', 'a2')
        for peer in hosts[1 : seen + 1]:
            send_heartbeat(states, 'a', peer, 2.0)
            send_heartbeat(states, peer, 'a', 2.0)
        states['a'] = quorum.install_record(
            states['a'], record_of(hosts), 2.0, False
        )
        return quorum.is_recovered(states['a'])

    def test_needs_a_majority_of_others(self) -> None:
        """Guards against recovery from peers that missed a version."""
        five = ('a', 'b', 'd', 'e', 'f')
        for hosts, seen, expected in (
            (HOSTS, 1, False),
            (HOSTS, 2, True),
            (five, 2, False),
            (five, 3, True),
            (('a', 'b'), 1, False),
            (('a',), 0, False),
        ):
            self.assertEqual(expected, self.recover(hosts, seen))

    def test_heartbeat_for_an_earlier_incarnation_is_not_counted(self) -> None:
        """Guards against recovery by heartbeats sent before the restart."""
        states = started()
        exchange_heartbeats(states, 1.0)
        late = []
        for peer in ('b', 'd'):
            states[peer], heartbeat = quorum.heartbeat_for(
                states[peer], 'a', 1.0, 1
            )
            late.append(heartbeat)
        state = quorum.initial_state('c', 'a', 'a2')
        state = quorum.install_record(state, record_of(), 2.0, False)
        for heartbeat in late:
            state = quorum.receive_heartbeat(state, heartbeat, 2.0)
        self.assertFalse(quorum.is_recovered(state))


class FailureDetectorTest(unittest.TestCase):
    def test_controller_follows_in_order(self) -> None:
        """Guards against a cell without a controller after a host loss."""
        states = started()
        exchange_heartbeats(states, 1.0)
        self.assertEqual('a', quorum.acting_controller(states['b'], 1.1))
        send_heartbeat(states, 'd', 'b', 1.5)
        self.assertEqual('b', quorum.acting_controller(states['b'], 1.6))
        self.assertEqual(
            ('b', 'd'), failure_detector.dispatch_hosts(states['b'], 1.6)
        )

    def test_silent_host_is_removed_only_with_a_blocking_set(self) -> None:
        """Guards against an isolated host that removes the healthy ones."""
        states = started()
        exchange_heartbeats(states, 1.0)
        for now in (3.0, 5.9, 6.1):
            send_heartbeat(states, 'a', 'b', now)
            send_heartbeat(states, 'b', 'a', now)
            removed = failure_detector.hosts_to_remove(states['a'], 0.0, now)
            self.assertEqual(('d',) if now > 6 else (), removed)
        removed = failure_detector.hosts_to_remove(states['a'], 0.0, 20.0)
        self.assertEqual((), removed)
        # After the partition, b sends first. The silence of d was part of the
        # partition.
        since = failure_detector.listening_since(states['a'], 0.0, 20.0)
        self.assertEqual(20.0, since)
        send_heartbeat(states, 'b', 'a', 20.1)
        since = failure_detector.listening_since(states['a'], since, 20.1)
        removed = failure_detector.hosts_to_remove(states['a'], since, 20.1)
        self.assertEqual((), removed)

    def test_pair_continues_with_one_host(self) -> None:
        """Guards against a two-host cell that stops when it loses one."""
        states = started(('a', 'b'))
        exchange_heartbeats(states, 1.0)
        remove = failure_detector.hosts_to_remove
        self.assertEqual((), remove(states['a'], 0.0, 1.6))
        self.assertEqual(('b',), remove(states['a'], 0.0, 1.9))
        # After a pause the host must listen again before it removes one.
        self.assertEqual((), remove(states['a'], 1.8, 1.9))
