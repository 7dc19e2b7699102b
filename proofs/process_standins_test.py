"""Stand-ins as processes that are killed, stopped and cut off.

Tests of lease expiry wait for the real length of the lease.
"""

import contextlib
import json
import signal
import threading
import time
import unittest

import urllib3

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.record import store_client
from standins import checks
from standins import processes


# On a busy machine a lease can expire between two calls of a test.
MAX_TRIES = 20
WAIT_S = 20


class ProcessTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.pool = self.stack.enter_context(
            urllib3.PoolManager(retries=False, timeout=20, maxsize=4)
        )

    def start(self, module, *options):
        return self.stack.enter_context(processes.running(module, *options))

    def call(self, process, method, path, content=None, **headers):
        header_by_name = {
            name.replace('_', '-'): each for name, each in headers.items()
        }
        body = None if content is None else json.dumps(content).encode()
        return self.pool.request(
            method,
            f'http://{process.address}{path}',
            body,
            headers=header_by_name,
        )


class UpstreamProcessTest(ProcessTest):
    def setUp(self):
        super().setUp()
        self.recorder = self.start('standins.recorder')

    def start_upstream(self, target='t1', *options):
        return self.start(
            'standins.upstream',
            '--target',
            target,
            '--service',
            'soaklog',
            '--service-ms',
            '0',
            '--record-url',
            f'http://{self.recorder.address}',
            *options,
        )

    def grant(self, upstream, current, version=1):
        return self.call(
            upstream,
            'POST',
            '/grant',
            {
                'incarnation': current['incarnation'],
                'challenge': current['challenge'],
                'version': version,
                'slots': [['soaklog', 7, version]],
            },
        )

    def grant_until_accepted(self, upstream, version=1):
        """Grant slot 7, again if the challenge expired before the grant."""
        for _ in range(MAX_TRIES):
            current = self.call(upstream, 'GET', '/grant').json()
            if self.grant(upstream, current, version).status == 200:
                return current
        self.fail('no grant was accepted in all tries')

    def send_request(
        self, upstream, current, request_id, version=1, **headers
    ):
        return self.call(
            upstream,
            'POST',
            '/keys/soaklog/k1',
            X_Slot='7',
            X_Fence=str(version),
            X_Grant_Incarnation=current['incarnation'],
            X_Request_Id=request_id,
            **headers,
        )

    def run_until_accepted(self, upstream, request_id, version=1):
        """Run a request under a new grant, again if the lease expired."""
        for _ in range(MAX_TRIES):
            current = self.grant_until_accepted(upstream, version)
            answer = self.send_request(upstream, current, request_id, version)
            if answer.status == 200:
                return current
        self.fail('no request was accepted in all tries')

    def wait_for_lease_end(self):
        """Wait until every challenge issued so far has expired."""
        lease_end = time.monotonic() + model.GRANT_LEASE_S
        while time.monotonic() <= lease_end:
            time.sleep(model.CLOCK_DRIFT_MARGIN_S)

    def get_records(self):
        return self.call(self.recorder, 'GET', '/all').json()

    def test_kill_keeps_the_record_and_voids_the_grant(self):
        """Guards against a restarted upstream that accepts an old grant."""
        killed = self.start_upstream()
        current = self.run_until_accepted(killed, 'id1')
        killed.popen.send_signal(signal.SIGKILL)
        killed.popen.wait()
        restarted = self.start_upstream()
        answer = self.send_request(restarted, current, 'id2')
        self.assertEqual('fence', answer.headers['X-Not-Run'])
        refused = self.grant(restarted, current)
        self.assertEqual(409, refused.status)
        self.assertNotEqual(
            current['incarnation'], refused.json()['incarnation']
        )
        self.run_until_accepted(restarted, 'id3')
        records = self.get_records()
        self.assertEqual(
            ['id1', 'id3'], [each['request_id'] for each in records['ran']]
        )
        self.assertEqual(
            2, len({each['incarnation'] for each in records['holds']})
        )

    def test_restart_ends_the_holds_of_the_killed_process(self):
        """Guards against a false alarm when the slot moves at once."""
        replacement = self.start_upstream('t2')
        killed = self.start_upstream()
        self.grant_until_accepted(killed)
        killed.popen.send_signal(signal.SIGKILL)
        killed.popen.wait()
        self.start_upstream()
        self.grant_until_accepted(replacement, version=2)
        self.assertEqual(
            [], checks.overlapping_holds(self.get_records()['holds'])
        )

    def test_old_challenge_extends_nothing_after_a_stop(self):
        """Guards against a resumed process that serves past its lease."""
        upstream = self.start_upstream()
        self.run_until_accepted(upstream, 'id1')
        current = self.call(upstream, 'GET', '/grant').json()
        upstream.popen.send_signal(signal.SIGSTOP)
        answers = {}

        def send(name, function, *values):
            answers[name] = function(*values)

        # The stopped process handles both calls when it resumes.
        threads = [
            threading.Thread(
                target=send, args=('grant', self.grant, upstream, current)
            ),
            threading.Thread(
                target=send,
                args=('work', self.send_request, upstream, current, 'id2'),
            ),
        ]
        for thread in threads:
            thread.start()
        self.wait_for_lease_end()
        self.assertEqual({}, answers)
        upstream.popen.send_signal(signal.SIGCONT)
        for thread in threads:
            thread.join()
        self.assertEqual(409, answers['grant'].status)
        self.assertEqual('fence', answers['work'].headers['X-Not-Run'])
        holds = self.call(upstream, 'GET', '/holds').json()
        self.assertIsNone(holds['current'])
        # The refusal carries the incarnation and challenge to renew with.
        self.run_until_accepted(upstream, 'id3')
        self.assertEqual(
            ['id1', 'id3'],
            [each['request_id'] for each in self.get_records()['ran']],
        )

    def test_owner_replaced_within_its_lease_is_found(self):
        """Guards against a check that misses two owners at a time."""
        stopped = self.start_upstream()
        replacement = self.start_upstream('t2')
        for version in range(1, MAX_TRIES):
            self.grant_until_accepted(stopped, version)
            stopped.popen.send_signal(signal.SIGSTOP)
            self.grant_until_accepted(replacement, version)
            stopped.popen.send_signal(signal.SIGCONT)
            pairs = checks.overlapping_holds(self.get_records()['holds'])
            if pairs:
                break
        self.assertEqual(['t1', 't2'], [each['target'] for each in pairs[0]])

    def test_owner_replaced_after_its_lease_is_alone(self):
        """Guards against a false alarm when the lease expired before."""
        stopped = self.start_upstream()
        replacement = self.start_upstream('t2')
        self.grant_until_accepted(stopped)
        stopped.popen.send_signal(signal.SIGSTOP)
        self.wait_for_lease_end()
        self.grant_until_accepted(replacement, version=2)
        stopped.popen.send_signal(signal.SIGCONT)
        self.assertEqual(
            [], checks.overlapping_holds(self.get_records()['holds'])
        )

    def test_crash_header_ends_the_process_after_the_record(self):
        """Guards against a crash before the run is recorded."""
        upstream = self.start_upstream(
            't1', '--unfenced', '--crash-header', 'X-Poison'
        )
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.send_request(
                upstream, {'incarnation': ''}, 'id1', X_Poison='1'
            )
        self.assertEqual(1, upstream.popen.wait())
        self.assertEqual(
            ['id1'], [each['request_id'] for each in self.get_records()['ran']]
        )


