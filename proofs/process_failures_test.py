"""Failures of the processes of a fleet: kills, stops, cuts and outages.

Every test sends requests of all ranks, repeatable or not, while something
fails. Afterwards it compares the outcomes that callers got with the runs that
upstreams recorded.
"""

from collections import abc
from concurrent import futures
import contextlib
import signal
import threading
import time
import typing
import unittest

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.record import record_store
from proofs import fleet_case
from standins import caller
from standins import fleet as fleet_module
from standins import relay

NORTH = fleet_module.Domain('htd-north', 'hetauda', 2, 2)
BALAJU = fleet_module.Domain('ktm-balaju', 'kathmandu', 3, 3)
# The targets of the design: a change is in force within 15 s, and a draining
# upstream gets no work after a few seconds.
IN_FORCE_S = 15.0
DRAIN_S = 3.0
FREEZE_S = 3.0
OUTAGE_S = 4.0
PARTITION_S = 3.0
PARTITION_DEADLINE_MS = 1000
# An entry host waits up to 250 ms beyond the deadline for an answer.
RESPONSE_MARGIN_MS = 500
RECOVERY_S = 5.0
# The minimum time to move a slot whose owner confirms no release.
MOVE_S = model.HOST_LEASE_S + model.GRANT_LEASE_S + model.CLOCK_DRIFT_MARGIN_S


class UpstreamLossTest(fleet_case.FleetTest):
    domains = (BALAJU, NORTH)

    def test_upstream_killed(self) -> None:
        """Guards against keys left without an owner after a crash."""
        target, slots = self.busiest_target(BALAJU.name)
        with self.load(11):
            lost_at = time.monotonic()
            self.upstream(target).popen.kill()
            self.await_served_again(
                'upstream killed', slots, self.hosts(), lost_at
            )
        self.start_upstream(target)
        self.await_healthy()
        self.check_outcomes()

    def test_upstream_stopped(self) -> None:
        """Guards against an upstream that resumes as owner of moved slots."""
        target, slots = self.busiest_target(BALAJU.name)
        popen = self.upstream(target).popen
        with self.load(12, seconds=6.0):
            lost_at = time.monotonic()
            popen.send_signal(signal.SIGSTOP)
            try:
                self.await_served_again(
                    'upstream stopped', slots, self.hosts(), lost_at
                )
            finally:
                popen.send_signal(signal.SIGCONT)
            resumed_ms = time.monotonic() * 1000
            moved = self.slots_by_target(BALAJU.name)
            self.assertFalse(set(slots) & set(moved.get(target, ())))
            self.await_healthy()
        # It may get slots back, but only under a new fence.
        record = self.record(BALAJU.name)
        for run in self.recorded_runs():
            if run['target'] != target or run['at_ms'] < resumed_ms:
                continue
            slot = model.SlotId(fleet_case.SERVICE, run['slot'])
            held = record.assignment_by_slot[slot]
            self.assertEqual((target, run['fence']), held[:2], run)
        self.check_outcomes()

    def test_upstream_replaced_at_once(self) -> None:
        """Guards against unserved keys when the owner restarts at once."""
        target, slots = self.busiest_target(BALAJU.name)
        with self.load(13, seconds=4.0):
            lost_at = fleet_module.replace_upstream(self.fleet, target)
            self.await_served_again(
                'upstream replaced',
                slots,
                self.hosts(),
                lost_at,
                MOVE_S,
            )
        self.await_healthy()
        self.check_outcomes()


