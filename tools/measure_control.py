"""Measures what control costs while idle, and how long a ticket takes.

Every set-up is one cell without callers. Sent bytes are what the kernel
counts for each socket, plus the headers of each segment.
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
WARM_S = 2.0
# Hosts read the host list every 10 s.
OBSERVED_S = 8.0
# IPv4 and TCP with timestamps; the link layer is not counted.
HEADER_BYTES = 52
CELL = 'north'
TICKETS = 4
MOVED_SLOTS = 16
# Until the records of all cells have followed a ticket.
CALM_S = 1.8
MIB = 2**20


class Shape(typing.NamedTuple):
    """The size of one set-up.

    Attributes:
      hosts: Hosts of each cell.
      slots: Slots of each cell.
      targets: Targets of each cell.
      cells: Cells that run.
      far_cells: Cells that the ticket names beyond them, declared lost.
    """

    hosts: int
    slots: int
    targets: int
    cells: int = 1
    far_cells: int = 0


BASE_SLOTS = 64
BASE_TARGETS = 4
HOST_SHAPES = tuple(
    Shape(hosts, BASE_SLOTS, BASE_TARGETS) for hosts in (1, 2, 3, 5, 12)
)
SLOT_SHAPE = Shape(3, 4096, BASE_TARGETS)
TARGET_SHAPE = Shape(3, BASE_SLOTS, 16)
BASE_SHAPE = Shape(3, BASE_SLOTS, BASE_TARGETS)
# The same cell with links to hosts of other cells.
CELLS_SHAPE = BASE_SHAPE._replace(cells=4)
# The same cell with a ticket of the size of the whole target.
FAR_CELLS = 139
FAR_TARGETS_PER_CELL = 15
FAR_SLOTS = 16_000
FAR_SHAPE = BASE_SHAPE._replace(far_cells=FAR_CELLS)
# Set-ups that run side by side, about equal in processes.
GROUPS = (
    (*HOST_SHAPES[:4],),
    (HOST_SHAPES[4], SLOT_SHAPE),
    (TARGET_SHAPE, CELLS_SHAPE, FAR_SHAPE),
)
# Cells and hosts of each cell.
TICKET_GROUPS = (((2, 2), (6, 1)), ((2, 5),))


class Sent(typing.NamedTuple):
    """What sockets have sent.

    Attributes:
      payload: Bytes above TCP.
      segments: Segments, also those that only acknowledge.
      data_segments: Segments with payload; a control frame is one.
    """

    payload: int = 0
    segments: int = 0
    data_segments: int = 0


NOTHING = Sent()


class Cost(typing.NamedTuple):
    """What one host used, a second unless said otherwise.

    Attributes:
      controller: Whether it is the acting controller.
      processor: Seconds of processor time.
      link_bytes: Bytes to other hosts.
      link_frames: Frames to other hosts.
      target_bytes: Bytes between it and upstreams, both ways.
      store_bytes: Bytes to the store.
      resident_mib: Resident memory.
    """

    controller: bool
    processor: float
    link_bytes: float
    link_frames: float
    target_bytes: float
    store_bytes: float
    resident_mib: float


class Observed(typing.NamedTuple):
    """One set-up.

    Attributes:
      costs: Of each host.
      store_calls: Calls of the store a second, each watch counted as one.
      upstream_processor: Seconds of processor time a second of one upstream.
      record_bytes: The size of the record of the first cell.
      ticket_bytes: The size of the ticket.
      host_list_bytes: The size of the host list.
    """

    costs: tuple[Cost, ...]
    store_calls: float
    upstream_processor: float
    record_bytes: int
    ticket_bytes: int
    host_list_bytes: int


def main() -> None:
    """Print all figures."""
    measuring.emit_load()
    _report_baseline()
    observed_by_shape: dict[Shape, Observed] = {}
    for group in GROUPS:
        with futures.ThreadPoolExecutor(len(group)) as executor:
            found = executor.map(_observe, group)
            observed_by_shape.update(zip(group, found, strict=True))
    for shape, observed in observed_by_shape.items():
        _report(shape, observed)
    _report_slopes(observed_by_shape)
    for group in TICKET_GROUPS:
        with futures.ThreadPoolExecutor(len(group)) as executor:
            for _ in executor.map(lambda each: _measure_tickets(*each), group):
                pass


def _report_baseline() -> None:
    show = 'print(open("/proc/self/statm").read().split()[1])'
    for name, module in (
        ('interpreter alone', 'sys'),
        ('interpreter and imports of the daemon', 'amaranthcrank.daemon.main'),
    ):
        pages = subprocess.check_output(
            [sys.executable, '-c', f'import {module}; {show}']
        )
        size = int(pages) * 4096 / MIB
        measuring.emit(f'resident memory, {name}', size, 'MiB', 'one process')


def _observe(shape: Shape) -> Observed:
    domains = _domains(shape.cells, shape.hosts, shape.targets)
    slots = shape.slots * shape.cells
    with measuring.running(domains, (SERVICE,), slots) as fleet:
        touches = fleet_module.initial_touches(fleet)
        if shape.far_cells:
            _add_far_cells(touches, shape)
        status, answer = fleet_module.file_ticket(
            fleet, touches, 0, 'measure-1'
        )
        if status >= 300:
            raise RuntimeError(f'refused: {answer["problems"][:3]}')
        measuring.wait_for_owners(fleet)
        time.sleep(WARM_S)
        controller = measuring.cell_status(fleet, CELL)['controller']
        before = _sample(fleet)
        time.sleep(OBSERVED_S)
        after = _sample(fleet)
        sizes = [
            len(_stored(fleet, each))
            for each in (f'objects/cells/{CELL}', 'objects/tickets/1', 'hosts')
        ]
    return _difference(fleet, controller, before, after, sizes)


def _domains(
    cells: int, hosts: int, targets: int
) -> tuple[fleet_module.Domain, ...]:
    names = [CELL, *(f'cell-{number + 2}' for number in range(cells - 1))]
    return tuple(
        fleet_module.Domain(each, 'one', hosts, targets) for each in names
    )


def _stored(fleet: fleet_module.Fleet, path: str) -> bytes:
    answer = fleet.pool.request('GET', f'http://{fleet.store.address}/{path}')
    return answer.data


def _add_far_cells(touches: dict[str, typing.Any], shape: Shape) -> None:
    """Name cells that do not run, with their share of slots and targets."""
    service = touches['services'][SERVICE]
    service['slots'] = FAR_SLOTS
    left = FAR_SLOTS - shape.slots
    for number in range(shape.far_cells):
        cell = f'far-{number + 1}'
        begin = shape.slots + left * number // shape.far_cells
        end = shape.slots + left * (number + 1) // shape.far_cells
        service['ranges'].append({'cell': cell, 'from': begin, 'to': end})
        touches['cells'][cell] = {
            'failure_domain': cell,
            'region': 'two',
            'attester': None,
        }
        for each in range(FAR_TARGETS_PER_CELL):
            service['targets'][f'{SERVICE}-{cell}-{each + 1}'] = {
                # Never dialled: it belongs to another cell.
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
    """All counters at one moment."""

    at: float
    usage_by_pid: dict[int, measuring.ProcessUsage]
    sent: dict[tuple[int, str], Sent]
    calls: float


def _sample(fleet: fleet_module.Fleet) -> Sample:
    usage_by_pid = {}
    for popen in _processes(fleet):
        usage_by_pid[popen.pid] = measuring.read_usage(popen.pid)
    at = time.monotonic()
    calls = _counters(fleet)['calls']
    return Sample(at, usage_by_pid, sent_by_kind(fleet), calls)


def _processes(
    fleet: fleet_module.Fleet,
) -> abc.Iterator[subprocess.Popen]:
    for daemon in fleet.daemon_by_host.values():
        yield daemon.popen
    for process in fleet.upstream_by_target.values():
        yield process.popen


def _counters(fleet: fleet_module.Fleet) -> dict[str, typing.Any]:
    return json.loads(_stored(fleet, 'counters'))


def sent_by_kind(
    fleet: fleet_module.Fleet,
) -> dict[tuple[int, str], Sent]:
    """Add up what the kernel counted, by process and kind of socket."""
    kind_by_port = {fleet.store.address.rpartition(':')[2]: 'store'}
    for daemon in fleet.daemon_by_host.values():
        kind_by_port[daemon.peers.rpartition(':')[2]] = 'link'
    for process in fleet.upstream_by_target.values():
        kind_by_port[process.address.rpartition(':')[2]] = 'target'
    shown = subprocess.check_output(['ss', '-tinHOp'], text=True)
    sent: dict[tuple[int, str], Sent] = {}
    for line in shown.splitlines():
        fields = line.split()
        if fields[0] != 'ESTAB':
            continue
        ports = [each.rpartition(':')[2] for each in fields[3:5]]
        kinds = [kind_by_port[each] for each in ports if each in kind_by_port]
        owner = re.search(r'pid=(\d+)', line)
        if not kinds or owner is None:
            continue
        name = (int(owner[1]), kinds[0])
        old = sent.get(name, NOTHING)
        sent[name] = Sent(
            old.payload + _counted('bytes_sent', line),
            old.segments + _counted('segs_out', line),
            old.data_segments + _counted('data_segs_out', line),
        )
    return sent


def wire_bytes(sent: Sent) -> int:
    """Return the bytes of IP packets, without the link layer."""
    return sent.payload + sent.segments * HEADER_BYTES


def _counted(name: str, line: str) -> int:
    found = re.search(rf'\s{name}:(\d+)', line)
    return int(found[1]) if found else 0


def _difference(
    fleet: fleet_module.Fleet,
    controller: str,
    before: Sample,
    after: Sample,
    sizes: abc.Sequence[int],
) -> Observed:
    seconds = after.at - before.at

    def processor(pid: int) -> float:
        used = after.usage_by_pid[pid].processor_s
        return (used - before.usage_by_pid[pid].processor_s) / seconds

    def sent(pid: int, kind: str) -> Sent:
        old = before.sent.get((pid, kind), NOTHING)
        new = after.sent.get((pid, kind), NOTHING)
        return Sent(*(b - a for a, b in zip(old, new, strict=True)))

    def bytes_a_second(pid: int, kind: str) -> float:
        return wire_bytes(sent(pid, kind)) / seconds

    upstreams = [each.popen.pid for each in fleet.upstream_by_target.values()]
    back = sum(bytes_a_second(each, 'target') for each in upstreams)
    costs = []
    for host, daemon in fleet.daemon_by_host.items():
        if daemon.domain != CELL:
            continue
        pid = daemon.popen.pid
        costs.append(
            Cost(
                host == controller,
                processor(pid),
                bytes_a_second(pid, 'link'),
                sent(pid, 'link').data_segments / seconds,
                bytes_a_second(pid, 'target')
                + back / len(fleet.daemon_by_host),
                bytes_a_second(pid, 'store'),
                after.usage_by_pid[pid].resident_bytes / MIB,
            )
        )
    return Observed(
        tuple(costs),
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


def _setup(shape: Shape) -> str:
    setup = (
        f'idle cell of {shape.hosts} hosts, {shape.slots} slots, '
        f'{shape.targets} targets'
    )
    if shape.cells > 1:
        setup += f'; {shape.cells - 1} more such cells'
    if shape.far_cells:
        count = shape.far_cells * FAR_TARGETS_PER_CELL
        setup += f'; ticket with {shape.far_cells} more cells, {count} targets'
    return setup


def _mean(observed: Observed, field: str, controllers: bool = True) -> float:
    """Return the mean over the hosts, also without the controller."""
    values = []
    for each in observed.costs:
        if controllers or not each.controller:
            values.append(getattr(each, field))
    return sum(values) / len(values)


def _controller(observed: Observed) -> float:
    return max(each.processor for each in observed.costs if each.controller)


def _report(shape: Shape, observed: Observed) -> None:
    setup = _setup(shape)
    for field, unit in UNIT_BY_FIELD.items():
        name = f'per host: {NAME_BY_FIELD[field]}'
        measuring.emit(name, _mean(observed, field), unit, setup)
    for name, value, unit in (
        ('acting controller: processor time', _controller(observed), 's/s'),
        ('cell: store calls', observed.store_calls, '1/s'),
        ('upstream: processor time', observed.upstream_processor, 's/s'),
        ('cell record: size', observed.record_bytes, 'B'),
        ('ticket: size', observed.ticket_bytes, 'B'),
    ):
        measuring.emit(name, value, unit, setup)


def _report_slopes(observed_by_shape: dict[Shape, Observed]) -> None:
    """Report what each further part of a set-up costs."""
    for field, unit in UNIT_BY_FIELD.items():
        _report_slopes_of(observed_by_shape, field, unit)
    base = observed_by_shape[BASE_SHAPE]
    many = observed_by_shape[SLOT_SHAPE]
    far = observed_by_shape[FAR_SHAPE]
    slots = SLOT_SHAPE.slots - BASE_SHAPE.slots
    more_targets = TARGET_SHAPE.targets - BASE_SHAPE.targets
    targets = observed_by_shape[TARGET_SHAPE]
    record = many.record_bytes - base.record_bytes
    ticket = targets.ticket_bytes - base.ticket_bytes
    # A cell in the ticket costs its section and its range of each service.
    cells = far.ticket_bytes - base.ticket_bytes
    cells -= FAR_CELLS * FAR_TARGETS_PER_CELL * ticket / more_targets
    controller = _controller(many) - _controller(base)
    upstream = many.upstream_processor - base.upstream_processor
    listed = observed_by_shape[HOST_SHAPES[4]]
    for name, value, unit in (
        (
            'per slot of the cell at the acting controller: processor time',
            controller / slots,
            's/s',
        ),
        (
            'per slot at an upstream: processor time',
            upstream / slots * BASE_TARGETS,
            's/s',
        ),
        ('per slot: size of the cell record', record / slots, 'B'),
        ('per target: size of the ticket', ticket / more_targets, 'B'),
        ('per cell: size of the ticket', cells / FAR_CELLS, 'B'),
        (
            'per host: size of the host list',
            listed.host_list_bytes / HOST_SHAPES[4].hosts,
            'B',
        ),
    ):
        measuring.emit(name, value, unit, SLOPE_SETUP)
    sizes = [each.hosts for each in HOST_SHAPES]
    calls = [observed_by_shape[each].store_calls for each in HOST_SHAPES]
    slope, fixed = line_through(sizes, calls)
    measuring.emit('per host of a cell: store calls', slope, '1/s', HOST_SETUP)
    measuring.emit(
        'fixed part of a cell: store calls', fixed, '1/s', HOST_SETUP
    )


SLOPE_SETUP = (
    f'3 hosts; {BASE_SLOTS} and {SLOT_SHAPE.slots} slots; '
    f'{BASE_TARGETS} and {TARGET_SHAPE.targets} targets'
)
HOST_SETUP = f'least squares, {[each.hosts for each in HOST_SHAPES]} hosts'


def _report_slopes_of(
    observed_by_shape: dict[Shape, Observed], field: str, unit: str
) -> None:
    name = NAME_BY_FIELD[field]
    base = _mean(observed_by_shape[BASE_SHAPE], field)
    # The slots of the controller also cost planning, which is apart.
    many = _mean(observed_by_shape[SLOT_SHAPE], field, False)
    few = _mean(observed_by_shape[BASE_SHAPE], field, False)
    if field.endswith('bytes'):
        many = _mean(observed_by_shape[SLOT_SHAPE], field)
        few = base
    hosts = BASE_SHAPE.hosts
    per_slot = (many - few) / (SLOT_SHAPE.slots - BASE_SLOTS) * hosts
    more = _mean(observed_by_shape[TARGET_SHAPE], field) - base
    per_target = more / (TARGET_SHAPE.targets - BASE_TARGETS) * hosts
    values = []
    for shape in HOST_SHAPES:
        value = _mean(observed_by_shape[shape], field)
        value -= shape.targets / shape.hosts * per_target
        value -= shape.slots / shape.hosts * per_slot
        values.append(value)
    others = [shape.hosts - 1 for shape in HOST_SHAPES]
    per_peer, fixed = line_through(others, values)
    linked = _mean(observed_by_shape[CELLS_SHAPE], field) - base
    far_hosts = (CELLS_SHAPE.cells - 1) * CELLS_SHAPE.hosts
    far = _mean(observed_by_shape[FAR_SHAPE], field) - base
    for what, value, setup in (
        ('per target at its dispatching host', per_target, SLOPE_SETUP),
        ('per slot at its dispatching host', per_slot, SLOPE_SETUP),
        ('per other host of the cell', per_peer, HOST_SETUP),
        ('fixed part of a host', fixed, HOST_SETUP),
        (
            'per linked host of another cell',
            linked / far_hosts,
            f'{CELLS_SHAPE.cells} cells against 1',
        ),
        (
            'per target of another cell in the ticket',
            far / (FAR_CELLS * FAR_TARGETS_PER_CELL),
            _setup(FAR_SHAPE),
        ),
    ):
        measuring.emit(f'{what}: {name}', value, unit, setup)


def line_through(
    sizes: abc.Sequence[float], values: abc.Sequence[float]
) -> tuple[float, float]:
    """Fit a line by least squares; returns its slope and its value at 0."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    above = 0.0
    below = 0.0
    for size, value in zip(sizes, values, strict=True):
        above += (size - mean_size) * (value - mean_value)
        below += (size - mean_size) ** 2
    slope = above / below
    return slope, mean_value - slope * mean_size


