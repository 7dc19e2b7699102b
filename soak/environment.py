"""The environment of a soak: store, targets, routers and fault injection."""

import asyncio
import contextlib
import pathlib
import random
import time
import typing

from amaranthcrank.router import model
from soak import drain_checks
from soak import relay
from soak import routers
from soak import target
from standins import platform_site
from standins import platform_store
from standins import platform_target

DOMAINS = ('a', 'b')
SERVICES = [
    ['desk', '/healthz', 100, None],
    ['book', '/healthz', 100, True],
]
# A suspended router may send a pending grant when it resumes. The platform
# ignores grants that arrive within this time.
RESUME_GRACE_S = 0.3
TERMINATION_TIMEOUT_S = 8.0
HEARTBEAT_EXPIRY_S = 1.5
# Some draining targets keep running for a long time.
LONG_DRAIN_SHARE = 0.3
MAX_LONG_DRAIN_S = 8.0

Fault = typing.Callable[[], typing.Awaitable[None]]


class Environment:
    """Everything that runs in one soak.

    Attributes:
      routers: The routers, each with its own relay to the store.
      targets: Every target incarnation so far, including ended ones.
      rng: Source of all random choices.
      store_relays: The relay between each router and the store.
      fault_intervals: When a fault was active at each component.
      drain_start_by_holder: When each target began to drain, or its entry was
        removed without a drain; monotonic seconds.
    """

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        rng: random.Random,
        network: str,
        folder: pathlib.Path,
    ) -> None:
        """Build on loopback addresses `network`.x.y."""
        self.routers: list[routers.Router] = []
        self.targets: list[target.Target] = []
        self.fault_intervals = drain_checks.FaultIntervals()
        self.drain_start_by_holder: dict[str, float] = {}
        self.store = platform_store.PlatformStore()
        self.store_relays: list[relay.Relay] = []
        self._relay_by_target: dict[str, relay.Relay] = {}
        self._target_by_id: dict[str, target.Target] = {}
        self._stack = stack
        self.rng = rng
        self._network = network
        self._folder = folder
        self._store_address = model.Address(f'{network}.1.1', 18384)
        self._manifest_version = 0
        self._resumed_at = 0.0
        self._target_count = 0

    async def start(self, router_count: int, target_count: int) -> None:
        """Start the store, the targets and the routers."""
        await self.store.listen(self._store_address)
        self._stack.callback(self.store.server.close)
        self.write_manifest()
        for number in range(target_count):
            await self.add_target('book' if number % 2 else 'desk')
        for number in range(router_count):
            await self._add_router(number)

    async def _add_router(self, number: int) -> None:
        relay_address = model.Address(f'{self._network}.2.{number + 1}', 18384)
        store_relay = relay.Relay(relay_address, self._store_address)
        await store_relay.listen()
        self._stack.callback(store_relay.close)
        self.store_relays.append(store_relay)
        router = routers.Router(
            f'host-{number}',
            f'{self._network}.3.{number + 1}',
            DOMAINS[number % len(DOMAINS)],
            relay_address,
            self._folder,
        )
        self._stack.callback(router.close)
        router.start()
        self.routers.append(router)

    def write_manifest(self) -> None:
        """Write the next version of the manifest, as the operator would."""
        self._manifest_version += 1
        row = platform_site.route_row
        rows = [
            row('read', '/read/', 'desk'),
            row('post', '/post/', 'desk', 'unsafe'),
            row('look', '/look/', 'book', priority=2),
            row('book', '/book/', 'book', 'unsafe', 0),
            row('new', f'/only{self._manifest_version}/', 'desk'),
        ]
        spec = platform_site.manifest(self._manifest_version, rows, SERVICES)
        self.store.put('config', 'main', {'spec': spec})

    @property
    def newest_prefix(self) -> str:
        """The path prefix of the route that only the newest manifest has."""
        return f'/only{self._manifest_version}/'

    # Targets.

    async def add_target(self, service: str, target_id: str = '') -> None:
        """Start a target behind a relay and register it."""
        self._target_count += 1
        target_id = target_id or f'{service}-{self._target_count}'
        listen = model.Address(
            f'{self._network}.4.{self._target_count}', 18500
        )
        existing_relay = self._relay_by_target.get(target_id)
        address = (
            existing_relay.address
            if existing_relay
            else listen._replace(port=18400)
        )
        instance = target.Target(
            target_id, service, service == 'book', self._target_count
        )
        instance.accepts_grants = lambda: (
            time.monotonic() > self._resumed_at + RESUME_GRACE_S
        )
        await instance.server.listen(listen)
        self._stack.callback(instance.server.close)
        target_relay = relay.Relay(address, listen)
        await target_relay.listen()
        self._stack.callback(target_relay.close)
        self._relay_by_target[target_id] = target_relay
        self._target_by_id[target_id] = instance
        self.targets.append(instance)
        self.register(instance, 'ready')

    def register(self, instance: target.Target, state: str) -> None:
        """Write a target's entry to the store."""
        address = self._relay_by_target[instance.target_id].address
        entry = platform_target.entry(
            instance.service,
            address,
            DOMAINS[instance.incarnation % len(DOMAINS)],
            instance.incarnation,
            state,
        )
        self.store.put('servers', instance.target_id, entry)

    def evacuate(self, domain: str) -> None:
        """Evacuate a failure domain, as the operator would."""
        self.store.put('evacuations', domain, {'spec': {}})

    def restore(self, domain: str) -> None:
        """End the evacuation of a failure domain."""
        self.store.remove('evacuations', domain)

    def targets_in(self, domain: str) -> list[target.Target]:
        """Return the targets of a failure domain."""
        return [
            instance
            for instance in self.targets
            if DOMAINS[instance.incarnation % len(DOMAINS)] == domain
        ]

    def _random_target(self) -> target.Target:
        return self.rng.choice(list(self._target_by_id.values()))

    async def crash_target(self) -> None:
        """Crash a target and start it again under the same id."""
        instance = self._random_target()
        if self._target_by_id.pop(instance.target_id, None) is None:
            return
        instance.crash()
        self._relay_by_target[instance.target_id].refuse()
        await asyncio.sleep(HEARTBEAT_EXPIRY_S * self.rng.random() * 2)
        if self.rng.random() < 0.5:
            self.store.remove('servers', instance.target_id)
            await asyncio.sleep(0.5)
        await self.add_target(instance.service, instance.target_id)

    async def replace_target(self) -> None:
        """Add a new target and drain an old one of the same service."""
        instance = self._random_target()
        await self.add_target(instance.service)
        if self._target_by_id.pop(instance.target_id, None) is None:
            return
        if self.rng.random() < 0.7:
            self.register(instance, 'draining')
        else:
            self.store.remove('servers', instance.target_id)
        self.drain_start_by_holder[instance.holder] = time.monotonic()
        instance.is_leaving = True
        await asyncio.sleep(2.0 + 2 * self.rng.random())
        if self.rng.random() < LONG_DRAIN_SHARE:
            self.store.remove('servers', instance.target_id)
            await asyncio.sleep(MAX_LONG_DRAIN_S * self.rng.random())
        # It closes its port, finishes running requests and then ends.
        self._relay_by_target[instance.target_id].refuse()
        await asyncio.sleep(self.rng.random())
        instance.crash()
        self.store.remove('servers', instance.target_id)

    async def disrupt_target(self) -> None:
        """Inject a fault into the connections of a target for a while."""
        instance = self._random_target()
        with self.fault_intervals.record(instance.holder):
            await self._disrupt_relay(
                self._relay_by_target[instance.target_id]
            )

    async def cut_off_target(self) -> None:
        """Let a live target refuse connections for a while."""
        instance = self._random_target()
        target_relay = self._relay_by_target[instance.target_id]
        if not target_relay.is_listening:
            return
        with self.fault_intervals.record(instance.holder):
            target_relay.refuse()
            await asyncio.sleep(0.3 + 4 * self.rng.random())
            # It may have crashed or left meanwhile.
            known = self._target_by_id.get(instance.target_id)
            if known is instance and not target_relay.is_listening:
                await target_relay.listen()

    async def slow_target(self) -> None:
        """Make a target slow for a while."""
        instance = self._random_target()
        instance.work_s = 0.4
        await asyncio.sleep(1 + 2 * self.rng.random())
        instance.work_s = 0.02

    async def _disrupt_relay(self, faulty_relay: relay.Relay) -> None:
        faulty_relay.fault = self.rng.choice(relay.FAULTS)
        if faulty_relay.fault == relay.RESET:
            faulty_relay.reset_connections()
        await asyncio.sleep(0.3 + 4 * self.rng.random())
        if faulty_relay.fault in (relay.SILENT, relay.ONE_WAY):
            # The withheld bytes are lost; none of them may arrive later.
            faulty_relay.reset_connections()
        faulty_relay.fault = ''

    # The store.

    async def disrupt_store(self) -> None:
        """Inject a fault into the store for a while."""
        with self.fault_intervals.record(drain_checks.STORE):
            await self._disrupt_store()

    async def _disrupt_store(self) -> None:
        if self.rng.random() < 0.25:
            self.store.discard_history()
            return
        self.store.fault = self.rng.choice(
            (
                platform_store.BUSY,
                platform_store.SILENT,
                platform_store.LOSES_ANSWERS,
            )
        )
        await asyncio.sleep(0.5 + 5 * self.rng.random())
        self.store.fault = ''

    async def disrupt_store_connections(self) -> None:
        """Inject a fault into one router's connections to the store."""
        number = self.rng.randrange(len(self.routers))
        with self.fault_intervals.record(self.routers[number].name):
            await self._disrupt_relay(self.store_relays[number])

    async def change_manifest(self) -> None:
        """Write several manifests in quick succession."""
        for _ in range(self.rng.randrange(1, 5)):
            self.write_manifest()
            await asyncio.sleep(0.2 * self.rng.random())

    # Routers.

    def _random_running_router(self) -> routers.Router | None:
        running = [
            router
            for router in self.routers
            if router.is_up and not router.is_suspended
        ]
        return self.rng.choice(running) if running else None

    async def kill_router(self) -> None:
        """Kill a router and start it again after up to 2 s."""
        router = self._random_running_router()
        if router is None:
            return
        with self.fault_intervals.record_process(router.name):
            router.kill()
            await asyncio.sleep(self.rng.random() * 2)
            router.start()

    async def kill_all_routers(self) -> None:
        """Kill all running routers and start them again."""
        killed = [each for each in self.routers if each.is_up]
        with contextlib.ExitStack() as stack:
            for router in killed:
                stack.enter_context(
                    self.fault_intervals.record_process(router.name)
                )
                router.kill()
            await asyncio.sleep(self.rng.random())
            for router in killed:
                router.start()

    async def restart_router(self) -> None:
        """Restart a router with SIGTERM."""
        router = self._random_running_router()
        if router is None:
            return
        with self.fault_intervals.record_process(router.name):
            await self._restart(router)

    async def _restart(self, router: routers.Router) -> None:
        router.terminate()
        end_at = time.monotonic() + TERMINATION_TIMEOUT_S
        while not router.has_ended() and time.monotonic() < end_at:
            await asyncio.sleep(0.05)
        if not router.has_ended():
            router.unexpected_exits.append(-1)
            router.kill()
        router.start()

    async def suspend_router(self) -> None:
        """Suspend a router with SIGSTOP for a while."""
        router = self._random_running_router()
        if router is None:
            return
        with self.fault_intervals.record_process(router.name):
            router.suspend()
            await asyncio.sleep(0.2 + 5 * self.rng.random())
            self._resumed_at = time.monotonic()
            router.resume()

    async def reload_router(self) -> None:
        """Change a router's settings file, with or without SIGHUP."""
        router = self._random_running_router()
        if router is None:
            return
        router.write_settings(str(self.rng.random()))
        if self.rng.random() < 0.5:
            router.reload()

    def faults(self) -> tuple[Fault, ...]:
        """Return all faults.

        The order must not change: seeded choices depend on it.
        """
        return (
            self.crash_target,
            self.replace_target,
            self.disrupt_target,
            self.slow_target,
            self.disrupt_store,
            self.disrupt_store_connections,
            self.change_manifest,
            self.kill_router,
            self.kill_all_routers,
            self.restart_router,
            self.suspend_router,
            self.reload_router,
            self.cut_off_target,
        )