class StoreProcessTest(ProcessTest):
    def setUp(self):
        super().setUp()
        self.store = self.start('standins.store')
        self.client = self.stack.enter_context(
            store_client.StoreClient(self.store.address, read_timeout_s=20)
        )

    def set_faults(self, **faults):
        answer = self.call(self.store, 'POST', '/faults', faults)
        self.assertEqual(200, answer.status)

    def put(self, value, expected):
        return store_client.put_object(
            self.client, 'cells', 'a', value, expected
        )

    def get(self):
        return store_client.get_object(self.client, 'cells', 'a')

    def test_lost_answers(self):
        """Guards against a write that is repeated after its answer is lost."""
        version = 0
        for mode in ('close', '500') * 5:
            self.set_faults(lost_answer={'mode': mode, 'calls': 1})
            written = self.put(b'%d' % version, version).ok
            self.assertEqual((version + 1, True), written)
            version = written.version
        counters = self.call(self.store, 'GET', '/counters').json()
        self.assertEqual(10, counters['by_operation']['put'])
        self.assertEqual(10, counters['by_operation']['get'])

    def test_outage_and_recovery(self):
        """Guards against a client that stays broken after an outage."""
        self.put(b'one', 0)
        self.set_faults(outage={'mode': '503'})
        self.assertEqual(codes.STORE_UNREACHABLE, self.get().error.code)
        self.assertEqual(
            codes.STORE_UNREACHABLE, self.put(b'two', 1).error.code
        )
        self.set_faults(outage=None)
        self.assertEqual((1, b'one'), self.get().ok[2:])
        self.assertEqual((2, False), self.put(b'two', 1).ok)

    def test_outage_ends_a_watch(self):
        """Guards against a watcher that misses changes after an outage."""
        answers = []
        watcher = threading.Thread(
            target=lambda: answers.append(
                store_client.watch_kind(self.client, 'cells', 0, 60_000)
            )
        )
        watcher.start()
        wait_end = time.monotonic() + WAIT_S
        while not self.call(self.store, 'GET', '/counters').json()['watching']:
            self.assertLess(time.monotonic(), wait_end)
        self.set_faults(outage={'mode': 'hang'})
        watcher.join()
        self.assertEqual(codes.STORE_UNREACHABLE, answers[0].error.code)
        self.set_faults(outage=None)
        self.put(b'one', 0)
        listing = store_client.watch_kind(self.client, 'cells', 0, 60_000).ok
        self.assertEqual((1, {'a': 1}), listing[1:])

    def test_stopped_store_applies_the_write_later(self):
        """Guards against reporting that a delayed write had no effect."""
        self.store.popen.send_signal(signal.SIGSTOP)
        self.client.read_timeout_s = 0.2
        error = self.put(b'one', 0).error
        self.assertEqual(codes.STORE_ANSWER_LOST, error.code)
        self.store.popen.send_signal(signal.SIGCONT)
        self.client.read_timeout_s = 20
        listing = store_client.watch_kind(self.client, 'cells', 0, 60_000).ok
        self.assertEqual({'a': 1}, listing.version_by_name)
        self.assertEqual((1, b'one'), self.get().ok[2:])
        self.assertEqual(codes.STORE_CONFLICT, self.put(b'one', 0).error.code)

    def test_killed_store(self):
        """Guards against reporting an unsent write as possibly in effect."""
        self.put(b'one', 0)
        self.store.popen.send_signal(signal.SIGKILL)
        self.store.popen.wait()
        self.assertEqual(
            codes.STORE_UNREACHABLE, self.put(b'two', 1).error.code
        )
        self.assertEqual(codes.STORE_UNREACHABLE, self.get().error.code)
