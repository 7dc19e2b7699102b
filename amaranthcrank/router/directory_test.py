import unittest

from amaranthcrank.router import directory
from amaranthcrank.router import model

KEEP_S = 2.3
STALE_S = 5.0
EXPIRY_S = 4.0


def entry(target_id='i-1', state=model.READY, incarnation=1, port=1):
    return model.TargetEntry(
        target_id,
        'desk',
        model.Address('10.0.0.1', port),
        'a',
        3,
        state,
        0.0,
        incarnation,
    )


class EvacuationTest(unittest.TestCase):
    """Targets of evacuated failure domains must get nothing new."""

    def setUp(self):
        self.now = 100.0
        self.events = []
        self.directory = directory.Directory(
            lambda: self.now, 2.0, self._record
        )
        self.directory.replace_all(
            [entry('i-1'), entry('i-2')._replace(failure_domain='b')]
        )
        self.changes = 0
        self.directory.listeners.append(self._count_change)
        self.events.clear()

    def _record(self, event, **fields):
        self.events.append((event, fields.get('domain')))

    def _count_change(self):
        self.changes += 1

    def _ready(self):
        targets = self.directory.ready('desk')
        return sorted(target.entry.target_id for target in targets)

    def test_unknown_evacuations(self):
        """Guards against requests of a restarted host to any domain.

        Callers come before the host has listed the evacuations. In a soak
        with three routers that were all killed, one such request arrived.
        """
        self.directory.awaits_evacuations = True
        self.assertEqual(self._ready(), [])
        self.directory.evacuate([], 0.0)
        self.assertEqual(self._ready(), ['i-1', 'i-2'])
        # Requests that wait meanwhile must be assigned.
        self.assertEqual(self.changes, 1)

    def test_several_domains(self):
        self.directory.evacuate(['a'], 0.0)
        self.assertEqual(self._ready(), ['i-2'])
        self.assertFalse(self.directory.is_evacuated('desk'))
        self.directory.evacuate(['a', 'b'], 0.0)
        self.assertEqual(self._ready(), [])
        self.assertEqual(self.directory.ready_slots(), 0)
        self.assertTrue(self.directory.is_evacuated('desk'))
        self.directory.evacuate(['b'], 0.0)
        self.assertEqual(self._ready(), ['i-1'])
        self.assertEqual(
            self.events,
            [
                ('domain_evacuated', 'a'),
                ('domain_evacuated', 'b'),
                ('domain_restored', 'a'),
            ],
        )

    def test_unchanged_set_costs_nothing(self):
        """Guards against assignment passes after each read of the store."""
        self.assertTrue(self.directory.evacuate(['a'], 0.0))
        self.assertFalse(self.directory.evacuate(['a'], 0.0))
        self.assertEqual(self.changes, 1)

    def test_targets_that_join_later(self):
        self.directory.evacuate(['a'], 0.0)
        self.directory.put(entry('i-3'))
        self.assertEqual(self._ready(), ['i-2'])

    def test_start_of_an_evacuation(self):
        """Guards against a new start of the time in which owners get keys.

        A host that has missed changes cannot know how long ago the domain was
        evacuated, and an evacuation goes on when another one begins.
        """
        self.directory.evacuate(['a'], 3.0)
        self.now += 1.0
        self.directory.evacuate(['a', 'b'], 0.0)
        self.assertEqual(
            self.directory.evacuated_since_by_domain, {'a': 97.0, 'b': 101.0}
        )
        self.directory.evacuate([], 0.0)
        self.directory.evacuate(['a'], 0.0)
        self.assertEqual(
            self.directory.evacuated_since_by_domain, {'a': 101.0}
        )

    def test_service_without_targets(self):
        self.directory.evacuate(['a'], 0.0)
        self.assertFalse(self.directory.is_evacuated('other'))


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.directory = directory.Directory(
            lambda: self.now, 2.0, lambda *_, **__: None
        )

    def _ids(self):
        return sorted(self.directory.by_id)

    def test_removed_entry_is_gone_at_once(self):
        # A departed target must get no requests while the store is available.
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        self.directory.remove('i-1')
        self.assertEqual(self._ids(), ['i-2'])

    def test_expired_entries_are_kept_until_written_again(self):
        # Entries expire in an outage of the store; the targets still serve.
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        self.directory.keep_missing(KEEP_S, STALE_S)
        self.directory.replace_all([])
        self.assertEqual(self._ids(), ['i-1', 'i-2'])
        self.directory.put(entry('i-1'))
        self.now += KEEP_S + 0.1
        self.directory.drop_expired()
        self.assertEqual(self._ids(), ['i-1'])

    def test_entries_that_a_restored_store_lacks(self):
        """Guards against live targets that are taken for ended."""
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        self.directory.begin_restore(KEEP_S, EXPIRY_S)
        self.directory.replace_all([])
        self.assertEqual(self._ids(), ['i-1', 'i-2'])
        self.directory.put(entry('i-1'))
        self.now += KEEP_S + 0.1
        self.directory.drop_expired()
        self.assertEqual(self._ids(), ['i-1'])
        self.assertFalse(self.directory.has_departed('i-2/1'))

    def test_drain_that_started_before_a_restore(self):
        """Guards against keyed requests to targets that departed long ago.

        The store was also unavailable before it came back.
        """
        self.directory.replace_all([entry('i-1')])
        self.directory.mark_stale(STALE_S)
        self.directory.begin_restore(KEEP_S, EXPIRY_S)
        self.directory.replace_all([entry('i-1', model.DRAINING)])
        target = self.directory.by_id['i-1']
        self.assertEqual(target.draining_since, self.now - STALE_S)

    def _restore(self, *entries):
        self.directory.begin_restore(KEEP_S, EXPIRY_S)
        self.directory.replace_all(entries)

    def _ready(self):
        targets = self.directory.ready('desk')
        return [target.entry.holder for target in targets]

    def test_departed_target_that_a_copy_brings_back(self):
        """Guards against requests to a target that has left and serves on."""
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        self.directory.remove('i-1')
        for _ in range(2):
            self._restore(entry('i-1'), entry('i-2'))
            self.assertEqual(self._ids(), ['i-2'])
        self.directory.remove('i-1')
        self.now += EXPIRY_S
        self.directory.drop_expired()
        self.assertEqual(self._ids(), ['i-2'])

    def test_departed_target_whose_entry_does_not_expire(self):
        """Guards against a live target that gets no requests for good.

        It had lost the store for so long that its entry expired. It writes
        nothing but heartbeats after the restore, which make no changes.
        """
        self.directory.replace_all([entry('i-1')])
        self.directory.remove('i-1')
        self._restore(entry('i-1'))
        self.now += EXPIRY_S - 0.1
        self.directory.drop_expired()
        self.assertEqual(self._ids(), [])
        self.now += 0.1
        self.directory.drop_expired()
        self.assertEqual(self._ids(), ['i-1'])

    def test_departed_target_that_writes_its_entry_again(self):
        self.directory.replace_all([entry('i-1')])
        self.directory.remove('i-1')
        self._restore(entry('i-1'))
        self.directory.put(entry('i-1'))
        self.assertEqual(self._ids(), ['i-1'])

    def test_former_start_that_a_copy_brings_back(self):
        """Guards against keys for a start of a target that has ended."""
        self.directory.replace_all([entry('i-1', incarnation=1)])
        self.directory.put(entry('i-1', incarnation=2))
        self._restore(entry('i-1', incarnation=1))
        self.assertEqual(self._ready(), ['i-1/2'])
        self.directory.put(entry('i-1', incarnation=2))
        self.now += EXPIRY_S
        self.directory.drop_expired()
        self.assertEqual(self._ready(), ['i-1/2'])

    def test_former_start_of_a_departed_target(self):
        self.directory.replace_all([entry('i-1', incarnation=2)])
        self.directory.remove('i-1')
        self._restore(entry('i-1', incarnation=1))
        self.assertEqual(self._ids(), [])

    def test_former_address_that_a_copy_brings_back(self):
        """Guards against requests to an address that others may have got."""
        self.directory.replace_all([entry('i-1', port=1)])
        self.directory.put(entry('i-1', port=2))
        self._restore(entry('i-1', port=1))
        (target,) = self.directory.ready('desk')
        self.assertEqual(target.entry.address.port, 2)

    def test_new_start_in_the_list_after_a_restore(self):
        """Guards against a restarted target that is taken for an old one."""
        self.directory.replace_all([entry('i-1', incarnation=1)])
        self._restore(entry('i-1', incarnation=2))
        self.assertEqual(self._ready(), ['i-1/2'])

    def test_draining_target_that_a_copy_shows_as_ready(self):
        """Guards against requests to a target that leaves.

        It writes its entry again, or the entry expires.
        """
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        for target_id in ('i-1', 'i-2'):
            self.directory.put(entry(target_id, model.DRAINING))
        self.directory.remove('i-2')
        draining_since = self.now
        self.now += 1.0
        self._restore(entry('i-1'), entry('i-2'))
        self.assertEqual(self._ready(), [])
        target = self.directory.by_id['i-1']
        self.assertEqual(target.draining_since, draining_since)
        self.now += EXPIRY_S
        self.directory.drop_expired()
        self.assertEqual(self._ready(), [])

    def test_departure_seen_by_another_host(self):
        """Guards against requests to departed targets after the drain time.

        A missing entry whose removal another host saw did not expire.
        """
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        self.directory.keep_missing(KEEP_S, STALE_S)
        self.directory.replace_all([entry('i-2')])
        self.assertEqual(self.directory.missing_holders(), ['i-1/1'])
        self.directory.confirm_departure('i-1/1')
        self.directory.confirm_departure('i-2/1')
        self.assertEqual(self._ids(), ['i-2'])

    def test_only_targets_seen_to_depart_have_departed(self):
        # An entry that expired at this host may have expired at the querying
        # host as well.
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        self.directory.remove('i-1')
        self.directory.keep_missing(KEEP_S, STALE_S)
        self.directory.replace_all([])
        self.now += KEEP_S + 0.1
        self.directory.drop_expired()
        self.assertTrue(self.directory.has_departed('i-1/1'))
        self.assertFalse(self.directory.has_departed('i-2/1'))

    def test_entries_that_were_not_kept_may_have_expired(self):
        """Guards against live targets that all hosts drop on one report."""
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        self.directory.keep_missing(-0.3, STALE_S)
        self.directory.replace_all([])
        self.assertEqual(self._ids(), [])
        self.assertFalse(self.directory.has_departed('i-1/1'))

    def test_target_that_returned_has_not_departed(self):
        self.directory.replace_all([entry('i-1')])
        self.directory.remove('i-1')
        self.directory.put(entry('i-1'))
        self.assertFalse(self.directory.has_departed('i-1/1'))

    def test_draining_target_is_not_kept(self):
        # Its entry did not expire: the target departed.
        self.directory.replace_all([entry('i-1', model.DRAINING)])
        self.directory.keep_missing(KEEP_S, STALE_S)
        self.directory.replace_all([])
        self.assertEqual(self._ids(), [])

    def test_draining_target_is_not_ready(self):
        self.directory.replace_all([entry('i-1')])
        self.directory.put(entry('i-1', model.DRAINING))
        self.assertEqual(self.directory.ready('desk'), [])
        self.assertIsNotNone(self.directory.by_id['i-1'].draining_since)

    def test_drain_that_started_during_an_outage(self):
        """Guards against keyed requests to targets that departed long ago.

        A draining owner is sent requests for a limited time. It counts from
        the earliest possible start of the drain, not from when a host without
        access to the store read of it.
        """
        self.directory.replace_all([entry('i-1')])
        self.directory.keep_missing(KEEP_S, STALE_S)
        self.directory.replace_all(
            [entry('i-1', model.DRAINING), entry('i-2', model.DRAINING)]
        )
        for target in self.directory.by_id.values():
            self.assertEqual(target.draining_since, self.now - STALE_S)

    def test_drain_that_was_seen_late(self):
        """Guards against keyed requests to targets that departed long ago.

        A silent connection to the store is detected after seconds. Entries
        only expire in a longer outage, so none is kept, but the changes that
        are read afterwards may be that old.
        """
        self.directory.replace_all([entry('i-1'), entry('i-2')])
        self.directory.mark_stale(STALE_S)
        self.directory.put(entry('i-1', model.DRAINING))
        self.directory.mark_current()
        self.directory.put(entry('i-2', model.DRAINING))
        since_by_id = {
            target_id: target.draining_since
            for target_id, target in self.directory.by_id.items()
        }
        self.assertEqual(
            since_by_id, {'i-1': self.now - STALE_S, 'i-2': self.now}
        )

    def test_drain_before_the_host_started(self):
        """Guards against keyed requests to targets that departed long ago."""
        self.directory.replace_all([entry('i-1', model.DRAINING)])
        draining_since = self.directory.by_id['i-1'].draining_since
        self.assertLess(draining_since, self.now - 60.0)

    def test_new_incarnation_has_a_new_state(self):
        # A target that restarted under its id inherits no state.
        self.directory.replace_all([entry('i-1')])
        self.directory.by_id['i-1'].record_unreachable(self.now)
        self.directory.put(entry('i-1', incarnation=2))
        self.assertIsNone(self.directory.find('i-1', 1))
        self.assertEqual(self.directory.find('i-1', 2).paused_until, 0.0)
