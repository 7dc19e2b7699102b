import contextlib
import io
import unittest

from amaranthcrank.router import options


class ParseTest(unittest.TestCase):
    def test_hedging_is_off_by_default(self):
        # Extra attempts are the operator's choice.
        self.assertEqual(options.parse([]).hedge_ratio, 0.0)

    def test_ratio_out_of_range_is_refused(self):
        # A typing error such as 5 for 5% would double the load.
        for text in ('0.3', '-0.1', 'nan', 'x'):
            with self.subTest(text=text):
                with contextlib.redirect_stderr(io.StringIO()):
                    with self.assertRaises(SystemExit):
                        options.parse(['--hedge-ratio', text])

    def test_limits_of_callers_out_of_range_are_refused(self):
        # A rate that is not a number would refuse no body; no events in a
        # turn would parse no request.
        for words in (
            ('--max-callers', '-1'),
            ('--max-callers', '1.5'),
            ('--min-body-bytes-per-s', 'nan'),
            ('--min-body-bytes-per-s', '-1'),
            ('--body-period-s', '0'),
            ('--body-period-s', 'inf'),
            ('--parse-events-per-turn', '0'),
        ):
            with self.subTest(words=words):
                with contextlib.redirect_stderr(io.StringIO()):
                    with self.assertRaises(SystemExit):
                        options.parse(words)

    def test_limits_of_callers_are_taken(self):
        # An option that is ignored leaves the operator without a remedy.
        parsed = options.parse(
            [
                '--max-callers=50',
                '--min-body-bytes-per-s=0',
                '--body-period-s=30',
                '--parse-events-per-turn=10',
            ]
        )
        self.assertEqual(parsed, (0.0, 50, 0.0, 30.0, 10))
