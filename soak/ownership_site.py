"""A whole site of real processes: routers, targets and a store, and faults.

Each target has a clock of its own and records what it holds. Its calls can be
left unanswered and carried out late.
"""

import asyncio
import collections
import contextlib
import json
import math
import pathlib
import random
import signal
import subprocess
import sys
import time
import typing

from amaranthcrank.platform import names
from amaranthcrank.router import connection_pool
from amaranthcrank.router import controller_lease
from amaranthcrank.router import http_client
from amaranthcrank.router import model
from soak import callers
from soak import holds as key_holds
from soak import networks
from soak import owner_process
from soak import ownership_checks
from soak import routers
from standins import platform_site
from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOMAINS = ('a', 'b')
SERVICES = [['desk', '/healthz', 100, None], ['book', '/healthz', 100, True]]
TARGET_PORT = 18400
CONTROL_TIMEOUT_S = 2.0
WORK_S = 0.08
# The platform allows clocks of targets to run as much slower.
MAX_CLOCK_RATE = 1.02
MAX_CLOCK_OFFSET_MS = 3000
# Keyed requests that go to the busy keys, and how many keys are busy.
BUSY_SHARE = 0.5
BUSY_KEYS = 200
# How long the same keys stay busy, from and to.
BUSY_PERIOD_S = (1.5, 4.0)
LATE = owner_process.LateCalls(0.4, 2.0, 12.0)
LATE_PERIOD_S = 5.5
NO_LATE = owner_process.LateCalls(0.0, 0.0, 0.0)
MEAN_FAULT_GAP_S = 3.0
STORE_EXPIRY_S = 1.5


class Shape(typing.NamedTuple):
    """The size of a site.

    Attributes:
      routers: The number of routers.
      keyed: The number of targets whose keys have owners.
      others: The number of other targets.
    """

    routers: int
    keyed: int
    others: int


class TargetProcess(typing.NamedTuple):
    """A running target.

    Attributes:
      config: What it was started with.
      process: The process.
    """

    config: owner_process.Config
    process: subprocess.Popen[bytes]


