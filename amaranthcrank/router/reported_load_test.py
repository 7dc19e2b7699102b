"""Tests of the load that targets report, without a network.

Guards against malformed reports, old reports, hosts that all choose the
target that said it is empty, and a pace that counts twice.
"""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies

from amaranthcrank.platform import names
from amaranthcrank.platform import notices
from amaranthcrank.router import directory
from amaranthcrank.router import model
from amaranthcrank.router import reported_load
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_state

TYPICAL_S = 0.2
REMOTE_HOSTS = 64
NEAR_HOSTS = 2


def _entry(target_id, slots=3):
    return model.TargetEntry(
        target_id,
        'desk',
        model.Address('10.0.0.1', 1),
        'a',
        slots,
        model.READY,
        0.0,
        1,
    )


def _target(target_id='i-1', slots=3):
    return target_state.Target(_entry(target_id, slots), 0.0)


def _report(target, text, now):
    fields = notices.decode_load(text)
    target.reported_load = reported_load.arrived(fields, target.in_flight, now)


class DecodingTest(unittest.TestCase):
    def test_reports(self):
        decoded = notices.decode_load(b' 2,0,4 ')
        self.assertEqual(decoded, (2, 0, 4, None))
        decoded = notices.decode_load(b'2,13,4,250')
        self.assertEqual(decoded, (2, 13, 4, 250))

    def test_malformed(self):
        for value in (
            b'',
            b'1',
            b'1,2',
            b'1,2,3,4,5',
            b'1,2,0',
            b'1,2,0,100',
            b'-1,2,3',
            b'1.5,2,3',
            b'1,,3',
            b'1,2,3,',
            b'1,2,3,x',
            b'1,2,1000000000',
            b'1,2,3\n,4',
            '١,٢,٣'.encode(),
        ):
            notice = notices.decode(200, [(names.SERVER_LOAD, value)])
            self.assertIsNone(notice.load, value)
            self.assertTrue(notice.is_load_malformed, value)
        notice = notices.decode(200, [])
        self.assertFalse(notice.is_load_malformed)

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=40),
            strategies.text('0123456789,.-+ e', max_size=30).map(str.encode),
            strategies.lists(
                strategies.integers(-5, 10**10), min_size=2, max_size=5
            ).map(lambda values: ','.join(map(str, values)).encode()),
        )
    )
    def test_any_value(self, value):
        fields = notices.decode_load(value)
        parts = value.strip().split(b',')
        if fields is None:
            self.assertFalse(
                len(parts) in (3, 4)
                and all(part.isdigit() and len(part) < 10 for part in parts)
                and int(parts[2])
            )
            return
        self.assertIn(len(parts), (3, 4))
        target = _target()
        _report(target, value, 0.0)
        for now in (0.0, 0.1, 5.0):
            target_choice.has_capacity(target, TYPICAL_S, now, NEAR_HOSTS)
            cost = target_choice.expected_cost_s(target, TYPICAL_S, now)
            self.assertGreater(cost, 0.0)

    def test_report_of_another_incarnation_is_ignored(self):
        targets = directory.Directory(lambda: 1.0, 2.0, lambda *_, **__: None)
        targets.replace_all([_entry('i-1')])
        fields = notices.decode_load(b'1,0,3')
        targets.record_load('i-1/2', fields)
        self.assertIsNone(targets.by_id['i-1'].reported_load)
        targets.record_load('i-1/1', fields)
        self.assertEqual(targets.by_id['i-1'].reported_load.fields, fields)
        targets.put(_entry('i-1')._replace(incarnation=2))
        self.assertIsNone(targets.by_id['i-1'].reported_load)


class AgeTest(unittest.TestCase):
    def test_load_gives_way_to_what_hosts_tell_each_other(self):
        target = _target()
        target.in_flight_elsewhere = 1
        _report(target, b'3,2,3', 10.0)

        def elsewhere(now):
            return reported_load.elsewhere(
                target.reported_load, target.in_flight_elsewhere, now
            )

        self.assertAlmostEqual(elsewhere(10.0), 5.0)
        self.assertAlmostEqual(elsewhere(10.3), 3.0)
        self.assertAlmostEqual(elsewhere(10.6), 2.0)
        self.assertEqual(elsewhere(13.0), 1)

    def test_pace_gives_way_to_the_usual(self):
        target = _target()
        _report(target, b'0,0,3,300', 10.0)
        self.assertAlmostEqual(target.pace(10.0), 3.0)
        self.assertAlmostEqual(target.pace(10.2), 2.0)
        self.assertEqual(target.pace(13.0), 1.0)
        _report(target, b'0,0,3,0', 10.0)
        self.assertAlmostEqual(target.pace(10.0), reported_load.MIN_PACE)

    def test_own_requests_are_not_counted_twice(self):
        # Two of the three running requests are this host's.
        target = _target()
        target.in_flight = 2
        _report(target, b'3,0,4', 10.0)
        self.assertEqual(target.reported_load.elsewhere, 1)

    def test_full_target_gets_nothing_until_the_report_is_old(self):
        """Guards against sends to a full target of another domain.

        No datagram tells this host of the load there.
        """
        target = _target()
        _report(target, b'3,0,3', 10.0)
        for now, expected in (
            (10.0, False),
            (10.09, False),
            (10.2, True),
        ):
            # What the other hosts have there is known to be over.
            target.reported_load = target.reported_load._replace(elsewhere=0)
            found = target_choice.has_capacity(
                target, TYPICAL_S, now, REMOTE_HOSTS
            )
            self.assertEqual(found, expected, now)

    def test_queue_reported_by_a_remote_target_outlasts_the_hold(self):
        target = _target()
        _report(target, b'3,9,3', 10.0)
        for now in (10.0, 10.2, 10.5):
            self.assertFalse(
                target_choice.has_capacity(
                    target, TYPICAL_S, now, REMOTE_HOSTS
                )
            )
        self.assertTrue(
            target_choice.has_capacity(target, TYPICAL_S, 11.5, REMOTE_HOSTS)
        )


