"""Long-lived links to the other hosts.

Each host dials every other host and sends all frames, requests as well as
replies, on the connection that it dialled; on accepted connections it only
receives. If replies used the same connection, two hosts that send each other
large bodies at the same time would deadlock: the library reads and writes
under one lock, so neither would read before its own write had ended.

Heartbeats need no separate connection: small frames are sent before bodies,
and TCP_NOTSENT_LOWAT bounds the unsent data that the kernel holds ahead of
them. Library pings are off because heartbeats are sent every 100 ms and
TCP_USER_TIMEOUT ends a connection on which they are not acknowledged.
"""

from collections import abc
from concurrent import futures
import contextlib
import itertools
import logging
import random
import secrets
import socket
import threading
import time
import typing

from websockets import exceptions
from websockets.sync import client
from websockets.sync import connection as ws_connection
from websockets.sync import server as ws_server

from amaranthcrank.core import codes
from amaranthcrank.core import logs
from amaranthcrank.peers import frames
from amaranthcrank.peers import handshake
from amaranthcrank.peers import send_queue

OnFrame = abc.Callable[[str, frames.Frame], None]

DIAL_TIMEOUT_S = 0.3
LISTEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.2
# How long a closing link continues to send queued frames.
FLUSH_LIMIT_S = 0.5
# A peer that returns just after a failed dial must be linked within 2 s. A
# maximum of 1 s would suffice; half of it leaves a margin.
BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 0.5
# A connection ends if sent data is not acknowledged for this long. Without it,
# retransmission would back off to minutes after a network failure.
TCP_USER_TIMEOUT_MS = 1000
# About the unsent data that the kernel holds; a heartbeat waits behind it.
UNSENT_BYTES = 128 * 1024
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_COUNT = 3

MAX_HANDSHAKES = 64
LOG_INTERVAL_S = 10.0

_log = logs.logger('links')
_library_log = logging.getLogger('amaranthcrank.websockets')
_library_log.addHandler(logging.NullHandler())
_library_log.propagate = False


class LinkError(Exception):
    """The failure of a call that can no longer get a reply.

    Attributes:
      problem: The reason with its result code.
      sent: Whether any part of the frame may have reached the peer.
    """

    def __init__(self, problem: codes.Problem, sent: bool):
        super().__init__(f'{problem.code.number} {problem.detail}')
        self.problem = problem
        self.sent = sent


class Links:
    """The links of one host; use the functions of this module."""

    def __init__(
        self, host_id: str, keys: tuple[bytes, ...], on_frame: OnFrame
    ) -> None:
        self.host_id = host_id
        self.keys = keys
        self.on_frame = on_frame
        self.lock = threading.Lock()
        self.link_by_host: dict[str, _Link] = {}
        self.accepted_by_host: dict[str, ws_connection.Connection] = {}
        self.frame_ids = itertools.count(_first_frame_id())
        self.handshakes = threading.BoundedSemaphore(MAX_HANDSHAKES)
        self.limited_log_by_key: dict[
            tuple[str, int], logs.RateLimitedLogger
        ] = {}
        self.server: ws_server.Server


class _Call:
    """A pending call."""

    __slots__ = ('future', 'started')

    def __init__(self, future: futures.Future) -> None:
        self.future = future
        self.started = False


class _Link:
    """The dialled connection to one host, its queue and its pending calls."""

    def __init__(self, host: str, address: tuple[str, int]) -> None:
        self.host = host
        self.address = address
        self.changed = threading.Condition()
        self.queue = send_queue.SendQueue()
        self.call_by_id: dict[int, _Call] = {}
        self.connection: ws_connection.Connection | None = None
        self.up = False
        self.redial_now = False
        self.closing = False
        self.thread: threading.Thread


