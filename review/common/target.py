"""A target of the platform: runs requests, holds keys, and records both."""

import asyncio
import json
import time
import typing

from amaranthcrank.router import http_server
from amaranthcrank.router import model
from review.common import deployment

HEARTBEAT_S = 1.5
START_KEY_COUNT = 65536


class Hold(typing.NamedTuple):
    """Keys that a target held, first and last included.

    Attributes:
      since: When it took them, monotonic seconds.
      until: When its hold ended or will end.
    """

    target_id: str
    first: int
    last: int
    fence: int
    since: float
    until: float


class Run(typing.NamedTuple):
    """A request on a key that a target worked on.

    Attributes:
      since: When it began, monotonic seconds.
      until: When it ended.
      held_until: When the target's hold of the key would have run out.
    """

    request_id: str
    key: int
    since: float
    until: float
    held_until: float


class Target:
    """One life of a target.

    Attributes:
      runs: The requests on keys that have ended.
      ran: The id of each request that it began, in order.
      holds: Its holds, also those that have ended.
      crashes_on: Whether the target crashes on a request with this path.
      answer: Makes the answer to a request that it runs; None for the usual.
    """

    def __init__(
        self,
        deployed: deployment.Deployment,
        target_id: str,
        service: str,
        zone: str,
        keyed: bool = False,
        work_s: float = 0.1,
    ) -> None:
        """Create a target that is not started yet."""
        self.target_id = target_id
        self.service = service
        self.work_s = work_s
        self.ran: list[str] = []
        self.runs: list[Run] = []
        self.holds: list[Hold] = []
        self.state = 'ready'
        self.crashes_on: typing.Callable[[str], bool] = lambda _: False
        self.answer: (
            typing.Callable[[http_server.Request], http_server.Response | None]
            | None
        ) = None
        self.is_up = False
        self._deployed = deployed
        self._record = deployed.record
        self._zone = zone
        self._keyed = keyed
        self._running = 0
        self._running_by_key: dict[int, int] = {}
        self._born = int(time.time() * 1000)
        self.address = model.Address('127.0.0.1', deployment.free_port())
        # Where routers connect to: a relay's address if there is one.
        self.public_address = self.address
        self.server = http_server.Server(self._handle)
        self.server.limits = http_server.DEFAULT_LIMITS._replace(
            body_bytes=128 * 1024 * 1024
        )

    async def start(self) -> None:
        """Listen and register."""
        self._born = int(time.time() * 1000)
        await self.server.listen(self.address)
        self.is_up = True
        self.register()

    def register(self) -> None:
        """Write the entry to the store."""
        self._deployed.store.put(
            'servers',
            self.target_id,
            {
                'spec': {
                    'address': (
                        f'{self.public_address.ip}:{self.public_address.port}'
                    ),
                    'info': {
                        'service': self.service,
                        'version': 'v1',
                        'zone': self._zone,
                        'slots': 4,
                    },
                },
                'born': self._born,
                'status': {
                    'state': self.state,
                    'seq': 1,
                    'warmupLeftMs': 0,
                },
            },
        )

    def drain(self) -> None:
        """Say in the store that it leaves; it goes on serving."""
        self.state = 'draining'
        self._record.line(f'{self.target_id} reports draining')
        self.register()

    def crash(self) -> None:
        """End at once: reset all connections and close the port."""
        self.is_up = False
        now = time.monotonic()
        self.holds = [
            hold._replace(until=min(hold.until, now)) for hold in self.holds
        ]
        self._record.line(f'{self.target_id} crashes')
        self.server.stop_listening()
        for connection in list(self.server.connections):
            connection.abort()

    def finish(self) -> int:
        """Close the port and idle connections; end the running requests.

        Returns:
          The number of requests that it still works on.
        """
        self._record.line(
            f'{self.target_id} closes its port, {self._running} at work'
        )
        self.server.stop_listening()
        self.server.draining = True
        self.server.close_idle()
        return self._running

    async def start_again(self, after_s: float) -> None:
        """Come back with a new id after a crash; the old entry goes."""
        await asyncio.sleep(after_s)
        self._deployed.store.remove('servers', self.target_id)
        self.target_id += "'"
        self._record.line(f'{self.target_id} starts')
        await self.start()

    async def _handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        if request.path == b'/v1/grant':
            return self._on_grant(json.loads(request.body))
        if request.path == b'/v1/release':
            return await self._on_release(json.loads(request.body))
        request_id = (request.header(b'x-request-id') or b'').decode()
        headers = [(b'x-request-id', request_id.encode())]
        expected = request.header(b'x-target-instance')
        if expected != self.target_id.encode():
            return http_server.Response(421, headers, b'')
        key = int(request.header(b'x-shard-key') or 0)
        if self._keyed and not self.is_holding(key):
            headers.append((b'x-not-executed', b'1'))
            return http_server.Response(421, headers, b'')
        if self._running >= 20:
            headers.append((b'x-not-executed', b'1'))
            return http_server.Response(503, headers, b'')
        self.ran.append(request_id)
        path = request.path.decode()
        self._record.line(f'{self.target_id} runs {request_id} {path}')
        if self.crashes_on(path):
            self.crash()
            await asyncio.sleep(3600)
        began_at = time.monotonic()
        self._running += 1
        self._running_by_key[key] = self._running_by_key.get(key, 0) + 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
            self._running_by_key[key] -= 1
            if self._keyed:
                self._end_run(request_id, key, began_at)
        if self.answer is not None:
            response = self.answer(request)
            if response is not None:
                return response
        headers.append((b'x-response-signature', b'signed'))
        return http_server.Response(
            200, headers, b'ran ' + request_id.encode()
        )

    def _end_run(self, request_id: str, key: int, began_at: float) -> None:
        held_until = max(
            (
                hold.until
                for hold in self.holds
                if hold.first <= key <= hold.last
            ),
            default=0.0,
        )
        self.runs.append(
            Run(request_id, key, began_at, time.monotonic(), held_until)
        )

    def is_holding(self, key: int) -> bool:
        """Return whether it holds a key now."""
        now = time.monotonic()
        return any(
            hold.first <= key <= hold.last and hold.until > now
            for hold in self.holds
        )

    def _on_grant(self, fields: dict[str, typing.Any]) -> http_server.Response:
        first, last = fields['from'], fields['target']
        fence = fields['fence']
        now = time.monotonic()
        until = now + fields['holdMs'] / 1000
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                continue
            if hold.fence > fence:
                return http_server.Response(409, [], b'')
        kept = []
        for hold in self.holds:
            same = (hold.first, hold.last, hold.fence) == (first, last, fence)
            if same and hold.until > now:
                kept.append(hold._replace(until=max(until, hold.until)))
                self.holds[self.holds.index(hold)] = kept[-1]
                return http_server.Response(200, [], b'')
        # A part of a range that it holds already, with the same token.
        self._record.line(
            f'{self.target_id} takes keys {first} to {last}, fence {fence}, '
            f'for {fields["holdMs"]} ms'
        )
        self.holds.append(Hold(self.target_id, first, last, fence, now, until))
        return http_server.Response(200, [], b'')

    async def _on_release(
        self, fields: dict[str, typing.Any]
    ) -> http_server.Response:
        first, last = fields['from'], fields['target']
        now = time.monotonic()
        self._record.line(
            f'{self.target_id} is asked to release {first} to {last}, '
            f'fence {fields["fence"]}'
        )
        self.holds = list(_cut(self.holds, first, last, now))
        # Remembers the token, so that older grants are refused.
        self.holds.append(
            Hold(self.target_id, first, last, fields['fence'], now, now)
        )
        while self.is_up and any(
            count and first <= key <= last
            for key, count in self._running_by_key.items()
        ):
            await asyncio.sleep(0.005)
        return http_server.Response(200, [(b'x-handover', b'warm')], b'')


