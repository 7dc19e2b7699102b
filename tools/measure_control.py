"""Measures the cost of control without requests, and the time of a ticket.

The deployments have no callers. Sent bytes are those that the kernel counts
for each socket, plus the headers of each segment.
"""

from collections import abc
from concurrent import futures
import json
import re
import subprocess
import sys
import time
import typing

from standins import fleet as fleet_module
from tools import measuring

SERVICE = 'soaklog'
WARM_UP_S = 2.0
# Hosts read the host list every 10 s, so at most once in this time.
OBSERVATION_S = 8.0
# IPv4 and TCP with timestamps; the link layer is not counted.
HEADER_BYTES = 52
CELL = 'north'
TICKETS = 4
MOVED_SLOTS = 16
# Time until the records of all cells have been updated for a ticket.
PROPAGATION_S = 1.8
MIB = 2**20


class Deployment(typing.NamedTuple):
    """The size of a deployment.

    Attributes:
      hosts: The hosts of each cell.
      slots: The slots of each cell.
      targets: The targets of each cell.
      cells: The cells that run.
      remote_cells: The cells that only the ticket contains, declared lost.
    """

    hosts: int
    slots: int
    targets: int
    cells: int = 1
    remote_cells: int = 0


BASE_SLOTS = 64
BASE_TARGETS = 4
HOST_DEPLOYMENTS = tuple(
    Deployment(hosts, BASE_SLOTS, BASE_TARGETS) for hosts in (1, 2, 3, 5, 12)
)
SLOT_DEPLOYMENT = Deployment(3, 4096, BASE_TARGETS)
TARGET_DEPLOYMENT = Deployment(3, BASE_SLOTS, 16)
BASE_DEPLOYMENT = Deployment(3, BASE_SLOTS, BASE_TARGETS)
# The same cell with links to hosts of other cells.
CELL_DEPLOYMENT = BASE_DEPLOYMENT._replace(cells=4)
# The same cell, with a ticket as large as that of the whole deployment for
# which design.md specifies the capacity.
REMOTE_CELLS = 139
REMOTE_TARGETS_PER_CELL = 15
REMOTE_SLOTS = 16_000
TICKET_DEPLOYMENT = BASE_DEPLOYMENT._replace(remote_cells=REMOTE_CELLS)
# Deployments that run at the same time, with similar numbers of processes.
DEPLOYMENT_GROUPS = (
    (*HOST_DEPLOYMENTS[:4],),
    (HOST_DEPLOYMENTS[4], SLOT_DEPLOYMENT),
    (TARGET_DEPLOYMENT, CELL_DEPLOYMENT, TICKET_DEPLOYMENT),
)
# Deployments that run at the same time: the number of cells, and of hosts of
# each cell.
TICKET_GROUPS = (((2, 2), (6, 1)), ((2, 5),))


class SentTraffic(typing.NamedTuple):
    """The traffic that sockets have sent.

    Attributes:
      payload: The bytes of TCP payload.
      segments: All segments, including pure acknowledgements.
      data_segments: Segments with payload; a control frame is one segment.
    """

    payload: int = 0
    segments: int = 0
    data_segments: int = 0


NO_TRAFFIC = SentTraffic()


class HostUsage(typing.NamedTuple):
    """The resources that a host uses; per second, except for the memory.

    Attributes:
      controller: Whether it is the acting controller.
      processor: Seconds of processor time.
      link_bytes: Bytes sent to other hosts.
      link_frames: Frames sent to other hosts.
      target_bytes: Bytes to and from upstreams.
      store_bytes: Bytes sent to the store.
      resident_mib: Resident memory.
    """

    controller: bool
    processor: float
    link_bytes: float
    link_frames: float
    target_bytes: float
    store_bytes: float
    resident_mib: float


class Observation(typing.NamedTuple):
    """The measured values of a deployment.

    Attributes:
      host_usages: The usage of each host of the first cell.
      store_calls: Store calls per second and cell; a watch counts as one.
      upstream_processor: Seconds of processor time per second of an upstream.
      record_bytes: The size of the record of the first cell.
      ticket_bytes: The size of the ticket.
      host_list_bytes: The size of the host list.
    """

    host_usages: tuple[HostUsage, ...]
    store_calls: float
    upstream_processor: float
    record_bytes: int
    ticket_bytes: int
    host_list_bytes: int


