import random
import unittest

from amaranthcrank.router import retry_rules


class MayRetryTest(unittest.TestCase):
    def test_unsafe_request_that_may_have_run_is_not_retried(self):
        may = retry_rules.may_retry
        self.assertFalse(may(False, retry_rules.MAYBE_RUN, 1, 3))
        self.assertTrue(may(False, retry_rules.NOT_RUN, 1, 3))
        self.assertTrue(may(False, retry_rules.NOT_SENT, 0, 1))
        self.assertTrue(may(True, retry_rules.MAYBE_RUN, 1, 3))

    def test_attempts_are_bounded(self):
        self.assertFalse(
            retry_rules.may_retry(True, retry_rules.NOT_RUN, 2, 2)
        )

    def test_not_run_statuses_are_not_passed_through(self):
        # A target may return 503 without the not-run header after a run.
        for status in (408, 421, 429, 503):
            self.assertFalse(retry_rules.may_pass_through(status, False))
        self.assertTrue(retry_rules.may_pass_through(500, False))


class RetryBudgetTest(unittest.TestCase):
    def test_sum_over_uneven_hosts_keeps_the_allowance(self):
        # Connections are distributed unevenly over the hosts, a service fails,
        # and each host tries to retry every request.
        rng = random.Random(3)
        for hosts in (1, 9, 62, 88):
            budgets = [
                retry_rules.RetryBudget(0.2, 58.0, 10.0) for _ in range(hosts)
            ]
            for budget in budgets:
                budget.hosts = hosts
            retries = 0
            requests = 3000
            for number in range(requests):
                now = 10.0 * number / requests
                budget = budgets[int(hosts * rng.random() ** 3)]
                budget.record_request('desk', now)
                retries += budget.try_spend('desk', now)
            self.assertLessEqual(retries, 0.2 * requests + 58)
            self.assertGreater(retries, 0.1 * requests)

    def test_spent_retries_expire(self):
        budget = retry_rules.RetryBudget(0.2, 20.0, 10.0)
        self.assertTrue(budget.try_spend('desk', 0.0))
        self.assertFalse(budget.try_spend('desk', 1.0))
        self.assertTrue(budget.try_spend('desk', 10.5))

    def test_services_do_not_share(self):
        budget = retry_rules.RetryBudget(0.2, 20.0, 10.0)
        self.assertTrue(budget.try_spend('desk', 0.0))
        self.assertTrue(budget.try_spend('book', 0.0))


class RetryAfterTest(unittest.TestCase):
    def test_within_a_third_of_the_time_left(self):
        # Callers honour Retry-After only up to this limit.
        value = retry_rules.retry_after_s(5.0, 1.5, lambda: 0.99)
        self.assertLessEqual(value, 0.5)

    def test_retries_are_spread(self):
        # Callers that are refused together must not retry together.
        values = {
            retry_rules.retry_after_s(0.4, 9.0, lambda share=share: share)
            for share in (0.0, 0.3, 0.6, 0.9)
        }
        self.assertEqual(len(values), 4)
