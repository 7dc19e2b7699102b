"""Targets, calls and a store in memory, for tests of the key controller.

The targets keep to what the platform promises and to nothing more: a grant
without a response may take effect seconds later, and a target rejects grants
below the highest fencing token among the *grants* that it has taken.
"""

import asyncio
import json
import typing
from unittest import mock

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import http_client
from amaranthcrank.router import incarnation_checks
from amaranthcrank.router import key_calls
from amaranthcrank.router import model
from soak import holds as key_holds
from standins import platform_target

# How long a call waits for the response of a target that is stopped.
SILENCE_S = 0.1


def entry(number: int) -> model.TargetEntry:
    """Return the entry of a target."""
    return model.TargetEntry(
        f'i-{number}',
        'book',
        model.Address('10.0.0.1', number),
        'a',
        3,
        model.READY,
        0.0,
        1,
    )


class Call(typing.NamedTuple):
    """A grant or a release.

    Attributes:
      at: When it was begun or sent, by `clock.now`.
      path: Its path.
      address: Where it was sent to.
      first: The first key.
      last: The last key, inclusive.
      fence: The fencing token.
    """

    at: float
    path: str
    address: model.Address
    first: int
    last: int
    fence: int


class Target:
    """Takes grants and releases, and records what it holds.

    Attributes:
      entry: Its entry.
      holds: The periods in which it held keys.
      work_s: How long its work on released keys takes.
      counts_releases: Whether it counts the tokens of releases as well.
      highest_fence: The highest token seen.
      releases: How many releases it took.
      waiting_grants: The grants that wait until it goes on.
      is_stopped: Whether calls wait until it goes on.
      stops_after_release: Whether it stops once it has answered a release.
      result_by_path: What calls return that do not reach it.
      response_s: How long the responses to its releases are on their way.
    """

    def __init__(self, target_entry: model.TargetEntry) -> None:
        """Start without keys."""
        self.entry = target_entry
        self.holds: list[key_holds.Hold] = []
        self.work_s = 0.0
        self.counts_releases = False
        self.highest_fence = 0
        self.releases = 0
        self.is_stopped = False
        self.stops_after_release = False
        self.waiting_grants: list[platform_target.GrantCall] = []
        self.result_by_path: dict[str, str] = {}
        self.response_s = 0.0

    def take_grant(
        self, call: platform_target.GrantCall, arrived_at: float
    ) -> bool:
        """Take a grant; return False for a token that is too low."""
        if call.fence < self.highest_fence:
            return False
        self.highest_fence = call.fence
        until = arrived_at + call.hold_s
        now = clock.now()
        if until > now:
            self.holds.append(
                key_holds.Hold(
                    self.entry.holder,
                    'book',
                    call.first,
                    call.last,
                    call.fence,
                    now,
                    until,
                )
            )
        return True

    async def release(self, first: int, last: int, fence: int) -> None:
        """Release keys; a hold ends when the work on its keys has ended."""
        self.releases += 1
        if self.counts_releases:
            self.highest_fence = max(self.highest_fence, fence)
        now = clock.now()
        working = any(
            hold.first <= last and first <= hold.last and hold.until > now
            for hold in self.holds
        )
        if working:
            await asyncio.sleep(self.work_s)
        self.holds = key_holds.release(self.holds, first, last, clock.now())

    def hold_back(self, call: platform_target.GrantCall) -> None:
        """Keep a grant until the target goes on."""
        self.waiting_grants.append(call)

    def resume(self) -> None:
        """Go on, and take the grants that waited.

        They take effect after all releases that waited, as nothing promises
        an order among connections.
        """
        self.is_stopped = False
        for call in self.waiting_grants:
            self.take_grant(call, clock.now())
        self.waiting_grants.clear()


class RangeTarget(Target):
    """Counts fencing tokens by key, so that it can own several ranges."""

    def __init__(self, target_entry: model.TargetEntry) -> None:
        """Start without keys."""
        super().__init__(target_entry)
        self._taken: list[platform_target.GrantCall] = []

    def take_grant(
        self, call: platform_target.GrantCall, arrived_at: float
    ) -> bool:
        """Take a grant; return False for a token that is too low."""
        self.highest_fence = max(
            (
                taken.fence
                for taken in self._taken
                if taken.first <= call.last and call.first <= taken.last
            ),
            default=0,
        )
        is_taken = super().take_grant(call, arrived_at)
        if is_taken:
            self._taken.append(call)
        return is_taken


class _Connection:
    """A new connection to a target.

    Attributes:
      is_new: Whether no request was sent on it.
      is_open: Whether another request may be sent.
      identified_at: When the last response that named its request arrived;
        0.0 if none has.
    """

    is_new = True
    is_open = True
    identified_at = 0.0

    def __init__(self, target: Target) -> None:
        """Connect to a target."""
        self._target = target

    async def exchange(
        self,
        method: bytes,
        path: bytes,
        headers: typing.Any,
        body: bytes,
        request_id: bytes,
    ) -> http_client.Response:
        """Send a release.

        Raises:
          TimeoutError: The target is stopped.
        """
        await asyncio.sleep(SILENCE_S if self._target.is_stopped else 0.0)
        if self._target.is_stopped:
            raise TimeoutError
        return await _release(self._target, json.loads(body))