class EntryHostLossTest(fleet_case.FleetTest):
    domains = (BALAJU, NORTH)

    def other_hosts(self, host: str) -> list[str]:
        return [each for each in self.hosts() if each != host]

    def start_writes(
        self, host: str, deadline_ms: int, executor: futures.Executor
    ) -> futures.Future:
        """Send writes through a host, retried through another host.

        A retry has the id of the first attempt. Returns once as many writes
        have started as there are upstreams.

        Returns:
          The future of the results.
        """
        self.configure_upstreams(service_ms=500)
        before = {each['request_id'] for each in self.recorded_runs()}
        calls = [
            self.plan_call(each, 'POST', deadline_ms)._replace(entry=0)
            for each in range(0, fleet_case.SLOTS, 2)
        ]
        sending = executor.submit(
            caller.send_calls,
            self.caller_addresses([host, *self.other_hosts(host)]),
            calls,
            threads=len(calls),
            attempts=2,
        )

        def have_started() -> bool:
            ids = {
                each['request_id'] for each in self.recorded_runs()
            } - before
            count = 0
            for call in calls:
                count += any(each.endswith(call.id_suffix) for each in ids)
            return count >= len(self.fleet.upstream_by_target)

        self.await_condition(have_started)
        self.configure_upstreams(service_ms=5)
        return sending

    def test_entry_host_killed(self) -> None:
        """Guards against slots that move when an entry host is lost."""
        before = self.record(BALAJU.name)
        # The acting controller, so that another host has to take over.
        host = before.hosts[0]
        slots = sorted(each.slot for each in before.assignment_by_slot)
        with self.load(21), futures.ThreadPoolExecutor(1) as executor:
            sending = self.start_writes(host, 3000, executor)
            lost_at = time.monotonic()
            self.fleet.daemon_by_host[host].popen.kill()
            self.await_served_again(
                'entry host killed', slots, self.other_hosts(host), lost_at
            )
            self.results += sending.result()
        fleet_module.start_daemon(self.fleet, host, self.domain_of(host))
        self.await_healthy()
        after = self.record(BALAJU.name)
        self.assertEqual(before.assignment_by_slot, after.assignment_by_slot)
        self.check_outcomes(connections_may_break=True)

    def test_entry_host_stopped(self) -> None:
        """Guards against a host that resumes and sends outdated requests."""
        before = self.record(BALAJU.name)
        host = before.hosts[0]
        popen = self.fleet.daemon_by_host[host].popen
        slots = sorted(each.slot for each in before.assignment_by_slot)
        with (
            self.load(22, seconds=6.0),
            futures.ThreadPoolExecutor(1) as executor,
        ):
            # Callers time out and retry the id before the host resumes.
            sending = self.start_writes(host, 700, executor)
            lost_at = time.monotonic()
            popen.send_signal(signal.SIGSTOP)
            try:
                self.await_served_again(
                    'entry host stopped',
                    slots,
                    self.other_hosts(host),
                    lost_at,
                )
                while time.monotonic() < lost_at + FREEZE_S:
                    others = self.other_hosts(host)
                    self.results += self.send_to_slots(slots, others, 'POST')
            finally:
                popen.send_signal(signal.SIGCONT)
            self.results += sending.result()
            self.assertIn(2, [each.attempts for each in self.results])
            self.await_healthy()
        after = self.record(BALAJU.name)
        # It must not remove the others, though it got no heartbeats while
        # it was stopped.
        self.assertEqual(before, after)
        self.check_outcomes(connections_may_break=True)

    def test_entry_host_terminated(self) -> None:
        """Guards against a shutdown that drops requests in flight."""
        host = self.hosts(BALAJU.name)[1]
        popen = self.fleet.daemon_by_host[host].popen
        self.configure_upstreams(service_ms=500)
        calls = caller.plan_calls(
            23, 12, (fleet_case.SERVICE,), fleet_case.KEYS, deadline_ms=10000
        )
        try:
            with futures.ThreadPoolExecutor(1) as executor:
                sending = executor.submit(
                    caller.send_calls,
                    self.caller_addresses([host]),
                    calls,
                    threads=len(calls),
                )
                self.await_condition(
                    lambda: self.count_accepted() == len(calls)
                )
                terminated_at = time.monotonic()
                popen.send_signal(signal.SIGTERM)
                self.results += sending.result()
            self.assertEqual(0, popen.wait(fleet_case.WAIT_LIMIT_S))
            self.record_seconds(
                'entry host terminated', time.monotonic() - terminated_at
            )
        finally:
            self.configure_upstreams(service_ms=5)
        for result in self.results:
            self.assertEqual(codes.SERVED, result.outcome, result)
        fleet_module.start_daemon(self.fleet, host, self.domain_of(host))
        self.await_healthy()
        self.check_outcomes()

    def count_accepted(self) -> int:
        """Return the number of requests queued or in flight on all hosts."""
        count = 0
        for daemon in self.fleet.daemon_by_host.values():
            answer = self.pool.request(
                'GET',
                f'http://{daemon.operators}/queues',
                headers={
                    'Authorization': f'Bearer {fleet_module.OPERATOR_KEY}'
                },
            )
            for queue in answer.json().values():
                count += queue['in_flight'] + sum(queue['waiting'].values())
        return count


