"""Tests of dispatch.upstream_client."""

import contextlib
import itertools
import json
import socket
import threading
import time
import unittest

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import upstream_client

BIG = bytes(range(256)) * 4096
OK = b'HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nhi'
REQUEST = model.Request(
    request_id='1-abcdefgh',
    issued_at_ms=1,
    service='soaklog',
    key='a/b',
    rank=model.URGENT,
    repeatable=False,
    deadline_ms=5000,
    caller='c',
    method='POST',
    query='x=%22',
    headers=(('x-fence', 'forged'), ('x-c', 'd')),
    body=b'body',
    traceparent='',
)


class _ScriptedServer:
    """A server with scripted responses, one list for each connection.

    A response is bytes to send, or a function called with the socket. The
    connection is closed after its last response.
    """

    def __init__(self, stack, script):
        self.listener = socket.create_server(('127.0.0.1', 0))
        stack.callback(self.listener.close)
        self.requests = []
        self.closed = [threading.Event() for _ in script]
        thread = threading.Thread(target=self._serve, args=(script,))
        thread.daemon = True
        thread.start()

    def _serve(self, script):
        for responses, closed in zip(script, self.closed, strict=True):
            with contextlib.suppress(OSError):
                sock = self.listener.accept()[0]
                with sock, sock.makefile('rb') as reader:
                    for response in responses:
                        self.requests.append(_read_request(reader))
                        if callable(response):
                            response(sock)
                        else:
                            sock.sendall(response)
            closed.set()

    def address(self):
        return '{}:{}'.format(*self.listener.getsockname())


def _read_request(reader):
    line = reader.readline().decode()
    if not line:
        raise ConnectionResetError('closed by the client')
    header_by_name = {}
    for raw in iter(reader.readline, b'\r\n'):
        name, _, value = raw.decode().partition(':')
        header_by_name[name.lower()] = value.strip()
    body = reader.read(int(header_by_name.get('content-length', 0)))
    return line.split(' ')[:2], header_by_name, body


