import unittest

from amaranthcrank.router import response_progress


class ResponseProgressTest(unittest.TestCase):
    def setUp(self):
        self.progress = response_progress.ResponseProgress()

    def test_caller_that_takes_nothing(self):
        """Guards against responses kept in memory for a stuck caller.

        Further responses change the fill of the write buffer, which is no
        progress of the caller.
        """
        self.progress.record_write(1000)
        self.progress.check(1000, 1.0)
        self.progress.record_write(500)
        self.progress.check(1500, 2.0)
        self.assertEqual(self.progress.made_at, 1.0)

    def test_caller_that_reads_slowly(self):
        """Guards against disconnecting a caller on a slow link."""
        self.progress.record_write(1000)
        self.progress.check(1000, 1.0)
        self.progress.check(999, 2.0)
        self.assertEqual(self.progress.made_at, 2.0)

    def test_response_after_a_quiet_time(self):
        """Guards against disconnecting at the first check of a response."""
        self.progress.check(0, 1.0)
        self.progress.record_write(1000)
        self.progress.check(1000, 20.0)
        self.assertEqual(self.progress.made_at, 20.0)
        self.progress.check(1000, 21.0)
        self.assertEqual(self.progress.made_at, 20.0)


if __name__ == '__main__':
    unittest.main()
