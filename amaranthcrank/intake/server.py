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
# A connection without progress for this long is closed.
SOCKET_TIMEOUT_S = 10
OPERATOR_THREADS = 4
OPERATOR_CONNECTIONS = 64
# After a refusal, or the last response of a server that shuts down, unread
# input is discarded up to these limits before the connection closes: closing
# a socket with unread data resets the connection and can discard the response.
DISCARD_MAX_BYTES = 4 * 1024 * 1024
DISCARD_LIMIT_S = 1.0
# The listener closes after this long without requests in flight, so that
# requests already sent by callers get a response instead of a reset.
IDLE_WAIT_S = 0.1
POLL_S = 0.01
READ_BUFFER_BYTES = 8192
# A body up to this size is written in one call with its headers.
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
# Headers that must not be repeated: two implementations could interpret such a
# request differently (request smuggling).
_UNIQUE_HEADERS = frozenset(
    (b'Content-Length', b'Transfer-Encoding', b'Host', b'X-Request-Id')
)


class _Response(typing.NamedTuple):
    """One HTTP response."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


class _Exchange(typing.NamedTuple):
    """One HTTP request whose body has not been read yet."""

    method: str
    raw_path: str
    query: str
    header_by_name: dict[str, str]
    remote_address: str
    read_body: abc.Callable[[], bytes]


_HandleExchange = abc.Callable[[_Exchange], _Response]


class BoundServer(typing.NamedTuple):
    """A running server.

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
      threads: How many requests are handled concurrently.
      max_connections: How many connections may be open; more are refused.
      handle: Handles a validated request; blocks its worker thread.
      ready: Returns whether /readyz reports ready.
      metrics_text: Returns the text of /metrics.
      services: Returns the names of the known services, or None to accept any.

    Returns:
      The bound address and the running server.
    """
    page_by_path: dict[str, abc.Callable[[], tuple[int, str]]] = {
        '/healthz': lambda: (200, 'ok\n'),
        '/readyz': lambda: (200, 'ready\n') if ready() else (503, 'no\n'),
        '/metrics': lambda: (200, metrics_text()),
    }

    def handle_exchange(exchange: _Exchange) -> _Response:
        page = page_by_path.get(exchange.raw_path)
        if page is not None and exchange.method in parse.SAFE_METHODS:
            status, text = page()
            content_type = ('Content-Type', 'text/plain; charset=utf-8')
            return _Response(
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
            exchange.remote_address,
            now_ms,
            f'{now_ms}-{secrets.token_hex(8)}',
            services(),
        )
        if request is None:
            echoed = parse.echoed_id(exchange.header_by_name)
            outcome = respond.problems_outcome(problems)
            return _Response(*respond.response_of(outcome, echoed))
        try:
            outcome = handle(request)
        except Exception:
            _log.exception('request {} failed', request.request_id)
            outcome = model.refusal(codes.INTERNAL)
        return _Response(*respond.response_of(outcome, request.request_id))

    return _start_server(
        stack, address, threads, max_connections, handle_exchange
    )


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
        (method, _compile_pattern(pattern), route)
        for (method, pattern), route in routes.items()
    ]
    accepted = [f'Bearer {key}'.encode() for key in keys if key]

    def handle_exchange(exchange: _Exchange) -> _Response:
        given = exchange.header_by_name.get('authorization', '')
        # Every key is compared, so that timing does not reveal which matched.
        matches = [
            hmac.compare_digest(given.encode('latin-1'), key)
            for key in accepted
        ]
        if not any(matches):
            refusal = _refusal_response(codes.BAD_OPERATOR_KEY)
            refusal.headers.append(('WWW-Authenticate', 'Bearer'))
            return refusal
        route, parts, allowed = _find_route(compiled, exchange)
        if route is None and allowed:
            return _refusal_response(codes.BAD_METHOD, f'accepted: {allowed}')
        if route is None:
            return _refusal_response(codes.BAD_PATH)
        status, value = route(parts, exchange.read_body())
        return _Response(
            respond.status_line(status),
            [('Content-Type', 'application/json')],
            json.dumps(value, separators=(',', ':')).encode(),
        )

    return _start_server(
        stack, address, OPERATOR_THREADS, OPERATOR_CONNECTIONS, handle_exchange
    )


def stop_accepting(bound: BoundServer, limit_s: float) -> int:
    """Drain the requests in flight and close the listener.

    While draining, new requests are refused with SHUTTING_DOWN and every
    response closes its connection.

    Args:
      bound: The server to stop.
      limit_s: How long to wait at most.

    Returns:
      How many requests were still in flight at the end of the wait.
    """
    server = bound.server
    server.draining = True
    end = time.monotonic() + limit_s
    _wait_until_idle(server, end, min(IDLE_WAIT_S, limit_s / 2))
    unfinished = server.in_flight()
    # cheroot finally joins its workers without a time limit, so the stop runs
    # on its own thread: a handler that never returns must not block this one.
    server.shutdown_timeout = max(end - time.monotonic(), 0.1)
    stopper = threading.Thread(
        target=server.stop, name='intake-stop', daemon=True
    )
    stopper.start()
    stopper.join(server.shutdown_timeout + 1.0)
    return unfinished


def _wait_until_idle(server: '_Server', end: float, idle_s: float) -> None:
    """Wait until nothing has been in flight for idle_s."""
    idle_since = time.monotonic()
    while time.monotonic() < end:
        if server.in_flight():
            idle_since = time.monotonic()
        elif time.monotonic() - idle_since >= idle_s:
            return
        time.sleep(POLL_S)


class _RequestRefused(Exception):
    """Ends an exchange with a result code and closes the connection."""

    def __init__(self, code: codes.Code, detail: str = ''):
        super().__init__(code.name)
        self.code = code
        self.detail = detail


class _HeaderReader(cheroot_server.DropUnderscoreHeaderReader):
    """Rejects repeated headers that frame or identify a request."""

    def __init__(self) -> None:
        self.seen: set[bytes] = set()

    def _allow_header(self, key_name: bytes) -> bool:
        if key_name in _UNIQUE_HEADERS:
            if key_name in self.seen:
                raise ValueError(f'Repeated header {key_name.decode()}')
            self.seen.add(key_name)
        return b'_' not in key_name


class _HTTPRequest(cheroot_server.HTTPRequest):
    """Replaces cheroot's own error responses by ones with result codes."""

    def __init__(self, server: typing.Any, conn: typing.Any) -> None:
        super().__init__(server, conn)
        self.header_reader = _HeaderReader()

    def simple_response(self, status: str, msg: str = '') -> None:
        text = msg.decode('latin-1') if isinstance(msg, bytes) else msg
        code = _CODE_BY_CHEROOT_STATUS.get(status[:3], codes.BAD_HTTP)
        if status[:3] == '413' and 'headers' in text:
            code = codes.HEADERS_TOO_LARGE
        self.close_connection = True
        self.conn.refuse(_refusal_response(code, text))


