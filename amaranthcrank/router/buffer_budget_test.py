"""Tests of which incomplete response gives way when memory is short."""

import unittest
from unittest import mock

from amaranthcrank.router import buffer_budget


class BufferBudgetTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(buffer_budget, 'MAX_BUFFERED_BYTES', 100)
        patch.start()
        self.addCleanup(patch.stop)
        self.budget = buffer_budget.BufferBudget()
        self.evicted = []

    def _account(self, name, group='a', server=1, size=0):
        def evict():
            self.evicted.append(name)
            self.budget.remove_all(account)

        account = buffer_budget.Account(server, evict)
        account.group = group
        if size:
            self.assertTrue(self.budget.add(account, size))
        return account

    def test_largest_group_gives_way(self):
        """Guards against a service whose floods cost another its responses.

        The other service has the longest single response.
        """
        self._account('long', 'sound', 1, 40)
        self._account('first', 'faulty', 2, 25)
        self._account('second', 'faulty', 3, 26)
        small = self._account('small', 'third', 4)
        self.assertTrue(self.budget.add(small, 10))
        self.assertEqual(self.evicted, ['second'])

    def test_largest_server_of_a_group_gives_way(self):
        """Guards against a target whose floods cost others of its service."""
        self._account('long', 'a', 1, 40)
        self._account('first', 'a', 2, 25)
        self._account('second', 'a', 2, 26)
        self.assertTrue(self.budget.add(self._account('small', 'a', 3), 10))
        self.assertEqual(self.evicted, ['second'])

    def test_response_that_exceeds_the_limit_itself(self):
        account = self._account('only', size=60)
        self.assertFalse(self.budget.add(account, 60))
        self.assertEqual(self.evicted, ['only'])
        self.assertEqual(self.budget.buffered_bytes, 0)

    def test_bytes_are_counted(self):
        account = self._account('one', size=60)
        self.budget.remove_all(account)
        self.budget.remove_all(account)
        self._account('two', size=70)
        self.assertEqual(self.budget.buffered_bytes, 70)
        self.assertEqual(self.budget.peak_bytes, 70)
        self.assertEqual(self.evicted, [])


if __name__ == '__main__':
    unittest.main()
