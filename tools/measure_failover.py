"""Measures how long keys are unavailable to callers after failures.

The same failures are injected into two cells of three hosts at the same time.
A thread for each key sends one request after the other; the unavailable time
of a key is the longest time between two served responses around the failure.
"""

from collections import abc
import contextlib
import json
import signal
import threading
import time
import typing

import urllib3

from amaranthcrank.core import hashing
from standins import fleet as fleet_module
from tools import measuring

DOMAINS = (
    fleet_module.Domain('north', 'one', 3, 4),
    fleet_module.Domain('south', 'two', 3, 4),
)
SERVICE = 'soaklog'
SLOTS = 64
KEYS_PER_CELL = 16
# Short, so that a request without a response does not hide the recovery.
DEADLINE_MS = 150
PROBE_PAUSE_S = 0.03
REQUEST_TIMEOUT_S = 1.0
OBSERVATION_S = 2.8
# Shorter, as no key moves when a host fails.
HOST_OBSERVATION_S = 1.6
OUTAGE_OBSERVATION_S = 3.0
PAUSE_BETWEEN_FAILURES_S = 0.4
REPETITIONS_BY_KIND = {
    'upstream SIGKILL': 3,
    'upstream SIGSTOP': 3,
    'entry host SIGKILL': 2,
    'acting controller SIGKILL': 2,
    'acting controller and upstream SIGKILL together': 1,
}
OUTAGE_KINDS = (
    'upstream SIGKILL',
    'upstream SIGSTOP',
    'entry host SIGKILL',
    'acting controller SIGKILL',
)
SETUP = (
    '2 cells of 3 hosts and 4 upstreams, 16 keys a cell probed every '
    f'{PROBE_PAUSE_S * 1000:.0f} ms with {DEADLINE_MS} ms deadlines'
)


class Probe:
    """A key and the times at which its requests were served.

    Attributes:
      cell: The home cell of the key.
      key: The key.
      served_at: The times of served responses, monotonic seconds; only the
        thread of the probe appends to it.
    """

    def __init__(self, cell: str, key: str) -> None:
        self.cell = cell
        self.key = key
        self.served_at: list[float] = []


class Failure(typing.NamedTuple):
    """A failure that was injected; times are monotonic seconds.

    Attributes:
      kind: The kind of failure.
      at: When it was injected.
      until: When its observation ended.
      returned_at: When the store was available again, None without an outage.
      affected: The keys that another host or target had to serve.
      others: The other keys of the cell.
      controller_s: The time until another host acted as controller, None if
        the controller did not fail.
    """

    kind: str
    at: float
    until: float
    returned_at: float | None
    affected: tuple[Probe, ...]
    others: tuple[Probe, ...]
    controller_s: float | None


class Measurement(typing.NamedTuple):
    """The running measurement.

    Attributes:
      fleet: The deployment.
      probes: The probe of each key.
      stopping: Set to end the probes.
    """

    fleet: fleet_module.Fleet
    probes: tuple[Probe, ...]
    stopping: threading.Event


def main() -> None:
    """Inject the failures and print the figures."""
    measuring.emit_load()
    with measuring.running(DOMAINS, (SERVICE,), SLOTS) as fleet:
        measuring.file_first_ticket(fleet)
        measuring.wait_for_owners(fleet)
        measurement = Measurement(
            fleet, _choose_probes(fleet), threading.Event()
        )
        with _probing(measurement):
            failures = _inject_failures(measurement)
    for kind in REPETITIONS_BY_KIND:
        _report_store_up(
            kind, [each for each in failures if each.kind == kind]
        )
    for kind in OUTAGE_KINDS:
        _report_store_down(kind, failures)