class _PausableSocket(socket.SocketIO):
    """A socket whose reads can be paused, so that a peek does not read it."""

    is_paused = False

    def readinto(self, buffer: typing.Any) -> int | None:
        return None if self.is_paused else super().readinto(buffer)


class _Reader(io.BufferedReader):
    """Reads from a socket, faster than cheroot's reader in pure Python."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(_PausableSocket(sock, 'r'), READ_BUFFER_BYTES)

    def has_data(self) -> bool:
        """Return whether a part of the next request is in the buffer.

        Data that is still in the socket does not count: a connection that
        bypassed the selector would be served before others that wait in it.
        """
        self.raw.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.is_paused = False


class _Writer:
    """Writes to a socket; joins the headers with a small body."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.body = b''

    def write(self, data: bytes) -> int:
        body, self.body = self.body, b''
        self._sock.sendall(data + body)
        return len(data)


class _HTTPConnection(cheroot_server.HTTPConnection):
    """A connection that is counted against the connection limit."""

    RequestHandlerClass = _HTTPRequest

    def __init__(
        self, server: typing.Any, sock: socket.socket, *args: typing.Any
    ) -> None:
        super().__init__(server, sock, *args)
        self.rfile = _Reader(sock)
        self.wfile = _Writer(sock)
        self.was_selected = False
        self.counted = True
        server.count_connection(1)

    def close(self) -> None:
        if self.counted:
            self.counted = False
            self.server.count_connection(-1)
        super().close()

    def refuse(self, response: _Response) -> None:
        """Write a response, then discard what the caller still sends."""
        with contextlib.suppress(OSError):
            self.wfile.write(_serialize(response))
            self.discard_input()

    def discard_input(self) -> None:
        """End the output and discard the input up to the limits."""
        self.socket.shutdown(socket.SHUT_WR)
        self.socket.settimeout(DISCARD_LIMIT_S)
        end = time.monotonic() + DISCARD_LIMIT_S
        left = DISCARD_MAX_BYTES
        while left > 0 and time.monotonic() < end:
            data = self.socket.recv(65536)
            if not data:
                break
            left -= len(data)


