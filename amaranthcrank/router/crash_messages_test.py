"""Tests of the messages about requests that crash targets."""

import unittest

from amaranthcrank.router import crash_messages
from amaranthcrank.router import crash_reports
from amaranthcrank.router import message_checks
from amaranthcrank.router import message_kinds

REQUEST = b'12345678'


class _Network:
    """Delivers messages between hosts at once, unless a kind is lost."""

    def __init__(self):
        self.messenger_by_id = {}
        self.lost_kinds = set()
        self.sent = []

    def deliver(self, sender_id, host_id, kind, content):
        self.sent.append(kind)
        if kind in self.lost_kinds:
            return
        assert message_checks.is_well_formed(kind, sender_id, content)
        handler = self.messenger_by_id[host_id].handler_by_kind[kind]
        handler(sender_id, content)


class _Messenger:
    def __init__(self, host_id, network):
        self.handler_by_kind = {}
        self._host_id = host_id
        self._network = network
        network.messenger_by_id[host_id] = self

    def send(self, host_id, kind, content):
        self._network.deliver(self._host_id, host_id, kind, content)

    def send_to_all(self, kind, content):
        for host_id in list(self._network.messenger_by_id):
            if host_id != self._host_id:
                self.send(host_id, kind, content)


class _Host:
    def __init__(self, host_id, network, clock):
        self.crashes = crash_reports.CrashReports(clock)
        self.messages = crash_messages.CrashMessages(
            _Messenger(host_id, network), self.crashes
        )

    def crash(self, holder):
        """Let a target crash on the request that this host sent."""
        self.crashes.record_crash(REQUEST, holder)
        self.messages.broadcast_crash(REQUEST, holder)

    def answer(self):
        """Let the request be answered at this host."""
        if self.crashes.clear(REQUEST):
            self.messages.broadcast_cleared(REQUEST)

    def is_blocked(self):
        return self.crashes.is_blocked(REQUEST)

    def repeat(self):
        """Receive the request once more; return whether it is blocked."""
        if self.is_blocked():
            self.messages.renew(REQUEST)
            return True
        return False


class CrashMessagesTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.network = _Network()
        self.first = self._host('h-1')
        self.second = self._host('h-2')

    def _host(self, host_id):
        return _Host(host_id, self.network, lambda: self.now)

    def _crash_three(self, host):
        for number in range(crash_reports.BLOCKING_CRASHES):
            host.crash(f'i-{number}/1')

    def test_request_that_is_repeated_stays_blocked(self):
        """Guards against a request that crashes targets once a minute.

        The reports expired although the request was still repeated (review
        case 7).
        """
        self._crash_three(self.first)
        for _ in range(90):
            self.now += 2.0
            self.assertTrue(self.first.repeat())
            self.assertTrue(self.second.repeat())
        self.now += 300.0
        self.assertTrue(self.second.repeat())

    def test_messages_about_repeated_requests_are_rare(self):
        # Each is sent to all hosts.
        self._crash_three(self.first)
        self.network.sent.clear()
        for _ in range(50):
            self.now += 0.2
            self.first.repeat()
            self.second.repeat()
        self.assertEqual(self.network.sent, [message_kinds.BLOCKED])

    def test_host_that_joins_learns_what_is_blocked(self):
        """Guards against a started host that sends a crashing request."""
        self._crash_three(self.first)
        self.now += 30.0
        third = self._host('h-3')
        self.first.messages.tell_joined('h-3')
        self.assertTrue(third.is_blocked())

    def test_host_that_missed_the_reports(self):
        self.network.lost_kinds = {message_kinds.CRASHED}
        self._crash_three(self.first)
        self.assertFalse(self.second.is_blocked())
        self.now += crash_reports.RENEWAL_INTERVAL_S
        self.first.repeat()
        self.assertTrue(self.second.is_blocked())

    def test_host_that_missed_an_answer_blocks_at_no_other(self):
        """Guards against a harmless request that stays blocked.

        A host that missed a message would spread its reports again and again.
        """
        self._crash_three(self.first)
        self.network.lost_kinds = {message_kinds.CRASH_CLEARED}
        self.first.answer()
        self.network.lost_kinds = set()
        self.assertTrue(self.second.is_blocked())
        self.now += crash_reports.RENEWAL_INTERVAL_S
        self.second.repeat()
        self.assertFalse(self.first.is_blocked())
        self.assertFalse(self.second.is_blocked())

    def test_host_that_missed_a_withdrawal(self):
        self._crash_three(self.first)
        self.first.crashes.withdraw('i-1/1')
        self.now += crash_reports.RENEWAL_INTERVAL_S
        self.second.repeat()
        self.assertFalse(self.first.is_blocked())
        self.assertFalse(self.second.is_blocked())

    def test_crashes_after_an_answer_count(self):
        # What was cleared is remembered by time, not for good.
        self._crash_three(self.first)
        self.first.answer()
        self.now += 1.0
        self._crash_three(self.first)
        self.now += crash_reports.RENEWAL_INTERVAL_S
        self.second.repeat()
        self.assertTrue(self.first.is_blocked())
        self.assertTrue(self.second.is_blocked())


if __name__ == '__main__':
    unittest.main()