def _choose_probes(fleet: fleet_module.Fleet) -> tuple[Probe, ...]:
    """Choose the first keys of each cell; the same in every run."""
    probes_by_cell: dict[str, list[Probe]] = {
        each.name: [] for each in DOMAINS
    }
    number = 0
    while any(len(each) < KEYS_PER_CELL for each in probes_by_cell.values()):
        key = f'key-{number}'
        number += 1
        probes = probes_by_cell[_owner(fleet, key, '')['cell']]
        if len(probes) < KEYS_PER_CELL:
            probes.append(Probe(_owner(fleet, key, '')['cell'], key))
    probes_of_all_cells = []
    for probes in probes_by_cell.values():
        probes_of_all_cells.extend(probes)
    return tuple(probes_of_all_cells)


def _owner(
    fleet: fleet_module.Fleet, key: str, excluded_host: str, cell: str = ''
) -> dict[str, typing.Any]:
    """Ask a host for the owner of a key.

    Args:
      fleet: The deployment.
      key: The key.
      excluded_host: A host that is not to be asked, empty for none.
      cell: The cell of the host to ask, empty for any.
    """
    for host, daemon in fleet.daemon_by_host.items():
        if host == excluded_host or cell not in ('', daemon.domain):
            continue
        response = fleet.pool.request(
            'GET',
            f'http://{daemon.operators}/owner/{SERVICE}/{key}',
            headers={'Authorization': f'Bearer {fleet_module.OPERATOR_KEY}'},
        )
        return json.loads(response.data)
    raise ValueError(excluded_host)


@contextlib.contextmanager
def _probing(measurement: Measurement) -> abc.Iterator[None]:
    threads = []
    for number, probe in enumerate(measurement.probes):
        thread = threading.Thread(
            target=_run_probe, args=(measurement, probe, number)
        )
        thread.start()
        threads.append(thread)
    try:
        yield
    finally:
        measurement.stopping.set()
        for thread in threads:
            thread.join()


def _run_probe(
    measurement: Measurement, probe: Probe, host_index: int
) -> None:
    """Request a key repeatedly; on an error, switch to the next host."""
    hosts = [
        each
        for each, daemon in measurement.fleet.daemon_by_host.items()
        if daemon.domain == probe.cell
    ]
    headers = {
        'X-Request-Deadline-Ms': str(DEADLINE_MS),
        'X-Request-Repeatable': 'true',
        'X-Request-Id': '',
    }
    number = 0
    with urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S) as pool:
        while not measurement.stopping.wait(PROBE_PAUSE_S):
            daemon = measurement.fleet.daemon_by_host[
                hosts[host_index % len(hosts)]
            ]
            url = f'http://{daemon.callers}/v1/{SERVICE}/{probe.key}'
            number += 1
            now_ms = time.time_ns() // 1_000_000
            headers['X-Request-Id'] = f'{now_ms}-{number:08d}'
            # Each request has a different body, as a request that is in flight
            # during two failures would be quarantined for 600 s.
            body = str(number).encode()
            try:
                response = pool.request(
                    'POST', url, body=body, headers=headers
                )
            except (urllib3.exceptions.HTTPError, OSError):
                host_index += 1
                continue
            if response.headers.get('X-Outcome') == 'served':
                probe.served_at.append(time.monotonic())


def _inject_failures(measurement: Measurement) -> list[Failure]:
    failures: list[Failure] = []
    for kind, repetitions in REPETITIONS_BY_KIND.items():
        for number in range(repetitions):
            _fail_in_both_cells(measurement, kind, number, False, failures)
    for kind in OUTAGE_KINDS:
        _fail_in_both_cells(measurement, kind, 0, True, failures)
    return failures


def _fail_in_both_cells(
    measurement: Measurement,
    kind: str,
    number: int,
    outage: bool,
    failures: list[Failure],
) -> None:
    """Inject a failure into each cell at the same time."""
    if outage:
        _set_outage(measurement.fleet, True)
    barrier = threading.Barrier(len(DOMAINS))
    errors: list[BaseException] = []

    def run(domain: fleet_module.Domain) -> None:
        try:
            failures.append(
                _inject_failure(
                    measurement, domain, kind, number, outage, barrier
                )
            )
        except BaseException as error:
            barrier.abort()
            errors.append(error)

    threads = [threading.Thread(target=run, args=(each,)) for each in DOMAINS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]
    measuring.wait_for_owners(measurement.fleet)
    time.sleep(PAUSE_BETWEEN_FAILURES_S)