def _json_response(value, status=200):
    body = json.dumps(value).encode()
    header_section = (
        f'HTTP/1.1 {status} S\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return header_section.encode() + body


class UpstreamClientTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def _open(self, address, slots=3, connections=110):
        target = model.Target(
            't', 'soaklog', 'cell', address, slots, connections, True, False
        )
        return upstream_client.open_upstream(self.stack, target)

    def _script(self, *script):
        server = _ScriptedServer(self.stack, script)
        return server, self._open(server.address())

    def _send(self, upstream, deadline_s=5.0, **changes):
        request = REQUEST._replace(**changes)
        return upstream_client.send_work(
            upstream, request, 7, 31, 'inc', deadline_s, ''
        )

    def test_request_headers_and_complete_response(self):
        big = b'HTTP/1.1 207 M\r\nContent-Length: %d\r\n\r\n' % len(BIG) + BIG
        script, upstream = self._script([OK, big])
        response = self._send(upstream)
        self.assertEqual((200, (('X-A', '1'),), b'hi'), response)
        response = self._send(upstream, body=BIG, key='..')
        self.assertEqual((207, BIG), (response.status, response.body))
        (line, headers, body), (dots, _, big_body) = script.requests
        self.assertEqual(['POST', '/keys/soaklog/a%2Fb?x=%22'], line)
        self.assertEqual('/keys/soaklog/%2E%2E?x=%22', dots[1])
        self.assertEqual((b'body', BIG), (body, big_body))
        self.assertEqual(
            ('7', '31', 'inc', 'd'),
            tuple(
                headers[name]
                for name in ('x-fence', 'x-slot', 'x-grant-incarnation', 'x-c')
            ),
        )

    def test_only_work_that_was_not_sent_counts_as_not_run(self):
        """Guards invariant 4: work reported as 'not run' did not run."""
        unused = socket.socket()
        self.addCleanup(unused.close)
        unused.bind(('127.0.0.1', 0))
        refused = self._open('127.0.0.1:{}'.format(unused.getsockname()[1]))
        for upstream, changes, code in (
            (refused, {}, codes.UPSTREAM_UNREACHABLE),
            (refused, {'deadline_s': 0}, codes.EXPIRED),
            (self._open('no.host.invalid:1'), {}, None),
            (refused, {'headers': (('x', 'a\r\nb'),)}, None),
        ):
            failure = self._send(upstream, **changes)
            self.assertFalse(failure.may_have_run, failure)
            self.assertEqual(codes.NOT_RUN, failure.code.outcome)
            if code is not None:
                self.assertEqual(code, failure.code)

    def test_hanging_connect_is_unreachable(self):
        listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        self.addCleanup(listener.close)
        for _ in range(4):
            filler = socket.socket()
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        upstream = self._open('{}:{}'.format(*listener.getsockname()))
        failure = self._send(upstream)
        self.assertEqual(codes.UPSTREAM_UNREACHABLE, failure.code)

    def test_work_with_lost_response_may_have_run(self):
        part = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi'
        chunked = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n'
        for response in (
            b'',
            b'HTTP/1.1 2',
            part,
            chunked,
            b'garbage\r\n\r\n',
        ):
            upstream = self._script([response])[1]
            failure = self._send(upstream)
            self.assertEqual(codes.OUTCOME_UNKNOWN, failure.code, response)
            self.assertTrue(failure.may_have_run and failure.connection_broken)

    def test_deadline_of_silent_and_slow_responses(self):
        def send_slowly(sock):
            sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n')
            with contextlib.suppress(OSError):
                for _ in itertools.repeat(None, 99):
                    sock.sendall(b'x')
                    done.wait(0.05)

        done = threading.Event()
        self.addCleanup(done.set)

        def stall(sock):
            done.wait(0.7)
            sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n')
            done.wait(5)

        for response in (send_slowly, stall, lambda sock: done.wait(5)):
            upstream = self._script([response])[1]
            start = time.monotonic()
            failure = self._send(upstream, deadline_s=0.8)
            self.assertLess(time.monotonic() - start, 1.2)
            self.assertTrue(failure.may_have_run)
            self.assertFalse(failure.connection_broken)

    def test_refusal_by_the_upstream_ends_the_connection(self):
        """Guards against 'not run' for work that an upstream ran.

        A faulty upstream repeated an earlier refusal on a connection that was
        reused.
        """
        shed = (
            b'HTTP/1.1 503 S\r\nX-Not-Run: shed\r\nRetry-After: 2\r\n'
            b'Content-Length: 4\r\n\r\nbusy'
        )
        script, upstream = self._script([shed, shed + OK], [OK])
        failure = self._send(upstream)
        self.assertEqual(codes.UPSTREAM_REFUSED, failure.code)
        self.assertEqual(
            (False, 'shed', 503, 2000),
            (
                failure.may_have_run,
                failure.refusal,
                failure.status,
                failure.retry_after_ms,
            ),
        )
        self.assertEqual(200, self._send(upstream).status)
        self.assertEqual(2, len(script.requests))

    def test_release_has_its_own_connection(self):
        """Guards against two owners of a slot.

        A response to an earlier release, repeated on a connection that is
        reused, would report that nothing runs on the slot any more.
        """
        idle = _json_response({'slots': [['soaklog', 7, 0]]})
        busy = _json_response({'slots': [['soaklog', 7, 1]]})
        _, upstream = self._script([idle, idle], [busy])
        slots = [('soaklog', 7)]
        first = upstream_client.post_release(upstream, 3, slots)
        self.assertEqual([['soaklog', 7, 0]], first.value['slots'])
        second = upstream_client.post_release(upstream, 5, slots)
        self.assertEqual([['soaklog', 7, 1]], second.value['slots'])

    def test_truncated_header_section(self):
        """Guards against an empty success for a truncated response.

        The upstream closes the connection within the header section.
        """
        header_section = OK.removesuffix(b'hi')
        for length in range(1, len(header_section)):
            upstream = self._script([header_section[:length]])[1]
            failure = self._send(upstream)
            self.assertEqual(codes.OUTCOME_UNKNOWN, failure[0], length)
            self.assertTrue(failure.may_have_run and failure.connection_broken)

    def test_endless_response(self):
        """Guards against a thread that reads on past the deadline."""

        def endless(first, repeated):
            def write(sock):
                with contextlib.suppress(OSError):
                    sock.sendall(first)
                    while not done.is_set():
                        sock.sendall(repeated)

            return write

        done = threading.Event()
        self.addCleanup(done.set)
        chunked = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        for first, repeated in (
            (b'', b'x' * 4096),
            (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
            (b'HTTP/1.1 200 OK\r\n', b'X-More: y\r\n' * 100),
            (b'HTTP/1.1 200 OK\r\n\r\n', b'x' * 4096),
            (chunked + b'0\r\n', b'X-More: y\r\n' * 100),
            (chunked + b'1;', b'x' * 4096),
        ):
            with self.subTest(first=first, repeated=repeated[:20]):
                upstream = self._script([endless(first, repeated)])[1]
                start = time.monotonic()
                failure = self._send(upstream, deadline_s=0.8)
                self.assertLess(time.monotonic() - start, 1.2)
                self.assertTrue(failure.may_have_run)

    def test_responses_over_the_limit(self):
        declared = b'HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n'
        chunk = b'80001\r\n' + b'x' * 0x80001 + b'\r\n'
        chunked = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        for response in (declared, chunked + chunk * 2 + b'0\r\n\r\n'):
            upstream = self._script([response], [OK])[1]
            failure = self._send(upstream)
            self.assertEqual(codes.ANSWER_TOO_LARGE, failure.code)
            self.assertTrue(failure.may_have_run)
            self.assertEqual(200, self._send(upstream).status)

    def test_closed_idle_connection_is_replaced_before_the_send(self):
        """Guards against 'may have run' for work that was never read."""
        script, upstream = self._script([OK], [OK])
        self.assertEqual(200, self._send(upstream).status)
        script.closed[0].wait(5)
        self.assertEqual(200, self._send(upstream).status)
        self.assertEqual(2, len(script.requests))

    def test_work_waits_for_a_connection_of_the_target(self):
        proceed, entered = threading.Event(), threading.Event()

        def hold(sock):
            entered.set()
            proceed.wait(5)
            sock.sendall(OK)

        script = _ScriptedServer(self.stack, [[hold]])
        upstream = self._open(script.address(), slots=1)
        responses = []
        busy = threading.Thread(
            target=lambda: responses.append(self._send(upstream))
        )
        busy.start()
        entered.wait(5)
        failure = self._send(upstream, deadline_s=0.05)
        self.assertEqual(codes.EXPIRED, failure.code)
        self.assertFalse(failure.may_have_run)
        proceed.set()
        busy.join(5)
        self.assertEqual(200, responses[0].status)

    def test_control_requests(self):
        challenge = _json_response({'challenge': 'x'})
        rejected = _json_response({'version': 9}, 409)
        script, upstream = self._script(
            [challenge, rejected],
            [challenge],
            [rejected, _json_response([1])],
        )
        response = upstream_client.get_grant(upstream)
        self.assertEqual((200, {'challenge': 'x'}), response)
        response = upstream_client.post_grant(
            upstream, 'inc', 'x', 4, [('soaklog', 31, 7)]
        )
        self.assertEqual((409, {'version': 9}), response)
        upstream_client.post_release(upstream, 5, [('soaklog', 31)])
        upstream_client.post_cancel(upstream, '1-abcdefgh')
        failure = upstream_client.get_grant(upstream)
        self.assertEqual(codes.BAD_CONTROL_ANSWER, failure.code)
        self.assertEqual(
            [
                ('/grant', b''),
                (
                    '/grant',
                    b'{"incarnation":"inc","challenge":"x","version":4,'
                    b'"slots":[["soaklog",31,7]]}',
                ),
                ('/release', b'{"version":5,"slots":[["soaklog",31]]}'),
                ('/cancel', b'{"request_id":"1-abcdefgh"}'),
                ('/grant', b''),
            ],
            [(line[1], body) for line, _, body in script.requests],
        )

    def test_control_requests_do_not_wait_for_a_frozen_upstream(self):
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        upstream = self._open('{}:{}'.format(*listener.getsockname()))
        start = time.monotonic()
        failure = upstream_client.get_grant(upstream)
        self.assertLess(time.monotonic() - start, 0.4)
        self.assertEqual(codes.OUTCOME_UNKNOWN, failure.code)
