"""Tests of retries."""

import unittest

from amaranthcrank.core import codes
from amaranthcrank.dispatch import retries


def _random_half():
    return 0.5


def _failure(kind, retry_after_s=0.0, code=codes.OUTCOME_UNKNOWN):
    return retries.Failure(kind, code, retry_after_s)


def _next(failure, repeatable=True, deadline_at=5.0, attempt=1, budget=None):
    return retries.next_attempt(
        repeatable,
        failure,
        0.0,
        deadline_at,
        attempt,
        budget or retries.open_budget(),
        0.01,
        _random_half,
    )


class RetriesTest(unittest.TestCase):
    """Whether and when to retry."""

    def test_only_repeatable_work_is_retried_after_it_may_have_run(self):
        """Work that is not repeatable must not run twice."""
        for repeatable, kind, expected in (
            (True, retries.MAYBE_RAN, True),
            (False, retries.MAYBE_RAN, False),
            (False, retries.NOT_RUN, True),
            (False, retries.NOT_SENT, True),
        ):
            decision = _next(_failure(kind), repeatable)
            self.assertEqual(expected, decision.retry)

    def test_refusal_after_a_lost_response_stays_unknown(self):
        """A refused retry must not hide an earlier possible run."""
        lost = _failure(retries.MAYBE_RAN)
        shed = _failure(retries.NOT_RUN, 0.2, codes.UPSTREAM_REFUSED)
        combined = retries.combine_failures(lost, shed)
        self.assertEqual(retries.MAYBE_RAN, combined.kind)
        self.assertEqual(codes.OUTCOME_UNKNOWN, combined.code)
        self.assertEqual(0.2, combined.retry_after_s)
        self.assertEqual(lost, retries.combine_failures(shed, lost))
        self.assertEqual(shed, retries.combine_failures(None, shed))

    def test_no_retry_past_the_deadline(self):
        """An attempt that cannot finish in time would waste a slot."""
        failure = _failure(retries.NOT_RUN, retry_after_s=1.0)
        self.assertEqual(1.0, _next(failure).at)
        self.assertTrue(_next(failure, deadline_at=1.01).retry)
        self.assertFalse(_next(failure, deadline_at=1.0).retry)

    def test_budget(self):
        """Retries are limited to the burst plus a tenth of the requests."""
        budget = retries.open_budget()
        failure = _failure(retries.NOT_RUN)
        retried = 0
        for _ in range(1_000):
            retries.record_request(budget)
            while _next(failure, budget=budget).retry:
                retried += 1
        self.assertIn(retried, range(105, 112))

    def test_backoff_grows_to_its_cap(self):
        """Backoff must spread out retries that would be simultaneous."""
        waits = [
            retries.backoff_s(attempt, _random_half)
            for attempt in range(1, 40)
        ]
        self.assertEqual(sorted(waits), waits)
        self.assertEqual(retries.BACKOFF_CAP_S / 2, waits[-1])
        self.assertFalse(
            _next(
                _failure(retries.NOT_RUN), attempt=retries.MAX_ATTEMPTS
            ).retry
        )