def _cut(
    holds: list[Hold], first: int, last: int, now: float
) -> typing.Iterator[Hold]:
    """Yield holds with the keys of a range ended now."""
    for hold in holds:
        if hold.last < first or last < hold.first or hold.until <= now:
            yield hold
            continue
        if hold.first < first:
            yield hold._replace(last=first - 1)
        if last < hold.last:
            yield hold._replace(first=last + 1)
        yield hold._replace(
            first=max(first, hold.first),
            last=min(last, hold.last),
            until=now,
        )


def shared_holds(
    targets: typing.Sequence[Target], longest_s: float
) -> list[tuple[Hold, Hold, float, float]]:
    """Return pairs of holds of two targets with common keys.

    Args:
      targets: All targets; those that crashed held nothing from then on.
      longest_s: Pairs that overlap for no longer are left out.

    Returns:
      The holds, and the start and the end of the time that they share.
    """
    now = time.monotonic()
    holds = [hold for each in targets for hold in each.holds]
    found = []
    for index, one in enumerate(holds):
        for other in holds[index + 1 :]:
            if one.target_id == other.target_id:
                continue
            if one.last < other.first or other.last < one.first:
                continue
            since = max(one.since, other.since)
            until = min(one.until, other.until, now)
            if until - since > longest_s:
                found.append((one, other, since, until))
    return found