class Site:
    """All processes of a play, and the store."""

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        seed: int,
        folder: pathlib.Path,
        counts_releases: bool,
    ) -> None:
        """Start nothing yet."""
        self.rng = random.Random(seed)
        self.store = platform_store.PlatformStore()
        self.routers: list[routers.Router] = []
        self.target_by_id: dict[str, TargetProcess] = {}
        self.ended_at_by_id: dict[str, float] = {}
        self.configs: list[owner_process.Config] = []
        self.resumed: list[ownership_checks.Resumed] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self.busy_from = 0
        self._stack = stack
        self._folder = folder
        self._counts_releases = counts_releases
        self._network = networks.claim(stack, seed)
        self._store_address = model.Address(f'{self._network}.1.1', 18384)

    async def start(self, shape: Shape) -> None:
        """Start the store, the targets and the routers."""
        await self.store.listen(self._store_address)
        self._stack.callback(self.store.server.close)
        row = platform_site.route_row
        rows = [
            row('read', '/read/', 'desk'),
            row('post', '/post/', 'desk', 'unsafe'),
            row('look', '/look/', 'book', priority=2),
            row('book', '/book/', 'book', 'unsafe', 0),
        ]
        spec = platform_site.manifest(1, rows, SERVICES)
        self.store.put('config', 'main', {'spec': spec})
        for _ in range(shape.keyed):
            self.add_target('book')
        for _ in range(shape.others):
            self.add_target('desk')
        for number in range(shape.routers):
            router = routers.Router(
                f'host-{number}',
                f'{self._network}.3.{number + 1}',
                DOMAINS[number % len(DOMAINS)],
                self._store_address,
                self._folder,
            )
            self._stack.callback(router.close)
            router.start()
            self.routers.append(router)

    def add_target(self, service: str) -> None:
        """Start a target with a clock of its own."""
        number = len(self.configs) + 1
        target_id = f'i-{service}-{number}'
        config = owner_process.Config(
            target_id,
            service,
            service == 'book',
            f'{self._network}.4.{number}:{TARGET_PORT}',
            f'{self._store_address.ip}:{self._store_address.port}',
            DOMAINS[number % len(DOMAINS)],
            str(self._folder / f'{target_id}.jsonl'),
            self.rng.uniform(1.0, MAX_CLOCK_RATE),
            self.rng.randrange(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS),
            self._counts_releases,
            WORK_S,
            self.rng.randrange(2**32),
        )
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'soak.owner_process',
                json.dumps(config._asdict()),
            ],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        self.configs.append(config)
        self.target_by_id[target_id] = TargetProcess(config, process)

    def choose_key(self, rng: random.Random) -> int:
        """Return a key: many requests are for a few adjacent ones."""
        if rng.random() < BUSY_SHARE:
            key = self.busy_from + rng.randrange(BUSY_KEYS)
            return key % model.KEY_COUNT
        return callers.any_key(rng)

    def _controller(self) -> routers.Router | None:
        item = self.store.get(names.LEASES_KIND, controller_lease.LEASE_NAME)
        holder = item['spec']['holder'] if item else ''
        for router in self.routers:
            if router.name == holder and not router.is_suspended:
                return router if router.is_up else None
        return None

    async def stop_controller(self) -> None:
        """Stop the controller with SIGTERM and start it again."""
        router = self._controller()
        if router is None:
            return
        router.terminate()
        while not router.has_ended():
            await asyncio.sleep(0.05)
        router.start()

    async def kill_controller(self) -> None:
        """Kill the controller; it starts again within two seconds."""
        router = self._controller()
        if router is None:
            return
        router.kill()
        await asyncio.sleep(2 * self.rng.random())
        router.start()

    async def suspend_controller(self) -> None:
        """Suspend the controller for longer than its lease."""
        router = self._controller()
        if router is None:
            return
        router.suspend()
        await asyncio.sleep(self.rng.uniform(3.0, 8.0))
        self.resumed.append(
            ownership_checks.Resumed(router.name, time.monotonic())
        )
        router.resume()

    async def delay_calls(self) -> None:
        """Let targets leave calls unanswered and carry them out late."""
        await self._set_late(LATE)
        await asyncio.sleep(LATE_PERIOD_S)
        await self._set_late(NO_LATE)

    async def _set_late(self, late: owner_process.LateCalls) -> None:
        body = json.dumps(late._asdict()).encode()
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        for target in list(self.target_by_id.values()):
            if not target.config.is_keyed:
                continue
            ip, port = target.config.address.split(':')
            headers = [
                (b'host', b'target'),
                (b'content-length', str(len(body)).encode()),
            ]
            with contextlib.suppress(
                http_client.ConnectError,
                http_client.ExchangeError,
                TimeoutError,
            ):
                await connection_pool.request(
                    pool,
                    model.Address(ip, int(port)),
                    b'POST',
                    owner_process.CONTROL_PATH.encode(),
                    headers,
                    body,
                    CONTROL_TIMEOUT_S,
                    CONTROL_TIMEOUT_S,
                )
        pool.close()

    async def change_controller_amid_late_calls(self) -> None:
        """Let the controller end while calls are left unanswered."""
        delay = asyncio.ensure_future(self.delay_calls())
        await asyncio.sleep(self.rng.uniform(1.0, LATE_PERIOD_S))
        await self.rng.choice((self.stop_controller, self.kill_controller))()
        await delay

    async def shift_busy_keys(self) -> None:
        """Make other keys busy."""
        self.busy_from = self.rng.randrange(model.KEY_COUNT)

    async def keep_shifting(self) -> None:
        """Make other keys busy again and again, so that keys move."""
        while True:
            await asyncio.sleep(self.rng.uniform(*BUSY_PERIOD_S))
            await self.shift_busy_keys()

    def _random_owner(self) -> TargetProcess | None:
        owners = [
            target
            for target in self.target_by_id.values()
            if target.config.is_keyed
        ]
        return self.rng.choice(owners) if len(owners) > 2 else None

    async def drain_target(self) -> None:
        """Start a target and drain another one."""
        target = self._random_owner()
        if target is None:
            return
        self.add_target('book')
        target.process.send_signal(signal.SIGTERM)
        del self.target_by_id[target.config.target_id]
        await asyncio.sleep(self.rng.uniform(2.0, 6.0))
        self._end(target)

    async def crash_target(self) -> None:
        """Crash a target and start another one."""
        target = self._random_owner()
        if target is None:
            return
        del self.target_by_id[target.config.target_id]
        self._end(target, self.rng.random() * STORE_EXPIRY_S)
        self.add_target('book')

    def _end(self, target: TargetProcess, expiry_s: float = 0.0) -> None:
        target.process.kill()
        target.process.wait()
        target_id = target.config.target_id
        self.ended_at_by_id[target_id] = time.monotonic()
        asyncio.get_running_loop().call_later(
            expiry_s, self.store.remove, names.TARGETS_KIND, target_id
        )

    async def lose_store_answers(self) -> None:
        """Let the store lose the responses to writes for a while."""
        self.store.fault = platform_store.LOSES_ANSWERS
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.store.fault = ''

    async def inject_faults(self, seconds: float) -> None:
        """Inject faults, often at the same time, and wait for their ends."""
        faults = (
            self.stop_controller,
            self.kill_controller,
            self.suspend_controller,
            self.delay_calls,
            self.change_controller_amid_late_calls,
            self.change_controller_amid_late_calls,
            self.shift_busy_keys,
            self.drain_target,
            self.crash_target,
            self.lose_store_answers,
        )
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        running = []
        while loop.time() < end_at:
            fault = self.rng.choice(faults)
            self.faults[fault.__name__] += 1
            running.append(asyncio.ensure_future(fault()))
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_FAULT_GAP_S))
        await asyncio.gather(*running)

    def read_holds(self) -> list[key_holds.Hold]:
        """Return the holds of all targets."""
        holds: list[key_holds.Hold] = []
        for config in self.configs:
            path = pathlib.Path(config.record)
            if not config.is_keyed or not path.exists():
                continue
            ended_at = self.ended_at_by_id.get(config.target_id, math.inf)
            holds += ownership_checks.read_holds(
                path, config.target_id, config.service, ended_at, self.resumed
            )
        return holds
