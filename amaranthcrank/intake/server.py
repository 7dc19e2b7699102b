"""The HTTP servers for callers and for operators."""

from collections import abc
import contextlib
import hmac
import io
import json
import re
import secrets
import socket
import threading
import time
import typing
from urllib import parse as urllib_parse

from cheroot import server as cheroot_server
from cheroot.workers import threadpool
import logbook

from amaranthcrank.answer import respond
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.intake import parse

Handle = abc.Callable[[model.Request], model.Outcome]
Route = abc.Callable[[dict[str, str], bytes], tuple[int, typing.Any]]

MAX_HEADER_BYTES = 32 * 1024
LISTEN_BACKLOG = 512
# A peer that sends or takes nothing for this long loses its connection.
SOCKET_TIMEOUT_S = 10
OPERATOR_THREADS = 4
OPERATOR_CONNECTIONS = 64
# A refused body is read and dropped up to these limits before the close;
# closing with unread data resets the connection and loses the answer.
DRAIN_MAX_BYTES = 4 * 1024 * 1024
DRAIN_LIMIT_S = 1.0
# Quiet time after the last answer before the listener closes, so that
# requests already on their way are answered instead of reset.
QUIET_S = 0.1
POLL_S = 0.01
READ_BUFFER_BYTES = 8192
# A body up to this size leaves in one call with its headers.
JOINED_BODY_BYTES = 64 * 1024

_log = logbook.Logger('intake')

_CODE_BY_CHEROOT_STATUS = {
    '408': codes.REQUEST_TIMEOUT,
    '413': codes.BODY_TOO_LARGE,
    '414': codes.HEADERS_TOO_LARGE,
    '405': codes.BAD_METHOD,
    '500': codes.INTERNAL,
    '501': codes.LENGTH_REQUIRED,
}
# A repeat of one of these lets two parties read one request differently.
_SINGLE = frozenset(
    (b'Content-Length', b'Transfer-Encoding', b'Host', b'X-Request-Id')
)


