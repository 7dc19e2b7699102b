import unittest

from soak import entry_expiry

HEARTBEAT_S = 0.5


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.silence = entry_expiry.Silence(HEARTBEAT_S)

    def _expired(self, revision_by_name, now, is_available=True):
        return self.silence.expired(revision_by_name, is_available, now)

    def test_entry_expires_after_three_heartbeats(self):
        self.assertEqual(self._expired({'i-1': 4}, 1.0), [])
        self.assertEqual(self._expired({'i-1': 4}, 2.4), [])
        self.assertEqual(self._expired({'i-1': 4}, 2.6), ['i-1'])

    def test_heartbeat_keeps_an_entry(self):
        self._expired({'i-1': 4}, 1.0)
        self._expired({'i-1': 5}, 2.0)
        self.assertEqual(self._expired({'i-1': 5}, 3.0), [])

    def test_nothing_expires_while_the_store_is_unavailable(self):
        """Guards against entries that go because no heartbeat could arrive."""
        self._expired({'i-1': 4}, 1.0)
        self.assertEqual(self._expired({'i-1': 4}, 9.0, False), [])
        self.assertEqual(self._expired({'i-1': 4}, 10.0), [])
        self.assertEqual(self._expired({'i-1': 4}, 10.6), ['i-1'])

    def test_entry_that_is_back(self):
        """Guards against an entry that expires by its time before."""
        self._expired({'i-1': 4}, 1.0)
        self.assertEqual(self._expired({'i-1': 4}, 3.0), ['i-1'])
        self._expired({}, 3.1)
        self.assertEqual(self._expired({'i-1': 6}, 5.0), [])
        self.assertEqual(self._expired({'i-1': 6}, 6.0), [])