def _set_outage(fleet: fleet_module.Fleet, is_down: bool) -> None:
    setting = {'mode': '503'} if is_down else None
    fleet.pool.request(
        'POST',
        f'http://{fleet.store.address}/faults',
        body=json.dumps({'outage': setting}).encode(),
    )


def _inject_failure(
    measurement: Measurement,
    domain: fleet_module.Domain,
    kind: str,
    number: int,
    outage: bool,
    barrier: threading.Barrier,
) -> Failure:
    fleet = measurement.fleet
    host, target = _choose_failing(fleet, domain, kind, number)
    affected, others = _split_keys(measurement, domain, host, target)
    if outage:
        time.sleep(PAUSE_BETWEEN_FAILURES_S)
    barrier.wait()
    at = time.monotonic()
    is_stopped = kind == 'upstream SIGSTOP'
    if target:
        popen = fleet.upstream_by_target[target].popen
        popen.send_signal(signal.SIGSTOP if is_stopped else signal.SIGKILL)
    if host:
        fleet.daemon_by_host[host].popen.kill()
    controller_s = None
    if kind.startswith('acting controller'):
        controller_s = _wait_for_controller(fleet, domain.name, host, at)
    observation_s = OBSERVATION_S if target else HOST_OBSERVATION_S
    if outage:
        observation_s = OUTAGE_OBSERVATION_S
    time.sleep(max(0.0, at + observation_s - time.monotonic()))
    returned_at = None
    if outage:
        if host:
            # The host restarts without the store, with the state that it
            # gets from other hosts.
            fleet_module.start_daemon(fleet, host, domain)
        barrier.wait()
        returned_at = time.monotonic()
        _set_outage(fleet, False)
        time.sleep(OBSERVATION_S)
    until = time.monotonic()
    _recover(fleet, domain, host, target, is_stopped, outage)
    return Failure(
        kind, at, until, returned_at, affected, others, controller_s
    )


def _choose_failing(
    fleet: fleet_module.Fleet,
    domain: fleet_module.Domain,
    kind: str,
    number: int,
) -> tuple[str, str]:
    """Choose the host and the target to fail, each empty for none."""
    target = f'{SERVICE}-{domain.name}-{number % domain.upstreams + 1}'
    if kind.startswith('upstream'):
        return '', target
    controller = measuring.cell_status(fleet, domain.name)['controller']
    if kind == 'acting controller SIGKILL':
        return controller, ''
    if kind == 'entry host SIGKILL':
        # A host that dispatches for a target but is not the controller.
        for each in range(domain.upstreams):
            target = f'{SERVICE}-{domain.name}-{each + 1}'
            host = _dispatching_host(fleet, domain, target)
            if host != controller:
                return host, ''
        raise RuntimeError('the acting controller dispatches for every target')
    return controller, target


def _dispatching_host(
    fleet: fleet_module.Fleet, domain: fleet_module.Domain, target: str
) -> str:
    hosts = [
        each
        for each, daemon in fleet.daemon_by_host.items()
        if daemon.domain == domain.name
    ]
    return hashing.rendezvous(target, hosts, 1)[0]


def _split_keys(
    measurement: Measurement,
    domain: fleet_module.Domain,
    host: str,
    target: str,
) -> tuple[tuple[Probe, ...], tuple[Probe, ...]]:
    """Divide the keys of a cell into affected and other ones."""
    affected = []
    others = []
    for probe in measurement.probes:
        if probe.cell != domain.name:
            continue
        owner = _owner(measurement.fleet, probe.key, '', domain.name)['target']
        is_affected = owner == target
        if host and not target:
            is_affected = (
                _dispatching_host(measurement.fleet, domain, owner) == host
            )
        (affected if is_affected else others).append(probe)
    return tuple(affected), tuple(others)


