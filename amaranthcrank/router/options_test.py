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
