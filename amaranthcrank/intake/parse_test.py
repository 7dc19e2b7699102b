"""Tests of intake.parse."""

import unittest

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.intake import parse

NOW_MS = 1_800_000_000_000
ID = f'{NOW_MS}-abcdefgh'


def _parse(method='GET', path='/v1/soaklog/k', query='', body=b'', **headers):
    by_name = {
        name.replace('_', '-'): value for name, value in headers.items()
    }
    return parse.parse_request(
        method,
        path,
        query,
        by_name,
        body,
        '10.0.0.1',
        NOW_MS,
        f'{NOW_MS}-fresh000',
        {'soaklog'},
    )


def _codes(**kwargs):
    request, problems = _parse(**kwargs)
    assert (request is None) == bool(problems)
    return [each.code for each in problems]


class ParseTest(unittest.TestCase):
    def test_defaults(self):
        request, problems = _parse()
        self.assertEqual((), problems)
        self.assertEqual(f'{NOW_MS}-fresh000', request.request_id)
        self.assertTrue(request.repeatable)
        self.assertEqual(
            (model.NORMAL, 5000, '10.0.0.1'),
            (request.rank, request.deadline_ms, request.caller),
        )

    def test_key_is_decoded_once(self):
        """Guards against %2F splitting a key and %252F decoded to a slash."""
        for raw, key in (
            ('a%2Fb', 'a/b'),
            ('a%252Fb', 'a%2Fb'),
            ('%E0%A4%95', '\u0915'),
            ('..', '..'),
            ('a+b', 'a+b'),
            ('%41' * 512, 'A' * 512),
        ):
            request, problems = _parse(path=f'/v1/soaklog/{raw}')
            self.assertEqual(((), key), (problems, request.key))

    def test_each_invalid_input_has_its_code(self):
        for code, kwargs in (
            (codes.BAD_PATH, {'path': '/v2/soaklog/k'}),
            (codes.BAD_PATH, {'path': '/v1/soaklog/a/b'}),
            (codes.UNKNOWN_SERVICE, {'path': '/v1/other/k'}),
            (codes.MISSING_KEY, {'path': '/v1/soaklog/'}),
            (codes.MISSING_KEY, {'path': '/v1/soaklog'}),
            (codes.KEY_TOO_LONG, {'path': '/v1/soaklog/' + 'k' * 513}),
            (codes.BAD_KEY, {'path': '/v1/soaklog/%ff'}),
            (codes.BAD_KEY, {'path': '/v1/soaklog/%zz'}),
            (codes.BAD_QUERY, {'query': 'a b'}),
            (codes.BAD_RANK, {'x_request_rank': 'Urgent'}),
            (codes.BAD_DEADLINE, {'x_request_deadline_ms': '0'}),
            (codes.BAD_DEADLINE, {'x_request_deadline_ms': '60001'}),
            (codes.BAD_DEADLINE, {'x_request_deadline_ms': '\u0663'}),
            (codes.MISSING_ID, {'method': 'POST'}),
            (codes.MISSING_ID, {'x_request_repeatable': 'false'}),
            (codes.BAD_ID, {'x_request_id': 'x'}),
            (codes.BAD_ID, {'x_request_id': f'{NOW_MS}-short'}),
            (codes.ID_AHEAD, {'x_request_id': f'{NOW_MS + 1001}-abcdefgh'}),
            (codes.BAD_REPEATABLE, {'x_request_repeatable': 'yes'}),
            (codes.BODY_TOO_LARGE, {'body': b'x' * (2**20 + 1)}),
            (codes.BAD_METHOD, {'method': 'TRACE'}),
            (codes.BAD_CALLER_ID, {'x_caller_id': 'c' * 129}),
            (codes.BAD_HEADER, {'x_other': 'a\rb'}),
            (codes.HEADERS_TOO_LARGE, {'x_other': 'a' * 20000}),
        ):
            with self.subTest(code=code.name):
                kwargs.setdefault('method', 'GET')
                self.assertIn(code, _codes(**kwargs))

    def test_all_problems_are_collected(self):
        found = _codes(
            path='/v1/other/%zz', x_request_rank='x', x_request_id='y'
        )
        self.assertEqual(
            [
                codes.UNKNOWN_SERVICE,
                codes.BAD_KEY,
                codes.BAD_RANK,
                codes.BAD_ID,
            ],
            found,
        )

    def test_headers_that_are_not_forwarded(self):
        """Guards against a caller that forges a fence or a grant."""
        request, _ = _parse(
            connection='close, X-Named',
            x_named='1',
            x_fence='9',
            x_grant_incarnation='i',
            te='trailers',
            accept='text/plain',
        )
        self.assertEqual((('accept', 'text/plain'),), request.headers)

    def test_malformed_traceparent_is_ignored(self):
        well_formed = f'00-{"a" * 32}-{"b" * 16}-01'
        self.assertEqual(
            well_formed, _parse(traceparent=well_formed)[0].traceparent
        )
        self.assertEqual('', _parse(traceparent='00-x')[0].traceparent)
