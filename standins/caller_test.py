"""Tests of the callers against a simple entry host."""

import collections
import contextlib
import json
import unittest

from standins import caller
from standins import http_server


def make_response(call, **changes):
    content = {
        'request_id': call.headers['x-request-id'],
        'key': call.path[2],
        **changes,
    }
    body = json.dumps(content).encode()
    if call.headers.get('x-echo'):
        body = call.body
    headers = (
        ('X-Outcome', 'served'),
        ('X-Result-Code', '100'),
        ('X-Request-Id', call.headers['x-request-id']),
    )
    return http_server.Response(200, headers, body)


class CallerTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def host(self, handler):
        return self.stack.enter_context(
            http_server.running(handler, lambda: None)
        )

    def test_plan_follows_its_seed_and_mix(self):
        """Guards against runs that cannot be repeated."""
        plan = caller.plan_calls(
            7,
            2000,
            ['a', 'b'],
            weight_by_rank={'urgent': 3, 'bulk': 1},
            repeatable_ratio=0.25,
        )
        self.assertEqual(
            plan,
            caller.plan_calls(
                7,
                2000,
                ['a', 'b'],
                weight_by_rank={'urgent': 3, 'bulk': 1},
                repeatable_ratio=0.25,
            ),
        )
        ranks = collections.Counter(each.rank for each in plan)
        self.assertAlmostEqual(1500, ranks['urgent'], delta=100)
        self.assertEqual(2000, ranks['urgent'] + ranks['bulk'])
        repeatable = sum(each.repeatable for each in plan)
        self.assertAlmostEqual(500, repeatable, delta=100)
        self.assertEqual(2000, len({each.id_suffix for each in plan}))

    def test_every_call_has_its_own_response(self):
        """Guards against swapped responses that go unnoticed."""
        hosts = [self.host(make_response) for _ in range(3)]
        plan = caller.plan_calls(1, 200, ['a'], body_bytes=64)
        results = caller.send_calls(hosts, plan)
        self.assertEqual(plan, tuple(each.call for each in results))
        self.assertEqual(set(hosts), {each.entry_host for each in results})
        for each in results:
            self.assertEqual(('served', 100), (each.outcome, each.code))
            expected = None if each.call.method == 'HEAD' else True
            self.assertIs(expected, each.response_matches)

    def test_response_to_another_request_is_detected(self):
        """Guards against a check that accepts any body."""
        host = self.host(lambda call: make_response(call, request_id='other'))
        plan = caller.plan_calls(1, 20, ['a'], repeatable_ratio=0)
        results = caller.send_calls([host], plan)
        self.assertEqual({False}, {each.response_matches for each in results})

    def test_next_host_is_tried_after_a_failure(self):
        """Guards against a retry under a new request id."""
        ids = []

        def drop(call):
            ids.append(call.headers['x-request-id'])
            raise http_server.DropConnection

        hosts = [self.host(drop), self.host(make_response)]
        call = caller.plan_calls(1, 1, ['a'], repeatable_ratio=0)[0]
        call = call._replace(entry=0)
        (result,) = caller.send_calls(hosts, [call], attempts=2)
        self.assertEqual((2, 200), (result.attempts, result.status))
        self.assertEqual([result.request_id], ids)
        (result,) = caller.send_calls(hosts, [call])
        self.assertEqual((1, 0), (result.attempts, result.status))
        self.assertIn('ProtocolError', result.error)
