"""Tests of intake.server."""

import contextlib
from http import client
import json
import socket
import threading
import unittest

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.intake import server

BIG = bytes(range(256)) * 4096
POST = b'POST /v1/s/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: 10-abcdefgh\r\n'


def _echo(request):
    return model.Outcome(
        codes.OK, 200, (('X-Key', repr(request.key)),), request.body, 0, ''
    )


class CallerServerTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def _open(self, handle=_echo, threads=2, connections=16):
        return server.open_caller_server(
            self.stack,
            ('127.0.0.1', 0),
            threads,
            connections,
            handle,
            lambda: False,
            lambda: 'requests 1\n',
            lambda: None,
        )

    def _connect(self, bound):
        connection = client.HTTPConnection(bound.host, bound.port, timeout=5)
        self.addCleanup(connection.close)
        return connection

    def _raw(self, bound, data):
        with socket.create_connection((bound.host, bound.port), 5) as sock:
            with contextlib.suppress(OSError):
                sock.sendall(data)
            response = client.HTTPResponse(sock)
            response.begin()
            body = response.read()
            return response.getheader('X-Result-Code'), body

    def test_encoded_slash_stays_in_the_key(self):
        connection = self._connect(self._open())
        for path, key in (('a%2Fb', 'a/b'), ('a%252Fb', 'a%2Fb')):
            connection.request('GET', f'/v1/s/{path}?q=%2F')
            response = connection.getresponse()
            response.read()
            self.assertEqual(repr(key), response.getheader('X-Key'))

    def test_large_bodies_both_ways_on_one_connection(self):
        connection = self._connect(self._open())
        for _ in range(3):
            connection.request(
                'PUT', '/v1/s/k', BIG, {'X-Request-Id': '10-abcdefgh'}
            )
            response = connection.getresponse()
            self.assertEqual(BIG, response.read())
            self.assertEqual('100', response.getheader('X-Result-Code'))

    def test_refusals_have_result_codes(self):
        """Guards against memory spent on oversized or ambiguous input."""
        bound = self._open()
        for code, data in (
            ('210', POST + b'Content-Length: 1048577\r\n\r\n' + BIG + b'x'),
            ('212', POST + b'Content-Length: -5\r\n\r\n'),
            ('219', POST + b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'),
            ('216', POST + b'X: ' + b'a' * 40000 + b'\r\n\r\n'),
            ('216', b'GET /v1/s/' + b'k' * 40000 + b' HTTP/1.1\r\n\r\n'),
            ('215', POST + b'Content-Length: 0\r\nContent-Length: 1\r\n\r\n'),
            ('215', POST + b'X-Request-Id: 11-abcdefgh\r\n\r\n'),
            ('215', b'garbage\r\n\r\n'),
            ('200', b'GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n'),
        ):
            with self.subTest(code=code, data=data[:80]):
                found, body = self._raw(bound, data)
                self.assertEqual(code, found)
                self.assertEqual(int(code), json.loads(body)['code'])

    def test_pipelined_requests_all_get_a_response(self):
        """Guards against a request left unread in the read buffer."""
        bound = self._open()
        with socket.create_connection((bound.host, bound.port), 5) as sock:
            sock.sendall(b'GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n' * 3)
            received = b''
            while received.count(b'ok\n') < 3:
                received += sock.recv(65536)

    def test_short_body_is_not_handled(self):
        handled = []
        bound = self._open(handled.append)
        with socket.create_connection((bound.host, bound.port), 5) as sock:
            sock.sendall(POST + b'Content-Length: 9\r\n\r\nabc')
            sock.shutdown(socket.SHUT_WR)
            response = client.HTTPResponse(sock)
            response.begin()
            self.assertEqual('212', response.getheader('X-Result-Code'))
        self.assertEqual([], handled)

    def test_failure_in_handle_has_a_code_and_the_server_continues(self):
        def handle(request):
            if request.key == 'bad':
                raise RuntimeError('bad')
            return _echo(request)

        connection = self._connect(self._open(handle))
        for key, code in (('bad', '405'), ('good', '100')) * 3:
            connection.request('GET', f'/v1/s/{key}')
            response = connection.getresponse()
            response.read()
            self.assertEqual(code, response.getheader('X-Result-Code'))

    def test_head_sends_the_length_without_a_body(self):
        def handle(request):
            headers = (('Content-Length', '77'),)
            return model.Outcome(codes.OK, 200, headers, b'', 0, '')

        connection = self._connect(self._open(handle))
        for _ in range(2):
            connection.request('HEAD', '/v1/s/k')
            response = connection.getresponse()
            self.assertEqual(b'', response.read())
            self.assertEqual('77', response.getheader('Content-Length'))

    def test_health_and_metrics_pages(self):
        connection = self._connect(self._open())
        for path, status, body in (
            ('/healthz', 200, b'ok\n'),
            ('/readyz', 503, b'no\n'),
            ('/metrics', 200, b'requests 1\n'),
        ):
            connection.request('GET', path)
            response = connection.getresponse()
            self.assertEqual(
                (status, body), (response.status, response.read())
            )

    def test_idle_connections_occupy_no_worker(self):
        bound = self._open(threads=1)
        for _ in range(5):
            idle = socket.create_connection((bound.host, bound.port))
            self.addCleanup(idle.close)
        connection = self._connect(bound)
        connection.request('GET', '/v1/s/k')
        self.assertEqual(200, connection.getresponse().status)

    def test_connections_over_the_limit_are_refused(self):
        bound = self._open(connections=2)
        for _ in range(2):
            connection = self._connect(bound)
            connection.request('GET', '/v1/s/k')
            connection.getresponse().read()
        self.assertEqual('315', self._raw(bound, b'')[0])

    def test_shutdown_waits_for_the_whole_response(self):
        started, proceed = threading.Event(), threading.Event()

        def handle(request):
            started.set()
            proceed.wait(5)
            return _echo(request)

        bound = self._open(handle)
        idle, busy = self._connect(bound), self._connect(bound)
        idle.request('GET', '/healthz')
        idle.getresponse().read()
        busy.request('PUT', '/v1/s/k', BIG, {'X-Request-Id': '10-abcdefgh'})
        started.wait(5)
        unfinished = []
        stopping = threading.Thread(
            target=lambda: unfinished.append(server.stop_accepting(bound, 5))
        )
        stopping.start()
        while not bound.server.draining:
            pass
        idle.request('GET', '/v1/s/k')
        refused = idle.getresponse()
        self.assertEqual('308', refused.getheader('X-Result-Code'))
        self.assertTrue(refused.will_close)
        proceed.set()
        self.assertEqual(BIG, busy.getresponse().read())
        stopping.join(5)
        self.assertEqual([0], unfinished)
        with self.assertRaises(OSError):
            socket.create_connection((bound.host, bound.port), 1)

    def test_shutdown_has_a_time_limit(self):
        started, proceed = threading.Event(), threading.Event()
        self.addCleanup(proceed.set)

        def handle(request):
            started.set()
            proceed.wait(10)
            return _echo(request)

        bound = self._open(handle)
        self._connect(bound).request('GET', '/v1/s/k')
        started.wait(5)
        self.assertEqual(1, server.stop_accepting(bound, 0.1))


class OperatorServerTest(unittest.TestCase):
    def test_keys_and_routes(self):
        def fail(parts, body):
            raise RuntimeError('bad')

        routes = {
            ('GET', '/tickets/{number}'): lambda parts, body: (200, parts),
            ('POST', '/tickets'): lambda parts, body: (201, len(body)),
            ('GET', '/fail'): fail,
        }
        with contextlib.ExitStack() as stack:
            bound = server.open_operator_server(
                stack, ('127.0.0.1', 0), ['old', 'new'], routes
            )
            for method, path, key, status, value in (
                ('GET', '/tickets/4%2F5', 'old', 200, {'number': '4/5'}),
                ('POST', '/tickets', 'new', 201, 3),
                ('GET', '/tickets/4', 'other', 401, None),
                ('GET', '/tickets/4', 'ol', 401, None),
                ('GET', '/tickets/4', '', 401, None),
                ('DELETE', '/tickets/4', 'new', 405, None),
                ('GET', '/none', 'new', 404, None),
                ('GET', '/fail', 'new', 500, None),
            ):
                connection = client.HTTPConnection(bound.host, bound.port)
                body = b'abc' if method == 'POST' else None
                headers = {'Authorization': f'Bearer {key}'}
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                decoded = json.loads(response.read())
                connection.close()
                self.assertEqual(status, response.status, (path, key))
                if value is not None:
                    self.assertEqual(value, decoded)
