"""A whole site of real processes: routers, targets and a store, and faults.

Each target has a clock of its own and records what it holds. Its calls can be
left unanswered and carried out late. Between the routers and each target that
holds keys is a link. The store removes the entries of silent targets.
"""

import asyncio
import collections
import contextlib
import itertools
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
from amaranthcrank.platform import settings_file
from amaranthcrank.router import connection_pool
from amaranthcrank.router import controller_lease
from amaranthcrank.router import http_client
from amaranthcrank.router import model
from soak import callers
from soak import entry_expiry
from soak import grant_checks
from soak import holds as key_holds
from soak import link
from soak import networks
from soak import owner_process
from soak import ownership_checks
from soak import routers
from standins import platform_site
from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOMAINS = ('a', 'b')
SERVICES = [['desk', '/healthz', 100, None], ['book', '/healthz', 100, True]]
# What the operator writes, and writes again after a restore.
OPERATOR_KINDS = ('config', 'evacuations')
# The store's for anybody; those for single machines follow.
STORE_PORT = 18384
# So few that lists of small sites have several pages.
STORE_PAGE_OBJECTS = 3
TARGET_PORT = 18400
# Where targets behind a link listen.
LINKED_TARGET_PORT = 18401
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
LATE_SHARE = 0.4
LATE_S = (2.0, 12.0)
LATE_PERIOD_S = 5.5
# How often the store is copied, and how many copies are kept. It comes back
# from any of them.
COPY_INTERVAL_S = 1.0
COPIES = 11
# For how long the store is away before it comes back from a copy, from and to.
RESTORE_AWAY_S = (0.2, 5.0)
# How long after its crash a target starts again, from and to. Its entry can
# expire in between.
RESTART_AFTER_S = (0.1, 5.0)
# The share of targets that start again under another id.
NEW_ID_SHARE = 0.3
# How long the holder of the lease is suspended as a renewal is answered, from
# and to.
RENEWAL_SUSPENDED_S = (0.5, 5.0)
# A host whose shutdown is slow runs and stands still in turns of these
# lengths, beside the process that takes its place, until it is killed.
SLOW_RUN_S = (0.05, 0.5)
SLOW_STOP_S = (0.1, 2.0)
SLOW_SHUTDOWN_S = (3.0, 12.0)
# How long an added host stays, from and to.
ADDED_S = (5.0, 25.0)
# Added hosts at one time.
MAX_ADDED = 3
# The third number of the addresses of hosts and of those that replace them.
HOST_NETWORKS = (3, 5)
# How many owners must remain when one is to leave, crash or be stopped.
MIN_OTHER_OWNERS = 2


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


class _Records(typing.NamedTuple):
    """The records of one process of a target.

    Attributes:
      holder: The id of the target, and a number of the process: another
        process under the same id is another holder of keys.
      service: The service.
      path: The file.
      ended_at: When the process ended, monotonic seconds; infinite if it runs.
    """

    holder: str
    service: str
    path: pathlib.Path
    ended_at: float


