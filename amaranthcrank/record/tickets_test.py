import copy
import json
import os
import unittest

import hypothesis
from hypothesis import strategies

from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.record import tickets


def make_target(number, cell='balaju'):
    return {
        'address': f'127.0.0.1:{9000 + number}',
        'cell': cell,
        'slots': 3,
        'connections': 110,
        'fenced': True,
        'state': 'active',
    }


def make_touches():
    return {
        'services': {
            'soaklog': {
                'slots': 16,
                'ranges': [
                    {'cell': 'patan', 'from': 8, 'to': 16},
                    {'cell': 'balaju', 'from': 0, 'to': 8},
                ],
                'targets': {
                    's1': make_target(1),
                    's2': make_target(2, 'patan'),
                    's3': make_target(3, 'patan'),
                },
                'pins': {'furnace/3': 's3'},
            }
        },
        'cells': {
            name: {
                'failure_domain': f'ktm-{name}',
                'region': 'kathmandu',
                'attester': None,
            }
            for name in ('balaju', 'patan')
        },
        'ranks': {'normal': {'floor': 0.15}, 'bulk': {'floor': 0.05}},
        'link': {
            'bytes_per_s': 400_000,
            'share': {'urgent': 0.5, 'normal': 0.3, 'bulk': 0.2},
        },
        'lost_cells': [],
    }


def make_document(touches, expected=0):
    return tickets.Document('asha', 'uid-1', expected, touches)


FIRST = tickets.make_ticket(
    make_document(make_touches()), model.EMPTY_STATE, 0, 1000
)

SERVICE = 'services/soaklog'
S1 = 'services/soaklog/targets/s1'
# Invalid changes: path, new value, numbers and places of the problems. Guards
# against accepting a ticket that the hosts cannot apply.
INVALID_CHANGES = (
    ('bogus', {}, '503 bogus'),
    ('services', [], '504 services'),
    ('services/a|b', None, '506 services/a|b'),
    (f'{SERVICE}/bogus', 1, f'503 {SERVICE}/bogus'),
    (f'{SERVICE}/slots', '16', f'504 {SERVICE}/slots'),
    (f'{SERVICE}/slots', True, f'504 {SERVICE}/slots'),
    (f'{SERVICE}/slots', 0, f'507 {SERVICE}/slots'),
    (f'{SERVICE}/pins', [], f'504 {SERVICE}/pins'),
    (f'{SERVICE}/pins/x', 's9', f'514 {SERVICE}/pins/x'),
    (f'{SERVICE}/pins/\ud800', 's3', f'506 {SERVICE}/pins/\\ud800'),
    (
        f'{SERVICE}/ranges/0/cell',
        'thimi',
        f'510 {SERVICE}/ranges/0/cell',
    ),
    (f'{SERVICE}/ranges/0/to', 17, f'507 {SERVICE}/ranges/0'),
    (f'{SERVICE}/ranges/0/from', 7, f'508 {SERVICE}/ranges/0'),
    (f'{SERVICE}/ranges/0/from', 9, f'509 {SERVICE}/ranges'),
    (f'{SERVICE}/ranges', [], f'509 {SERVICE}/ranges'),
    (f'{S1}/cell', 'thimi', f'510 {S1}/cell, 516 {SERVICE}/targets'),
    (f'{S1}/cell', 'patan', f'516 {SERVICE}/targets'),
    (f'{S1}/state', 'draining', f'516 {SERVICE}/targets'),
    (f'{S1}/state', 'gone', f'504 {S1}/state'),
    (f'{S1}/slots', 257, f'507 {S1}/slots'),
    (f'{S1}/connections', 65_536, f'507 {S1}/connections'),
    (f'{S1}/connections', 3, f'522 {S1}/connections'),
    (f'{S1}/fenced', 'yes', f'504 {S1}/fenced'),
    (f'{S1}/address', '127.0.0.1:0', f'511 {S1}/address'),
    (
        f'{S1}/address',
        '127.0.0.1:9002',
        f'525 {SERVICE}/targets/s2/address',
    ),
    (
        f'{SERVICE}/targets/s3/state',
        'draining',
        f'515 {SERVICE}/pins/furnace/3',
    ),
    ('cells/balaju/attester', 7, '504 cells/balaju/attester'),
    (
        'cells/balaju',
        {},
        '502 cells/balaju/failure_domain, 502 cells/balaju/region, '
        '502 cells/balaju/attester',
    ),
    ('ranks/normal/floor', 0.95, '513 ranks'),
    ('ranks/normal/floor', -0.1, '507 ranks/normal/floor'),
    ('ranks/urgent', {'floor': 0.1}, '503 ranks/urgent'),
    ('link/bytes_per_s', 0, '507 link/bytes_per_s'),
    ('link/share/bulk', 0.3, '518 link/share'),
    ('lost_cells', ['thimi'], '517 lost_cells/0'),
    ('lost_hosts', [1], '504 lost_hosts/0'),
)


def replace_at(touches, path, value):
    changed = copy.deepcopy(touches)
    parts = path.split('/')
    place = changed
    for part in parts[:-1]:
        place = place[int(part) if isinstance(place, list) else part]
    place[parts[-1]] = value
    return changed