def main() -> None:
    """Print all figures."""
    measuring.emit_load()
    _report_import_memory()
    observation_by_deployment: dict[Deployment, Observation] = {}
    for group in DEPLOYMENT_GROUPS:
        with futures.ThreadPoolExecutor(len(group)) as executor:
            found = executor.map(_observe, group)
            observation_by_deployment.update(zip(group, found, strict=True))
    for deployment, observation in observation_by_deployment.items():
        _report_usage(deployment, observation)
    _report_slopes(observation_by_deployment)
    for group in TICKET_GROUPS:
        with futures.ThreadPoolExecutor(len(group)) as executor:
            for _ in executor.map(lambda each: _measure_tickets(*each), group):
                pass


def _report_import_memory() -> None:
    print_pages = 'print(open("/proc/self/statm").read().split()[1])'
    for name, module in (
        ('interpreter alone', 'sys'),
        ('interpreter and imports of the daemon', 'amaranthcrank.daemon.main'),
    ):
        pages = subprocess.check_output(
            [sys.executable, '-c', f'import {module}; {print_pages}']
        )
        resident_mib = int(pages) * 4096 / MIB
        measuring.emit(
            f'resident memory, {name}', resident_mib, 'MiB', 'one process'
        )


def _observe(deployment: Deployment) -> Observation:
    domains = _domains(deployment.cells, deployment.hosts, deployment.targets)
    slots = deployment.slots * deployment.cells
    with measuring.running(domains, (SERVICE,), slots) as fleet:
        touches = fleet_module.initial_touches(fleet)
        if deployment.remote_cells:
            _add_remote_cells(touches, deployment)
        status, response = fleet_module.file_ticket(
            fleet, touches, 0, 'measure-1'
        )
        if status >= 300:
            raise RuntimeError(f'ticket refused: {response["problems"][:3]}')
        measuring.wait_for_owners(fleet)
        time.sleep(WARM_UP_S)
        controller = measuring.cell_status(fleet, CELL)['controller']
        before = _take_sample(fleet)
        time.sleep(OBSERVATION_S)
        after = _take_sample(fleet)
        sizes = [
            len(_read_store(fleet, each))
            for each in (f'objects/cells/{CELL}', 'objects/tickets/1', 'hosts')
        ]
    return _compute_observation(fleet, controller, before, after, sizes)


def _domains(
    cells: int, hosts: int, targets: int
) -> tuple[fleet_module.Domain, ...]:
    names = [CELL, *(f'cell-{number + 2}' for number in range(cells - 1))]
    return tuple(
        fleet_module.Domain(each, 'one', hosts, targets) for each in names
    )


def _read_store(fleet: fleet_module.Fleet, path: str) -> bytes:
    response = fleet.pool.request(
        'GET', f'http://{fleet.store.address}/{path}'
    )
    return response.data


def _add_remote_cells(
    touches: dict[str, typing.Any], deployment: Deployment
) -> None:
    """Add cells that do not run, with their share of slots and targets."""
    service = touches['services'][SERVICE]
    service['slots'] = REMOTE_SLOTS
    remaining_slots = REMOTE_SLOTS - deployment.slots
    for number in range(deployment.remote_cells):
        cell = f'far-{number + 1}'
        begin = (
            deployment.slots
            + remaining_slots * number // deployment.remote_cells
        )
        end = (
            deployment.slots
            + remaining_slots * (number + 1) // deployment.remote_cells
        )
        service['ranges'].append({'cell': cell, 'from': begin, 'to': end})
        touches['cells'][cell] = {
            'failure_domain': cell,
            'region': 'two',
            'attester': None,
        }
        for each in range(REMOTE_TARGETS_PER_CELL):
            service['targets'][f'{SERVICE}-{cell}-{each + 1}'] = {
                # No host connects to it: it belongs to a cell that does not
                # run.
                'address': f'127.1.{number}.{each + 1}:9000',
                'cell': cell,
                'slots': 3,
                'connections': 110,
                'fenced': True,
                'state': 'active',
            }
    touches['lost_cells'] = [
        each for each in touches['cells'] if each.startswith('far-')
    ]


class Sample(typing.NamedTuple):
    """All counters at one time.

    Attributes:
      at: The time, monotonic seconds.
      usage_by_pid: The usage of each daemon and upstream.
      traffic_by_socket: Sent traffic by process id and kind of socket.
      calls: The calls that the store has received.
    """

    at: float
    usage_by_pid: dict[int, measuring.ProcessUsage]
    traffic_by_socket: dict[tuple[int, str], SentTraffic]
    calls: float


