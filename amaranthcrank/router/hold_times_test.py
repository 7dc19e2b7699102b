import unittest
from unittest import mock

from amaranthcrank.router import clock
from amaranthcrank.router import hold_times

HOLDER = 'i-1/1'
HOLD_S = 6.0
LONGEST_HOLD_S = 10.0
START_S = 1000.0
# Just before a moment.
INSTANT_S = 0.001


def _expiry(arrives_at, hold_s=HOLD_S):
    return arrives_at + hold_s * hold_times.CLOCK_RATE_FACTOR


class HoldTimesTest(unittest.TestCase):
    def setUp(self):
        self.now = START_S
        patch = mock.patch.object(clock, 'now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.times = hold_times.HoldTimes()

    def _send(self, hold_s=HOLD_S):
        grant = self.times.begin(HOLDER, hold_s)
        grant.record_sent()
        return grant

    def test_no_grant(self):
        """Guards against moves that wait although nothing was granted."""
        self.assertFalse(self.times.may_hold(HOLDER))
        self.assertFalse(self.times.may_take_effect_late(HOLDER))
        self.assertTrue(self.times.has_no_pending_grant(HOLDER))
        self.assertFalse(self.times.has_unknown_grants)

    def test_grant_that_waits_for_a_connection(self):
        """Guards against keys that move while a grant is about to be sent."""
        self.times.begin(HOLDER, HOLD_S)
        self.assertTrue(self.times.may_hold(HOLDER))
        self.assertTrue(self.times.may_take_effect_late(HOLDER))
        self.assertFalse(self.times.has_no_pending_grant(HOLDER))

    def test_time_counts_from_the_sending(self):
        """Guards against a hold that outlives its end, as connecting took."""
        grant = self.times.begin(HOLDER, HOLD_S)
        end = self.times.hold_end(HOLDER)
        self.now += 0.9
        grant.record_sent()
        expiry = _expiry(self.now + hold_times.TRANSIT_S)
        self.assertAlmostEqual(end(), expiry)
        self.assertAlmostEqual(self.times.held_until(HOLDER), expiry)

    def test_response(self):
        """Guards against an owner that is fenced off without a reason."""
        grant = self._send()
        self.now += 0.3
        self.times.finish(HOLDER, grant, True)
        self.assertAlmostEqual(
            self.times.held_until(HOLDER),
            _expiry(self.now + hold_times.MARGIN_S),
        )
        self.assertFalse(self.times.may_take_effect_late(HOLDER))
        self.assertTrue(self.times.has_no_pending_grant(HOLDER))

    def test_hold_of_a_grant_without_a_response(self):
        """Guards against keys that move before their owner's hold has ended.

        Nor do they stay without an owner for as long as the grant may wait.
        """
        grant = self._send()
        expiry = _expiry(self.now + hold_times.TRANSIT_S)
        self.now += 0.8
        self.times.finish(HOLDER, grant, False)
        self.now = expiry - INSTANT_S
        self.assertTrue(self.times.may_hold(HOLDER))
        self.assertFalse(self.times.has_no_pending_grant(HOLDER))
        self.now = expiry + INSTANT_S
        self.assertFalse(self.times.may_hold(HOLDER))
        self.assertTrue(self.times.has_no_pending_grant(HOLDER))

    def test_grant_without_a_response_is_remembered(self):
        """Guards against two owners when a stopped owner goes on.

        The grant that waited at it was forgotten once its hold had ended.
        """
        grant = self._send()
        late_until = self.now + hold_times.LATE_GRANT_S
        self.now += 0.8
        self.times.finish(HOLDER, grant, False)
        self.now = late_until - INSTANT_S
        self.assertTrue(self.times.may_take_effect_late(HOLDER))
        self.now = late_until + INSTANT_S
        self.assertFalse(self.times.may_take_effect_late(HOLDER))

    def test_later_response_does_not_settle_an_earlier_grant(self):
        """Guards against a grant that is forgotten as a later one arrived."""
        lost = self._send()
        self.times.finish(HOLDER, lost, False)
        self.now += 2.0
        answered = self._send()
        self.times.finish(HOLDER, answered, True)
        self.assertTrue(self.times.may_take_effect_late(HOLDER))
        self.assertFalse(self.times.has_no_pending_grant(HOLDER))

    def test_later_response_after_the_hold_has_ended(self):
        """Guards against a grant that is forgotten while it may still wait.

        Its hold had ended when a renewal was answered.
        """
        self.times.finish(HOLDER, self._send(), False)
        self.now += 2 * HOLD_S
        self.times.finish(HOLDER, self._send(), True)
        self.assertTrue(self.times.may_take_effect_late(HOLDER))
        self.assertTrue(self.times.has_no_pending_grant(HOLDER))

    def test_responses_in_another_order(self):
        """Guards against a later grant that is forgotten with an earlier one.

        The earlier one is answered after the later one was sent.
        """
        earlier = self._send()
        self._send()
        self.times.finish(HOLDER, earlier, True)
        self.assertTrue(self.times.may_take_effect_late(HOLDER))
        self.assertFalse(self.times.has_no_pending_grant(HOLDER))

    def test_grant_that_was_not_sent(self):
        """Guards against keys without an owner after a withheld grant."""
        for has_response in (False, True):
            with self.subTest(has_response=has_response):
                grant = self.times.begin(HOLDER, HOLD_S)
                end = self.times.hold_end(HOLDER)
                self.times.finish(HOLDER, grant, has_response)
                self.assertLess(end(), self.now)
                self.assertFalse(self.times.may_hold(HOLDER))
                self.assertFalse(self.times.may_take_effect_late(HOLDER))
                self.assertTrue(self.times.has_no_pending_grant(HOLDER))

    def test_shorter_grant_after_a_longer_one(self):
        """Guards against two owners, as a renewal shortens no hold."""
        longer = self._send(LONGEST_HOLD_S)
        self.times.finish(HOLDER, longer, True)
        expiry = self.times.held_until(HOLDER)
        self.times.finish(HOLDER, self._send(1.0), True)
        self.assertEqual(self.times.held_until(HOLDER), expiry)

    def test_other_holder(self):
        """Guards against moves that wait for the grants of other targets."""
        self._send()
        self.assertFalse(self.times.may_hold('i-2/1'))
        self.assertFalse(self.times.may_take_effect_late('i-2/1'))
        self.assertTrue(self.times.has_no_pending_grant('i-2/1'))

    def test_hold_end_ignores_later_grants(self):
        """Guards against a move that never ends.

        The former owner is renewed for its other keys all the while.
        """
        self.times.finish(HOLDER, self._send(), True)
        end = self.times.hold_end(HOLDER)
        expiry = end()
        self.now += 2.0
        later = self._send()
        self.assertEqual(end(), expiry)
        self.times.finish(HOLDER, later, True)
        self.assertEqual(end(), expiry)
        self.assertGreater(self.times.held_until(HOLDER), expiry)

    def test_hold_end_follows_a_response(self):
        """Guards against a hold that is taken to end before it does."""
        grant = self._send()
        end = self.times.hold_end(HOLDER)
        self.now += 0.1
        self.times.finish(HOLDER, grant, True)
        expiry = _expiry(self.now + hold_times.MARGIN_S)
        self.assertAlmostEqual(end(), expiry)
        late = self._send()
        end = self.times.hold_end(HOLDER)
        self.now += hold_times.TRANSIT_S
        self.times.finish(HOLDER, late, True)
        expiry = _expiry(self.now + hold_times.MARGIN_S)
        self.assertAlmostEqual(end(), expiry)


class PriorGrantsTest(unittest.TestCase):
    def setUp(self):
        self.now = START_S
        patch = mock.patch.object(clock, 'now', lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.times = hold_times.HoldTimes()
        self.expiry = _expiry(START_S + hold_times.TRANSIT_S, LONGEST_HOLD_S)

    def test_any_holder_may_hold_keys(self):
        """Guards against two owners after a change of the controller."""
        self.times.assume_prior_grants(LONGEST_HOLD_S)
        end = self.times.hold_end(HOLDER)
        self.assertAlmostEqual(end(), self.expiry)
        self.now = self.expiry - INSTANT_S
        self.assertTrue(self.times.has_unknown_grants)
        self.assertTrue(self.times.may_hold(HOLDER))
        self.now = self.expiry + INSTANT_S
        self.assertFalse(self.times.has_unknown_grants)
        self.assertFalse(self.times.may_hold(HOLDER))

    def test_any_holder_may_take_a_grant_late(self):
        """Guards against a next controller that forgets what waits."""
        self.times.assume_prior_grants(LONGEST_HOLD_S)
        self.now = START_S + hold_times.LATE_GRANT_S - INSTANT_S
        self.assertTrue(self.times.may_take_effect_late(HOLDER))
        self.now = START_S + hold_times.LATE_GRANT_S + INSTANT_S
        self.assertFalse(self.times.may_take_effect_late(HOLDER))

    def test_response_does_not_settle_prior_grants(self):
        """Guards against trust in a new grant that was answered.

        Those of the former controller may still wait.
        """
        self.times.assume_prior_grants(LONGEST_HOLD_S)
        grant = self.times.begin(HOLDER, 1.0)
        grant.record_sent()
        self.times.finish(HOLDER, grant, True)
        self.assertTrue(self.times.may_take_effect_late(HOLDER))
        self.assertAlmostEqual(self.times.held_until(HOLDER), self.expiry)

    def test_own_grants_of_an_earlier_lease(self):
        """Guards against moves that wait for grants twice.

        The longest grants that are assumed cover them.
        """
        lost = self.times.begin(HOLDER, LONGEST_HOLD_S)
        lost.record_sent()
        answered = self.times.begin(HOLDER, LONGEST_HOLD_S)
        answered.record_sent()
        self.times.finish(HOLDER, answered, True)
        self.times.assume_prior_grants(LONGEST_HOLD_S)
        self.assertTrue(self.times.has_no_pending_grant(HOLDER))
        self.assertAlmostEqual(self.times.held_until(HOLDER), self.expiry)
        # Its response comes after the lease was taken again.
        self.times.finish(HOLDER, lost, False)
        self.now = START_S + hold_times.LATE_GRANT_S + INSTANT_S
        self.assertFalse(self.times.may_take_effect_late(HOLDER))


if __name__ == '__main__':
    unittest.main()
