"""Measures how long keys are unavailable after losses, from callers' side.

Two cells of three hosts each run the same losses side by side. A prober for
each key sends one lookup after the other; the unavailable time of a key is
the longest time between two served answers around the loss.
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
# A short deadline keeps one lookup that hangs from hiding the recovery.
DEADLINE_MS = 150
PROBE_PAUSE_S = 0.03
GIVE_UP_S = 1.0
WATCH_S = 2.8
# The loss of a host moves no key.
HOST_WATCH_S = 1.6
OUTAGE_WATCH_S = 3.0
QUIET_S = 0.4
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
    """One key and the times at which it was served.

    Attributes:
      cell: The home cell of the key.
      key: The key.
      served_at: When answers came, monotonic seconds; only its own thread
        appends.
    """

    def __init__(self, cell: str, key: str) -> None:
        self.cell = cell
        self.key = key
        self.served_at: list[float] = []


class Loss(typing.NamedTuple):
    """One loss that was injected.

    Attributes:
      kind: What was lost.
      at: When, monotonic seconds.
      until: When the watch of it ended.
      returned_at: When the store answered again, None without an outage.
      affected: The keys that had to be served by something else.
      others: The other keys of the cell.
      controller_s: Until another host acted as controller, None where the
        controller was not lost.
    """

    kind: str
    at: float
    until: float
    returned_at: float | None
    affected: tuple[Probe, ...]
    others: tuple[Probe, ...]
    controller_s: float | None


class Rig(typing.NamedTuple):
    """The running set-up.

    Attributes:
      fleet: The processes.
      probes: One for each key.
      stopping: Ends the probes.
    """

    fleet: fleet_module.Fleet
    probes: tuple[Probe, ...]
    stopping: threading.Event


def main() -> None:
    """Inject the losses and print the figures."""
    measuring.emit_load()
    with measuring.running(DOMAINS, (SERVICE,), SLOTS) as fleet:
        measuring.file_first_ticket(fleet)
        measuring.wait_for_owners(fleet)
        rig = Rig(fleet, _choose_keys(fleet), threading.Event())
        with _probing(rig):
            losses = _run_losses(rig)
    for kind in REPETITIONS_BY_KIND:
        _report_store_up(kind, [each for each in losses if each.kind == kind])
    for kind in OUTAGE_KINDS:
        _report_store_down(kind, losses)


def _choose_keys(fleet: fleet_module.Fleet) -> tuple[Probe, ...]:
    """Take the first keys of each cell, so that a run is repeatable."""
    chosen: dict[str, list[Probe]] = {each.name: [] for each in DOMAINS}
    number = 0
    while any(len(each) < KEYS_PER_CELL for each in chosen.values()):
        key = f'key-{number}'
        number += 1
        probes = chosen[_owner(fleet, key, '')['cell']]
        if len(probes) < KEYS_PER_CELL:
            probes.append(Probe(_owner(fleet, key, '')['cell'], key))
    found = []
    for probes in chosen.values():
        found.extend(probes)
    return tuple(found)


def _owner(
    fleet: fleet_module.Fleet, key: str, but: str, cell: str = ''
) -> dict[str, typing.Any]:
    """Ask a host other than `but`, of the cell if one is named."""
    for host, daemon in fleet.daemon_by_host.items():
        if host == but or cell not in ('', daemon.domain):
            continue
        answer = fleet.pool.request(
            'GET',
            f'http://{daemon.operators}/owner/{SERVICE}/{key}',
            headers={'Authorization': f'Bearer {fleet_module.OPERATOR_KEY}'},
        )
        return json.loads(answer.data)
    raise ValueError(but)


@contextlib.contextmanager
def _probing(rig: Rig) -> abc.Iterator[None]:
    threads = []
    for number, probe in enumerate(rig.probes):
        thread = threading.Thread(target=_probe, args=(rig, probe, number))
        thread.start()
        threads.append(thread)
    try:
        yield
    finally:
        rig.stopping.set()
        for thread in threads:
            thread.join()


def _probe(rig: Rig, probe: Probe, entry: int) -> None:
    """Look a key up again and again; on a broken connection, elsewhere."""
    hosts = [
        each
        for each, daemon in rig.fleet.daemon_by_host.items()
        if daemon.domain == probe.cell
    ]
    headers = {
        'X-Request-Deadline-Ms': str(DEADLINE_MS),
        'X-Request-Repeatable': 'true',
        'X-Request-Id': '',
    }
    number = 0
    with urllib3.PoolManager(retries=False, timeout=GIVE_UP_S) as pool:
        while not rig.stopping.wait(PROBE_PAUSE_S):
            daemon = rig.fleet.daemon_by_host[hosts[entry % len(hosts)]]
            url = f'http://{daemon.callers}/v1/{SERVICE}/{probe.key}'
            number += 1
            now_ms = time.time_ns() // 1_000_000
            headers['X-Request-Id'] = f'{now_ms}-{number:08d}'
            # A body of its own: two losses that both meet the same lookup
            # of a key put it in quarantine for 600 s.
            body = str(number).encode()
            try:
                answer = pool.request('POST', url, body=body, headers=headers)
            except (urllib3.exceptions.HTTPError, OSError):
                entry += 1
                continue
            if answer.headers.get('X-Outcome') == 'served':
                probe.served_at.append(time.monotonic())


def _run_losses(rig: Rig) -> list[Loss]:
    losses: list[Loss] = []
    for kind, repetitions in REPETITIONS_BY_KIND.items():
        for number in range(repetitions):
            _in_both_cells(rig, kind, number, False, losses)
    for kind in OUTAGE_KINDS:
        _in_both_cells(rig, kind, 0, True, losses)
    return losses


def _in_both_cells(
    rig: Rig, kind: str, number: int, outage: bool, losses: list[Loss]
) -> None:
    """Inject one loss in each cell at the same time."""
    if outage:
        _set_outage(rig.fleet, True)
    barrier = threading.Barrier(len(DOMAINS))
    failed: list[BaseException] = []

    def run(domain: fleet_module.Domain) -> None:
        try:
            losses.append(_lose(rig, domain, kind, number, outage, barrier))
        except BaseException as error:
            barrier.abort()
            failed.append(error)

    threads = [threading.Thread(target=run, args=(each,)) for each in DOMAINS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if failed:
        raise failed[0]
    measuring.wait_for_owners(rig.fleet)
    time.sleep(QUIET_S)


def _set_outage(fleet: fleet_module.Fleet, on: bool) -> None:
    setting = {'mode': '503'} if on else None
    fleet.pool.request(
        'POST',
        f'http://{fleet.store.address}/faults',
        body=json.dumps({'outage': setting}).encode(),
    )


def _lose(
    rig: Rig,
    domain: fleet_module.Domain,
    kind: str,
    number: int,
    outage: bool,
    barrier: threading.Barrier,
) -> Loss:
    fleet = rig.fleet
    host, target = _victims(fleet, domain, kind, number)
    affected, others = _split_keys(rig, domain, host, target)
    if outage:
        time.sleep(QUIET_S)
    barrier.wait()
    at = time.monotonic()
    stopped = kind == 'upstream SIGSTOP'
    if target:
        popen = fleet.upstream_by_target[target].popen
        popen.send_signal(signal.SIGSTOP if stopped else signal.SIGKILL)
    if host:
        fleet.daemon_by_host[host].popen.kill()
    controller_s = None
    if kind.startswith('acting controller'):
        controller_s = _await_controller(fleet, domain.name, host, at)
    watch_s = WATCH_S if target else HOST_WATCH_S
    if outage:
        watch_s = OUTAGE_WATCH_S
    time.sleep(max(0.0, at + watch_s - time.monotonic()))
    returned_at = None
    if outage:
        if host:
            # Restarted from what the others remember, without the store.
            fleet_module.start_daemon(fleet, host, domain)
        barrier.wait()
        returned_at = time.monotonic()
        _set_outage(fleet, False)
        time.sleep(WATCH_S)
    until = time.monotonic()
    _recover(fleet, domain, host, target, stopped, outage)
    return Loss(kind, at, until, returned_at, affected, others, controller_s)


def _victims(
    fleet: fleet_module.Fleet,
    domain: fleet_module.Domain,
    kind: str,
    number: int,
) -> tuple[str, str]:
    """Choose what is lost: a host or empty, and an upstream or empty."""
    target = f'{SERVICE}-{domain.name}-{number % domain.upstreams + 1}'
    if kind.startswith('upstream'):
        return '', target
    controller = measuring.cell_status(fleet, domain.name)['controller']
    if kind == 'acting controller SIGKILL':
        return controller, ''
    if kind == 'entry host SIGKILL':
        # Not the acting controller, but one that dispatches for a target.
        for each in range(domain.upstreams):
            target = f'{SERVICE}-{domain.name}-{each + 1}'
            host = _dispatching(fleet, domain, target)
            if host != controller:
                return host, ''
        raise RuntimeError('the controller dispatches for every target')
    return controller, target


def _dispatching(
    fleet: fleet_module.Fleet, domain: fleet_module.Domain, target: str
) -> str:
    hosts = [
        each
        for each, daemon in fleet.daemon_by_host.items()
        if daemon.domain == domain.name
    ]
    return hashing.rendezvous(target, hosts, 1)[0]


def _split_keys(
    rig: Rig, domain: fleet_module.Domain, host: str, target: str
) -> tuple[tuple[Probe, ...], tuple[Probe, ...]]:
    """Divide the keys of a cell into those that are affected and others."""
    affected = []
    others = []
    for probe in rig.probes:
        if probe.cell != domain.name:
            continue
        owner = _owner(rig.fleet, probe.key, '', domain.name)['target']
        lost = owner == target
        if host and not target:
            lost = _dispatching(rig.fleet, domain, owner) == host
        (affected if lost else others).append(probe)
    return tuple(affected), tuple(others)


def _await_controller(
    fleet: fleet_module.Fleet, cell: str, lost: str, at: float
) -> float:
    fleet_module.wait_until(
        lambda: (
            measuring.cell_status(fleet, cell, lost)['controller']
            not in ('', lost)
        )
    )
    return time.monotonic() - at


def _recover(
    fleet: fleet_module.Fleet,
    domain: fleet_module.Domain,
    host: str,
    target: str,
    stopped: bool,
    outage: bool,
) -> None:
    if target and stopped:
        fleet.upstream_by_target[target].popen.send_signal(signal.SIGCONT)
    elif target:
        old = fleet.upstream_by_target[target]
        old.popen.wait()
        fleet_module.start_upstream(
            fleet, target, SERVICE, domain.name, old.address
        )
    if host and not outage:
        fleet_module.start_daemon(fleet, host, domain)


def _gap_s(probe: Probe, begin: float, end: float) -> float:
    """Return the longest time between served answers that begin to end."""
    longest = 0.0
    last = begin
    for at in (*probe.served_at, end):
        if at <= begin:
            last = at
            continue
        longest = max(longest, min(at, end) - last)
        last = at
        if at >= end:
            break
    return longest


def _report_times(name: str, times: list[float], losses: int) -> None:
    setup = f'{SETUP}; {len(times)} samples of {losses} losses'
    if not times:
        measuring.emit(f'{name}, p50', None, 's', setup)
        return
    spread = measuring.summarize_times(times)
    measuring.emit(f'{name}, p50', spread.p50_s, 's', setup)
    measuring.emit(f'{name}, p99', spread.p99_s, 's', setup)
    measuring.emit(f'{name}, max', spread.longest_s, 's', setup)


def _report_store_up(kind: str, losses: list[Loss]) -> None:
    up = [each for each in losses if each.returned_at is None]
    times = []
    for loss in up:
        for probe in loss.affected:
            times.append(_gap_s(probe, loss.at, loss.until))
    name = f'unavailable after {kind}, store up'
    _report_times(name, times, len(up))
    _report_controller(kind, 'store up', up)


def _report_controller(kind: str, store: str, losses: list[Loss]) -> None:
    times = [each.controller_s for each in losses if each.controller_s]
    if times:
        measuring.emit(
            f'until another host acts after {kind}, {store}, max',
            max(times),
            's',
            f'{SETUP}; {len(times)} losses; seen in `status`',
        )


def _report_store_down(kind: str, losses: list[Loss]) -> None:
    """Report what stays unavailable, and the time after the store returns.

    A lost owner is not replaced while the store is down: the takeover could
    not be recorded.
    """
    down = [
        each
        for each in losses
        if each.kind == kind and each.returned_at is not None
    ]
    others = []
    during = []
    after = []
    for loss in down:
        for probe in loss.others:
            others.append(_gap_s(probe, loss.at, loss.returned_at))
        for probe in loss.affected:
            during.append(_gap_s(probe, loss.at, loss.returned_at))
            after.append(_first_after(probe, loss) - loss.returned_at)
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


def _first_after(probe: Probe, loss: Loss) -> float:
    for at in probe.served_at:
        if at > loss.returned_at:
            return at
    return loss.until


if __name__ == '__main__':
    main()
