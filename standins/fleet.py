"""A complete deployment as processes on loopback, for the demo and tests."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import urllib3

from amaranthcrank.record import store_client
from standins import processes

CLUSTER_KEY = 'cluster-key-of-a-test-0123456789abcdef'
OPERATOR_KEY = 'operator-key-of-a-test-0123456789abcd'
START_TIMEOUT_S = 30.0
POLL_S = 0.02
# Below the ephemeral range, which begins at 32768 on Linux.
FIRST_PORT = 12_000
MAX_PORTS = 20_000


class Domain(typing.NamedTuple):
    """One failure domain of the deployment.

    Attributes:
      name: The name of the failure domain and of its cell.
      region: The region.
      hosts: The number of entry hosts.
      upstreams: The number of upstreams of each service.
    """

    name: str
    region: str
    hosts: int
    upstreams: int


class Daemon(typing.NamedTuple):
    """A running entry host.

    Attributes:
      host: The host id.
      domain: The failure domain.
      popen: The process.
      callers: host:port for callers.
      operators: host:port for operators.
      peers: host:port for other hosts.
    """

    host: str
    domain: str
    popen: subprocess.Popen
    callers: str
    operators: str
    peers: str


class Fleet:
    """The processes of one deployment.

    Attributes:
      services: The services.
      domains: The failure domains.
      slots: The number of hash slots of each service.
      daemon_by_host: The entry hosts.
      upstream_by_target: The upstreams.
      section_by_target: The section of each target in a ticket.
      peer_address_of: Returns the peer address that the platform lists for
        an entry host; None for the one that it listens on.
    """

    def __init__(
        self,
        stack: contextlib.ExitStack,
        domains: tuple[Domain, ...],
        services: tuple[str, ...],
        slots: int = 64,
        upstream_options: tuple[str, ...] = (),
        peer_address_of: typing.Callable[[Daemon], str] | None = None,
    ) -> None:
        self.stack = stack
        self.domains = domains
        self.services = services
        self.slots = slots
        self.upstream_options = upstream_options
        self.peer_address_of = peer_address_of
        self.pool = stack.enter_context(urllib3.PoolManager(retries=False))
        self.folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.store = stack.enter_context(processes.running('standins.store'))
        self.recorder = stack.enter_context(
            processes.running('standins.recorder')
        )
        self.client = stack.enter_context(
            store_client.StoreClient(self.store.address)
        )
        self.daemon_by_host: dict[str, Daemon] = {}
        self.upstream_by_target: dict[str, processes.Process] = {}
        self.section_by_target: dict[str, dict[str, typing.Any]] = {}


@contextlib.contextmanager
def running(
    domains: tuple[Domain, ...],
    services: tuple[str, ...],
    slots: int = 64,
    upstream_options: tuple[str, ...] = (),
    peer_address_of: typing.Callable[[Daemon], str] | None = None,
) -> typing.Iterator[Fleet]:
    """Start store, recorder, upstreams and entry hosts; kill them at the end.

    Args:
      domains: The failure domains.
      services: The services.
      slots: Hash slots of each service.
      upstream_options: Additional command line options of each upstream.
      peer_address_of: Returns the peer address that the platform lists for
        an entry host; None for the one that it listens on.

    Yields:
      The deployment, before the first ticket.
    """
    with contextlib.ExitStack() as stack:
        fleet = Fleet(
            stack, domains, services, slots, upstream_options, peer_address_of
        )
        starting = []
        for domain in domains:
            for service in services:
                for number in range(domain.upstreams):
                    target = f'{service}-{domain.name}-{number + 1}'
                    start_upstream(fleet, target, service, domain.name)
            for number in range(domain.hosts):
                host = f'{domain.name}-{number + 1}'
                starting.append(_spawn_daemon(fleet, host, domain))
        for host, domain, popen, ready in starting:
            _await_daemon(fleet, host, domain, popen, ready)
        yield fleet


def start_upstream(
    fleet: Fleet, target: str, service: str, cell: str, address: str = ''
) -> None:
    """Start an upstream, or start it again at its old address."""
    options = _upstream_options(fleet, target, service, address)
    process = fleet.stack.enter_context(
        processes.running('standins.upstream', *options)
    )
    fleet.upstream_by_target[target] = process
    fleet.section_by_target[target] = {
        'service': service,
        'address': process.address,
        'cell': cell,
        'slots': 3,
        'connections': 110,
        'fenced': True,
        'state': 'active',
    }


def reserve_address(fleet: Fleet) -> str:
    """Reserve a free address that no outgoing connection takes.

    A process that is started again needs its old port, and outgoing
    connections may take any port of the ephemeral range meanwhile. A bound
    UDP port of the same number reserves the address among deployments that
    run at once, until this one ends.
    """
    for port in range(FIRST_PORT, FIRST_PORT + MAX_PORTS):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            reserved = stack.enter_context(
                socket.socket(type=socket.SOCK_DGRAM)
            )
            reserved.bind(('127.0.0.1', port))
            probe = stack.enter_context(socket.socket())
            probe.bind(('127.0.0.1', port))
            probe.close()
            fleet.stack.enter_context(stack.pop_all())
            return f'127.0.0.1:{port}'
    raise RuntimeError('no port is free')


def _upstream_options(
    fleet: Fleet, target: str, service: str, address: str
) -> tuple[str, ...]:
    return (
        '--target',
        target,
        '--service',
        service,
        '--address',
        address or reserve_address(fleet),
        '--record-url',
        f'http://{fleet.recorder.address}',
        *fleet.upstream_options,
    )


def replace_upstream(fleet: Fleet, target: str) -> float:
    """Kill an upstream; a standby process takes its address immediately.

    A process needs half a second to load its modules, and by then the old
    one counts as lost. The standby has loaded them before the old one ends.

    Returns:
      The time of the kill, monotonic seconds.
    """
    old = fleet.upstream_by_target[target]
    service = fleet.section_by_target[target]['service']
    options = _upstream_options(fleet, target, service, old.address)
    standby = fleet.stack.enter_context(
        processes.running_standby('standins.upstream', *options, '--standby')
    )
    # Its modules are loaded once it prints this line.
    standby.stdout.readline()
    killed_at = time.monotonic()
    old.popen.kill()
    old.popen.wait()
    fleet.upstream_by_target[target] = processes.activate(standby)
    return killed_at


def start_daemon(
    fleet: Fleet, host: str, domain: Domain, registered: bool = True
) -> Daemon:
    """Start an entry host and wait until it listens.

    Args:
      fleet: The deployment.
      host: The host id.
      domain: The failure domain.
      registered: Whether the platform registers it, which needs the store.

    Returns:
      The entry host.
    """
    return _await_daemon(
        fleet, *_spawn_daemon(fleet, host, domain), registered
    )


def _spawn_daemon(
    fleet: Fleet, host: str, domain: Domain
) -> tuple[str, Domain, subprocess.Popen, pathlib.Path]:
    ready = pathlib.Path(fleet.folder) / f'{host}.json'
    ready.unlink(missing_ok=True)
    log = fleet.stack.enter_context(
        open(pathlib.Path(fleet.folder) / f'{host}.log', 'a')
    )
    old = fleet.daemon_by_host.get(host)
    settings = {
        'host_id': host,
        'failure_domain': domain.name,
        'region': domain.region,
        'caller_address': old.callers if old else reserve_address(fleet),
        'peer_address': old.peers if old else reserve_address(fleet),
        'operator_address': old.operators if old else reserve_address(fleet),
        'store_url': f'http://{fleet.store.address}',
        'peers': ','.join(
            f'{each.host}={each.peers}'
            for each in fleet.daemon_by_host.values()
            if each.host != host
        ),
        'cluster_keys': CLUSTER_KEY,
        'operator_keys': OPERATOR_KEY,
        'log_level': 'info',
        'ready_file': str(ready),
    }
    env = dict(os.environ)
    for name, value in settings.items():
        env[f'AMARANTHCRANK_{name.upper()}'] = value
    popen = subprocess.Popen(
        [sys.executable, '-m', 'amaranthcrank.daemon.main'],
        cwd=processes.ROOT,
        env=env,
        stdout=log,
        stderr=log,
    )
    fleet.stack.callback(_kill, popen)
    return host, domain, popen, ready


def _await_daemon(
    fleet: Fleet,
    host: str,
    domain: Domain,
    popen: subprocess.Popen,
    ready: pathlib.Path,
    registered: bool = True,
) -> Daemon:
    wait_until(lambda: ready.exists() or popen.poll() is not None)
    if not ready.exists():
        raise RuntimeError(f'{host} ended: {read_log(fleet, host)}')
    daemon = Daemon(host, domain.name, popen, **json.loads(ready.read_text()))
    fleet.daemon_by_host[host] = daemon
    if not registered:
        return daemon
    # The platform registers hosts; an entry host never registers itself.
    address = (
        fleet.peer_address_of(daemon)
        if fleet.peer_address_of
        else daemon.peers
    )
    store_client.put_host(fleet.client, host, address, domain.name, 'live')
    return daemon


def _kill(popen: subprocess.Popen) -> None:
    if popen.poll() is None:
        popen.send_signal(signal.SIGCONT)
        popen.kill()
    popen.wait()


def read_log(fleet: Fleet, host: str) -> str:
    """Return the log of a host."""
    return (pathlib.Path(fleet.folder) / f'{host}.log').read_text()


def wait_until(
    condition: typing.Callable[[], bool], timeout_s: float = START_TIMEOUT_S
) -> None:
    """Poll a condition; raises TimeoutError if it does not become true."""
    end_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_at:
            raise TimeoutError('the condition did not become true in time')
        time.sleep(POLL_S)


def initial_touches(fleet: Fleet) -> dict[str, typing.Any]:
    """Return the sections of a ticket for the whole deployment."""
    names = [each.name for each in fleet.domains]
    services = {}
    for service in fleet.services:
        services[service] = {
            'slots': fleet.slots,
            'ranges': _equal_ranges(names, fleet.slots),
            'targets': _target_entries(fleet, service),
            'pins': {},
        }
    cells = {}
    for domain in fleet.domains:
        cells[domain.name] = {
            'failure_domain': domain.name,
            'region': domain.region,
            'attester': _choose_attester(fleet, domain),
        }
    return {
        'services': services,
        'cells': cells,
        'ranks': {'normal': {'floor': 0.15}, 'bulk': {'floor': 0.05}},
    }


def _equal_ranges(names: list[str], slots: int) -> list[dict[str, typing.Any]]:
    ranges = []
    for number, name in enumerate(names):
        begin = number * slots // len(names)
        end = (number + 1) * slots // len(names)
        ranges.append({'cell': name, 'from': begin, 'to': end})
    return ranges


def _target_entries(
    fleet: Fleet, service: str
) -> dict[str, dict[str, typing.Any]]:
    targets = {}
    for target, section in fleet.section_by_target.items():
        if section['service'] != service:
            continue
        entry = dict(section)
        del entry['service']
        targets[target] = entry
    return targets


def _choose_attester(fleet: Fleet, domain: Domain) -> str | None:
    """Return the first host of another domain, for a cell of two hosts."""
    if domain.hosts != 2:
        return None
    for daemon in fleet.daemon_by_host.values():
        if daemon.domain != domain.name:
            return daemon.host
    return None


def file_ticket(
    fleet: Fleet, touches: dict[str, typing.Any], expected: int, uid: str
) -> tuple[int, dict[str, typing.Any]]:
    """File a ticket at the first host; returns the status and the response."""
    daemon = next(iter(fleet.daemon_by_host.values()))
    document = {
        'author': 'test',
        'uid': uid,
        'expected': expected,
        'touches': touches,
    }
    response = fleet.pool.request(
        'POST',
        f'http://{daemon.operators}/tickets',
        body=json.dumps(document).encode(),
        headers={'Authorization': f'Bearer {OPERATOR_KEY}'},
    )
    return response.status, json.loads(response.data)


def get_status(fleet: Fleet, host: str) -> dict[str, typing.Any]:
    """Return the status that a host shows to operators."""
    daemon = fleet.daemon_by_host[host]
    response = fleet.pool.request(
        'GET',
        f'http://{daemon.operators}/status',
        headers={'Authorization': f'Bearer {OPERATOR_KEY}'},
    )
    return json.loads(response.data)


def get_records(fleet: Fleet) -> dict[str, typing.Any]:
    """Return all runs and holds that the recorder has."""
    response = fleet.pool.request(
        'GET', f'http://{fleet.recorder.address}/all'
    )
    return json.loads(response.data)
