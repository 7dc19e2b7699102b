"""Shared by the measurements: output, process usage and deployments."""

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

OWNERS_TIMEOUT_S = 30.0
MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 3
TICK_S = 1 / os.sysconf('SC_CLK_TCK')
# Upstreams wait for the recorder to store each run, which must not be part of
# the figures of the daemon.
NO_RECORDER_OPTIONS = ('--record-url', '')
JSON_DIGITS = 6
START_THREADS = 8
FIRST_PORT = 20_000
PORT_COUNT = 10_000
# The distance between the first ports of processes with consecutive ids.
PORT_STRIDE = 131
# Deployments that run in one process at the same time use different ports.
_port_offsets = itertools.count()


class TimeSummary(typing.NamedTuple):
    """Percentiles of measured times.

    Attributes:
      p50_s: The median.
      p99_s: The 99th percentile.
      longest_s: The longest time.
      count: The number of samples.
    """

    p50_s: float
    p99_s: float
    longest_s: float
    count: int


class ProcessUsage(typing.NamedTuple):
    """The resource usage of a process since its start.

    Attributes:
      processor_s: Processor time, user and system.
      resident_bytes: Resident memory.
    """

    processor_s: float
    resident_bytes: int


def emit(
    figure: str, value: float | None, unit: str, setup: str, seed: int = 0
) -> None:
    """Print one figure as a line of JSON; None if it was not measured."""
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
    """Print the load average of the machine before any process starts."""
    emit(
        'load average before the run',
        os.getloadavg()[0],
        'processes',
        f'last minute, {os.cpu_count()} cores',
    )


def summarize_times(seconds: abc.Iterable[float]) -> TimeSummary:
    """Compute the percentiles of measured times."""
    times_us = histogram.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
    longest_s = 0.0
    for each in seconds:
        times_us.record_value(min(max(int(each * 1e6), 1), MAX_US))
        longest_s = max(longest_s, each)
    return TimeSummary(
        times_us.get_value_at_percentile(50) / 1e6,
        times_us.get_value_at_percentile(99) / 1e6,
        longest_s,
        times_us.get_total_count(),
    )


def read_usage(pid: int) -> ProcessUsage:
    """Read the resource usage of a process from /proc."""
    folder = pathlib.Path('/proc') / str(pid)
    # The process name, in parentheses, may contain spaces.
    fields = (folder / 'stat').read_text().rpartition(')')[2].split()
    pages = int((folder / 'statm').read_text().split()[1])
    return ProcessUsage(
        (int(fields[11]) + int(fields[12])) * TICK_S,
        pages * os.sysconf('SC_PAGE_SIZE'),
    )


@contextlib.contextmanager
def running(
    domains: tuple[fleet_module.Domain, ...],
    services: tuple[str, ...],
    slots: int = 64,
    upstream_options: tuple[str, ...] = NO_RECORDER_OPTIONS,
) -> abc.Iterator[fleet_module.Fleet]:
    """Start a deployment whose cells have all their hosts, without a ticket.

    The hosts of a cell join one after the other: a host that reads the cell
    record while the change of an earlier join is pending never joins.

    Args:
      domains: The failure domains.
      services: The services.
      slots: Hash slots of each service.
      upstream_options: Additional command line options of each upstream.

    Yields:
      The deployment.
    """
    ports = _free_ports()
    empty_domains = tuple(
        each._replace(hosts=0, upstreams=0) for each in domains
    )
    with fleet_module.running(
        empty_domains, services, slots, upstream_options
    ) as fleet:
        fleet.domains = domains
        upstream_args = []
        for domain in domains:
            for host in host_names(domain):
                addresses = [f'127.0.0.1:{next(ports)}' for _ in range(3)]
                # start_daemon takes the addresses from this entry.
                fleet.daemon_by_host[host] = fleet_module.Daemon(
                    host, domain.name, None, *addresses
                )
            for service in services:
                for number in range(domain.upstreams):
                    target = f'{service}-{domain.name}-{number + 1}'
                    address = f'127.0.0.1:{next(ports)}'
                    upstream_args.append(
                        (target, service, domain.name, address)
                    )
        with futures.ThreadPoolExecutor(START_THREADS) as executor:
            pending = [
                executor.submit(fleet_module.start_upstream, fleet, *each)
                for each in upstream_args
            ]
            for each in domains:
                pending.append(executor.submit(_join_hosts, fleet, each))
            for each in pending:
                each.result()
        yield fleet


