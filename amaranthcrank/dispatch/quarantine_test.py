"""Tests of quarantine."""

import unittest

from amaranthcrank.core import model
from amaranthcrank.dispatch import quarantine
from standins import samples

NOW_MS = 5_000_000


def _request(service: str, key: str, method: str = 'GET') -> model.Request:
    return samples.LOOKUP._replace(service=service, key=key, method=method)


class QuarantineTest(unittest.TestCase):
    """Counting, expiry and exchange of crashes."""

    def setUp(self):
        """Create a quarantine without crashes."""
        self.state = quarantine.open_quarantine()

    def _crash(self, event, fingerprints=('f',), now_ms=NOW_MS):
        return quarantine.record_crash(self.state, event, fingerprints, now_ms)

    def _is_quarantined(self, now_ms=NOW_MS):
        return quarantine.is_quarantined(self.state, 'f', now_ms)

    def test_crash_received_twice_counts_once(self):
        """A request must not be refused after a single crash."""
        self._crash('t1/a')
        received = quarantine.Crash('f', 't1/a', NOW_MS)
        self.assertEqual((), quarantine.merge(self.state, (received,), NOW_MS))
        self.assertFalse(self._is_quarantined())

    def test_two_crashes(self):
        """Two crashes quarantine until 600 s after the first one."""
        self.assertEqual((), self._crash('t1/a', ('f', 'g')))
        self.assertEqual(('f',), self._crash('t2/b'))
        self.assertTrue(
            self._is_quarantined(NOW_MS + quarantine.EXPIRY_MS - 1)
        )
        self.assertFalse(self._is_quarantined(NOW_MS + quarantine.EXPIRY_MS))
        self.assertFalse(quarantine.is_quarantined(self.state, 'g', NOW_MS))

    def test_expire_empties_the_state(self):
        """Expired crashes must not stay or be merged again from a peer."""
        self._crash('t1/a')
        crashes, _ = quarantine.export(self.state, 0)
        late_ms = NOW_MS + quarantine.EXPIRY_MS
        self.assertEqual(1, quarantine.expire(self.state, late_ms))
        quarantine.merge(self.state, crashes, late_ms)
        self.assertEqual(((), 0), quarantine.export(self.state, 0))
        self.assertFalse(self.state.times_by_fingerprint)

    def test_export_in_parts_is_complete(self):
        """Crashes beyond the limit of one export follow in the next."""
        for number in range(10):
            self._crash(f't/{number}', (f'f{number}', 'f'))
        peer = quarantine.open_quarantine()
        position = 0
        for _ in range(7):
            crashes, position = quarantine.export(self.state, position, 3)
            self.assertLessEqual(len(crashes), 3)
            quarantine.merge(peer, crashes, NOW_MS)
        self.assertEqual(self.state.crash_by_pair, peer.crash_by_pair)
        self.assertEqual(
            ((), position), quarantine.export(self.state, position, 3)
        )

    def test_memory_is_bounded(self):
        """A stream of crashes must not grow the state without bound."""
        for number in range(quarantine.MAX_CRASHES + 5):
            self._crash(f't/{number}', (f'f{number}',))
        self.assertEqual(quarantine.MAX_CRASHES, len(self.state.crash_by_pair))
        self.assertEqual(
            quarantine.MAX_CRASHES, len(self.state.times_by_fingerprint)
        )

    def test_fields_of_a_fingerprint_are_separated(self):
        """Fields with equal concatenation must differ in fingerprint."""
        self.assertNotEqual(
            quarantine.request_fingerprint(_request('ab', 'c')),
            quarantine.request_fingerprint(_request('a', 'bc')),
        )

    def test_fingerprint_depends_on_the_method(self) -> None:
        """A GET must not be refused because a POST crashes upstreams."""
        self.assertNotEqual(
            quarantine.request_fingerprint(_request('a', 'b', 'GET')),
            quarantine.request_fingerprint(_request('a', 'b', 'POST')),
        )

    def test_served_request_loses_its_counts(self) -> None:
        """A popular lookup is in flight during most crashes by chance."""
        state = quarantine.open_quarantine()
        peer = quarantine.open_quarantine()
        quarantine.record_crash(state, 'e1', ('hot', 'bad'), 1_000)
        quarantine.record_served(state, 'hot', 2_000)
        self.assertEqual({'bad'}, quarantine.suspected(state))
        added = quarantine.record_crash(state, 'e2', ('hot', 'bad'), 3_000)
        self.assertEqual(('bad',), added)
        # The same crash, sent again by a peer, must not count again.
        late = quarantine.Crash('hot', 'e1', 1_000)
        self.assertEqual((), quarantine.merge(state, (late,), 3_100))
        crashes, _ = quarantine.export(state, 0)
        quarantine.merge(peer, (late, *crashes), 3_200)
        self.assertTrue(quarantine.is_quarantined(peer, 'bad', 3_200))
        self.assertFalse(quarantine.is_quarantined(peer, 'hot', 3_200))
        quarantine.expire(state, 700_000)
        self.assertEqual(((), 0), quarantine.export(state, 0))
