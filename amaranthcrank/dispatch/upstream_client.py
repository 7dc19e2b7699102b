"""HTTP client for one upstream: work, grants, releases, cancellations."""

from collections import abc
import contextlib
import functools
import json
import time
import typing
from urllib import parse as urllib_parse

import urllib3
from urllib3 import connection as urllib3_connection
from urllib3 import exceptions

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import upstream_reader
from amaranthcrank.intake import parse

CONNECT_TIMEOUT_S = 0.3
CONTROL_TIMEOUT_S = 0.2
# An upstream may close an idle connection at any time. A connection that was
# idle this long is replaced before work is sent on it: if the upstream closes
# it during the send, the work may have run, while a new connection costs 1 ms.
MAX_IDLE_S = 2.0
CONTROL_CONNECTIONS = 2
MAX_CONTROL_BYTES = 256 * 1024
READ_CHUNK_BYTES = 64 * 1024


class UpstreamResponse(typing.NamedTuple):
    """The complete response of an upstream that ran the work.

    Attributes:
      status: The HTTP status.
      headers: The end-to-end headers.
      body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class UpstreamFailure(typing.NamedTuple):
    """Work that got no usable response, or that the upstream refused.

    Attributes:
      code: UPSTREAM_REFUSED, UPSTREAM_UNREACHABLE, EXPIRED, BAD_HEADER,
        OUTCOME_UNKNOWN, ANSWER_TOO_LARGE or BAD_CONTROL_ANSWER.
      may_have_run: False only if nothing was sent or the upstream reported
        that it did not run the work.
      refusal: The reason in X-Not-Run, empty without a refusal.
      status: The HTTP status of a refusal, else 0.
      retry_after_ms: The delay in Retry-After of a refusal, else 0.
      connection_broken: Whether an open connection broke, as in a crash.
      detail: A short explanation, for logs and operators.
    """

    code: codes.Code
    may_have_run: bool
    refusal: str
    status: int
    retry_after_ms: int
    connection_broken: bool
    detail: str


class ControlResponse(typing.NamedTuple):
    """The response to a control request.

    Attributes:
      status: The HTTP status.
      value: The decoded JSON object.
    """

    status: int
    value: dict[str, typing.Any]


class Upstream(typing.NamedTuple):
    """The connection pools to one target.

    Attributes:
      target: The target.
      work_pool: Connections for work, at most one for each slot of the target.
      control_pool: Connections for grants, releases and cancellations, so that
        these never wait for work.
    """

    target: model.Target
    work_pool: urllib3.HTTPConnectionPool
    control_pool: urllib3.HTTPConnectionPool


class _Connection(urllib3_connection.HTTPConnection):
    """A connection with limits on its connect time and its idle time."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.last_used_at = 0.0
        self.open_socket: typing.Any = None

    def connect(self) -> None:
        full_timeout = self.timeout
        self.timeout = min(full_timeout, CONNECT_TIMEOUT_S)
        try:
            super().connect()
        finally:
            self.timeout = full_timeout
        self.sock.settimeout(full_timeout)
        # urllib3 drops its reference to the socket of a connection that will
        # close, but the time-outs for reading the body must still be set.
        self.open_socket = self.sock

    @property
    def is_connected(self) -> bool:
        idle_s = time.monotonic() - self.last_used_at
        return idle_s < MAX_IDLE_S and super().is_connected

    def request(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        self.last_used_at = time.monotonic()
        super().request(*args, **kwargs)

    def getresponse(self) -> urllib3.HTTPResponse:
        self.response_class = functools.partial(
            upstream_reader.Response,
            deadline_at=time.monotonic() + self.timeout,
        )
        response = super().getresponse()
        self.last_used_at = time.monotonic()
        return response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def open_upstream(
    stack: contextlib.ExitStack, target: model.Target
) -> Upstream:
    """Create the pools to a target; connections are opened when needed."""
    host, _, port = target.address.rpartition(':')
    control_size = min(CONTROL_CONNECTIONS, max(target.connections - 1, 1))
    work_size = max(min(target.slots, target.connections - control_size), 1)
    work_pool, control_pool = (
        _Pool(host.strip('[]'), int(port), maxsize=size, block=True)
        for size in (work_size, control_size)
    )
    upstream = Upstream(target, work_pool, control_pool)
    stack.callback(close_upstream, upstream)
    return upstream


def close_upstream(upstream: Upstream) -> None:
    """Close idle connections; busy ones are closed when their work ends."""
    upstream.work_pool.close()
    upstream.control_pool.close()


def send_work(
    upstream: Upstream,
    request: model.Request,
    fence: int,
    slot: int,
    incarnation: str,
    deadline_s: float,
    traceparent: str,
) -> UpstreamResponse | UpstreamFailure:
    """Send work once and wait for the complete response.

    Args:
      upstream: The target's pools.
      request: The request.
      fence: The fence of the slot.
      slot: The slot number.
      incarnation: The upstream's incarnation that holds the grant.
      deadline_s: Seconds until the complete response must have arrived.
      traceparent: W3C trace context, empty if there is none.

    Returns:
      The response, or a failure that states whether the work may have run.
    """
    deadline_at = time.monotonic() + deadline_s
    if deadline_s <= 0:
        return _failure(codes.EXPIRED, 'no time left')
    headers = urllib3.HTTPHeaderDict(request.headers)
    headers.setdefault('User-Agent', urllib3.util.SKIP_HEADER)
    headers.update(
        {
            'X-Fence': str(fence),
            'X-Slot': str(slot),
            'X-Grant-Incarnation': incarnation,
            'X-Deadline-Ms': str(max(int(deadline_s * 1000), 1)),
            'X-Request-Id': request.request_id,
            'X-Request-Rank': request.rank,
        }
    )
    if traceparent:
        headers['traceparent'] = traceparent
    return _send_request(
        upstream.work_pool,
        request.method,
        _work_path(request),
        request.body,
        headers,
        deadline_at,
        model.MAX_BODY_BYTES,
    )


def get_grant(upstream: Upstream) -> ControlResponse | UpstreamFailure:
    """Ask for the state of the upstream's grant.

    The response has incarnation, challenge, version, draining and in_flight.
    """
    return _send_control_request(upstream.control_pool, 'GET', '/grant', None)


def post_grant(
    upstream: Upstream,
    incarnation: str,
    challenge: str,
    version: int,
    slots: abc.Sequence[tuple[str, int, int]],
) -> ControlResponse | UpstreamFailure:
    """Grant the (service, slot, fence) list, replacing the previous grant."""
    value = {
        'incarnation': incarnation,
        'challenge': challenge,
        'version': version,
        'slots': [list(each) for each in slots],
    }
    return _send_control_request(
        upstream.control_pool, 'POST', '/grant', value
    )


def post_release(
    upstream: Upstream, version: int, slots: abc.Sequence[tuple[str, int]]
) -> ControlResponse | UpstreamFailure:
    """Ask the upstream to release the (service, slot) list at a version.

    Each release uses a connection of its own. A faulty upstream may repeat a
    response, which could not be distinguished from the response to a later
    release.
    """
    value = {'version': version, 'slots': [list(each) for each in slots]}
    control_pool = upstream.control_pool
    with contextlib.closing(
        _Pool(control_pool.host, control_pool.port, block=True)
    ) as pool:
        return _send_control_request(pool, 'POST', '/release', value)


def post_cancel(
    upstream: Upstream, request_id: str
) -> ControlResponse | UpstreamFailure:
    """Ask the upstream to cancel a request."""
    return _send_control_request(
        upstream.control_pool, 'POST', '/cancel', {'request_id': request_id}
    )


def _work_path(request: model.Request) -> str:
    key = urllib_parse.quote(request.key, safe='')
    # A path segment `.` or `..` would be resolved as a relative path.
    if key in ('.', '..'):
        key = key.replace('.', '%2E')
    path = f'/keys/{urllib_parse.quote(request.service, safe="")}/{key}'
    return f'{path}?{request.query}' if request.query else path


def _send_control_request(
    pool: _Pool, method: str, path: str, value: typing.Any
) -> ControlResponse | UpstreamFailure:
    headers = urllib3.HTTPHeaderDict({'User-Agent': urllib3.util.SKIP_HEADER})
    body = b''
    if value is not None:
        headers['Content-Type'] = 'application/json'
        body = json.dumps(value, separators=(',', ':')).encode()
    deadline_at = time.monotonic() + CONTROL_TIMEOUT_S
    response = _send_request(
        pool, method, path, body, headers, deadline_at, MAX_CONTROL_BYTES
    )
    if isinstance(response, UpstreamFailure):
        return response
    try:
        decoded = json.loads(response.body or b'{}')
    except (ValueError, RecursionError) as e:
        return _failure(codes.BAD_CONTROL_ANSWER, str(e), may_have_run=True)
    if not isinstance(decoded, dict):
        return _failure(
            codes.BAD_CONTROL_ANSWER, 'not an object', may_have_run=True
        )
    return ControlResponse(response.status, decoded)


def _send_request(
    pool: _Pool,
    method: str,
    path: str,
    body: bytes,
    headers: urllib3.HTTPHeaderDict,
    deadline_at: float,
    max_bytes: int,
) -> UpstreamResponse | UpstreamFailure:
    remaining_s = deadline_at - time.monotonic()
    if remaining_s <= 0:
        return _failure(codes.EXPIRED, 'no time left')
    try:
        response = pool.urlopen(
            method,
            path,
            body=body or None,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=remaining_s, read=remaining_s),
            pool_timeout=remaining_s,
            preload_content=False,
            decode_content=False,
        )
    except exceptions.EmptyPoolError:
        return _failure(codes.EXPIRED, 'no free connection to the upstream')
    except (
        exceptions.NewConnectionError,
        exceptions.ConnectTimeoutError,
        exceptions.ClosedPoolError,
        exceptions.LocationValueError,
    ) as e:
        return _failure(codes.UPSTREAM_UNREACHABLE, str(e))
    except ValueError as e:
        # http.client rejects a bad header or path before it sends anything.
        return _failure(codes.BAD_HEADER, str(e))
    except (exceptions.HTTPError, OSError) as e:
        return _lost_response(e)
    try:
        return _read_response(response, method, deadline_at, max_bytes)
    except (exceptions.HTTPError, OSError) as e:
        response.close()
        return _lost_response(e)
    finally:
        # A connection is reused only if its response was read completely.
        if response.length_remaining not in (0, None):
            response.close()
        response.release_conn()


