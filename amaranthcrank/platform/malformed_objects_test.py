"""Tests that one malformed object hides no other and ends no process."""

import asyncio
import contextlib
import copy
import json
import time
import unittest

import hypothesis
from hypothesis import strategies

from amaranthcrank.platform import entries
from amaranthcrank.platform import json_body
from amaranthcrank.platform import manifest
from amaranthcrank.platform import settings_file
from amaranthcrank.platform import store
from amaranthcrank.router import connection_pool
from amaranthcrank.router import model
from standins import mutations
from standins import platform_site
from standins import scripted_server

VALID = {
    'metadata': {'name': 'i-1', 'rev': 7},
    'spec': {
        'address': '10.0.0.1:80',
        'info': {'service': 's', 'zone': 'a', 'slots': 3, 'version': 'v1'},
        'born': 5,
    },
    'status': {'state': 'ready', 'seq': 1, 'warmupLeftMs': 0},
}
NESTING = 100_000


def _with(path, value):
    """Return the valid entry with one field replaced."""
    item = copy.deepcopy(VALID)
    container = item
    for name in path[:-1]:
        container = container[name]
    container[path[-1]] = value
    return item


class EntryTest(unittest.TestCase):
    def test_values_out_of_range(self):
        # A number too large, or a port out of range, ended each host that
        # read the list.
        for path, value in (
            (('status', 'warmupLeftMs'), 10**400),
            (('status', 'warmupLeftMs'), float('inf')),
            (('status', 'warmupLeftMs'), float('nan')),
            (('status', 'warmupLeftMs'), '5'),
            (('status', 'warmupLeftMs'), True),
            (('spec', 'info', 'slots'), 10**400),
            (('spec', 'info', 'slots'), True),
            (('spec', 'info', 'slots'), 0),
            (('spec', 'info', 'service'), ''),
            (('spec', 'info', 'service'), 'x' * 100_000),
            (('spec', 'info', 'service'), '\ud800'),
            (('spec', 'info', 'zone'), 'a\nb'),
            (('spec', 'born'), 10**400),
            (('spec', 'born'), -1),
            (('spec', 'born'), float('inf')),
            (('spec', 'address'), '300.0.0.1:80'),
            (('spec', 'address'), '0.0.0.0:80'),
            (('spec', 'address'), '10.0.0.1:70000'),
            (('spec', 'address'), '10.0.0.1:-1'),
            (('spec', 'address'), '10.0.0.1:0'),
            (('spec', 'address'), '10.0.0.1:8_0'),
            (('spec', 'address'), '10.0.0.1: 80'),
            (('spec', 'address'), '10.0.0.1:' + '9' * 5000),
            (('status', 'state'), ['ready']),
            (('status',), [1]),
        ):
            with self.subTest(path=path, value=str(value)[:20]):
                with self.assertRaises(entries.EntryError):
                    entries.decode_target('i-1', _with(path, value))

    def test_names_that_cannot_be_sent(self):
        for name in ('', 'a b', 'a\r\nb', '\ud800', 'ü', 'x' * 10_000):
            with self.assertRaises(entries.EntryError):
                entries.decode_target(name, VALID)

    def test_error_is_short(self):
        # The error is logged, and the log is limited.
        item = _with(('status', 'state'), 'x' * 100_000)
        with self.assertRaises(entries.EntryError) as caught:
            entries.decode_target('i-1', item)
        self.assertLess(len(str(caught.exception)), 300)

    def test_valid_entry(self):
        entry = entries.decode_target('i-1', VALID)
        self.assertEqual(entry.slots, 3)


