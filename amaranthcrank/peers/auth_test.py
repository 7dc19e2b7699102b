"""Tests of peers.auth."""

import unittest

from amaranthcrank.peers import auth

ARGS = (auth.DIALLER, 'a', 'b', b'1' * 32, b'2' * 32)


class AuthTest(unittest.TestCase):
    def test_any_accepted_key_is_valid(self):
        for key in (b'old', b'new'):
            given = auth.proof(key, *ARGS)
            self.assertEqual(
                key, auth.accepted_key([b'old', b'new'], given, *ARGS)
            )
        given = auth.proof(b'other', *ARGS)
        self.assertIsNone(auth.accepted_key([b'old', b'new'], given, *ARGS))

    def test_every_part_is_bound(self):
        """Guards against proofs that are replayed, reflected or reused."""
        given = auth.proof(b'key', *ARGS)
        for changed in (
            (auth.LISTENER, 'a', 'b', b'1' * 32, b'2' * 32),
            (auth.DIALLER, 'c', 'b', b'1' * 32, b'2' * 32),
            (auth.DIALLER, 'a', 'c', b'1' * 32, b'2' * 32),
            (auth.DIALLER, 'a', 'b', b'3' * 32, b'2' * 32),
            (auth.DIALLER, 'a', 'b', b'1' * 32, b'3' * 32),
            (auth.DIALLER, 'b', 'a', b'2' * 32, b'1' * 32),
            (auth.DIALLER, 'ab', '', b'1' * 32, b'2' * 32),
        ):
            self.assertIsNone(auth.accepted_key([b'key'], given, *changed))