class _ThreadPool(threadpool.ThreadPool):
    """A pool of daemon threads, which do not keep the process from exiting."""

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
        handle_exchange: _HandleExchange,
    ) -> None:
        super().__init__(address, _Gateway, server_name='amaranthcrank')
        self.requests = _ThreadPool(self, min=threads, max=threads)
        self.keep_alive_conn_limit = max_connections
        self.max_connections = max_connections
        self.handle_exchange = handle_exchange
        self.draining = False
        self._count_lock = threading.Lock()
        self._connection_count = 0

    def count_connection(self, change: int) -> None:
        with self._count_lock:
            self._connection_count += change

    def process_conn(self, conn: _HTTPConnection) -> None:
        if conn.was_selected:
            super().process_conn(conn)
            return
        conn.was_selected = True
        if self._connection_count > self.max_connections:
            self._refuse_new(conn)
            return
        # The selector passes a connection to a worker once it has data;
        # otherwise idle connections would occupy all workers.
        self.put_conn(conn)

    def _refuse_new(self, conn: _HTTPConnection) -> None:
        # Runs on the accepting thread, so nothing here may block.
        with contextlib.suppress(OSError):
            conn.socket.setblocking(False)
            conn.socket.send(
                _serialize(_refusal_response(codes.TOO_MANY_CONNECTIONS))
            )
        with contextlib.suppress(OSError):
            conn.close()

    def in_flight(self) -> int:
        """Return the number of requests that wait for or occupy a worker."""
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
    """Handles one request.

    Uses the path from the request line: cheroot decodes its own copy but
    leaves %2F, so that %2F and %252F cannot be distinguished in it.
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
                raise _RequestRefused(codes.SHUTTING_DOWN)
            response = server.handle_exchange(exchange)
        except _RequestRefused as e:
            self._reject(_refusal_response(e.code, e.detail))
            return
        except OSError:
            raise
        except Exception:
            _log.exception('{} {} failed', exchange.method, raw_path)
            response = _refusal_response(codes.INTERNAL)
        # Read once: if a stop begins during the write, the response has
        # already announced that the connection stays open.
        is_last = server.draining
        if is_last:
            req.close_connection = True
        self._write(response)
        if is_last:
            # The next request may already be unread in the socket; closing
            # would reset the connection and cut off this response.
            with contextlib.suppress(OSError):
                req.conn.discard_input()

    def _read_body(self) -> bytes:
        length = int(self.req.inheaders.get(b'Content-Length', b'0'))
        if not length:
            return b''
        body = self.req.rfile.read(length)
        if len(body) < length:
            raise _RequestRefused(
                codes.BAD_LENGTH, f'found {len(body)} of {length} bytes'
            )
        return body

    def _reject(self, response: _Response) -> None:
        self.req.close_connection = True
        self.req.sent_headers = True
        self.req.conn.refuse(response)

    def _write(self, response: _Response) -> None:
        req = self.req
        req.status = response.status.encode('ascii')
        req.outheaders = _frame_headers(response, req.method == b'HEAD')
        # Unread body bytes must not be parsed as the next request.
        if getattr(req.rfile, 'remaining', 0):
            req.close_connection = True
        body = b'' if req.method == b'HEAD' else response.body
        if len(body) <= JOINED_BODY_BYTES:
            req.conn.wfile.body, body = body, b''
        req.ensure_headers_sent()
        if body:
            req.write(body)


def _start_server(
    stack: contextlib.ExitStack,
    address: tuple[str, int],
    threads: int,
    max_connections: int,
    handle_exchange: _HandleExchange,
) -> BoundServer:
    server = _Server(address, threads, max_connections, handle_exchange)
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
    # A Content-Length is required: the size of a chunked body cannot be
    # checked before it is in memory, and a negative length would read to the
    # end of the stream.
    if 'transfer-encoding' in header_by_name:
        raise _RequestRefused(codes.LENGTH_REQUIRED)
    length = header_by_name.get('content-length', '0')
    if not (length.isascii() and length.isdigit()):
        raise _RequestRefused(codes.BAD_LENGTH, f'found {length[:80]!r}')


def _frame_headers(
    response: _Response, is_head: bool
) -> list[tuple[bytes, bytes]]:
    headers = []
    content_length = None
    for name, value in response.headers:
        if name.lower() == 'content-length':
            content_length = value
            continue
        headers.append((name.encode('latin-1'), value.encode('latin-1')))
    if response.status[:3] in ('204', '304'):
        return headers
    if not is_head or content_length is None:
        content_length = str(len(response.body))
    headers.append((b'Content-Length', content_length.encode('latin-1')))
    return headers


def _refusal_response(code: codes.Code, detail: str = '') -> _Response:
    return _Response(*respond.response_of(model.refusal(code, detail), ''))


def _serialize(response: _Response) -> bytes:
    lines = [f'HTTP/1.1 {response.status}', 'Connection: close']
    lines.extend(f'{name}: {value}' for name, value in response.headers)
    lines.append(f'Content-Length: {len(response.body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + response.body


def _compile_pattern(pattern: str) -> re.Pattern[str]:
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