def _wait_for_controller(
    fleet: fleet_module.Fleet, cell: str, failed_host: str, at: float
) -> float:
    fleet_module.wait_until(
        lambda: (
            measuring.cell_status(fleet, cell, failed_host)['controller']
            not in ('', failed_host)
        )
    )
    return time.monotonic() - at


def _recover(
    fleet: fleet_module.Fleet,
    domain: fleet_module.Domain,
    host: str,
    target: str,
    is_stopped: bool,
    outage: bool,
) -> None:
    if target and is_stopped:
        fleet.upstream_by_target[target].popen.send_signal(signal.SIGCONT)
    elif target:
        old_process = fleet.upstream_by_target[target]
        old_process.popen.wait()
        fleet_module.start_upstream(
            fleet, target, SERVICE, domain.name, old_process.address
        )
    if host and not outage:
        fleet_module.start_daemon(fleet, host, domain)


def _longest_gap_s(probe: Probe, begin_at: float, end_at: float) -> float:
    """Return the longest time between served responses in an interval."""
    longest_s = 0.0
    last_at = begin_at
    for at in (*probe.served_at, end_at):
        if at <= begin_at:
            last_at = at
            continue
        longest_s = max(longest_s, min(at, end_at) - last_at)
        last_at = at
        if at >= end_at:
            break
    return longest_s


def _report_times(name: str, times: list[float], failure_count: int) -> None:
    setup = f'{SETUP}; {len(times)} samples of {failure_count} losses'
    if not times:
        measuring.emit(f'{name}, p50', None, 's', setup)
        return
    summary = measuring.summarize_times(times)
    measuring.emit(f'{name}, p50', summary.p50_s, 's', setup)
    measuring.emit(f'{name}, p99', summary.p99_s, 's', setup)
    measuring.emit(f'{name}, max', summary.longest_s, 's', setup)


def _report_store_up(kind: str, failures: list[Failure]) -> None:
    up = [each for each in failures if each.returned_at is None]
    times = []
    for failure in up:
        for probe in failure.affected:
            times.append(_longest_gap_s(probe, failure.at, failure.until))
    name = f'unavailable after {kind}, store up'
    _report_times(name, times, len(up))
    _report_controller(kind, 'store up', up)


def _report_controller(kind: str, store: str, failures: list[Failure]) -> None:
    times = [each.controller_s for each in failures if each.controller_s]
    if times:
        measuring.emit(
            f'until another host acts after {kind}, {store}, max',
            max(times),
            's',
            f'{SETUP}; {len(times)} losses; seen in `status`',
        )


def _report_store_down(kind: str, failures: list[Failure]) -> None:
    """Report unavailable times during an outage of the store and after it.

    A failed owner is not replaced while the store is down, as the change of
    the owner cannot be recorded.
    """
    down = [
        each
        for each in failures
        if each.kind == kind and each.returned_at is not None
    ]
    others = []
    during = []
    after = []
    for failure in down:
        for probe in failure.others:
            others.append(
                _longest_gap_s(probe, failure.at, failure.returned_at)
            )
        for probe in failure.affected:
            during.append(
                _longest_gap_s(probe, failure.at, failure.returned_at)
            )
            after.append(
                _first_served_after(probe, failure) - failure.returned_at
            )
    if kind.startswith('upstream'):
        _report_times(
            f'not replaced by design while the store is down, {kind}, watched',
            during,
            len(down),
        )
        _report_times(
            f'unavailable after {kind}, from the return of the store',
            after,
            len(down),
        )
    else:
        name = f'unavailable after {kind}, store down'
        _report_times(name, during, len(down))
    _report_times(
        f'keys of other owners after {kind}, store down', others, len(down)
    )
    _report_controller(kind, 'store down', down)


def _first_served_after(probe: Probe, failure: Failure) -> float:
    for at in probe.served_at:
        if at > failure.returned_at:
            return at
    return failure.until


if __name__ == '__main__':
    main()
