"""Tests of the ledger."""

import unittest

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import ledger

SLOT = model.SlotId('holdbook', 7)
START_MS = 1_000_000
NOW_MS = START_MS + 10_000
ISSUED_MS = NOW_MS - 100
HOSTS = ('h1', 'h2', 'h3', 'h4')


def _record(
    state, request_id='x', issued_at_ms=ISSUED_MS, token='t', now=NOW_MS
):
    return ledger.record_intent(
        state, request_id, issued_at_ms, SLOT, token, now
    )


class IntentTest(unittest.TestCase):
    """Which intents a holder accepts."""

    def setUp(self):
        """Create a ledger that starts ten seconds before the intents."""
        self.state = ledger.open_ledger(START_MS)

    def test_same_token_is_accepted_again(self):
        """A repeated message must not fail the attempt that sent it."""
        self.assertEqual(codes.OK, _record(self.state))
        self.assertEqual(codes.OK, _record(self.state))

    def test_other_token_is_duplicate(self):
        """A second attempt must not get the quorum of the first."""
        _record(self.state)
        self.assertEqual(codes.DUPLICATE, _record(self.state, token='u'))

    def test_bounds_of_the_time_of_issue(self):
        """Each margin is checked at its last millisecond."""
        first_ms = START_MS + ledger.START_MARGIN_MS + 1
        ahead_ms = NOW_MS + ledger.AHEAD_MARGIN_MS
        for issued_ms, now_ms, code in (
            (first_ms, NOW_MS, codes.OK),
            (first_ms - 1, NOW_MS, codes.BEFORE_LEDGER),
            (ahead_ms, NOW_MS, codes.OK),
            (ahead_ms + 1, NOW_MS, codes.ID_AHEAD),
            (NOW_MS, NOW_MS + ledger.ID_WINDOW_MS, codes.OK),
            (NOW_MS, NOW_MS + ledger.ID_WINDOW_MS + 1, codes.ID_TOO_OLD),
        ):
            with self.subTest(issued_ms=issued_ms, now_ms=now_ms):
                state = ledger.open_ledger(START_MS)
                self.assertEqual(
                    code, _record(state, issued_at_ms=issued_ms, now=now_ms)
                )

    def test_known_id_is_duplicate_whatever_its_time_of_issue(self):
        """A known id must never get ID_AHEAD, whose outcome is not_run."""
        _record(self.state, issued_at_ms=NOW_MS + 1_000)
        code = _record(
            self.state, issued_at_ms=NOW_MS + 1_000, token='u', now=NOW_MS - 9
        )
        self.assertEqual(codes.DUPLICATE, code)

    def test_release_needs_the_token(self):
        """A late release must not free the id of a later attempt."""
        _record(self.state)
        self.assertFalse(ledger.release_intent(self.state, 'x', 'other'))
        self.assertEqual(codes.DUPLICATE, _record(self.state, token='u'))
        self.assertTrue(ledger.release_intent(self.state, 'x', 't'))
        self.assertEqual(codes.OK, _record(self.state, token='u'))

    def test_intent_after_its_release_is_refused(self):
        """An intent that arrives after its release must not block the id."""
        ledger.release_intent(self.state, 'x', 't')
        self.assertEqual(codes.DUPLICATE, _record(self.state))
        self.assertEqual(codes.OK, _record(self.state, token='u'))

    def test_entries_outlive_the_window_by_the_margin(self):
        """Entries are kept while a host with a slower clock accepts the id."""
        _record(self.state)
        kept_ms = ISSUED_MS + ledger.ID_WINDOW_MS + ledger.START_MARGIN_MS
        ledger.expire(self.state, kept_ms)
        self.assertEqual(1, ledger.size(self.state).intents)
        self.assertEqual(1, ledger.expire(self.state, kept_ms + 1_000))
        self.assertEqual(0, ledger.size(self.state).intents)
        self.assertFalse(self.state.ids_by_second)

    def test_refusal_of_a_known_id_is_unknown(self):
        """The outcome of an id that may have been sent must not be not_run."""
        ledger.record_sent(self.state, 'x', ISSUED_MS, 't')
        for token, code, expected in (
            ('', codes.OVERLOADED, codes.DUPLICATE),
            ('u', codes.NO_INTENT, codes.DUPLICATE),
            ('t', codes.UPSTREAM_REFUSED, codes.UPSTREAM_REFUSED),
            ('u', codes.OUTCOME_UNKNOWN, codes.OUTCOME_UNKNOWN),
        ):
            with self.subTest(token=token, code=code.name):
                self.assertEqual(
                    expected,
                    ledger.refusal_code(self.state, 'x', token, code),
                )


