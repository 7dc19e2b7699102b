import json
import tempfile
import unittest

from amaranthcrank.platform import entries
from amaranthcrank.platform import grants
from amaranthcrank.platform import manifest
from amaranthcrank.platform import settings_file
from amaranthcrank.router import model
from standins import platform_site

SETTINGS = """
self.nodeName=front-a-1
self.ip=10.1.0.18
self.zone=a
self.region=north
self.limits.maxFds=4100
self.limits.memoryMb=300
network.listen.front=10.1.0.18:8381
network.listen.readiness=10.1.0.18:8388
network.internalPorts=7200,7215
network.zones.a=north
network.zones.b=south
platform.heartbeatMs=870
platform.platform.address=10.200.1.7:8384
terms.bounds.drainMs=2000
terms.bounds.graceS=6
terms.bounds.stableWindowMs=3000
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindowS=10
terms.bounds.budgetMinRetries=58
terms.bounds.holdMaxMs=10000
a.field.that.is.new=1
"""


class SettingsTest(unittest.TestCase):
    def test_whole_file(self):
        settings = settings_file.parse(SETTINGS)
        self.assertEqual(settings.host_id, 'front-a-1')
        self.assertEqual(settings.region_by_domain['b'], 'south')
        self.assertEqual(settings.heartbeat_s, 0.87)
        self.assertEqual(
            settings.listen_address, model.Address('10.1.0.18', 8381)
        )

    def test_each_field_is_required(self):
        # Guards against accepting a truncated settings file.
        for line in SETTINGS.split():
            if 'new' in line or 'network.zones' in line:
                continue
            with self.assertRaises(settings_file.SettingsError, msg=line):
                settings_file.parse(SETTINGS.replace(line, ''))

    def test_evacuation_time(self):
        self.assertIsNone(settings_file.parse(SETTINGS).bounds.evacuation_s)
        text = SETTINGS + 'terms.bounds.evacMs=5000\n'
        self.assertEqual(settings_file.parse(text).bounds.evacuation_s, 5.0)
        with self.assertRaises(settings_file.SettingsError):
            settings_file.parse(text.replace('5000', 'soon'))

    def test_empty_optional_fields_are_not_set(self):
        # Guards against routers that do not start again: the platform may
        # leave fields empty that belong to features that are not in use.
        prefix = 'terms.bounds.'
        for name in ('evacMs', 'coldOvershoot', 'coldSlack'):
            with self.subTest(name=name):
                text = f'{SETTINGS}{prefix}{name}=\n'
                settings = settings_file.parse(text)
                self.assertEqual(settings, settings_file.parse(SETTINGS))

    def test_cold_bounds_are_optional(self):
        # Without both bounds cold targets are not limited.
        bounds = settings_file.parse(SETTINGS).bounds
        self.assertIsNone(bounds.cold_overshoot)
        self.assertIsNone(bounds.cold_slack)
        prefix = 'terms.bounds.'
        text = f'{prefix}coldOvershoot=1.5\n{prefix}coldSlack=8\n'
        bounds = settings_file.parse(SETTINGS + text).bounds
        self.assertEqual(bounds.cold_overshoot, 1.5)
        self.assertEqual(bounds.cold_slack, 8.0)
        for value in ('-1', 'nan', 'inf', 'some'):
            with self.assertRaises(settings_file.SettingsError, msg=value):
                settings_file.parse(f'{SETTINGS}{prefix}coldSlack={value}')

    def _read(self, data):
        with tempfile.NamedTemporaryFile() as file:
            file.write(data)
            file.flush()
            return settings_file.read(file.name)

    def test_bytes_that_are_no_text(self):
        # Guards against a router that ends, or does not start, because of a
        # field that it does not use.
        data = SETTINGS.encode()
        settings = self._read(data + b'a.new.field=\xff\n\xff=1\n')
        self.assertEqual(settings, settings_file.parse(SETTINGS))
        for old, new in (
            (b'self.zone=a', b'self.zone=\xff'),
            (b'graceS=6', b'graceS=6\xff'),
            (b'network.zones.b=', b'network.zones.\xff='),
        ):
            with self.assertRaises(settings_file.SettingsError, msg=new):
                self._read(data.replace(old, new))

    def test_malformed_values(self):
        for old, new in (
            ('10.200.1.7:8384', 'store'),
            ('10.200.1.7:8384', '10.200.1.7:99999'),
            ('7200,7215', '7200'),
            ('drainMs=2000', 'drainMs=soon'),
        ):
            with self.assertRaises(settings_file.SettingsError):
                settings_file.parse(SETTINGS.replace(old, new))


INFO = {'service': 's', 'zone': 'a', 'slots': 3, 'version': 'v1'}


