"""A stand-in for a target of the platform, run in the test's event loop.

It runs requests for the keys that it was granted. Tests can check the
requests that it ran and the grants that it accepted.
"""

import asyncio
import json
import time
import typing

from amaranthcrank.router import http_server
from amaranthcrank.router import model


class Grant(typing.NamedTuple):
    """A range of keys that was granted.

    Attributes:
      first: The first key.
      last: The last key, inclusive.
      fence: The fencing token.
      until: When the grant expires, monotonic seconds.
    """

    first: int
    last: int
    fence: int
    until: float


class GrantCall(typing.NamedTuple):
    """The content of a grant call.

    Attributes:
      first: The first key.
      last: The last key, inclusive.
      fence: The fencing token.
      hold_s: The duration of the grant.
      handover: The handover data of the former owner, or ''.
    """

    first: int
    last: int
    fence: int
    hold_s: float
    handover: str


def parse_grant(fields: dict[str, typing.Any]) -> GrantCall:
    """Parse the body of a grant call."""
    return GrantCall(
        fields['from'],
        fields['target'],
        fields['fence'],
        fields['holdMs'] / 1000,
        fields.get('handover', ''),
    )


def parse_release(fields: dict[str, typing.Any]) -> tuple[int, int]:
    """Parse the body of a release call: the first and the last key."""
    return fields['from'], fields['target']


def entry(
    service: str,
    address: model.Address,
    domain: str,
    incarnation: int,
    state: str,
) -> dict[str, typing.Any]:
    """Return the entry that a target writes to the store about itself."""
    return {
        'spec': {
            'address': f'{address.ip}:{address.port}',
            'info': {
                'service': service,
                'version': 'v1',
                'zone': domain,
                'slots': 3,
            },
            'born': incarnation,
        },
        'status': {'state': state, 'seq': 1, 'warmupLeftMs': 0},
    }


class PlatformTarget:
    """One target.

    Attributes:
      ran: The ids of the requests that it ran, in order.
      deadlines_ms: The deadlines of these requests.
      grants: The grants that it accepted, newest last.
      released: The first key, last key and fence of each release. Releases
        with the token 0, which no key is granted with, only ask whether the
        target reads its calls, and are left out.
      status: The status of its responses to requests.
      body: The body of these responses.
      work_s: How long a request takes.
      keyed: Whether it runs only requests whose key it holds.
      refuses_requests: Whether it refuses all requests as not run.
      is_leaving: Whether it says in each response that it is leaving.
      retry_after: The Retry-After of its refusals, or '' for none.
      refused: When it refused requests, monotonic seconds.
      warm_up_ms: Its X-Warmup-Ms header, or '' for none.
      server_load: Its X-Server-Load header, or '' for none.
      ran_at: When it ran each request of `ran`, monotonic seconds.
      queue_length: How many requests it takes at once. It never responds to
        others, nor to anything later on their connections.
    """

    def __init__(self, target_id: str, keyed: bool = False) -> None:
        """Create a target without keys."""
        self.target_id = target_id
        self.keyed = keyed
        self.status = 200
        self.body = b'done'
        self.work_s = 0.01
        self.refuses_requests = False
        self.is_leaving = False
        self.retry_after = ''
        self.refused: list[float] = []
        self.queue_length = 1000
        self._running = 0
        self.warm_up_ms = ''
        self.server_load = ''
        self.ran: list[str] = []
        self.ran_at: list[float] = []
        self.deadlines_ms: list[int] = []
        self.grants: list[Grant] = []
        self.released: list[tuple[int, int, int]] = []
        self.server = http_server.Server(self._handle)

    async def listen(self, address: model.Address) -> None:
        """Start to accept connections."""
        await self.server.listen(address)

    def entry(
        self, service: str, address: model.Address, domain: str
    ) -> dict[str, typing.Any]:
        """Return the entry that it writes to the store about itself."""
        return entry(service, address, domain, 1, 'ready')

    def holds(self, key: int) -> bool:
        """Return whether it holds a key at the moment."""
        now = time.monotonic()
        held = False
        for grant in self.grants:
            if grant.first <= key <= grant.last:
                held = now < grant.until
        for first, last, fence in self.released:
            if first <= key <= last and held:
                held = any(
                    grant.fence > fence and grant.first <= key <= grant.last
                    for grant in self.grants
                )
        return held

    async def _handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        response = await self._respond(request)
        if self.is_leaving:
            response.headers.append((b'server-leaving', b'1'))
        for name, value in (
            (b'x-warmup-ms', self.warm_up_ms),
            (b'x-server-load', self.server_load),
        ):
            if value:
                response.headers.append((name, value.encode()))
        return response

    async def _respond(
        self, request: http_server.Request
    ) -> http_server.Response:
        if request.path == b'/v1/grant':
            return self._on_grant(json.loads(request.body))
        if request.path == b'/v1/release':
            return self._on_release(json.loads(request.body))
        request_id = request.header(b'x-request-id') or b''
        headers = [(b'x-request-id', request_id)]
        if request.header(b'x-target-instance') != self.target_id.encode():
            return http_server.Response(421, headers, b'')
        key = request.header(b'x-shard-key')
        if self.keyed and (key is None or not self.holds(int(key))):
            headers.append((b'x-not-executed', b'1'))
            return http_server.Response(421, headers, b'')
        if self.refuses_requests:
            self.refused.append(time.monotonic())
            headers.append((b'x-not-executed', b'1'))
            if self.retry_after:
                value = self.retry_after.encode()
                headers.append((b'retry-after', value))
            return http_server.Response(503, headers, b'')
        if self._running >= self.queue_length:
            await asyncio.Event().wait()
        self.ran.append(request_id.decode())
        self.ran_at.append(time.monotonic())
        deadline = request.header(b'x-request-deadline') or b'0'
        self.deadlines_ms.append(int(deadline))
        self._running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        headers.append((b'x-response-signature', b'signed'))
        return http_server.Response(self.status, headers, self.body)

    def _on_grant(self, fields: dict[str, int]) -> http_server.Response:
        call = parse_grant(fields)
        highest = max(
            (
                grant.fence
                for grant in self.grants
                if grant.first <= call.last and call.first <= grant.last
            ),
            default=0,
        )
        if call.fence < highest:
            return http_server.Response(409, [], b'')
        until = time.monotonic() + call.hold_s
        self.grants.append(Grant(call.first, call.last, call.fence, until))
        return http_server.Response(200, [], b'')

    def _on_release(self, fields: dict[str, int]) -> http_server.Response:
        if fields['fence']:
            self.released.append(
                (fields['from'], fields['target'], fields['fence'])
            )
        return http_server.Response(200, [(b'x-handover', b'warm')], b'')
