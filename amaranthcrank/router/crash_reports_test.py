import unittest

from amaranthcrank.router import crash_reports


class CrashReportsTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.reports = crash_reports.CrashReports(lambda: self.now)
        self.request = crash_reports.fingerprint(b'POST', b'/a', b'body')

    def test_crashes_of_three_targets_block_a_request(self):
        # A caller repeats a request that crashes targets. Unless it is
        # blocked, it crashes one target after the other.
        for number in range(3):
            self.assertFalse(self.reports.is_blocked(self.request))
            self.reports.record_crash(self.request, f'i-{number}')
        self.assertTrue(self.reports.is_blocked(self.request))

    def test_one_target_counts_once(self):
        for _ in range(5):
            self.reports.record_crash(self.request, 'i-1')
        self.assertFalse(self.reports.is_blocked(self.request))

    def test_response_clears_the_reports(self):
        # A frequent request that ran while targets crashed for other reasons.
        for number in range(3):
            self.reports.record_crash(self.request, f'i-{number}')
        self.assertTrue(self.reports.clear(self.request))
        self.assertFalse(self.reports.is_blocked(self.request))

    def test_target_that_answers_had_not_crashed(self):
        """Guards against blocking a request for targets that were cut off.

        They reset their connections and refused new ones until the cut ended.
        """
        for number in range(3):
            self.reports.record_crash(self.request, f'i-{number}/1')
        self.assertTrue(self.reports.withdraw('i-1/1'))
        self.assertFalse(self.reports.is_blocked(self.request))
        self.assertFalse(self.reports.withdraw('i-1/1'))
        self.assertTrue(self.reports.withdraw('i-0/1'))
        self.assertTrue(self.reports.withdraw('i-2/1'))
        self.assertFalse(self.reports.clear(self.request))

    def test_each_incarnation_counts(self):
        """Guards against a request that crashes one target again and again."""
        for incarnation in range(3):
            self.reports.record_crash(self.request, f'i-1/{incarnation}')
        self.assertTrue(self.reports.is_blocked(self.request))

    def test_cleared_reports_are_not_withdrawn(self):
        self.reports.record_crash(self.request, 'i-1/1')
        self.reports.clear(self.request)
        self.assertFalse(self.reports.withdraw('i-1/1'))

    def test_request_that_is_repeated_after_minutes(self):
        """Guards against three more crashes each minute (review case 7)."""
        for number in range(3):
            self.reports.record_crash(self.request, f'i-{number}/1')
            self.now += 100.0
        self.assertTrue(self.reports.is_blocked(self.request))

    def test_reports_expire(self):
        for number in range(3):
            self.reports.record_crash(self.request, f'i-{number}')
        self.now += crash_reports.REPORT_RETENTION_S + 1
        self.assertFalse(self.reports.is_blocked(self.request))

    def test_fingerprint_separates_path_and_body(self):
        one = crash_reports.fingerprint(b'GET', b'/ab', b'')
        other = crash_reports.fingerprint(b'GET', b'/a', b'b')
        self.assertNotEqual(one, other)

    def test_number_of_requests_is_bounded(self):
        # Those with the fewest crashes go first, so that a blocked request
        # stays blocked.
        for number in range(3):
            self.reports.record_crash(self.request, f'i-{number}/1')
        requests = [
            crash_reports.fingerprint(b'GET', b'%d' % number, b'')
            for number in range(crash_reports.MAX_REQUESTS + 50)
        ]
        for request in requests:
            self.reports.record_crash(request, 'i-9/1')
        kept = sum(self.reports.count(request) for request in requests)
        self.assertEqual(kept, crash_reports.MAX_REQUESTS - 1)
        self.assertTrue(self.reports.is_blocked(self.request))
