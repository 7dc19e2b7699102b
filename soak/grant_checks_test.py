import math
import unittest

from soak import grant_checks


def _grant(target, at, fence, first=0, last=99, until=None, arrived_at=None):
    return grant_checks.Grant(
        target,
        'book',
        first,
        last,
        fence,
        at if arrived_at is None else arrived_at,
        at,
        at + 6.0 if until is None else until,
        f'host-1-{fence}',
    )


class StaleGrantsTest(unittest.TestCase):
    def _found(self, *grants):
        return [
            (finding.grant.target, finding.grant.fence, finding.other.fence)
            for finding in grant_checks.stale_grants(grants)
        ]

    def test_rising_tokens(self):
        moves = _grant('i-1', 1.0, 1), _grant('i-2', 2.0, 2)
        self.assertEqual(self._found(*moves, _grant('i-1', 3.0, 3)), [])

    def test_renewals(self):
        """Guards against a check that takes a renewal for a stale grant."""
        renewals = _grant('i-1', 1.0, 1), _grant('i-1', 2.0, 1)
        self.assertEqual(self._found(*renewals), [])

    def test_token_below_and_equal_to_that_of_another_target(self):
        first = _grant('i-1', 1.0, 5)
        self.assertEqual(
            self._found(first, _grant('i-2', 2.0, 4)), [('i-2', 4, 5)]
        )
        self.assertEqual(
            self._found(first, _grant('i-2', 2.0, 5)), [('i-2', 5, 5)]
        )

    def test_target_with_the_highest_token_is_not_its_own_witness(self):
        """Guards against one highest token for all targets."""
        grants = (
            _grant('i-1', 1.0, 5),
            _grant('i-2', 2.0, 7),
            _grant('i-2', 3.0, 4),
        )
        self.assertEqual(self._found(*grants), [('i-2', 4, 5)])

    def test_highest_token_changes_its_target(self):
        grants = (
            _grant('i-1', 1.0, 5),
            _grant('i-2', 2.0, 7),
            _grant('i-1', 3.0, 9),
            _grant('i-1', 4.0, 6),
        )
        self.assertEqual(self._found(*grants), [('i-1', 6, 7)])

    def test_target_that_has_restarted(self):
        """Guards against two processes of a target taken for one holder."""
        moves = _grant('i-1/0', 1.0, 1), _grant('i-1/4', 2.0, 2)
        self.assertEqual(self._found(*moves), [])
        same = _grant('i-1/4', 2.0, 1)
        self.assertEqual(self._found(moves[0], same), [('i-1/4', 1, 1)])

    def test_only_shared_keys_count(self):
        """Guards against tokens that are compared beyond their ranges."""
        first = _grant('i-1', 1.0, 5, 0, 49)
        beside = _grant('i-2', 2.0, 4, 50, 99)
        self.assertEqual(self._found(first, beside), [])
        touching = _grant('i-2', 2.0, 4, 49, 99)
        self.assertEqual(len(self._found(first, touching)), 1)

    def test_order_of_effect_decides(self):
        """Guards against a check by the order of arrival or of files."""
        late = _grant('i-1', 9.0, 4, arrived_at=1.0)
        self.assertEqual(
            self._found(late, _grant('i-2', 2.0, 5)), [('i-1', 4, 5)]
        )

    def test_excused_grants(self):
        excused = _grant('i-2', 2.0, 4)._replace(is_excused=True)
        self.assertEqual(self._found(_grant('i-1', 1.0, 5), excused), [])

    def test_other_services_have_tokens_of_their_own(self):
        other = _grant('i-2', 2.0, 4)._replace(service='desk')
        self.assertEqual(self._found(_grant('i-1', 1.0, 5), other), [])

    def test_kinds(self):
        grant = _grant('i-1', 1.0, 5)
        self.assertEqual(grant.kind, 'live grant')
        fence = grant._replace(until=1.001)
        self.assertEqual(fence.kind, 'live fence')
        self.assertEqual(fence._replace(at=2.0).kind, 'expired fence')
        self.assertEqual(grant._replace(at=9.0).kind, 'expired grant')

    def test_description_names_both_calls(self):
        """Guards against findings whose calls cannot be told."""
        [finding] = grant_checks.stale_grants(
            [_grant('i-1', 1.0, 5), _grant('i-2', 2.0, 4)]
        )
        text = grant_checks.describe(finding)
        self.assertIn('host-1-4', text)
        self.assertIn('host-1-5', text)


class GrantsAtWorkTest(unittest.TestCase):
    def setUp(self):
        self.first = _grant('i-1', 1.0, 1)
        self.second = _grant('i-2', 3.0, 2)
        self.work = grant_checks.Work('i-1', 'book', 7, 2.5, 3.5)

    def _found(self, *works, second=None, held_up=()):
        grants = self.first, second or self.second
        return grant_checks.grants_at_work(grants, works, held_up)

    def test_work_that_goes_on(self):
        [finding] = self._found(self.work)
        self.assertEqual(finding.grant, self.second)
        self.assertIn('i-1 was at work', grant_checks.describe(finding))

    def test_work_that_never_ended(self):
        endless = self.work._replace(until=math.inf)
        self.assertEqual(len(self._found(endless)), 1)

    def test_work_before_and_after(self):
        before = self.work._replace(until=2.9)
        after = self.work._replace(since=3.1)
        self.assertEqual(self._found(before, after), [])

    def test_work_at_the_same_target_and_on_other_keys(self):
        own = self.work._replace(target='i-2')
        other = self.work._replace(key=100)
        self.assertEqual(self._found(own, other), [])

    def test_hold_that_has_run_out(self):
        """The rules excuse a grant after the end of the other's hold."""
        self.first = self.first._replace(until=2.9)
        self.assertEqual(self._found(self.work), [])

    def test_fence_does_not_end_the_time_of_a_hold(self):
        """Guards against an excuse by the end of a fence."""
        fence = _grant('i-1', 2.8, 2, until=2.801)
        self.second = self.second._replace(fence=3)
        found = grant_checks.grants_at_work(
            [self.first, fence, self.second], [self.work], ()
        )
        self.assertEqual([each.grant for each in found], [self.second])

    def test_grant_that_is_taken_late(self):
        late = self.second._replace(arrived_at=1.0)
        self.assertEqual(self._found(self.work, second=late), [])
        prompt = self.second._replace(arrived_at=2.9)
        self.assertEqual(len(self._found(self.work, second=prompt)), 1)

    def test_grant_that_was_held_up(self):
        """Guards against an excuse for other targets or other times."""
        for target, until, count in (
            ('i-2', 3.2, 0),
            ('i-2', 2.9, 1),
            ('i-1', 3.2, 1),
        ):
            held_up = [grant_checks.HeldUp(target, 2.0, until)]
            found = self._found(self.work, held_up=held_up)
            self.assertEqual(len(found), count)
