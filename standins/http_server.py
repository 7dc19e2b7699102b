"""The HTTP server of the stand-ins: one cheroot server per process."""

from collections import abc
import contextlib
import errno
import http
import json
import signal
import sys
import threading
import typing
from urllib import parse

from cheroot import server as cheroot_server
from cheroot import wsgi

MAX_BODY_BYTES = 1024 * 1024
# Bodies up to this size are read completely before they are refused: closing
# a connection with unread data resets it, and the client loses the response.
MAX_READ_BYTES = 8 * 1024 * 1024
# Longer than any test run, so that idle pooled connections stay open.
IDLE_TIMEOUT_S = 3600


class Call(typing.NamedTuple):
    """One request.

    Attributes:
      method: The HTTP method.
      path: The decoded segments of the path.
      query: The last value of each query parameter.
      headers: The headers by lower-case name.
      body: The complete body.
    """

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response(typing.NamedTuple):
    """One response.

    Attributes:
      status: The HTTP status.
      headers: Names and values.
      body: The complete body; not sent for HEAD.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


Handler = abc.Callable[[Call], Response]


class DropConnection(Exception):
    """Raised by a handler to close the connection without a response."""


def json_response(
    status: int,
    content: typing.Any,
    headers: tuple[tuple[str, str], ...] = (),
) -> Response:
    """Make a response with a JSON body."""
    return Response(
        status,
        (('Content-Type', 'application/json'), *headers),
        json.dumps(content).encode(),
    )


def error_response(
    status: int, text: str, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Make a JSON response with an error message."""
    return json_response(status, {'error': text}, headers)


def json_object(call: Call) -> dict[str, typing.Any] | None:
    """Decode the body of a call.

    Returns:
      The JSON object, an empty one for an empty body, or None if the body is
      not a JSON object.
    """
    if not call.body:
        return {}
    try:
        content = json.loads(call.body)
    except ValueError:
        return None
    return content if isinstance(content, dict) else None


def parse_address(address: str) -> tuple[str, int]:
    """Split host:port; raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class _Connection(cheroot_server.HTTPConnection):
    def __init__(self, server, sock, *rest):
        super().__init__(server, sock, *rest)
        with server.open_lock:
            server.open_connections.add(self)
            self.over_limit = (
                server.connection_limit is not None
                and len(server.open_connections) > server.connection_limit
            )

    def close(self):
        with self.server.open_lock:
            self.server.open_connections.discard(self)
        super().close()


class _Gateway(wsgi.Gateway_10):
    def get_environ(self):
        environ = super().get_environ()
        environ['standins.over_limit'] = self.req.conn.over_limit
        if self.req.conn.over_limit:
            self.req.close_connection = True
        return environ


class Server(wsgi.Server):
    """A cheroot server that counts its open connections.

    Attributes:
      connection_limit: Connections beyond this number get status 503 and are
        closed; None for no limit.
      open_connections: The connections that are open now.
      open_lock: Guards open_connections.
    """

    ConnectionClass = _Connection
    keep_alive_conn_limit = None

    def __init__(
        self,
        handler: Handler,
        address: tuple[str, int],
        threads: int,
        connection_limit: int | None = None,
    ) -> None:
        self.connection_limit = connection_limit
        self.open_connections: set[_Connection] = set()
        self.open_lock = threading.Lock()
        super().__init__(
            address,
            _make_app(handler),
            numthreads=threads,
            request_queue_size=1024,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=1,
        )
        self.gateway = _Gateway

    @property
    def address(self) -> str:
        """The bound host:port."""
        host, port = self.bind_addr[:2]
        return f'{host}:{port}'


@contextlib.contextmanager
def running(
    handler: Handler,
    close: abc.Callable[[], None],
    threads: int = 16,
    connection_limit: int | None = None,
) -> abc.Iterator[str]:
    """Serve on a free port of 127.0.0.1 in a thread of this process.

    Args:
      handler: Handles each call.
      close: Wakes every waiting handler.
      threads: How many calls are handled concurrently.
      connection_limit: See Server.

    Yields:
      The host:port.
    """
    server = Server(handler, ('127.0.0.1', 0), threads, connection_limit)
    # The server checks for a stop only once in this interval.
    server.expiration_interval = 0.02
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield server.address
    finally:
        close()
        server.stop()
        thread.join()


def run_process(
    handler: Handler,
    close: abc.Callable[[], None],
    address: str,
    threads: int,
    connection_limit: int | None = None,
    on_ready: abc.Callable[[], None] = lambda: None,
) -> None:
    """Serve until SIGTERM or SIGINT.

    The first line on standard output is `listening <host:port>`.

    Args:
      handler: Handles each call.
      close: Wakes every waiting handler.
      address: host:port; port 0 selects a free one.
      threads: How many calls are handled concurrently.
      connection_limit: See Server.
      on_ready: Called once the socket listens, before the first line.
    """
    server = Server(handler, parse_address(address), threads, connection_limit)
    signal.signal(signal.SIGTERM, _exit_on_signal)
    signal.signal(signal.SIGINT, _exit_on_signal)
    server.prepare()
    try:
        on_ready()
        print(f'listening {server.address}', flush=True)
        server.serve()
    finally:
        close()
        server.stop()


def _exit_on_signal(number, frame) -> None:
    sys.exit(0)


def _make_app(handler: Handler):
    def app(environ, start_response):
        if environ['standins.over_limit']:
            response = error_response(
                503, 'too many connections', (('X-Not-Run', 'connections'),)
            )
        else:
            response = _respond(handler, environ)
        status = f'{response.status} {_reason_phrase(response.status)}'
        length = ('Content-Length', str(len(response.body)))
        start_response(status, [*response.headers, length])
        return [] if environ['REQUEST_METHOD'] == 'HEAD' else [response.body]

    return app


def _respond(handler: Handler, environ) -> Response:
    try:
        call = _read_call(environ)
        if call is None:
            return error_response(
                413, f'the body is over {MAX_READ_BYTES} bytes'
            )
        return handler(call)
    except DropConnection:
        # cheroot closes the connection without a log line on this errno.
        raise ConnectionResetError(
            errno.ECONNRESET, 'closed without an answer'
        ) from None


def _read_call(environ) -> Call | None:
    body = _read_body(environ)
    if body is None:
        return None
    path, _, query = environ['REQUEST_URI'].partition('?')
    headers = {
        name[5:].replace('_', '-').lower(): value
        for name, value in environ.items()
        if name.startswith('HTTP_')
    }
    if environ.get('CONTENT_TYPE'):
        headers['content-type'] = environ['CONTENT_TYPE']
    return Call(
        environ['REQUEST_METHOD'],
        # Split before decoding, so that a key may contain a slash.
        tuple(parse.unquote(each) for each in path.split('/')[1:]),
        dict(parse.parse_qsl(query, keep_blank_values=True)),
        headers,
        body,
    )


def _read_body(environ) -> bytes | None:
    stream = environ['wsgi.input']
    if environ['wsgi.input_terminated']:
        body = stream.read(MAX_READ_BYTES + 1)
        return None if len(body) > MAX_READ_BYTES else body
    length = int(environ.get('CONTENT_LENGTH') or 0)
    if length > MAX_READ_BYTES:
        return None
    body = stream.read(length) if length else b''
    if len(body) < length:
        # The client disconnected; a truncated body must have no effect.
        raise DropConnection
    return body


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
