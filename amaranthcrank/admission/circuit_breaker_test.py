"""Tests of refusals at the entry host."""

import unittest

from amaranthcrank.admission import circuit_breaker

BULK = ('soaklog', 'ktm-patan', 'bulk')


class CircuitBreakerTest(unittest.TestCase):
    """One rank of one (service, cell) is refused for a while."""

    def setUp(self):
        """Refuse one rank until second 2."""
        self.breaker = circuit_breaker.new_circuit_breaker()
        circuit_breaker.record_overload(self.breaker, *BULK, 2_000, 0.0)

    def _action(self, now, traffic_class=BULK):
        return circuit_breaker.check(self.breaker, *traffic_class, now).action

    def test_only_the_refused_rank(self):
        """An overload of bulk must not turn urgent work away."""
        self.assertEqual(
            circuit_breaker.Decision(circuit_breaker.REJECT, 1_500),
            circuit_breaker.check(self.breaker, *BULK, 0.5),
        )
        urgent = (*BULK[:2], 'urgent')
        self.assertEqual(circuit_breaker.ADMIT, self._action(0.5, urgent))

    def test_one_probe(self):
        """Callers that come back together must not flood the cell."""
        self.assertEqual(circuit_breaker.PROBE, self._action(2.0))
        self.assertEqual(circuit_breaker.REJECT, self._action(2.1))
        circuit_breaker.record_success(self.breaker, *BULK)
        self.assertEqual(circuit_breaker.ADMIT, self._action(2.2))

    def test_refused_or_lost_probe(self):
        """A probe that fails or is lost is followed by another."""
        self._action(2.0)
        self.assertEqual(
            circuit_breaker.PROBE,
            self._action(2.0 + circuit_breaker.PROBE_TIMEOUT_S),
        )
        circuit_breaker.record_overload(self.breaker, *BULK, 500, 3.0)
        self.assertEqual(circuit_breaker.REJECT, self._action(3.4))
        self.assertEqual(circuit_breaker.PROBE, self._action(3.5))

    def test_expire(self):
        """Places that nobody asks for are dropped."""
        self.assertEqual(0, circuit_breaker.expire(self.breaker, 3.0))
        late = 2.0 + circuit_breaker.KEEP_S
        self.assertEqual(1, circuit_breaker.expire(self.breaker, late))
        self.assertFalse(self.breaker.rejected_until_by_class)
