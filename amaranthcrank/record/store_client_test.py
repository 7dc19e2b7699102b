"""Tests of the store client against the store stand-in."""

import contextlib
import json
import threading
import unittest

import urllib3

from amaranthcrank.core import codes
from amaranthcrank.observe import host_list
from amaranthcrank.record import store_client
from standins import http_server
from standins import store


class StoreClientTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.state = store.StoreState()
        address = stack.enter_context(
            http_server.running(
                store.make_handler(self.state), self.state.close
            )
        )
        self.faults_url = f'http://{address}/faults'
        self.client = stack.enter_context(
            store_client.StoreClient(address, read_timeout_s=10)
        )

    def faults(self, **faults):
        response = urllib3.request(
            'POST', self.faults_url, body=json.dumps(faults).encode()
        )
        self.assertEqual(200, response.status)

    def put(self, value, expected, name='a'):
        return store_client.put_object(
            self.client, 'cells', name, value, expected
        )

    def stored(self):
        return self.state.stored_by_name.get('cells', {}).get('a')

    def test_read_create_update_and_conflict(self):
        """Guards against a write that replaces an unexpected version."""
        read = store_client.get_object(self.client, 'cells', 'a').ok
        self.assertEqual((store_client.ABSENT, b''), read[2:])
        self.assertEqual((1, False), self.put(b'one', read.version).ok)
        self.assertEqual((2, False), self.put(b'two', 1).ok)
        for expected in (0, 1, 3):
            error = self.put(b'two', expected).error
            self.assertEqual(codes.STORE_CONFLICT, error.code)
        read = store_client.get_object(self.client, 'cells', 'a').ok
        self.assertEqual((2, b'two'), read[2:])

    def test_names_are_quoted(self):
        """Guards against a name with a slash that changes the path."""
        self.put(b'one', 0, name='a/b c?')
        listing = store_client.list_objects(self.client, 'cells').ok
        self.assertEqual({'a/b c?': 1}, listing.version_by_name)

    def test_lost_response_is_read_back(self):
        """Guards against an applied write that is reported as failed."""
        for expected, mode in ((0, 'close'), (1, '500')):
            self.faults(lost_answer={'mode': mode, 'calls': 1})
            written = self.put(b'%d' % expected, expected).ok
            self.assertEqual((expected + 1, True), written)

    def test_lost_response_and_a_version_of_another_writer(self):
        """Guards against success for a version of another writer."""
        self.put(b'other', 0)
        found = store_client.StoredObject('cells', 'a', 1, b'other')
        outcome = store_client._resolve_lost_write(found, b'mine', 0, '')
        self.assertEqual(codes.STORE_CONFLICT, outcome.error.code)
        outcome = store_client._resolve_lost_write(found, b'other', 0, '')
        self.assertEqual((1, True), outcome.ok)
        self.assertIsNone(
            store_client._resolve_lost_write(found, b'mine', 1, '')
        )

    def test_overtaken_write_is_not_reported_as_applied(self):
        """Guards against an outcome for a version that was replaced."""
        found = store_client.StoredObject('cells', 'a', 3, b'mine')
        outcome = store_client._resolve_lost_write(found, b'mine', 1, '')
        self.assertEqual(codes.STORE_OVERTAKEN, outcome.error.code)

    def test_write_without_a_response_is_retried(self):
        """Guards against a failed write while the version is unchanged."""
        self.client.read_timeout_s = 0.1
        self.faults(outage={'mode': 'hang', 'calls': 1})
        self.assertEqual((1, False), self.put(b'one', 0).ok)
        self.assertEqual((1, b'one'), self.stored())

    def test_write_with_an_unknown_outcome(self):
        """Guards against ruling out a write that may still apply."""
        self.client.read_timeout_s = 0.1
        self.faults(outage={'mode': 'hang'})
        error = self.put(b'one', 0).error
        self.assertEqual(codes.STORE_ANSWER_LOST, error.code)
        self.assertIn('read back', error.detail)

    def test_outage(self):
        """Guards against an outage that is reported as an absent object."""
        self.faults(outage={'mode': '503'})
        results = (
            store_client.get_object(self.client, 'cells', 'a'),
            self.put(b'one', 0),
            store_client.list_objects(self.client, 'cells'),
            store_client.watch_kind(self.client, 'cells', 0, 10),
            store_client.list_hosts(self.client),
            store_client.put_host(self.client, 'h', 'h:1', 'd', 'live'),
        )
        self.assertEqual(
            {codes.STORE_UNREACHABLE}, {each.error.code for each in results}
        )
        self.assertEqual(1, self.state.count_by_operation['put'])

    def test_refused_connection(self):
        """Guards against an unsent write reported as possibly applied."""
        with http_server.running(lambda call: None, lambda: None) as address:
            pass
        with store_client.StoreClient(address) as client:
            result = store_client.put_object(client, 'cells', 'a', b'', 0)
        self.assertEqual(codes.STORE_UNREACHABLE, result.error.code)

    def test_value_size(self):
        """Guards against sending a value over the limit of the store."""
        limit = http_server.MAX_BODY_BYTES
        self.assertEqual(1, self.put(b'x' * limit, 0).ok.version)
        error = self.put(b'x' * (limit + 1), 1).error
        self.assertEqual(codes.STORE_VALUE_TOO_LARGE, error.code)
        self.assertEqual(1, self.state.count_by_operation['put'])

    def test_watch(self):
        """Guards against a watch that misses a change."""
        listing = store_client.list_objects(self.client, 'cells').ok
        same = store_client.watch_kind(
            self.client, 'cells', listing.revision, 10
        )
        self.assertEqual(listing, same.ok)
        results = []
        watcher = threading.Thread(
            target=lambda: results.append(
                store_client.watch_kind(
                    self.client, 'cells', listing.revision, 60_000
                )
            )
        )
        watcher.start()
        self.put(b'one', 0)
        watcher.join()
        self.assertEqual({'a': 1}, results[0].ok.version_by_name)

    def test_hosts(self):
        """Guards against a registration that the host list lacks."""
        for host, state in (('h1', 'live'), ('h2', 'leaving')):
            put = store_client.put_host(self.client, host, 'h:1', 'd', state)
            self.assertEqual(host, put.ok)
        listed = store_client.list_hosts(self.client).ok
        self.assertEqual((), listed.errors)
        self.assertEqual(
            host_list.HostList(
                (host_list.Host('h1', 'h:1', 'd'),),
                (host_list.Host('h2', 'h:1', 'd'),),
            ),
            listed.hosts,
        )
        error = store_client.put_host(self.client, 'h', 'h:1', 'd', 'x').error
        self.assertEqual(codes.STORE_REFUSED, error.code)

    def test_invalid_responses(self):
        """Guards against an exception on a response of another server."""

        def respond(call):
            return http_server.Response(200, (('ETag', '"x"'),), b'[]')

        with contextlib.ExitStack() as stack:
            address = stack.enter_context(
                http_server.running(respond, lambda: None)
            )
            client = stack.enter_context(store_client.StoreClient(address))
            read = store_client.get_object(client, 'cells', 'a')
            listing = store_client.list_objects(client, 'cells')
            put = store_client.put_object(client, 'cells', 'a', b'', 0)
        self.assertEqual(codes.STORE_BAD_ANSWER, read.error.code)
        self.assertEqual(codes.STORE_BAD_ANSWER, listing.error.code)
        self.assertEqual(codes.STORE_ANSWER_LOST, put.error.code)
