"""Tests of the memory limit of request bodies."""

import unittest

from amaranthcrank.router import upload_budget


class UploadBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = upload_budget.UploadBudget(100)
        self.reserved = []

    def _reserve(self, name, size):
        return self.budget.reserve(
            name, size, lambda: self.reserved.append(name)
        )

    def test_bodies_together_stay_within_the_limit(self):
        """Guards against uploads that together exhaust a host's memory."""
        self.assertTrue(self._reserve('a', 60))
        self.assertFalse(self._reserve('b', 60))
        self.assertEqual(self.budget.reserved_bytes, 60)
        self.budget.release('a')
        self.assertEqual(self.reserved, ['b'])
        self.assertEqual(self.budget.reserved_bytes, 60)

    def test_order_of_arrival(self):
        """Guards against a long body that shorter ones overtake for ever."""
        self._reserve('a', 60)
        self.assertFalse(self._reserve('b', 90))
        self.assertFalse(self._reserve('c', 10))
        self.budget.release('a')
        self.assertEqual(self.reserved, ['b', 'c'])

    def test_body_beyond_the_limit(self):
        """Guards against a body that the ticket allows and nobody reads."""
        self.assertTrue(self._reserve('a', 200))
        self.assertFalse(self._reserve('b', 1))
        self.budget.release('a')
        self.assertEqual(self.reserved, ['b'])

    def test_wait_that_is_given_up(self):
        """Guards against memory that is reserved for nobody."""
        self._reserve('a', 60)
        self._reserve('b', 60)
        self.budget.release('b')
        self.budget.release('a')
        self.assertEqual(self.reserved, [])
        self.assertEqual(self.budget.reserved_bytes, 0)
        self.budget.release('a')
        self.assertEqual(self.budget.reserved_bytes, 0)


if __name__ == '__main__':
    unittest.main()
