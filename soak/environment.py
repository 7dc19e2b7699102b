"""The environment of a soak: a store, targets, routers and what goes wrong."""

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
# A grant that a frozen router had ready is sent as it goes on; the platform
# does not count those that come so soon after.
THAW_S = 0.3
TERM_WAIT_S = 8.0
HEARTBEAT_LAPSE_S = 1.5
# Some targets that leave go on for long.
LONG_STAY_SHARE = 0.3
LONG_STAY_S = 8.0

Fault = typing.Callable[[], typing.Awaitable[None]]


class Environment:
    """Everything that runs in one soak.

    Attributes:
      routers: The routers, each behind a relay of its own to the store.
      targets: Every incarnation that ever ran.
      chance: Decides what happens by chance.
      store_relays: What is between each router and the store.
      disturbances: What was disturbed, and when.
      notice_by_holder: When each target said that it leaves, or its entry
        went unannounced; monotonic seconds.
    """

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        chance: random.Random,
        network: int,
        folder: pathlib.Path,
    ) -> None:
        """Build on loopback addresses 127.`network`.x.y."""
        self.routers: list[routers.Router] = []
        self.targets: list[target.Target] = []
        self.disturbances = drain_checks.Disturbances()
        self.notice_by_holder: dict[str, float] = {}
        self.store = platform_store.PlatformStore()
        self.store_relays: list[relay.Relay] = []
        self._relay_by_target: dict[str, relay.Relay] = {}
        self._target_by_id: dict[str, target.Target] = {}
        self._stack = stack
        self.chance = chance
        self._network = network
        self._folder = folder
        self._store_address = model.Address(f'127.{network}.1.1', 18384)
        self._version = 0
        self._thawed_at = 0.0
        self._count = 0

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
        relay_address = model.Address(
            f'127.{self._network}.2.{number + 1}', 18384
        )
        store_relay = relay.Relay(relay_address, self._store_address)
        await store_relay.listen()
        self._stack.callback(store_relay.close)
        self.store_relays.append(store_relay)
        router = routers.Router(
            f'host-{number}',
            f'127.{self._network}.3.{number + 1}',
            DOMAINS[number % len(DOMAINS)],
            relay_address,
            self._folder,
        )
        self._stack.callback(router.close)
        router.start()
        self.routers.append(router)

    def write_manifest(self) -> None:
        """Write the next version, as the operator would."""
        self._version += 1
        row = platform_site.route_row
        rows = [
            row('read', '/read/', 'desk'),
            row('post', '/post/', 'desk', 'unsafe'),
            row('look', '/look/', 'book', priority=2),
            row('book', '/book/', 'book', 'unsafe', 0),
            row('new', f'/only{self._version}/', 'desk'),
        ]
        spec = platform_site.manifest(self._version, rows, SERVICES)
        self.store.put('config', 'main', {'spec': spec})

    @property
    def newest_prefix(self) -> str:
        """The route that only the newest manifest has."""
        return f'/only{self._version}/'

    # Targets.

    async def add_target(self, service: str, target_id: str = '') -> None:
        """Start a target behind a relay and register it."""
        self._count += 1
        target_id = target_id or f'{service}-{self._count}'
        listen = model.Address(f'127.{self._network}.4.{self._count}', 18500)
        known = self._relay_by_target.get(target_id)
        address = known.address if known else listen._replace(port=18400)
        made = target.Target(
            target_id, service, service == 'book', self._count
        )
        made.accepts_grants = lambda: (
            time.monotonic() > self._thawed_at + THAW_S
        )
        await made.server.listen(listen)
        self._stack.callback(made.server.close)
        target_relay = relay.Relay(address, listen)
        await target_relay.listen()
        self._stack.callback(target_relay.close)
        self._relay_by_target[target_id] = target_relay
        self._target_by_id[target_id] = made
        self.targets.append(made)
        self.register(made, 'ready')

    def register(self, made: target.Target, state: str) -> None:
        """Write a target's entry to the store."""
        address = self._relay_by_target[made.target_id].address
        entry = platform_target.entry(
            made.service,
            address,
            DOMAINS[made.incarnation % len(DOMAINS)],
            made.incarnation,
            state,
        )
        self.store.put('servers', made.target_id, entry)

    def _any_target(self) -> target.Target:
        return self.chance.choice(list(self._target_by_id.values()))

    async def crash_target(self) -> None:
        """Let a target crash and start again under its id."""
        made = self._any_target()
        if self._target_by_id.pop(made.target_id, None) is None:
            return
        made.crash()
        self._relay_by_target[made.target_id].refuse()
        await asyncio.sleep(HEARTBEAT_LAPSE_S * self.chance.random() * 2)
        if self.chance.random() < 0.5:
            self.store.remove('servers', made.target_id)
            await asyncio.sleep(0.5)
        await self.add_target(made.service, made.target_id)

    async def replace_target(self) -> None:
        """Let a new target come and an old one of its service leave."""
        made = self._any_target()
        await self.add_target(made.service)
        if self._target_by_id.pop(made.target_id, None) is None:
            return
        if self.chance.random() < 0.7:
            self.register(made, 'draining')
        else:
            self.store.remove('servers', made.target_id)
        self.notice_by_holder[made.holder] = time.monotonic()
        await asyncio.sleep(2.0 + 2 * self.chance.random())
        if self.chance.random() < LONG_STAY_SHARE:
            self.store.remove('servers', made.target_id)
            await asyncio.sleep(LONG_STAY_S * self.chance.random())
        # It closes its port, works on for a while and then ends.
        self._relay_by_target[made.target_id].refuse()
        await asyncio.sleep(self.chance.random())
        made.crash()
        self.store.remove('servers', made.target_id)

    async def spoil_target(self) -> None:
        """Let the connections of a target misbehave for a while."""
        made = self._any_target()
        with self.disturbances.during(made.holder):
            await self._spoil(self._relay_by_target[made.target_id])

    async def slow_target(self) -> None:
        """Let a target work slowly for a while."""
        made = self._any_target()
        made.work_s = 0.4
        await asyncio.sleep(1 + 2 * self.chance.random())
        made.work_s = 0.02

    async def _spoil(self, one: relay.Relay) -> None:
        one.fault = self.chance.choice(relay.KINDS)
        if one.fault == relay.RESET:
            one.cut()
        await asyncio.sleep(0.3 + 4 * self.chance.random())
        if one.fault in (relay.SILENT, relay.ONE_WAY):
            # What was held up is lost: nothing of it arrives late.
            one.cut()
        one.fault = ''

    # The store.

    async def spoil_store(self) -> None:
        """Let the whole store misbehave for a while."""
        with self.disturbances.during(drain_checks.STORE):
            await self._spoil_store()

    async def _spoil_store(self) -> None:
        if self.chance.random() < 0.25:
            self.store.discard_history()
            return
        self.store.fault = self.chance.choice(
            (
                platform_store.BUSY,
                platform_store.SILENT,
                platform_store.LOSES_ANSWERS,
            )
        )
        await asyncio.sleep(0.5 + 5 * self.chance.random())
        self.store.fault = ''

    async def spoil_store_path(self) -> None:
        """Let one router's connections to the store misbehave."""
        number = self.chance.randrange(len(self.routers))
        with self.disturbances.during(self.routers[number].name):
            await self._spoil(self.store_relays[number])

    async def change_manifest(self) -> None:
        """Write some manifests in quick succession."""
        for _ in range(self.chance.randrange(1, 5)):
            self.write_manifest()
            await asyncio.sleep(0.2 * self.chance.random())

    # Routers.

    def _running(self) -> routers.Router | None:
        running = [
            one for one in self.routers if one.is_up and not one.is_frozen
        ]
        return self.chance.choice(running) if running else None

    async def kill_router(self) -> None:
        """Kill a router and start it again."""
        router = self._running()
        if router is None:
            return
        with self.disturbances.during(router.name):
            router.kill()
            await asyncio.sleep(self.chance.random() * 2)
            router.start()

    async def kill_all_routers(self) -> None:
        """Kill all routers that run, and start them again."""
        killed = [one for one in self.routers if one.is_up]
        with contextlib.ExitStack() as stack:
            for router in killed:
                stack.enter_context(self.disturbances.during(router.name))
                router.kill()
            await asyncio.sleep(self.chance.random())
            for router in killed:
                router.start()

    async def restart_router(self) -> None:
        """Ask a router to end, and start it again."""
        router = self._running()
        if router is None:
            return
        with self.disturbances.during(router.name):
            await self._restart(router)

    async def _restart(self, router: routers.Router) -> None:
        router.terminate()
        end_at = time.monotonic() + TERM_WAIT_S
        while not router.has_ended() and time.monotonic() < end_at:
            await asyncio.sleep(0.05)
        if not router.has_ended():
            router.own_exits.append(-1)
            router.kill()
        router.start()

    async def freeze_router(self) -> None:
        """Stop a router where it stands, and let it go on."""
        router = self._running()
        if router is None:
            return
        with self.disturbances.during(router.name):
            router.freeze()
            await asyncio.sleep(0.2 + 5 * self.chance.random())
            self._thawed_at = time.monotonic()
            router.thaw()

    async def reload_router(self) -> None:
        """Change a settings file, with a signal or without."""
        router = self._running()
        if router is None:
            return
        router.write_settings(str(self.chance.random()))
        if self.chance.random() < 0.5:
            router.reload()

    def faults(self) -> tuple[Fault, ...]:
        """Return everything that can go wrong."""
        return (
            self.crash_target,
            self.replace_target,
            self.spoil_target,
            self.slow_target,
            self.spoil_store,
            self.spoil_store_path,
            self.change_manifest,
            self.kill_router,
            self.kill_all_routers,
            self.restart_router,
            self.freeze_router,
            self.reload_router,
        )
