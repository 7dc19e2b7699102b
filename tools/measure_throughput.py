"""Measures requests through daemons: local, one forward, another cell.

Upstreams have no service time and do not check fences, so that the same
request can be sent to them directly for comparison.
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
LOAD_PROCESSES = 4
CONNECTIONS = (1, 2, 4, 8, 16, 32)
STEP_S = 1.5
SEQUENTIAL_CALLS = 400
WARM_UP_CALLS = 100
TIMEOUT_S = 10.0
LATENCY_LIMIT_S = 0.010
SETTLING_S = 1.0

DIRECT = 'direct call to the upstream'


class RequestPath(typing.NamedTuple):
    """A path of requests through the hosts.

    Attributes:
      name: A description of the path.
      entry: The entry host.
      dispatching: The host that sends the requests to the upstream.
      keys: Keys whose requests take this path.
    """

    name: str
    entry: str
    dispatching: str
    keys: tuple[str, ...]


class LoadResult(typing.NamedTuple):
    """The result of one load process.

    Attributes:
      served_s: The latencies of served requests.
      refused: The number of other responses.
    """

    served_s: list[float]
    refused: int


class Step(typing.NamedTuple):
    """The result with one number of connections.

    Attributes:
      connections: The number of connections.
      rate_per_s: The rate of served requests.
      summary: The latencies of served requests.
      refused: The number of other responses.
      processor_by_host: Seconds of processor time per request.
      link_bytes_by_host: Bytes sent on links per request.
    """

    connections: int
    rate_per_s: float
    summary: measuring.TimeSummary
    refused: int
    processor_by_host: dict[str, float]
    link_bytes_by_host: dict[str, float]


def main() -> None:
    """Print the figures of each path."""
    measuring.emit_load()
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(
            measuring.running(
                DOMAINS, (SERVICE,), upstream_options=UPSTREAM_OPTIONS
            )
        )
        context = multiprocessing.get_context('spawn')
        executor = stack.enter_context(
            futures.ProcessPoolExecutor(LOAD_PROCESSES, context)
        )
        measuring.file_first_ticket(fleet)
        measuring.wait_for_owners(fleet)
        paths = _choose_paths(fleet)
        time.sleep(SETTLING_S)
        idle_mib_by_host = _resident_mib(fleet)
        for path in paths:
            _measure_latency(fleet, path)
        for path in paths:
            _measure_rates(fleet, executor, path)
        for host, size in _resident_mib(fleet).items():
            measuring.emit(
                f'resident memory of {host} after the load',
                size,
                'MiB',
                f'{idle_mib_by_host[host]:.1f} MiB before; 1 process',
            )


def _resident_mib(fleet: fleet_module.Fleet) -> dict[str, float]:
    return {
        host: measuring.read_usage(each.popen.pid).resident_bytes / 2**20
        for host, each in fleet.daemon_by_host.items()
    }


def _choose_paths(fleet: fleet_module.Fleet) -> tuple[RequestPath, ...]:
    """Choose the paths, with keys for each dispatching host."""
    keys_by_host: dict[str, list[str]] = {
        each: [] for each in fleet.daemon_by_host
    }
    number = 0
    while any(len(each) < KEYS for each in keys_by_host.values()):
        key = f'key-{number}'
        number += 1
        owner = _owner(fleet, key)
        hosts = [
            each
            for each, daemon in fleet.daemon_by_host.items()
            if daemon.domain == owner['cell']
        ]
        target = _owner(fleet, key, owner['cell'])['target']
        host = hashing.rendezvous(target, hosts, 1)[0]
        if len(keys_by_host[host]) < KEYS:
            keys_by_host[host].append(key)
    north = tuple(keys_by_host['north-1'])
    south = tuple(keys_by_host['south-1'])
    return (
        RequestPath('local dispatch', 'north-1', 'north-1', north),
        RequestPath(
            'one forward within the cell', 'north-2', 'north-1', north
        ),
        RequestPath(
            'one forward to the other cell', 'north-1', 'south-1', south
        ),
    )


def _owner(
    fleet: fleet_module.Fleet, key: str, cell: str = ''
) -> dict[str, typing.Any]:
    for daemon in fleet.daemon_by_host.values():
        if cell not in ('', daemon.domain):
            continue
        response = fleet.pool.request(
            'GET',
            f'http://{daemon.operators}/owner/{SERVICE}/{key}',
            headers={'Authorization': f'Bearer {fleet_module.OPERATOR_KEY}'},
        )
        return json.loads(response.data)
    raise ValueError(cell)


def _measure_latency(fleet: fleet_module.Fleet, path: RequestPath) -> None:
    """Compare direct and routed calls of one caller, sent alternately."""
    entry = fleet.daemon_by_host[path.entry].callers
    cell = fleet.daemon_by_host[path.dispatching].domain
    key = path.keys[0]
    target = _owner(fleet, key, cell)['target']
    upstream = fleet.upstream_by_target[target].address
    direct_s: list[float] = []
    routed_s: list[float] = []
    with contextlib.ExitStack() as stack:
        routed = stack.enter_context(_connection(entry))
        direct = stack.enter_context(_connection(upstream))
        for number in range(WARM_UP_CALLS + SEQUENTIAL_CALLS):
            direct_call_s = _call(direct, f'/keys/{SERVICE}/{key}')[0]
            routed_call_s, served = _call(routed, f'/v1/{SERVICE}/{key}')
            if number < WARM_UP_CALLS or not served:
                continue
            direct_s.append(direct_call_s)
            routed_s.append(routed_call_s)
    setup = f'{path.name}; 1 caller, {len(routed_s)} calls each way'
    direct_summary = measuring.summarize_times(direct_s)
    routed_summary = measuring.summarize_times(routed_s)
    for name, routed_percentile_s, direct_percentile_s in (
        ('median', routed_summary.p50_s, direct_summary.p50_s),
        ('p99', routed_summary.p99_s, direct_summary.p99_s),
    ):
        measuring.emit(
            f'{DIRECT}, {name}', direct_percentile_s * 1000, 'ms', setup
        )
        measuring.emit(
            f'routed call, {name}', routed_percentile_s * 1000, 'ms', setup
        )
        measuring.emit(
            f'latency added, {name}',
            (routed_percentile_s - direct_percentile_s) * 1000,
            'ms',
            setup,
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
    started_at = time.perf_counter()
    connection.request('GET', path)
    response = connection.getresponse()
    response.read()
    duration_s = time.perf_counter() - started_at
    return duration_s, response.headers.get('X-Outcome') == 'served'


def run_load(
    address: str, keys: tuple[str, ...], connections: int, seconds: float
) -> LoadResult:
    """Send requests without pause over several connections.

    It runs in a process of its own.

    Args:
      address: host:port of the entry host.
      keys: The keys, requested in turn.
      connections: The number of connections.
      seconds: The duration of the load.

    Returns:
      The latencies of served requests, and the number of others.
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
                duration_s, served = _call(connection, path)
                if served:
                    served_s.append(duration_s)
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
    return LoadResult(served_s, len(refused))