class Site:
    """All processes of a play, and the store."""

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        seed: int,
        folder: pathlib.Path,
        counts_releases: bool,
        checks_calls: bool = True,
    ) -> None:
        """Start nothing yet."""
        self.rng = random.Random(seed)
        self.store = platform_store.PlatformStore(random.Random(seed))
        self.store.page_objects = STORE_PAGE_OBJECTS
        # Machines that reach the store at an address of their own.
        self.machines: list[str] = []
        self._listeners = 0
        self.entries_expire_amid_outages = False
        self.routers: list[routers.Router] = []
        self.target_by_id: dict[str, TargetProcess] = {}
        self.ended_at_by_record: dict[str, float] = {}
        # One for each process of a target.
        self.configs: list[owner_process.Config] = []
        self.link_by_id: dict[str, link.Link] = {}
        self.stopped: set[str] = set()
        self.resumed: list[ownership_checks.Resumed] = []
        self.healed: list[ownership_checks.Healed] = []
        self.held_up: list[grant_checks.HeldUp] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self.busy_from = 0
        # Called with each router that is added while the site runs.
        self.on_router_added: (
            typing.Callable[[routers.Router], None] | None
        ) = None
        self._added_count = 0
        self._added_now = 0
        # Host numbers and networks of the routers, by name.
        self._place_by_host: dict[str, tuple[int, int]] = {}
        self._busy_hosts: set[str] = set()
        self.copies: collections.deque[platform_store.Copy] = (
            collections.deque(maxlen=COPIES)
        )
        self._target_number = itertools.count(1)
        self._stack = stack
        self._folder = folder
        self._counts_releases = counts_releases
        self._checks_calls = checks_calls
        self._network = networks.claim(stack, seed)
        self._store_address = model.Address(f'{self._network}.1.1', STORE_PORT)

    async def start(self, shape: Shape) -> None:
        """Start the store, the targets and the routers."""
        await self.store.listen(self._store_address)
        self._stack.callback(self.store.close)
        row = platform_site.route_row
        rows = [
            row('read', '/read/', 'desk'),
            row('post', '/post/', 'desk', 'unsafe'),
            row('look', '/look/', 'book', priority=2),
            row('book', '/book/', 'book', 'unsafe', 0),
        ]
        spec = platform_site.manifest(1, rows, SERVICES)
        self.store.put('config', 'main', {'spec': spec})
        expiry = asyncio.create_task(
            entry_expiry.remove_silent_entries(
                self.store,
                names.TARGETS_KIND,
                owner_process.HEARTBEAT_S,
                lambda: self.entries_expire_amid_outages,
            )
        )
        self._stack.callback(expiry.cancel)
        for _ in range(shape.keyed):
            await self.add_target('book')
        for _ in range(shape.others):
            await self.add_target('desk')
        for number in range(shape.routers):
            await self._start_router(f'host-{number}', number, 0)

    async def _start_router(
        self, name: str, number: int, network: int
    ) -> routers.Router:
        """Start a router.

        Args:
          name: Its host id.
          number: Its number among all hosts.
          network: Which of the HOST_NETWORKS its address is from.
        """
        router = routers.Router(
            name,
            f'{self._network}.{HOST_NETWORKS[network]}.{number + 1}',
            DOMAINS[number % len(DOMAINS)],
            await self._listen_for(name),
            self._folder,
            settings_name=f'{name}-{network}' if network else name,
        )
        self._stack.callback(router.close)
        router.start()
        self.routers.append(router)
        self._place_by_host[name] = number, network
        if self.on_router_added is not None:
            self.on_router_added(router)
        return router

    async def _listen_for(self, machine: str) -> model.Address:
        """Return the address at which one machine reaches the store."""
        if machine not in self.machines:
            self.machines.append(machine)
        self._listeners += 1
        address = self._store_address._replace(
            port=STORE_PORT + self._listeners
        )
        await self.store.listen(address, machine)
        return address

    async def add_target(self, service: str) -> None:
        """Start a target with a clock of its own, behind a link if keyed."""
        number = next(self._target_number)
        target_id = f'i-{service}-{number}'
        address = model.Address(f'{self._network}.4.{number}', TARGET_PORT)
        listen = address
        if service == 'book':
            listen = address._replace(port=LINKED_TARGET_PORT)
        config = owner_process.Config(
            target_id,
            service,
            service == 'book',
            _text(address),
            _text(listen),
            _text(await self._listen_for(target_id)),
            DOMAINS[number % len(DOMAINS)],
            str(self._folder / f'{target_id}.jsonl'),
            self.rng.uniform(1.0, MAX_CLOCK_RATE),
            self.rng.randrange(-MAX_CLOCK_OFFSET_MS, MAX_CLOCK_OFFSET_MS),
            self._checks_calls,
            self._counts_releases,
            WORK_S,
            self.rng.randrange(2**32),
        )
        if config.is_keyed:
            await self._add_link(target_id, address, listen)
        self._start_target(config)

    def _start_target(self, config: owner_process.Config) -> None:
        self.configs.append(config)
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
        self.target_by_id[config.target_id] = TargetProcess(config, process)

    async def _add_link(
        self, target_id: str, address: model.Address, listen: model.Address
    ) -> None:
        rng = random.Random(self.rng.randrange(2**32))
        target_link = link.Link(address, listen, rng)
        await target_link.listen()
        self._stack.callback(target_link.close)
        self.link_by_id[target_id] = target_link

    def ids_behind(self, target_link: link.Link) -> list[str]:
        """Return the targets that a link has led to."""
        return [
            target_id
            for target_id, each in self.link_by_id.items()
            if each is target_link
        ]

    def choose_key(self, rng: random.Random) -> int:
        """Return a key: many requests are for a few adjacent ones."""
        if rng.random() < BUSY_SHARE:
            key = self.busy_from + rng.randrange(BUSY_KEYS)
            return key % model.KEY_COUNT
        return callers.any_key(rng)

    def controller(self) -> routers.Router | None:
        """Return the host that holds the lease, if it runs."""
        item = self.store.get(names.LEASES_KIND, controller_lease.LEASE_NAME)
        holder = item['spec']['holder'] if item else ''
        for router in self.routers:
            if router.name == holder and not router.is_suspended:
                return router if router.is_up else None
        return None

    async def stop_controller(self) -> None:
        """Stop the controller with SIGTERM and start it again."""
        router = self.controller()
        if router is None:
            return
        router.terminate()
        while not router.has_ended():
            await asyncio.sleep(0.05)
        self._restart(router)

    async def kill_controller(self) -> None:
        """Kill the controller; it starts again within two seconds."""
        router = self.controller()
        if router is None:
            return
        router.kill()
        await asyncio.sleep(2 * self.rng.random())
        self._restart(router)

    def _restart(self, router: routers.Router) -> None:
        """Start a router again, unless it was replaced or removed."""
        if router in self.routers:
            router.start()

    async def suspend_controller(self) -> None:
        """Suspend the controller for longer than its lease."""
        router = self.controller()
        if router is None:
            return
        router.suspend()
        await asyncio.sleep(self.rng.uniform(3.0, 8.0))
        self.resumed.append(
            ownership_checks.Resumed(router.name, time.monotonic())
        )
        router.resume()

    async def suspend_controller_at_renewal(self) -> None:
        """Suspend the controller as the answer to a renewal is under way.

        It then goes on with an answer that is older than it seems.
        """
        router = self.controller()
        if router is None:
            return
        is_renewed = asyncio.Event()

        def suspend(kind: str, name: str) -> None:
            if is_renewed.is_set() or self.controller() is not router:
                return
            if (kind, name) == (
                names.LEASES_KIND,
                controller_lease.LEASE_NAME,
            ):
                router.suspend()
                is_renewed.set()

        self.store.on_write = suspend
        try:
            async with asyncio.timeout(controller_lease.LEASE_S):
                await is_renewed.wait()
        except TimeoutError:
            return
        finally:
            self.store.on_write = None
        await asyncio.sleep(self.rng.uniform(*RENEWAL_SUSPENDED_S))
        self.resumed.append(
            ownership_checks.Resumed(router.name, time.monotonic())
        )
        router.resume()

    async def start_life_beside_controller(self) -> None:
        """Start the controller's host anew beside its process that shuts down.

        The new process has the same host id and another address, as after a
        move to another machine. The former one gets SIGTERM and too little
        time of a processor, so both run for seconds.
        """
        former = self.controller()
        if former is None or former.name in self._busy_hosts:
            return
        self._busy_hosts.add(former.name)
        number, network = self._place_by_host[former.name]
        self.routers.remove(former)
        await self._start_router(former.name, number, 1 - network)
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        former.terminate()
        end_at = time.monotonic() + self.rng.uniform(*SLOW_SHUTDOWN_S)
        while time.monotonic() < end_at and not former.has_ended():
            former.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(*SLOW_STOP_S))
            former.send_signal(signal.SIGCONT)
            await asyncio.sleep(self.rng.uniform(*SLOW_RUN_S))
        former.kill()
        self._busy_hosts.discard(former.name)

    async def add_router(self) -> None:
        """Add a host for a while; it may become the controller."""
        if self._added_now >= MAX_ADDED:
            return
        number = len(self._place_by_host)
        self._added_count += 1
        self._added_now += 1
        name = f'added-{self._added_count}'
        await self._start_router(name, number, 0)
        await asyncio.sleep(self.rng.uniform(*ADDED_S))
        while name in self._busy_hosts:
            await asyncio.sleep(0.1)
        router = next(each for each in self.routers if each.name == name)
        self.routers.remove(router)
        await self._end_router(router)
        self._added_now -= 1

    async def replace_router(self) -> None:
        """End a host, and start one with the same id at another address."""
        router = self.rng.choice(self.routers)
        if router.name in self._busy_hosts or not router.is_up:
            return
        self._busy_hosts.add(router.name)
        number, network = self._place_by_host[router.name]
        self.routers.remove(router)
        ending = asyncio.ensure_future(self._end_router(router))
        await asyncio.sleep(self.rng.uniform(0.0, 3.0))
        await self._start_router(router.name, number, 1 - network)
        await ending
        self._busy_hosts.discard(router.name)

    async def _end_router(self, router: routers.Router) -> None:
        if self.rng.random() < 0.5:
            router.terminate()
            end_at = time.monotonic() + routers.EXIT_WAIT_S
            while time.monotonic() < end_at and not router.has_ended():
                await asyncio.sleep(0.05)
        router.kill()

    async def delay_calls(self) -> None:
        """Let targets leave calls unanswered and carry them out late."""
        await self.set_call_faults(
            late_share=LATE_SHARE, late_min_s=LATE_S[0], late_max_s=LATE_S[1]
        )
        await asyncio.sleep(LATE_PERIOD_S)
        await self.set_call_faults(late_share=0.0)

    async def set_call_faults(self, **fields: float) -> None:
        """Set fields of the `CallFaults` of all targets that hold keys.

        The call passes by the links. A target that is stopped reads it as soon
        as it goes on.
        """
        body = json.dumps(fields).encode()
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        await asyncio.gather(
            *(
                _send_control(pool, target.config, body)
                for target in self.target_by_id.values()
                if target.config.is_keyed
            )
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

    def random_owner(self) -> TargetProcess | None:
        """Return a target that is not stopped, if enough others are left."""
        owners = [
            target
            for target in self.target_by_id.values()
            if target.config.is_keyed
            and target.config.target_id not in self.stopped
        ]
        if len(owners) <= MIN_OTHER_OWNERS:
            return None
        return self.rng.choice(owners)

    async def drain_target(self) -> None:
        """Start a target and drain another one."""
        await self._replace_target(signal.SIGTERM)

    async def remove_entry(self) -> None:
        """Start a target; another one leaves without reporting it.

        Its entry is removed, and it goes on serving for a while.
        """
        await self._replace_target(signal.SIGUSR1)

    async def _replace_target(self, departure: signal.Signals) -> None:
        target = self.random_owner()
        if target is None:
            return
        del self.target_by_id[target.config.target_id]
        await self.add_target('book')
        target.process.send_signal(departure)
        if departure == signal.SIGUSR1:
            self.store.remove(names.TARGETS_KIND, target.config.target_id)
        await asyncio.sleep(self.rng.uniform(2.0, 6.0))
        self._end(target)
        self.store.remove(names.TARGETS_KIND, target.config.target_id)

    async def crash_target(self) -> None:
        """Crash a target and start another one; its entry expires."""
        target = self.random_owner()
        if target is None:
            return
        del self.target_by_id[target.config.target_id]
        self._end(target)
        await self.add_target('book')

    async def restart_target(self) -> None:
        """Crash a target and start it again at its address, without keys.

        It often has the id that it had. Its entry may have expired meanwhile.
        """
        target = self.random_owner()
        if target is None:
            return
        del self.target_by_id[target.config.target_id]
        self._end(target)
        await asyncio.sleep(self.rng.uniform(*RESTART_AFTER_S))
        number = next(self._target_number)
        target_id = target.config.target_id
        target_link = self.link_by_id[target_id]
        if self.rng.random() < NEW_ID_SHARE:
            target_id = f'i-{target.config.service}-{number}'
        self.link_by_id[target_id] = target_link
        self._start_target(
            target.config._replace(
                target_id=target_id,
                record=str(self._folder / f'{target_id}-{number}.jsonl'),
                seed=self.rng.randrange(2**32),
            )
        )

    def _end(self, target: TargetProcess) -> None:
        target.process.kill()
        target.process.wait()
        self.ended_at_by_record[target.config.record] = time.monotonic()

    async def lose_store_answers(self) -> None:
        """Let the store lose the responses to writes for a while."""
        self.store.fault = platform_store.LOSES_ANSWERS
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.store.fault = ''

    async def lose_store(self) -> None:
        """Let the store refuse calls or not answer for a while."""
        self.store.fault = self.rng.choice(
            (platform_store.BUSY, platform_store.SILENT)
        )
        await asyncio.sleep(self.rng.uniform(1.0, 9.0))
        self.store.fault = ''

    async def keep_copying(self) -> None:
        """Make copies of the store again and again."""
        while True:
            self.copies.append(self.store.copy())
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore_store(self) -> None:
        """Let the store be away, and come back from a copy seconds old."""
        if not self.copies:
            return
        self.store.fault = platform_store.BUSY
        await asyncio.sleep(self.rng.uniform(*RESTORE_AWAY_S))
        copy = self.rng.choice(self.copies)
        self.store.restore(copy, OPERATOR_KINDS)
        # The store has lost these copies as well.
        self.copies = collections.deque(
            (each for each in self.copies if each.revision <= copy.revision),
            maxlen=COPIES,
        )
        self.store.fault = ''

    async def restore_store_amid_change(self) -> None:
        """Let the controller end just before or after a restore."""
        change = self.rng.choice((self.stop_controller, self.kill_controller))
        restoring = asyncio.ensure_future(self.restore_store())
        await asyncio.sleep(self.rng.uniform(0.0, RESTORE_AWAY_S[1]))
        await change()
        await restoring

    def _records(
        self,
    ) -> typing.Iterator[_Records]:
        """Yield the records of each process of a target with keys."""
        for number, config in enumerate(self.configs):
            path = pathlib.Path(config.record)
            if config.is_keyed and path.exists():
                yield _Records(
                    f'{config.target_id}/{number}',
                    config.service,
                    path,
                    self.ended_at_by_record.get(config.record, math.inf),
                )

    def read_holds(self) -> list[key_holds.Hold]:
        """Return the holds of all targets."""
        holds: list[key_holds.Hold] = []
        for records in self._records():
            holds += ownership_checks.read_holds(
                records.path,
                records.holder,
                records.service,
                records.ended_at,
                self.resumed,
                self.healed,
            )
        return holds

    def read_grants(self) -> list[grant_checks.Grant]:
        """Return the grants that targets took."""
        grants: list[grant_checks.Grant] = []
        for records in self._records():
            grants += ownership_checks.read_grants(
                records.path,
                records.holder,
                records.service,
                self.resumed,
                self.healed,
            )
        return grants

    def read_work(self) -> list[grant_checks.Work]:
        """Return the requests that targets with keys ran."""
        works: list[grant_checks.Work] = []
        for records in self._records():
            works += ownership_checks.read_work(
                records.path,
                records.holder,
                records.service,
                records.ended_at,
            )
        return works


def _text(address: model.Address) -> str:
    return f'{address.ip}:{address.port}'


async def _send_control(
    pool: connection_pool.Pool, config: owner_process.Config, body: bytes
) -> None:
    """Send a control call to a target; no response is no failure."""
    headers = [
        (b'host', b'target'),
        (b'content-length', str(len(body)).encode()),
    ]
    with contextlib.suppress(
        http_client.ConnectError, http_client.ExchangeError, TimeoutError
    ):
        await connection_pool.request(
            pool,
            settings_file.parse_address(config.listen),
            b'POST',
            owner_process.CONTROL_PATH.encode(),
            headers,
            body,
            CONTROL_TIMEOUT_S,
            CONTROL_TIMEOUT_S,
        )
