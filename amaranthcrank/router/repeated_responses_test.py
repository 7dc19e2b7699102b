"""Tests of key calls to a server that sends a response once more.

The repeated response arrives at once, or where the response to the next call
on the connection is due. The next call itself gets no response, so it must not
be taken for answered.
"""

import asyncio
import contextlib
import itertools
import typing
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.router import connection_pool
from amaranthcrank.router import key_calls
from amaranthcrank.router import model
from standins import scripted_server

IP = '127.0.0.1'
HOLD_S = 1.0
HOLDER = 'i-1/1'
RANGE = model.KeyRange(0, 99, 'i-1', 1, 1, False, '')
FOREIGN_KEY = 100
GRANTED = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
RELEASED = b'HTTP/1.1 200 OK\r\nx-handover: w\r\ncontent-length: 0\r\n\r\n'
REFUSAL = b'HTTP/1.1 %d No\r\ncontent-length: 0\r\n\r\n'
END_OF_STATUS = b'\r\n'
DONE = (key_calls.GRANTED, key_calls.RELEASED)
PATH_BY_CALL = {
    'grant': names.GRANT_PATH,
    'grant without a probe': names.GRANT_PATH,
    'release': names.RELEASE_PATH,
}
RESPONSE_BY_PATH = {
    names.GRANT_PATH: GRANTED,
    names.RELEASE_PATH: RELEASED,
}
STATUSES = (200, 409, 421, 503)


class _Case(typing.NamedTuple):
    """The first call, how it is answered, and how that is repeated.

    Attributes:
      first_call: A call of PATH_BY_CALL.
      status: The status of the responses.
      has_ids: Whether responses name their request.
      is_repeated_at_once: Whether the response is repeated at once, or where
        the next one is due.
    """

    first_call: str
    status: int
    has_ids: bool
    is_repeated_at_once: bool


ALL_ANSWERED = _Case('grant', 200, False, False)


