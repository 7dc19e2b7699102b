"""Tests of the state that is derived from requests to a target."""

import unittest

from amaranthcrank.router import model
from amaranthcrank.router import target_state


class TargetTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        entry = model.TargetEntry(
            'i-1',
            'desk',
            model.Address('10.0.0.1', 1),
            'a',
            3,
            model.READY,
            0.0,
            1,
        )
        self.target = target_state.Target(entry, self.now)

    def test_pause_grows_and_ends_with_a_success(self):
        self.target.record_unreachable(self.now)
        first = self.target.paused_until - self.now
        self.target.record_unreachable(self.now)
        self.assertGreater(self.target.paused_until - self.now, first)
        self.target.record_success(0.1, 0.1, self.now)
        self.assertEqual(self.target.paused_until, 0.0)

    def test_overloaded_target_has_not_crashed(self):
        # Overloaded targets reset connections. This must not block a frequent
        # request.
        self.target.record_reset(b'one', self.now)
        self.now += target_state.CRASH_WINDOW_S + 0.1
        self.assertEqual(self.target.pop_recent_resets(self.now), [])

    def test_connection_refused_after_a_reset_is_a_crash(self):
        self.target.record_reset(b'one', self.now)
        self.assertEqual(
            self.target.pop_recent_resets(self.now + 0.3), [b'one']
        )
        self.assertEqual(self.target.pop_recent_resets(self.now + 0.3), [])

    def test_slow_route_does_not_make_a_target_slow(self):
        # Two routes with different service times: slowness is relative to the
        # typical time of the route.
        for _ in range(30):
            self.target.record_success(0.4, 0.4, self.now)
            self.target.record_success(0.1, 0.1, self.now)
        self.assertAlmostEqual(self.target.slowness, 1.0)

    def test_abandoned_requests_show_a_slow_target(self):
        # If its requests are always cancelled for faster targets, none of
        # them shows how slow it is.
        for _ in range(30):
            self.target.record_abandoned(0.4, 0.1, self.now)
        self.assertAlmostEqual(self.target.slowness, 4.0, delta=0.1)

    def test_abandoned_request_does_not_make_a_target_fast(self):
        # The time until the cancellation is only a lower bound.
        for _ in range(30):
            self.target.record_success(0.4, 0.1, self.now)
        slowness = self.target.slowness
        self.target.record_abandoned(0.2, 0.1, self.now)
        self.assertEqual(self.target.slowness, slowness)
