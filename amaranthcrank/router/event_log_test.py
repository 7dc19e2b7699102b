import json
import os
import unittest

from amaranthcrank.router import event_log


class EventLogTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(self.reader, False)
        self.log = event_log.EventLog('h', writer, lambda: self.now)

    def _lines(self):
        try:
            data = os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def test_line(self):
        self.log.event('refused', id='a1', status=503)
        (line,) = self._lines()
        self.assertEqual(line['event'], 'refused')
        self.assertEqual(line['host'], 'h')
        self.assertEqual(line['id'], 'a1')

    def test_field_named_like_the_kind(self):
        # A field `kind` clashed with the parameter and ended the process.
        self.log.event('history_gone', kind='servers')
        self.assertEqual(self._lines()[0]['kind'], 'servers')

    def test_rate_is_limited_and_failures_have_priority(self):
        for number in range(1000):
            self.log.success('answered', id=number)
        successes = len(self._lines())
        self.assertLessEqual(successes, event_log.BURST_LINES)
        self.log.event('refused', id='x')
        (line,) = self._lines()
        self.assertEqual(line['event'], 'refused')
        self.assertEqual(line['dropped'], {'answered': 1000 - successes})

    def test_stalled_reader_does_not_block(self):
        # Once the buffer is full, each line is dropped and counted.
        for _ in range(20000):
            self.now += 1.0
            self.log.event('refused', text='x' * 200)
        self.assertLessEqual(
            len(self.log._pending), event_log.MAX_BUFFER_BYTES
        )
