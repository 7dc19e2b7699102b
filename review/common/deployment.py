"""A small deployment on loopback: store, targets, and routers as processes.

The store is the project's own stand-in; targets and relays are in this folder.
All of them run in this process, the routers run as processes of their own.
"""

import asyncio
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import typing

from amaranthcrank.router import http_server
from amaranthcrank.router import model
from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
# The figures of the site file that claim.txt names.
SETTINGS = """\
grants=rpc
self.nodeName={name}
self.role=router
self.machineClass=front
self.serves=front
self.ip={ip}
self.zone={zone}
self.region=north
self.countsAsLoss=false
self.bootstrap=true
self.limits.cpuShare=0.86
self.limits.cores=1
self.limits.memoryMb=300
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
network.listen.front={ip}:{port}
network.listen.readiness={ip}:{probe_port}
network.internalPorts={peer_port},{last_port}
network.zones.a=north
network.zones.b=north
platform.discovery=platform
platform.entry=vip
platform.heartbeatMs=1500
platform.platform.address={store}
platform.platform.form=objects
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.historyS=20
platform.platform.valueBytes=1048576
platform.platform.ttlMinMs=1000
terms.contracts=base,drain,config,cost,retry,recover,own,platform
terms.bounds.seedLagS=3
terms.bounds.reuseAfterS=2
terms.bounds.stableWindowMs=3000
terms.bounds.ackMs=4000
terms.bounds.catchUpS=4
terms.bounds.drainMs=2000
terms.bounds.graceS=6
terms.bounds.lossSlackMs=200
terms.bounds.configApplyMs=2000
terms.bounds.rollbackSlackMs=250
terms.bounds.skewMaxMs=5000
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindowS=10
terms.bounds.budgetMinRetries=64
terms.bounds.recoverS=15
terms.bounds.holdMaxMs=10000
terms.bounds.thawMs=300
"""
ROUTE_COLUMNS = [
    'name',
    'host',
    'pathPrefix',
    'kind',
    'timeoutMs',
    'aimMs',
    'priority',
    'service',
    'maxAttempts',
    'weightedClusters',
]
SERVICE_COLUMNS = ['name', 'healthPath', 'maxConnections', 'sharded', 'warmS']
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 67108864,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}
# Below the range of ports of outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 30_000
READY_TIMEOUT_S = 20.0
MAX_RUN_S = 110.0
# Events of the routers' logs that are copied to the record.
COPIED_EVENTS = (
    'lease_taken',
    'lease_unread',
    'keys_move',
    'former_owner_ended',
    'renewal_failed',
    'stopping',
    'stopped',
)

BROKEN = 1
HELD = 0
NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not run, so it shows nothing."""


def is_trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Create the file."""
        self.started_at = time.monotonic()
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f'{self.now():8.3f} {text}\n')

    def close(self) -> None:
        """Write all that is left."""
        self._file.close()