def _take_sample(fleet: fleet_module.Fleet) -> Sample:
    usage_by_pid = {}
    for popen in _processes(fleet):
        usage_by_pid[popen.pid] = measuring.read_usage(popen.pid)
    at = time.monotonic()
    calls = _read_store_counters(fleet)['calls']
    return Sample(at, usage_by_pid, read_sent_traffic(fleet), calls)


def _processes(
    fleet: fleet_module.Fleet,
) -> abc.Iterator[subprocess.Popen]:
    for daemon in fleet.daemon_by_host.values():
        yield daemon.popen
    for process in fleet.upstream_by_target.values():
        yield process.popen


def _read_store_counters(fleet: fleet_module.Fleet) -> dict[str, typing.Any]:
    return json.loads(_read_store(fleet, 'counters'))


def read_sent_traffic(
    fleet: fleet_module.Fleet,
) -> dict[tuple[int, str], SentTraffic]:
    """Read the traffic counters of the kernel.

    Args:
      fleet: The deployment.

    Returns:
      The sent traffic by process id and kind of socket: `store`, `link` or
      `target`.
    """
    kind_by_port = {fleet.store.address.rpartition(':')[2]: 'store'}
    for daemon in fleet.daemon_by_host.values():
        kind_by_port[daemon.peers.rpartition(':')[2]] = 'link'
    for process in fleet.upstream_by_target.values():
        kind_by_port[process.address.rpartition(':')[2]] = 'target'
    output = subprocess.check_output(['ss', '-tinHOp'], text=True)
    traffic_by_socket: dict[tuple[int, str], SentTraffic] = {}
    for line in output.splitlines():
        fields = line.split()
        if fields[0] != 'ESTAB':
            continue
        ports = [each.rpartition(':')[2] for each in fields[3:5]]
        kinds = [kind_by_port[each] for each in ports if each in kind_by_port]
        pid_match = re.search(r'pid=(\d+)', line)
        if not kinds or pid_match is None:
            continue
        socket_key = (int(pid_match[1]), kinds[0])
        total = traffic_by_socket.get(socket_key, NO_TRAFFIC)
        traffic_by_socket[socket_key] = SentTraffic(
            total.payload + _parse_counter('bytes_sent', line),
            total.segments + _parse_counter('segs_out', line),
            total.data_segments + _parse_counter('data_segs_out', line),
        )
    return traffic_by_socket


def wire_bytes(traffic: SentTraffic) -> int:
    """Return the bytes of the IP packets, without link layer headers."""
    return traffic.payload + traffic.segments * HEADER_BYTES


def _parse_counter(name: str, line: str) -> int:
    found = re.search(rf'\s{name}:(\d+)', line)
    return int(found[1]) if found else 0


def _compute_observation(
    fleet: fleet_module.Fleet,
    controller: str,
    before: Sample,
    after: Sample,
    sizes: abc.Sequence[int],
) -> Observation:
    seconds = after.at - before.at

    def processor(pid: int) -> float:
        end_s = after.usage_by_pid[pid].processor_s
        return (end_s - before.usage_by_pid[pid].processor_s) / seconds

    def traffic(pid: int, kind: str) -> SentTraffic:
        start = before.traffic_by_socket.get((pid, kind), NO_TRAFFIC)
        end = after.traffic_by_socket.get((pid, kind), NO_TRAFFIC)
        return SentTraffic(*(b - a for a, b in zip(start, end, strict=True)))

    def bytes_per_s(pid: int, kind: str) -> float:
        return wire_bytes(traffic(pid, kind)) / seconds

    upstreams = [each.popen.pid for each in fleet.upstream_by_target.values()]
    upstream_bytes_per_s = sum(
        bytes_per_s(each, 'target') for each in upstreams
    )
    host_usages = []
    for host, daemon in fleet.daemon_by_host.items():
        if daemon.domain != CELL:
            continue
        pid = daemon.popen.pid
        host_usages.append(
            HostUsage(
                host == controller,
                processor(pid),
                bytes_per_s(pid, 'link'),
                traffic(pid, 'link').data_segments / seconds,
                bytes_per_s(pid, 'target')
                + upstream_bytes_per_s / len(fleet.daemon_by_host),
                bytes_per_s(pid, 'store'),
                after.usage_by_pid[pid].resident_bytes / MIB,
            )
        )
    return Observation(
        tuple(host_usages),
        (after.calls - before.calls) / seconds / len(fleet.domains),
        sum(processor(each) for each in upstreams) / len(upstreams),
        *sizes,
    )


