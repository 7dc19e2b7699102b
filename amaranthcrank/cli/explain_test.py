import json
import unittest

from amaranthcrank.cli import explain

ATTEMPT = ['i-1', 12, 1, 2, 1.1, 340, 'connection lost: closed']


def _line(at, event, host='h-1', **fields):
    return json.dumps({'t': at, 'host': host, 'event': event, **fields})


LINES = [
    _line(100.0, 'target_state', target='i-1', state='draining'),
    _line(100.1, 'target_state', target='i-2', state='draining'),
    _line(100.2, 'ticket_in_force', number=5),
    _line(100.2, 'ticket_in_force', host='h-2', number=5),
    '  99.9 h-1 ' + _line(101.0, 'refused', id='a1', ms=352, tries=[ATTEMPT]),
    _line(101.5, 'refused', id='a2', ms=3),
    'Traceback (most recent call last):',
]


class ExplainTest(unittest.TestCase):
    def test_request_with_relevant_state_changes(self):
        found = explain.explain(LINES, 'a1')
        self.assertEqual(
            [line['event'] for line in found.request_lines], ['refused']
        )
        targets = [line.get('target') for line in found.state_changes]
        self.assertEqual(targets, ['i-1', None])
        self.assertEqual(found.unreadable, 1)

    def test_text_shows_each_attempt(self):
        texts = explain.describe(explain.explain(LINES, 'a1'))
        self.assertTrue(any('try 1: waited 12 ms' in text for text in texts))

    def test_unknown_request(self):
        self.assertEqual(explain.explain(LINES, 'zz').request_lines, ())
