import asyncio
import json
import math
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import controller_lease
from amaranthcrank.router import directory
from amaranthcrank.router import hold_times
from amaranthcrank.router import http_client
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_controller
from amaranthcrank.router import key_renewals
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import refused_holders
from amaranthcrank.router import target_stability
from standins import platform_target

GRANT_MAX_S = 1.0
HOLD_S = 0.8
# The token of the first assignment.
FIRST_FENCE = 1


class _Lease:
    was_last_holder = False
    term = 1
    revision = 1

    def knew_holder_at_restore(self):
        return False

    def __init__(self):
        self.held_until = clock.now() + 1000

    @property
    def is_held(self):
        return clock.now() < self.held_until


class _Store:
    """Keeps objects in memory and can be unavailable.

    Attributes:
      entry_by_id: The target entries of the store.
    """

    era = 0
    has_seen_restore = False

    def __init__(self):
        self.era_seen_at = clock.now()
        self.item_by_name = {}
        self.entry_by_id = {}
        self.is_unavailable = False
        self.revision = 1

    def _check(self):
        if self.is_unavailable:
            raise store.StoreError('unavailable')

    async def list_all(self, kind, timeout_s):
        self._check()
        return store.Listing(dict(self.item_by_name), self.revision)

    async def get(self, kind, name, timeout_s):
        self._check()
        entry = self.entry_by_id.get(name)
        if entry is None:
            return None
        return platform_target.entry(
            entry.service,
            entry.address,
            entry.failure_domain,
            entry.incarnation,
            entry.state,
        )

    async def create(self, kind, name, spec, timeout_s):
        return await self.replace(kind, name, 0, spec, timeout_s)

    async def replace(self, kind, name, revision, spec, timeout_s):
        self._check()
        known = self.item_by_name.get(name)
        if known and known['metadata']['rev'] != revision:
            raise store.ConflictError(known)
        self.revision += 1
        item = {'metadata': {'rev': self.revision}, 'spec': spec}
        self.item_by_name[name] = item
        return item


class _Calls(key_calls.KeyCalls):
    """Simulates targets, each at a port of its own.

    Attributes:
      result_by_port: The results of calls, by port or by port and path.
      sent: The time, port, path and body of each call that was sent.
      arrived: The same for each call at its arrival.
      delay_s_by_path: The delay from sending to arrival.
      work_s: How long a target's work on released keys takes.
    """

    def __init__(self):
        super().__init__(
            mock.Mock(),
            mock.Mock(),
            mock.AsyncMock(return_value=False),
            mock.Mock(),
            0.0,
            mock.Mock(),
            'host-1',
            lambda: True,
        )
        self.result_by_port = {}
        self.sent = []
        self.arrived = []
        self.delay_s_by_path = {}
        self.work_s = 0.0

    def _result(self, port, path):
        result = self.result_by_port.get((port, path))
        return result or self.result_by_port.get(port, key_calls.GRANTED)

    async def _post(
        self,
        holder,
        address,
        path,
        body,
        timeout_s,
        before_send,
        request_id,
        is_shared=True,
        is_clear=None,
        on_sent=None,
    ):
        if self._result(address.port, path) == key_calls.REFUSED:
            # The connection is refused, so nothing is sent.
            await asyncio.sleep(0.001)
            return key_calls.REFUSED, None
        await before_send(mock.Mock(is_new=True, identified_at=math.inf))
        self.sent.append((clock.now(), address.port, path, body))
        await asyncio.sleep(self.delay_s_by_path.get(path, 0.001))
        self.arrived.append((clock.now(), address.port, path, body))
        if path == names.RELEASE_PATH:
            # A release is answered when the work on its keys has ended.
            await asyncio.sleep(self.work_s)
        result = self._result(address.port, path)
        if result != key_calls.GRANTED:
            return result, None
        headers = [(names.HANDOVER, b'w')] * (path == names.RELEASE_PATH)
        return result, http_client.Response(200, headers, b'')

    def grants_to(self, port):
        return [
            (at, body)
            for at, to, path, body in self.sent
            if to == port and path == names.GRANT_PATH
        ]


def _entry(number, state=model.READY, incarnation=1):
    return model.TargetEntry(
        f'i-{number}',
        'book',
        model.Address('10.0.0.1', number),
        'a',
        3,
        state,
        0.0,
        incarnation,
    )


