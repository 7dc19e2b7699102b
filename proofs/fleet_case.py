"""Base class of tests that run against a fleet of real processes."""

from collections import abc
from concurrent import futures
import contextlib
import itertools
import json
import sys
import time
import typing
import unittest

import urllib3

from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.record import record_store
from amaranthcrank.record import tickets
from standins import caller
from standins import checks
from standins import fleet as fleet_module

SERVICE = 'soaklog'
SLOTS = 32
KEYS = 200
CRASH_HEADER = 'X-Crash'
# The target of the design: a key is served again within 2 s of a loss.
SERVED_AGAIN_S = 2.0
WAIT_LIMIT_S = 20.0
RATE_PER_S = 60.0
LOAD_DEADLINE_MS = 3000
LOAD_THREADS = 24


class FleetTest(unittest.TestCase):
    """A fleet shared by the tests of a class.

    Each test restarts what it stopped and waits until the fleet is healthy.

    Attributes:
      domains: The failure domains; subclasses set them.
      fleet: The running processes.
      seconds_by_name: Durations measured by the tests, printed at the end.
      results: The results of the requests sent by a test.
    """

    domains: tuple[fleet_module.Domain, ...] = ()

    @classmethod
    def setUpClass(cls) -> None:
        if not cls.domains:
            raise unittest.SkipTest('a base class')
        cls.seconds_by_name: dict[str, float] = {}
        cls.serials = itertools.count(1)
        cls.pool = cls.enterClassContext(
            urllib3.PoolManager(retries=False, timeout=20, maxsize=32)
        )
        cls.fleet = cls.enterClassContext(cls.open_fleet())
        cls.file_ticket(
            {**fleet_module.initial_touches(cls.fleet)}, cls.hosts()[0]
        )
        cls.await_healthy()

    @classmethod
    def open_fleet(cls) -> contextlib.AbstractContextManager:
        return fleet_module.running(
            cls.domains,
            (SERVICE,),
            SLOTS,
            ('--crash-header', CRASH_HEADER),
        )

    @classmethod
    def tearDownClass(cls) -> None:
        if cls.domains:
            print(json.dumps(cls.seconds_by_name), file=sys.stderr)

    def setUp(self) -> None:
        self.results: list[caller.CallResult] = []
        self.await_healthy()
        # Requests that may not be repeated are answered `unknown` until the
        # ledgers of new hosts and slots have begun.
        self.await_condition(self.serves_writes)

    # Processes.

    @classmethod
    def hosts(cls, cell: str = '') -> list[str]:
        found = []
        for daemon in cls.fleet.daemon_by_host.values():
            if cell in ('', daemon.domain):
                found.append(daemon.host)
        return sorted(found)

    @classmethod
    def caller_addresses(cls, hosts: abc.Iterable[str]) -> list[str]:
        return [cls.fleet.daemon_by_host[each].callers for each in hosts]

    @classmethod
    def record(cls, cell: str) -> model.CellRecord:
        return record_store.read_record(cls.fleet.client, cell).ok

    @classmethod
    def slots_by_target(cls, cell: str) -> dict[str, list[int]]:
        slots_by_target: dict[str, list[int]] = {}
        for slot, each in cls.record(cell).assignment_by_slot.items():
            slots_by_target.setdefault(each.target, []).append(slot.slot)
        return slots_by_target

    @classmethod
    def busiest_target(cls, cell: str) -> tuple[str, list[int]]:
        """Return the target with the most slots in a cell, and its slots."""
        slots_by_target = cls.slots_by_target(cell)
        target = max(
            sorted(slots_by_target),
            key=lambda each: len(slots_by_target[each]),
        )
        return target, slots_by_target[target]

    @staticmethod
    def await_condition(
        condition: abc.Callable[[], bool], limit_s: float = WAIT_LIMIT_S
    ) -> None:
        fleet_module.wait_until(condition, limit_s)

    @classmethod
    def await_healthy(cls) -> None:
        """Wait until all processes are ready and all slots have an owner."""
        try:
            cls.await_condition(cls.is_healthy)
        except TimeoutError:
            hosts = cls.hosts()
            seen = [fleet_module.get_status(cls.fleet, each) for each in hosts]
            shown = [
                (each['host'], each['ready'], each['lagging'], each['cells'])
                for each in seen
            ]
            raise AssertionError(json.dumps(shown[0])) from None

    @classmethod
    def is_healthy(cls) -> bool:
        for host in cls.hosts():
            document = fleet_module.get_status(cls.fleet, host)
            if not document['ready'] or document['lagging']:
                return False
            if not all(
                cls.is_cell_healthy(document, each) for each in cls.domains
            ):
                return False
        return True

    @classmethod
    def is_cell_healthy(
        cls, document: dict[str, typing.Any], domain: fleet_module.Domain
    ) -> bool:
        cell = document['cells'].get(domain.name)
        if cell is None or cell['effective'] != cell['version']:
            return False
        states = {each['state'] for each in cell['targets'].values()}
        owned = sum(each['slots'] for each in cell['targets'].values())
        serving = [each for each in cell['hosts'].values() if each['ready']]
        return (
            states == {'active'}
            and owned == SLOTS // len(cls.domains)
            and len(serving) == domain.hosts
        )

    def upstream(self, target: str) -> typing.Any:
        return self.fleet.upstream_by_target[target]

    def domain_of(self, host: str) -> fleet_module.Domain:
        name = self.fleet.daemon_by_host[host].domain
        return next(each for each in self.domains if each.name == name)

    def start_upstream(self, target: str) -> None:
        section = self.fleet.section_by_target[target]
        fleet_module.start_upstream(
            self.fleet,
            target,
            section['service'],
            section['cell'],
            self.upstream(target).address,
        )

    def configure_upstreams(self, **settings: float) -> None:
        for process in self.fleet.upstream_by_target.values():
            self.post(f'http://{process.address}/settings', settings)

    def set_store_fault(self, **setting: typing.Any) -> None:
        self.post(f'http://{self.fleet.store.address}/faults', setting)

    def post(self, url: str, content: typing.Any) -> None:
        answer = self.pool.request(
            'POST', url, body=json.dumps(content).encode()
        )
        self.assertEqual(200, answer.status, answer.data)

    # Tickets.

    @classmethod
    def newest_ticket(cls) -> tickets.Ticket | None:
        return record_store.read_newest_ticket(cls.fleet.client).ok

    @classmethod
    def try_to_file_ticket(
        cls, touches: dict[str, typing.Any], host: str, expected: int, uid: str
    ) -> tuple[int, dict[str, typing.Any]]:
        document = {
            'author': 'test',
            'uid': uid,
            'expected': expected,
            'touches': touches,
        }
        answer = cls.pool.request(
            'POST',
            f'http://{cls.fleet.daemon_by_host[host].operators}/tickets',
            body=json.dumps(document).encode(),
            headers={'Authorization': f'Bearer {fleet_module.OPERATOR_KEY}'},
        )
        return answer.status, json.loads(answer.data)

    @classmethod
    def file_ticket(cls, touches: dict[str, typing.Any], host: str) -> int:
        newest = cls.newest_ticket()
        expected = newest.number if newest else 0
        uid = f'uid-{next(cls.serials)}'
        status, answer = cls.try_to_file_ticket(touches, host, expected, uid)
        if status != 201:
            raise AssertionError(f'{status} {answer}')
        return answer['number']

    @staticmethod
    def rank_floors(bulk: float) -> dict[str, typing.Any]:
        return {'ranks': {'normal': {'floor': 0.15}, 'bulk': {'floor': bulk}}}

    def service_with_target_state(self, target: str, state: str) -> dict:
        service = json.loads(
            json.dumps(self.newest_ticket().state['services'][SERVICE])
        )
        service['targets'][target]['state'] = state
        return {'services': {SERVICE: service}}

    def is_in_force(self, number: int) -> bool:
        for host in self.hosts():
            document = fleet_module.get_status(self.fleet, host)
            if document['ticket'] < number:
                return False
        return True

    # Requests.

    @classmethod
    def key_of(cls, slot: int) -> str:
        for number in range(KEYS):
            key = f'key-{number}'
            if hashing.slot_of(SERVICE, key, SLOTS) == slot:
                return key
        raise AssertionError(f'no key has slot {slot}')

    @classmethod
    def plan_call(
        cls, slot: int, method: str, deadline_ms: int = 5000
    ) -> caller.PlannedCall:
        number = next(cls.serials)
        return caller.PlannedCall(
            number,
            f'single-{number:08}',
            SERVICE,
            cls.key_of(slot),
            model.RANKS[number % len(model.RANKS)],
            method == 'GET',
            method,
            deadline_ms,
            b'',
            number,
        )

    @classmethod
    def send_to_slots(
        cls,
        slots: abc.Sequence[int],
        hosts: abc.Sequence[str],
        method: str = 'GET',
        deadline_ms: int = 5000,
    ) -> tuple[caller.CallResult, ...]:
        """Send one request for each slot, all concurrently."""
        calls = [cls.plan_call(each, method, deadline_ms) for each in slots]
        return caller.send_calls(
            cls.caller_addresses(hosts), calls, threads=len(calls)
        )

    @classmethod
    def serves_writes(cls) -> bool:
        results = cls.send_to_slots(range(SLOTS), cls.hosts(), 'POST')
        return all(each.outcome == codes.SERVED for each in results)

    def await_served_again(
        self,
        name: str,
        slots: abc.Sequence[int],
        hosts: abc.Sequence[str],
        lost_at: float,
        limit_s: float = SERVED_AGAIN_S,
    ) -> float:
        """Check that each slot is served again within a time limit.

        A request that arrives during the loss is queued inside the system,
        so its answer shows when the slot is served again.

        Returns:
          The seconds from the loss to the last answer.
        """
        results = self.send_to_slots(slots, hosts)
        self.results.extend(results)
        for result in results:
            self.assertEqual(codes.SERVED, result.outcome, result)
        seconds = time.monotonic() - lost_at
        self.record_seconds(name, seconds)
        self.assertLessEqual(seconds, limit_s, name)
        return seconds

    def record_seconds(self, name: str, seconds: float) -> None:
        self.seconds_by_name[name] = round(seconds, 3)

    @contextlib.contextmanager
    def load(
        self,
        seed: int,
        hosts: abc.Sequence[str] | None = None,
        seconds: float = 5.0,
        rate_per_s: float = RATE_PER_S,
    ) -> abc.Iterator[None]:
        """Send requests of all ranks in the background of a `with` block.

        The block starts once requests have run and waits at its end for the
        last result. A request without an answer is sent again to another
        host, under the same id.
        """
        calls = caller.plan_calls(
            seed,
            int(seconds * rate_per_s),
            (SERVICE,),
            KEYS,
            deadline_ms=LOAD_DEADLINE_MS,
        )
        # A seed gives the same id suffixes in each test; the prefix keeps
        # the request ids unique.
        prefix = next(self.serials)
        calls = [
            each._replace(id_suffix=f'{prefix}-{each.id_suffix}')
            for each in calls
        ]
        before = len(self.recorded_runs())
        with futures.ThreadPoolExecutor(1) as executor:
            sending = executor.submit(
                caller.send_calls,
                self.caller_addresses(hosts or self.hosts()),
                calls,
                threads=LOAD_THREADS,
                attempts=2,
                rate_per_s=rate_per_s,
            )
            self.await_condition(
                lambda: len(self.recorded_runs()) > before + 20
            )
            yield
            results = sending.result()
        self.results.extend(results)
        shown: dict[str, int] = {}
        for result in results:
            name = f'{result.outcome or result.error[:20]}/{result.code}'
            shown[name] = shown.get(name, 0) + 1
        print(self.id().rpartition('.')[2], shown, file=sys.stderr)

    def recorded_runs(self) -> list[dict[str, typing.Any]]:
        return fleet_module.get_records(self.fleet)['ran']

    # Checks.

    def check_outcomes(self, connections_may_break: bool = False) -> None:
        """Compare the outcomes that callers got with the recorded runs.

        Args:
          connections_may_break: Whether a host was lost, so that a caller
            may have got a connection error instead of an answer.
        """
        recorded = fleet_module.get_records(self.fleet)
        ran_ids = {each['request_id'] for each in recorded['ran']}
        for result in self.results:
            ran = result.request_id in ran_ids
            self.assertIsNot(False, result.response_matches, result)
            if result.outcome == codes.SERVED:
                self.assertTrue(
                    ran, f'reported as served but did not run: {result}'
                )
            elif result.outcome == codes.NOT_RUN:
                self.assertFalse(ran, f'reported as not run but ran: {result}')
            elif result.outcome != codes.UNKNOWN:
                self.assertTrue(connections_may_break, result)
        self.assertEqual({}, checks.repeated_runs(recorded['ran']))
        self.assertEqual([], checks.overlapping_holds(recorded['holds']))
        self.assertEqual([], runs_under_old_fence(recorded['ran']))

    def served_ratio(self) -> float:
        served = [e for e in self.results if e.outcome == codes.SERVED]
        return len(served) / len(self.results)


def runs_under_old_fence(
    ran: abc.Iterable[dict[str, typing.Any]],
) -> list[dict[str, typing.Any]]:
    """Return runs of a slot that follow a run under a higher fence."""
    fence_by_slot: dict[tuple[str, int], int] = {}
    found = []
    for run in sorted(ran, key=lambda each: each['at_ms']):
        slot = run['service'], run['slot']
        highest = max(fence_by_slot.get(slot, 0), run['fence'])
        if run['fence'] < highest:
            found.append(run)
        fence_by_slot[slot] = highest
    return found
