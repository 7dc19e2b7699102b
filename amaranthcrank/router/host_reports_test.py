"""Tests of messages between hosts on keys, usage and new hosts."""

import asyncio
import types
import unittest

from amaranthcrank.platform import store_position
from amaranthcrank.router import host_reports
from amaranthcrank.router import key_table
from amaranthcrank.router import message_kinds
from amaranthcrank.router import model
from amaranthcrank.router import owner_usage
from amaranthcrank.router import peers
from amaranthcrank.router import target_state


def _range(first, last, fence, moving=False, former_holders=''):
    return model.KeyRange(first, last, 'i-1', 1, fence, moving, former_holders)


def _map(revision, *ranges):
    return model.KeyMap('book', 9, ranges, revision, {})


class _TwoHostsTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts whose datagrams are delivered by the test."""

    def setUp(self):
        self.now = 100.0
        self.sent = []
        self.assigned_services = []
        self.active = []
        self.first = self.make('h-1', is_controller=True)
        self.second = self.make('h-2', is_controller=False)

    def make(self, host_id, is_controller):
        messenger = peers.Messenger(host_id, 'a')
        messenger.send_to_all = lambda kind, content: self.sent.append(
            (kind, content)
        )
        messenger.send = lambda host, kind, content: self.sent.append(
            (kind, content)
        )
        lease = types.SimpleNamespace(
            is_held=is_controller,
            holder_id='',
            record_heartbeat=lambda revision: None,
            record_resignation=lambda: None,
            record_active_holder=lambda: self.active.append(host_id),
        )
        request_queue = types.SimpleNamespace(
            assign_waiting=self.assigned_services.append,
            waiting_by_owner=dict,
            selection=types.SimpleNamespace(domain_hosts=2),
        )
        reports = host_reports.HostReports(
            messenger,
            types.SimpleNamespace(by_id={}),
            key_table.KeyTable(),
            request_queue,
            lease,
            types.SimpleNamespace(
                contended_services=frozenset(),
                is_keyed=lambda service: service == 'book',
            ),
            peers.Peer(host_id, model.Address('10.0.0.1', 7200), 'a'),
            lambda: self.now,
            lambda: 0.0,
        )
        reports.messenger = messenger
        reports.keys = reports._keys
        return reports

    def deliver(self, to, sender='h-1'):
        sent = list(self.sent)
        self.sent.clear()
        for kind, content in sent:
            to.messenger.handler_by_kind[kind](sender, content)


class HostReportsTest(_TwoHostsTest):
    def test_change_needs_no_read(self):
        """Guards against a store call by every host for every move."""
        before = _map(3, _range(0, 65535, 1))
        after = _map(8, _range(0, 99, 2, True, 'i-1/1'), _range(100, 65535, 1))
        self.second.keys.put(before)
        self.first.broadcast_key_map_change(before, after)
        self.deliver(self.second)
        self.assertTrue(self.second.keys.find('book', 50).moving)
        self.assertEqual(self.second.keys.revision('book'), 8)
        self.assertEqual(self.assigned_services, ['book'])

    def test_change_too_long_to_send_is_read_from_the_store(self):
        """Guards against a datagram that exceeds the size limit."""
        many = [_range(at, at, at + 2) for at in range(1000)]
        self.first.broadcast_key_map_change(_map(3), _map(8, *many))
        self.assertEqual(self.sent, [])

    def test_change_of_many_ranges_needs_no_read(self):
        """Guards against reads by every host when many keys move at once."""
        many = [_range(at, at, at + 2) for at in range(100)]
        rest = _range(100, 65535, 1)
        self.second.keys.put(_map(3, _range(0, 65535, 1)))
        self.first.broadcast_key_map_change(
            _map(3, _range(0, 65535, 1)), _map(8, *many, rest)
        )
        self.assertGreater(len(self.sent), 1)
        self.deliver(self.second)
        self.assertEqual(self.second.keys.revision('book'), 8)
        self.assertEqual(self.second.keys.find('book', 50).fence, 52)

    def test_full_report_of_keys_fits(self):
        """Guards against oversized reports, which the busiest hosts drop."""
        samples = [('s' * 16, 65535, 0.123)] * host_reports.MAX_KEY_SAMPLES
        self.assertTrue(
            self.second.messenger.fits(message_kinds.KEY_LOAD, samples)
        )

    def test_heartbeat_shows_a_lost_change(self):
        """Guards against a host that never notices a lost datagram."""
        self.second.keys.put(_map(3, _range(0, 65535, 1)))
        self.first.keys.put(_map(8, _range(0, 65535, 2)))
        self.second._on_heartbeat('h-1', [5, {'book': 8}, []])
        self.assertTrue(self.second.is_controller_known())
        self.assertFalse(self.second.read_schedule.is_due())
        self.now += 0.3
        self.second._on_heartbeat('h-1', [5, {'book': 8}, []])
        self.assertTrue(self.second.read_schedule.is_due())

    def test_controller_that_waits_is_no_sign_of_known_owners(self):
        """Guards against owners that are renewed by the map of a copy.

        A controller that has only a map of an earlier era does not act on it,
        so who hears from it does not know what happens to the keys.
        """
        lease_at = store_position.position(2, 90)
        copied_at = store_position.position(2, 50)
        self.first.keys.put(_map(copied_at, _range(0, 65535, 2)))
        waiting = self.first.keys.revisions_to_announce()
        self.second._on_heartbeat('h-1', [lease_at, waiting, []])
        self.assertEqual(self.active, [])
        written = _map(copied_at + 1, _range(0, 65535, 2))._replace(era=2)
        self.first.keys.put(written)
        acting = self.first.keys.revisions_to_announce()
        self.second._on_heartbeat('h-1', [lease_at, acting, []])
        self.assertEqual(self.active, ['h-2'])

    async def test_new_host_is_known_to_earlier_hosts(self):
        """Guards against a host that receives no reports from others."""
        announcing = asyncio.create_task(self.second.announce())
        await asyncio.sleep(host_reports.HELLO_INTERVAL_S * 1.2)
        announcing.cancel()
        self.assertTrue(self.second.read_schedule.is_due())
        self.deliver(self.first, 'h-2')
        self.assertEqual(
            self.first.messenger.by_id['h-2'],
            peers.Peer('h-2', model.Address('10.0.0.1', 7200), 'a'),
        )


class ContendedOwnersTest(_TwoHostsTest):
    """The owners of a service are busy, with few requests from each host."""

    def add_target(self, reports, in_flight):
        entry = model.TargetEntry(
            'i-1',
            'book',
            model.Address('10.0.0.1', 1),
            'a',
            3,
            model.READY,
            0.0,
            1,
        )
        target = target_state.Target(entry, 0.0)
        target.in_flight = in_flight
        reports._targets.by_id['i-1'] = target
        return target

    def test_single_requests_count_while_a_service_is_contended(self):
        """Guards against sixty hosts that all consider an owner idle."""
        self.add_target(self.second, 1)
        self.second._report_owner_usage(self.now)
        self.assertEqual(self.sent, [])
        self.second._on_heartbeat('h-1', [5, {}, ['book']])
        self.second._report_owner_usage(self.now)
        self.assertEqual(
            self.sent,
            [(message_kinds.OWNER_USAGE, {'i-1': owner_usage.Usage(1, 0)})],
        )

    def test_controller_replies_with_the_usage_by_others(self):
        """Guards against a host that never sees the usage by others."""
        self.first._controller.contended_services = frozenset(('book',))
        self.add_target(self.first, 2)
        self.first._report_owner_usage(self.now)
        target = self.add_target(self.second, 1)
        self.second._on_heartbeat('h-1', [5, {}, ['book']])
        self.second._report_owner_usage(self.now)
        self.deliver(self.first, 'h-2')
        self.deliver(self.second, 'h-1')
        self.second.apply_load()
        self.assertEqual(target.in_flight_elsewhere, 2)
