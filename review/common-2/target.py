"""A stand-in for a target, as PROTOCOL.md describes it."""

import asyncio
import json
import time
import typing

import record
import store as stores
import wire


class Hold(typing.NamedTuple):
    """Keys that a target holds, from the arrival of the grant."""

    first: int
    last: int
    fence: int
    until: float


class Target:
    """One life of a target.

    Attributes:
      is_up: Whether its process runs.
      holds: What it holds, and held.
      work_s: How long a request takes.
      crashes_on: A path at which it crashes when it begins to run a request.
      last_id: The id of the request that it began to run last.
      on_crash: Called with itself after it has crashed.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        zone: str,
        ip: str,
        port: int,
        keyed: bool,
        store: stores.Store,
        log: record.Record,
        heartbeat_s: float,
        slots: int = 3,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.zone = zone
        self.ip = ip
        self.port = port
        self.keyed = keyed
        self.slots = slots
        self.is_up = False
        self.born = 0
        self.holds: list[Hold] = []
        self.work_s = 0.05
        self.crashes_on = ''
        self.last_id = ''
        self.on_crash: typing.Callable[[Target], None] = lambda _: None
        self._store = store
        self._log = log
        self._heartbeat_s = heartbeat_s
        self._seq = 0
        self._highest: list[tuple[int, int, int]] = []
        self._running: dict[int, int] = {}
        self._slots = asyncio.Semaphore(slots)
        self._queued = 0
        self._beating: asyncio.Task[None] | None = None
        self.server = wire.Server(self._handle)

    async def start(self) -> None:
        """Listen, and register in the store."""
        self.born = time.time_ns() // 1_000_000
        await self.server.listen(self.ip, self.port)
        self.is_up = True
        self._log.add('target_up', target=self.target_id, born=self.born)
        self._beating = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End without a word: what it holds and knows is lost."""
        self.is_up = False
        self._log.add('target_crash', target=self.target_id)
        if self._beating is not None:
            self._beating.cancel()
        now = time.monotonic()
        for hold in self.holds:
            if hold.until > now:
                self._log.hold_end(self, hold, now)
        self.holds = []
        self.server.close()

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            spec = {
                'address': f'{self.ip}:{self.port}',
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.zone,
                    'slots': self.slots,
                },
                'born': self.born,
            }
            status = {'state': 'ready', 'seq': self._seq, 'warmupLeftMs': 0}
            self._store.put('servers', self.target_id, spec, status)
            self._store.hear(self.target_id)
            await asyncio.sleep(self._heartbeat_s)

    async def _handle(self, request: wire.Request) -> wire.Response | None:
        named = request.headers.get('x-target-instance')
        if named is not None and named != self.target_id:
            headers = {'X-Instance-Id': self.target_id}
            return self._answer(request, 421, headers)
        if request.path == '/v1/grant':
            return self._on_grant(json.loads(request.body))
        if request.path == '/v1/release':
            return await self._on_release(json.loads(request.body))
        if request.path == '/healthz':
            return self._answer(
                request, 200, {'X-Instance-Id': self.target_id}
            )
        return await self._run(request)

    def _answer(
        self,
        request: wire.Request,
        status: int,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> wire.Response:
        sent = dict(headers)
        if 'x-request-id' in request.headers:
            sent['X-Request-Id'] = request.headers['x-request-id']
        return wire.Response(status, sent, body)

    async def _run(self, request: wire.Request) -> wire.Response | None:
        request_id = request.headers.get('x-request-id', '')
        not_run = {'X-Not-Executed': '1'}
        if not request_id:
            return self._answer(request, 400, not_run)
        if self._queued >= 4 * self.slots:
            return self._answer(request, 503, not_run)
        self._queued += 1
        try:
            async with self._slots:
                return await self._run_now(request, request_id)
        finally:
            self._queued -= 1

    async def _run_now(
        self, request: wire.Request, request_id: str
    ) -> wire.Response | None:
        key = -1
        if self.keyed:
            key = int(request.headers.get('x-shard-key', -1))
            if not self.holds_key(key):
                return self._answer(request, 421, {'X-Not-Executed': '1'})
        self.last_id = request_id
        self._log.add(
            'run',
            target=self.target_id,
            id=request_id,
            path=request.path,
            key=key,
        )
        if self.crashes_on and request.path == self.crashes_on:
            self.crash()
            self.on_crash(self)
            return None
        self._running[key] = self._running.get(key, 0) + 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running[key] -= 1
        headers = {'X-Response-Signature': f'{self.target_id}.{request_id}'}
        return self._answer(
            request, 200, headers, b'ran ' + request_id.encode()
        )

    def holds_key(self, key: int) -> bool:
        """Return whether it holds a key now."""
        now = time.monotonic()
        return any(
            hold.first <= key <= hold.last and now < hold.until
            for hold in self.holds
        )

    def _on_grant(self, fields: dict[str, typing.Any]) -> wire.Response:
        first, last = fields['from'], fields['target']
        fence = fields['fence']
        for low, high, seen in self._highest:
            if low <= last and first <= high and seen > fence:
                self._log.add(
                    'grant_409',
                    target=self.target_id,
                    keys=f'{first}-{last}',
                    fence=fence,
                )
                return wire.Response(409, {}, b'')
        now = time.monotonic()
        hold = Hold(first, last, fence, now + fields['holdMs'] / 1000)
        renewed = [
            old
            for old in self.holds
            if old.first >= first and old.last <= last
        ]
        self.holds = [old for old in self.holds if old not in renewed]
        self.holds.append(hold)
        self._see(first, last, fence)
        self._log.add(
            'grant',
            target=self.target_id,
            keys=f'{first}-{last}',
            fence=fence,
            hold_ms=fields['holdMs'],
        )
        self._log.hold_begin(self, hold, now)
        return wire.Response(200, {}, b'')

    def _see(self, first: int, last: int, fence: int) -> None:
        seen = (first, last, fence)
        if seen not in self._highest:
            self._highest.append(seen)

    async def _on_release(
        self, fields: dict[str, typing.Any]
    ) -> wire.Response:
        first, last = fields['from'], fields['target']
        self._see(first, last, fields['fence'])
        now = time.monotonic()
        kept = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            self._log.hold_cut(
                self, max(first, hold.first), min(last, hold.last), now
            )
            if hold.first < first:
                kept.append(hold._replace(last=first - 1))
            if last < hold.last:
                kept.append(hold._replace(first=last + 1))
        self.holds = kept
        self._log.add(
            'release',
            target=self.target_id,
            keys=f'{first}-{last}',
            fence=fields['fence'],
        )
        while self.is_up and any(
            count and first <= key <= last
            for key, count in self._running.items()
        ):
            await asyncio.sleep(0.005)
        return wire.Response(200, {'X-Handover': 'kept'}, b'')