def places_of(value, path=''):
    if path:
        yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    if isinstance(value, list):
        items = enumerate(value)
    for name, each in items:
        if '/' not in str(name):
            yield from places_of(each, f'{path}/{name}' if path else name)


class TicketsTest(unittest.TestCase):
    def test_valid_first_ticket(self):
        document = make_document(make_touches())
        self.assertEqual(
            tickets.check_document(document, model.EMPTY_STATE, 0), ()
        )
        self.assertEqual(FIRST.number, 1)
        self.assertEqual(
            FIRST.touches,
            ('cells/balaju', 'cells/patan', 'link', 'lost_cells', 'ranks')
            + ('services/soaklog',),
        )
        self.assertEqual(FIRST.state['lost_hosts'], [])

    def test_example_in_the_operating_documentation(self):
        page = os.path.join(
            os.path.dirname(__file__), '..', '..', 'docs', 'operating.md'
        )
        with open(page, encoding='utf-8') as source:
            example = source.read().split('```json\n')[1].split('```')[0]
        document, problems = tickets.parse_document(
            example.encode(), ('touches',)
        )
        self.assertEqual(problems, ())
        self.assertEqual(
            tickets.check_document(document, model.EMPTY_STATE, 0), ()
        )

    def test_each_invalid_value_has_its_code_and_place(self):
        for path, value, expected in INVALID_CHANGES:
            with self.subTest(path=path, value=value):
                problems = tickets.check_document(
                    make_document(replace_at(make_touches(), path, value)),
                    model.EMPTY_STATE,
                    0,
                )
                found = ', '.join(
                    f'{each.code.number} {each.place}' for each in problems
                )
                self.assertEqual(found, expected)

    def test_all_problems_at_once(self):
        touches = make_touches()
        touches = replace_at(touches, f'{S1}/slots', 'x')
        touches = replace_at(touches, f'{SERVICE}/ranges/0/from', 9)
        touches = replace_at(touches, 'ranks/bulk/floor', 0.9)
        touches = replace_at(touches, 'lost_cells', ['thimi'])
        problems = tickets.check_document(
            make_document(touches, 7), model.EMPTY_STATE, 0
        )
        self.assertEqual(
            sorted(each.code.number for each in problems),
            [500, 504, 509, 513, 517],
        )

    def test_immutable_fields_of_a_service(self):
        # Guards against giving keys a new owner without waiting for the
        # grants of the old one to expire.
        for path, value, code in (
            (f'{S1}/address', '127.0.0.1:9100', codes.TICKET_TARGET_CHANGED),
            (
                f'{SERVICE}/targets/s2/cell',
                'balaju',
                codes.TICKET_TARGET_CHANGED,
            ),
            (f'{SERVICE}/slots', 15, codes.TICKET_SLOTS_CHANGED),
        ):
            touches = replace_at(make_touches(), path, value)
            if path.endswith('/slots'):
                touches = replace_at(touches, f'{SERVICE}/ranges/0/to', 15)
            problems = tickets.check_document(
                make_document(touches, 1), FIRST.state, 1
            )
            self.assertEqual([each.code for each in problems], [code])

    def test_immutable_fields_after_a_removal(self):
        # Guards against a second owner of a slot when a cell skips the ticket
        # with the removal and goes directly to a later one.
        document = make_document({'services': {'soaklog': None}}, 1)
        problems = tickets.check_document(document, FIRST.state, 1)
        self.assertEqual(
            [each.code for each in problems], [codes.TICKET_SERVICE_REMOVED]
        )
        service = copy.deepcopy(FIRST.state['services']['soaklog'])
        del service['targets']['s2']
        after = tickets.apply_touches(
            FIRST.state, {'services': {'soaklog': service}}
        )
        self.assertEqual(set(after['retired']), {'s2'})
        back = replace_at(
            make_touches(), f'{SERVICE}/targets/s2/address', '127.0.0.1:9100'
        )
        problems = tickets.check_document(make_document(back, 2), after, 2)
        self.assertEqual(
            [each.code for each in problems], [codes.TICKET_TARGET_CHANGED]
        )
        restored = tickets.apply_touches(after, make_touches())
        self.assertEqual(restored['retired'], {})

    def test_service_without_ranges_and_targets(self):
        ended = {'slots': 16, 'ranges': [], 'targets': {}, 'pins': {}}
        document = make_document({'services': {'soaklog': ended}}, 1)
        self.assertEqual(tickets.check_document(document, FIRST.state, 1), ())

    def test_pin_outside_the_cell_of_its_key(self):
        # Cells do not coordinate pins, so with a pin outside the home cell
        # both cells could own the key.
        for target in ('s1', 's2', 's3'):
            touches = replace_at(
                make_touches(), f'{SERVICE}/pins', {'k': target}
            )
            problems = tickets.check_document(
                make_document(touches, 1), FIRST.state, 1
            )
            service = touches['services']['soaklog']
            slot = hashing.slot_of('soaklog', 'k', service['slots'])
            home = next(
                each['cell']
                for each in service['ranges']
                if each['from'] <= slot < each['to']
            )
            expected = [codes.TICKET_PIN_CELL]
            if service['targets'][target]['cell'] == home:
                expected = []
            self.assertEqual([each.code for each in problems], expected)

    def test_removal_of_a_cell_in_use(self):
        problems = tickets.check_document(
            make_document({'cells': {'patan': None}}, 1), FIRST.state, 1
        )
        self.assertEqual(
            {each.code for each in problems}, {codes.TICKET_UNKNOWN_CELL}
        )

    def test_same_target_id_in_two_services(self):
        other = replace_at(make_touches(), f'{S1}/address', '127.0.0.1:9100')
        other = other['services']['soaklog']
        other['targets'] = {
            's1': other['targets']['s1'],
            't2': make_target(200, 'patan'),
        }
        other['pins'] = {}
        problems = tickets.check_document(
            make_document({'services': {'releasedesk': other}}, 1),
            FIRST.state,
            1,
        )
        self.assertIn(
            codes.TICKET_DUPLICATE_TARGET, [p.code for p in problems]
        )

    def test_apply_touches_replaces_whole_sections(self):
        service = copy.deepcopy(FIRST.state['services']['soaklog'])
        del service['targets']['s2']
        before = copy.deepcopy(FIRST.state)
        after = tickets.apply_touches(
            FIRST.state, {'services': {'soaklog': service}}
        )
        self.assertEqual(FIRST.state, before)
        self.assertEqual(set(tickets.targets_of(after)), {'s1', 's3'})
        self.assertEqual(after['cells'], before['cells'])
        self.assertEqual(
            tickets.diff(before, after)[0][:34],
            '- services/soaklog/targets/s2: {"a',
        )
        removed = tickets.apply_touches(after, {'services': {'soaklog': None}})
        self.assertEqual(removed['services'], {})

    def test_touches_for_target_state_contain_the_service(self):
        touches = tickets.touches_for_target_state(
            FIRST.state, 's3', 'draining', drop_pins=True
        )
        after = tickets.apply_touches(FIRST.state, touches)
        self.assertTrue(tickets.targets_of(after)['s3'].draining)
        self.assertEqual(
            tickets.diff(FIRST.state, after),
            (
                '- services/soaklog/pins/furnace/3: "s3"',
                '~ services/soaklog/targets/s3/state: "active" -> "draining"',
            ),
        )
        self.assertIsNone(
            tickets.touches_for_target_state(FIRST.state, 's9', 'draining')
        )

    def test_encode_and_decode(self):
        data = tickets.encode(FIRST)
        self.assertEqual(tickets.decode(data), FIRST)
        self.assertEqual(tickets.encode(tickets.decode(data)), data)
        for bad in (b'[]', b'{}', data.replace(b'"uid":"', b'"uid":7,"x":"')):
            with self.assertRaises(ValueError):
                tickets.decode(bad)

    def test_parse_document(self):
        fields = {'author': 'asha', 'uid': 'u', 'expected': 0, 'touches': {}}
        document, problems = tickets.parse_document(
            json.dumps(fields).encode()
        )
        self.assertEqual(document, tickets.Document('asha', 'u', 0, {}))
        for data, number in (
            (b'\xff', 501),
            (b'[1]', 501),
            (b'[' * 100_000, 501),
            (b'{"touches": NaN}', 501),
            (b'{"touches": {}, "touches": {}}', 505),
            (b'{"touches": {}, "note": 1}', 503),
            (b'{"author": "a"}', 502),
            (b'{"touches": [], "author": ""}', 504),
            (b' ' * 1_000_001, 519),
        ):
            document, problems = tickets.parse_document(data, ('touches',))
            self.assertIsNone(document)
            self.assertEqual(problems[0].code.number, number)

    def test_ticket_too_large_for_the_store(self):
        touches = make_touches()
        keys = [f'{each:0500d}' for each in range(4000)]
        touches['services']['soaklog']['pins'] = {
            key: 's3'
            for key in keys
            if hashing.slot_of('soaklog', key, 16) >= 8
        }
        problems = tickets.check_document(
            make_document(touches), model.EMPTY_STATE, 0
        )
        self.assertEqual(
            [each.code for each in problems], [codes.TICKET_TOO_LARGE]
        )

    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(
        path=strategies.sampled_from(sorted(places_of(make_touches()))),
        value=strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5),
            lambda each: (
                strategies.lists(each, max_size=3)
                | strategies.dictionaries(
                    strategies.text(max_size=5), each, max_size=3
                )
            ),
            max_leaves=5,
        ),
    )
    def test_no_json_value_breaks_the_checks(self, path, value):
        parts = path.split('/')
        touches = make_touches()
        place = touches
        for part in parts[:-1]:
            place = place[int(part) if isinstance(place, list) else part]
        place[int(parts[-1]) if isinstance(place, list) else parts[-1]] = value
        document = make_document(touches)
        problems = tickets.check_document(document, model.EMPTY_STATE, 0)
        if not problems:
            made = tickets.make_ticket(document, model.EMPTY_STATE, 0, 1)
            self.assertEqual(tickets.decode(tickets.encode(made)), made)
            tickets.targets_of(made.state)