class HoldersTest(unittest.TestCase):
    """When a change of holders moves the start of a slot."""

    def _code_after(self, self_host, *lists, adopted=True):
        state = ledger.open_ledger(0)
        for old, new in zip(lists, lists[1:], strict=False):
            ledger.update_holders(
                state, SLOT, old, new, self_host, NOW_MS, adopted
            )
        return _record(state, now=NOW_MS + 1)

    def test_number_of_holders(self):
        """Two of three holders must accept; in smaller cells all must."""
        for count, held, needed in (
            (1, 1, 1),
            (2, 2, 2),
            (3, 3, 2),
            (4, 3, 2),
        ):
            holders, quorum = ledger.intent_holders(HOSTS[:count], SLOT)
            self.assertEqual((held, needed), (len(holders), quorum))

    def test_new_holder_starts_later(self):
        """A new holder knows no earlier intents and must reject such ids."""
        holders, _ = ledger.intent_holders(HOSTS, SLOT)
        without = tuple(host for host in HOSTS if host != holders[0])
        self.assertEqual(
            codes.BEFORE_LEDGER, self._code_after(holders[0], without, HOSTS)
        )
        self.assertEqual(
            codes.OK, self._code_after(holders[1], without, HOSTS)
        )

    def test_shrinking_in_two_steps_starts_later(self):
        """From three holders to one, the last may not know earlier ids."""
        three = HOSTS[:3]
        self.assertEqual(codes.OK, self._code_after('h1', three, three[:2]))
        self.assertEqual(
            codes.OK, self._code_after('h1', three[:2], three[:1])
        )
        self.assertEqual(
            codes.BEFORE_LEDGER,
            self._code_after('h1', three, three[:2], three[:1]),
        )

    def test_unknown_id_is_rejected_before_adoption(self):
        """Hosts at the old version may send until the new one is adopted."""
        state = ledger.open_ledger(0)
        later_ms = NOW_MS + 50_000
        ledger.update_holders(
            state, SLOT, (), ('h1',), 'h1', NOW_MS, adopted=False
        )
        code = _record(state, issued_at_ms=later_ms, now=later_ms)
        self.assertEqual(codes.BEFORE_LEDGER, code)
        ledger.update_holders(state, SLOT, (), ('h1',), 'h1', later_ms)
        fixed_ms = (
            later_ms + ledger.OLD_VERSION_GRACE_MS + ledger.START_MARGIN_MS
        )
        for issued_ms, expected in (
            (fixed_ms, codes.BEFORE_LEDGER),
            (fixed_ms + 1, codes.OK),
        ):
            self.assertEqual(
                expected,
                _record(state, issued_at_ms=issued_ms, now=issued_ms),
            )


class DecisionTest(unittest.TestCase):
    """Decisions of the dispatching host from the replies of holders."""

    def test_decisions(self):
        """Work is sent only with a quorum of acceptances."""
        ok, duplicate = codes.OK, codes.DUPLICATE
        ahead, before = codes.ID_AHEAD, codes.BEFORE_LEDGER
        for replies, outstanding, action, code in (
            ((ok, ok), 1, ledger.SEND, ok),
            ((ok, ok, duplicate), 0, ledger.SEND, ok),
            ((ok,), 2, ledger.WAIT, ok),
            ((ok, duplicate), 1, ledger.WAIT, ok),
            ((ok, duplicate), 0, ledger.RESPOND_UNKNOWN, duplicate),
            ((duplicate, duplicate), 1, ledger.RESPOND_UNKNOWN, duplicate),
            ((ahead, before), 0, ledger.RESPOND_UNKNOWN, before),
            ((ahead, ahead), 0, ledger.REFUSE, ahead),
            ((ok,), 0, ledger.REFUSE, codes.NO_INTENT),
            ((), 0, ledger.REFUSE, codes.NO_INTENT),
        ):
            with self.subTest(replies=[each.name for each in replies]):
                decision = ledger.decide_intent(
                    dict(zip(HOSTS, replies, strict=False)), 2, outstanding
                )
                self.assertEqual((action, code), tuple(decision))

    def test_release(self):
        """An intent is kept if its work has run or may still run."""
        for action, not_run, expected in (
            (ledger.SEND, False, False),
            (ledger.SEND, True, True),
            (ledger.REFUSE, False, True),
            (ledger.RESPOND_UNKNOWN, False, True),
            (ledger.WAIT, False, False),
        ):
            decision = ledger.Decision(action, codes.OK)
            self.assertEqual(expected, ledger.must_release(decision, not_run))

    def test_tokens_differ_after_a_restart(self):
        """A reused token would be accepted, and the work be sent twice."""
        self.assertNotEqual(
            ledger.make_token('h1', 'a', 1), ledger.make_token('h1', 'b', 1)
        )


class StoredResponseTest(unittest.TestCase):
    """Responses stored for repeated requests."""

    def setUp(self):
        """Create an empty ledger."""
        self.state = ledger.open_ledger(0)

    def _store(self, request_id, body):
        response = model.Outcome(codes.OK, 200, (), body, 0, '')
        ledger.store_response(self.state, request_id, 'digest', response)

    def test_response_of_the_same_request_only(self):
        """Another request with the same id must not get this response."""
        self._store('x', b'done')
        response = ledger.stored_response(self.state, 'x', 'digest')
        self.assertEqual(
            (codes.OK_STORED, b'done'), (response.code, response.body)
        )
        self.assertIsNone(ledger.stored_response(self.state, 'x', 'other'))
        self.assertIsNone(ledger.stored_response(self.state, 'y', 'digest'))

    def test_bounds(self):
        """Count and bytes are bounded, the oldest is removed first."""
        for number in range(ledger.MAX_RESPONSES + 1):
            self._store(str(number), b'')
        self.assertEqual(
            ledger.MAX_RESPONSES, ledger.size(self.state).responses
        )
        self.assertIsNone(ledger.stored_response(self.state, '0', 'digest'))
        for number in range(5):
            self._store(f'large {number}', bytes(1024 * 1024))
            self._store('large 0', bytes(1024 * 1024))
        held = ledger.size(self.state)
        self.assertLessEqual(held.response_bytes, ledger.MAX_RESPONSE_BYTES)
        self.assertEqual(3, held.responses)