def open_links(
    stack: contextlib.ExitStack,
    host_id: str,
    address: tuple[str, int],
    keys: abc.Sequence[bytes],
    on_frame: OnFrame,
    known_hosts: abc.Mapping[str, tuple[str, int]],
) -> Links:
    """Listen for peers and dial the known ones until the stack closes.

    Args:
      stack: Closes every link when it closes.
      host_id: The id of this host.
      address: Host and port to listen on; port 0 picks a free one.
      keys: The cluster keys. Any key that two hosts share links them, so
        keys can be rotated by adding the new one before removing the old.
      on_frame: Called with (host, frame) on the receiving thread for each
        frame that is not a reply; must not block.
      known_hosts: The address of each peer by host id.

    Returns:
      The links.
    """
    links = Links(host_id, tuple(keys), on_frame)
    links.server = ws_server.serve(
        lambda connection: _serve_connection(links, connection),
        address[0],
        address[1],
        compression=None,
        open_timeout=LISTEN_TIMEOUT_S,
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
        max_size=handshake.MAX_HANDSHAKE_BYTES,
        server_header=None,
        logger=_library_log,
        backlog=128,
    )
    # The library's connection threads inherit the daemon flag from this one.
    thread = threading.Thread(
        target=links.server.serve_forever, name='links-accept', daemon=True
    )
    thread.start()
    stack.callback(_close, links)
    set_hosts(links, known_hosts)
    return links


def bound_address(links: Links) -> tuple[str, int]:
    """Return the host and port on which the links listen."""
    return links.server.socket.getsockname()[:2]


def set_hosts(
    links: Links, address_by_host: abc.Mapping[str, tuple[str, int]]
) -> None:
    """Replace the known hosts.

    Links to hosts that are no longer listed are closed; a changed address is
    dialled immediately. This host's own id is ignored.
    """
    removed: list[_Link] = []
    accepted: list[ws_connection.Connection] = []
    with links.lock:
        for host in list(links.link_by_host):
            if host in address_by_host:
                continue
            removed.append(links.link_by_host.pop(host))
            if host in links.accepted_by_host:
                accepted.append(links.accepted_by_host.pop(host))
        for host, address in address_by_host.items():
            if host == links.host_id:
                continue
            link = links.link_by_host.get(host)
            if link is None:
                links.link_by_host[host] = _start_link(links, host, address)
                continue
            _change_address(link, tuple(address))
    for link in removed:
        with link.changed:
            link.closing = True
            link.changed.notify_all()
        _abort(link.connection)
    for connection in accepted:
        _abort(connection)


def send(links: Links, host: str, frame: frames.Frame) -> bool:
    """Queue a one-way frame; never blocks.

    Frames of type request, answer and cancel are sent by rank, which is that
    of the request or the field 'rank'; all others are sent first. A
    cancellation stays behind its request if it has the same rank.

    Returns:
      Whether it was queued; False if the host is not linked, its queue is
      full or the frame cannot be encoded.
    """
    link = links.link_by_host.get(host)
    data, problems = frames.encode_frame({**frame, 'id': frames.ONE_WAY_ID})
    if data is None:
        _log.error('cannot encode frame to {}: {}', host, problems)
        return False
    if link is None:
        return False
    return _enqueue(link, frame, send_queue.Item(data, 0, None)) is None


def call(links: Links, host: str, frame: frames.Frame) -> futures.Future:
    """Queue a frame that expects a reply; never blocks.

    There is no time limit for the reply. To stop waiting, cancel the future;
    a frame that is still queued is then not sent.

    Returns:
      A future of the reply frame. It fails with a LinkError if the host
      is not linked in both directions, its queue is full or the link breaks.
    """
    future: futures.Future = futures.Future()
    frame_id = next(links.frame_ids)
    data, problems = frames.encode_frame({**frame, 'id': frame_id})
    if data is None:
        future.set_exception(LinkError(problems[0], sent=False))
        return future
    link = links.link_by_host.get(host)
    accepted = links.accepted_by_host.get(host)
    problem = None
    if link is None or accepted is None:
        problem = _problem(codes.NOT_LINKED, host)
    else:
        item = send_queue.Item(data, frame_id, future)
        problem = _enqueue(link, frame, item)
    if problem is not None:
        future.set_exception(LinkError(problem, sent=False))
        return future
    future.add_done_callback(lambda _: link.call_by_id.pop(frame_id, None))
    # The connection for the reply may have ended before the call was
    # registered.
    if links.accepted_by_host.get(host) is not accepted:
        _fail_calls(link)
    return future