def _read_response(
    response: urllib3.HTTPResponse,
    method: str,
    deadline_at: float,
    max_bytes: int,
) -> UpstreamResponse | UpstreamFailure:
    refusal = response.headers.get('X-Not-Run', '')
    if refusal:
        # A faulty upstream may repeat a refusal. On a connection that is
        # reused, it could not be distinguished from the refusal of later work.
        response.close()
        return _refusal(response, refusal)
    content_length = response.length_remaining or 0
    if method != 'HEAD' and content_length > max_bytes:
        response.close()
        return _too_large(content_length)
    body = _read_body(response, deadline_at, max_bytes)
    if isinstance(body, UpstreamFailure):
        response.close()
        return body
    return UpstreamResponse(
        response.status, _end_to_end_headers(response, method), body
    )


def _read_body(
    response: urllib3.HTTPResponse, deadline_at: float, max_bytes: int
) -> bytes | UpstreamFailure:
    chunks = []
    size = 0
    sock = response.connection and response.connection.open_socket
    while True:
        remaining_s = deadline_at - time.monotonic()
        if remaining_s <= 0:
            return _failure(
                codes.OUTCOME_UNKNOWN,
                'the deadline passed while the answer was read',
                may_have_run=True,
            )
        if sock is not None and sock.fileno() >= 0:
            sock.settimeout(remaining_s)
        chunk = response.read1(READ_CHUNK_BYTES)
        if not chunk:
            return b''.join(chunks)
        size += len(chunk)
        if size > max_bytes:
            return _too_large(size)
        chunks.append(chunk)


