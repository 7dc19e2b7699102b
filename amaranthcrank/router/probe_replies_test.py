"""Tests of what the response to a probe leads to.

Before a grant, a target is asked to release a key that it does not own. What
is sent to a target that reads nothing waits there for any time, so the grant
is sent only after a response that shows that the target reads.
"""

import asyncio
import contextlib
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.router import clock
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
OTHER_SERVER = b'HTTP/1.1 421 No\r\ncontent-length: 0\r\n\r\n'
CLOSING = b'connection: close\r\ncontent-length: 0'
NO_LENGTH = b'content-length: 0'
# Long enough for a call to arrive on a busy machine.
SILENCE_S = 0.3


class ProbeRepliesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.tasks = set()
        self.stack.push_async_callback(self._wait_closed)
        server = await asyncio.start_server(self._serve, IP, 0)
        self.stack.callback(server.close)
        self.address = model.Address(*server.sockets[0].getsockname())
        self.pool = connection_pool.Pool(asyncio.get_running_loop().time)
        self.stack.callback(self.pool.close)
        self.is_lease_held = True
        self.events = mock.Mock()
        self.has_restarted = mock.AsyncMock(return_value=False)
        self.calls = key_calls.KeyCalls(
            self.pool,
            mock.Mock(),
            self.has_restarted,
            mock.Mock(),
            0.0,
            self.events,
            'host-1',
            lambda: self.is_lease_held,
        )
        self.response_by_path = {
            names.RELEASE_PATH: RELEASED,
            names.GRANT_PATH: GRANTED,
        }
        self.paths = []
        self.ids = []
        self.has_ids = False
        self.on_probe = lambda: None
        self.response_s = 0.0

    async def _wait_closed(self):
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        delayed = mock.Mock(wraps=writer)
        delayed.write = lambda data: asyncio.get_running_loop().call_later(
            self.response_s, writer.write, data
        )
        await scripted_server.serve(reader, delayed, self._respond)

    def _respond(self, head, _):
        path = head.split()[1].decode()
        self.paths.append(path)
        request_id = scripted_server.get_header(head, b'x-request-id')
        self.ids.append(request_id.decode())
        if path == names.RELEASE_PATH:
            self.on_probe()
        response = self.response_by_path[path]
        if self.has_ids:
            field = b'\r\nx-request-id: ' + request_id + b'\r\n'
            response = response.replace(b'\r\n', field, 1)
        return response

    async def _grant(self, key=FOREIGN_KEY):
        return await self.calls.grant(
            HOLDER, self.address, RANGE, HOLD_S, '', lambda: key
        )

    async def _use_connection(self):
        """Let the target take a grant, so that its connection is used."""
        self.assertEqual(await self._grant(), key_calls.GRANTED)
        self.paths.clear()
        self.ids.clear()

    def _check_nothing_granted(self):
        """Check that only the probe was sent, and no hold is counted."""
        self.assertEqual(self.paths, [names.RELEASE_PATH])
        self.assertTrue(self.calls.hold_times.has_no_pending_grant(HOLDER))
        self.assertFalse(self.calls.hold_times.may_take_effect_late(HOLDER))
        self.events.grant_unanswered.assert_not_called()

    async def test_no_response(self):
        """Guards against a grant that waits at a stopped target.

        It gave the keys to the target when that went on, beside their next
        owner.
        """
        for is_used in (False, True):
            with self.subTest(is_used=is_used):
                self.response_by_path[names.RELEASE_PATH] = RELEASED
                if is_used:
                    await self._use_connection()
                self.response_by_path[names.RELEASE_PATH] = b''
                with mock.patch.object(
                    key_calls, 'PROBE_TIMEOUT_S', SILENCE_S
                ):
                    result = await self._grant()
                self.assertEqual(result, key_calls.UNANSWERED)
                self._check_nothing_granted()
                self.events.grant_withheld.assert_called_once_with(
                    HOLDER, self.ids[-1]
                )
                self.events.grant_withheld.reset_mock()

    async def test_slow_target(self):
        """Guards against a slow owner that loses its keys.

        It responds later than a grant's time limit, and takes all grants.
        """
        self.response_s = key_calls.GRANT_TIMEOUT_S + 0.1
        self.assertEqual(await self._grant(), key_calls.UNANSWERED)
        self.assertEqual(self.paths, [names.RELEASE_PATH, names.GRANT_PATH])
        self.assertTrue(self.calls.hold_times.may_hold(HOLDER))

    async def test_connection_that_ends_without_a_response(self):
        """Guards against a grant to a target that has shown nothing.

        Its connection was lost, so a new one could have led to it.
        """

        def lose_connection():
            raise ConnectionResetError

        self.on_probe = lose_connection
        self.assertEqual(await self._grant(), key_calls.UNANSWERED)
        self._check_nothing_granted()
        self.events.grant_withheld.assert_called_once_with(
            HOLDER, self.ids[-1]
        )

    async def test_other_server_on_a_new_connection(self):
        """Guards against keys that stay with a target that has ended."""
        self.response_by_path[names.RELEASE_PATH] = OTHER_SERVER
        self.assertEqual(await self._grant(), key_calls.OTHER_SERVER)
        self._check_nothing_granted()

    async def test_other_server_on_a_used_connection(self):
        """Guards against two owners after a repeated refusal.

        An owner was taken for replaced. The next grant uses a new connection,
        as all former ones may hold more responses to earlier calls.
        """
        await asyncio.gather(*(self._grant() for _ in range(3)))
        self.paths.clear()
        opened = self.pool.opened_connections
        self.response_by_path[names.RELEASE_PATH] = OTHER_SERVER
        self.assertEqual(await self._grant(), key_calls.UNANSWERED)
        self._check_nothing_granted()
        self.response_by_path[names.RELEASE_PATH] = RELEASED
        self.assertEqual(await self._grant(), key_calls.GRANTED)
        self.assertEqual(self.pool.opened_connections, opened + 1)

    async def test_success_without_a_handover(self):
        """Guards against a grant that waits at a stopped target.

        The response to an earlier grant passed for that to the probe. On a
        new connection there is none, so the target is probed there.
        """
        await self._use_connection()
        self.response_by_path[names.RELEASE_PATH] = GRANTED

        def stop_responding():
            self.response_by_path[names.RELEASE_PATH] = b''

        self.on_probe = lambda: asyncio.get_running_loop().call_soon(
            stop_responding
        )
        with mock.patch.object(key_calls, 'PROBE_TIMEOUT_S', SILENCE_S):
            self.assertEqual(await self._grant(), key_calls.UNANSWERED)
        self.assertEqual(self.paths, [names.RELEASE_PATH] * 2)
        self.assertEqual(self.pool.opened_connections, 2)
        self.assertFalse(self.calls.hold_times.may_take_effect_late(HOLDER))
        self.events.grant_unanswered.assert_not_called()

    async def test_target_that_sends_no_handovers(self):
        """Guards against an owner whose second range is never renewed.

        It responds to the release of a key that it never held without a
        handover, like to a grant.
        """
        self.response_by_path[names.RELEASE_PATH] = GRANTED
        for _ in range(4):
            self.assertEqual(await self._grant(), key_calls.GRANTED)

    async def test_target_that_begins_to_close_connections(self):
        """Guards against a fault of the program instead of a result.

        On a used connection the response was unclear, and the target closed
        the new one after its response.
        """
        await self._use_connection()
        self.response_by_path[names.RELEASE_PATH] = GRANTED

        def close_connections():
            self.response_by_path[names.RELEASE_PATH] = GRANTED.replace(
                NO_LENGTH, CLOSING
            )

        self.on_probe = lambda: asyncio.get_running_loop().call_soon(
            close_connections
        )
        self.assertEqual(await self._grant(), key_calls.GRANTED)
        self.assertEqual(
            self.paths, [names.RELEASE_PATH] * 2 + [names.GRANT_PATH]
        )

    async def test_target_that_closes_and_then_stops(self):
        """Guards against grants without end to a target that closes.

        After its response, the grant is sent once on a new connection. What
        becomes of that grant is not known.
        """
        self.response_by_path[names.RELEASE_PATH] = RELEASED.replace(
            NO_LENGTH, CLOSING
        )
        self.response_by_path[names.GRANT_PATH] = b''
        with mock.patch.object(key_calls, 'GRANT_TIMEOUT_S', SILENCE_S):
            self.assertEqual(await self._grant(), key_calls.UNANSWERED)
        self.assertEqual(self.paths, [names.RELEASE_PATH, names.GRANT_PATH])
        self.assertEqual(self.pool.opened_connections, 2)
        self.assertFalse(self.calls.hold_times.has_no_pending_grant(HOLDER))
        self.events.grant_unanswered.assert_called_once()

    async def test_target_that_closes_and_then_restarts(self):
        """Guards against two incarnations with the same fencing token.

        The new connection after the probe led to the next incarnation.
        """
        self.response_by_path[names.RELEASE_PATH] = RELEASED.replace(
            NO_LENGTH, CLOSING
        )
        self.has_restarted.side_effect = [False, True]
        self.assertEqual(await self._grant(), key_calls.OTHER_SERVER)
        self._check_nothing_granted()

    async def test_lease_that_ends_during_the_probe(self):
        """Guards against a grant beside those of the next controller.

        The target responded to the probe after the lease had ended.
        """

        def lose_lease():
            self.is_lease_held = False

        for response in (RELEASED, RELEASED.replace(NO_LENGTH, CLOSING)):
            with self.subTest(response=response):
                self.is_lease_held = True
                self.on_probe = lose_lease
                self.paths.clear()
                self.response_by_path[names.RELEASE_PATH] = response
                self.assertEqual(await self._grant(), key_calls.UNANSWERED)
                self._check_nothing_granted()

    async def test_lease_that_ends_before_the_probe(self):
        """Guards against calls of a former controller."""

        async def lose_lease(_):
            self.is_lease_held = False
            return False

        self.has_restarted.side_effect = lose_lease
        self.assertEqual(await self._grant(), key_calls.UNANSWERED)
        self.assertEqual(self.paths, [])

    async def test_target_that_responded_recently(self):
        """Guards against a grant that waits at a stopped target.

        An older response does not show that the target still reads. A recent
        one does, so that the grant needs no probe.
        """
        read_clock = clock.now
        responded_at = read_clock()
        passed_s = 0.0
        self.stack.enter_context(
            mock.patch.object(clock, 'now', lambda: responded_at + passed_s)
        )
        self.has_ids = True
        await self._use_connection()
        for share, paths in (
            (0.9, [names.GRANT_PATH]),
            (1.0, [names.RELEASE_PATH, names.GRANT_PATH]),
        ):
            with self.subTest(share=share):
                self.paths.clear()
                passed_s += share * key_calls.RECENT_RESPONSE_S + 1e-6
                self.assertEqual(await self._grant(), key_calls.GRANTED)
                self.assertEqual(self.paths, paths)

    async def test_response_without_an_id(self):
        """Guards against a grant that waits at a stopped target.

        A response that does not name its request may be an earlier one, so
        the next grant needs a probe, however recent that is.
        """
        await self._use_connection()
        self.assertEqual(await self._grant(), key_calls.GRANTED)
        self.assertEqual(self.paths, [names.RELEASE_PATH, names.GRANT_PATH])

    async def test_no_key_to_probe_with(self):
        """Guards against an owner of all keys that is never renewed."""
        self.assertEqual(await self._grant(None), key_calls.GRANTED)
        self.assertEqual(self.paths, [names.GRANT_PATH])

    async def test_each_call_has_an_id_of_its_own(self):
        """Guards against a late response that passes for a later one.

        Responses of targets that name their request are told apart by it.
        """
        await self._use_connection()
        await self._grant()
        await self._grant()
        self.assertEqual(len(self.ids), 4)
        self.assertEqual(len(set(self.ids)), 4)


if __name__ == '__main__':
    unittest.main()
