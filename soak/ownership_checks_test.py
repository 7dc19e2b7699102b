import json
import math
import pathlib
import tempfile
import unittest

from soak import holds as key_holds
from soak import ownership_checks


def _grant(at, until, fence=1, sender='host-1', arrived_at=None, last=99):
    return {
        'kind': 'hold',
        'at': at,
        'first': 0,
        'last': last,
        'fence': fence,
        'arrived_at': at if arrived_at is None else arrived_at,
        'until': until,
        'request_id': f'{sender}-abc',
    }


def _release(at):
    return {'kind': 'release', 'at': at, 'first': 0, 'last': 99}


class OwnershipChecksTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'record'

    def _read(self, *records, ended_at=math.inf, resumed=()):
        text = ''.join(json.dumps(record) + '\n' for record in records)
        self.path.write_text(text, encoding='utf-8')
        return ownership_checks.read_holds(
            self.path, 'i-1', 'book', ended_at, resumed
        )

    def test_release_ends_a_hold(self):
        [hold] = self._read(_grant(1.0, 7.0), _release(2.0))
        self.assertEqual((hold.since, hold.until), (1.0, 2.0))

    def test_late_grant_after_a_release_is_a_hold(self):
        """Guards against a check that overlooks grants carried out late."""
        late = _grant(3.0, 7.0, arrived_at=1.5)
        holds = self._read(_grant(1.0, 7.0), _release(2.0), late)
        self.assertEqual(holds[-1].since, 3.0)

    def test_late_grant_whose_time_is_over_is_none(self):
        self.assertEqual(self._read(_grant(9.0, 7.0, arrived_at=1.0)), [])

    def test_end_of_a_process_ends_its_holds(self):
        [hold] = self._read(_grant(1.0, 7.0), ended_at=3.0)
        self.assertEqual(hold.until, 3.0)

    def test_renewal_replaces_the_grant(self):
        holds = self._read(_grant(1.0, 7.0), _grant(3.0, 9.0))
        self.assertEqual([hold.until for hold in holds], [3.0, 9.0])

    def test_grant_by_a_host_that_was_just_resumed(self):
        resumed = [ownership_checks.Resumed('host-1', 1.0)]
        self.assertEqual(self._read(_grant(1.2, 7.0), resumed=resumed), [])
        self.assertTrue(self._read(_grant(1.4, 7.0), resumed=resumed))
        other = _grant(1.2, 7.0, sender='host-2')
        self.assertTrue(self._read(other, resumed=resumed))

    def test_grant_by_a_link_that_just_went_on(self):
        """Guards against an excuse for other targets or for longer."""
        healed = [ownership_checks.Healed('i-1', 1.0)]
        other = [ownership_checks.Healed('i-2', 1.0)]
        self._read(_grant(1.2, 7.0), _grant(1.4, 7.0, fence=2))
        for links, count in ((healed, 1), (other, 2)):
            holds = ownership_checks.read_holds(
                self.path, 'i-1', 'book', math.inf, (), links
            )
            self.assertEqual(len(holds), count)
        grants = ownership_checks.read_grants(
            self.path, 'i-1', 'book', (), healed
        )
        self.assertEqual([each.is_excused for each in grants], [True, False])

    def test_link_that_leads_to_a_target_that_has_restarted(self):
        """Guards against an excuse that a number of the process takes away."""
        self._read(_grant(1.2, 7.0))
        healed = [ownership_checks.Healed('i-1', 1.0)]
        for holder, count in (('i-1/4', 0), ('i-11/4', 1)):
            holds = ownership_checks.read_holds(
                self.path, holder, 'book', math.inf, (), healed
            )
            self.assertEqual(len(holds), count)

    def test_grants_keep_what_has_expired(self):
        """Guards against a check of tokens that overlooks expired grants."""
        self._read(_grant(9.0, 7.0, arrived_at=1.0))
        [grant] = ownership_checks.read_grants(self.path, 'i-1', 'book')
        self.assertEqual((grant.at, grant.until), (9.0, 7.0))
        self.assertEqual(grant.request_id, 'host-1-abc')

    def test_work(self):
        """Guards against work that ends with another run of its request."""
        runs = [
            {'kind': kind, 'at': at, 'key': 3, 'request_id': name}
            for kind, at, name in (
                ('run', 1.0, 'x'),
                ('run', 1.1, 'y'),
                ('run', 1.2, 'x'),
                ('done', 1.4, 'x'),
                ('done', 1.6, 'x'),
            )
        ]
        self._read(*runs)
        works = ownership_checks.read_work(self.path, 'i-1', 'book', 9.0)
        self.assertEqual(
            sorted((each.since, each.until) for each in works),
            [(1.0, 1.4), (1.1, 9.0), (1.2, 1.6)],
        )

    def test_record_that_was_cut_off(self):
        """Guards against a check that fails when a target was killed."""
        self._read(_grant(1.0, 7.0))
        with open(self.path, 'a', encoding='utf-8') as record:
            record.write('{"kind": "ho')
        self.assertEqual(len(ownership_checks.read_records(self.path)), 1)

    def test_description_names_both_senders(self):
        """Guards against cases whose senders cannot be told."""
        [first] = self._read(_grant(1.0, 7.0))
        [second] = self._read(_grant(2.0, 8.0, sender='host-2'))
        second = second._replace(target='i-2')
        [(one, other)] = key_holds.overlaps([first, second])
        text = ownership_checks.describe(one, other)
        self.assertIn('from host-1', text)
        self.assertIn('from host-2', text)
        self.assertIn('5.000 s', text)
