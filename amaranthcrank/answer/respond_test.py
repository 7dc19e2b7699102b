"""Tests of answer.respond."""

import json
import unittest

from amaranthcrank.answer import respond
from amaranthcrank.core import codes
from amaranthcrank.core import model


class RespondTest(unittest.TestCase):
    def test_served_keeps_status_headers_and_body(self):
        upstream = (('X-A', '1'), ('Set-Cookie', 'a'), ('Set-Cookie', 'b'))
        outcome = model.Outcome(codes.OK, 418, upstream, b'whole', 0, '')
        status, headers, body = respond.response_of(outcome, '1-abcdefgh')
        self.assertEqual(("418 I'm a Teapot", b'whole'), (status, body))
        self.assertEqual(upstream, tuple(headers[-3:]))
        self.assertIn(('X-Request-Id', '1-abcdefgh'), headers)

    def test_refusal_has_outcome_not_run_and_retry_after(self):
        outcome = model.refusal(codes.OVERLOADED, 'busy', 1001)
        status, headers, body = respond.response_of(outcome, '')
        self.assertEqual('503 Service Unavailable', status)
        self.assertIn(('Retry-After', '2'), headers)
        self.assertIn(('X-Outcome', 'not_run'), headers)
        self.assertEqual(
            {
                'code': 300,
                'name': 'OVERLOADED',
                'outcome': 'not_run',
                'detail': 'busy',
            },
            json.loads(body),
        )

    def test_upstream_cannot_set_reserved_headers_or_split_the_response(self):
        upstream = (
            ('X-Outcome', 'not_run'),
            ('x-result-code', '300'),
            ('Connection', 'close'),
            ('X-Split', 'a\r\nX-Outcome: not_run'),
        )
        outcome = model.Outcome(codes.OK, 200, upstream, b'', 0, '')
        headers = respond.response_of(outcome, '')[1]
        self.assertEqual(
            [('X-Result-Code', '100'), ('X-Outcome', 'served')], headers
        )

    def test_every_code_with_a_status_has_a_status_line(self):
        for code in codes.CODES:
            if code.http_status:
                line = respond.status_line(code.http_status)
                self.assertNotIn('Status', line, code.name)
