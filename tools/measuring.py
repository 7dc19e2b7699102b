"""What the measuring scripts share: output, processes and a ready fleet."""

from collections import abc
from concurrent import futures
import contextlib
import itertools
import json
import os
import pathlib
import socket
import typing

from hdrh import histogram

from standins import fleet as fleet_module

SETTLE_TIMEOUT_S = 30.0
MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 3
TICK_S = 1 / os.sysconf('SC_CLK_TCK')
# The recorder answers each run; figures of the daemon do without it.
NO_RECORD = ('--record-url', '')
JSON_DIGITS = 6
STARTING = 8
FIRST_PORT = 20_000
PORTS = 10_000
PORTS_APART = 131
# Several set-ups of one process take different ports.
_ports = itertools.count()


class Spread(typing.NamedTuple):
    """The spread of some times.

    Attributes:
      p50: The median, in seconds.
      p99: The 99th percentile, in seconds.
      longest: The longest, in seconds.
      count: The number of samples.
    """

    p50: float
    p99: float
    longest: float
    count: int


class Usage(typing.NamedTuple):
    """What one process has used so far.

    Attributes:
      processor_s: Seconds of processor time, user and system.
      resident_bytes: Resident memory.
    """

    processor_s: float
    resident_bytes: int


def emit(
    figure: str, value: float | None, unit: str, setup: str, seed: int = 0
) -> None:
    """Print one figure as a line of JSON; the value None: not measured."""
    if isinstance(value, float):
        value = round(value, JSON_DIGITS)
    line = {
        'figure': figure,
        'value': value,
        'unit': unit,
        'setup': setup,
        'seed': seed,
    }
    print(json.dumps(line), flush=True)


def emit_load() -> None:
    """Print how busy the machine is before anything was started."""
    emit(
        'load average before the run',
        os.getloadavg()[0],
        'processes',
        f'last minute, {os.cpu_count()} cores',
    )


def spread_of(seconds: abc.Iterable[float]) -> Spread:
    """Summarize times."""
    times = histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
    longest = 0.0
    for each in seconds:
        times.record_value(min(max(int(each * 1e6), 1), MAX_US))
        longest = max(longest, each)
    return Spread(
        times.get_value_at_percentile(50) / 1e6,
        times.get_value_at_percentile(99) / 1e6,
        longest,
        times.get_total_count(),
    )


def usage_of(pid: int) -> Usage:
    """Read what a process has used."""
    folder = pathlib.Path('/proc') / str(pid)
    # The name of the process, in parentheses, may hold spaces.
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    pages = int((folder / 'statm').read_text().split()[1])
    return Usage(
        (int(fields[11]) + int(fields[12])) * TICK_S,
        pages * os.sysconf('SC_PAGE_SIZE'),
    )


@contextlib.contextmanager
def running(
    domains: tuple[fleet_module.Domain, ...],
    services: tuple[str, ...],
    slots: int = 64,
    options: tuple[str, ...] = NO_RECORD,
) -> abc.Iterator[fleet_module.Fleet]:
    """Start a set-up whose cells have all their hosts, without a ticket.

    The hosts of a cell join one after the other: a host that reads the cell
    record while the change of an earlier join is pending never joins.
    """
    ports = _free_ports()
    none = tuple(each._replace(hosts=0, upstreams=0) for each in domains)
    with fleet_module.running(none, services, slots, options) as fleet:
        fleet.domains = domains
        jobs = []
        for domain in domains:
            for host in hosts_of(domain):
                addresses = [f'127.0.0.1:{next(ports)}' for _ in range(3)]
                # A known host is started at its old addresses.
                fleet.daemon_by_host[host] = fleet_module.Daemon(
                    host, domain.name, None, *addresses
                )
            for service in services:
                for number in range(domain.upstreams):
                    target = f'{service}-{domain.name}-{number + 1}'
                    address = f'127.0.0.1:{next(ports)}'
                    jobs.append((target, service, domain.name, address))
        with futures.ThreadPoolExecutor(STARTING) as executor:
            started = [
                executor.submit(fleet_module.start_upstream, fleet, *each)
                for each in jobs
            ]
            for each in domains:
                started.append(executor.submit(_join_hosts, fleet, each))
            for each in started:
                each.result()
        yield fleet


def hosts_of(domain: fleet_module.Domain) -> tuple[str, ...]:
    """Name the hosts of a domain."""
    return tuple(
        f'{domain.name}-{number + 1}' for number in range(domain.hosts)
    )


def _free_ports() -> abc.Iterator[int]:
    """Yield free ports outside the range the kernel connects from.

    A port of that range can be taken by a client while its server is down;
    a client that dials it can even connect to itself.
    """
    first = os.getpid() * PORTS_APART
    while True:
        port = FIRST_PORT + (first + next(_ports)) % PORTS
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        yield port


def _join_hosts(
    fleet: fleet_module.Fleet, domain: fleet_module.Domain
) -> None:
    for host in hosts_of(domain):
        fleet_module.start_daemon(fleet, host, domain)
        fleet_module.wait_until(
            lambda host=host: _has_joined(fleet, domain.name, host)
        )


def _has_joined(fleet: fleet_module.Fleet, cell: str, host: str) -> bool:
    answer = fleet.pool.request(
        'GET', f'http://{fleet.store.address}/objects/cells/{cell}'
    )
    if answer.status != 200:
        return False
    record = json.loads(answer.data)
    return host in record['hosts'] and not record['previous_attesters']


def file_first_ticket(fleet: fleet_module.Fleet) -> int:
    """File the ticket of the whole set-up; returns its number."""
    status, answer = fleet_module.file_ticket(
        fleet, fleet_module.initial_touches(fleet), 0, 'measure-1'
    )
    if status >= 300:
        raise RuntimeError(f'the ticket was refused: {answer}')
    return 1


def await_settled(fleet: fleet_module.Fleet, cell: str = '') -> None:
    """Wait until every slot has an owner that may be granted.

    Args:
      fleet: The set-up.
      cell: The cell to wait for, empty for all.
    """

    def settled() -> bool:
        for domain in fleet.domains:
            if cell in ('', domain.name) and not _is_settled(fleet, domain):
                return False
        return True

    fleet_module.wait_until(settled, SETTLE_TIMEOUT_S)


def cell_status(
    fleet: fleet_module.Fleet, cell: str, but: str = ''
) -> dict[str, typing.Any]:
    """Return what a host of a cell, other than one, shows of the cell."""
    for host, daemon in fleet.daemon_by_host.items():
        if daemon.domain == cell and host != but:
            return fleet_module.get_status(fleet, host)['cells'][cell]
    raise ValueError(cell)


def _is_settled(
    fleet: fleet_module.Fleet, domain: fleet_module.Domain
) -> bool:
    """Tell whether a cell has all hosts, and a granted owner for each slot."""
    shown = cell_status(fleet, domain.name)
    if shown['effective'] != shown['version'] or shown['version'] == 0:
        return False
    hosts = shown['hosts'].values()
    if len(hosts) != domain.hosts or not all(each['ready'] for each in hosts):
        return False
    owned = 0
    for target in shown['targets'].values():
        if target['state'] != 'active' or target['slots'] == 0:
            return False
        owned += target['slots']
    share = fleet.slots // len(fleet.domains) * len(fleet.services)
    return owned >= share