class _Server:
    """Responds to calls until it is stopped.

    Attributes:
      case: How it responds. The last response of the first call is repeated.
      paths: The paths of all calls.
      probe_response: The response to a probe.
      extra_by_number: What is sent in place of a response once it is stopped,
        by the number of the call on its connection, from 1.
      is_stopped: Whether calls get no response of their own. Where none is
        repeated that the caller could take for it, the connection ends, which
        spares the caller the wait for its time limit.
    """

    def __init__(self, case: _Case) -> None:
        self.case = case
        self.paths: list[str] = []
        self.extra_by_number: dict[int, bytes] = {}
        self.probe_response = RELEASED
        self.is_stopped = False
        self._tasks: set[asyncio.Task[None] | None] = set()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self._tasks.add(asyncio.current_task())
        repeated = b''

        def respond(head, number):
            nonlocal repeated
            path = head.split()[1].decode()
            self.paths.append(path)
            if number in self.extra_by_number:
                self.is_stopped = True
                repeated = self.extra_by_number[number]
            if self.is_stopped:
                sent, repeated = repeated, b''
                if sent and not self.case.has_ids:
                    return sent
                writer.write(sent)
                raise ConnectionResetError
            response = self._response(head, path)
            if path != PATH_BY_CALL[self.case.first_call]:
                return response
            if self.case.is_repeated_at_once:
                return response + response
            repeated = response
            return response

        await scripted_server.serve(reader, writer, respond)

    def _response(self, head: bytes, path: str) -> bytes:
        response = REFUSAL % self.case.status
        if path != PATH_BY_CALL[self.case.first_call]:
            response = self.probe_response
        elif self.case.status == 200:
            response = RESPONSE_BY_PATH[path]
        if not self.case.has_ids:
            return response
        request_id = scripted_server.get_header(head, b'x-request-id')
        field = b'\r\nx-request-id: ' + request_id + END_OF_STATUS
        return response.replace(END_OF_STATUS, field, 1)

    async def wait_closed(self) -> None:
        """Wait until all connections have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)


class _Caller:
    """The calls to one server."""

    def __init__(self, server: _Server) -> None:
        self.server = server
        self.stack = contextlib.AsyncExitStack()
        self.pool = connection_pool.Pool(asyncio.get_running_loop().time)
        self.stack.callback(self.pool.close)
        self.calls = key_calls.KeyCalls(
            self.pool,
            mock.Mock(),
            mock.AsyncMock(return_value=False),
            mock.Mock(),
            0.0,
            mock.Mock(),
            'host-1',
            lambda: True,
        )

    async def start(self) -> None:
        listener = await asyncio.start_server(self.server.serve, IP, 0)
        self.stack.callback(listener.close)
        self.address = model.Address(*listener.sockets[0].getsockname())

    async def call(self, name: str) -> str:
        """Make one of the calls of PATH_BY_CALL."""
        if name == 'release':
            result, _ = await self.calls.release(
                HOLDER, self.address, 0, 99, 2
            )
            return result
        key = FOREIGN_KEY if name == 'grant' else None
        return await self.calls.grant(
            HOLDER, self.address, RANGE, HOLD_S, '', lambda: key
        )


class RepeatedResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def _start(self, server):
        caller = _Caller(server)
        self.stack.push_async_callback(server.wait_closed)
        self.stack.push_async_callback(caller.stack.aclose)
        await caller.start()
        return caller

    async def _check_next_call(self, name):
        """Check that no first call makes the next one pass for answered."""
        cases = itertools.starmap(
            _Case,
            itertools.product(
                PATH_BY_CALL, STATUSES, (False, True), (False, True)
            ),
        )
        for case in cases:
            with self.subTest(case=case):
                caller = await self._start(_Server(case))
                first_result = await caller.call(case.first_call)
                if case.status == 200:
                    self.assertIn(first_result, DONE)
                caller.server.is_stopped = True
                caller.server.paths.clear()
                self.assertEqual(await caller.call(name), key_calls.UNANSWERED)
                if names.GRANT_PATH in caller.server.paths:
                    self.assertFalse(
                        caller.calls.hold_times.has_no_pending_grant(HOLDER)
                    )

    async def test_grant(self):
        """Guards against two owners after a grant that waits at its target.

        A repeated response passed for that to it, so that its keys were
        granted to another target while it could still be taken.
        """
        await self._check_next_call('grant')

    async def test_grant_without_a_probe(self):
        """Guards against two owners after a grant that waits at its target.

        No key could be asked for before it, as one target owned all.
        """
        await self._check_next_call('grant without a probe')

    async def test_release(self):
        """Guards against two owners while the first still works on the keys.

        A repeated response passed for that to the release.
        """
        await self._check_next_call('release')

    async def test_response_to_a_grant_where_that_to_a_probe_is_due(self):
        """Guards against a grant that waits at a stopped target.

        The repeated response passed for a sign that the target reads. It is
        probed again on a new connection.
        """
        caller = await self._start(_Server(ALL_ANSWERED))
        caller.server.extra_by_number = {3: GRANTED}
        self.assertEqual(await caller.call('grant'), key_calls.GRANTED)
        self.assertEqual(await caller.call('grant'), key_calls.UNANSWERED)
        self.assertEqual(
            caller.server.paths,
            [
                names.RELEASE_PATH,
                names.GRANT_PATH,
                names.RELEASE_PATH,
                names.RELEASE_PATH,
            ],
        )

    async def test_response_to_a_probe_where_that_to_its_grant_is_due(self):
        """Guards against two owners after a grant that waits at its target.

        The target stopped between the probe and the grant.
        """
        for response in (RELEASED, REFUSAL % 409, REFUSAL % 503):
            with self.subTest(response=response):
                caller = await self._start(_Server(ALL_ANSWERED))
                caller.server.extra_by_number = {2: response}
                caller.server.probe_response = response
                self.assertEqual(
                    await caller.call('grant'), key_calls.UNANSWERED
                )
                self.assertEqual(
                    caller.server.paths, [names.RELEASE_PATH, names.GRANT_PATH]
                )
                self.assertFalse(
                    caller.calls.hold_times.has_no_pending_grant(HOLDER)
                )

    async def test_earlier_response_to_a_grant(self):
        """Guards against two owners after a grant that waits at its target.

        The response to the grant before the last probe passed for its own.
        """
        caller = await self._start(_Server(ALL_ANSWERED))
        caller.server.extra_by_number = {4: GRANTED}
        self.assertEqual(await caller.call('grant'), key_calls.GRANTED)
        self.assertEqual(await caller.call('grant'), key_calls.UNANSWERED)
        self.assertEqual(caller.server.paths[-1], names.GRANT_PATH)
        self.assertFalse(caller.calls.hold_times.has_no_pending_grant(HOLDER))

    async def test_earlier_response_to_a_release(self):
        """Guards against two owners while the first still works on the keys.

        The response to the probe before the last grant passed for that to the
        release.
        """
        caller = await self._start(_Server(ALL_ANSWERED))
        caller.server.extra_by_number = {3: RELEASED}
        self.assertEqual(await caller.call('grant'), key_calls.GRANTED)
        self.assertEqual(await caller.call('release'), key_calls.UNANSWERED)


if __name__ == '__main__':
    unittest.main()