class StoreLossTest(fleet_case.FleetTest):
    domains = (BALAJU, NORTH)

    def test_outage_hanging(self) -> None:
        """Guards against requests that wait for a store that hangs."""
        self.check_outage(31, 'hang', self.record(BALAJU.name).hosts[0])

    def test_outage_refusing(self) -> None:
        """Guards against requests that fail when the store refuses calls."""
        self.check_outage(32, '503', self.record(BALAJU.name).hosts[-1])

    def check_outage(self, seed: int, mode: str, host: str) -> None:
        target, slots = self.busiest_target(BALAJU.name)
        popen = self.fleet.daemon_by_host[host].popen
        others = [each for each in self.hosts() if each != host]
        with self.load(seed, others, OUTAGE_S + 2.0):
            self.set_store_fault(outage={'mode': mode})
            ends_at = time.monotonic() + OUTAGE_S
            try:
                lost_at = fleet_module.replace_upstream(self.fleet, target)
                self.await_served_again(
                    f'upstream replaced, store {mode}', slots, others, lost_at
                )
                popen.kill()
                popen.wait()
                lost_at = time.monotonic()
                fleet_module.start_daemon(
                    self.fleet, host, self.domain_of(host), registered=False
                )
                self.await_condition(lambda: self.is_ready(host))
                self.record_seconds(
                    f'entry host restarted, store {mode}',
                    time.monotonic() - lost_at,
                )
                self.await_served_again(
                    f'served by restarted host, store {mode}',
                    slots,
                    [host],
                    time.monotonic(),
                )
                while time.monotonic() < ends_at:
                    self.results += self.send_to_slots(
                        range(fleet_case.SLOTS), others, 'POST'
                    )
            finally:
                self.set_store_fault(outage=None)
            ended_at = time.monotonic()
            number = self.file_ticket_when_available(others[0])
            self.await_condition(lambda: self.is_in_force(number), IN_FORCE_S)
            self.record_seconds(
                f'caught up, store {mode}', time.monotonic() - ended_at
            )
        self.assertLessEqual(
            self.seconds_by_name[f'caught up, store {mode}'], IN_FORCE_S
        )
        self.await_healthy()
        self.check_outcomes(connections_may_break=True)

    def is_ready(self, host: str) -> bool:
        address = self.fleet.daemon_by_host[host].callers
        answer = self.pool.request('GET', f'http://{address}/readyz')
        return answer.status == 200

    def file_ticket_when_available(self, host: str) -> int:
        self.await_condition(lambda: self.newest_ticket() is not None)
        return self.file_ticket(self.rank_floors(0.06), host)

    def test_answer_lost_after_the_write(self) -> None:
        """Guards against a ticket filed twice or reported as failed."""
        host = self.hosts(BALAJU.name)[0]
        with self.load(33, seconds=2.0):
            for mode in ('close', '500'):
                newest = self.newest_ticket().number
                uid = f'lost-{mode}'
                self.set_store_fault(lost_answer={'mode': mode, 'calls': 1})
                status, answer = self.try_to_file_ticket(
                    self.rank_floors(0.07), host, newest, uid
                )
                self.assertEqual((201, newest + 1), (status, answer['number']))
                self.assertEqual({}, self.store_faults())
                numbers = self.ticket_numbers_of(uid)
                self.assertEqual([newest + 1], numbers)
                self.await_condition(
                    lambda: self.is_in_force(answer['number']),  # noqa: B023
                    IN_FORCE_S,
                )
        self.check_outcomes()

    def store_faults(self) -> dict[str, typing.Any]:
        url = f'http://{self.fleet.store.address}/faults'
        return self.pool.request('GET', url).json()

    def ticket_numbers_of(self, uid: str) -> list[int]:
        found = []
        for number in range(1, self.newest_ticket().number + 1):
            ticket = record_store.read_ticket(self.fleet.client, number).ok
            if ticket.uid == uid:
                found.append(ticket.number)
        return found

    def test_two_operators(self) -> None:
        """Guards against two tickets filed under the same number."""
        hosts = [self.hosts(BALAJU.name)[0], self.hosts(NORTH.name)[0]]
        with (
            self.load(34, seconds=2.0),
            futures.ThreadPoolExecutor(len(hosts)) as executor,
        ):
            for turn in range(5):
                newest = self.newest_ticket().number
                barrier = threading.Barrier(len(hosts))
                filings = [
                    executor.submit(
                        self.file_concurrently, barrier, host, newest, turn
                    )
                    for host in hosts
                ]
                answers = dict(each.result() for each in filings)
                self.assertEqual({201, 409}, set(answers))
                self.assertEqual(newest + 1, answers[201]['number'])
                refusal = answers[409]
                self.assertEqual(
                    [codes.TICKET_CONFLICT.number],
                    [each['number'] for each in refusal['problems']],
                )
                winner = self.newest_ticket()
                expected_current = winner._asdict()
                expected_current['touches'] = list(winner.touches)
                self.assertEqual(expected_current, refusal['current'])
                self.assertEqual(newest + 1, winner.number)
        self.check_outcomes()

    def file_concurrently(
        self, barrier: threading.Barrier, host: str, newest: int, turn: int
    ) -> tuple[int, dict[str, typing.Any]]:
        bulk = 0.05 + 0.01 * self.hosts().index(host)
        barrier.wait(fleet_case.WAIT_LIMIT_S)
        uid = f'both-{turn}-{host}'
        return self.try_to_file_ticket(
            self.rank_floors(bulk), host, newest, uid
        )


