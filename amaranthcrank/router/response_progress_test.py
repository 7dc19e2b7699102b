import unittest

from amaranthcrank.router import response_progress


class ResponseProgressTest(unittest.TestCase):
    def setUp(self):
        self.progress = response_progress.ResponseProgress()
        self.progress.at = 10.0

    def test_caller_that_takes_nothing(self):
        # Guards against responses that stay in memory for a caller that does
        # not read them.
        self.progress.record_write(100)
        self.assertEqual(self.progress.update(11.0, 100), 0.0)
        self.assertEqual(self.progress.update(12.0, 100), 1.0)
        self.assertEqual(self.progress.update(14.0, 100), 3.0)

    def test_slow_caller_makes_progress(self):
        # Guards against disconnecting a caller behind a slow link.
        self.progress.record_write(100)
        self.progress.update(11.0, 100)
        self.assertEqual(self.progress.update(20.0, 99), 0.0)

    def test_further_response_is_no_progress(self):
        # Guards against taking growth of the backlog for data that was taken.
        self.progress.record_write(100)
        self.progress.update(11.0, 100)
        self.progress.record_write(50)
        self.assertEqual(self.progress.update(13.0, 150), 2.0)

    def test_wait_starts_with_the_unsent_data(self):
        # Guards against counting the time before the response was written.
        self.progress.update(11.0, 0)
        self.progress.record_write(100)
        self.assertEqual(self.progress.update(30.0, 100), 0.0)
