"""A small stand-in for a target of the platform, in the test's event loop.

It runs requests, owns keys that it was granted, and records what it ran and
which grants it took, so that a test can check both.
"""

import asyncio
import json
import time
import typing

from amaranthcrank.router import http_server
from amaranthcrank.router import model


class Grant(typing.NamedTuple):
    """Keys that were granted.

    Attributes:
      first: The first key.
      last: The last key.
      fence: The fencing token.
      until: When the grant ends, monotonic seconds.
    """

    first: int
    last: int
    fence: int
    until: float


class GrantCall(typing.NamedTuple):
    """What a call grants.

    Attributes:
      first: The first key.
      last: The last key.
      fence: The fencing token.
      hold_s: The length of the grant.
      handover: What the former owner gave, or ''.
    """

    first: int
    last: int
    fence: int
    hold_s: float
    handover: str


def parse_grant(fields: dict[str, typing.Any]) -> GrantCall:
    """Read the body of a grant."""
    return GrantCall(
        fields['from'],
        fields['target'],
        fields['fence'],
        fields['holdMs'] / 1000,
        fields.get('handover', ''),
    )


def parse_release(fields: dict[str, typing.Any]) -> tuple[int, int]:
    """Read the body of a release: its first and its last key."""
    return fields['from'], fields['target']


def entry(
    service: str,
    address: model.Address,
    domain: str,
    incarnation: int,
    state: str,
) -> dict[str, typing.Any]:
    """Return what a target writes of itself in the store."""
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
      grants: The grants that it took, newest last.
      status: The status that it answers requests with.
      work_s: How long a request takes.
      keyed: Whether it runs only requests whose key it holds.
      not_run: Whether it turns all requests away.
    """

    def __init__(self, target_id: str, keyed: bool = False) -> None:
        """Start without keys."""
        self.target_id = target_id
        self.keyed = keyed
        self.status = 200
        self.work_s = 0.01
        self.refuses_requests = False
        self.ran: list[str] = []
        self.deadlines_ms: list[int] = []
        self.grants: list[Grant] = []
        self.released: list[tuple[int, int, int]] = []
        self.server = http_server.Server(self._handle)

    async def listen(self, address: model.Address) -> None:
        """Start to listen."""
        await self.server.listen(address)

    def entry(
        self, service: str, address: model.Address, domain: str
    ) -> dict[str, typing.Any]:
        """Return what it writes of itself in the store."""
        return entry(service, address, domain, 1, 'ready')

    def holds(self, key: int) -> bool:
        """Tell whether it holds a key now."""
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

    async def _handle(self, request: http_server.Request) -> http_server.Reply:
        if request.path == b'/v1/grant':
            return self._take_grant(json.loads(request.body))
        if request.path == b'/v1/release':
            return self._take_release(json.loads(request.body))
        request_id = request.header(b'x-request-id') or b''
        headers = [(b'x-request-id', request_id)]
        if request.header(b'x-target-instance') != self.target_id.encode():
            return http_server.Reply(421, headers, b'')
        key = request.header(b'x-shard-key')
        if self.keyed and (key is None or not self.holds(int(key))):
            headers.append((b'x-not-executed', b'1'))
            return http_server.Reply(421, headers, b'')
        if self.refuses_requests:
            headers.append((b'x-not-executed', b'1'))
            return http_server.Reply(503, headers, b'')
        self.ran.append(request_id.decode())
        deadline = request.header(b'x-request-deadline') or b'0'
        self.deadlines_ms.append(int(deadline))
        await asyncio.sleep(self.work_s)
        headers.append((b'x-response-signature', b'signed'))
        return http_server.Reply(self.status, headers, b'done')

    def _take_grant(self, fields: dict[str, int]) -> http_server.Reply:
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
            return http_server.Reply(409, [], b'')
        until = time.monotonic() + call.hold_s
        self.grants.append(Grant(call.first, call.last, call.fence, until))
        return http_server.Reply(200, [], b'')

    def _take_release(self, fields: dict[str, int]) -> http_server.Reply:
        self.released.append(
            (fields['from'], fields['target'], fields['fence'])
        )
        return http_server.Reply(200, [(b'x-handover', b'warm')], b'')
