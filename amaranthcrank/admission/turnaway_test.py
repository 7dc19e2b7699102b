"""Tests of refusals at the entry host."""

import unittest

from amaranthcrank.admission import turnaway

BULK = ('soaklog', 'ktm-patan', 'bulk')


class TurnAwayTest(unittest.TestCase):
    """One rank of one (service, cell) is refused for a while."""

    def setUp(self):
        """Refuse one rank until second 2."""
        self.state = turnaway.open_turnaway()
        turnaway.note_overload(self.state, *BULK, 2_000, 0.0)

    def _action(self, now, place=BULK):
        return turnaway.check(self.state, *place, now).action

    def test_only_the_refused_rank(self):
        """An overload of bulk must not turn urgent work away."""
        self.assertEqual(
            turnaway.Verdict(turnaway.REJECT, 1_500),
            turnaway.check(self.state, *BULK, 0.5),
        )
        urgent = (*BULK[:2], 'urgent')
        self.assertEqual(turnaway.ADMIT, self._action(0.5, urgent))

    def test_one_probe(self):
        """Callers that come back together must not flood the cell."""
        self.assertEqual(turnaway.PROBE, self._action(2.0))
        self.assertEqual(turnaway.REJECT, self._action(2.1))
        turnaway.note_passed(self.state, *BULK)
        self.assertEqual(turnaway.ADMIT, self._action(2.2))

    def test_refused_or_lost_probe(self):
        """A probe that fails or is lost is followed by another."""
        self._action(2.0)
        self.assertEqual(
            turnaway.PROBE, self._action(2.0 + turnaway.PROBE_TIMEOUT_S)
        )
        turnaway.note_overload(self.state, *BULK, 500, 3.0)
        self.assertEqual(turnaway.REJECT, self._action(3.4))
        self.assertEqual(turnaway.PROBE, self._action(3.5))

    def test_expire(self):
        """Places that nobody asks for are dropped."""
        self.assertEqual(0, turnaway.expire(self.state, 3.0))
        late = 2.0 + turnaway.KEEP_S
        self.assertEqual(1, turnaway.expire(self.state, late))
        self.assertFalse(self.state.until_by_place)