def reply(links: Links, host: str, frame_id: int, frame: frames.Frame) -> bool:
    """Queue the reply to a received frame; never blocks.

    If the reply cannot be queued or encoded, the call fails at the other host
    with QUEUE_FULL instead of waiting for a reply that never arrives.

    Returns:
      Whether it was queued; False if the host is not linked, its queue is
      full or the reply cannot be encoded.
    """
    link = links.link_by_host.get(host)
    envelope = {'id': frame_id, frames.REPLY_FIELD: True}
    data, problems = frames.encode_frame({**frame, **envelope})
    if link is None:
        return False
    problem = None
    if data is None:
        _log.error('cannot encode reply to {}: {}', host, problems)
    else:
        item = send_queue.Item(data, 0, None, is_reply=True)
        problem = _enqueue(link, frame, item)
        if problem is None:
            return True
    if data is None or problem.code == codes.QUEUE_FULL:
        _send_lost_reply(link, envelope)
    return False


def _send_lost_reply(link: _Link, envelope: frames.Frame) -> None:
    """Queue a reply that makes the call fail at the other host."""
    lost = {'type': frames.STATUS_REPLY, frames.LOST_FIELD: True, **envelope}
    data, _ = frames.encode_frame(lost)
    if data is not None:
        _enqueue(link, lost, send_queue.Item(data, 0, None, is_reply=True))


def connected(links: Links) -> frozenset[str]:
    """Return the hosts that are linked in both directions, as calls need."""
    with links.lock:
        return frozenset(
            host
            for host, link in links.link_by_host.items()
            if link.up and host in links.accepted_by_host
        )


def _start_link(links: Links, host: str, address: tuple[str, int]) -> _Link:
    link = _Link(host, tuple(address))
    link.thread = threading.Thread(
        target=_run_link, args=(links, link), name=f'link-{host}', daemon=True
    )
    link.thread.start()
    return link


def _change_address(link: _Link, address: tuple[str, int]) -> None:
    with link.changed:
        if link.address == address:
            return
        link.address = address
        link.redial_now = True
        link.changed.notify_all()
    _abort(link.connection)


def _enqueue(
    link: _Link, frame: frames.Frame, item: send_queue.Item
) -> codes.Problem | None:
    with link.changed:
        if not link.up or link.closing:
            return _problem(codes.NOT_LINKED, link.host)
        if not send_queue.put(link.queue, frame, item):
            return _problem(codes.QUEUE_FULL, link.host)
        if item.future is not None:
            link.call_by_id[item.frame_id] = _Call(item.future)
        link.changed.notify()
    return None


def _run_link(links: Links, link: _Link) -> None:
    failures = 0
    while not link.closing:
        with link.changed:
            link.redial_now = False
            address = link.address
        try:
            connection = _dial(links, link, address)
        except Exception as e:
            failures += 1
            problem = getattr(e, 'problem', None)
            code = problem.code if problem else codes.NOT_LINKED
            _log_rate_limited(links, link.host, code, str(e) or repr(e))
            _wait_to_dial(link, failures)
            continue
        failures = 0
        with link.changed:
            if link.address == address and not link.closing:
                link.redial_now = False
                link.connection = connection
                link.up = not connection.ended.is_set()
        if link.up:
            _log.info('linked to {} at {}:{}', link.host, *address)
            _send_queued(link, connection)
        _end_connection(link, connection)


def _wait_to_dial(link: _Link, failures: int) -> None:
    max_delay_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(failures, 8))
    delay_s = max_delay_s * random.uniform(0.5, 1.0)
    with link.changed:
        link.changed.wait_for(lambda: link.redial_now or link.closing, delay_s)