async def _release(
    target: Target, fields: dict[str, typing.Any]
) -> http_client.Response:
    first, last = platform_target.parse_release(fields)
    await target.release(first, last, fields['fence'])
    if target.response_s:
        await asyncio.sleep(target.response_s)
    if target.stops_after_release:
        target.stops_after_release = False
        target.is_stopped = True
    return http_client.Response(200, [(names.HANDOVER, b'w')], b'', True)


class Calls(key_calls.KeyCalls):
    """Delivers calls to the targets.

    Attributes:
      lost_fences: How many calls that fence off a target arrive late and
        unanswered.
      fence_delay_s: How late these arrive.
      begun: The calls that were begun, without probes.
      sent: Those of them that were sent.
      most_concurrent: The most calls that were in progress at once.
    """

    def __init__(self, target_by_holder: dict[str, Target]) -> None:
        """Deliver calls to targets by `id/incarnation`."""
        super().__init__(
            mock.Mock(),
            mock.Mock(),
            mock.AsyncMock(return_value=False),
            mock.Mock(),
            0.0,
            mock.Mock(),
            'host-2',
            lambda: True,
        )
        self._target_by_holder = target_by_holder
        self.lost_fences = 0
        self.fence_delay_s = 0.5
        self.begun: list[Call] = []
        self.sent: list[Call] = []
        self.most_concurrent = 0
        self._in_progress = 0

    async def _post(
        self,
        holder: str,
        address: model.Address,
        path: str,
        body: bytes,
        timeout_s: float,
        before_send: typing.Callable[[typing.Any], typing.Awaitable[None]],
        request_id: str,
        is_shared: bool = True,
        is_clear: typing.Any = None,
        on_sent: typing.Any = None,
    ) -> tuple[str, http_client.Response | None]:
        self._in_progress += 1
        self.most_concurrent = max(self.most_concurrent, self._in_progress)
        try:
            return await self._deliver(
                holder, address, path, json.loads(body), before_send
            )
        finally:
            self._in_progress -= 1

    async def _deliver(
        self,
        holder: str,
        address: model.Address,
        path: str,
        fields: dict[str, typing.Any],
        before_send: typing.Callable[[typing.Any], typing.Awaitable[None]],
    ) -> tuple[str, http_client.Response | None]:
        target = self._target_by_holder[holder]
        first, last = platform_target.parse_release(fields)
        call = Call(clock.now(), path, address, first, last, fields['fence'])
        self.begun.append(call)
        if path in target.result_by_path:
            return target.result_by_path[path], None
        try:
            await before_send(_Connection(target))
        except incarnation_checks.UnconfirmedError:
            return key_calls.UNANSWERED, None
        self.sent.append(call._replace(at=clock.now()))
        return await self._take(target, path, fields)

    async def _take(
        self, target: Target, path: str, fields: dict[str, typing.Any]
    ) -> tuple[str, http_client.Response | None]:
        await asyncio.sleep(0.001)
        if path == names.RELEASE_PATH:
            if target.is_stopped:
                await asyncio.sleep(SILENCE_S)
                return key_calls.UNANSWERED, None
            return key_calls.GRANTED, await _release(target, fields)
        call = platform_target.parse_grant(fields)
        if target.is_stopped:
            target.hold_back(call)
            await asyncio.sleep(SILENCE_S)
            return key_calls.UNANSWERED, None
        if call.hold_s <= key_calls.FENCE_S and self.lost_fences:
            self.lost_fences -= 1
            asyncio.get_running_loop().call_later(
                self.fence_delay_s,
                lambda: target.take_grant(call, clock.now()),
            )
            await asyncio.sleep(0.05)
            return key_calls.UNANSWERED, None
        if not target.take_grant(call, clock.now()):
            return key_calls.REJECTED, http_client.Response(409, [], b'')
        return key_calls.GRANTED, http_client.Response(200, [], b'', True)


class Store:
    """Holds the key map that the former controller wrote.

    Attributes:
      item: The stored object.
      era: The era of the store.
      era_seen_at: Since when it is known, by `clock.now`.
      has_seen_restore: Whether the era has risen.
    """

    era = 0
    has_seen_restore = False

    def __init__(self, key_map: model.KeyMap) -> None:
        """Store a key map."""
        self.era_seen_at = clock.now()
        spec = entries.encode_key_map(key_map)
        self.item: dict[str, typing.Any] = {
            'metadata': {'rev': key_map.revision},
            'spec': spec,
        }

    async def list_all(self, kind: str, timeout_s: float) -> store.Listing:
        """Return all objects."""
        return store.Listing({'keys.book': self.item}, 1)

    async def replace(
        self,
        kind: str,
        name: str,
        revision: int,
        spec: dict[str, typing.Any],
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        """Replace the map if it has the revision.

        Raises:
          ConflictError: It has another one.
        """
        if self.item['metadata']['rev'] != revision:
            raise store.ConflictError(self.item)
        if self.item['spec'] == spec:
            return self.item
        self.item = {'metadata': {'rev': revision + 1}, 'spec': spec}
        return self.item
