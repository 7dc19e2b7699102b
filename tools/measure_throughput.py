"""Measures requests through daemons: local, one forward, another cell.

Upstreams take no service time and check no fences, so that the same call
can be sent to them directly for comparison.
"""

from collections import abc
from concurrent import futures
import contextlib
import http.client
import json
import multiprocessing
import threading
import time
import typing

from amaranthcrank.core import hashing
from standins import fleet as fleet_module
from tools import measure_control
from tools import measuring

SERVICE = 'soaklog'
DOMAINS = (
    fleet_module.Domain('north', 'one', 2, 8),
    fleet_module.Domain('south', 'two', 1, 4),
)
UPSTREAM_OPTIONS = (
    *measuring.NO_RECORDER_OPTIONS,
    '--service-ms',
    '0',
    '--unfenced',
)
KEYS = 40
LOADERS = 4
CONNECTIONS = (1, 2, 4, 8, 16, 32)
STEP_S = 1.5
SEQUENTIAL_CALLS = 400
WARM_CALLS = 100
TIMEOUT_S = 10.0
LIMIT_S = 0.010
SETTLE_S = 1.0

DIRECT = 'direct call to the upstream'


class Path(typing.NamedTuple):
    """One way of a request.

    Attributes:
      name: What happens on the way.
      entry: The entry host.
      dispatching: The host that sends to the upstream.
      keys: Keys whose requests take this way.
    """

    name: str
    entry: str
    dispatching: str
    keys: tuple[str, ...]


class Loaded(typing.NamedTuple):
    """What one loader saw."""

    served_s: list[float]
    refused: int


class Step(typing.NamedTuple):
    """One number of connections."""

    connections: int
    rate: float
    spread: measuring.TimeSummary
    refused: int
    processor_by_host: dict[str, float]
    link_bytes_by_host: dict[str, float]


def main() -> None:
    """Print the figures of each way."""
    measuring.emit_load()
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(
            measuring.running(
                DOMAINS, (SERVICE,), upstream_options=UPSTREAM_OPTIONS
            )
        )
        context = multiprocessing.get_context('spawn')
        executor = stack.enter_context(
            futures.ProcessPoolExecutor(LOADERS, context)
        )
        measuring.file_first_ticket(fleet)
        measuring.wait_for_owners(fleet)
        paths = _choose_paths(fleet)
        time.sleep(SETTLE_S)
        idle = _resident(fleet)
        for path in paths:
            _measure_latency(fleet, path)
        for path in paths:
            _measure_rate(fleet, executor, path)
        for host, size in _resident(fleet).items():
            measuring.emit(
                f'resident memory of {host} after the load',
                size,
                'MiB',
                f'{idle[host]:.1f} MiB before; 1 process',
            )


def _resident(fleet: fleet_module.Fleet) -> dict[str, float]:
    return {
        host: measuring.read_usage(each.popen.pid).resident_bytes / 2**20
        for host, each in fleet.daemon_by_host.items()
    }


def _choose_paths(fleet: fleet_module.Fleet) -> tuple[Path, ...]:
    """Sort keys by the host that dispatches for them."""
    keys_by_host: dict[str, list[str]] = {
        each: [] for each in fleet.daemon_by_host
    }
    number = 0
    while any(len(each) < KEYS for each in keys_by_host.values()):
        key = f'key-{number}'
        number += 1
        shown = _owner(fleet, key)
        hosts = [
            each
            for each, daemon in fleet.daemon_by_host.items()
            if daemon.domain == shown['cell']
        ]
        target = _owner(fleet, key, shown['cell'])['target']
        host = hashing.rendezvous(target, hosts, 1)[0]
        if len(keys_by_host[host]) < KEYS:
            keys_by_host[host].append(key)
    north = tuple(keys_by_host['north-1'])
    south = tuple(keys_by_host['south-1'])
    return (
        Path('local dispatch', 'north-1', 'north-1', north),
        Path('one forward within the cell', 'north-2', 'north-1', north),
        Path('one forward to the other cell', 'north-1', 'south-1', south),
    )


def _owner(
    fleet: fleet_module.Fleet, key: str, cell: str = ''
) -> dict[str, typing.Any]:
    for daemon in fleet.daemon_by_host.values():
        if cell not in ('', daemon.domain):
            continue
        answer = fleet.pool.request(
            'GET',
            f'http://{daemon.operators}/owner/{SERVICE}/{key}',
            headers={'Authorization': f'Bearer {fleet_module.OPERATOR_KEY}'},
        )
        return json.loads(answer.data)
    raise ValueError(cell)


def _measure_latency(fleet: fleet_module.Fleet, path: Path) -> None:
    """Alternate direct and routed calls of one caller."""
    entry = fleet.daemon_by_host[path.entry].callers
    cell = fleet.daemon_by_host[path.dispatching].domain
    key = path.keys[0]
    target = _owner(fleet, key, cell)['target']
    upstream = fleet.upstream_by_target[target].address
    direct: list[float] = []
    routed: list[float] = []
    with contextlib.ExitStack() as stack:
        near = stack.enter_context(_connection(entry))
        far = stack.enter_context(_connection(upstream))
        for number in range(WARM_CALLS + SEQUENTIAL_CALLS):
            taken = _call(far, f'/keys/{SERVICE}/{key}')[0]
            through, served = _call(near, f'/v1/{SERVICE}/{key}')
            if number < WARM_CALLS or not served:
                continue
            direct.append(taken)
            routed.append(through)
    setup = f'{path.name}; 1 caller, {len(routed)} calls each way'
    plain = measuring.summarize_times(direct)
    spread = measuring.summarize_times(routed)
    for name, own, other in (
        ('median', spread.p50_s, plain.p50_s),
        ('p99', spread.p99_s, plain.p99_s),
    ):
        measuring.emit(f'{DIRECT}, {name}', other * 1000, 'ms', setup)
        measuring.emit(f'routed call, {name}', own * 1000, 'ms', setup)
        measuring.emit(
            f'latency added, {name}', (own - other) * 1000, 'ms', setup
        )


