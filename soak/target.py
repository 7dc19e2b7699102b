"""A target of the soak: runs requests, holds keys and records both."""

import asyncio
import json
import time
import typing

from amaranthcrank.platform import names
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from soak import holds as key_holds
from standins import platform_target


class Run(typing.NamedTuple):
    """One request that a target began.

    Attributes:
      request_id: The id of the request.
      service: The service of the target.
      holder: The target's id and incarnation.
      at: When it began, in monotonic seconds.
    """

    request_id: str
    service: str
    holder: str = ''
    at: float = 0.0


class LeavingAnswer(typing.NamedTuple):
    """A response in which a target said that it is leaving.

    Attributes:
      request_id: The id of the request.
      holder: The target's id and incarnation.
      at: When it was sent, in monotonic seconds.
    """

    request_id: str
    holder: str
    at: float


class Target:
    """One incarnation of a target.

    Attributes:
      holder: Its id and incarnation.
      runs: The requests that it began, in order.
      leaving_answers: The responses in which it said that it is leaving.
      is_leaving: Whether it says so in all responses.
      holds: Which keys it held and when.
      accepts_grants: Returns whether grants are accepted now. They are not
        just after a router was resumed, when a stale one may arrive.
    """

    def __init__(
        self, target_id: str, service: str, keyed: bool, incarnation: int
    ) -> None:
        """Start without keys."""
        self.target_id = target_id
        self.service = service
        self.incarnation = incarnation
        self.holder = model.holder_name(target_id, incarnation)
        self.work_s = 0.02
        self.runs: list[Run] = []
        self.leaving_answers: list[LeavingAnswer] = []
        self.is_leaving = False
        self.holds: list[key_holds.Hold] = []
        self.accepts_grants: typing.Callable[[], bool] = lambda: True
        self._keyed = keyed
        self._running: dict[int, int] = {}
        self._is_down = False
        self.server = http_server.Server(self._handle)

    def crash(self) -> None:
        """Crash: end all holds and close the server."""
        self._is_down = True
        now = time.monotonic()
        self.holds = [
            hold._replace(until=min(hold.until, now)) for hold in self.holds
        ]
        self.server.close()

    async def _handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        response = await self._respond(request)
        if self.is_leaving:
            response.headers.append((names.LEAVING, names.LEAVING_VALUE))
            request_id = request.header(names.REQUEST_ID) or b''
            self.leaving_answers.append(
                LeavingAnswer(
                    request_id.decode(), self.holder, time.monotonic()
                )
            )
        return response

    async def _respond(
        self, request: http_server.Request
    ) -> http_server.Response:
        if request.path == names.GRANT_PATH.encode():
            return self._on_grant(json.loads(request.body))
        if request.path == names.RELEASE_PATH.encode():
            return await self._on_release(json.loads(request.body))
        return await self._run(request)

    async def _run(self, request: http_server.Request) -> http_server.Response:
        request_id = request.header(names.REQUEST_ID) or b''
        headers = [(names.REQUEST_ID, request_id)]
        if request.header(names.EXPECTED_TARGET) != self.target_id.encode():
            return http_server.Response(421, headers, b'')
        key = int(request.header(names.KEY) or 0)
        if self._keyed and not self._holds(key):
            headers.append((names.NOT_RUN, b'1'))
            return http_server.Response(421, headers, b'')
        self.runs.append(
            Run(
                request_id.decode(),
                self.service,
                self.holder,
                time.monotonic(),
            )
        )
        self._running[key] = self._running.get(key, 0) + 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running[key] -= 1
        headers.append((names.SIGNATURE, b'signed'))
        return http_server.Response(200, headers, b'ran ' + request_id)

    def _holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(
            hold.first <= key <= hold.last and hold.since <= now < hold.until
            for hold in self.holds
        )

    def _on_grant(self, fields: dict[str, typing.Any]) -> http_server.Response:
        call = platform_target.parse_grant(fields)
        now = time.monotonic()
        for hold in self.holds:
            if hold.last < call.first or call.last < hold.first:
                continue
            if call.fence < hold.fence:
                return http_server.Response(409, [], b'')
        if not self.accepts_grants():
            return http_server.Response(409, [], b'')
        self.holds.append(
            key_holds.Hold(
                self.holder,
                self.service,
                call.first,
                call.last,
                call.fence,
                now,
                now + call.hold_s,
            )
        )
        return http_server.Response(200, [], b'')

    async def _on_release(
        self, fields: dict[str, typing.Any]
    ) -> http_server.Response:
        first, last = platform_target.parse_release(fields)
        now = time.monotonic()
        self.holds = key_holds.release(self.holds, first, last, now)
        while not self._is_down and self._is_running(first, last):
            await asyncio.sleep(0.005)
        return http_server.Response(200, [(names.HANDOVER, b'warm')], b'')

    def _is_running(self, first: int, last: int) -> bool:
        return any(
            count and first <= key <= last
            for key, count in self._running.items()
        )