class _Answer(typing.NamedTuple):
    """One HTTP response."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


class _Exchange(typing.NamedTuple):
    """One HTTP request whose body has not been read."""

    method: str
    raw_path: str
    query: str
    header_by_name: dict[str, str]
    remote: str
    read_body: abc.Callable[[], bytes]


_Respond = abc.Callable[[_Exchange], _Answer]


class BoundServer(typing.NamedTuple):
    """A server that accepts connections.

    Attributes:
      host: The address it is bound to.
      port: The port it is bound to.
      server: The cheroot server, for stop_accepting.
    """

    host: str
    port: int
    server: typing.Any


def open_caller_server(
    stack: contextlib.ExitStack,
    address: tuple[str, int],
    threads: int,
    max_connections: int,
    handle: Handle,
    ready: abc.Callable[[], bool],
    metrics_text: abc.Callable[[], str],
    services: abc.Callable[[], abc.Container[str] | None],
) -> BoundServer:
    """Serve callers until the stack closes.

    Args:
      stack: Stops the server when it closes.
      address: Host and port to bind; port 0 picks a free one.
      threads: How many requests are worked on at once.
      max_connections: How many connections may be open; more are refused.
      handle: Answers a checked request; blocks its worker thread.
      ready: Whether /readyz says yes.
      metrics_text: The text of /metrics.
      services: The names of the services known at this moment, or None.

    Returns:
      The bound address and the running server.
    """
    page_by_path: dict[str, abc.Callable[[], tuple[int, str]]] = {
        '/healthz': lambda: (200, 'ok\n'),
        '/readyz': lambda: (200, 'ready\n') if ready() else (503, 'no\n'),
        '/metrics': lambda: (200, metrics_text()),
    }

    def answer(exchange: _Exchange) -> _Answer:
        page = page_by_path.get(exchange.raw_path)
        if page is not None and exchange.method in parse.SAFE_METHODS:
            status, text = page()
            content_type = ('Content-Type', 'text/plain; charset=utf-8')
            return _Answer(
                respond.status_line(status), [content_type], text.encode()
            )
        body = exchange.read_body()
        now_ms = time.time_ns() // 1_000_000
        request, problems = parse.parse_request(
            exchange.method,
            exchange.raw_path,
            exchange.query,
            exchange.header_by_name,
            body,
            exchange.remote,
            now_ms,
            f'{now_ms}-{secrets.token_hex(8)}',
            services(),
        )
        if request is None:
            echoed = parse.echoed_id(exchange.header_by_name)
            outcome = respond.problems_outcome(problems)
            return _Answer(*respond.response_of(outcome, echoed))
        try:
            outcome = handle(request)
        except Exception:
            _log.exception('request {} failed', request.request_id)
            outcome = model.refusal(codes.INTERNAL)
        return _Answer(*respond.response_of(outcome, request.request_id))

    return _open(stack, address, threads, max_connections, answer)


def open_operator_server(
    stack: contextlib.ExitStack,
    address: tuple[str, int],
    keys: abc.Sequence[str],
    routes: dict[tuple[str, str], Route],
) -> BoundServer:
    """Serve operators until the stack closes.

    Args:
      stack: Stops the server when it closes.
      address: Host and port to bind; port 0 picks a free one.
      keys: The accepted bearer keys.
      routes: Functions by (method, pattern). A pattern such as
        '/tickets/{number}' matches path parts by name. A function takes
        (parts by name, body) and returns (status, value for JSON).

    Returns:
      The bound address and the running server.
    """
    compiled = [
        (method, _pattern(pattern), route)
        for (method, pattern), route in routes.items()
    ]
    accepted = [f'Bearer {key}'.encode() for key in keys if key]

    def answer(exchange: _Exchange) -> _Answer:
        given = exchange.header_by_name.get('authorization', '')
        # Every key is compared, so that timing does not tell which matched.
        matches = [
            hmac.compare_digest(given.encode('latin-1'), key)
            for key in accepted
        ]
        if not any(matches):
            refused = _refused(codes.BAD_OPERATOR_KEY)
            refused.headers.append(('WWW-Authenticate', 'Bearer'))
            return refused
        route, parts, allowed = _find_route(compiled, exchange)
        if route is None and allowed:
            return _refused(codes.BAD_METHOD, f'accepted: {allowed}')
        if route is None:
            return _refused(codes.BAD_PATH)
        status, value = route(parts, exchange.read_body())
        return _Answer(
            respond.status_line(status),
            [('Content-Type', 'application/json')],
            json.dumps(value, separators=(',', ':')).encode(),
        )

    return _open(
        stack, address, OPERATOR_THREADS, OPERATOR_CONNECTIONS, answer
    )


def stop_accepting(bound: BoundServer, limit_s: float) -> int:
    """Stop accepting and wait for the requests in flight.

    New requests are answered with SHUTTING_DOWN and every answer closes its
    connection; then the listener closes.

    Args:
      bound: The server to stop.
      limit_s: How long to wait at most.

    Returns:
      How many requests were still in flight when the time ran out.
    """
    server = bound.server
    server.draining = True
    end = time.monotonic() + limit_s
    _wait_until_quiet(server, end, min(QUIET_S, limit_s / 2))
    left = server.in_flight()
    # cheroot joins its workers without a limit in the end, so a handler that
    # never returns must not hold up the caller.
    server.shutdown_timeout = max(end - time.monotonic(), 0.1)
    stopper = threading.Thread(
        target=server.stop, name='intake-stop', daemon=True
    )
    stopper.start()
    stopper.join(server.shutdown_timeout + 1.0)
    return left


def _wait_until_quiet(server: '_Server', end: float, quiet_s: float) -> None:
    """Wait until nothing has been in flight for a while."""
    quiet_since = time.monotonic()
    while time.monotonic() < end:
        if server.in_flight():
            quiet_since = time.monotonic()
        elif time.monotonic() - quiet_since >= quiet_s:
            return
        time.sleep(POLL_S)


class _Reject(Exception):
    """Ends an exchange with a numbered refusal and closes the connection."""

    def __init__(self, code: codes.Code, detail: str = ''):
        super().__init__(code.name)
        self.code = code
        self.detail = detail


class _HeaderReader(cheroot_server.DropUnderscoreHeaderReader):
    """Refuses repeats of headers that frame or identify a request."""

    def __init__(self) -> None:
        self.seen: set[bytes] = set()

    def _allow_header(self, key_name: bytes) -> bool:
        if key_name in _SINGLE:
            if key_name in self.seen:
                raise ValueError(f'Repeated header {key_name.decode()}')
            self.seen.add(key_name)
        return b'_' not in key_name


class _HTTPRequest(cheroot_server.HTTPRequest):
    """Gives cheroot's own refusals their numbered codes."""

    def __init__(self, server: typing.Any, conn: typing.Any) -> None:
        super().__init__(server, conn)
        self.header_reader = _HeaderReader()

    def simple_response(self, status: str, msg: str = '') -> None:
        text = msg.decode('latin-1') if isinstance(msg, bytes) else msg
        code = _CODE_BY_CHEROOT_STATUS.get(status[:3], codes.BAD_HTTP)
        if status[:3] == '413' and 'headers' in text:
            code = codes.HEADERS_TOO_LARGE
        self.close_connection = True
        self.conn.refuse(_refused(code, text))


class _Raw(socket.SocketIO):
    """A socket that can pretend to have nothing to read."""

    is_paused = False

    def readinto(self, buffer: typing.Any) -> int | None:
        return None if self.is_paused else super().readinto(buffer)


