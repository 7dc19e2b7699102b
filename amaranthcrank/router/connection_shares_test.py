import unittest

from amaranthcrank.router import connection_shares


class DivideTest(unittest.TestCase):
    def test_sum_stays_below_the_descriptors(self):
        """Guards against a process that runs out of descriptors."""
        for limit in (400, 500, 1000, 4096, 65536):
            with self.subTest(limit=limit):
                shares = connection_shares.divide(limit)
                self.assertLessEqual(
                    sum(shares) + connection_shares.OWN_DESCRIPTORS,
                    limit - connection_shares.FILE_DESCRIPTORS,
                )

    def test_callers_leave_room_for_targets(self):
        """Guards against accepted requests that reach no target."""
        shares = connection_shares.divide(1000)
        self.assertEqual(shares, (432, 36, 36, 216))

    def test_tiny_limit_still_permits_some(self):
        """Guards against a host that nobody can reach."""
        for limit in (0, 200, 250):
            with self.subTest(limit=limit):
                self.assertGreaterEqual(
                    min(connection_shares.divide(limit)),
                    connection_shares.MIN_CONNECTIONS,
                )

    def test_operator_lowers_the_limit_of_callers(self):
        """Guards against an option that raises the limit beyond the share."""
        self.assertEqual(connection_shares.divide(1000, 100).callers, 100)
        self.assertEqual(connection_shares.divide(1000, 9999).callers, 432)
