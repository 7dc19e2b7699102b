"""Starts a small site: the store, targets and the project's routers."""

import asyncio
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
import traceback
import typing

import record
import store as stores
import target as targets
import wire

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = 'desk.example'
# A script may run for 120 s.
MAX_RUN_S = 110.0
ZONES = {'zone-a': 'north', 'zone-b': 'north', 'zone-c': 'south'}

SETTINGS = """\
grants=rpc
self.nodeName={name}
self.role=router
self.machineClass=front
self.serves=front
self.ip={ip}
self.zone={zone}
self.region={region}
self.countsAsLoss=false
self.bootstrap=true
self.limits.cpuShare=0.86
self.limits.cores=1
self.limits.memoryMb=300
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
network.listen.front={ip}:{front}
network.listen.readiness={ip}:{readiness}
network.internalPorts={internal},{internal_last}
network.seeds=
network.zones.zone-a=north
network.zones.zone-b=north
network.zones.zone-c=south
platform.discovery=platform
platform.entry=vip
platform.heartbeatMs={heartbeat_ms}
platform.platform.address={store}
platform.platform.form=objects
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.historyS=20
platform.platform.valueBytes=1048576
platform.platform.ttlMinMs=1000
terms.contracts=base,drain,config,cost,retry,recover,own,platform
terms.faultTolerance.machines=2
terms.faultTolerance.zones=0
terms.faultTolerance.regions=0
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
terms.bounds.budgetMinRetries=58
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
SERVICE_COLUMNS = [
    'name',
    'healthPath',
    'maxConnections',
    'protocol',
    'tls',
    'sharded',
    'warmS',
    'grants',
]
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 67108864,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


class Router:
    """A router process with the command of the deploy file."""

    def __init__(self, name: str, ip: str, ports: 'Ports', zone: str) -> None:
        self.name = name
        self.ip = ip
        self.front = ports.front
        self.readiness = ports.readiness
        self.zone = zone
        self.settings = ''
        self.folder = pathlib.Path()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its log goes to the temporary folder."""
        path = self.write_settings()
        deploy = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['AMARANTHCRANK_SETTINGS'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                shlex.split(deploy['roles']['router']['run']),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def write_settings(self) -> pathlib.Path:
        """Write the settings file, and return its path."""
        path = self.folder / f'{self.name}.conf'
        path.write_text(self.settings, encoding='utf-8')
        return path

    def kill(self) -> None:
        """End the process, if it runs."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    async def is_ready(self) -> bool:
        """Ask it as the platform does once a second."""
        answer = await wire.call(
            self.ip, self.readiness, 'GET', '/v1/readyz', {}, timeout_s=1.0
        )
        return answer is not None and answer.status == 200


class Ports(typing.NamedTuple):
    """Ports that are the same on all machines."""

    front: int
    readiness: int
    internal: int
    target: int
    store: int


class Site:
    """The store, targets and routers on loopback addresses."""

    def __init__(self, log: record.Record, heartbeat_s: float = 0.87) -> None:
        self.log = log
        self.heartbeat_s = heartbeat_s
        self.store = stores.Store(heartbeat_s)
        self.targets: list[targets.Target] = []
        self.routers: list[Router] = []
        self._network = random.randrange(20, 250)
        self._ports = _free_ports(self._network)
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._version = 0
        self._request_count = 0
        self._target_count = 0

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.server.listen(self.store_ip, self._ports.store)
        self._tasks.append(asyncio.create_task(self.store.expire()))

    @property
    def store_ip(self) -> str:
        """The address of the store."""
        return f'127.{self._network}.1.1'

    @property
    def store_port(self) -> int:
        """The port of the store."""
        return self._ports.store

    def put_manifest(
        self,
        routes: list[list[typing.Any]],
        services: list[list[typing.Any]],
    ) -> int:
        """Write the next version of the manifest as the operator."""
        self._version += 7
        spec = {
            'version': f'r{self._version}',
            'routes': {'columns': ROUTE_COLUMNS, 'rows': routes},
            'services': {'columns': SERVICE_COLUMNS, 'rows': services},
            'limits': LIMITS,
        }
        revision = self.store.put('config', 'main', spec)
        self.log.add('manifest', version=self._version, revision=revision)
        return revision

    def new_target(
        self, target_id: str, service: str, zone: str, keyed: bool = False
    ) -> targets.Target:
        """Return a target at an address of its own; it is not started."""
        self._target_count += 1
        added = targets.Target(
            target_id,
            service,
            zone,
            f'127.{self._network}.3.{self._target_count}',
            self._ports.target,
            keyed,
            self.store,
            self.log,
            self.heartbeat_s,
        )
        self.targets.append(added)
        return added

    def spare_address(self) -> tuple[str, int]:
        """Return an address at which nothing listens."""
        return f'127.{self._network}.4.1', self._ports.target

    def add_router(
        self, name: str, zone: str, store: tuple[str, int] | None = None
    ) -> Router:
        """Start a router."""
        ip = f'127.{self._network}.2.{len(self.routers) + 1}'
        router = Router(name, ip, self._ports, zone)
        router.folder = self.folder
        store_ip, store_port = store or (self.store_ip, self._ports.store)
        router.settings = SETTINGS.format(
            name=name,
            ip=ip,
            zone=zone,
            region=ZONES[zone],
            front=self._ports.front,
            readiness=self._ports.readiness,
            internal=self._ports.internal,
            internal_last=self._ports.internal + 15,
            heartbeat_ms=round(self.heartbeat_s * 1000),
            store=f'{store_ip}:{store_port}',
        )
        router.start()
        self.routers.append(router)
        return router

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until all routers are ready.

        Raises:
          TimeoutError: They are not.
        """
        async with asyncio.timeout(timeout_s):
            for router in self.routers:
                while not await router.is_ready():
                    await asyncio.sleep(0.1)
        self.log.add('routers_ready')

    async def wait_until_owned(
        self, service: str, timeout_s: float = 20.0
    ) -> None:
        """Wait until targets of a service hold all keys.

        Raises:
          TimeoutError: They do not.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                held = sum(
                    hold.last - hold.first + 1
                    for each in self.targets
                    if each.service == service
                    for hold in each.holds
                )
                if held >= record.KEYS:
                    break
                await asyncio.sleep(0.05)
        self.log.add('keys_owned', service=service)

    def next_id(self) -> str:
        """Return a new id for a consumer attempt."""
        self._request_count += 1
        return f'{self._request_count:016x}'

    async def ask(
        self,
        router: Router,
        method: str,
        path: str,
        deadline_ms: int,
        key: int | None = None,
        body: bytes = b'',
    ) -> wire.Response | None:
        """Send one consumer attempt on a new connection."""
        request_id = self.next_id()
        headers = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Request-Deadline': str(deadline_ms),
        }
        if key is not None:
            headers['X-Shard-Key'] = str(key)
        self.log.add('sent', id=request_id, to=router.name, path=path, key=key)
        answer = await wire.call(
            router.ip,
            router.front,
            method,
            path,
            headers,
            body,
            deadline_ms / 1000,
        )
        if answer is None:
            self.log.add('not_answered', id=request_id)
            return None
        self.log.served += answer.status == 200
        self.log.add(
            'answered',
            id=request_id,
            status=answer.status,
            by=answer.headers.get('x-response-signature', '-'),
        )
        return answer

    def spawn(
        self, job: typing.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> None:
        """Run a job until the site is closed."""
        self._tasks.append(asyncio.create_task(job))

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for router in self.routers:
            router.kill()
        for each in self.targets:
            each.server.close()
        self.store.server.close()
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.folder, os.environ['KEEP_LOGS'])
        self._folder.cleanup()


Play = typing.Callable[[record.Record], typing.Awaitable[int]]


def run(play: Play, folder: pathlib.Path) -> int:
    """Play a case and return the exit status; 2 if it could not run.

    Args:
      play: Plays the case, and returns 1 if the rule was broken, else 0.
      folder: Where record.txt is written.
    """
    log = record.Record(folder / 'record.txt')

    async def play_in_time() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(MAX_RUN_S):
            return await play(log)

    try:
        return asyncio.run(play_in_time())
    except (Exception, asyncio.CancelledError):
        # Nothing but a broken rule may end with 1.
        traceback.print_exc()
        return 2
    finally:
        log.close()


def _free_ports(network: int) -> Ports:
    while True:
        base = random.randrange(10_000, 28_000)
        # The routers use the first two of the internal ports.
        numbers = [base, base + 1, base + 2, base + 3, base + 20, base + 21]
        if all(_is_free(network, number) for number in numbers):
            return Ports(base, base + 1, base + 20, base + 2, base + 3)


def _is_free(network: int, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((f'127.{network}.2.1', port))
            except OSError:
                return False
    return True