class TargetEntryTest(unittest.TestCase):
    def setUp(self):
        self.item = {
            'spec': {
                'address': '10.0.0.1:80',
                'info': dict(INFO),
                'born': 5,
            },
            'status': {'state': 'ready', 'seq': 1, 'warmupLeftMs': 1500},
        }

    def test_entry(self):
        entry = entries.decode_target('i-1', self.item)
        self.assertEqual(entry.incarnation, 5)
        self.assertEqual(entry.cold_s, 1.5)
        self.assertEqual(entry.address, model.Address('10.0.0.1', 80))

    def test_entries_of_other_writers(self):
        # Missing fields, wrong types and unknown states are rejected.
        changes = (
            ('spec', None),
            ('spec', []),
            ('status', {'state': 'gone'}),
            ('status', {}),
        )
        for name, value in changes:
            with self.assertRaises(entries.EntryError):
                entries.decode_target('i-1', {**self.item, name: value})
        for name, value in (
            ('address', 'nowhere'),
            ('address', 7),
            ('info', {**INFO, 'slots': 'x'}),
            ('info', {**INFO, 'service': 3}),
            ('info', {**INFO, 'version': None}),
            ('born', 1.5),
        ):
            spec = {**self.item['spec'], name: value}
            with self.assertRaises(entries.EntryError):
                entries.decode_target('i-1', {**self.item, 'spec': spec})

    def test_each_field_of_an_entry_is_required(self):
        # Guards against two owners of a key: an entry by another writer, with
        # a field missing, was taken for a target that replaced the owner.
        spec = self.item['spec']
        for fields in (spec, spec['info'], self.item['status']):
            for name in list(fields):
                with self.subTest(name=name):
                    value = fields.pop(name)
                    with self.assertRaises(entries.EntryError):
                        entries.decode_target('i-1', self.item)
                    fields[name] = value


class KeyMapTest(unittest.TestCase):
    def test_encode_and_decode(self):
        part = model.KeyRange(0, 65535, 'i-1', 5, 7, True, 'i-2/4 i-3/4')
        holders = {'i-1/5': model.Address('10.0.0.1', 80)}
        key_map = model.KeyMap('s', 7, (part,), 12, holders)
        spec = json.loads(json.dumps(entries.encode_key_map(key_map)))
        item = {'spec': spec, 'metadata': {'rev': 12}}
        self.assertEqual(entries.decode_key_map('s', item), key_map)

    def test_malformed_map(self):
        with self.assertRaises(entries.EntryError):
            entries.decode_key_map('s', {'spec': {'ranges': [[1]]}})


class ManifestTest(unittest.TestCase):
    def test_whole_manifest(self):
        spec = platform_site.manifest(
            12,
            [platform_site.route_row('r', '/a/', 's', 'unsafe', 0)],
            [['s', '/healthz', 110, True]],
        )
        ticket = manifest.decode(spec)
        self.assertEqual(ticket.number, 12)
        self.assertFalse(ticket.routes[0].repeatable)
        self.assertEqual(
            ticket.routes[0].weighted_services,
            (model.WeightedService('s', 1.0),),
        )
        self.assertTrue(ticket.service_by_name['s'].keyed)

    def _decode_regions(self, value):
        row = platform_site.route_row('r', '/a/', 's')
        row[platform_site.ROUTE_COLUMNS.index('allowedRegions')] = value
        spec = platform_site.manifest(1, [row], [['s', '/healthz', 110, None]])
        return manifest.decode(spec).routes[0].allowed_regions

    def test_allowed_regions(self):
        self.assertEqual(
            self._decode_regions(['south', 'west', 'south']),
            frozenset({'south', 'west'}),
        )
        for value in (None, []):
            self.assertIsNone(self._decode_regions(value))

    def test_routes_without_the_column(self):
        spec = platform_site.manifest(
            1, [platform_site.route_row('r', '/a/', 's')[:9]], []
        )
        spec['routes']['columns'] = platform_site.ROUTE_COLUMNS[:9]
        self.assertIsNone(manifest.decode(spec).routes[0].allowed_regions)

    def test_optional_columns_may_be_null(self):
        # Guards against a ticket that is refused for a field without value.
        columns = platform_site.ROUTE_COLUMNS
        row = platform_site.route_row('r', '/a/', 's')
        for name in ('aimMs', 'priority', 'maxAttempts', 'weightedClusters'):
            row[columns.index(name)] = None
        rows = [['s', *[None] * (len(platform_site.SERVICE_COLUMNS) - 1)]]
        ticket = manifest.decode(platform_site.manifest(1, [row], rows))
        self.assertEqual(ticket.routes[0].goal_s, ticket.routes[0].timeout_s)
        self.assertFalse(ticket.service_by_name['s'].keyed)

    def test_malformed_regions(self):
        """Guards against a limit that is read as no limit, or as letters."""
        for value in ('south', '', 0, False, 7, {}, ['south', None], [['a']]):
            with self.subTest(value=value):
                with self.assertRaises(manifest.ManifestError):
                    self._decode_regions(value)

    def _service(self, *values):
        spec = platform_site.manifest(1, [], [['s', '/healthz', 9, *values]])
        return manifest.decode(spec).service_by_name['s']

    def test_cold_targets(self):
        service = self._service(True, 3.0, 4.1)
        self.assertEqual(service.warm_up_s, 3.0)
        self.assertEqual(service.cold_per_s, 4.1)
        for values in ((True,), (True, None, None)):
            service = self._service(*values)
            self.assertIsNone(service.cold_per_s)
        self.assertEqual(self._service(True, 3, 0).cold_per_s, 0.0)

    def test_malformed_rates_of_cold_targets(self):
        # A rate that is not understood must not turn the limit off.
        for value in ('4', True, -1, float('nan'), float('inf'), [4.1]):
            with self.assertRaises(manifest.ManifestError, msg=value):
                self._service(True, 3.0, value)

    def test_malformed_manifest(self):
        for spec in (None, {}, {'version': 3}, {'version': 'r1'}):
            with self.assertRaises(manifest.ManifestError):
                manifest.decode(spec)


class GrantTest(unittest.TestCase):
    def test_last_key_is_in_field_target(self):
        part = model.KeyRange(5, 9, 'i-1', 1, 3, False, '')
        fields = json.loads(grants.grant_body(part, 6.0, ''))
        self.assertEqual(
            fields, {'from': 5, 'target': 9, 'fence': 3, 'holdMs': 6000}
        )
