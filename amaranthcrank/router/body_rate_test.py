import unittest

from amaranthcrank.router import body_rate

RULE = body_rate.RateRule()
CHECK_INTERVAL_S = 0.5
IDLE_TIMEOUT_S = 15.0
LINK_BYTES_PER_S = 5_000_000 / 8


def _first_too_slow(sizes, interval_s, rule=RULE):
    """Return when a body with data at an interval is found too slow."""
    rate = body_rate.BodyRate()
    rate.restart(0.0)
    checked_at = 0.0
    for number, size in enumerate(sizes, 1):
        while checked_at + CHECK_INTERVAL_S < number * interval_s:
            checked_at += CHECK_INTERVAL_S
            if rate.is_too_slow(checked_at, rule):
                return checked_at
        rate.add(size)
    return None


class BodyRateTest(unittest.TestCase):
    def test_slow_link_that_many_connections_share(self):
        """Guards against a refusal of callers on a link of 5 Mbit/s."""
        share = round(LINK_BYTES_PER_S / 500)
        self.assertIsNone(_first_too_slow([share] * 600, 1.0))

    def test_pauses_within_the_idle_timeout(self):
        """Guards against a refusal of callers that often pause.

        Each pause is almost an idle timeout; a segment of 16 KiB follows.
        """
        pause_s = IDLE_TIMEOUT_S - 0.1
        self.assertIsNone(_first_too_slow([16384] * 40, pause_s))

    def test_body_in_single_bytes_is_found(self):
        """Guards against a body that keeps its memory for days."""
        found_at = _first_too_slow([1] * 400, 1.0)
        self.assertEqual(found_at, RULE.period_s)

    def test_burst_does_not_count_for_later_periods(self):
        """Guards against a caller that sends much once, then trickles."""
        found_at = _first_too_slow([1_000_000] + [1] * 400, 1.0)
        self.assertEqual(found_at, 2 * RULE.period_s)

    def test_resumed_reading_begins_a_period(self):
        """Guards against a refusal for a time in which nothing was read."""
        rate = body_rate.BodyRate()
        rate.restart(0.0)
        rate.restart(100.0)
        self.assertFalse(rate.is_too_slow(100.5, RULE))

    def test_rate_of_zero_permits_all(self):
        """Guards against a rule that an operator cannot turn off."""
        rule = body_rate.RateRule(0.0, 60.0)
        self.assertIsNone(_first_too_slow([1] * 400, 1.0, rule))