class BodyTest(unittest.TestCase):
    def test_deep_value_hides_no_neighbour(self):
        deep = '[' * NESTING + ']' * NESTING
        body = json_body.decode(f'{{"a": {deep}, "b": ["]}}"]}}'.encode())
        self.assertEqual(body['b'], [']}'])

    def test_deep_objects_with_brackets_in_strings(self):
        deep = '{"]}\\"": ' * NESTING + '1' + '}' * NESTING
        body = json_body.decode(f'[{deep}, 5]'.encode())
        self.assertEqual(body[1], 5)

    def test_long_integer_hides_no_neighbour(self):
        body = json_body.decode(b'{"a": 1%s, "b": 2}' % (b'0' * 5000))
        self.assertEqual(body['b'], 2)
        self.assertEqual(body['a'], float('inf'))

    def test_invalid_bytes_hide_no_neighbour(self):
        body = json_body.decode(b'{"a": "\xff\xfe", "b": 2}')
        self.assertEqual(body['b'], 2)

    def test_not_json(self):
        for data in (b'', b'{', b'[' * NESTING, b'"' + b'\\"' * NESTING):
            with self.assertRaises(ValueError):
                json_body.decode(data)

    def test_time_is_linear(self):
        started_at = time.process_time()
        with contextlib.suppress(ValueError):
            json_body.decode(b'"\\"' * 1_000_000)
        self.assertLess(time.process_time() - started_at, 5.0)


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """The client of the store, against prepared responses."""

    async def asyncSetUp(self):
        self.responses = []
        server = await asyncio.start_server(
            lambda reader, writer: scripted_server.serve(
                reader, writer, lambda head, number: self.responses.pop(0)
            ),
            '127.0.0.1',
            0,
        )
        self.addCleanup(server.close)
        address = model.Address(*server.sockets[0].getsockname())
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        self.addCleanup(pool.close)
        self.client = store.Client(address, pool)

    def _answer(self, body):
        self.responses.append(
            b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'
            % (len(body), body)
        )

    async def test_list_with_one_malformed_entry(self):
        deep = '[' * NESTING + ']' * NESTING
        long = '1' + '0' * 5000
        for odd in (deep, long, '"\\ud800"', '{"metadata": {"name": [1]}}'):
            valid = json.dumps(VALID)
            odd_item = (
                '{"metadata": {"name": "i-0", "rev": 6}, "spec": %s}' % odd
            )
            body = '{"items": [%s, %s], "asOf": 9}' % (odd_item, valid)
            self._answer(body.encode())
            listing = await self.client.list_all('servers', 2.0)
            self.assertEqual(listing.item_by_name['i-1'], VALID)
            self.assertEqual(listing.revision, 9)

    async def test_watch_with_one_malformed_event(self):
        events = [
            None,
            {'tombstone': True},
            {'object': 5},
            {'object': VALID, 'tombstone': False},
        ]
        self._answer(json.dumps({'events': events, 'asOf': 12}).encode())
        changes, revision = await self.client.watch('servers', 9, 0.1, 2.0)
        self.assertEqual([change.name for change in changes], ['i-1'])
        self.assertEqual(revision, 12)

    async def test_malformed_responses_are_errors_of_the_store(self):
        # Any other exception would end the process.
        for body in (
            b'null',
            b'7',
            b'{}',
            b'{"items": 5, "asOf": 3}',
            b'{"items": [], "asOf": "x"}',
            b'{"items": [], "asOf": 1e999}',
            b'{"items": [{}], "hasMore": true, "asOf": 3}',
            b'[' * NESTING,
        ):
            self._answer(body)
            with self.assertRaises(store.StoreError, msg=body[:30]):
                await self.client.list_all('servers', 2.0)
            if b'hasMore' in body:
                continue
            self._answer(body.replace(b'items', b'events'))
            with self.assertRaises(store.StoreError, msg=body[:30]):
                await self.client.watch('servers', 1, 0.1, 2.0)


class MutationTest(unittest.TestCase):
    """Valid objects with some values replaced or removed.

    Guards against any exception but that of the decoder.
    """

    @hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
    @hypothesis.given(strategies.data())
    def test_entries(self, data):
        item = mutations.mutate(data, VALID)
        try:
            entry = entries.decode_target('i-1', item)
        except entries.EntryError:
            return
        # What is accepted can be logged, sent in a header and connected to.
        json.dumps(entry, allow_nan=False)
        settings_file.parse_address(f'{entry.address.ip}:{entry.address.port}')

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(strategies.data())
    def test_key_maps(self, data):
        part = model.KeyRange(0, 65535, 'i-1', 5, 7, True, 'i-2/4 i-3/4')
        holders = {'i-1/5': model.Address('10.0.0.1', 80)}
        key_map = model.KeyMap('s', 7, (part,), 12, holders)
        spec = json.loads(json.dumps(entries.encode_key_map(key_map)))
        item = mutations.mutate(data, {'spec': spec, 'metadata': {'rev': 12}})
        try:
            decoded = entries.decode_key_map('s', item)
        except entries.EntryError:
            return
        for key_range in decoded.ranges:
            model.split_holder(key_range.holder)
            for former in key_range.former_holders.split():
                model.split_holder(former)
        self.assertEqual(decoded.fence + 0, decoded.fence)

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(strategies.data())
    def test_manifests(self, data):
        spec = platform_site.manifest(
            12,
            [platform_site.route_row('r', '/a/', 's', 'unsafe', 0)],
            [['s', '/healthz', 110, True]],
        )
        try:
            ticket = manifest.decode(mutations.mutate(data, spec))
        except manifest.ManifestError:
            return
        hash(ticket.routes)