# Tickets.


def _measure_tickets(cells: int, hosts: int) -> None:
    """Time tickets and count the calls of the store that each causes."""
    domains = _domains(cells, hosts, 2)
    setup = f'{cells * hosts} hosts in {cells} cells, 2 targets each'
    slots = BASE_SLOTS * cells
    with measuring.running(domains, (SERVICE,), slots) as fleet:
        touches = fleet_module.initial_touches(fleet)
        number = measuring.file_first_ticket(fleet)
        measuring.wait_for_owners(fleet)
        time.sleep(CALM_S)
        idle = _calls_within(fleet, lambda: time.sleep(CALM_S))
        times: list[float] = []

        def file_many() -> None:
            for each in range(TICKETS):
                ranks = dict(touches['ranks'])
                ranks['bulk'] = {'floor': 0.05 + 0.01 * (each + 1)}
                filed = _time_ticket(fleet, {'ranks': ranks}, number + each)
                times.append(filed)
                time.sleep(CALM_S)

        used = _calls_within(fleet, file_many)
        _report_tickets(times, idle, used, f'{setup}; {TICKETS} tickets')
        number += TICKETS
        services = touches['services']
        ranges = services[SERVICE]['ranges']
        ranges[0]['to'] = ranges[1]['from'] = BASE_SLOTS - MOVED_SLOTS
        begun = time.monotonic()
        _time_ticket(fleet, {'services': services}, number)
        fleet_module.wait_until(lambda: _moved(fleet))
        measuring.emit(
            f'ticket that moves {MOVED_SLOTS} slots to another cell, '
            'until all are owned',
            time.monotonic() - begun,
            's',
            f'{setup}; 1 ticket',
        )


