"""Tests of peers.links."""

import contextlib
import queue
import socket
import threading
import time
import unittest
from unittest import mock

import cbor2
import logbook
from websockets import exceptions
from websockets.sync import server as ws_server

from amaranthcrank.core import codes
from amaranthcrank.peers import frames
from amaranthcrank.peers import handshake
from amaranthcrank.peers import links
from amaranthcrank.peers import send_queue

KEYS = [b'cluster key']
LIMIT_S = 10


def _wait_until(condition):
    end = time.monotonic() + LIMIT_S
    while not condition():
        if time.monotonic() > end:
            raise AssertionError('condition not met in time')
        time.sleep(0.001)


class LinksTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.log = logbook.TestHandler()
        self.log.push_application()
        self.addCleanup(self.log.pop_application)
        self.received = queue.Queue()

    def _open(self, host, keys=KEYS, stack=None, on_frame=None):
        def put(peer, frame):
            self.received.put((host, peer, frame))

        return links.open_links(
            stack or self.stack,
            host,
            ('127.0.0.1', 0),
            keys,
            on_frame or put,
            {},
        )

    def _listen(self, handler):
        listener = ws_server.serve(handler, '127.0.0.1', 0, compression=None)
        threading.Thread(target=listener.serve_forever, daemon=True).start()
        self.addCleanup(listener.socket.close)
        return listener.socket.getsockname()[:2]

    def _connect(self, by_host):
        addresses = {
            host: links.bound_address(each) for host, each in by_host.items()
        }
        for each in by_host.values():
            links.set_hosts(each, addresses)

    def _pair(self):
        a, b = self._open('a'), self._open('b')
        self._connect({'a': a, 'b': b})
        self._wait_linked(a, b)
        return a, b

    def _wait_linked(self, a, b):
        _wait_until(
            lambda: 'b' in links.connected(a) and 'a' in links.connected(b)
        )

    def _logged(self, code):
        _wait_until(
            lambda: any(
                str(code.number) in record
                for record in self.log.formatted_records
            )
        )

    def _error(self, future):
        with self.assertRaises(links.LinkError) as caught:
            future.result(LIMIT_S)
        return caught.exception.problem.code, caught.exception.sent

    def test_replies_out_of_order_reach_their_own_calls(self):
        a, b = self._pair()
        futures = [
            links.call(a, 'b', {'type': 'request', 'n': n}) for n in range(50)
        ]
        requests = [self.received.get(timeout=LIMIT_S)[2] for _ in futures]
        for frame in reversed(requests):
            reply = {'type': 'answer', 'n': frame['n']}
            self.assertTrue(links.reply(b, 'a', frame['id'], reply))
        # A second reply to each call, and a reply without a call.
        for frame in (*requests, {'id': 12345}):
            links.reply(b, 'a', frame['id'], {'type': 'answer', 'n': -1})
        for n, future in enumerate(futures):
            self.assertEqual(n, future.result(LIMIT_S)['n'])
        _wait_until(lambda: not a.link_by_host['b'].call_by_id)

    def test_megabyte_bodies_both_ways_at_once(self):
        """Guards against a deadlock of two hosts that send to each other."""
        by_host = {}

        def reply_with_body(host):
            def on_frame(peer, frame):
                body = {'type': 'answer', 'body': frame['body']}
                links.reply(by_host[host], peer, frame['id'], body)

            return on_frame

        for host in ('a', 'b'):
            by_host[host] = self._open(host, on_frame=reply_with_body(host))
        self._connect(by_host)
        self._wait_linked(by_host['a'], by_host['b'])
        calls = []
        for n in range(12):
            for host, peer in (('a', 'b'), ('b', 'a')):
                body = bytes([n]) * 2**20
                frame = {'type': 'request', 'body': body}
                calls.append((body, links.call(by_host[host], peer, frame)))
        for body, future in calls:
            self.assertEqual(body, future.result(LIMIT_S)['body'])

    def test_a_call_fails_when_its_reply_cannot_be_queued(self):
        """Guards against a call that waits for a dropped reply."""
        a, b = self._pair()
        for body in (b'x' * 2**20, object()):
            future = links.call(a, 'b', {'type': 'request'})
            frame_id = self.received.get(timeout=LIMIT_S)[2]['id']
            with mock.patch.object(send_queue, 'MAX_REPLY_BYTES', 1000):
                reply = {'type': 'answer', 'body': body}
                self.assertFalse(links.reply(b, 'a', frame_id, reply))
            self.assertEqual((codes.QUEUE_FULL, True), self._error(future))

    def test_calls_fail_when_the_link_breaks(self):
        stack = contextlib.ExitStack()
        a, b = self._open('a'), self._open('b', stack=stack)
        self._connect({'a': a, 'b': b})
        self._wait_linked(a, b)
        future = links.call(a, 'b', {'type': 'request'})
        self.received.get(timeout=LIMIT_S)
        stack.close()
        self.assertEqual((codes.LINK_BROKEN, True), self._error(future))
        _wait_until(lambda: not links.connected(a))
        late = links.call(a, 'b', {'type': 'request'})
        self.assertEqual((codes.NOT_LINKED, False), self._error(late))
        # The two directions end separately; send needs only the dialled one.
        _wait_until(lambda: not a.link_by_host['b'].up)
        self.assertFalse(links.send(a, 'b', {'type': 'heartbeat'}))

    def test_calls_fail_when_the_reply_connection_breaks(self):
        a, b = self._pair()
        future = links.call(a, 'b', {'type': 'request'})
        self.received.get(timeout=LIMIT_S)
        links._abort(a.accepted_by_host['b'])
        self.assertEqual((codes.LINK_BROKEN, True), self._error(future))
        self._wait_linked(a, b)

    def test_closing_sends_what_is_queued(self):
        stack = contextlib.ExitStack()
        a, b = self._open('a', stack=stack), self._open('b')
        self._connect({'a': a, 'b': b})
        self._wait_linked(a, b)
        frame = {'type': 'answer', 'body': b'x' * 2**20}
        for _ in range(5):
            self.assertTrue(links.send(a, 'b', frame))
        stack.close()
        for _ in range(5):
            self.received.get(timeout=LIMIT_S)

    def test_a_host_that_restarts_elsewhere_is_linked_again(self):
        stack = contextlib.ExitStack()
        a, b = self._open('a'), self._open('b', stack=stack)
        self._connect({'a': a, 'b': b})
        self._wait_linked(a, b)
        stack.close()
        _wait_until(lambda: not links.connected(a))
        again = self._open('b')
        start = time.monotonic()
        self._connect({'a': a, 'b': again})
        self._wait_linked(a, again)
        self.assertLess(time.monotonic() - start, 1.5)

    def test_a_host_that_returns_at_its_address_is_linked_again(self):
        stack = contextlib.ExitStack()
        a, b = self._open('a'), self._open('b', stack=stack)
        address = links.bound_address(b)
        self._connect({'a': a, 'b': b})
        self._wait_linked(a, b)
        stack.close()
        _wait_until(lambda: not links.connected(a))
        start = time.monotonic()
        again = links.open_links(
            self.stack,
            'b',
            address,
            KEYS,
            print,
            {'a': links.bound_address(a)},
        )
        self._wait_linked(a, again)
        self.assertLess(time.monotonic() - start, 1.5)

    def test_a_host_that_is_removed_is_disconnected(self):
        a, b = self._pair()
        links.set_hosts(a, {})
        _wait_until(lambda: not links.connected(b))
        self.assertEqual(frozenset(), links.connected(a))
        self._logged(codes.UNKNOWN_HOST)

    def test_a_wrong_key_is_refused(self):
        a, b = self._open('a'), self._open('b', keys=[b'other key'])
        self._connect({'a': a, 'b': b})
        self._logged(codes.AUTH_FAILED)
        self.assertEqual({}, {**a.accepted_by_host, **b.accepted_by_host})
        self.assertFalse(links.send(a, 'b', {'type': 'heartbeat'}))

    def test_a_listener_that_cannot_prove_the_key_is_refused(self):
        """Guards against another process at a peer's old address."""

        def impersonate(connection):
            connection.recv()
            connection.send(cbor2.dumps({'challenge': b'c' * 32}))
            connection.recv()
            connection.send(cbor2.dumps({'proof': b'p' * 32}))
            with contextlib.suppress(exceptions.ConnectionClosed):
                connection.recv()

        a, address = self._open('a'), self._listen(impersonate)
        links.set_hosts(a, {'b': address})
        self._logged(codes.AUTH_FAILED)
        self.assertFalse(links.send(a, 'b', {'type': 'heartbeat'}))

    def test_keys_rotate_without_a_common_first_key(self):
        a = self._open('a', keys=[b'old', b'new'])
        b = self._open('b', keys=[b'new'])
        self._connect({'a': a, 'b': b})
        self._wait_linked(a, b)

    def test_a_peer_that_stops_reading_does_not_block_send(self):
        """Guards against a send that blocks once the peer stops reading."""
        a, frozen = self._open('a'), threading.Event()
        self.addCleanup(frozen.set)

        def freeze(connection):
            handshake.verify_dialler(connection, 'b', {'a'}, KEYS, LIMIT_S)
            frozen.wait(LIMIT_S)

        links.set_hosts(a, {'b': self._listen(freeze)})
        _wait_until(lambda: a.link_by_host['b'].up)
        frame = {'type': 'request', 'body': b'x' * 2**20}
        slowest, sent = 0.0, 0
        while True:
            start = time.monotonic()
            queued = links.send(a, 'b', frame)
            slowest = max(slowest, time.monotonic() - start)
            if not queued:
                break
            sent += 1
        self.assertLess(slowest, 0.2)
        self.assertLess(sent, 64)
        # TCP_USER_TIMEOUT ends the connection; the queue is dropped with it.
        _wait_until(lambda: not a.link_by_host['b'].queue.body_frames)

    def test_malformed_frames_do_not_break_the_link(self):
        a, b = self._pair()
        with a.link_by_host['b'].changed:
            connection = a.link_by_host['b'].connection
        for data in (b'', b'\xff', 'text', b'\x81' * 5000):
            connection.send(data)
        self.assertTrue(links.send(a, 'b', {'type': 'heartbeat', 'n': 1}))
        frame = self.received.get(timeout=LIMIT_S)[2]
        self.assertEqual(1, frame['n'])
        self._logged(codes.BAD_FRAME)

    def test_an_oversized_frame_breaks_only_its_connection(self):
        a, b = self._pair()
        with a.link_by_host['b'].changed:
            connection = a.link_by_host['b'].connection
        with contextlib.suppress(Exception):
            connection.send(b'x' * (frames.MAX_FRAME_BYTES + 1))
        _wait_until(lambda: connection.ended.is_set())
        self._wait_linked(a, b)
        future = links.call(a, 'b', {'type': 'status', 'x': b'x' * 2**21})
        self.assertEqual((codes.FRAME_TOO_LARGE, False), self._error(future))

    def test_unknown_clients_do_not_break_the_links(self):
        a, b = self._pair()
        for data in (b'', b'GET / HTTP/1.1\r\n\r\n', b'\x00' * 100000):
            with contextlib.suppress(OSError):
                unknown_client = socket.create_connection(
                    links.bound_address(a)
                )
                self.addCleanup(unknown_client.close)
                unknown_client.sendall(data)
        future = links.call(b, 'a', {'type': 'status'})
        frame = self.received.get(timeout=LIMIT_S)[2]
        links.reply(a, 'b', frame['id'], {'type': 'status_reply'})
        self.assertEqual('status_reply', future.result(LIMIT_S)['type'])

    def test_a_failure_in_on_frame_does_not_break_the_link(self):
        def fail(peer, frame):
            if frame.get('bad'):
                raise RuntimeError('bad')
            self.received.put(frame)

        a, b = self._open('a'), self._open('b', on_frame=fail)
        self._connect({'a': a, 'b': b})
        self._wait_linked(a, b)
        links.send(a, 'b', {'type': 'status', 'bad': True})
        links.send(a, 'b', {'type': 'status'})
        self.received.get(timeout=LIMIT_S)