class _DialledConnection(client.ClientConnection):
    """A dialled connection that notifies its link when it ends."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        self.ended = threading.Event()
        self.on_end: abc.Callable[[], None] = lambda: None
        super().__init__(*args, **kwargs)

    def recv_events(self) -> None:
        try:
            super().recv_events()
        finally:
            self.ended.set()
            self.on_end()


def _dial(
    links: Links, link: _Link, address: tuple[str, int]
) -> _DialledConnection:
    sock = socket.create_connection(address, timeout=DIAL_TIMEOUT_S)
    sock.settimeout(None)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
        (socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    connection = client.connect(
        f'ws://{address[0]}:{address[1]}/',
        sock=sock,
        compression=None,
        user_agent_header=None,
        proxy=None,
        open_timeout=DIAL_TIMEOUT_S,
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
        max_size=handshake.MAX_HANDSHAKE_BYTES,
        logger=_library_log,
        create_connection=_DialledConnection,
        # The link closes the connection itself, without a with block.
        legacy=True,
    )
    try:
        handshake.prove_as_dialler(
            connection, links.host_id, link.host, links.keys, DIAL_TIMEOUT_S
        )
    except BaseException:
        _abort(connection)
        raise

    def notify() -> None:
        with link.changed:
            link.changed.notify_all()

    connection.on_end = notify
    return connection


def _send_queued(link: _Link, connection: _DialledConnection) -> None:
    """Send queued frames until the connection ends or the link closes."""
    flush_until = None
    while True:
        with link.changed:
            link.changed.wait_for(
                lambda: (
                    not send_queue.is_empty(link.queue)
                    or link.closing
                    or link.redial_now
                    or connection.ended.is_set()
                )
            )
            if link.redial_now or connection.ended.is_set():
                return
            if link.closing and flush_until is None:
                flush_until = time.monotonic() + FLUSH_LIMIT_S
            if flush_until and time.monotonic() > flush_until:
                return
            item = send_queue.take(link.queue)
            if item is None:
                return
            if not _start_call(link, item):
                continue
        try:
            connection.send(item.data)
        except (exceptions.WebSocketException, OSError):
            return


def _start_call(link: _Link, item: send_queue.Item) -> bool:
    """Mark a call as started; return False if it has ended already."""
    if item.future is None:
        return True
    pending_call = link.call_by_id.get(item.frame_id)
    if item.future.done() or pending_call is None:
        return False
    pending_call.started = True
    return True


def _end_connection(link: _Link, connection: _DialledConnection) -> None:
    with link.changed:
        link.up = False
        link.connection = None
        link.queue = send_queue.SendQueue()
    _fail_calls(link)
    if link.closing and not connection.ended.is_set():
        with contextlib.suppress(Exception):
            connection.close()
    _abort(connection)


def _fail_calls(link: _Link) -> None:
    with link.changed:
        failed = list(link.call_by_id.values())
        link.call_by_id.clear()
    problem = _problem(codes.LINK_BROKEN, link.host)
    for each in failed:
        with contextlib.suppress(futures.InvalidStateError):
            each.future.set_exception(LinkError(problem, each.started))


def _serve_connection(
    links: Links, connection: ws_server.ServerConnection
) -> None:
    _set_keepalive(connection.socket)
    if not links.handshakes.acquire(blocking=False):
        return
    try:
        host = handshake.verify_dialler(
            connection,
            links.host_id,
            links.link_by_host,
            links.keys,
            LISTEN_TIMEOUT_S,
        )
    except handshake.HandshakeError as e:
        _log_rate_limited(
            links, e.problem.place, e.problem.code, e.problem.detail
        )
        return
    except Exception as e:
        _log_rate_limited(links, '', codes.AUTH_FAILED, repr(e))
        return
    finally:
        links.handshakes.release()
    if not _register(links, host, connection):
        return
    connection.protocol.max_message_size = frames.MAX_FRAME_BYTES
    try:
        for message in connection:
            _receive(links, host, message)
    except exceptions.ConnectionClosed as e:
        _log.info('connection from {} ended: {}', host, e)
    finally:
        _unregister(links, host, connection)


def _register(
    links: Links, host: str, connection: ws_server.ServerConnection
) -> bool:
    with links.lock:
        link = links.link_by_host.get(host)
        if link is None:
            return False
        replaced = links.accepted_by_host.get(host)
        links.accepted_by_host[host] = connection
    if replaced is not None:
        _abort(replaced)
        _fail_calls(link)
    # The peer is reachable, so a link that backs off can dial it immediately.
    with link.changed:
        if not link.up:
            link.redial_now = True
            link.changed.notify_all()
    return True


def _unregister(
    links: Links, host: str, connection: ws_server.ServerConnection
) -> None:
    with links.lock:
        if links.accepted_by_host.get(host) is not connection:
            return
        del links.accepted_by_host[host]
        link = links.link_by_host.get(host)
    # Replies to pending calls may have been lost with the connection.
    if link is not None:
        _fail_calls(link)


def _first_frame_id() -> int:
    # A random start prevents a reply to an earlier process of this host from
    # matching a call of this process.
    return secrets.randbits(62) + 1


def _pop_call(link: _Link, frame_id: int) -> _Call | None:
    return link.call_by_id.pop(frame_id, None)


def _receive(links: Links, host: str, message: bytes | str) -> None:
    frame, problems = frames.decode_frame(message)
    if frame is None:
        _log_rate_limited(links, host, problems[0].code, problems[0].detail)
        return
    if not frame.get(frames.REPLY_FIELD):
        try:
            links.on_frame(host, frame)
        except Exception:
            _log.exception('{} frame from {} failed', frame['type'], host)
        return
    link = links.link_by_host.get(host)
    pending_call = _pop_call(link, frame['id']) if link else None
    if pending_call is None:
        _log.debug(
            'dropped {} from {}: no call waits for it', frame['type'], host
        )
        return
    with contextlib.suppress(futures.InvalidStateError):
        if frame.get(frames.LOST_FIELD):
            problem = codes.Problem(
                codes.QUEUE_FULL, host, 'no room for the answer'
            )
            pending_call.future.set_exception(LinkError(problem, sent=True))
        else:
            pending_call.future.set_result(frame)


def _set_keepalive(sock: socket.socket) -> None:
    # Nothing is sent on an accepted connection, so only keep-alive probes can
    # detect that the peer no longer exists.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _abort(connection: ws_connection.Connection | None) -> None:
    # The library's close waits for a lock that a blocked send holds; only
    # shutting down the socket unblocks that send.
    if connection is None:
        return
    with contextlib.suppress(OSError):
        connection.socket.shutdown(socket.SHUT_RDWR)


def _problem(code: codes.Code, host: str) -> codes.Problem:
    return codes.Problem(code, host, code.text)


def _log_rate_limited(
    links: Links, host: str, code: codes.Code, detail: str
) -> None:
    """Log a failure once per interval for each host and code."""
    key = (host if host in links.link_by_host else '', code.number)
    limited = links.limited_log_by_key.get(key)
    if limited is None:
        limited = logs.RateLimitedLogger(_log, 1, LOG_INTERVAL_S)
        limited = links.limited_log_by_key.setdefault(key, limited)
    limited.warning('{} {}: {}: {}', code.number, code.name, host, detail)


def _close(links: Links) -> None:
    with links.lock:
        closing_links = list(links.link_by_host.values())
        links.link_by_host.clear()
        accepted = list(links.accepted_by_host.values())
    for link in closing_links:
        with link.changed:
            link.closing = True
            link.changed.notify_all()
    end = time.monotonic() + FLUSH_LIMIT_S + CLOSE_TIMEOUT_S
    for link in closing_links:
        link.thread.join(max(end - time.monotonic(), 0.0))
        _abort(link.connection)
    for connection in accepted:
        _abort(connection)
    # A receiver that hangs in on_frame must not block the close.
    stopper = threading.Thread(target=links.server.shutdown, daemon=True)
    stopper.start()
    stopper.join(LISTEN_TIMEOUT_S)
