import contextlib
import io
import sys
import unittest
from unittest import mock

from amaranthcrank.daemon import main


def _run(*arguments):
    """Return exit status and error output of the daemon's command."""
    errors = io.StringIO()
    with mock.patch.object(sys, 'argv', ['amaranthcrankd', *arguments]):
        with contextlib.redirect_stderr(errors):
            try:
                main.run()
            except SystemExit as ended:
                return ended.code, errors.getvalue()
    return 0, errors.getvalue()


class MainTest(unittest.TestCase):
    def test_bad_flags_are_reported_with_code(self):
        # The operator of a failed start needs to see which flag is wrong.
        for arguments in (
            ('--bogus', 'x'),
            ('stray',),
            ('--region=r', '--host-id'),
            ('--cell',),
        ):
            with self.subTest(arguments=arguments):
                status, text = _run(*arguments)
                self.assertEqual(status, 2)
                self.assertIn('608 SETTING_BAD_FLAG', text)
                self.assertIn(arguments[-1].lstrip('-x'), text)

    def test_value_of_misspelt_flag_is_not_printed(self):
        status, text = _run('--cluster-kyes', 'hunter2')
        self.assertEqual(status, 2)
        self.assertNotIn('hunter2', text)

    def test_all_invalid_settings_are_reported_together(self):
        status, text = _run('--log-level', 'loud')
        self.assertEqual(status, 2)
        self.assertIn('605 SETTING_BAD_CHOICE', text)
        self.assertIn("'loud'", text)
        self.assertIn('600 SETTING_MISSING', text)
        self.assertIn('--store-url', text)
