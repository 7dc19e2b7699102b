import contextlib
import io
import json
import logging
import unittest

from amaranthcrank.core import logs
from amaranthcrank.core import settings
from amaranthcrank.core import settings_test


def logged_lines(flags, write):
    values, _ = settings.read_settings(flags, settings_test.VALID_ENVIRON)
    stream = io.StringIO()
    with contextlib.ExitStack() as stack:
        logs.set_up_logging(stack, values, stream)
        write()
    return stream.getvalue().splitlines()


class LogsTest(unittest.TestCase):
    def test_text_lines_have_a_prefix_and_stay_one_line(self):
        # Guards against a line feed in a key that forges a log line.
        def write():
            logs.logger('peer').info('Linked to {}.', 'a\nb')
            logs.logger('peer').debug('Not shown.')

        lines = logged_lines({}, write)
        self.assertEqual(len(lines), 1)
        self.assertRegex(lines[0], r'^2\S+Z INFO \[peer\] Linked to a\\x0ab')

    def test_json_lines(self):
        def write():
            try:
                raise ValueError('x')
            except ValueError:
                logs.logger('grant').exception('Failed.')

        lines = logged_lines({'log_format': 'json'}, write)
        fields = json.loads(lines[0])
        self.assertEqual(fields['part'], 'grant')
        self.assertEqual(fields['host'], 'balaju-1')
        self.assertEqual(fields['level'], 'error')
        self.assertIn('ValueError', fields['exception'])

    def test_warnings_of_libraries_are_logged(self):
        def write():
            logging.getLogger('urllib3').warning('Pool is %s.', 'full')

        self.assertIn('[urllib3] Pool is full.', logged_lines({}, write)[0])

    def test_rate_limit_counts_suppressed_lines(self):
        now = [0.0]

        def write():
            log = logs.RateLimitedLogger(
                logs.logger('peer'), 2, 10.0, lambda: now[0]
            )
            for each in range(5):
                log.warning('Lost {}.', each)
            now[0] = 10.0
            log.warning('Lost {}.', 5)

        lines = logged_lines({}, write)
        self.assertEqual(len(lines), 3)
        self.assertTrue(
            lines[2].endswith('Lost 5. (3 similar lines left out.)')
        )
