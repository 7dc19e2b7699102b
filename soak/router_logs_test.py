import pathlib
import tempfile
import unittest

from soak import router_logs

LINES = """\
{"event": "grant_failed", "target": "i-1", "result": "rejected"}
{"event": "grant_failed", "target": "i-1", "result": "unanswered"}
{"event": "renewal_failed", "result": "rejected", "dropped": {"refused": 2}}
{"event": "token_superseded", "dropped": {"grant_failed": 3}}
Traceback (most recent call last):
{"event": "token_supers"""


class CountRejectionsTest(unittest.TestCase):
    def test_counts(self):
        """Guards against rejections that a play does not report."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / 'host-0.log').write_text(LINES, encoding='utf-8')
            (folder / 'host-1.log').write_text(LINES, encoding='utf-8')
            counts = router_logs.count_rejections(folder)
        self.assertEqual(
            counts,
            {
                'grant_failed rejected': 2,
                'renewal_failed rejected': 2,
                'token_superseded': 2,
                'dropped grant_failed': 6,
            },
        )