class TargetTest(fleet_case.FleetTest):
    domains = (BALAJU, NORTH)

    def test_target_drained(self) -> None:
        """Guards against new requests to a draining target."""
        target, _ = self.busiest_target(BALAJU.name)
        address = self.upstream(target).address
        host = self.hosts(BALAJU.name)[0]
        self.post(f'http://{address}/settings', {'service_ms': 200})
        before = len(self.recorded_runs())
        with self.load(41, seconds=DRAIN_S + 3.0, rate_per_s=30.0):
            self.await_condition(
                lambda: self.pool.request(
                    'GET', f'http://{address}/grant'
                ).json()['in_flight']
            )
            self.file_ticket(
                self.service_with_target_state(target, 'draining'), host
            )
            filed_ms = time.monotonic() * 1000
        runs = self.recorded_runs()[before:]
        last_ms = max(each['at_ms'] for each in runs)
        self.assertGreater(last_ms, filed_ms + DRAIN_S * 1000)
        at_target = [each for each in runs if each['target'] == target]
        last_ms = max(each['at_ms'] for each in at_target)
        self.record_seconds('target drained', (last_ms - filed_ms) / 1000)
        self.assertLessEqual(last_ms, filed_ms + DRAIN_S * 1000)
        ids = {each['request_id'] for each in at_target}
        for result in self.results:
            if result.request_id in ids:
                self.assertEqual(codes.SERVED, result.outcome, result)
        self.file_ticket(
            self.service_with_target_state(target, 'active'), host
        )
        self.post(f'http://{address}/settings', {'service_ms': 5})
        self.await_healthy()
        self.check_outcomes()

    def test_request_that_crashes(self) -> None:
        """Guards against a request that crashes every upstream in turn."""
        target, slots = self.busiest_target(BALAJU.name)
        hosts = self.hosts(BALAJU.name)
        cell = [
            each
            for each in self.fleet.upstream_by_target
            if BALAJU.name in each
        ]
        others = [each for each in range(fleet_case.SLOTS) if each != slots[0]]
        crashed: list[str] = []
        outcomes = []
        with self.load(42, seconds=7.0):
            while not outcomes or outcomes[-1] == codes.UNKNOWN:
                self.assertLess(
                    len(outcomes), 3, 'the request still crashes upstreams'
                )
                outcome, code = self.send_crashing(hosts[0], slots[0])
                outcomes.append(outcome)
                crashed = [each for each in cell if self.has_exited(each)]
                self.results += self.send_to_slots(slots[:1], hosts[:1])
                self.assertEqual(codes.SERVED, self.results[-1].outcome)
            self.assertEqual(
                [codes.UNKNOWN, codes.UNKNOWN, codes.NOT_RUN], outcomes
            )
            self.assertEqual(2, len(crashed))
            for host in hosts:
                self.assertEqual(
                    (codes.NOT_RUN, codes.QUARANTINED.number),
                    self.send_crashing(host, slots[0]),
                )
            self.await_served_again(
                'other keys', others, self.hosts(), time.monotonic()
            )
        self.assertEqual(
            crashed, [each for each in cell if self.has_exited(each)]
        )
        for each in crashed:
            self.start_upstream(each)
        self.await_healthy()
        self.check_outcomes()

    def has_exited(self, target: str) -> bool:
        return self.upstream(target).popen.poll() is not None

    def send_crashing(self, host: str, slot: int) -> tuple[str, int]:
        """Send a request that crashes the upstream that runs it.

        Returns:
          The outcome and the result code.
        """
        request_id = (
            f'{time.time_ns() // 1_000_000}-crash-{next(self.serials):08}'
        )
        answer = self.pool.request(
            'POST',
            f'http://{self.fleet.daemon_by_host[host].callers}'
            f'/v1/{fleet_case.SERVICE}/{self.key_of(slot)}',
            body=b'the same each time',
            headers={
                'X-Request-Id': request_id,
                'X-Request-Deadline-Ms': '5000',
                fleet_case.CRASH_HEADER: '1',
            },
        )
        ran = request_id in {
            each['request_id'] for each in self.recorded_runs()
        }
        outcome = answer.headers['X-Outcome']
        self.assertEqual(outcome == codes.UNKNOWN, ran)
        return outcome, int(answer.headers['X-Result-Code'])


