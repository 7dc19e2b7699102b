"""A target as a process of its own, which runs requests and holds keys.

It keeps to what the platform promises and to nothing more, and appends what it
does to a file. Its clock runs slow and shows another time of day than those of
other targets. It carries out every call that it has read, also if nobody waits
for the response any more. Some of its calls get no response and take effect
seconds later; other responses are sent twice. A process that is started for a
target again knows nothing of what the former one held or saw.
"""

import asyncio
import json
import random
import signal
import sys
import time
import typing

from amaranthcrank.platform import names
from amaranthcrank.platform import settings_file
from amaranthcrank.platform import store
from amaranthcrank.router import connection_pool
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from soak import call_server
from standins import platform_settings
from standins import platform_target

CONTROL_PATH = '/control'
HEARTBEAT_S = 0.5
STORE_TIMEOUT_S = 1.0
WORK_POLL_S = 0.005
# The platform allows no longer grants.
MAX_HOLD_MS = platform_settings.MAX_HOLD_MS


class Config(typing.NamedTuple):
    """What a target process is started with.

    Attributes:
      target_id: Its id.
      service: Its service.
      is_keyed: Whether it runs only requests for keys that it holds.
      address: Where others reach it, as `ip:port`.
      listen: Where it listens, as `ip:port`; a link may be between.
      store: The address of the store, as `ip:port`.
      domain: Its failure domain.
      record: The path of the file that it appends its records to.
      clock_rate: How many seconds pass in one second of its clock.
      clock_offset_ms: By how much its time of day is ahead.
      checks_calls: Whether it refuses grants and releases that name another
        target. The platform promises this for requests only.
      counts_releases: Whether it counts the tokens of releases among those
        that it has seen.
      work_s: How long a request takes.
      seed: The seed of its random choices.
    """

    target_id: str
    service: str
    is_keyed: bool
    address: str
    listen: str
    store: str
    domain: str
    record: str
    clock_rate: float
    clock_offset_ms: int
    checks_calls: bool
    counts_releases: bool
    work_s: float
    seed: int


class CallFaults(typing.NamedTuple):
    """What happens to grants and releases.

    Attributes:
      late_share: The share that gets no response and takes effect late.
      late_min_s: The shortest delay of these.
      late_max_s: The longest delay of these.
      repeated_share: The share whose response is sent once more, where the
        response to the next call of the connection is due.
    """

    late_share: float = 0.0
    late_min_s: float = 0.0
    late_max_s: float = 0.0
    repeated_share: float = 0.0