UNIT_BY_FIELD = {
    'processor': 's/s',
    'link_bytes': 'B/s',
    'link_frames': '1/s',
    'target_bytes': 'B/s',
    'store_bytes': 'B/s',
    'resident_mib': 'MiB',
}
NAME_BY_FIELD = {
    'processor': 'processor time',
    'link_bytes': 'bytes sent to hosts',
    'link_frames': 'frames sent to hosts',
    'target_bytes': 'bytes to and from upstreams',
    'store_bytes': 'bytes sent to the store',
    'resident_mib': 'resident memory',
}


def _describe_setup(deployment: Deployment) -> str:
    setup = (
        f'idle cell of {deployment.hosts} hosts, {deployment.slots} slots, '
        f'{deployment.targets} targets'
    )
    if deployment.cells > 1:
        setup += f'; {deployment.cells - 1} more such cells'
    if deployment.remote_cells:
        count = deployment.remote_cells * REMOTE_TARGETS_PER_CELL
        setup += (
            f'; ticket with {deployment.remote_cells} more cells, '
            f'{count} targets'
        )
    return setup


def _mean_usage(
    observation: Observation, field: str, controllers: bool = True
) -> float:
    """Return the mean usage of the hosts.

    Args:
      observation: The observation.
      field: The field of HostUsage.
      controllers: Whether acting controllers are included.
    """
    values = []
    for each in observation.host_usages:
        if controllers or not each.controller:
            values.append(getattr(each, field))
    return sum(values) / len(values)


def _controller_processor(observation: Observation) -> float:
    return max(
        each.processor for each in observation.host_usages if each.controller
    )


def _report_usage(deployment: Deployment, observation: Observation) -> None:
    setup = _describe_setup(deployment)
    for field, unit in UNIT_BY_FIELD.items():
        name = f'per host: {NAME_BY_FIELD[field]}'
        measuring.emit(name, _mean_usage(observation, field), unit, setup)
    for name, value, unit in (
        (
            'acting controller: processor time',
            _controller_processor(observation),
            's/s',
        ),
        ('cell: store calls', observation.store_calls, '1/s'),
        ('upstream: processor time', observation.upstream_processor, 's/s'),
        ('cell record: size', observation.record_bytes, 'B'),
        ('ticket: size', observation.ticket_bytes, 'B'),
    ):
        measuring.emit(name, value, unit, setup)


def _report_slopes(
    observation_by_deployment: dict[Deployment, Observation],
) -> None:
    """Report the cost of each additional slot, target, cell and host."""
    for field, unit in UNIT_BY_FIELD.items():
        _report_field_slopes(observation_by_deployment, field, unit)
    base = observation_by_deployment[BASE_DEPLOYMENT]
    many_slots = observation_by_deployment[SLOT_DEPLOYMENT]
    large_ticket = observation_by_deployment[TICKET_DEPLOYMENT]
    more_slots = SLOT_DEPLOYMENT.slots - BASE_DEPLOYMENT.slots
    more_targets = TARGET_DEPLOYMENT.targets - BASE_DEPLOYMENT.targets
    many_targets = observation_by_deployment[TARGET_DEPLOYMENT]
    more_record_bytes = many_slots.record_bytes - base.record_bytes
    more_ticket_bytes = many_targets.ticket_bytes - base.ticket_bytes
    # The size per cell is that of its section and its range of each service.
    cell_bytes = large_ticket.ticket_bytes - base.ticket_bytes
    cell_bytes -= (
        REMOTE_CELLS
        * REMOTE_TARGETS_PER_CELL
        * more_ticket_bytes
        / more_targets
    )
    more_controller = _controller_processor(
        many_slots
    ) - _controller_processor(base)
    more_upstream = many_slots.upstream_processor - base.upstream_processor
    many_hosts = observation_by_deployment[HOST_DEPLOYMENTS[4]]
    for name, value, unit in (
        (
            'per slot of the cell at the acting controller: processor time',
            more_controller / more_slots,
            's/s',
        ),
        (
            'per slot at an upstream: processor time',
            more_upstream / more_slots * BASE_TARGETS,
            's/s',
        ),
        (
            'per slot: size of the cell record',
            more_record_bytes / more_slots,
            'B',
        ),
        (
            'per target: size of the ticket',
            more_ticket_bytes / more_targets,
            'B',
        ),
        ('per cell: size of the ticket', cell_bytes / REMOTE_CELLS, 'B'),
        (
            'per host: size of the host list',
            many_hosts.host_list_bytes / HOST_DEPLOYMENTS[4].hosts,
            'B',
        ),
    ):
        measuring.emit(name, value, unit, SLOPE_SETUP)
    sizes = [each.hosts for each in HOST_DEPLOYMENTS]
    calls = [
        observation_by_deployment[each].store_calls
        for each in HOST_DEPLOYMENTS
    ]
    slope, fixed = fit_line(sizes, calls)
    measuring.emit('per host of a cell: store calls', slope, '1/s', HOST_SETUP)
    measuring.emit(
        'fixed part of a cell: store calls', fixed, '1/s', HOST_SETUP
    )