class PartitionTest(fleet_case.FleetTest):
    """A cut between two domains, each with an attester in the other."""

    domains = (BALAJU._replace(hosts=2, upstreams=2), NORTH)

    @classmethod
    def open_fleet(cls) -> contextlib.AbstractContextManager:
        cls.network = cls.enterClassContext(relay.running())

        def relay_address(daemon: fleet_module.Daemon) -> str:
            return relay.start_relay(
                cls.network, daemon.popen.pid, daemon.domain, daemon.peers
            )

        return fleet_module.running(
            cls.domains,
            (fleet_case.SERVICE,),
            fleet_case.SLOTS,
            peer_address_of=relay_address,
        )

    def test_domains_cut_off(self) -> None:
        """Guards against a domain that needs another one to serve its keys."""
        slots_by_cell = {
            each.name: sorted(
                slot.slot for slot in self.record(each.name).assignment_by_slot
            )
            for each in self.domains
        }
        with self.load(51, seconds=8.0):
            partitioned_at = time.monotonic()
            relay.partition(self.network)
            try:
                self.check_partitioned(slots_by_cell, partitioned_at)
            finally:
                relay.heal(self.network)
            healed_at = time.monotonic()
            self.await_condition(
                lambda: self.serves_all_slots(slots_by_cell), RECOVERY_S
            )
            self.record_seconds('cut healed', time.monotonic() - healed_at)
        self.await_healthy()
        self.check_outcomes()

    def check_partitioned(
        self, slots_by_cell: dict[str, list[int]], partitioned_at: float
    ) -> None:
        for cell, slots in slots_by_cell.items():
            self.await_served_again(
                f'own keys of {cell}', slots, self.hosts(cell), partitioned_at
            )
        while time.monotonic() < partitioned_at + PARTITION_S:
            for cell, slots in slots_by_cell.items():
                for method in ('GET', 'POST'):
                    own = self.send_to_slots(slots, self.hosts(cell), method)
                    self.results += own
                    for result in own:
                        self.assertEqual(codes.SERVED, result.outcome, result)
                    self.check_refused(cell, slots, method)

    def check_refused(
        self, cell: str, slots: abc.Sequence[int], method: str
    ) -> None:
        """Check that requests for a cell fail in time at the other domain."""
        hosts = [each for each in self.hosts() if each not in self.hosts(cell)]
        results = self.send_to_slots(
            slots, hosts, method, PARTITION_DEADLINE_MS
        )
        self.results += results
        for result in results:
            self.assertIn(
                result.outcome, (codes.NOT_RUN, codes.UNKNOWN), result
            )
            self.assertLessEqual(
                result.latency_ms,
                PARTITION_DEADLINE_MS + RESPONSE_MARGIN_MS,
                result,
            )

    def serves_all_slots(self, slots_by_cell: dict[str, list[int]]) -> bool:
        for cell, slots in slots_by_cell.items():
            hosts = [
                each for each in self.hosts() if each not in self.hosts(cell)
            ]
            results = self.send_to_slots(slots, hosts, 'POST', 500)
            self.results += results
            for result in results:
                if result.outcome != codes.SERVED:
                    return False
        return True


if __name__ == '__main__':
    unittest.main()
