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
WARM_S = 2.5
OBSERVED_S = 6.0
# IPv4 and TCP with timestamps; the link layer is not counted.
HEADER_BYTES = 52
CELL = 'north'
TICKETS = 5
MIB = 2**20


class Shape(typing.NamedTuple):
    """The size of one set-up."""

    hosts: int
    slots: int
    targets: int


BASE_SLOTS = 64
BASE_TARGETS = 4
HOST_SHAPES = tuple(
    Shape(hosts, BASE_SLOTS, BASE_TARGETS) for hosts in (1, 2, 3, 5, 12)
)
SLOT_SHAPE = Shape(3, 4096, BASE_TARGETS)
TARGET_SHAPE = Shape(3, BASE_SLOTS, 16)
BASE_SHAPE = Shape(3, BASE_SLOTS, BASE_TARGETS)
# Set-ups that run side by side, about equal in processes.
GROUPS = (
    (*HOST_SHAPES[:4],),
    (HOST_SHAPES[4], SLOT_SHAPE, TARGET_SHAPE),
)
# Two failure domains each.
TICKET_HOSTS = (2, 5)


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
    """

    costs: tuple[Cost, ...]
    store_calls: float
    upstream_processor: float


def main() -> None:
    """Print all figures."""
    _report_baseline()
    observed_by_shape: dict[Shape, Observed] = {}
    for group in GROUPS:
        with futures.ThreadPoolExecutor(len(group)) as executor:
            found = executor.map(_observe, group)
            observed_by_shape.update(zip(group, found, strict=True))
    for shape, observed in observed_by_shape.items():
        _report(shape, observed)
    _report_slopes(observed_by_shape)
    for hosts in TICKET_HOSTS:
        _measure_tickets(hosts)


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
    domain = fleet_module.Domain(CELL, 'one', shape.hosts, shape.targets)
    with measuring.running((domain,), (SERVICE,), shape.slots) as fleet:
        measuring.file_first_ticket(fleet)
        measuring.await_settled(fleet)
        time.sleep(WARM_S)
        controller = measuring.cell_status(fleet, CELL)['controller']
        before = _sample(fleet)
        time.sleep(OBSERVED_S)
        after = _sample(fleet)
    return _difference(fleet, controller, before, after)


class Sample(typing.NamedTuple):
    """All counters at one moment."""

    at: float
    usage_by_pid: dict[int, measuring.Usage]
    sent: dict[tuple[int, str], Sent]
    calls: int


def _sample(fleet: fleet_module.Fleet) -> Sample:
    usage_by_pid = {}
    for popen in _processes(fleet):
        usage_by_pid[popen.pid] = measuring.usage_of(popen.pid)
    at = time.monotonic()
    return Sample(at, usage_by_pid, _sent(fleet), _store_calls(fleet))


def _processes(
    fleet: fleet_module.Fleet,
) -> abc.Iterator[subprocess.Popen]:
    for daemon in fleet.daemon_by_host.values():
        yield daemon.popen
    for process in fleet.upstream_by_target.values():
        yield process.popen


def _store_calls(fleet: fleet_module.Fleet) -> int:
    answer = fleet.pool.request(
        'GET', f'http://{fleet.store.address}/counters'
    )
    return json.loads(answer.data)['calls']


def _sent(fleet: fleet_module.Fleet) -> dict[tuple[int, str], Sent]:
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


def _counted(name: str, line: str) -> int:
    found = re.search(rf'\s{name}:(\d+)', line)
    return int(found[1]) if found else 0


def _difference(
    fleet: fleet_module.Fleet, controller: str, before: Sample, after: Sample
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
        counted = sent(pid, kind)
        wire = counted.payload + counted.segments * HEADER_BYTES
        return wire / seconds

    upstreams = [each.popen.pid for each in fleet.upstream_by_target.values()]
    back = sum(bytes_a_second(each, 'target') for each in upstreams)
    costs = []
    for host, daemon in fleet.daemon_by_host.items():
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
        (after.calls - before.calls) / seconds,
        sum(processor(each) for each in upstreams) / len(upstreams),
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
    'processor': 'control processor time per host',
    'link_bytes': 'bytes sent to other hosts per host',
    'link_frames': 'frames sent to other hosts per host',
    'target_bytes': 'bytes to and from upstreams per host',
    'store_bytes': 'bytes sent to the store per host',
    'resident_mib': 'resident memory per host',
}


def _setup(shape: Shape) -> str:
    return (
        f'idle cell of {shape.hosts} hosts, {shape.slots} slots, '
        f'{shape.targets} targets'
    )


def _mean(observed: Observed, field: str) -> float:
    values = [getattr(each, field) for each in observed.costs]
    return sum(values) / len(values)


def _report(shape: Shape, observed: Observed) -> None:
    setup = _setup(shape)
    for field, unit in UNIT_BY_FIELD.items():
        name = f'{NAME_BY_FIELD[field]}, mean'
        measuring.emit(name, _mean(observed, field), unit, setup)
    for cost in observed.costs:
        if cost.controller:
            measuring.emit(
                'control processor time, acting controller',
                cost.processor,
                's/s',
                setup,
            )
    measuring.emit('store calls of a cell', observed.store_calls, '1/s', setup)
    measuring.emit(
        'control processor time of an upstream',
        observed.upstream_processor,
        's/s',
        setup,
    )


def _report_slopes(observed_by_shape: dict[Shape, Observed]) -> None:
    for name, field, shapes in (
        ('hosts per cell', 'hosts', HOST_SHAPES),
        ('slots per cell', 'slots', (BASE_SHAPE, SLOT_SHAPE)),
        ('targets per cell', 'targets', (BASE_SHAPE, TARGET_SHAPE)),
    ):
        sizes = [getattr(each, field) for each in shapes]
        setup = f'least squares over {field} {sizes}'
        for cost, unit in UNIT_BY_FIELD.items():
            values = [_mean(observed_by_shape[each], cost) for each in shapes]
            slope, base = line_through(sizes, values)
            what = f'{NAME_BY_FIELD[cost]} over {name}'
            measuring.emit(f'slope of {what}', slope, unit, setup)
            measuring.emit(f'base of {what}', base, unit, setup)
        calls = [observed_by_shape[each].store_calls for each in shapes]
        slope, base = line_through(sizes, calls)
        what = f'store calls of a cell over {name}'
        measuring.emit(f'slope of {what}', slope, '1/s', setup)
        measuring.emit(f'base of {what}', base, '1/s', setup)


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


def _measure_tickets(hosts: int) -> None:
    """Time tickets in two cells, each of so many hosts."""
    domains = (
        fleet_module.Domain('north', 'one', hosts, 2),
        fleet_module.Domain('south', 'two', hosts, 2),
    )
    setup = f'{2 * hosts} hosts in 2 cells, 4 targets'
    with measuring.running(domains, (SERVICE,)) as fleet:
        touches = fleet_module.first_touches(fleet)
        number = measuring.file_first_ticket(fleet)
        measuring.await_settled(fleet)
        times = []
        for each in range(TICKETS):
            ranks = dict(touches['ranks'])
            ranks['bulk'] = {'floor': 0.05 + 0.01 * (each + 1)}
            times.append(_time_ticket(fleet, {'ranks': ranks}, number))
            number += 1
        spread = measuring.spread_of(times)
        name = 'ticket, from filing until in force on every host'
        setup_many = f'{setup}; {TICKETS} tickets'
        measuring.emit(f'{name}, p50', spread.p50, 's', setup_many)
        measuring.emit(f'{name}, max', spread.longest, 's', setup_many)
        services = touches['services']
        services[SERVICE]['ranges'] = [
            {'cell': 'north', 'from': 0, 'to': 48},
            {'cell': 'south', 'from': 48, 'to': 64},
        ]
        begun = time.monotonic()
        _time_ticket(fleet, {'services': services}, number)
        fleet_module.wait_until(lambda: _moved(fleet, 48))
        measuring.emit(
            'ticket that moves 16 slots to another cell, until all are owned',
            time.monotonic() - begun,
            's',
            f'{setup}; 1 ticket',
        )


def _moved(fleet: fleet_module.Fleet, owned: int) -> bool:
    for cell in ('north', 'south'):
        shown = measuring.cell_status(fleet, cell)
        if shown['effective'] != shown['version']:
            return False
        slots = sum(each['slots'] for each in shown['targets'].values())
        wanted = owned if cell == 'north' else BASE_SLOTS - owned
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
        raise RuntimeError(f'the ticket was refused: {answer}')

    def in_force() -> bool:
        for host in fleet.daemon_by_host:
            shown = fleet_module.status_of(fleet, host)
            if shown['ticket'] <= expected or not shown['in_force']:
                return False
        return True

    fleet_module.wait_until(in_force)
    return time.monotonic() - begun


if __name__ == '__main__':
    main()