class _Reader(io.BufferedReader):
    """Reads from a socket; cheroot's own reader is written in Python."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(_Raw(sock, 'r'), READ_BUFFER_BYTES)

    def has_data(self) -> bool:
        """Tell whether a part of the next request is in the buffer.

        What is still in the socket does not count: a connection that passed
        the selector by would be served before others that wait in it.
        """
        self.raw.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.is_paused = False


class _Writer:
    """Writes to a socket, the headers together with a small body."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.body = b''

    def write(self, data: bytes) -> int:
        body, self.body = self.body, b''
        self._sock.sendall(data + body)
        return len(data)


class _HTTPConnection(cheroot_server.HTTPConnection):
    """Counts open connections, for the limit on them."""

    RequestHandlerClass = _HTTPRequest

    def __init__(
        self, server: typing.Any, sock: socket.socket, *args: typing.Any
    ) -> None:
        super().__init__(server, sock, *args)
        self.rfile = _Reader(sock)
        self.wfile = _Writer(sock)
        self.waited = False
        self.counted = True
        server.count_connection(1)

    def close(self) -> None:
        if self.counted:
            self.counted = False
            self.server.count_connection(-1)
        super().close()

    def refuse(self, answer: _Answer) -> None:
        """Write an answer, then drop what the caller still sends."""
        with contextlib.suppress(OSError):
            self.wfile.write(_raw(answer))
            self.drop_input()

    def drop_input(self) -> None:
        """End the output and read until the caller closes, up to a limit."""
        self.socket.shutdown(socket.SHUT_WR)
        self.socket.settimeout(DRAIN_LIMIT_S)
        end = time.monotonic() + DRAIN_LIMIT_S
        left = DRAIN_MAX_BYTES
        while left > 0 and time.monotonic() < end:
            data = self.socket.recv(65536)
            if not data:
                break
            left -= len(data)


class _ThreadPool(threadpool.ThreadPool):
    """A pool whose workers do not keep the process from exiting."""

    def _spawn_worker(self) -> threading.Thread:
        worker = threadpool.WorkerThread(self.server)
        worker.daemon = True
        worker.start()
        return worker


class _Server(cheroot_server.HTTPServer):
    """A cheroot server with a limit on connections and a draining state."""

    ConnectionClass = _HTTPConnection
    request_queue_size = LISTEN_BACKLOG
    timeout = SOCKET_TIMEOUT_S
    max_request_header_size = MAX_HEADER_BYTES
    max_request_body_size = model.MAX_BODY_BYTES
    nodelay = True

    def __init__(
        self,
        address: tuple[str, int],
        threads: int,
        max_connections: int,
        answer: _Respond,
    ) -> None:
        super().__init__(address, _Gateway, server_name='amaranthcrank')
        self.requests = _ThreadPool(self, min=threads, max=threads)
        self.keep_alive_conn_limit = max_connections
        self.max_connections = max_connections
        self.answer = answer
        self.draining = False
        self._count_lock = threading.Lock()
        self._connection_count = 0

    def count_connection(self, change: int) -> None:
        with self._count_lock:
            self._connection_count += change

    def process_conn(self, conn: _HTTPConnection) -> None:
        if conn.waited:
            super().process_conn(conn)
            return
        conn.waited = True
        if self._connection_count > self.max_connections:
            self._refuse_new(conn)
            return
        # A worker takes a connection only once it has data; otherwise
        # connections opened ahead of use would occupy every worker.
        self.put_conn(conn)

    def _refuse_new(self, conn: _HTTPConnection) -> None:
        # On the accepting thread, so nothing here may block.
        with contextlib.suppress(OSError):
            conn.socket.setblocking(False)
            conn.socket.send(_raw(_refused(codes.TOO_MANY_CONNECTIONS)))
        with contextlib.suppress(OSError):
            conn.close()

    def in_flight(self) -> int:
        """Count the requests that wait for a worker or occupy one."""
        busy = sum(
            1
            for worker in list(self.requests._threads)
            if worker.conn is not None
        )
        return busy + self.requests.qsize

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        if traceback:
            _log.exception('{}', msg)
        else:
            _log.info('{}', msg)