def _grant_of(body):
    return platform_target.parse_grant(json.loads(body))


class ControllerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        for module, name, value in (
            (key_renewals, 'GRANT_DURATION_S', HOLD_S),
            (key_renewals, 'RENEWAL_INTERVAL_S', 0.2),
            (key_renewals, 'CHECK_INTERVAL_S', 0.02),
            (target_stability, 'STABLE_TARGETS_S', 0.05),
            (key_controller, 'STEP_INTERVAL_S', 0.02),
        ):
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        loop = asyncio.get_running_loop()
        self.targets = directory.Directory(
            loop.time, 2.0, lambda *_, **__: None
        )
        self.targets.services = frozenset({'book', 'desk'})
        self.targets.replace_all([_entry(1), _entry(2)])
        self.keys = key_table.KeyTable()
        self.store = _Store()
        for entry in (_entry(1), _entry(2)):
            self.store.entry_by_id[entry.target_id] = entry
        self.calls = _Calls()
        self.lease = _Lease()
        self.task = None

    def _start(self, expired=True):
        self.controller = key_controller.Controller(
            self.store,
            self.lease,
            self.calls,
            self.targets,
            self.keys,
            mock.Mock(),
            GRANT_MAX_S,
            mock.Mock(),
        )
        self.controller.keyed_services = ('book',)
        self.task = asyncio.create_task(self.controller.run())
        self.addCleanup(self.task.cancel)
        if expired:
            # Grants of an earlier controller are assumed to have expired.
            self.calls.assume_prior_grants = lambda _: None

    async def _wait(self, condition, seconds=4.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    def _is_assigned(self):
        key_map = self.keys.map_by_service.get('book')
        if key_map is None or not key_map.ranges:
            return False
        return not any(part.moving for part in key_map.ranges)

    def _owners(self):
        ranges = self.keys.map_by_service['book'].ranges
        return {part.target_id for part in ranges}

    async def _lose_first(self):
        """Remove the first target and return the time of its loss."""
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        lost_at = clock.now()
        self.targets.remove('i-1')
        return lost_at

    def _last_renewal(self):
        """Return when the first owner was last granted its keys."""
        return max(
            at
            for at, body in self.calls.grants_to(1)
            if _grant_of(body).fence == FIRST_FENCE
        )

    def _first_grant_of_moved_keys(self):
        for at, body in self.calls.grants_to(2):
            if _grant_of(body).fence > FIRST_FENCE:
                return at
        return None

    async def test_cold_owner_gets_the_keys_that_its_rate_allows(self):
        # A cold target crashes if it gets its share as a warm one.
        self._start()
        self.controller.cold_load_s = lambda target: (
            0.1 if target.entry.target_id == 'i-2' else math.inf
        )
        await self._wait(self._is_assigned)
        keys_by_id = {}
        for part in self.keys.map_by_service['book'].ranges:
            count = part.last - part.first + 1
            keys_by_id[part.target_id] = (
                keys_by_id.get(part.target_id, 0) + count
            )
        self.assertLess(keys_by_id.get('i-2', 0), 0.1 * model.KEY_COUNT)

    async def test_silent_owner_keeps_its_keys_until_its_grant_expires(self):
        # Requests still reach a target that the controller cannot reach. If
        # its keys were granted to another one earlier, they would have two
        # owners.
        self.calls.result_by_port[1] = key_calls.UNANSWERED
        self._start()
        self.calls.result_by_port.pop(1)
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        self.calls.result_by_port[1] = key_calls.UNANSWERED
        self.targets.remove('i-1')
        await self._wait(self._first_grant_of_moved_keys)
        self.assertGreaterEqual(
            self._first_grant_of_moved_keys() - self._last_renewal(), HOLD_S
        )

    async def test_released_keys_move_at_once(self):
        lost_at = await self._lose_first()
        await self._wait(self._first_grant_of_moved_keys)
        self.assertLess(self._first_grant_of_moved_keys() - lost_at, 0.5)
        for _, body in self.calls.grants_to(2)[-1:]:
            self.assertTrue(_grant_of(body).fence)

    async def test_owners_are_in_the_allowed_domains(self):
        """Guards against keys whose owner no route of the service may use."""
        other = _entry(2)._replace(failure_domain='c')
        self.targets.put(other)
        self.store.entry_by_id['i-2'] = other
        self._start()
        self.controller.domains_by_service = {'book': frozenset({'c'})}
        await self._wait(self._is_assigned)
        self.assertEqual(self._owners(), {'i-2'})
        # A new ticket allows the other region only: its keys are handed over.
        self.controller.domains_by_service = {'book': frozenset({'a'})}
        await self._wait(lambda: self._owners() == {'i-1'})
        await self._wait(self._is_assigned)
        released = [
            port
            for _, port, path, _ in self.calls.sent
            if path == names.RELEASE_PATH
        ]
        self.assertIn(2, released)

    async def test_owners_in_an_evacuated_domain(self):
        """Guards against keys that stay with owners that get no requests."""
        other = _entry(2)._replace(failure_domain='c')
        self.targets.put(other)
        self.store.entry_by_id['i-2'] = other
        self._start()
        await self._wait(self._is_assigned)
        self.assertEqual(self._owners(), {'i-1', 'i-2'})
        began_at = clock.now()
        self.targets.evacuate(['a'], 0.0)
        await self._wait(lambda: self._owners() == {'i-2'})
        await self._wait(self._is_assigned)
        # The keys were released; their grants did not have to expire.
        self.assertLess(clock.now() - began_at, HOLD_S)
        # Without any other target, keys keep their owners.
        self.targets.evacuate(['a', 'c'], 0.0)
        await asyncio.sleep(0.2)
        self.assertEqual(self._owners(), {'i-2'})

    async def test_no_target_in_the_allowed_domains(self):
        self._start()
        self.controller.domains_by_service = {'book': frozenset()}
        await asyncio.sleep(0.3)
        self.assertFalse(self._is_assigned())

    async def test_handover_is_passed_on(self):
        await self._lose_first()
        await self._wait(self._first_grant_of_moved_keys)
        bodies = [body for _, body in self.calls.grants_to(2)]
        handovers = [_grant_of(body).handover for body in bodies]
        self.assertIn('w', handovers)

    async def test_release_does_not_end_an_unanswered_grant(self):
        # A grant without an answer may take effect after the release.
        self._start()
        await self._wait(self._is_assigned)
        name = (1, names.GRANT_PATH)
        before = len(self.calls.grants_to(1))
        self.calls.result_by_port[name] = key_calls.UNANSWERED
        await self._wait(lambda: len(self.calls.grants_to(1)) > before)
        await asyncio.sleep(0.01)
        self.targets.remove('i-1')
        await self._wait(self._first_grant_of_moved_keys)
        self.assertGreaterEqual(
            self._first_grant_of_moved_keys() - self._last_renewal(), HOLD_S
        )

    async def test_release_that_a_renewal_overtook_does_not_count(self):
        # A renewal was in transit when the keys were released, arrived after
        # the release and was answered before it: the target held the keys
        # again while another was granted them (found in run cbbb scale-2,
        # seed 190842607102).
        self._start()
        await self._wait(self._is_assigned)
        self.calls.delay_s_by_path[names.GRANT_PATH] = 0.1
        self.calls.work_s = 0.2
        before = len(self.calls.grants_to(1))
        await self._wait(lambda: len(self.calls.grants_to(1)) > before)
        self.targets.remove('i-1')
        await self._wait(self._first_grant_of_moved_keys)
        granted_at = max(
            at
            for at, port, path, _ in self.calls.arrived
            if (port, path) == (1, names.GRANT_PATH)
        )
        released_at = max(
            at
            for at, port, path, _ in self.calls.sent
            if (port, path) == (1, names.RELEASE_PATH)
        )
        self.assertGreaterEqual(released_at, granted_at)

    async def _wait_for_move_after_loss(self, result):
        """Let calls to the first target fail although its entry says ready.

        Returns:
          The time from its last grant to the first grant of its moved keys.
        """
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        self.calls.result_by_port[1] = result
        await self._wait(lambda: self._owners() == {'i-2'})
        await self._wait(self._first_grant_of_moved_keys)
        last = max(at for at, _ in self.calls.grants_to(1))
        return self._first_grant_of_moved_keys() - last

    async def test_owner_that_refuses_keeps_its_keys_until_they_expire(self):
        """Guards against two owners: one that is cut off refuses connections.

        Its keys were granted to others at once, as if it had crashed, and it
        still held them when it was reached again (review case 1).
        """
        waited_s = await self._wait_for_move_after_loss(key_calls.REFUSED)
        self.assertGreaterEqual(
            waited_s, HOLD_S * hold_times.CLOCK_RATE_FACTOR
        )

    async def test_owner_that_refused_its_move_gets_the_keys_later(self):
        """Guards against keys without an owner after a refused grant.

        The move to an owner that could not be reached was given up. No plan
        made another one, as no other target could own the keys.
        """
        patch = mock.patch.object(refused_holders, 'REFUSAL_TTL_S', 0.2)
        patch.start()
        self.addCleanup(patch.stop)
        await self._lose_first()
        self.calls.result_by_port[2] = key_calls.REFUSED
        await self._wait(lambda: not self._is_assigned())
        await self._wait(lambda: not self.calls.hold_times.may_hold('i-1/1'))
        await asyncio.sleep(0.1)
        del self.calls.result_by_port[2]
        await self._wait(self._is_assigned)
        self.assertEqual(self._owners(), {'i-2'})

    async def test_failed_renewals_do_not_delay_the_move(self):
        """Guards against keys that have no owner for longer than a grant.

        Each attempt to renew extended the time for which a crashed owner was
        taken to hold its keys, though nothing was sent.
        """
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        # A grant without a response counts as held for longer.
        times = self.calls.hold_times
        await self._wait(lambda: times.has_no_pending_grant('i-1/1'))
        refused = mock.AsyncMock(return_value=(key_calls.REFUSED, None))
        held_until = times.held_until('i-1/1')
        with mock.patch.object(self.calls, '_post', refused):
            await self._wait(lambda: refused.await_count > 5)
        self.assertEqual(times.held_until('i-1/1'), held_until)

    async def test_fault_of_the_renewals(self):
        """Guards against a controller that leads on without renewals."""
        with mock.patch.object(
            key_renewals.KeyRenewals,
            'run',
            autospec=True,
            side_effect=RuntimeError('fault'),
        ):
            self._start()
            with self.assertRaisesRegex(RuntimeError, 'fault'):
                async with asyncio.timeout(1.0):
                    await self.task

    async def test_owner_that_is_reached_again_keeps_its_keys(self):
        """Guards against moves, and cold keys, after a short cut."""
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        self.calls.result_by_port[1] = key_calls.REFUSED
        await asyncio.sleep(HOLD_S / 2)
        del self.calls.result_by_port[1]
        await asyncio.sleep(2 * HOLD_S)
        self.assertEqual(self._owners(), {'i-1', 'i-2'})
        self.assertIsNone(self._first_grant_of_moved_keys())

    async def test_keys_of_a_silent_owner_that_should_serve_move(self):
        """Guards against keys without an owner while its entry says ready."""
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        last = max(at for at, _ in self.calls.grants_to(1))

        post = self.calls._post

        async def post_to_others(holder, address, *arguments, **named):
            if address.port == 1:
                # No connection is opened in time, so nothing is sent.
                return key_calls.UNANSWERED, None
            return await post(holder, address, *arguments, **named)

        with mock.patch.object(self.calls, '_post', post_to_others):
            await self._wait(self._first_grant_of_moved_keys)
        waited_s = self._first_grant_of_moved_keys() - last
        self.assertGreaterEqual(
            waited_s, HOLD_S * hold_times.CLOCK_RATE_FACTOR
        )

    async def _drain_and_refuse(self, entry):
        """Let the first target close its port while it finishes its requests.

        Returns:
          The time from its last grant to the first grant of its moved keys.
        """
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        self.calls.result_by_port[1] = key_calls.REFUSED
        if entry is None:
            self.targets.remove('i-1')
        else:
            self.targets.put(entry)
        last = max(at for at, _ in self.calls.grants_to(1))
        await self._wait(self._first_grant_of_moved_keys)
        return self._first_grant_of_moved_keys() - last

    async def test_draining_target_that_refuses_may_hold_its_keys(self):
        """Guards against two owners (found in run bmhw grown trouble-3).

        A draining target closes its port and finishes its requests: that it
        refuses connections does not show that it has ended.
        """
        waited_s = await self._drain_and_refuse(_entry(1, model.DRAINING))
        self.assertGreaterEqual(waited_s, HOLD_S)

    async def test_draining_target_whose_update_did_not_arrive(self):
        """Guards against two owners while updates of the store are stalled.

        The controller's state of the target was seconds old: meanwhile the
        owner had registered as draining and closed its port.
        """
        self.store.entry_by_id['i-1'] = _entry(1, model.DRAINING)
        waited_s = await self._drain_and_refuse(_entry(1))
        self.assertGreaterEqual(waited_s, HOLD_S)

    async def test_target_whose_removal_did_not_arrive_may_hold_keys(self):
        """Guards against two owners while updates of the store are stalled."""
        del self.store.entry_by_id['i-1']
        waited_s = await self._drain_and_refuse(_entry(1))
        self.assertGreaterEqual(waited_s, HOLD_S)

    async def test_refusing_target_whose_entry_cannot_be_read(self):
        """Guards against two owners while the store does not answer."""
        error = store.StoreError('no answer in time')
        with mock.patch.object(
            self.store, 'get', autospec=True, side_effect=error
        ):
            waited_s = await self._drain_and_refuse(_entry(1))
        self.assertGreaterEqual(waited_s, HOLD_S)

    async def test_target_whose_entry_was_removed_may_hold_its_keys(self):
        """Guards against two owners when a target leaves unannounced.

        It closed its port while it still worked. Its removal was seen late
        and dated to that moment, so the refusal was taken for a crash before
        the end of the drain time (review case 3).
        """
        waited_s = await self._drain_and_refuse(None)
        self.assertGreaterEqual(waited_s, HOLD_S)

    async def _restart_with_an_unanswered_grant(self):
        """Restart the first target; return when its restart is known."""
        self._start()
        await self._wait(self._is_assigned)
        self.calls.result_by_port[1, names.GRANT_PATH] = key_calls.UNANSWERED
        before = len(self.calls.grants_to(1))
        await self._wait(lambda: len(self.calls.grants_to(1)) > before)
        self.targets.put(_entry(1, model.DRAINING, incarnation=2))
        return clock.now()

    async def test_keys_move_at_once_after_release_by_a_new_incarnation(self):
        # It rejects the grants that the former incarnation had not answered.
        began_at = await self._restart_with_an_unanswered_grant()
        del self.calls.result_by_port[1, names.GRANT_PATH]
        await self._wait(self._first_grant_of_moved_keys)
        self.assertLess(clock.now() - began_at, HOLD_S / 2)

    async def test_new_incarnation_that_leaves_grants_unanswered(self):
        """Guards against two owners after a restart of a target.

        A renewal may have reached the new incarnation before its restart was
        known, and take effect after its release.
        """
        await self._restart_with_an_unanswered_grant()
        await self._wait(self._first_grant_of_moved_keys)
        self.assertGreaterEqual(
            self._first_grant_of_moved_keys() - self._last_renewal(), HOLD_S
        )

    async def test_keys_of_a_silent_new_incarnation_move_after_expiry(self):
        # Renewals may have reached it before its restart was known.
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        self.calls.result_by_port[1] = key_calls.UNANSWERED
        self.targets.put(_entry(1, model.DRAINING, incarnation=2))
        last = max(at for at, _ in self.calls.grants_to(1))
        await self._wait(self._first_grant_of_moved_keys)
        waited_s = self._first_grant_of_moved_keys() - last
        self.assertGreaterEqual(waited_s, HOLD_S)

    async def test_new_controller_waits_for_its_predecessor(self):
        # It does not know the last grants of its predecessor.
        await self._lose_first()
        self.task.cancel()
        self.calls = _Calls()
        self.calls.result_by_port[1] = key_calls.UNANSWERED
        began_at = clock.now()
        self._start(expired=False)
        await self._wait(self._first_grant_of_moved_keys)
        self.assertGreaterEqual(
            self._first_grant_of_moved_keys() - began_at, GRANT_MAX_S
        )

    async def _replace_controller(self):
        """Lose the first target together with the controller."""
        await self._lose_first()
        self.task.cancel()
        self.calls = _Calls()

    async def test_new_controller_calls_owners_whose_entries_are_gone(self):
        """Guards against a wait for the longest grant after each failover.

        A controller was lost together with a target, whose address is only
        in the key map. A release by the former owner ends the wait.
        """
        await self._replace_controller()
        began_at = clock.now()
        self._start(expired=False)
        await self._wait(self._first_grant_of_moved_keys)
        self.assertLess(
            self._first_grant_of_moved_keys() - began_at, GRANT_MAX_S / 2
        )

    async def test_new_controller_waits_for_an_owner_that_refuses(self):
        """Guards against two owners: a refusal does not show an end."""
        await self._replace_controller()
        self.calls.result_by_port[1] = key_calls.REFUSED
        began_at = clock.now()
        self._start(expired=False)
        await self._wait(self._first_grant_of_moved_keys)
        self.assertGreaterEqual(
            self._first_grant_of_moved_keys() - began_at, GRANT_MAX_S
        )

    async def _reuse_address(self, result):
        """Start a target at the address of the first, which is lost.

        Args:
          result: What calls for the first target return there.

        Returns:
          The time until the keys of the first target are granted.
        """
        await self._replace_controller()
        self.calls.result_by_port[1] = result
        other = _entry(9, incarnation=2)._replace(
            service='desk', address=model.Address('10.0.0.1', 1)
        )
        self.targets.put(other)
        began_at = clock.now()
        self._start(expired=False)
        await self._wait(self._first_grant_of_moved_keys)
        return self._first_grant_of_moved_keys() - began_at

    async def test_keys_move_at_once_if_another_target_has_the_address(self):
        waited_s = await self._reuse_address(key_calls.OTHER_SERVER)
        self.assertLess(waited_s, GRANT_MAX_S / 2)

    async def test_entry_at_the_address_of_a_silent_owner(self):
        """Guards against two owners when the clocks of targets differ.

        An entry alone does not show that the owner at its address has ended.
        """
        waited_s = await self._reuse_address(key_calls.UNANSWERED)
        self.assertGreaterEqual(waited_s, GRANT_MAX_S)

    async def test_no_renewal_if_another_target_has_the_address(self):
        """Guards against two targets with one fencing token for a key.

        A target was lost and another started at its address while the store
        was unavailable; the expired entry of the first is kept for a while
        (found in run cbbb store-away-with-losses, seeds 619214471553 and
        340171171252).
        """
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        other = _entry(9, incarnation=5)._replace(
            address=model.Address('10.0.0.1', 1)
        )
        # The first target keeps its entry: nothing else shows that it ended.
        self.targets.put(other)
        moved_at = clock.now()
        await asyncio.sleep(0.6)
        late = [
            _grant_of(body).fence
            for at, body in self.calls.grants_to(1)
            if at > moved_at + 0.05
        ]
        self.assertNotIn(1, late)

    async def test_older_entry_at_the_address_moves_no_keys(self):
        """Guards against taking keys from an owner for a stale entry."""
        self._start()
        await self._wait(self._is_assigned)
        older = _entry(9, model.DRAINING, incarnation=0)._replace(
            address=model.Address('10.0.0.1', 1)
        )
        self.targets.put(older)
        before = len(self.calls.grants_to(1))
        await self._wait(lambda: len(self.calls.grants_to(1)) > before + 1)
        self.assertIn('i-1', self._owners())

    async def test_entry_of_another_writer_at_the_address(self):
        """Guards against two owners of a key because of a foreign entry.

        An entry for a service that no ticket names, at the address of an
        owner, was taken for the owner's successor.
        """
        self._start()
        await self._wait(self._is_assigned)
        odd = _entry(9, incarnation=5)._replace(
            service='inventory', address=model.Address('10.0.0.1', 1)
        )
        self.targets.put(odd)
        before = len(self.calls.grants_to(1))
        await self._wait(lambda: len(self.calls.grants_to(1)) > before + 1)
        self.assertEqual(self._owners(), {'i-1', 'i-2'})

    async def test_entry_of_another_writer_under_the_id(self):
        """Guards against two owners after an owner's entry was overwritten.

        The owner has not restarted, so it must release its keys.
        """
        self._start()
        await self._wait(self._is_assigned)
        odd = _entry(1, incarnation=5)._replace(
            service='inventory', address=model.Address('10.0.0.1', 7)
        )
        self.targets.put(odd)
        await self._wait(lambda: self._owners() == {'i-2'})
        await self._wait(self._is_assigned)
        paths = {path for _, port, path, _ in self.calls.sent if port == 1}
        self.assertIn(names.RELEASE_PATH, paths)

    async def test_renewal_that_reached_the_next_incarnation(self):
        """Guards against two owners after a restart of a target.

        A renewal that was sent before the restart was known granted the next
        incarnation the keys; they were granted to another target without a
        release.
        """
        self._start()
        await self._wait(self._is_assigned)
        await self._wait(lambda: len(self.calls.grants_to(1)) > 1)
        self.targets.put(_entry(1, model.DRAINING, incarnation=2))
        await self._wait(lambda: self._owners() == {'i-2'})
        await self._wait(self._is_assigned)
        paths = {path for _, port, path, _ in self.calls.sent if port == 1}
        self.assertIn(names.RELEASE_PATH, paths)

    async def test_release_carries_a_token_between_the_owners(self):
        """Guards against an earlier grant that arrives after a release.

        The token is above that of the former owner, so that a target that
        counts it rejects such grants, and below that of the next owner, so
        that the former one can be fenced off with it.
        """
        self._start()
        await self._wait(self._is_assigned)
        self.targets.put(_entry(1, model.DRAINING))
        await self._wait(lambda: self._owners() == {'i-2'})
        await self._wait(self._is_assigned)
        released = [
            json.loads(body)
            for _, port, path, body in self.calls.sent
            if port == 1 and path == names.RELEASE_PATH
        ]
        newest = max(
            key_range.fence
            for key_range in self.keys.map_by_service['book'].ranges
        )
        self.assertTrue(released)
        for fields in released:
            self.assertGreater(fields['fence'], FIRST_FENCE)
            self.assertLess(fields['fence'], newest)

    async def test_keys_move_at_once_if_another_server_has_the_address(self):
        """Guards against keys without an owner when an address is reused."""
        await self._lose_first()
        self.calls.result_by_port[1] = key_calls.OTHER_SERVER
        began_at = clock.now()
        await self._wait(self._first_grant_of_moved_keys)
        self.assertLess(clock.now() - began_at, HOLD_S)

    async def test_retaken_lease_keeps_known_grants(self):
        # The store was unavailable and the lease expired, but no other host
        # was the controller.
        await self._lose_first()
        await self._wait(self._first_grant_of_moved_keys)
        self.task.cancel()
        self.lease.was_last_holder = True
        self.calls.assume_prior_grants = mock.Mock()
        self._start(expired=False)
        await asyncio.sleep(0.1)
        self.calls.assume_prior_grants.assert_not_called()

    async def test_renewals_continue_without_the_store(self):
        self._start()
        await self._wait(self._is_assigned)
        self.store.is_unavailable = True
        self.targets.put(_entry(3))
        before = len(self.calls.grants_to(1))
        await asyncio.sleep(1.0)
        self.assertGreater(len(self.calls.grants_to(1)), before + 2)
        self.assertEqual(self.calls.grants_to(3), [])

    async def test_grants_are_longest_while_the_lease_is_unconfirmed(self):
        self._start()
        await self._wait(self._is_assigned)
        before = len(self.calls.grants_to(1))
        self.lease.held_until = clock.now() + (
            controller_lease.LEASE_S - key_renewals.UNCONFIRMED_S
        )
        await self._wait(lambda: len(self.calls.grants_to(1)) > before)
        _, body = self.calls.grants_to(1)[-1]
        self.assertEqual(_grant_of(body).hold_s, 1.0)

    async def test_conflict_stops_the_controller(self):
        # Another controller has written: this one must send no more grants.
        self._start()
        await self._wait(self._is_assigned)
        name = names.KEY_MAP_PREFIX + 'book'
        item = self.store.item_by_name[name]
        item['metadata']['rev'] += 5
        item['spec'] = {'fence': 9, 'ranges': []}
        self.targets.remove('i-1')
        async with asyncio.timeout(2.0):
            await self.task

    async def test_fault_in_a_move_is_logged(self):
        """Guards against keys without an owner and without a log line."""
        log = mock.Mock()
        with mock.patch.object(
            self.calls,
            'release',
            autospec=True,
            side_effect=RuntimeError('fault'),
        ):
            self._start()
            self.controller._log = log
            await self._wait(self._is_assigned)
            self.targets.put(_entry(1, model.DRAINING))
            await self._wait(lambda: log.event.call_args_list)
            await self._wait(
                lambda: (
                    mock.call('move_failed', error=mock.ANY)
                    in log.event.call_args_list
                )
            )

    async def test_lost_lease_stops_the_renewals(self):
        self._start()
        await self._wait(self._is_assigned)
        self.lease.held_until = 0.0
        async with asyncio.timeout(2.0):
            await self.task
        before = len(self.calls.sent)
        await asyncio.sleep(0.4)
        self.assertEqual(len(self.calls.sent), before)