SLOPE_SETUP = (
    f'3 hosts; {BASE_SLOTS} and {SLOT_DEPLOYMENT.slots} slots; '
    f'{BASE_TARGETS} and {TARGET_DEPLOYMENT.targets} targets'
)
HOST_SETUP = (
    f'least squares, {[each.hosts for each in HOST_DEPLOYMENTS]} hosts'
)


def _report_field_slopes(
    observation_by_deployment: dict[Deployment, Observation],
    field: str,
    unit: str,
) -> None:
    name = NAME_BY_FIELD[field]
    base = _mean_usage(observation_by_deployment[BASE_DEPLOYMENT], field)
    # Without the controller, whose planning is reported separately.
    usage_many_slots = _mean_usage(
        observation_by_deployment[SLOT_DEPLOYMENT], field, False
    )
    usage_base_slots = _mean_usage(
        observation_by_deployment[BASE_DEPLOYMENT], field, False
    )
    if field.endswith('bytes'):
        usage_many_slots = _mean_usage(
            observation_by_deployment[SLOT_DEPLOYMENT], field
        )
        usage_base_slots = base
    hosts = BASE_DEPLOYMENT.hosts
    per_slot = (
        (usage_many_slots - usage_base_slots)
        / (SLOT_DEPLOYMENT.slots - BASE_SLOTS)
        * hosts
    )
    target_cost = (
        _mean_usage(observation_by_deployment[TARGET_DEPLOYMENT], field) - base
    )
    per_target = (
        target_cost / (TARGET_DEPLOYMENT.targets - BASE_TARGETS) * hosts
    )
    values = []
    for deployment in HOST_DEPLOYMENTS:
        value = _mean_usage(observation_by_deployment[deployment], field)
        value -= deployment.targets / deployment.hosts * per_target
        value -= deployment.slots / deployment.hosts * per_slot
        values.append(value)
    peer_counts = [deployment.hosts - 1 for deployment in HOST_DEPLOYMENTS]
    per_peer, fixed = fit_line(peer_counts, values)
    linked_cost = (
        _mean_usage(observation_by_deployment[CELL_DEPLOYMENT], field) - base
    )
    remote_hosts = (CELL_DEPLOYMENT.cells - 1) * CELL_DEPLOYMENT.hosts
    ticket_cost = (
        _mean_usage(observation_by_deployment[TICKET_DEPLOYMENT], field) - base
    )
    for part, value, setup in (
        ('per target at its dispatching host', per_target, SLOPE_SETUP),
        ('per slot at its dispatching host', per_slot, SLOPE_SETUP),
        ('per other host of the cell', per_peer, HOST_SETUP),
        ('fixed part of a host', fixed, HOST_SETUP),
        (
            'per linked host of another cell',
            linked_cost / remote_hosts,
            f'{CELL_DEPLOYMENT.cells} cells against 1',
        ),
        (
            'per target of another cell in the ticket',
            ticket_cost / (REMOTE_CELLS * REMOTE_TARGETS_PER_CELL),
            _describe_setup(TICKET_DEPLOYMENT),
        ),
    ):
        measuring.emit(f'{part}: {name}', value, unit, setup)


def fit_line(
    sizes: abc.Sequence[float], values: abc.Sequence[float]
) -> tuple[float, float]:
    """Fit a line by least squares.

    Returns:
      The slope, and the value at 0.
    """
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    covariance = 0.0
    variance = 0.0
    for size, value in zip(sizes, values, strict=True):
        covariance += (size - mean_size) * (value - mean_value)
        variance += (size - mean_size) ** 2
    slope = covariance / variance
    return slope, mean_value - slope * mean_size


