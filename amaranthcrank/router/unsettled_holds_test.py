import asyncio
import unittest
from unittest import mock

from amaranthcrank.platform import names
from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import former_owners
from amaranthcrank.router import hold_times
from amaranthcrank.router import key_calls
from amaranthcrank.router import model
from amaranthcrank.router import ownership_events
from amaranthcrank.router import unsettled_holds
from standins import key_targets
from standins import platform_target
from standins import virtual_time

HOLDER = 'i-1/1'
OTHER_HOLDER = 'i-2/1'
FENCE = 5
GRANT_MAX_S = 10.0
# What is in transit arrives within a second, and lasts for the longest grant
# by the slowest clock.
SETTLE_S = hold_times.TRANSIT_S + GRANT_MAX_S * hold_times.CLOCK_RATE_FACTOR
# The platform's bound on how long two targets may hold the same keys.
MAX_SHARED_S = 0.5
RANGES = 20
BATCHES = -(-RANGES // unsettled_holds.MAX_CONCURRENT)
# More than what rounding and the calls to the stand-ins take.
CALLS_S = 0.02
# For how long a test waits for what is to happen sooner.
WAIT_S = 3 * hold_times.LATE_GRANT_S
HOLD = model.UnsettledHold(HOLDER, 0, 9, FENCE)


def _holds(count):
    """Return holds of ranges that are not adjacent."""
    return [
        HOLD._replace(first=first, last=first + 9)
        for first in range(0, 20 * count, 20)
    ]


def _owned(first, last, target_id='i-1', incarnation=2):
    return model.KeyRange(
        first, last, target_id, incarnation, FENCE + 1, False, ''
    )


def _grant():
    return platform_target.GrantCall(HOLD.first, HOLD.last, FENCE - 1, 6.0, '')


class _Site:
    """A former owner with unsettled holds, and another target."""

    def __init__(self):
        self.former = key_targets.Target(key_targets.entry(1))
        self.other = key_targets.Target(key_targets.entry(2))
        self.calls = key_targets.Calls(
            {HOLDER: self.former, OTHER_HOLDER: self.other}
        )
        self.targets = directory.Directory(
            asyncio.get_running_loop().time, 2.0, lambda *_, **__: None
        )
        self.targets.services = frozenset({'book'})
        self.address_by_holder = {
            HOLDER: self.former.entry.address,
            OTHER_HOLDER: self.other.entry.address,
        }
        self.events = mock.Mock()
        self.lease = mock.Mock(is_held=True)
        tracker = former_owners.FormerOwners(
            self.calls, self.targets, self.address_by_holder, mock.Mock()
        )
        self.unsettled = unsettled_holds.UnsettledHolds(
            self.lease,
            self.calls,
            tracker,
            self.address_by_holder,
            self.events,
            GRANT_MAX_S,
        )

    def add(self, holds=(HOLD,)):
        for hold in holds:
            self.unsettled.add('book', hold)

    def holds(self):
        return self.unsettled.holds('book')

    def reasons(self):
        """Return why the holds of each holder were settled."""
        return [
            call.args[1] for call in self.events.holds_settled.call_args_list
        ]

    def call_later(self, delay_s, change, *args):
        asyncio.get_running_loop().call_later(delay_s, change, *args)

    async def first_call_after(self, at):
        """Wait until a release was sent at a moment or later; return when."""
        async with asyncio.timeout(WAIT_S):
            while not self.calls.sent or self.calls.sent[-1].at < at:
                await asyncio.sleep(0.001)
        return next(call.at for call in self.calls.sent if call.at >= at)

    async def settled_at(self):
        """Wait until there are no holds; return when."""
        async with asyncio.timeout(WAIT_S):
            while self.holds():
                await asyncio.sleep(0.01)
        return clock.now()


class RangesTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_one_range_until_the_first_answer(self):
        """Guards against connections to a target that reads nothing."""
        site = _Site()
        site.former.is_stopped = True
        site.add(_holds(RANGES))
        await asyncio.sleep(10.0)
        self.assertGreater(len(site.calls.sent), 1)
        self.assertEqual({call.first for call in site.calls.sent}, {0})
        self.assertEqual(site.calls.most_concurrent, 1)

    @virtual_time.in_virtual_time
    async def test_all_ranges_after_the_first_answer(self):
        """Guards against ranges that are released one after the other.

        The former owner held them for so long beside their next owners.
        """
        site = _Site()
        site.former.response_s = 0.05
        site.add(_holds(RANGES))
        answered_at = clock.now() + site.former.response_s
        await asyncio.sleep(RANGES * site.former.response_s)
        begun_by_first = {}
        for call in site.calls.sent[1:]:
            begun_by_first.setdefault(call.first, call.at)
        self.assertEqual(
            list(begun_by_first), [hold.first for hold in _holds(RANGES)]
        )
        self.assertLess(
            max(begun_by_first.values()),
            answered_at + (BATCHES - 1) * site.former.response_s + CALLS_S,
        )
        self.assertEqual(
            site.calls.most_concurrent, unsettled_holds.MAX_CONCURRENT
        )

    @virtual_time.in_virtual_time
    async def test_adjacent_ranges(self):
        """Guards against a call for each of many ranges that are adjacent.

        It names the lowest of their tokens. With a higher one, a target that
        counts the tokens of releases would reject the grant of keys that are
        planned to come back to it already.
        """
        site = _Site()
        site.add(
            [
                HOLD._replace(first=10, last=19, fence=FENCE + 4),
                HOLD,
                HOLD._replace(first=20, last=29, fence=FENCE + 2),
                HOLD._replace(first=40, last=49, fence=FENCE),
            ]
        )
        await asyncio.sleep(CALLS_S)
        named = {call[3:] for call in site.calls.sent}
        self.assertEqual(named, {(0, 29, FENCE), (40, 49, FENCE)})

    @virtual_time.in_virtual_time
    async def test_later_hold_of_the_same_keys(self):
        """Guards against a release with a token of an earlier move."""
        site = _Site()
        site.add()
        later = HOLD._replace(first=5, last=14, fence=FENCE + 9)
        site.add([later])
        self.assertEqual(site.holds(), (HOLD._replace(last=4), later))


class EndTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_other_server(self):
        """Guards against releases for a minute at a target that has ended."""
        site = _Site()
        site.add()
        await asyncio.sleep(0.5)
        self.assertEqual(site.holds(), (HOLD,))
        replaced_at = clock.now()
        site.former.result_by_path[names.RELEASE_PATH] = key_calls.OTHER_SERVER
        settled_at = await site.settled_at()
        self.assertLess(
            settled_at,
            replaced_at + unsettled_holds.RELEASE_INTERVAL_S + CALLS_S,
        )
        self.assertEqual(site.reasons(), [ownership_events.REPLACED])
        begun = len(site.calls.begun)
        await asyncio.sleep(hold_times.LATE_GRANT_S)
        self.assertEqual(len(site.calls.begun), begun)

    @virtual_time.in_virtual_time
    async def test_other_server_before_any_answer(self):
        """Guards against releases for a minute at a target that has ended."""
        site = _Site()
        site.former.result_by_path[names.RELEASE_PATH] = key_calls.OTHER_SERVER
        site.add(_holds(RANGES))
        await asyncio.sleep(CALLS_S)
        self.assertEqual(site.holds(), ())
        self.assertEqual(site.reasons(), [ownership_events.REPLACED])

    @virtual_time.in_virtual_time
    async def test_time_after_an_answer(self):
        """Guards against a former owner that is given up too early.

        What it had not taken when it answered lasts for the longest grant, and
        what a link kept back may still arrive.
        """
        for silence_s in (20.0, 55.0):
            with self.subTest(silence_s=silence_s):
                site = _Site()
                site.former.is_stopped = True
                site.add()
                arrived_until = clock.now() + hold_times.LATE_GRANT_S
                site.call_later(silence_s, site.former.resume)
                resumed_at = clock.now() + silence_s
                answered_at = await site.first_call_after(resumed_at)
                ends_at = max(arrived_until, answered_at + SETTLE_S)
                settled_at = await site.settled_at()
                self.assertGreaterEqual(settled_at, ends_at)
                self.assertLess(
                    settled_at,
                    ends_at + unsettled_holds.LATER_INTERVAL_S + CALLS_S,
                )
                self.assertGreaterEqual(
                    site.calls.sent[-1].at, ends_at - CALLS_S
                )
                self.assertEqual(site.reasons(), [ownership_events.RELEASED])

    @virtual_time.in_virtual_time
    async def test_link_that_keeps_one_connection_back(self):
        """Guards against two owners after a grant on another connection.

        The former owner answered all the time, while a link kept the grant.
        """
        site = _Site()
        site.add()
        await asyncio.sleep(hold_times.LATE_GRANT_S - 1.0)
        site.former.take_grant(_grant(), clock.now())
        await asyncio.sleep(1.0)
        (hold,) = site.former.holds
        self.assertLessEqual(hold.until - hold.since, MAX_SHARED_S)

    @virtual_time.in_virtual_time
    async def test_no_answer(self):
        """Guards against a stopped target that is given up too early.

        A grant that waits may take effect for as long as that.
        """
        for result in (key_calls.REFUSED, key_calls.UNANSWERED):
            with self.subTest(result=result):
                site = _Site()
                site.former.result_by_path[names.RELEASE_PATH] = result
                added_at = clock.now()
                site.add()
                settled_at = await site.settled_at()
                expires_at = added_at + hold_times.LATE_GRANT_S
                self.assertGreaterEqual(settled_at, expires_at)
                self.assertLess(
                    settled_at,
                    expires_at + former_owners.REFUSED_RETRY_S + CALLS_S,
                )
                self.assertEqual(site.reasons(), [ownership_events.EXPIRED])

    @virtual_time.in_virtual_time
    async def test_first_answer_just_before_the_end(self):
        """Guards against a former owner that is given up as it goes on."""
        site = _Site()
        site.former.is_stopped = True
        site.add()
        resumed_at = clock.now() + hold_times.LATE_GRANT_S - 1.0
        site.call_later(hold_times.LATE_GRANT_S - 1.0, site.former.resume)
        answered_at = await site.first_call_after(resumed_at)
        settled_at = await site.settled_at()
        self.assertGreaterEqual(settled_at, answered_at + SETTLE_S)
        self.assertEqual(site.reasons(), [ownership_events.RELEASED])

    @virtual_time.in_virtual_time
    async def test_refusals_after_an_answer(self):
        """Guards against time that counts although the target is away.

        It has to answer once more after the longest grant is over.
        """
        site = _Site()
        site.add()
        path = names.RELEASE_PATH
        site.call_later(
            1.0,
            site.former.result_by_path.__setitem__,
            path,
            key_calls.REFUSED,
        )
        site.call_later(30.0, site.former.result_by_path.pop, path)
        back_at = clock.now() + 30.0
        settled_at = await site.settled_at()
        self.assertGreaterEqual(settled_at, back_at)
        self.assertEqual(site.reasons(), [ownership_events.RELEASED])

    @virtual_time.in_virtual_time
    async def test_one_range_that_is_not_answered(self):
        """Guards against a range that nobody released although others were."""
        site = _Site()
        holds = _holds(2)
        site.add(holds)
        release = site.calls.release

        async def lose_second(*args):
            result = await release(*args)
            if args[2] == holds[1].first:
                return key_calls.UNANSWERED, ''
            return result

        with mock.patch.object(site.calls, 'release', lose_second):
            added_at = clock.now()
            settled_at = await site.settled_at()
        self.assertGreaterEqual(settled_at, added_at + hold_times.LATE_GRANT_S)
        self.assertEqual(site.reasons(), [ownership_events.EXPIRED])

    @virtual_time.in_virtual_time
    async def test_hold_that_is_added_later(self):
        """Guards against time that counts from the answer of another move."""
        site = _Site()
        first, second = _holds(2)
        site.add([first])
        await asyncio.sleep(0.8 * SETTLE_S)
        added_at = clock.now()
        site.add([second])
        settled_at = await site.settled_at()
        self.assertGreaterEqual(settled_at, added_at + SETTLE_S)
        self.assertEqual(site.events.hold_unsettled.call_count, 2)

    @virtual_time.in_virtual_time
    async def test_hold_that_is_added_again(self):
        """Guards against a time that counts from before the lease was lost.

        The next grants without a response may have been sent since.
        """
        site = _Site()
        site.former.is_stopped = True
        site.add()
        await asyncio.sleep(0.8 * hold_times.LATE_GRANT_S)
        added_at = clock.now()
        site.add()
        settled_at = await site.settled_at()
        self.assertGreaterEqual(settled_at, added_at + hold_times.LATE_GRANT_S)
        self.assertEqual(site.events.hold_unsettled.call_count, 1)

    @virtual_time.in_virtual_time
    async def test_former_owner_that_stops_twice(self):
        """Guards against two owners when a former owner is stopped again.

        It answered a release, and was stopped before it took a grant that
        waited. It took that after it had answered once more.
        """
        site = _Site()
        site.former.is_stopped = True
        site.former.hold_back(_grant())
        site.add()

        def go_on_shortly():
            site.former.stops_after_release = True
            site.former.is_stopped = False

        site.call_later(1.0, go_on_shortly)
        await asyncio.sleep(1.5)
        self.assertTrue(site.former.is_stopped)
        await asyncio.sleep(SETTLE_S + 10.0)
        site.former.is_stopped = False
        await site.first_call_after(clock.now())
        await asyncio.sleep(CALLS_S)
        site.former.resume()
        await asyncio.sleep(SETTLE_S)
        (hold,) = site.former.holds
        self.assertLessEqual(hold.until - hold.since, MAX_SHARED_S)


class IntervalTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_intervals(self):
        """Guards against keys that a former owner holds beside the next one.

        It takes a grant that waited at any time after its first answer.
        """
        site = _Site()
        site.add()
        answered_at = await site.first_call_after(0.0)
        for taken in range(30):
            await asyncio.sleep(0.37)
            site.former.take_grant(_grant(), clock.now())
        await site.settled_at()
        self.assertEqual(len(site.former.holds), 30)
        for hold in site.former.holds:
            longest_s = unsettled_holds.LATER_INTERVAL_S
            if hold.until < answered_at + unsettled_holds.FIRST_RELEASES_S:
                longest_s = unsettled_holds.RELEASE_INTERVAL_S
            self.assertLessEqual(hold.until - hold.since, longest_s + CALLS_S)

    @virtual_time.in_virtual_time
    async def test_calls_are_bounded(self):
        """Guards against more releases than the interval allows.

        They cost a host and the link between the regions.
        """
        site = _Site()
        site.add()
        await site.settled_at()
        gaps = [
            (one.at, other.at - one.at)
            for one, other in zip(
                site.calls.sent[1:], site.calls.sent[2:], strict=False
            )
        ]
        answered_at = site.calls.sent[0].at
        for at, gap_s in gaps:
            shortest_s = unsettled_holds.RELEASE_INTERVAL_S
            if at > answered_at + unsettled_holds.FIRST_RELEASES_S:
                shortest_s = unsettled_holds.LATER_INTERVAL_S
            self.assertGreaterEqual(gap_s, shortest_s - 1e-6)

    @virtual_time.in_virtual_time
    async def test_refusing_target(self):
        """Guards against a flood of connections that are refused at once."""
        site = _Site()
        site.former.result_by_path[names.RELEASE_PATH] = key_calls.REFUSED
        site.add(_holds(RANGES))
        await asyncio.sleep(10.0)
        self.assertLessEqual(
            len(site.calls.begun), 10.0 / former_owners.REFUSED_RETRY_S + 1
        )


class ExclusionTest(unittest.TestCase):
    async def _check_released(self, site, holds):
        """Check that just these holds are left and are released."""
        self.assertEqual(site.holds(), tuple(holds))
        site.calls.begun.clear()
        await asyncio.sleep(1.0)
        released = {(call.first, call.last) for call in site.calls.begun}
        self.assertEqual(released, {(hold.first, hold.last) for hold in holds})

    @virtual_time.in_virtual_time
    async def test_next_life_owns_keys_again(self):
        """Guards against an owner whose keys are released while it owns them.

        It is the next life of the former owner, and listens elsewhere.
        """
        site = _Site()
        address = model.Address('10.0.0.9', 9)
        entry = site.former.entry._replace(incarnation=2, address=address)
        site.targets.put(entry)
        site.add()
        await asyncio.sleep(0.5)
        site.unsettled.exclude_owned('book', _owned(3, 5))
        left = [HOLD._replace(last=2), HOLD._replace(first=6)]
        await self._check_released(site, left)
        self.assertEqual(
            {call.address for call in site.calls.begun}, {address}
        )

    @virtual_time.in_virtual_time
    async def test_former_owner_owns_all_keys_again(self):
        """Guards against an owner whose keys are released while it owns them.

        They came back to the former owner itself, or are to.
        """
        for moving in (False, True):
            with self.subTest(moving=moving):
                site = _Site()
                site.add()
                await asyncio.sleep(0.5)
                owned = _owned(0, 99, incarnation=1)._replace(moving=moving)
                site.unsettled.exclude_owned('book', owned)
                await self._check_released(site, [])

    @virtual_time.in_virtual_time
    async def test_target_at_the_same_address(self):
        """Guards against a release that reaches another target.

        That one has the address of the former owner now, and owns the keys.
        """
        site = _Site()
        site.address_by_holder['i-3/7'] = site.former.entry.address
        site.add()
        site.unsettled.exclude_owned('book', _owned(0, 4, 'i-3', 7))
        await self._check_released(site, [HOLD._replace(first=5)])

    @virtual_time.in_virtual_time
    async def test_keys_of_other_targets(self):
        """Guards against holds that are forgotten as the keys moved on."""
        site = _Site()
        site.add()
        site.unsettled.exclude_owned('book', _owned(0, 99, 'i-2', 1))
        await self._check_released(site, [HOLD])

    @virtual_time.in_virtual_time
    async def test_keys_of_another_service(self):
        """Guards against holds that are forgotten for equal key numbers."""
        site = _Site()
        site.add()
        site.unsettled.exclude_owned('desk', _owned(0, 99))
        await self._check_released(site, [HOLD])
        self.assertEqual(site.unsettled.holds('desk'), ())

    @virtual_time.in_virtual_time
    async def test_release_that_is_in_progress(self):
        """Guards against a release that is sent for keys just excluded.

        It waited for its turn in a batch.
        """
        site = _Site()
        holds = _holds(RANGES)
        site.former.response_s = 0.05
        site.add(holds)
        await asyncio.sleep(0.08)
        excluded = holds[unsettled_holds.MAX_CONCURRENT :]
        last = excluded[-1].last
        site.calls.begun.clear()
        site.unsettled.exclude_owned('book', _owned(excluded[0].first, last))
        await asyncio.sleep(1.0)
        self.assertLess(
            max(call.last for call in site.calls.begun), excluded[0].first
        )

    @virtual_time.in_virtual_time
    async def test_time_is_kept(self):
        """Guards against holds that last for ever as keys come back."""
        site = _Site()
        site.add()
        added_at = clock.now()
        for last in range(5):
            await asyncio.sleep(2.0)
            site.unsettled.exclude_owned('book', _owned(0, last))
        settled_at = await site.settled_at()
        self.assertLess(
            settled_at,
            added_at
            + hold_times.LATE_GRANT_S
            + unsettled_holds.LATER_INTERVAL_S
            + CALLS_S,
        )


class FaultTest(unittest.TestCase):
    def _fail(self, site, error):
        async def fail(*_):
            await asyncio.sleep(0.001)
            raise error

        patch = mock.patch.object(
            site.calls, 'release', mock.AsyncMock(side_effect=fail)
        )
        self.addCleanup(patch.stop)
        return patch.start(), patch

    @virtual_time.in_virtual_time
    async def test_fault_of_the_program(self):
        """Guards against holds that nobody releases after a fault."""
        site = _Site()
        error = RuntimeError('fault')
        release, patch = self._fail(site, error)
        site.add()
        begun_at = clock.now()
        await asyncio.sleep(3.5 * unsettled_holds.FAULT_PAUSE_S)
        self.assertEqual(release.call_count, 4)
        site.events.settling_failed.assert_called_with(HOLDER, error)
        self.assertEqual(site.events.settling_failed.call_count, 4)
        self.assertEqual(site.holds(), (HOLD,))
        patch.stop()
        called_at = await site.first_call_after(begun_at)
        self.assertLess(
            called_at - begun_at, 4 * unsettled_holds.FAULT_PAUSE_S + CALLS_S
        )
        await site.settled_at()
        self.assertEqual(site.reasons(), [ownership_events.RELEASED])

    @virtual_time.in_virtual_time
    async def test_holds_cleared_after_a_fault(self):
        """Guards against holds of a former lease that come back."""
        site = _Site()
        release, _ = self._fail(site, RuntimeError('fault'))
        site.add()
        await asyncio.sleep(CALLS_S)
        site.unsettled.clear()
        await asyncio.sleep(3 * unsettled_holds.FAULT_PAUSE_S)
        self.assertEqual(release.call_count, 1)
        self.assertEqual(site.holds(), ())

    @virtual_time.in_virtual_time
    async def test_stop_after_a_fault(self):
        """Guards against releases that are sent after a stop."""
        site = _Site()
        release, _ = self._fail(site, RuntimeError('fault'))
        site.add()
        await asyncio.sleep(CALLS_S)
        site.unsettled.stop()
        await asyncio.sleep(3 * unsettled_holds.FAULT_PAUSE_S)
        self.assertEqual(release.call_count, 1)


class LeaseTest(unittest.TestCase):
    @virtual_time.in_virtual_time
    async def test_stop_and_start(self):
        """Guards against a host that releases keys while it does not lead.

        Nor does it forget the holds if it leads again.
        """
        site = _Site()
        site.add()
        await asyncio.sleep(0.5)
        site.unsettled.stop()
        begun = len(site.calls.begun)
        await asyncio.sleep(2 * hold_times.LATE_GRANT_S)
        self.assertEqual(len(site.calls.begun), begun)
        self.assertEqual(site.holds(), (HOLD,))
        site.unsettled.start()
        await asyncio.sleep(0.5)
        self.assertGreater(len(site.calls.begun), begun)
        await site.settled_at()
        self.assertEqual(site.reasons(), [ownership_events.RELEASED])

    @virtual_time.in_virtual_time
    async def test_lease_that_ends(self):
        """Guards against holds that are forgotten as the lease has ended."""
        site = _Site()
        site.add()
        await asyncio.sleep(0.5)
        site.lease.is_held = False
        await asyncio.sleep(1.0)
        begun = len(site.calls.begun)
        await asyncio.sleep(2 * hold_times.LATE_GRANT_S)
        self.assertEqual(len(site.calls.begun), begun)
        self.assertEqual(site.holds(), (HOLD,))
        self.assertEqual(site.reasons(), [])
        site.lease.is_held = True
        site.unsettled.start()
        await asyncio.sleep(0.5)
        self.assertGreater(len(site.calls.begun), begun)

    @virtual_time.in_virtual_time
    async def test_clear(self):
        """Guards against holds of a former lease that are released again."""
        site = _Site()
        site.add()
        await asyncio.sleep(0.5)
        site.unsettled.clear()
        begun = len(site.calls.begun)
        await asyncio.sleep(1.0)
        self.assertEqual(len(site.calls.begun), begun)
        self.assertEqual(site.holds(), ())
        site.unsettled.start()
        await asyncio.sleep(1.0)
        self.assertEqual(len(site.calls.begun), begun)


if __name__ == '__main__':
    unittest.main()