def _calls_within(
    fleet: fleet_module.Fleet, function: abc.Callable[[], None]
) -> tuple[float, int, int]:
    """Count the reads and writes of the store while a function runs."""
    begun = time.monotonic()
    before = _counters(fleet)
    function()
    after = _counters(fleet)
    return (
        time.monotonic() - begun,
        after['reads'] - before['reads'],
        after['writes'] - before['writes'],
    )


def _report_tickets(
    times: list[float],
    idle: tuple[float, int, int],
    used: tuple[float, int, int],
    setup: str,
) -> None:
    spread = measuring.summarize_times(times)
    name = 'ticket, from filing until in force on every host'
    measuring.emit(f'{name}, p50', spread.p50_s, 's', setup)
    measuring.emit(f'{name}, max', spread.longest_s, 's', setup)
    for kind, column in (('reads', 1), ('writes', 2)):
        expected = idle[column] / idle[0] * used[0]
        each = (used[column] - expected) / len(times)
        measuring.emit(f'ticket: {kind} of the store', each, '1', setup)


def _moved(fleet: fleet_module.Fleet) -> bool:
    first, second = (each.name for each in fleet.domains[:2])
    wanted_by_cell = {
        first: BASE_SLOTS - MOVED_SLOTS,
        second: BASE_SLOTS + MOVED_SLOTS,
    }
    for cell, wanted in wanted_by_cell.items():
        shown = measuring.cell_status(fleet, cell)
        if shown['effective'] != shown['version']:
            return False
        slots = sum(each['slots'] for each in shown['targets'].values())
        if slots != wanted:
            return False
    return True


def _time_ticket(
    fleet: fleet_module.Fleet, touches: dict[str, typing.Any], expected: int
) -> float:
    begun = time.monotonic()
    status, answer = fleet_module.file_ticket(
        fleet, touches, expected, f'measure-{expected + 1}'
    )
    if status >= 300:
        raise RuntimeError(f'refused: {answer["problems"][:3]}')

    def in_force() -> bool:
        for host in fleet.daemon_by_host:
            shown = fleet_module.get_status(fleet, host)
            if shown['ticket'] <= expected or not shown['in_force']:
                return False
        return True

    fleet_module.wait_until(in_force)
    return time.monotonic() - begun


if __name__ == '__main__':
    main()