class OwnerProcess:
    """The target."""

    def __init__(self, config: Config, record: typing.TextIO) -> None:
        """Start without keys."""
        self.is_registering = True
        self.server = call_server.CallServer(self._handle, self._is_repeated)
        self.entry = platform_target.entry(
            config.service,
            settings_file.parse_address(config.address),
            config.domain,
            int(time.time() * 1000) + config.clock_offset_ms,
            model.READY,
        )
        self._config = config
        self._record = record
        self._rng = random.Random(config.seed)
        self._faults = CallFaults()
        self._tasks: set[asyncio.Task[None]] = set()
        # By key: when the target stops to run requests, when its last lease
        # ends, and the highest token seen.
        self._held_until = [0.0] * model.KEY_COUNT
        self._lease_until = [0.0] * model.KEY_COUNT
        self._fence_seen = [0] * model.KEY_COUNT
        self._running: dict[int, int] = {}

    def drain(self) -> None:
        """Report that it leaves; it goes on serving."""
        self.entry['status']['state'] = model.DRAINING

    def stop_registering(self) -> None:
        """Write no more to the store; it goes on serving."""
        self.is_registering = False

    def write(self, kind: str, **fields: typing.Any) -> None:
        """Append one record with the present time."""
        line = {'kind': kind, 'at': time.monotonic(), **fields}
        self._record.write(json.dumps(line) + '\n')
        self._record.flush()

    def _is_repeated(self, request: http_server.Request) -> bool:
        if _path(request) not in (names.GRANT_PATH, names.RELEASE_PATH):
            return False
        return self._rng.random() < self._faults.repeated_share

    async def _handle(
        self, request: http_server.Request
    ) -> http_server.Response | None:
        path = _path(request)
        if path == CONTROL_PATH:
            # Faults that overlap set different fields.
            self._faults = self._faults._replace(**json.loads(request.body))
            return http_server.Response(200, [], b'')
        if path not in (names.GRANT_PATH, names.RELEASE_PATH):
            return await self._run(request)
        if self._config.checks_calls and not self._is_meant(request):
            return http_server.Response(421, [], b'')
        arrived_at = time.monotonic()
        request_id = request.header(names.REQUEST_ID) or b''
        call = self._take_grant
        if path == names.RELEASE_PATH:
            call = self._take_release
        fields = json.loads(request.body)
        if not _is_valid(path, fields):
            return http_server.Response(400, [], b'')
        if self._rng.random() < self._faults.late_share:
            self._start_late(call, fields, arrived_at, request_id.decode())
            return None
        return await call(fields, arrived_at, request_id.decode())

    def _start_late(
        self,
        call: typing.Callable[..., typing.Awaitable[http_server.Response]],
        fields: dict[str, typing.Any],
        arrived_at: float,
        request_id: str,
    ) -> None:
        delay_s = self._rng.uniform(
            self._faults.late_min_s, self._faults.late_max_s
        )

        async def carry_out() -> None:
            await asyncio.sleep(delay_s)
            await call(fields, arrived_at, request_id)

        task = asyncio.create_task(carry_out())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_meant(self, request: http_server.Request) -> bool:
        expected = request.header(names.EXPECTED_TARGET)
        return expected in (None, self._config.target_id.encode())

    async def _take_grant(
        self, fields: dict[str, typing.Any], arrived_at: float, request_id: str
    ) -> http_server.Response:
        call = platform_target.parse_grant(fields)
        keys = range(call.first, call.last + 1)
        seen = max(self._fence_seen[key] for key in keys)
        if seen > call.fence:
            self.write(
                'rejected',
                first=call.first,
                last=call.last,
                fence=call.fence,
                seen=seen,
                arrived_at=arrived_at,
                request_id=request_id,
            )
            return http_server.Response(409, [], b'')
        until = arrived_at + call.hold_s * self._config.clock_rate
        for key in keys:
            self._fence_seen[key] = call.fence
            self._held_until[key] = until
            self._lease_until[key] = until
        self.write(
            'hold',
            first=call.first,
            last=call.last,
            fence=call.fence,
            arrived_at=arrived_at,
            until=until,
            request_id=request_id,
        )
        return http_server.Response(200, [], b'')

    async def _take_release(
        self, fields: dict[str, typing.Any], arrived_at: float, request_id: str
    ) -> http_server.Response:
        first, last = platform_target.parse_release(fields)
        for key in range(first, last + 1):
            self._held_until[key] = 0.0
            if self._config.counts_releases:
                seen = max(self._fence_seen[key], fields['fence'])
                self._fence_seen[key] = seen
        self.write(
            'release',
            first=first,
            last=last,
            fence=fields['fence'],
            arrived_at=arrived_at,
            request_id=request_id,
        )
        while any(
            count and first <= key <= last
            for key, count in self._running.items()
        ):
            await asyncio.sleep(WORK_POLL_S)
        return http_server.Response(200, [(names.HANDOVER, b'warm')], b'')

    async def _run(self, request: http_server.Request) -> http_server.Response:
        request_id = request.header(names.REQUEST_ID) or b''
        headers = [(names.REQUEST_ID, request_id)]
        if not self._is_meant(request):
            return http_server.Response(421, headers, b'')
        key = int(request.header(names.KEY) or 0)
        if self._config.is_keyed and self._held_until[key] < time.monotonic():
            headers.append((names.NOT_RUN, b'1'))
            return http_server.Response(421, headers, b'')
        self.write('run', key=key, request_id=request_id.decode())
        self._running[key] = self._running.get(key, 0) + 1
        try:
            is_complete = await self._work(key)
        finally:
            self._running[key] -= 1
            self.write('done', key=key, request_id=request_id.decode())
        if not is_complete:
            return http_server.Response(500, headers, b'')
        headers.append((names.SIGNATURE, b'signed'))
        return http_server.Response(200, headers, b'ran ' + request_id)

    async def _work(self, key: int) -> bool:
        """Work on a request; return whether the lease lasted until its end.

        A release leaves the lease of running work as it is.
        """
        end_at = time.monotonic() + self._config.work_s
        while (now := time.monotonic()) < end_at:
            pause_s = end_at - now
            if self._config.is_keyed:
                pause_s = min(pause_s, self._lease_until[key] - now)
            if pause_s <= 0:
                return False
            await asyncio.sleep(pause_s)
        return not self._config.is_keyed or self._lease_until[key] >= end_at


def _is_valid(path: str, fields: dict[str, typing.Any]) -> bool:
    """Return whether the platform takes a grant or a release."""
    names_of_fields = ['from', 'target', 'fence']
    if path == names.GRANT_PATH:
        names_of_fields.append('holdMs')
    numbers = [fields.get(name) for name in names_of_fields]
    if not all(type(number) is int and number >= 0 for number in numbers):
        return False
    if not fields['from'] <= fields['target'] < model.KEY_COUNT:
        return False
    return fields.get('holdMs', 0) <= MAX_HOLD_MS


def _path(request: http_server.Request) -> str:
    return request.path.decode().partition('?')[0]


async def _register(
    config: Config, target: OwnerProcess, pool: connection_pool.Pool
) -> None:
    """Write the target's entry again and again, with a growing count."""
    client = store.Client(settings_file.parse_address(config.store), pool)
    revision = 0
    while target.is_registering:
        spec = {**target.entry['spec'], 'status': dict(target.entry['status'])}
        target.entry['status']['seq'] += 1
        try:
            if revision:
                item = await client.replace(
                    names.TARGETS_KIND,
                    config.target_id,
                    revision,
                    spec,
                    STORE_TIMEOUT_S,
                )
            else:
                item = await client.create(
                    names.TARGETS_KIND,
                    config.target_id,
                    spec,
                    STORE_TIMEOUT_S,
                )
            revision = item['metadata']['rev']
        except store.ConflictError as error:
            revision = error.item['metadata']['rev'] if error.item else 0
        except store.StoreError:
            pass
        await asyncio.sleep(HEARTBEAT_S)


async def _main(config: Config) -> None:
    with open(config.record, 'a', encoding='utf-8') as record:
        target = OwnerProcess(config, record)
        await target.server.listen(settings_file.parse_address(config.listen))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, target.drain)
        loop.add_signal_handler(signal.SIGUSR1, target.stop_registering)
        await _register(config, target, connection_pool.Pool(loop.time))
        await loop.create_future()


if __name__ == '__main__':
    asyncio.run(_main(Config(**json.loads(sys.argv[1]))))