def _refusal(response: urllib3.HTTPResponse, refusal: str) -> UpstreamFailure:
    retry_after = response.headers.get('Retry-After', '')[:6]
    is_seconds = retry_after.isascii() and retry_after.isdecimal()
    return UpstreamFailure(
        codes.UPSTREAM_REFUSED,
        may_have_run=False,
        refusal=refusal[:64],
        status=response.status,
        retry_after_ms=int(retry_after) * 1000 if is_seconds else 0,
        connection_broken=False,
        detail=f'{response.status} {refusal[:64]}',
    )


def _end_to_end_headers(
    response: urllib3.HTTPResponse, method: str
) -> tuple[tuple[str, str], ...]:
    connection_options = (
        response.headers.get('Connection', '').lower().split(',')
    )
    excluded = parse.HOP_BY_HOP | {each.strip() for each in connection_options}
    if method != 'HEAD':
        excluded |= {'content-length'}
    return tuple(
        (name, value)
        for name, value in response.headers.iteritems()
        if name.lower() not in excluded
    )


def _lost_response(error: Exception) -> UpstreamFailure:
    timed_out = isinstance(error, (exceptions.TimeoutError, TimeoutError))
    cause = error.args[1] if len(error.args) > 1 else None
    timed_out = timed_out or isinstance(cause, TimeoutError)
    return UpstreamFailure(
        codes.OUTCOME_UNKNOWN,
        may_have_run=True,
        refusal='',
        status=0,
        retry_after_ms=0,
        connection_broken=not timed_out,
        detail=f'{type(error).__name__}: {error}'[:200],
    )


def _failure(
    code: codes.Code, detail: str, may_have_run: bool = False
) -> UpstreamFailure:
    return UpstreamFailure(code, may_have_run, '', 0, 0, False, detail[:200])


def _too_large(size: int) -> UpstreamFailure:
    return _failure(
        codes.ANSWER_TOO_LARGE, f'{size} bytes or more', may_have_run=True
    )