class ChoiceTest(unittest.TestCase):
    def _targets(self, count, now, text=b'1,0,3'):
        targets = [_target(f'i-{number}') for number in range(count)]
        for target in targets:
            _report(target, text, now)
        return targets

    def _choose(self, targets, draw):
        return target_choice.choose(
            target_choice.in_random_order(targets, draw),
            TYPICAL_S,
            0.01,
            NEAR_HOSTS,
            draw,
            target_choice.COMPARED_TARGETS,
        )

    def test_hosts_do_not_all_choose_the_target_that_is_empty(self):
        # All hosts have the same reports: one target is empty.
        rng = random.Random(3)
        chosen = collections.Counter()
        for _ in range(200):
            targets = self._targets(10, 0.0)
            _report(targets[0], b'0,0,3', 0.0)
            target = self._choose(targets, rng.random)
            chosen[target.entry.target_id] += 1
        self.assertLess(chosen['i-0'], 200 * 0.4)
        self.assertGreater(chosen['i-0'], 200 * 0.2)
        self.assertEqual(len(chosen), 10)

    def test_host_does_not_send_twice_on_the_same_report(self):
        targets = self._targets(2, 0.0, b'2,0,3')
        _report(targets[0], b'1,0,3', 0.0)
        rng = random.Random(3)
        found = []
        for _ in range(4):
            target = self._choose(targets, rng.random)
            if target is None:
                break
            target.in_flight += 1
            found.append(target.entry.target_id)
        # Three slots are free by the reports.
        self.assertEqual(sorted(found), ['i-0', 'i-0', 'i-1'])

    def test_targets_of_unequal_speed(self):
        # A slow target and one whose machine is slow now get less.
        rng = random.Random(3)
        chosen = collections.Counter()
        for _ in range(300):
            targets = self._targets(3, 0.0, b'0,0,3,100')
            targets[1].slowness = 3.0
            _report(targets[2], b'0,0,3,300', 0.0)
            target = self._choose(targets, rng.random)
            chosen[target.entry.target_id] += 1
        self.assertEqual(chosen, {'i-0': 300})

    def test_without_reports_the_choice_is_as_before(self):
        # All targets are compared, and random numbers are used in order.
        rng = random.Random(3)
        targets = [_target(f'i-{number}') for number in range(30)]
        for number, target in enumerate(targets):
            target.slowness = 2.0 - (number == 17)
        drawn = []

        def draw():
            drawn.append(rng.random())
            return drawn[-1]

        chosen = target_choice.choose(
            targets, TYPICAL_S, 1.0, NEAR_HOSTS, draw
        )
        self.assertEqual(chosen.entry.target_id, 'i-17')
        self.assertEqual(len(drawn), 30)

    def test_pace_is_not_learned_as_slowness(self):
        """Guards against a pace that counts as slowness and by itself.

        The machine takes three times as long at this moment, and the target
        is as fast as the others otherwise.
        """
        target = _target()
        for number in range(50):
            now = number * 0.5
            _report(target, b'1,0,3,300', now)
            target.record_success(3 * TYPICAL_S, TYPICAL_S, now)
        self.assertAlmostEqual(target.slowness, 1.0, delta=0.05)
        cost = target_choice.expected_cost_s(target, TYPICAL_S, now)
        self.assertLess(cost, 4 * TYPICAL_S)
        self.assertGreater(cost, 3 * TYPICAL_S)

    def test_speed_is_still_learned(self):
        target = _target()
        for number in range(50):
            now = number * 0.5
            _report(target, b'1,0,3,100', now)
            target.record_success(3 * TYPICAL_S, TYPICAL_S, now)
        self.assertAlmostEqual(target.slowness, 3.0, delta=0.1)
