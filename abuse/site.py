"""One router process with a store and a target in the test's event loop."""

import asyncio
import contextlib
import pathlib
import tempfile
import typing

from abuse import process_usage
from amaranthcrank.platform import names
from amaranthcrank.router import http_client
from amaranthcrank.router import model
from soak import routers
from standins import platform_settings
from standins import platform_site
from standins import platform_store
from standins import platform_target

# The soaks use lower networks.
NETWORK = 251
IP = f'127.{NETWORK}.3.1'
SERVE_ADDRESS = model.Address(IP, platform_settings.SERVE_PORT)
READINESS_ADDRESS = model.Address(IP, platform_settings.READINESS_PORT)
METRICS_ADDRESS = model.Address(IP, platform_settings.METRICS_PORT)
PEER_ADDRESS = model.Address(IP, platform_settings.PEER_PORT)

# The memory of the smallest host.
MEMORY_MB = 160
# The limit is lowered so that a few clients exceed it. The platform reserves
# 200 descriptors for files.
MAX_DESCRIPTORS = 500
RESERVED_DESCRIPTORS = 200

MAX_MEMORY_BYTES = MEMORY_MB * 1024 * 1024
MAX_OPEN_DESCRIPTORS = MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
# Connections to targets and the store that stay open for later use.
MAX_KEPT_DESCRIPTORS = 32

# The limits of the configuration, lowered.
MAX_HEADER_BYTES = 4096
MAX_BODY_BYTES = 8 * 1024 * 1024
HEADER_TIMEOUT_MS = 1000
IDLE_TIMEOUT_MS = 5000
# The largest request that the real configuration permits.
LARGEST_HEADER_BYTES = 16384
LARGEST_BODY_BYTES = 64 * 1024 * 1024

ROUTE_PREFIX = '/read/'
UPLOAD_PREFIX = '/post/'
LONG_TIMEOUT_MS = 60_000
DEADLINE_MS = 2000
CONNECT_TIMEOUT_S = 2.0
# Only guards against a hang.
GUARD_S = 90.0
ATTEMPT_S = 5.0
PAUSE_S = 0.1
SAMPLE_INTERVAL_S = 0.02

LOWERED_LIMITS = {
    'maxHeaderBytes': MAX_HEADER_BYTES,
    'maxBodyBytes': MAX_BODY_BYTES,
    'headerTimeoutMs': HEADER_TIMEOUT_MS,
    'idleTimeoutMs': IDLE_TIMEOUT_MS,
}
REAL_LIMITS = {
    'maxHeaderBytes': LARGEST_HEADER_BYTES,
    'maxBodyBytes': LARGEST_BODY_BYTES,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


class Site:
    """The router process and what it needs.

    Attributes:
      router: The process.
      target: The target.
      peak_descriptors: The most descriptors that were seen open.
      first_descriptors: How many were open when it was ready.
    """

    def __init__(
        self,
        router: routers.Router,
        target: platform_target.PlatformTarget,
    ) -> None:
        """Take a router that has been started."""
        self.router = router
        self.target = target
        self.peak_descriptors = 0
        self.first_descriptors = 0

    async def sample(self) -> None:
        """Observe the open descriptors until cancelled."""
        while True:
            if self.router.has_ended():
                return
            self.peak_descriptors = max(
                self.peak_descriptors, self.open_descriptors()
            )
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def open_descriptors(self) -> int:
        """Return how many descriptors the router has open."""
        return process_usage.open_descriptors(self.router.pid)

    def peak_memory_bytes(self) -> int:
        """Return the largest memory of the router so far."""
        return process_usage.peak_memory_bytes(self.router.pid)

    async def wait_until_ready(self) -> None:
        """Wait until the router reports that it is ready."""
        while await status(READINESS_ADDRESS, names.READINESS_PATH) != 200:
            await asyncio.sleep(PAUSE_S)
        self.first_descriptors = self.open_descriptors()

    async def wait_until_served(self) -> None:
        """Send ordinary requests until the target has answered one.

        A request may be refused while the clients are connected.
        """
        while await status(SERVE_ADDRESS, f'{ROUTE_PREFIX}x'.encode()) != 200:
            await asyncio.sleep(PAUSE_S)

    async def wait_until_released(self) -> None:
        """Wait until the descriptors of the clients are closed."""
        limit = self.first_descriptors + MAX_KEPT_DESCRIPTORS
        while self.open_descriptors() > limit:
            await asyncio.sleep(PAUSE_S)


async def start(
    stack: contextlib.AsyncExitStack,
    limits: typing.Mapping[str, int],
) -> Site:
    """Start everything; the stack ends it.

    Args:
      stack: Closes the processes and servers.
      limits: The limits for callers in the configuration.
    """
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    store_address = model.Address(f'127.{NETWORK}.1.1', 18384)
    store = platform_store.PlatformStore()
    await store.listen(store_address)
    stack.callback(store.server.close)
    target = await _start_target(stack, store)
    store.put('config', 'main', {'spec': _manifest(limits)})
    router = routers.Router(
        'host-0',
        IP,
        'a',
        store_address,
        pathlib.Path(folder),
        MAX_DESCRIPTORS,
        MEMORY_MB,
    )
    stack.callback(router.close)
    router.start()
    site = Site(router, target)
    async with asyncio.timeout(GUARD_S):
        await site.wait_until_ready()
        await site.wait_until_served()
    sampling = asyncio.create_task(site.sample())
    stack.callback(sampling.cancel)
    return site


async def _start_target(
    stack: contextlib.AsyncExitStack, store: platform_store.PlatformStore
) -> platform_target.PlatformTarget:
    target = platform_target.PlatformTarget('desk-1')
    # The router adds headers.
    target.server.limits = target.server.limits._replace(
        header_bytes=2 * LARGEST_HEADER_BYTES
    )
    address = model.Address(f'127.{NETWORK}.4.1', 18500)
    await target.listen(address)
    stack.callback(target.server.close)
    store.put('servers', 'desk-1', target.entry('desk', address, 'a'))
    return target


def _manifest(limits: typing.Mapping[str, int]) -> dict[str, typing.Any]:
    rows = [
        platform_site.route_row('read', ROUTE_PREFIX, 'desk'),
        platform_site.route_row(
            'post',
            UPLOAD_PREFIX,
            'desk',
            'unsafe',
            timeout_ms=LONG_TIMEOUT_MS,
        ),
    ]
    services = [['desk', '/healthz', 100, None]]
    spec = platform_site.manifest(1, rows, services)
    spec['limits'] = dict(limits)
    return spec


def request_headers(deadline_ms: int) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request on a route."""
    return [
        (b'host', platform_site.HOST.encode()),
        (names.REQUEST_ID, b'ordinary'),
        (names.DEADLINE_MS, str(deadline_ms).encode()),
    ]


async def status(address: model.Address, path: bytes) -> int:
    """Send a request on a new connection.

    Returns:
      The status of its response, or 0 if it got none.
    """
    try:
        async with asyncio.timeout(ATTEMPT_S):
            connection = await http_client.connect(address, CONNECT_TIMEOUT_S)
            try:
                response = await connection.exchange(
                    b'GET',
                    path,
                    request_headers(DEADLINE_MS),
                    b'',
                    None,
                )
            finally:
                connection.abort()
    except (
        TimeoutError,
        http_client.ConnectError,
        http_client.ExchangeError,
    ):
        return 0
    return response.status
