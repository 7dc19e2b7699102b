"""A small deployment on the platform in one event loop.

For tests and the demo. A store, targets and routers listen on loopback
addresses; no processes are started.
"""

import asyncio
import contextlib
import os
import random
import socket
import typing

from amaranthcrank.router import connection_pool
from amaranthcrank.router import http_client
from amaranthcrank.router import main
from amaranthcrank.router import model
from standins import platform_store
from standins import platform_target

HOST = 'desk.example'
IP = '127.0.0.1'
READY_TIMEOUT_S = 10.0
# Routers run in domain `a`.
REGION_BY_DOMAIN = {'a': 'north', 'b': 'north', 'c': 'south'}
FIRST_PORT = 10_000
LAST_PORT = 30_000

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
    'allowedRegions',
]
SERVICE_COLUMNS = [
    'name',
    'healthPath',
    'maxConnections',
    'sharded',
    'warmupS',
    'coldPerS',
]


def free_port() -> int:
    """Return a port that is free for both TCP and UDP.

    It lies below the ephemeral range: an outgoing connection could take a
    port of that range before it is listened on.
    """
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if _is_free(port, socket.SOCK_STREAM):
            if _is_free(port, socket.SOCK_DGRAM):
                return port


def _is_free(port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((IP, port))
        except OSError:
            return False
        return True


def manifest(
    version: int,
    routes: typing.Sequence[typing.Sequence[typing.Any]],
    services: typing.Sequence[typing.Sequence[typing.Any]],
) -> dict[str, typing.Any]:
    """Return a manifest in the form that the operator writes."""
    return {
        'version': f'r{version}',
        'routes': {'columns': ROUTE_COLUMNS, 'rows': list(routes)},
        'services': {'columns': SERVICE_COLUMNS, 'rows': list(services)},
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def route_row(
    name: str,
    prefix: str,
    service: str,
    kind: str = 'safe',
    priority: int = 1,
    timeout_ms: int = 2000,
    max_attempts: int = 2,
    allowed_regions: typing.Sequence[str] | None = None,
) -> list[typing.Any]:
    """Return the row of a route in a manifest."""
    return [
        name,
        HOST,
        prefix,
        kind,
        timeout_ms,
        500,
        priority,
        service,
        max_attempts,
        None,
        None if allowed_regions is None else list(allowed_regions),
    ]


class Site:
    """A store, targets and routers.

    Attributes:
      store: The store.
      target_by_id: The targets.
      address_by_id: The address of each target.
      routers: The routers.
      tasks: The task that runs each router, in the order of routers.
      evacuation_s: The time within which evacuations take effect; None if
        routers do not follow them.
      bounds: The limits of routers that are added.
    """

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Create an empty site; the stack closes everything on exit."""
        self.store = platform_store.PlatformStore()
        self.target_by_id: dict[str, platform_target.PlatformTarget] = {}
        self.address_by_id: dict[str, model.Address] = {}
        self.routers: list[main.Router] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.evacuation_s: float | None = None
        self.bounds = model.Bounds(2.0, 3.0, 6.0, 0.2, 10.0, 60.0, 10.0)
        self._stack = stack
        self._store_address = model.Address(IP, free_port())
        loop = asyncio.get_running_loop()
        self._pool = connection_pool.Pool(loop.time)
        stack.callback(self._pool.close)

    async def start(
        self,
        routes: typing.Sequence[typing.Sequence[typing.Any]],
        services: typing.Sequence[typing.Sequence[typing.Any]],
    ) -> None:
        """Start the store with a manifest of these routes and services."""
        await self.start_store()
        self.put_manifest(manifest(1, routes, services))

    async def start_store(self) -> None:
        """Start the store's server."""
        await self.store.listen(self._store_address)
        self._stack.callback(self.store.server.close)

    async def add_target(
        self,
        target_id: str,
        service: str,
        keyed: bool = False,
        domain: str = 'a',
    ) -> platform_target.PlatformTarget:
        """Start a target and register it in the store."""
        target = platform_target.PlatformTarget(target_id, keyed)
        address = model.Address(IP, free_port())
        await target.listen(address)
        self._stack.callback(target.server.close)
        self.target_by_id[target_id] = target
        self.address_by_id[target_id] = address
        self.store.put(
            'servers', target_id, target.entry(service, address, domain)
        )
        return target

    def evacuate(self, *domains: str) -> None:
        """Evacuate failure domains, as the operator would."""
        for domain in domains:
            self.store.put('evacuations', domain, {'spec': {}})

    def restore(self, domain: str) -> None:
        """End the evacuation of a failure domain."""
        self.store.remove('evacuations', domain)

    def put_manifest(self, spec: dict[str, typing.Any]) -> None:
        """Write a manifest to the store, as the operator would."""
        self.store.put('config', 'main', {'spec': spec})

    async def add_router(self, host_id: str) -> main.Router:
        """Start a router and wait until it is ready."""
        settings = self.settings(host_id)
        descriptor = os.open(os.devnull, os.O_WRONLY)
        self._stack.callback(os.close, descriptor)
        router = main.Router(settings, os.devnull, descriptor)
        inner = contextlib.AsyncExitStack()
        task = asyncio.create_task(_run_router(router, inner))
        self._stack.push_async_callback(_cancel_and_wait, task)
        self.routers.append(router)
        self.tasks.append(task)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not router.is_ready:
                await asyncio.sleep(0.02)
        return router

    async def call(
        self,
        router: main.Router,
        path: str,
        request_id: str,
        method: str = 'GET',
        key: int | None = None,
        deadline_ms: int = 2000,
    ) -> http_client.Response:
        """Send a request as a caller would, over a new connection."""
        headers = [
            (b'host', HOST.encode()),
            (b'x-request-id', request_id.encode()),
            (b'x-request-deadline', str(deadline_ms).encode()),
        ]
        if key is not None:
            headers.append((b'x-shard-key', str(key).encode()))
        connection = await http_client.connect(
            router.settings.listen_address, 1.0
        )
        try:
            return await connection.exchange(
                method.encode(),
                path.encode(),
                headers,
                b'',
                request_id.encode(),
            )
        finally:
            connection.abort()

    def settings(self, host_id: str) -> model.HostSettings:
        """Return the settings of a router; its ports are free now."""
        return model.HostSettings(
            host_id=host_id,
            ip=IP,
            failure_domain='a',
            region='north',
            region_by_domain=REGION_BY_DOMAIN,
            listen_address=model.Address(IP, free_port()),
            readiness_address=model.Address(IP, free_port()),
            peer_port=free_port(),
            metrics_port=free_port(),
            store=self._store_address,
            heartbeat_s=0.5,
            max_descriptors=1000,
            memory_bytes=300 * 1024 * 1024,
            bounds=self.bounds._replace(evacuation_s=self.evacuation_s),
        )


async def _run_router(
    router: main.Router, stack: contextlib.AsyncExitStack
) -> None:
    async with stack:
        await router.run(stack)


async def _cancel_and_wait(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
