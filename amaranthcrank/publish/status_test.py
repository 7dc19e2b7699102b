import json
import unittest

from amaranthcrank.publish import status

STATE = {'cells': {'balaju': {}, 'patan': {}}}


def make_cell(*hosts):
    return status.CellView(
        version=7,
        effective=6,
        settled_ticket=4,
        controller=hosts[0][0] if hosts else '',
        host_by_id={
            name: status.HostView(ticket, True, 40) for name, ticket in hosts
        },
        target_by_id={'s1': status.TargetView('active', 8, True)},
    )


def make_status(view_by_cell, state=STATE, ready=True):
    return status.status_document(
        'b1',
        'balaju',
        ready,
        5,
        status.StoreView(True, 1000),
        view_by_cell,
        state,
    )


class StatusTest(unittest.TestCase):
    def test_status_document(self):
        document = make_status(
            {'patan': make_cell(('p1', 5)), 'balaju': make_cell(('b1', 5))}
        )
        self.assertEqual(json.loads(json.dumps(document)), document)
        self.assertTrue(document['in_force'])
        self.assertEqual(
            document['cells']['balaju'],
            {
                'version': 7,
                'effective': 6,
                'settled_ticket': 4,
                'controller': 'b1',
                'hosts': {'b1': {'ticket': 5, 'ready': True, 'silent_ms': 40}},
                'targets': {
                    's1': {'state': 'active', 'slots': 8, 'fenced': True}
                },
            },
        )

    def test_not_in_force_without_status_of_every_cell(self):
        balaju = make_cell(('b1', 5), ('b2', 4))
        lagging = make_status({'balaju': balaju, 'patan': make_cell()})
        self.assertEqual(lagging['lagging'], ['b2'])
        self.assertFalse(lagging['in_force'])
        current = {'balaju': make_cell(('b1', 5))}
        self.assertFalse(make_status(current)['in_force'])
        self.assertEqual(make_status(current)['unheard'], ['patan'])
        self.assertFalse(make_status(current, {}, False)['in_force'])
        lost = {**STATE, 'lost_cells': ['patan'], 'lost_hosts': ['b2']}
        self.assertTrue(make_status({'balaju': balaju}, lost)['in_force'])

    def test_text(self):
        text = status.status_text(
            make_status({'balaju': make_cell(('b1', 4)), 'patan': make_cell()})
        )
        self.assertIn('not in force everywhere (lagging: b1)', text)
        self.assertIn('Store: reachable since 1970-01-01T00:00:01Z', text)
        self.assertIn('balaju  b1    4       yes    40', text)
        self.assertIn('patan   7        6          4        -', text)
        owner = status.owner_document('a', 'k\n', 3, 'c', 's1', 9, True)
        self.assertIn('key: k\\n\nslot: 3', status.owner_text(owner))
        self.assertTrue(status.owner_text(owner).endswith('pinned: yes'))
        queues = status.queues_document(
            {'s1': status.QueueView(3, 2, {'bulk': 9})}
        )
        self.assertEqual(
            queues['s1']['waiting'], {'urgent': 0, 'normal': 0, 'bulk': 9}
        )
        self.assertIn('s1      3      2', status.queues_text(queues))
