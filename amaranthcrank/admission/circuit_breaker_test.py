"""Tests of the circuit breaker."""

import unittest

from amaranthcrank.admission import circuit_breaker

BULK = ('soaklog', 'ktm-patan', 'bulk')


class CircuitBreakerTest(unittest.TestCase):
    """Tests with one class that is refused until second 2."""

    def setUp(self):
        """Refuse bulk requests of one service and cell until second 2."""
        self.breaker = circuit_breaker.new_circuit_breaker()
        circuit_breaker.record_overload(self.breaker, *BULK, 2_000, 0.0)

    def _action(self, now, traffic_class=BULK):
        return circuit_breaker.check(self.breaker, *traffic_class, now).action

    def test_only_the_refused_rank(self):
        """Guards against urgent requests refused for an overload of bulk."""
        self.assertEqual(
            circuit_breaker.Decision(circuit_breaker.REJECT, 1_500),
            circuit_breaker.check(self.breaker, *BULK, 0.5),
        )
        urgent = (*BULK[:2], 'urgent')
        self.assertEqual(circuit_breaker.ADMIT, self._action(0.5, urgent))

    def test_one_probe(self):
        """Guards against callers that retry together and flood the cell."""
        self.assertEqual(circuit_breaker.PROBE, self._action(2.0))
        self.assertEqual(circuit_breaker.REJECT, self._action(2.1))
        circuit_breaker.record_success(self.breaker, *BULK)
        self.assertEqual(circuit_breaker.ADMIT, self._action(2.2))

    def test_refused_or_lost_probe(self):
        """A probe that is refused or lost is followed by another."""
        self._action(2.0)
        self.assertEqual(
            circuit_breaker.PROBE,
            self._action(2.0 + circuit_breaker.PROBE_TIMEOUT_S),
        )
        circuit_breaker.record_overload(self.breaker, *BULK, 500, 3.0)
        self.assertEqual(circuit_breaker.REJECT, self._action(3.4))
        self.assertEqual(circuit_breaker.PROBE, self._action(3.5))

    def test_expire(self):
        """Classes without requests are dropped."""
        self.assertEqual(0, circuit_breaker.expire(self.breaker, 3.0))
        late = 2.0 + circuit_breaker.EXPIRY_S
        self.assertEqual(1, circuit_breaker.expire(self.breaker, late))
        self.assertFalse(self.breaker.rejected_until_by_class)