@contextlib.contextmanager
def _connection(address: str) -> abc.Iterator[http.client.HTTPConnection]:
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        yield connection
    finally:
        connection.close()


def _call(
    connection: http.client.HTTPConnection, path: str
) -> tuple[float, bool]:
    begun = time.perf_counter()
    connection.request('GET', path)
    answer = connection.getresponse()
    answer.read()
    taken = time.perf_counter() - begun
    return taken, answer.headers.get('X-Outcome') == 'served'


def load(
    address: str, keys: tuple[str, ...], connections: int, seconds: float
) -> Loaded:
    """Call without pause over some connections; runs in a process of its own.

    Args:
      address: host:port of the entry host.
      keys: The keys, taken in turn.
      connections: How many.
      seconds: How long.

    Returns:
      Latencies of served calls, and how many others there were.
    """
    served_s: list[float] = []
    refused: list[int] = []

    def run(first: int) -> None:
        number = first
        end_at = time.monotonic() + seconds
        with _connection(address) as connection:
            while time.monotonic() < end_at:
                number += 1
                path = f'/v1/{SERVICE}/{keys[number % len(keys)]}'
                taken, served = _call(connection, path)
                if served:
                    served_s.append(taken)
                else:
                    refused.append(1)

    threads = [
        threading.Thread(target=run, args=(each,))
        for each in range(connections)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return Loaded(served_s, len(refused))


def _measure_rate(
    fleet: fleet_module.Fleet,
    executor: futures.ProcessPoolExecutor,
    path: Path,
) -> None:
    steps = []
    for connections in CONNECTIONS:
        steps.append(_run_step(fleet, executor, path, connections))
    fastest = max(steps, key=lambda each: each.rate)
    _report_step(path, 'highest rate', fastest)
    within = [each for each in steps if each.spread.p99_s <= LIMIT_S]
    if within:
        best = max(within, key=lambda each: each.rate)
        _report_step(path, 'highest rate with p99 within 10 ms', best)
        return
    measuring.emit(
        'highest rate with p99 within 10 ms',
        0.0,
        '1/s',
        f'{path.name}; none of {CONNECTIONS} connections had it',
    )


def _run_step(
    fleet: fleet_module.Fleet,
    executor: futures.ProcessPoolExecutor,
    path: Path,
    connections: int,
) -> Step:
    address = fleet.daemon_by_host[path.entry].callers
    loaders = min(LOADERS, connections)
    before = _processor(fleet)
    sent_before = measure_control.read_sent_traffic(fleet)
    begun = time.monotonic()
    pending = [
        executor.submit(
            load, address, path.keys, connections // loaders, STEP_S
        )
        for _ in range(loaders)
    ]
    found = [each.result() for each in pending]
    seconds = time.monotonic() - begun
    after = _processor(fleet)
    sent_after = measure_control.read_sent_traffic(fleet)
    times = [taken for each in found for taken in each.served_s]
    refused = sum(each.refused for each in found)
    count = len(times) + refused
    used = {}
    link_bytes = {}
    for host in (path.entry, path.dispatching):
        used[host] = (after[host] - before[host]) / count
        name = (fleet.daemon_by_host[host].popen.pid, 'link')
        wire = measure_control.wire_bytes(sent_after[name])
        wire -= measure_control.wire_bytes(sent_before[name])
        link_bytes[host] = wire / count
    rate = len(times) / max(seconds, STEP_S)
    return Step(
        connections,
        rate,
        measuring.summarize_times(times),
        refused,
        used,
        link_bytes,
    )


def _processor(fleet: fleet_module.Fleet) -> dict[str, float]:
    return {
        host: measuring.read_usage(each.popen.pid).processor_s
        for host, each in fleet.daemon_by_host.items()
    }


def _report_step(path: Path, name: str, step: Step) -> None:
    setup = (
        f'{path.name}; {step.connections} connections, '
        f'{step.spread.count} served, {step.refused} refused'
    )
    measuring.emit(name, step.rate, '1/s', setup)
    measuring.emit(f'{name}: p99', step.spread.p99_s * 1000, 'ms', setup)
    for host, seconds in step.processor_by_host.items():
        role = 'entry host' if host == path.entry else 'dispatching host'
        if path.entry == path.dispatching:
            role = 'the host'
        measuring.emit(
            f'{name}: processor time of {role} per request',
            seconds * 1000,
            'ms',
            setup,
        )
    if path.entry == path.dispatching:
        return
    for host, size in step.link_bytes_by_host.items():
        what = 'request' if host == path.entry else 'answer'
        measuring.emit(
            f'{name}: bytes on the link per {what}', size, 'B', setup
        )


if __name__ == '__main__':
    main()