def host_names(domain: fleet_module.Domain) -> tuple[str, ...]:
    """Return the names of the hosts of a failure domain."""
    return tuple(
        f'{domain.name}-{number + 1}' for number in range(domain.hosts)
    )


def _free_ports() -> abc.Iterator[int]:
    """Yield free ports below the ephemeral port range of the kernel.

    An outgoing connection can take an ephemeral port while the server of that
    port is down; a client that dials the port can even connect to itself.
    """
    first_offset = os.getpid() * PORT_STRIDE
    while True:
        port = FIRST_PORT + (first_offset + next(_port_offsets)) % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        yield port


def _join_hosts(
    fleet: fleet_module.Fleet, domain: fleet_module.Domain
) -> None:
    for host in host_names(domain):
        fleet_module.start_daemon(fleet, host, domain)
        fleet_module.wait_until(
            lambda host=host: _has_joined(fleet, domain.name, host)
        )


def _has_joined(fleet: fleet_module.Fleet, cell: str, host: str) -> bool:
    response = fleet.pool.request(
        'GET', f'http://{fleet.store.address}/objects/cells/{cell}'
    )
    if response.status != 200:
        return False
    record = json.loads(response.data)
    return host in record['hosts'] and not record['previous_attesters']


def file_first_ticket(fleet: fleet_module.Fleet) -> int:
    """File the ticket of the whole deployment; returns its number."""
    status, response = fleet_module.file_ticket(
        fleet, fleet_module.initial_touches(fleet), 0, 'measure-1'
    )
    if status >= 300:
        raise RuntimeError(f'the host refused the first ticket: {response}')
    return 1


def wait_for_owners(fleet: fleet_module.Fleet, cell: str = '') -> None:
    """Wait until cells have all their hosts and an owner for every slot.

    Args:
      fleet: The deployment.
      cell: The cell to wait for, empty for all.
    """

    def all_cells_ready() -> bool:
        for domain in fleet.domains:
            if cell in ('', domain.name) and not _is_ready(fleet, domain):
                return False
        return True

    fleet_module.wait_until(all_cells_ready, OWNERS_TIMEOUT_S)


def cell_status(
    fleet: fleet_module.Fleet, cell: str, excluded_host: str = ''
) -> dict[str, typing.Any]:
    """Return the status of a cell as a host of the cell reports it.

    Args:
      fleet: The deployment.
      cell: The cell.
      excluded_host: A host that is not to be asked, empty for none.
    """
    for host, daemon in fleet.daemon_by_host.items():
        if daemon.domain == cell and host != excluded_host:
            return fleet_module.get_status(fleet, host)['cells'][cell]
    raise ValueError(cell)


def _is_ready(fleet: fleet_module.Fleet, domain: fleet_module.Domain) -> bool:
    """Return whether a cell has all its hosts and an owner for every slot."""
    status = cell_status(fleet, domain.name)
    if status['effective'] != status['version'] or status['version'] == 0:
        return False
    hosts = status['hosts'].values()
    if len(hosts) != domain.hosts or not all(each['ready'] for each in hosts):
        return False
    owned = 0
    for target in status['targets'].values():
        if target['state'] != 'active' or target['slots'] == 0:
            return False
        owned += target['slots']
    share = fleet.slots // len(fleet.domains) * len(fleet.services)
    return owned >= share
