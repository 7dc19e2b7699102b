"""Tests of keys that move just after another host became the controller.

The targets keep to what the platform promises and to nothing more: a grant
without a response may take effect seconds later, and a target rejects grants
below the highest fencing token among the *grants* that it has taken.
"""

import asyncio
import json
import unittest
from unittest import mock

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import http_client
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from soak import holds as key_holds
from standins import platform_target

GRANT_MAX_S = 1.0
FORMER_FENCE = 5
LAST_KEY = model.KEY_COUNT - 1


class _Target:
    """Takes grants and releases, and records what it holds."""

    def __init__(self, entry):
        self.entry = entry
        self.holds = []
        self.highest_fence = 0

    def take_grant(self, call, arrived_at):
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

    def release(self, first, last):
        self.holds = key_holds.release(self.holds, first, last, clock.now())


class _Calls(key_calls.KeyCalls):
    """Delivers calls to the targets."""

    def __init__(self, target_by_holder):
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

    async def _post(
        self,
        holder,
        address,
        path,
        body,
        timeout_s,
        before_send,
        request_id,
        **_,
    ):
        await before_send(True)
        target = self._target_by_holder[holder]
        await asyncio.sleep(0.001)
        fields = json.loads(body)
        if path == names.RELEASE_PATH:
            target.release(*platform_target.parse_release(fields))
            response = http_client.Response(200, [(names.HANDOVER, b'w')], b'')
            return key_calls.GRANTED, response
        call = platform_target.parse_grant(fields)
        if not target.take_grant(call, clock.now()):
            return key_calls.REJECTED, http_client.Response(409, [], b'')
        return key_calls.GRANTED, http_client.Response(200, [], b'', True)


class _Store:
    """Holds the key map that the former controller wrote."""

    def __init__(self, key_map):
        spec = entries.encode_key_map(key_map)
        self.item = {'metadata': {'rev': key_map.revision}, 'spec': spec}

    async def list_all(self, kind, timeout_s):
        return store.Listing({'keys.book': self.item}, 1)

    async def replace(self, kind, name, revision, spec, timeout_s):
        if self.item['metadata']['rev'] != revision:
            raise store.ConflictError(self.item)
        self.item = {'metadata': {'rev': revision + 1}, 'spec': spec}
        return self.item


def _entry(number):
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


class UnansweredGrantTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for name, value in (('STEP_INTERVAL_S', 0.02),):
            patch = mock.patch.object(key_controller, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.former = _Target(_entry(1))
        self.next = _Target(_entry(2))
        self.targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        self.targets.services = frozenset({'book'})
        self.targets.replace_all([_entry(1), _entry(2)])
        self.lease = mock.Mock(
            is_held=True, was_last_holder=False, held_until=clock.now() + 1000
        )

    async def _run_next_controller(self, seconds):
        owned = model.KeyRange(0, LAST_KEY, 'i-1', 1, FORMER_FENCE, False, '')
        key_map = model.KeyMap(
            'book',
            FORMER_FENCE,
            (owned,),
            7,
            {'i-1/1': self.former.entry.address},
        )
        controller = key_controller.Controller(
            _Store(key_map),
            self.lease,
            _Calls({'i-1/1': self.former, 'i-2/1': self.next}),
            self.targets,
            key_table.KeyTable(),
            mock.Mock(),
            GRANT_MAX_S,
            mock.Mock(),
        )
        controller.keyed_services = ('book',)
        task = asyncio.create_task(controller.run())
        await asyncio.sleep(seconds)
        task.cancel()

    async def test_grant_of_the_former_controller_that_takes_effect_late(self):
        """Guards against two owners after a change of the controller.

        An owner had left a grant of the former controller unanswered. It took
        effect after the owner had answered the new controller's release, and
        after the keys were granted to another target.
        """
        late = platform_target.GrantCall(0, LAST_KEY, FORMER_FENCE, 0.8, '')
        self.former.take_grant(late, clock.now())
        arrived_at = clock.now()
        asyncio.get_running_loop().call_later(
            0.2, lambda: self.former.take_grant(late, arrived_at)
        )
        await self._run_next_controller(0.6)
        self.assertTrue(self.next.holds)
        shared = key_holds.overlaps([*self.former.holds, *self.next.holds])
        self.assertEqual(shared, [])

    async def test_later_entry_at_the_address_of_a_live_owner(self):
        """Guards against two owners when the clocks of targets differ.

        A target whose clock is ahead had the address before. Its entry is
        still known and has the later start, so the owner was taken for ended.
        """
        earlier = _entry(9)._replace(
            incarnation=2, address=self.former.entry.address
        )
        self.targets.put(earlier)
        granted = platform_target.GrantCall(0, LAST_KEY, FORMER_FENCE, 0.8, '')
        self.former.take_grant(granted, clock.now())
        await self._run_next_controller(0.6)
        self.assertTrue(self.next.holds)
        shared = key_holds.overlaps([*self.former.holds, *self.next.holds])
        self.assertEqual(shared, [])


if __name__ == '__main__':
    unittest.main()
