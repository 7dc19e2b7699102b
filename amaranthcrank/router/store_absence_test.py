"""Tests of how a host tells an outage of the store from a cut of its own.

The pattern: one host or a few cannot read the store for seconds, by silence,
refusal or a broken connection, while it serves the others.
"""

import unittest

from amaranthcrank.router import clock
from amaranthcrank.router import store_absence
from amaranthcrank.router import store_history

HEARTBEAT_S = 0.87


class _Witness:
    """Other hosts that tell when a test says so."""

    def __init__(self):
        self.on_news = None
        self.asked = 0

    def ask(self):
        self.asked += 1


class StoreAbsenceTest(unittest.TestCase):
    def setUp(self):
        self.history = store_history.StoreHistory()
        self.witness = _Witness()
        self.away_s = []
        self.events = []
        self.absence = store_absence.StoreAbsence(
            self.history,
            self.witness,
            self.away_s.append,
            HEARTBEAT_S,
            lambda event, **_: self.events.append(event),
        )

    def test_silence_that_nobody_filled(self):
        self.absence.note_back(clock.now() - 5.0)
        self.assertGreaterEqual(self.away_s[0], 5.0)
        self.assertEqual(self.witness.asked, 1)

    def test_store_that_answers_neighbours_is_not_away(self):
        """Guards against requests to targets that left, after the drain time.

        Their entries would be kept as if they had lapsed in an outage.
        """
        self.history.add_ages(range(0, 3000, 400))
        self.absence.note_back(clock.now() - store_history.SILENCE_S)
        self.assertLess(self.away_s[0], 0.5)
        self.assertEqual(self.witness.asked, 0)

    def test_others_tell_that_it_answered_them(self):
        self.absence.note_back(clock.now() - 5.0)
        self.history.add_ages(range(0, 5000, 500))
        self.witness.on_news()
        self.assertIn('store_answered_others', self.events)

    def test_others_that_saw_the_outage_too(self):
        self.absence.note_back(clock.now() - 5.0)
        self.history.add_ages([4900, 100])
        self.witness.on_news()
        self.assertNotIn('store_answered_others', self.events)


if __name__ == '__main__':
    unittest.main()
