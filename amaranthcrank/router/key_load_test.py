"""Tests of the work by key over a short window."""

import unittest

from amaranthcrank.router import key_load


class KeyLoadTest(unittest.TestCase):
    def setUp(self):
        self.now = 50.0
        self.load = key_load.KeyLoad(lambda: self.now)

    def test_work_for_a_key_adds_up(self):
        """Guards against a hot key that is counted once."""
        self.load.add('book', 5, 0.2)
        self.load.add('book', 5, 0.3)
        self.load.add('desk', 5, 9.0)
        # Samples of this age have the weight 1.
        self.now += key_load.WINDOW_S / 2
        self.assertAlmostEqual(self.load.window('book').measured(5, 5), 0.5)

    def test_old_work_does_not_move_keys(self):
        """Guards against moves for a burst that has passed."""
        self.load.add('book', 5, 0.2)
        self.now += key_load.WINDOW_S / 2 + 0.1
        self.load.add('book', 6, 0.1)
        self.now += key_load.WINDOW_S / 2
        self.assertAlmostEqual(self.load.window('book').total, 0.1)
