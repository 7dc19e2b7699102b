"""Tests that the checks of the soak report each kind of violation."""

import unittest

from soak import callers
from soak import checks
from soak import holds as key_holds
from soak import target

POST = callers.REQUEST_KINDS[1]
READ = callers.REQUEST_KINDS[0]


def _result(request_id, kind, status, **changes):
    result = callers.Result(
        request_id,
        kind,
        'host-0',
        1.0,
        status,
        status == 200,
        request_id,
        b'ran ' + request_id.encode(),
    )
    return result._replace(**changes)


def _hold(target_id, first, last, fence, since, until):
    return key_holds.Hold(target_id, 'book', first, last, fence, since, until)


class ChecksTest(unittest.TestCase):
    def check(self, results, runs=(), holds=()):
        typed_runs = [target.Run(*run) for run in runs]
        return checks.check(results, typed_runs, holds)

    def test_valid_results_pass(self):
        """Guards against violations reported for a correct run."""
        results = [_result('a-1', POST, 200), _result('a-2', POST, 503)]
        self.assertEqual(self.check(results, [('a-1', 'desk')]), ())

    def test_work_that_ran_twice(self):
        """Guards against a second run of a non-repeatable request."""
        runs = [('a-1', 'desk'), ('a-1', 'desk')]
        self.assertEqual(len(self.check([_result('a-1', POST, 200)], runs)), 1)
        self.assertEqual(self.check([_result('a-1', READ, 200)], runs), ())

    def test_refused_request_that_ran(self):
        """Guards against a refusal as not run of a request that ran."""
        results = [_result('a-1', POST, 503)]
        self.assertEqual(len(self.check(results, [('a-1', 'desk')])), 1)

    def test_swapped_and_unsigned_responses(self):
        """Guards against accepting a response that is swapped or unsigned."""
        swapped = _result('a-1', POST, 200, body=b'ran a-2')
        unsigned = _result('a-1', POST, 200, signed=False)
        for result in (swapped, unsigned):
            self.assertEqual(len(self.check([result], [('a-1', 'desk')])), 1)

    def test_run_at_another_service_or_of_an_unsent_request(self):
        """Guards against runs at the wrong service or without a request."""
        results = [_result('a-1', POST, 200)]
        self.assertEqual(len(self.check(results, [('a-1', 'book')])), 1)
        runs = [('a-1', 'desk'), ('x-9', 'desk')]
        self.assertEqual(len(self.check(results, runs)), 1)

    def test_two_owners(self):
        """Guards against holds of one key that overlap in time."""
        first = _hold('t-1', 0, 99, 1, 1.0, 5.0)
        self.assertEqual(
            len(
                key_holds.overlaps([first, _hold('t-2', 50, 60, 2, 4.0, 9.0)])
            ),
            1,
        )
        for other in (
            _hold('t-2', 100, 120, 2, 4.0, 9.0),
            _hold('t-2', 50, 60, 2, 5.0, 9.0),
            _hold('t-1', 0, 99, 1, 3.0, 8.0),
        ):
            self.assertEqual(key_holds.overlaps([first, other]), [])

    def test_fencing_token_that_does_not_increase(self):
        """Guards against a late call of the former owner undoing a move."""
        first = _hold('t-1', 0, 99, 3, 1.0, 2.0)
        later = _hold('t-2', 0, 9, 3, 4.0, 5.0)
        self.assertEqual(len(key_holds.stale_fences([first, later])), 1)
        self.assertEqual(
            key_holds.stale_fences([first, later._replace(fence=4)]), []
        )

    def test_release_ends_only_the_released_keys(self):
        """Guards against a partial release that ends the whole hold."""
        parts = key_holds.release(
            [_hold('t-1', 0, 99, 1, 1.0, 9.0)], 20, 29, 3
        )
        self.assertEqual(
            sorted((part.first, part.last, part.until) for part in parts),
            [(0, 19, 9.0), (20, 29, 3), (30, 99, 9.0)],
        )
