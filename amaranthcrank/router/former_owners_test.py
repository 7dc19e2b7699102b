import asyncio
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import former_owners
from amaranthcrank.router import hold_times
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_ranges
from amaranthcrank.router import model
from amaranthcrank.router import ownership_events
from standins import key_targets
from standins import platform_target
from standins import virtual_time

HOLDER = 'i-1/1'
OTHER_HOLDER = 'i-2/1'
HOLD_S = 6.0
GRANT_MAX_S = 10.0
FORMER_FENCE = 5
NEXT_FENCE = FORMER_FENCE + 2 * key_ranges.FENCES_PER_HOLDER + 1
RANGE = model.KeyRange(0, 99, 'i-3', 1, NEXT_FENCE, True, HOLDER)
ANY_COUNT = 1000
# More than what rounding and the calls to the stand-ins take.
CALLS_S = 0.05


def _grant(fence=FORMER_FENCE, hold_s=HOLD_S):
    return platform_target.GrantCall(
        RANGE.first, RANGE.last, fence, hold_s, ''
    )


class _Site:
    """Former owners of a range, and what reclaims it from them."""

    def __init__(self):
        self.former = key_targets.Target(key_targets.entry(1))
        self.other = key_targets.Target(key_targets.entry(2))
        target_by_holder = {HOLDER: self.former, OTHER_HOLDER: self.other}
        self.calls = key_targets.Calls(target_by_holder)
        self.hold_times = self.calls.hold_times
        self.targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        self.targets.services = frozenset({'book'})
        self.events = mock.Mock()
        self.tracker = former_owners.FormerOwners(
            self.calls,
            self.targets,
            {
                holder: target.entry.address
                for holder, target in target_by_holder.items()
            },
            self.events,
        )

    def send_grant(self, has_response, hold_s=HOLD_S):
        """Send the former owner a grant; one without a response waits."""
        grant = self.hold_times.begin(HOLDER, hold_s)
        grant.record_sent()
        if has_response:
            self.former.take_grant(_grant(hold_s=hold_s), clock.now())
        self.hold_times.finish(HOLDER, grant, has_response)

    async def reclaim(self, holders=(HOLDER,)):
        return await self.tracker.reclaim(holders, RANGE)

    def evidence(self):
        """Return what showed that each former owner gave up the range."""
        return [
            call.args[2] for call in self.events.keys_reclaimed.call_args_list
        ]

    def fences(self, calls):
        """Return the tokens of those calls that fence off a target."""
        return [call.fence for call in calls if call.path == names.GRANT_PATH]

    def held_until(self):
        """Return until when the former owners hold keys."""
        holds = self.former.holds + self.other.holds
        return max((hold.until for hold in holds), default=0.0)


class ReleaseTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_answered_grants_need_no_fence(self):
        """Guards against owners that are fenced off on each move."""
        site = _Site()
        site.send_grant(has_response=True)
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed, ('w', ()))
        self.assertEqual(site.evidence(), [ownership_events.RELEASED])
        self.assertEqual(site.fences(site.calls.begun), [])
        self.assertEqual(len(site.calls.sent), 1)
        self.assertLessEqual(site.held_until(), clock.now())

    @virtual_time.in_virtual_time
    async def test_release_is_not_enough(self):
        """Guards against two owners after a grant without a response.

        It took effect after the former owner had answered the release, and
        the token of a release counts for nothing there.
        """
        site = _Site()
        site.send_grant(has_response=False)
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed, ('w', ()))
        self.assertFalse(site.former.take_grant(_grant(), clock.now()))
        self.assertLessEqual(site.held_until(), clock.now())
        paths = [call.path for call in site.calls.sent]
        self.assertEqual(
            paths, [names.RELEASE_PATH, names.GRANT_PATH, names.RELEASE_PATH]
        )

    @virtual_time.in_virtual_time
    async def test_grant_between_the_release_and_the_fence(self):
        """Guards against a former owner that keeps keys as it was fenced off.

        It had taken an earlier grant just before.
        """
        site = _Site()
        site.send_grant(has_response=False)
        released_s = asyncio.get_running_loop().time() + 0.001
        asyncio.get_running_loop().call_at(
            released_s + 0.0005,
            lambda: site.former.take_grant(_grant(), clock.now()),
        )
        await site.reclaim()
        fences = [hold.fence for hold in site.former.holds]
        self.assertIn(FORMER_FENCE, fences)
        self.assertLessEqual(site.held_until(), clock.now())

    @virtual_time.in_virtual_time
    async def test_grant_answered_after_the_release(self):
        """Guards against an owner that takes a grant after its release.

        The response to the grant came before that to the release, so that
        nothing seemed to be under way any more.
        """
        site = _Site()
        site.former.response_s = 0.3
        grant = site.hold_times.begin(HOLDER, HOLD_S)
        grant.record_sent()
        loop = asyncio.get_running_loop()
        loop.call_later(
            0.1, lambda: site.former.take_grant(_grant(), clock.now())
        )
        loop.call_later(
            0.2, lambda: site.hold_times.finish(HOLDER, grant, True)
        )
        await site.reclaim()
        self.assertEqual(len(site.former.holds), 1)
        self.assertLessEqual(site.held_until(), clock.now())

    @virtual_time.in_virtual_time
    async def test_new_controller(self):
        """Guards against grants of a former controller that take effect late.

        It also did not answer a grant that this one does not know of.
        """
        site = _Site()
        site.calls.assume_prior_grants(GRANT_MAX_S)
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed.unsettled, ())
        self.assertFalse(site.former.take_grant(_grant(), clock.now()))

    @virtual_time.in_virtual_time
    async def test_next_life_is_asked(self):
        """Guards against a restarted target that keeps its keys.

        A renewal that was sent before the restart was known granted them.
        """
        site = _Site()
        site.send_grant(has_response=True)
        address = model.Address('10.0.0.9', 9)
        site.targets.put(
            site.former.entry._replace(incarnation=2, address=address)
        )
        await site.reclaim()
        self.assertEqual([call.address for call in site.calls.sent], [address])
        self.assertEqual(site.evidence(), [ownership_events.RESTARTED])


class FenceTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_each_attempt_has_a_higher_token(self):
        """Guards against an attempt that arrives after the keys moved on.

        It had the token of the one that was answered.
        """
        site = _Site()
        site.calls.lost_fences = 3
        site.calls.fence_delay_s = 3 * hold_times.TRANSIT_S
        site.send_grant(has_response=False)
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed.unsettled, ())
        fences = site.fences(site.calls.sent)
        self.assertEqual(len(fences), 4)
        self.assertEqual(fences, sorted(set(fences)))
        self.assertGreater(fences[0], FORMER_FENCE)
        self.assertLess(fences[-1], RANGE.fence)
        # The answered one keeps out the others, so nothing waits for them.
        reclaimed_at = clock.now()
        self.assertLess(reclaimed_at, site.calls.sent[-1].at + CALLS_S)
        await asyncio.sleep(2 * site.calls.fence_delay_s)
        self.assertLessEqual(site.held_until(), reclaimed_at)

    @virtual_time.in_virtual_time
    async def test_attempts_are_bounded(self):
        """Guards against tokens that reach those of the next owner.

        No attempt was answered, so what was sent counts until it has expired.
        """
        site = _Site()
        site.calls.lost_fences = ANY_COUNT
        site.send_grant(has_response=False)
        hold_end = site.hold_times.hold_end(HOLDER)()
        reclaimed = await site.reclaim()
        fences = site.fences(site.calls.sent)
        self.assertEqual(len(fences), key_ranges.FENCES_PER_HOLDER)
        self.assertEqual(len(set(fences)), len(fences))
        self.assertLess(max(fences), RANGE.fence)
        self.assertGreater(min(fences), FORMER_FENCE)
        self.assertGreaterEqual(clock.now(), hold_end)
        self.assertLess(clock.now(), hold_end + CALLS_S)
        self.assertEqual(reclaimed.unsettled, (HOLDER,))
        self.assertEqual(site.evidence(), [ownership_events.EXPIRED])

    @virtual_time.in_virtual_time
    async def test_attempts_at_two_former_owners(self):
        """Guards against two targets that are fenced off by one token."""
        site = _Site()
        site.calls.assume_prior_grants(GRANT_MAX_S)
        site.calls.lost_fences = key_ranges.FENCES_PER_HOLDER - 1
        await site.reclaim((HOLDER, OTHER_HOLDER))
        fences = site.fences(site.calls.sent)
        self.assertEqual(len(fences), key_ranges.FENCES_PER_HOLDER + 1)
        self.assertEqual(len(set(fences)), len(fences))
        self.assertLess(max(fences), RANGE.fence)
        self.assertGreater(min(fences), FORMER_FENCE)

    @virtual_time.in_virtual_time
    async def test_all_release_before_one_is_fenced_off(self):
        """Guards against a fence that gives keys back while another works."""
        site = _Site()
        site.calls.assume_prior_grants(GRANT_MAX_S)
        site.other.take_grant(_grant(), clock.now())
        site.other.work_s = 2.0
        await site.reclaim((HOLDER, OTHER_HOLDER))
        worked_until = site.other.holds[0].until
        fences = [
            call.at
            for call in site.calls.begun
            if call.path == names.GRANT_PATH
        ]
        self.assertEqual(len(fences), 2)
        self.assertGreaterEqual(min(fences), worked_until)

    @virtual_time.in_virtual_time
    async def test_refused_attempts(self):
        """Guards against attempts that could arrive after the hold's end.

        Those that were not sent need no token each.
        """
        site = _Site()
        site.former.result_by_path[names.GRANT_PATH] = key_calls.REFUSED
        site.send_grant(has_response=False)
        hold_end = site.hold_times.hold_end(HOLDER)()
        reclaimed = await site.reclaim()
        begun = [
            call for call in site.calls.begun if call.path == names.GRANT_PATH
        ]
        self.assertGreater(len(begun), key_ranges.FENCES_PER_HOLDER)
        self.assertLess(max(site.fences(begun)), RANGE.fence)
        last_at = max(call.at for call in site.calls.begun)
        self.assertLess(last_at, hold_end - hold_times.TRANSIT_S)
        self.assertGreaterEqual(clock.now(), hold_end)
        self.assertLess(clock.now(), hold_end + CALLS_S)
        self.assertEqual(reclaimed.unsettled, (HOLDER,))

    @virtual_time.in_virtual_time
    async def test_rejected_attempts_raise_the_token(self):
        """Guards against keys without an owner for the longest grant.

        The former owner had seen a higher token, of another range.
        """
        site = _Site()
        site.send_grant(has_response=False)
        site.former.highest_fence = NEXT_FENCE - 4
        hold_end = site.hold_times.hold_end(HOLDER)()
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed.unsettled, ())
        self.assertLess(clock.now(), hold_end - hold_times.TRANSIT_S)
        self.assertLess(max(site.fences(site.calls.sent)), RANGE.fence)

    @virtual_time.in_virtual_time
    async def test_attempt_that_waits_before_it_is_sent(self):
        """Guards against a fence that arrives beside the next owner.

        It was begun just before the end of attempts, was sent after the hold's
        end as the probe took long, and had no response.
        """
        for step in range(20):
            with self.subTest(step=step):
                await self._play_slow_probe(0.05 * step)

    async def _play_slow_probe(self, earlier_s):
        site = _Site()
        site.calls.lost_fences = ANY_COUNT
        site.calls.fence_delay_s = 0.9 * hold_times.TRANSIT_S
        site.send_grant(has_response=False)
        hold_end = site.hold_times.hold_end(HOLDER)()
        site.former.response_s = 0.95 * key_calls.PROBE_TIMEOUT_S
        site.former.is_stopped = True
        resumed_at = hold_end - 2.5 + earlier_s

        def resume():
            site.former.is_stopped = False

        asyncio.get_running_loop().call_later(resumed_at - clock.now(), resume)
        await site.reclaim()
        reclaimed_at = clock.now()
        self.assertGreaterEqual(reclaimed_at, hold_end)
        for call in site.calls.sent:
            if call.path == names.GRANT_PATH:
                self.assertGreaterEqual(
                    reclaimed_at, call.at + hold_times.TRANSIT_S
                )
        await asyncio.sleep(2 * hold_times.TRANSIT_S)
        self.assertLessEqual(site.held_until(), reclaimed_at)


class ExpiryTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_silent_owner_with_a_grant_without_a_response(self):
        """Guards against two owners when a stopped owner goes on.

        Its keys had moved on, and the grant that waited was forgotten.
        """
        site = _Site()
        site.send_grant(has_response=True)
        site.former.is_stopped = True
        site.send_grant(has_response=False)
        hold_end = site.hold_times.hold_end(HOLDER)()
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed.unsettled, (HOLDER,))
        self.assertEqual(site.evidence(), [ownership_events.EXPIRED])
        self.assertGreaterEqual(clock.now(), hold_end)

    @virtual_time.in_virtual_time
    async def test_grant_that_has_expired_but_may_still_wait(self):
        """Guards against two owners when the keys move long after a grant.

        Its hold had ended before the move began.
        """
        site = _Site()
        site.send_grant(has_response=False)
        site.former.is_stopped = True
        await asyncio.sleep(hold_times.LATE_GRANT_S - 1.0)
        begun_at = clock.now()
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed.unsettled, (HOLDER,))
        self.assertLess(clock.now(), begun_at + CALLS_S)

    @virtual_time.in_virtual_time
    async def test_silent_owner_whose_grants_were_answered(self):
        """Guards against releases for a minute that nothing asks for."""
        site = _Site()
        site.send_grant(has_response=True)
        site.former.is_stopped = True
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed.unsettled, ())
        self.assertEqual(site.evidence(), [ownership_events.EXPIRED])
        self.assertLessEqual(site.held_until(), clock.now())

    @virtual_time.in_virtual_time
    async def test_only_the_silent_one_of_two_is_unsettled(self):
        """Guards against releases at a former owner that was fenced off."""
        site = _Site()
        site.calls.assume_prior_grants(GRANT_MAX_S)
        site.former.is_stopped = True
        site.other.result_by_path[names.RELEASE_PATH] = key_calls.OTHER_SERVER
        reclaimed = await site.reclaim((HOLDER, OTHER_HOLDER))
        self.assertEqual(reclaimed.unsettled, (HOLDER,))
        self.assertEqual(
            site.evidence(),
            [ownership_events.EXPIRED, ownership_events.REPLACED],
        )


class OtherServerTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_at_the_release(self):
        """Guards against keys that wait for a target that has ended."""
        site = _Site()
        site.send_grant(has_response=False)
        site.former.result_by_path[names.RELEASE_PATH] = key_calls.OTHER_SERVER
        begun_at = clock.now()
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed, ('', ()))
        self.assertEqual(site.evidence(), [ownership_events.REPLACED])
        self.assertEqual(len(site.calls.begun), 1)
        self.assertLess(clock.now(), begun_at + CALLS_S)

    @virtual_time.in_virtual_time
    async def test_at_the_fence(self):
        """Guards against keys that wait for a target that has just ended."""
        site = _Site()
        site.send_grant(has_response=False)
        site.former.result_by_path[names.GRANT_PATH] = key_calls.OTHER_SERVER
        begun_at = clock.now()
        reclaimed = await site.reclaim()
        self.assertEqual(reclaimed.unsettled, ())
        self.assertEqual(site.evidence(), [ownership_events.REPLACED])
        self.assertEqual(len(site.fences(site.calls.begun)), 1)
        self.assertLess(clock.now(), begun_at + CALLS_S)

    @virtual_time.in_virtual_time
    async def test_after_an_attempt_without_a_response(self):
        """Guards against a fence that arrives beside the next owner.

        It had been sent before another server answered at the address.
        """
        site = _Site()
        site.send_grant(has_response=False)
        site.calls.lost_fences = 1
        site.calls.fence_delay_s = 0.9 * hold_times.TRANSIT_S

        def replace():
            site.former.result_by_path[names.GRANT_PATH] = (
                key_calls.OTHER_SERVER
            )

        asyncio.get_running_loop().call_later(0.05, replace)
        await site.reclaim()
        (sent_at,) = [
            call.at
            for call in site.calls.sent
            if call.path == names.GRANT_PATH
        ]
        self.assertEqual(site.evidence(), [ownership_events.REPLACED])
        self.assertGreaterEqual(clock.now(), sent_at + hold_times.TRANSIT_S)
        reclaimed_at = clock.now()
        await asyncio.sleep(2 * hold_times.TRANSIT_S)
        self.assertLessEqual(site.held_until(), reclaimed_at)


if __name__ == '__main__':
    unittest.main()
