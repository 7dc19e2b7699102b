"""Tests of the test runner that tolerates known failures."""

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from tools import run_tests

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODULE_WITH_ONE_FAILURE = """import unittest


class Methods(unittest.TestCase):
    def test_passes(self):
        pass

    def test_fails(self):
        self.fail()
"""
SAMPLE_MODULE = (
    MODULE_WITH_ONE_FAILURE
    + """

class SubTests(unittest.TestCase):
    def test_subtest_fails(self):
        with self.subTest(part=1):
            self.fail()


class SetUpFails(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        raise OSError('no port')

    def test_never_runs(self):
        pass
"""
)

KNOWN_FAILURES = """# Comment.

test: proofs.a_test.A.test_one
command: .venv/bin/python -m nose2 proofs.a_test.A.test_one
seen: two owners
issue: 2

test: proofs.b_test.B.test_two
"""


class RunTestsTest(unittest.TestCase):
    def test_parses_ids_of_listed_tests(self):
        """Guards against an entry of the list that is overlooked."""
        self.assertEqual(
            ('proofs.a_test.A.test_one', 'proofs.b_test.B.test_two'),
            run_tests.parse_known_failures(KNOWN_FAILURES),
        )

    def test_separates_known_and_new_failures(self):
        """Guards against a new failure hidden by the entry of another test."""
        report = run_tests.classify_failures({'a', 'c'}, ('a', 'b'))
        self.assertEqual(
            run_tests.FailureReport(('a',), ('c',), ('b',)), report
        )

    def run_tool(self, folder, known):
        """Run the tool on a folder of tests, as CI does."""
        path = pathlib.Path(folder)
        (path / 'KNOWN-RED.txt').write_text(known)
        (path / 'sample_test.py').write_text(SAMPLE_MODULE)
        (path / 'unittest.cfg').write_text(
            '[unittest]\ntest-file-pattern = *_test.py\n'
        )
        return subprocess.run(
            [sys.executable, '-m', 'tools.run_tests'],
            cwd=folder,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            capture_output=True,
            text=True,
            check=False,
        )

    def test_new_failure_fails_the_run(self):
        """Guards against a new failure for which the tool exits with status 0.

        Failed subtests and classes whose setup fails are failures as well.
        """
        names = ('SubTests.test_subtest_fails', 'Methods.test_fails')
        known = ''.join(f'test: sample_test.{name}\n' for name in names)
        with tempfile.TemporaryDirectory() as folder:
            process = self.run_tool(folder, known)
            self.assertEqual(process.returncode, 1, process.stderr)
            self.assertIn(
                'known red, failed: sample_test.SubTests', process.stdout
            )
            self.assertIn('failed: setUpClass', process.stdout)
            self.assertIn('1 passed, 3 failed', process.stdout)

    def test_known_failure_does_not_fail_the_run(self):
        """Guards against a known failure that fails the whole run."""
        with tempfile.TemporaryDirectory() as folder:
            known = 'test: sample_test.Methods.test_fails\n'
            with mock.patch.dict(
                globals(), {'SAMPLE_MODULE': MODULE_WITH_ONE_FAILURE}
            ):
                process = self.run_tool(folder, known)
            self.assertEqual(process.returncode, 0, process.stderr)
            self.assertIn('1 passed, 1 failed', process.stdout)
