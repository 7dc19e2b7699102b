import unittest

from amaranthcrank.router import hedge_rules
from amaranthcrank.router import retry_rules

LATE = hedge_rules.LateAttempt(
    service='desk',
    now=5.0,
    deadline_at=7.0,
    typical_s=0.1,
    send_count=1,
    max_attempts=2,
    crash_count=0,
    waiting=0,
)


def _limits(ratio=0.05, requests=100, late=()):
    limits = hedge_rules.HedgeLimits(ratio)
    for number in range(requests):
        limits.record_request('desk', 4.0)
        limits.record_attempt('desk', number in late, 4.0)
    return limits


class DelayTest(unittest.TestCase):
    def test_unknown_quantile_gives_no_delay(self):
        self.assertIsNone(hedge_rules.delay_s(None, 1.0))

    def test_known_slowness_delays_the_hedge(self):
        # Each request of a target that is known to be slow would be hedged.
        # Its slowness is an average, so that some of them take longer.
        for slowness in (2.0, 3.0, 10.0):
            delay_s = hedge_rules.delay_s(0.2, slowness)
            self.assertGreater(delay_s, 0.2 * slowness * 1.2)

    def test_fast_target_is_not_hedged_early(self):
        # The quantile of the route is the least delay.
        self.assertAlmostEqual(hedge_rules.delay_s(0.2, 0.4), 0.21)

    def test_constant_service_times(self):
        # Most attempts would be late by less than the rounding of the
        # quantile or a turn of the event loop.
        for quantile_s in (0.001, 0.1, 0.25):
            delay_s = hedge_rules.delay_s(quantile_s, 1.0)
            self.assertGreater(delay_s, quantile_s * 1.02 + 0.004)


class PreferenceTest(unittest.TestCase):
    def test_only_a_valid_response_ends_the_other_attempt(self):
        # A hedge that fails must not replace a first attempt that succeeds.
        for status in (200, 204, 404):
            self.assertTrue(hedge_rules.is_final(status, ''))
        for status in (408, 421, 429, 500, 503, 504, 0):
            self.assertFalse(hedge_rules.is_final(status, ''))
        self.assertFalse(hedge_rules.is_final(200, 'no signature'))

    def test_order_of_results(self):
        # Of two results the one that is better for the caller goes on. Among
        # failures it is the one to which the stricter rules for retries apply.
        results = [
            (200, '', retry_rules.MAYBE_RUN),
            (504, '', retry_rules.MAYBE_RUN),
            (500, 'failed (500)', retry_rules.MAYBE_RUN),
            (0, 'connection lost', retry_rules.MAYBE_RUN),
            (0, 'not run (503)', retry_rules.NOT_RUN),
            (0, 'connecting failed', retry_rules.NOT_SENT),
        ]
        order = [hedge_rules.preference(*result) for result in results]
        self.assertEqual(order, sorted(set(order)))


class RefusalTest(unittest.TestCase):
    def test_late_request_is_hedged(self):
        self.assertEqual(_limits().refusal(LATE), '')

    def test_reasons_of_the_request(self):
        # Each of these hedges would add load without use, or break a limit.
        cases = {
            hedge_rules.ATTEMPTS: LATE._replace(send_count=2),
            hedge_rules.CRASHES: LATE._replace(crash_count=1),
            hedge_rules.DEADLINE: LATE._replace(deadline_at=5.05),
            hedge_rules.WAITING: LATE._replace(waiting=1),
        }
        for reason, late in cases.items():
            with self.subTest(reason=reason):
                self.assertEqual(_limits().refusal(late), reason)

    def test_few_late_attempts_are_usual(self):
        # By definition of the quantile one in twenty is late.
        self.assertEqual(_limits(late=(94, 99)).refusal(LATE), '')

    def test_all_slow_at_once(self):
        # All targets stall: second attempts would double the load.
        limits = _limits(late=(97, 98, 99))
        self.assertEqual(limits.refusal(LATE), hedge_rules.SERVICE_SLOW)

    def test_only_late_attempts_are_known(self):
        # The host has just learned the quantile, and all are slow.
        limits = _limits(requests=0)
        for _ in range(100):
            limits.record_request('desk', 4.0)
        limits.record_attempt('desk', True, 5.0)
        self.assertEqual(limits.refusal(LATE), hedge_rules.SERVICE_SLOW)

    def test_services_do_not_share(self):
        # A slow service, or one without requests, must not lend its limits.
        limits = _limits()
        late = LATE._replace(service='files')
        self.assertEqual(limits.refusal(late), hedge_rules.RATIO)

    def test_ratio_is_kept_in_the_window(self):
        # The operator's limit holds when many requests are late.
        limits = _limits(ratio=0.05, requests=100)
        sent = 0
        for _ in range(50):
            if not limits.refusal(LATE):
                limits.record_hedge('desk', LATE.now)
                sent += 1
        self.assertEqual(sent, 5)
        self.assertEqual(limits.refusal(LATE), hedge_rules.RATIO)

    def test_idle_time_earns_no_hedges(self):
        # Requests of a busy hour ago must not allow hedges now.
        limits = _limits()
        late = LATE._replace(now=100.0, deadline_at=102.0)
        self.assertEqual(limits.refusal(late), hedge_rules.RATIO)
