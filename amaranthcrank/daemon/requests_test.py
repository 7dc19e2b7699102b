import itertools
import types
import unittest
from unittest import mock

from amaranthcrank.admission import intake_limit
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.daemon import requests
from amaranthcrank.dispatch import retries
from standins import samples

OK = model.Outcome(codes.OK, 200, (), b'answer', 0, '')
NO_OWNER = model.refusal(codes.NO_OWNER)
OVERLOADED = model.refusal(codes.OVERLOADED)
UNKNOWN = model.refusal(codes.OUTCOME_UNKNOWN)


def _node(threads=8):
    view = types.SimpleNamespace(ticket=1)
    return requests.Node(
        'cell',
        None,
        types.SimpleNamespace(view=view),
        None,
        {},
        retries.open_budget(),
        itertools.count(1),
        None,
        intake_limit.open_limit(threads),
    )


def _request(repeatable=True):
    return samples.LOOKUP._replace(repeatable=repeatable)


class RetryTest(unittest.TestCase):
    def run_attempts(self, outcomes, repeatable=True):
        """Return the outcome and how many attempts were made."""
        left = list(outcomes)

        def try_once(*_):
            return left.pop(0)

        request = _request(repeatable)
        deadline_at = requests.time.monotonic() + 5.0
        with mock.patch.object(requests, '_try_once', new=try_once):
            with mock.patch.object(requests.time, 'sleep', autospec=True):
                outcome = requests._try_until_deadline(
                    _node(), request, deadline_at
                )
        return outcome, len(outcomes) - len(left)

    def test_transient_refusals_use_no_retries(self):
        """Guards against ending a repeatable request while a host is lost."""
        outcomes = (*[NO_OWNER] * 20, UNKNOWN, *[NO_OWNER] * 20, OK)
        self.assertEqual((OK, len(outcomes)), self.run_attempts(outcomes))

    def test_refused_retry_does_not_hide_an_unknown_attempt(self):
        """Guards against `not_run` for a request that may have run."""
        outcome, _ = self.run_attempts((UNKNOWN, OVERLOADED))
        self.assertEqual(UNKNOWN, outcome)

    def test_not_repeatable_request_is_sent_once(self):
        """Guards against a second send after an unknown outcome."""
        outcome, attempts = self.run_attempts((NO_OWNER, UNKNOWN, OK), False)
        self.assertEqual((UNKNOWN, 2), (outcome, attempts))

    def test_overload_is_returned_at_once(self):
        """Guards against retries that add to an overload."""
        self.assertEqual((OVERLOADED, 1), self.run_attempts((OVERLOADED, OK)))

    def test_rank_at_its_thread_limit_is_refused(self):
        """Guards against one rank that holds all request threads."""
        node = _node(1)
        intake_limit.acquire(node.intake, model.NORMAL)
        outcome = requests._admit(node, _request(), 0.0)
        self.assertEqual(codes.OVERLOADED, outcome.code)
