"""Tests of the store stand-in."""

import contextlib
import json
import threading
import unittest

import urllib3

from standins import http_server
from standins import store


class StoreTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.now_s = 100.0
        self.state = store.StoreState(
            host_list_lag_ms=500, clock=lambda: self.now_s
        )
        self.address = stack.enter_context(
            http_server.running(
                store.make_handler(self.state), self.state.close
            )
        )
        self.pool = stack.enter_context(
            urllib3.PoolManager(retries=False, timeout=10, maxsize=8)
        )

    def call(self, method, path, body=None, **headers):
        named = {
            name.replace('_', '-'): each for name, each in headers.items()
        }
        return self.pool.request(
            method, f'http://{self.address}{path}', body=body, headers=named
        )

    def create(self, path, body=b'one'):
        return self.call('PUT', path, body, If_None_Match='*')

    def faults(self, **faults):
        response = self.call('POST', '/faults', json.dumps(faults).encode())
        self.assertEqual(200, response.status)

    def wait_for_watch(self):
        with self.state.lock:
            watching = self.state.lock.wait_for(
                lambda: self.state.watching, 10
            )
        self.assertTrue(watching)

    def test_versions_and_etag(self):
        """Guards against versions that do not grow by one with each write."""
        created = self.create('/objects/cells/a')
        self.assertEqual(
            (201, '"1"'), (created.status, created.headers['ETag'])
        )
        changed = self.call('PUT', '/objects/cells/a', b'two', If_Match='"1"')
        self.assertEqual(
            (200, '"2"'), (changed.status, changed.headers['ETag'])
        )
        read = self.call('GET', '/objects/cells/a')
        self.assertEqual((b'two', '"2"'), (read.data, read.headers['ETag']))

    def test_conditions(self):
        """Guards against a write that ignores or lacks its condition."""
        path = '/objects/cells/a'
        self.assertEqual(
            412, self.call('PUT', path, b'x', If_Match='"1"').status
        )
        self.assertEqual(
            412, self.call('PUT', path, b'x', If_Match='"0"').status
        )
        self.create(path)
        refused = self.create(path, b'x')
        self.assertEqual(
            (412, '"1"'), (refused.status, refused.headers['ETag'])
        )
        self.assertEqual(
            412, self.call('PUT', path, b'x', If_Match='"2"').status
        )
        self.assertEqual(428, self.call('PUT', path, b'x').status)
        self.assertEqual(b'one', self.call('GET', path).data)

    def test_one_of_several_concurrent_writes_succeeds(self):
        """Guards against two writes that succeed on the same version."""
        self.create('/objects/cells/a')
        statuses = []

        def write(number):
            response = self.call(
                'PUT', '/objects/cells/a', b'%d' % number, If_Match='"1"'
            )
            statuses.append(response.status)

        threads = [
            threading.Thread(target=write, args=(each,)) for each in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([200] + [412] * 7, sorted(statuses))

    def test_value_size(self):
        """Guards against a limit that is off by one or a reset connection."""
        limit = http_server.MAX_BODY_BYTES
        self.assertEqual(
            201, self.create('/objects/cells/a', b'x' * limit).status
        )
        self.assertEqual(
            413, self.create('/objects/cells/b', b'x' * (limit + 1)).status
        )
        self.assertEqual(limit, len(self.call('GET', '/objects/cells/a').data))

    def test_list_and_revision_per_kind(self):
        """Guards against kinds that share a revision."""
        self.create('/objects/cells/a')
        self.create('/objects/tickets/1')
        self.call('PUT', '/objects/cells/a', b'2', If_Match='"1"')
        self.assertEqual(
            {'revision': 2, 'objects': [{'name': 'a', 'version': 2}]},
            self.call('GET', '/objects/cells').json(),
        )
        self.assertEqual(
            1, self.call('GET', '/objects/tickets').json()['revision']
        )

    def test_watch_returns_at_once_when_behind(self):
        """Guards against missing a change between list and watch."""
        self.create('/objects/cells/a')
        response = self.call('GET', '/objects/cells?watch=0&wait_ms=60000')
        self.assertEqual(1, response.json()['revision'])

    def test_watch_waits_for_a_change_and_counts_once(self):
        """Guards against watches that poll or end on other kinds' changes."""
        responses = []
        watcher = threading.Thread(
            target=lambda: responses.append(
                self.call('GET', '/objects/cells?watch=0&wait_ms=60000')
            )
        )
        watcher.start()
        self.wait_for_watch()
        self.create('/objects/tickets/1')
        self.create('/objects/cells/a')
        watcher.join()
        self.assertEqual(1, responses[0].json()['revision'])
        counts = self.call('GET', '/counters').json()
        self.assertEqual(
            (3, 1, 2), (counts['calls'], counts['reads'], counts['writes'])
        )

    def test_watch_times_out_with_the_same_revision(self):
        """Guards against a watch that does not end without a change."""
        response = self.call('GET', '/objects/cells?watch=0&wait_ms=20')
        self.assertEqual({'revision': 0, 'objects': []}, response.json())
        self.assertEqual(
            400, self.call('GET', '/objects/cells?watch=x').status
        )

    def test_host_list_is_delayed(self):
        """Guards against a host list that is fresher than the platform's."""
        body = {'address': 'h:1', 'failure_domain': 'd', 'state': 'live'}
        self.call('PUT', '/hosts/h1', json.dumps(body).encode())
        self.assertEqual([], self.call('GET', '/hosts').json()['hosts'])
        self.now_s += 0.5
        body['state'] = 'leaving'
        self.call('PUT', '/hosts/h1', json.dumps(body).encode())
        self.assertEqual(
            ['live'],
            [
                each['state']
                for each in self.call('GET', '/hosts').json()['hosts']
            ],
        )
        self.now_s += 0.5
        self.assertEqual(
            [{'id': 'h1', **body}], self.call('GET', '/hosts').json()['hosts']
        )

    def test_outage_for_some_calls(self):
        """Guards against a refused write that takes effect."""
        self.faults(outage={'mode': '503', 'calls': 2})
        self.assertEqual(503, self.create('/objects/cells/a').status)
        self.assertEqual(503, self.call('GET', '/hosts').status)
        self.assertEqual(404, self.call('GET', '/objects/cells/a').status)

    def test_hanging_outage_until_switched_off(self):
        """Guards against a hanging call that takes effect afterwards."""
        self.faults(outage={'mode': 'hang'})
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.pool.request(
                'PUT',
                f'http://{self.address}/objects/cells/a',
                body=b'x',
                headers={'If-None-Match': '*'},
                timeout=0.05,
            )
        self.faults(outage=None)
        self.assertEqual(404, self.call('GET', '/objects/cells/a').status)

    def test_outage_ends_a_waiting_watch(self):
        """Guards against a watch that continues during an outage."""
        errors = []

        def watch():
            try:
                self.call('GET', '/objects/cells?watch=0&wait_ms=60000')
            except urllib3.exceptions.HTTPError as error:
                errors.append(error)

        watcher = threading.Thread(target=watch)
        watcher.start()
        self.wait_for_watch()
        self.faults(outage={'mode': 'hang'})
        watcher.join(10)
        self.assertFalse(watcher.is_alive())
        self.assertEqual(1, len(errors))

    def test_writes_with_lost_responses_take_effect(self):
        """Guards against dropping the write along with its response."""
        self.faults(lost_answer={'mode': 'close', 'calls': 1})
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.create('/objects/cells/a')
        self.assertEqual(b'one', self.call('GET', '/objects/cells/a').data)
        self.faults(lost_answer={'mode': '500', 'calls': 1})
        lost = self.call('PUT', '/objects/cells/a', b'two', If_Match='"1"')
        self.assertEqual(500, lost.status)
        self.assertEqual(b'two', self.call('GET', '/objects/cells/a').data)

    def test_slow_fault_ends_after_its_calls(self):
        """Guards against a fault that applies to more calls than requested."""
        self.faults(slow={'ms': 30, 'calls': 1})
        self.call('GET', '/objects/cells')
        self.assertEqual({}, self.call('GET', '/faults').json())

    def test_bad_faults(self):
        """Guards against silently ignoring an invalid fault."""
        for fault in (
            {'outtage': {}},
            {'outage': {'mode': 'x'}},
            {'slow': {'ms': -1}},
            {'slow': {'ms': 1, 'calls': 0}},
            {'outage': 3},
        ):
            response = self.call('POST', '/faults', json.dumps(fault).encode())
            self.assertEqual(400, response.status, fault)
