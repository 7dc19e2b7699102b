"""Tests of numbers in the headers of callers."""

import unittest

from amaranthcrank.router import call


class NumberTest(unittest.TestCase):
    """Guards against a request that never gets an answer.

    The conversion of a number with thousands of digits fails.
    """

    def test_deadline(self):
        self.assertEqual(call.parse_deadline(b'1500', 9.0), 1.5)
        self.assertEqual(call.parse_deadline(None, 9.0), 9.0)
        for value in (b'9' * 400, b'9' * 5000, b'-1', b'1.5', b''):
            self.assertIsNone(call.parse_deadline(value, 9.0))

    def test_key(self):
        self.assertEqual(call.parse_key(b'65535'), 65535)
        for value in (b'9' * 5000, b'65536', b'-1', b'', None):
            self.assertIsNone(call.parse_key(value))
