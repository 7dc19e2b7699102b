"""Tests of grants, probes and releases."""

import unittest

from amaranthcrank.core import model
from amaranthcrank.grant import grants

A, B, C = (model.SlotId('s', each) for each in range(3))


def record_with(
    **assignments: model.Assignment,
) -> model.CellRecord:
    by_slot = {
        {'a': A, 'b': B, 'c': C}[name]: each
        for name, each in assignments.items()
    }
    return model.CellRecord('c', 5, ('h',), ('h',), (), 1, by_slot)


RECORD = record_with(
    a=model.Assignment('new', 3, 'old'),
    b=model.Assignment('new', 5, 'old'),
    c=model.Assignment('new', 5, '*'),
)


class GrantableTest(unittest.TestCase):
    def test_waits_for_effective_version_or_release(self) -> None:
        """Guards against a grant while the previous owner may own the slot."""
        none: dict[str, grants.Release] = {}
        early = {'old': grants.Release(4, frozenset({B}))}
        released = grants.with_release(none, 'old', 5, (B, C))
        for effective, releases, slots in (
            (2, none, []),
            (3, none, [0]),
            (3, early, [0]),
            (3, released, [0, 1]),
            (5, none, [0, 1, 2]),
        ):
            granted = grants.grantable_slots(
                RECORD, 'new', effective, releases
            )
            self.assertEqual(slots, [each[1] for each in granted])

    def test_releases_are_due_only_when_exclusive(self) -> None:
        """Guards against a release that a restarted owner has lost."""
        self.assertEqual((), grants.due_releases(RECORD, 'new', 3, {}, 4))
        due = grants.due_releases(RECORD, 'new', 3, {}, 5)
        self.assertEqual((grants.DueRelease('old', 5, (B,)),), due)
        released = grants.with_release({}, 'old', 5, (B,))
        due = grants.due_releases(RECORD, 'new', 3, released, 5)
        self.assertEqual((), due)

    def test_newer_release_replaces_the_older(self) -> None:
        """Guards against a release that a later grant has superseded."""
        released = grants.with_release({}, 'old', 4, (A,))
        released = grants.with_release(released, 'old', 5, (B,))
        self.assertEqual(grants.Release(5, frozenset({B})), released['old'])
        same = grants.with_release(released, 'old', 4, (C,))
        self.assertIs(released, same)


class ControlStepTest(unittest.TestCase):
    def step(
        self, view: grants.TargetView, until: float, now: float
    ) -> grants.Step:
        return grants.next_control_step(view, RECORD, until, 5, {}, now)

    def view_after_response(self, version: int = 0) -> grants.TargetView:
        view = grants.new_view('new')
        step = self.step(view, 9.0, 1.0)
        self.assertEqual(grants.PROBE, step.kind)
        view = grants.record_sent(view, step, 1.0)
        response = grants.TargetResponse('i1', 'x1', version, False, 0)
        return grants.record_response(view, response, 1.0).view

    def test_probe_then_grant_then_renewal(self) -> None:
        """Guards against renewals that are late or unnecessary."""
        view = self.view_after_response()
        step = self.step(view, 9.0, 1.0)
        self.assertEqual(
            (grants.GRANT, 'i1', 'x1', 5),
            (step.kind, step.incarnation, step.challenge, step.version),
        )
        view = grants.record_sent(view, step, 1.0)
        self.assertEqual(grants.NOTHING, self.step(view, 9.0, 3.0).kind)
        response = grants.TargetResponse('i1', 'x2', 5, False, 0)
        view = grants.record_response(view, response, 1.0).view
        self.assertEqual(grants.NOTHING, self.step(view, 9.0, 1.1).kind)
        self.assertEqual('x2', self.step(view, 9.0, 1.25).challenge)
        # A challenge older than the lease would be refused.
        self.assertEqual(grants.PROBE, self.step(view, 9.0, 1.7).kind)

    def test_no_grant_without_host_lease_or_below_the_version_seen(
        self,
    ) -> None:
        """Guards against grants of a host whose record is outdated."""
        self.assertEqual(
            grants.PROBE, self.step(self.view_after_response(), 0.5, 1.0).kind
        )
        self.assertEqual(
            grants.PROBE, self.step(self.view_after_response(6), 9.0, 1.2).kind
        )

    def test_two_misses_mark_a_target_down(self) -> None:
        """Guards against failover after one miss, or no failover at all."""
        update = grants.record_miss(self.view_after_response(), 1.2)
        self.assertFalse(update.down)
        self.assertEqual(grants.GRANT, self.step(update.view, 9.0, 1.2).kind)
        update = grants.record_miss(update.view, 1.4)
        self.assertTrue(update.down)
        response = grants.TargetResponse('i2', 'y1', 0, False, 0)
        update = grants.record_response(update.view, response, 1.5)
        self.assertEqual((False, True), (update.down, update.restarted))
        self.assertEqual('i2', self.step(update.view, 9.0, 1.5).incarnation)

    def test_repeated_refusals_wait_for_the_interval(self) -> None:
        """Guards against a tight loop of grants and refusals."""
        view = self.view_after_response()
        sent = 0
        for number in range(10):
            step = self.step(view, 9.0, 1.0)
            if step.kind == grants.NOTHING:
                break
            sent += 1
            view = grants.record_sent(view, step, 1.0)
            response = grants.TargetResponse(
                'i1', f'x{number}', 0, False, 0, False
            )
            view = grants.record_response(view, response, 1.0).view
        self.assertLess(sent, 4)