def free_port(ip: str = '127.0.0.1', count: int = 1) -> int:
    """Return the first of some adjacent ports, free for TCP and UDP."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT)
        if all(_is_free(ip, first + index) for index in range(count)):
            return first


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


class Router:
    """A router's process, started with the command of the deploy file."""

    def __init__(
        self, name: str, ip: str, zone: str, store: model.Address, folder: str
    ) -> None:
        """Write the settings file."""
        self.name = name
        port = free_port(ip, 8)
        self.address = model.Address(ip, port)
        self.probe_address = model.Address(ip, port + 1)
        self._settings = pathlib.Path(folder) / f'{name}.conf'
        self.log_path = pathlib.Path(folder) / f'{name}.log'
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                port=port,
                probe_port=port + 1,
                peer_port=port + 2,
                last_port=port + 7,
                store=f'{store.ip}:{store.port}',
            ),
            encoding='utf-8',
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'amaranthcrank.router.main'],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'AMARANTHCRANK_SETTINGS': str(self._settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def memory_mb(self) -> tuple[float, float]:
        """Return the present and the peak resident memory."""
        now = peak = 0.0
        assert self.process is not None
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return now, peak
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                now = int(line.split()[1]) / 1024
            if line.startswith('VmHWM:'):
                peak = int(line.split()[1]) / 1024
        return now, peak

    def events(self) -> str:
        """Return the log so far."""
        return self.log_path.read_text('utf-8', 'replace')


class Store(platform_store.PlatformStore):
    """The project's store, which can be away and lose answers of writes.

    Attributes:
      loses_answer: Called with the method, the kind, the name and the body of
        each write; returns whether its answer is lost.
    """

    def __init__(self) -> None:
        """Lose no answers."""
        super().__init__()
        self._is_away = False
        self.loses_answer: typing.Callable[[str, str, str, bytes], bool] = (
            lambda *_: False
        )

    def go_away(self) -> None:
        """Refuse calls with 503; waiting watches hear nothing."""
        self._is_away = True
        self.fault = platform_store.BUSY

    def come_back(self) -> None:
        """Answer again; waiting watches hear what has changed."""
        self._is_away = False
        self.fault = ''
        self._wake_watchers()

    def _wake_watchers(self) -> None:
        if not self._is_away:
            super()._wake_watchers()

    async def _handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        response = await super()._handle(request)
        if request.method == b'GET':
            return response
        path = request.path.decode().partition('?')[0]
        kind, _, name = path.removeprefix(platform_store.PREFIX).partition('/')
        if self.loses_answer(
            request.method.decode(), kind, name, request.body
        ):
            # The write is done; the connection returns nothing further.
            await asyncio.sleep(3600)
        return response


class Deployment:
    """The store and the routers of a case.

    Attributes:
      store: The store.
      routers: The routers.
      record: What was sent, answered and run.
    """

    def __init__(self, record: Record) -> None:
        """Create the parts; nothing is started."""
        self.record = record
        self.store = Store()
        self.store_address = model.Address('127.0.0.1', free_port())
        self.routers: list[Router] = []
        self._folder = tempfile.TemporaryDirectory()
        self._version = 0

    async def start(
        self,
        router_count: int,
        routes: typing.Sequence[typing.Sequence[typing.Any]],
        services: typing.Sequence[typing.Sequence[typing.Any]],
    ) -> None:
        """Start the store and the routers."""
        await self.store.listen(self.store_address)
        self.write_manifest(routes, services)
        for number in range(router_count):
            router = Router(
                f'front-{number + 1}',
                f'127.0.2.{number + 1}',
                'ab'[number % 2],
                self.store_address,
                self._folder.name,
            )
            router.start()
            self.routers.append(router)

    def write_manifest(
        self,
        routes: typing.Sequence[typing.Sequence[typing.Any]],
        services: typing.Sequence[typing.Sequence[typing.Any]],
    ) -> None:
        """Write the next version of the manifest."""
        self._version += 1
        spec = {
            'version': f'r{self._version}',
            'routes': {'columns': ROUTE_COLUMNS, 'rows': list(routes)},
            'services': {'columns': SERVICE_COLUMNS, 'rows': list(services)},
            'limits': LIMITS,
        }
        self.store.put('config', 'main', {'spec': spec})

    async def wait_until_ready(self) -> None:
        """Wait until all routers answer their probe with 200.

        Raises:
          CannotRunError: One of them does not in time.
        """
        end_at = time.monotonic() + READY_TIMEOUT_S
        for router in self.routers:
            while not await _is_ready(router.probe_address):
                if time.monotonic() > end_at:
                    raise CannotRunError(f'{router.name} is not ready')
                await asyncio.sleep(0.1)
        self.record.line('all routers are ready')

    def leader(self) -> Router | None:
        """Return the router that the stored lease names."""
        item = self.store.get('router-leases', 'key-controller')
        if item is None:
            return None
        holder = item['spec']['holder']
        for router in self.routers:
            if router.name == holder:
                return router
        return None

    def close(self) -> None:
        """End all processes; copy what they decided to the record."""
        for router in self.routers:
            router.kill()
            for line in router.events().splitlines():
                if any(f'"event":"{each}"' in line for each in COPIED_EVENTS):
                    self.record.line(f'log of {router.name}: {line[:300]}')
        self.store.server.close()
        self._folder.cleanup()


async def _is_ready(address: model.Address) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.write(b'GET /v1/readyz HTTP/1.1\r\nHost: probe\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return line.startswith(b'HTTP/1.1 200')


def run(case: typing.Callable[[Record], typing.Awaitable[bool]], file: str):
    """Run a case and exit with its result.

    Args:
      case: Returns whether the rule was broken.
      file: The case's own file; record.txt is written beside it.
    """
    record = Record(pathlib.Path(file).resolve().parent)
    status = NOT_RUN
    try:
        broken = asyncio.run(_limited(case, record))
        status = BROKEN if broken else HELD
        record.line('the rule was BROKEN' if broken else 'the rule HELD')
        print('the rule was broken' if broken else 'the rule held')
    except Exception as error:
        # Whatever fails in the case itself shows nothing about the router.
        record.line(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
    finally:
        record.close()
    raise SystemExit(status)


async def _limited(
    case: typing.Callable[[Record], typing.Awaitable[bool]], record: Record
) -> bool:
    async with asyncio.timeout(MAX_RUN_S):
        return await case(record)