def _measure_rates(
    fleet: fleet_module.Fleet,
    executor: futures.ProcessPoolExecutor,
    path: RequestPath,
) -> None:
    steps = []
    for connections in CONNECTIONS:
        steps.append(_run_step(fleet, executor, path, connections))
    fastest = max(steps, key=lambda each: each.rate_per_s)
    _report_step(path, 'highest rate', fastest)
    steps_within_limit = [
        each for each in steps if each.summary.p99_s <= LATENCY_LIMIT_S
    ]
    if steps_within_limit:
        best = max(steps_within_limit, key=lambda each: each.rate_per_s)
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
    path: RequestPath,
    connections: int,
) -> Step:
    address = fleet.daemon_by_host[path.entry].callers
    processes = min(LOAD_PROCESSES, connections)
    before = _processor_s(fleet)
    sent_before = measure_control.read_sent_traffic(fleet)
    started_at = time.monotonic()
    pending = [
        executor.submit(
            run_load, address, path.keys, connections // processes, STEP_S
        )
        for _ in range(processes)
    ]
    results = [each.result() for each in pending]
    seconds = time.monotonic() - started_at
    after = _processor_s(fleet)
    sent_after = measure_control.read_sent_traffic(fleet)
    times = [duration_s for each in results for duration_s in each.served_s]
    refused = sum(each.refused for each in results)
    request_count = len(times) + refused
    processor_by_host = {}
    link_bytes_by_host = {}
    for host in (path.entry, path.dispatching):
        processor_by_host[host] = (after[host] - before[host]) / request_count
        socket_key = (fleet.daemon_by_host[host].popen.pid, 'link')
        sent_bytes = measure_control.wire_bytes(sent_after[socket_key])
        sent_bytes -= measure_control.wire_bytes(sent_before[socket_key])
        link_bytes_by_host[host] = sent_bytes / request_count
    rate_per_s = len(times) / max(seconds, STEP_S)
    return Step(
        connections,
        rate_per_s,
        measuring.summarize_times(times),
        refused,
        processor_by_host,
        link_bytes_by_host,
    )


def _processor_s(fleet: fleet_module.Fleet) -> dict[str, float]:
    return {
        host: measuring.read_usage(each.popen.pid).processor_s
        for host, each in fleet.daemon_by_host.items()
    }


def _report_step(path: RequestPath, name: str, step: Step) -> None:
    setup = (
        f'{path.name}; {step.connections} connections, '
        f'{step.summary.count} served, {step.refused} refused'
    )
    measuring.emit(name, step.rate_per_s, '1/s', setup)
    measuring.emit(f'{name}: p99', step.summary.p99_s * 1000, 'ms', setup)
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