def _measure_tickets(cells: int, hosts: int) -> None:
    """Measure the time of tickets and the store calls that each causes."""
    domains = _domains(cells, hosts, 2)
    setup = f'{cells * hosts} hosts in {cells} cells, 2 targets each'
    slots = BASE_SLOTS * cells
    with measuring.running(domains, (SERVICE,), slots) as fleet:
        touches = fleet_module.initial_touches(fleet)
        number = measuring.file_first_ticket(fleet)
        measuring.wait_for_owners(fleet)
        time.sleep(PROPAGATION_S)
        idle_calls = _count_store_calls(
            fleet, lambda: time.sleep(PROPAGATION_S)
        )
        times: list[float] = []

        def file_tickets() -> None:
            for each in range(TICKETS):
                ranks = dict(touches['ranks'])
                ranks['bulk'] = {'floor': 0.05 + 0.01 * (each + 1)}
                duration_s = _time_ticket(
                    fleet, {'ranks': ranks}, number + each
                )
                times.append(duration_s)
                time.sleep(PROPAGATION_S)

        ticket_calls = _count_store_calls(fleet, file_tickets)
        _report_tickets(
            times, idle_calls, ticket_calls, f'{setup}; {TICKETS} tickets'
        )
        number += TICKETS
        services = touches['services']
        ranges = services[SERVICE]['ranges']
        ranges[0]['to'] = ranges[1]['from'] = BASE_SLOTS - MOVED_SLOTS
        started_at = time.monotonic()
        _time_ticket(fleet, {'services': services}, number)
        fleet_module.wait_until(lambda: _slots_moved(fleet))
        measuring.emit(
            f'ticket that moves {MOVED_SLOTS} slots to another cell, '
            'until all are owned',
            time.monotonic() - started_at,
            's',
            f'{setup}; 1 ticket',
        )


def _count_store_calls(
    fleet: fleet_module.Fleet, function: abc.Callable[[], None]
) -> tuple[float, int, int]:
    """Count the store calls while a function runs.

    Returns:
      The duration in seconds, the reads and the writes.
    """
    started_at = time.monotonic()
    before = _read_store_counters(fleet)
    function()
    after = _read_store_counters(fleet)
    return (
        time.monotonic() - started_at,
        after['reads'] - before['reads'],
        after['writes'] - before['writes'],
    )


def _report_tickets(
    times: list[float],
    idle_calls: tuple[float, int, int],
    ticket_calls: tuple[float, int, int],
    setup: str,
) -> None:
    summary = measuring.summarize_times(times)
    name = 'ticket, from filing until in force on every host'
    measuring.emit(f'{name}, p50', summary.p50_s, 's', setup)
    measuring.emit(f'{name}, max', summary.longest_s, 's', setup)
    for kind, column in (('reads', 1), ('writes', 2)):
        expected = idle_calls[column] / idle_calls[0] * ticket_calls[0]
        per_ticket = (ticket_calls[column] - expected) / len(times)
        measuring.emit(f'ticket: {kind} of the store', per_ticket, '1', setup)


def _slots_moved(fleet: fleet_module.Fleet) -> bool:
    first, second = (each.name for each in fleet.domains[:2])
    expected_by_cell = {
        first: BASE_SLOTS - MOVED_SLOTS,
        second: BASE_SLOTS + MOVED_SLOTS,
    }
    for cell, expected in expected_by_cell.items():
        status = measuring.cell_status(fleet, cell)
        if status['effective'] != status['version']:
            return False
        slots = sum(each['slots'] for each in status['targets'].values())
        if slots != expected:
            return False
    return True


def _time_ticket(
    fleet: fleet_module.Fleet, touches: dict[str, typing.Any], expected: int
) -> float:
    started_at = time.monotonic()
    status, response = fleet_module.file_ticket(
        fleet, touches, expected, f'measure-{expected + 1}'
    )
    if status >= 300:
        raise RuntimeError(f'ticket refused: {response["problems"][:3]}')

    def in_force() -> bool:
        for host in fleet.daemon_by_host:
            host_status = fleet_module.get_status(fleet, host)
            if (
                host_status['ticket'] <= expected
                or not host_status['in_force']
            ):
                return False
        return True

    fleet_module.wait_until(in_force)
    return time.monotonic() - started_at


if __name__ == '__main__':
    main()
