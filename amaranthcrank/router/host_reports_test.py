"""Tests of what hosts tell one another of keys and of themselves."""

import asyncio
import types
import unittest

from amaranthcrank.router import host_reports
from amaranthcrank.router import key_table
from amaranthcrank.router import model
from amaranthcrank.router import owner_usage
from amaranthcrank.router import peers
from amaranthcrank.router import target_state


def _range(first, last, fence, moving=False, former_holders=''):
    return model.KeyRange(first, last, 'i-1', 1, fence, moving, former_holders)


def _map(revision, *ranges):
    return model.KeyMap('book', 9, ranges, revision, {})


class _TwoHostsTest(unittest.IsolatedAsyncioTestCase):
    """Two hosts whose datagrams are passed on by the test."""

    def setUp(self):
        self.now = 100.0
        self.sent = []
        self.served = []
        self.first = self.make('h-1', is_leading=True)
        self.second = self.make('h-2', is_leading=False)

    def make(self, host_id, is_leading):
        messenger = peers.Messenger(host_id, 'a')
        messenger.send_to_all = lambda kind, content: self.sent.append(
            (kind, content)
        )
        messenger.send = lambda host, kind, content: self.sent.append(
            (kind, content)
        )
        lease = types.SimpleNamespace(
            is_held=is_leading,
            holder_id='',
            record_heartbeat=lambda revision: None,
            record_resignation=lambda: None,
        )
        request_queue = types.SimpleNamespace(
            assign_waiting=self.served.append, waiting_by_owner=dict
        )
        reports = host_reports.HostReports(
            messenger,
            types.SimpleNamespace(by_id={}),
            key_table.KeyTable(),
            request_queue,
            None,
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
    def test_a_change_needs_no_read(self):
        """Guards against a call to the store by each host for each move."""
        before = _map(3, _range(0, 65535, 1))
        after = _map(8, _range(0, 99, 2, True, 'i-1/1'), _range(100, 65535, 1))
        self.second.keys.put(before)
        self.first.broadcast_moved(before, after)
        self.deliver(self.second)
        self.assertTrue(self.second.keys.find('book', 50).moving)
        self.assertEqual(self.second.keys.revision('book'), 8)
        self.assertEqual(self.served, ['book'])

    def test_a_long_change_is_left_to_the_store(self):
        """Guards against a datagram that no network carries."""
        many = [_range(at, at, at + 2) for at in range(1000)]
        self.first.broadcast_moved(_map(3), _map(8, *many))
        self.assertEqual(self.sent, [])

    def test_a_change_of_many_ranges_needs_no_read(self):
        """Guards against reads by each host where many keys move at once."""
        many = [_range(at, at, at + 2) for at in range(100)]
        rest = _range(100, 65535, 1)
        self.second.keys.put(_map(3, _range(0, 65535, 1)))
        self.first.broadcast_moved(
            _map(3, _range(0, 65535, 1)), _map(8, *many, rest)
        )
        self.assertGreater(len(self.sent), 1)
        self.deliver(self.second)
        self.assertEqual(self.second.keys.revision('book'), 8)
        self.assertEqual(self.second.keys.find('book', 50).fence, 52)

    def test_a_full_report_of_keys_fits(self):
        """Guards against reports that are dropped on the busiest hosts."""
        samples = [('s' * 16, 65535, 0.123)] * host_reports.MAX_KEY_SAMPLES
        self.assertTrue(self.second.messenger.fits(peers.KEYS, samples))

    def test_a_heartbeat_shows_a_lost_change(self):
        """Guards against a host that never learns of a lost datagram."""
        self.second.keys.put(_map(3, _range(0, 65535, 1)))
        self.first.keys.put(_map(8, _range(0, 65535, 2)))
        self.second._on_controller('h-1', [5, {'book': 8}, []])
        self.assertTrue(self.second.is_controller_known())
        self.assertFalse(self.second.read_schedule.is_due())
        self.now += 0.3
        self.second._on_controller('h-1', [5, {'book': 8}, []])
        self.assertTrue(self.second.read_schedule.is_due())

    async def test_a_new_host_is_known_to_those_before_it(self):
        """Guards against a host that no other sends its reports to."""
        joining = asyncio.create_task(self.second.announce())
        await asyncio.sleep(host_reports.HELLO_INTERVAL_S * 1.2)
        joining.cancel()
        self.assertTrue(self.second.read_schedule.is_due())
        self.deliver(self.first, 'h-2')
        self.assertEqual(
            self.first.messenger.by_id['h-2'],
            peers.Peer('h-2', model.Address('10.0.0.1', 7200), 'a'),
        )


class OwnersInDemandTest(_TwoHostsTest):
    """Pattern: a keyed service is full, with few requests of each host."""

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

    def test_single_requests_count_while_a_service_is_in_demand(self):
        """Guards against sixty hosts that take an owner for idle."""
        self.add_target(self.second, 1)
        self.second._report_owners(self.now)
        self.assertEqual(self.sent, [])
        self.second._on_controller('h-1', [5, {}, ['book']])
        self.second._report_owners(self.now)
        self.assertEqual(
            self.sent, [(peers.OWNERS, {'i-1': owner_usage.Usage(1, 0)})]
        )

    def test_the_controller_answers_with_the_others(self):
        """Guards against a host that never learns what others have."""
        self.first._controller.contended_services = frozenset(('book',))
        self.add_target(self.first, 2)
        self.first._report_owners(self.now)
        target = self.add_target(self.second, 1)
        self.second._on_controller('h-1', [5, {}, ['book']])
        self.second._report_owners(self.now)
        self.deliver(self.first, 'h-2')
        self.deliver(self.second, 'h-1')
        self.second._admission.domain_hosts = 2
        self.second.apply_load()
        self.assertEqual(target.in_flight_elsewhere, 2)