class _Gateway(cheroot_server.Gateway):
    """Answers one request.

    cheroot decodes the path but leaves %2F, so that %2F and %252F look the
    same in it; the request line has the path as sent.
    """

    def respond(self) -> None:
        req = self.req
        server = req.server
        header_by_name = {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in req.inheaders.items()
        }
        raw_path, _, query = req.uri.decode('latin-1').partition('?')
        exchange = _Exchange(
            req.method.decode('latin-1'),
            raw_path,
            query,
            header_by_name,
            req.conn.remote_addr or '',
            self._read_body,
        )
        try:
            _check_framing(header_by_name)
            if server.draining and raw_path.startswith('/v1/'):
                raise _Reject(codes.SHUTTING_DOWN)
            answer = server.answer(exchange)
        except _Reject as reject:
            self._reject(_refused(reject.code, reject.detail))
            return
        except OSError:
            raise
        except Exception:
            _log.exception('{} {} failed', exchange.method, raw_path)
            answer = _refused(codes.INTERNAL)
        # Asked once: a stop that begins during the write must not end the
        # output of a connection that was announced to stay open.
        is_last = server.draining
        if is_last:
            req.close_connection = True
        self._write(answer)
        if is_last:
            # The next request may already wait unread in the socket; closing
            # would reset the connection and lose the end of this answer.
            with contextlib.suppress(OSError):
                req.conn.drop_input()

    def _read_body(self) -> bytes:
        length = int(self.req.inheaders.get(b'Content-Length', b'0'))
        if not length:
            return b''
        body = self.req.rfile.read(length)
        if len(body) < length:
            raise _Reject(
                codes.BAD_LENGTH, f'found {len(body)} of {length} bytes'
            )
        return body

    def _reject(self, answer: _Answer) -> None:
        self.req.close_connection = True
        self.req.sent_headers = True
        self.req.conn.refuse(answer)

    def _write(self, answer: _Answer) -> None:
        req = self.req
        req.status = answer.status.encode('ascii')
        req.outheaders = _framed(answer, req.method == b'HEAD')
        # Unread body bytes must not be taken for the next request.
        if getattr(req.rfile, 'remaining', 0):
            req.close_connection = True
        body = b'' if req.method == b'HEAD' else answer.body
        if len(body) <= JOINED_BODY_BYTES:
            req.conn.wfile.body, body = body, b''
        req.ensure_headers_sent()
        if body:
            req.write(body)


def _open(
    stack: contextlib.ExitStack,
    address: tuple[str, int],
    threads: int,
    max_connections: int,
    answer: _Respond,
) -> BoundServer:
    server = _Server(address, threads, max_connections, answer)
    server.prepare()
    thread = threading.Thread(
        target=server.serve, name='intake-accept', daemon=True
    )
    thread.start()
    host, port = server.socket.getsockname()[:2]
    bound = BoundServer(host, port, server)
    stack.callback(lambda: server.ready and stop_accepting(bound, 0.2))
    return bound


def _check_framing(header_by_name: dict[str, str]) -> None:
    # Only announced lengths are read: a chunked body has no length to check
    # before its memory is spent, and a negative one would read to the end.
    if 'transfer-encoding' in header_by_name:
        raise _Reject(codes.LENGTH_REQUIRED)
    length = header_by_name.get('content-length', '0')
    if not (length.isascii() and length.isdigit()):
        raise _Reject(codes.BAD_LENGTH, f'found {length[:80]!r}')


def _framed(answer: _Answer, is_head: bool) -> list[tuple[bytes, bytes]]:
    headers = []
    announced = None
    for name, value in answer.headers:
        if name.lower() == 'content-length':
            announced = value
            continue
        headers.append((name.encode('latin-1'), value.encode('latin-1')))
    if answer.status[:3] in ('204', '304'):
        return headers
    if not is_head or announced is None:
        announced = str(len(answer.body))
    headers.append((b'Content-Length', announced.encode('latin-1')))
    return headers


def _refused(code: codes.Code, detail: str = '') -> _Answer:
    return _Answer(*respond.response_of(model.refusal(code, detail), ''))


def _raw(answer: _Answer) -> bytes:
    lines = [f'HTTP/1.1 {answer.status}', 'Connection: close']
    lines.extend(f'{name}: {value}' for name, value in answer.headers)
    lines.append(f'Content-Length: {len(answer.body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + answer.body


def _pattern(pattern: str) -> re.Pattern[str]:
    parts = re.split(r'\{(\w+)\}', pattern)
    literals = [re.escape(each) for each in parts[0::2]]
    groups = [f'(?P<{each}>[^/]+)' for each in parts[1::2]]
    pieces = [literals[0]]
    for group, literal in zip(groups, literals[1:], strict=True):
        pieces += [group, literal]
    return re.compile(''.join(pieces))


def _find_route(
    compiled: list[tuple[str, re.Pattern[str], Route]], exchange: _Exchange
) -> tuple[Route | None, dict[str, str], str]:
    allowed = []
    for method, pattern, route in compiled:
        match = pattern.fullmatch(exchange.raw_path)
        if match is None:
            continue
        if method == exchange.method:
            parts = {
                name: urllib_parse.unquote(value)
                for name, value in match.groupdict().items()
            }
            return route, parts, ''
        allowed.append(method)
    return None, {}, ', '.join(sorted(allowed))
