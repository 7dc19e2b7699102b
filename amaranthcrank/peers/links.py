"""Long-lived links to the other hosts.

Each host dials every other one and sends everything, requests as well as
answers, on the connection that it dialled; it only receives on connections
that it accepted. With answers on the same connection, two hosts that send
each other large bodies at once would block: the library reads and writes
under one lock, so neither would read until its own write had ended.

Heartbeats need no connection of their own: small frames go before bodies,
and TCP_NOTSENT_LOWAT keeps the kernel from taking more than a little ahead of
them. Library pings are off because heartbeats are sent every 100 ms and
TCP_USER_TIMEOUT ends a connection that does not take them.
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
# How long a closing link goes on sending what is queued.
FLUSH_LIMIT_S = 0.5
# Half of the accepted 1 s, so that a peer that returns just after a failed
# dial is linked well within its 2 s.
BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 0.5
# Data that the peer does not take for this long ends the connection. Without
# it, retransmission backs off to minutes after a network cut.
TCP_USER_TIMEOUT_MS = 1000
# The kernel holds about this much unsent data, which a heartbeat waits for.
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
    """The result of a call whose answer cannot come any more.

    Attributes:
      problem: The numbered reason.
      sent: Whether any part of the frame can have reached the peer.
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
        self.ids = itertools.count(_first_id())
        self.handshakes = threading.BoundedSemaphore(MAX_HANDSHAKES)
        self.limited_log_by_key: dict[
            tuple[str, int], logs.RateLimitedLogger
        ] = {}
        self.server: ws_server.Server


class _Call:
    """A call that waits for its answer."""

    __slots__ = ('future', 'started')

    def __init__(self, future: futures.Future) -> None:
        self.future = future
        self.started = False


class _Link:
    """The dialled connection to one host, its queues and its open calls."""

    def __init__(self, host: str, address: tuple[str, int]) -> None:
        self.host = host
        self.address = address
        self.changed = threading.Condition()
        self.waiting = send_queue.SendQueue()
        self.call_by_id: dict[int, _Call] = {}
        self.connection: ws_connection.Connection | None = None
        self.up = False
        self.hurry = False
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
        frame that is not an answer; must be quick.
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
    """Tell where the links listen."""
    return links.server.socket.getsockname()[:2]


def set_hosts(
    links: Links, address_by_host: abc.Mapping[str, tuple[str, int]]
) -> None:
    """Replace the known hosts.

    Links to hosts that are no longer named are closed; a changed address is
    dialled at once. This host's own id is passed over.
    """
    gone: list[_Link] = []
    accepted: list[ws_connection.Connection] = []
    with links.lock:
        for host in list(links.link_by_host):
            if host in address_by_host:
                continue
            gone.append(links.link_by_host.pop(host))
            if host in links.accepted_by_host:
                accepted.append(links.accepted_by_host.pop(host))
        for host, address in address_by_host.items():
            if host == links.host_id:
                continue
            link = links.link_by_host.get(host)
            if link is None:
                links.link_by_host[host] = _start_link(links, host, address)
                continue
            _move_link(link, tuple(address))
    for link in gone:
        with link.changed:
            link.closing = True
            link.changed.notify_all()
        _abort(link.connection)
    for connection in accepted:
        _abort(connection)


def send(links: Links, host: str, frame: frames.Frame) -> bool:
    """Queue a one-way frame; never blocks.

    Frames of type request, answer and cancel are sent by rank, which is that
    of the request or the field 'rank'; all others go first. A cancellation
    keeps its place behind its request where it names the same rank.

    Returns:
      Whether it was queued: False where the host is not linked, its queue
      is full or the frame cannot be encoded.
    """
    link = links.link_by_host.get(host)
    data, problems = frames.encode_frame({**frame, 'id': frames.NO_ANSWER_ID})
    if data is None:
        _log.error('frame to {} refused: {}', host, problems)
        return False
    if link is None:
        return False
    return _enqueue(link, frame, send_queue.Item(data, 0, None)) is None


def call(links: Links, host: str, frame: frames.Frame) -> futures.Future:
    """Queue a frame that is answered; never blocks.

    Answers have no time limit here; a caller that gives up cancels the
    future, and a frame that is still queued is then not sent.

    Returns:
      A future of the answering frame. It fails with a LinkError when the
      host is not linked both ways, its queue is full or the link breaks.
    """
    future: futures.Future = futures.Future()
    frame_id = next(links.ids)
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
    # The answering connection may have ended before the call was entered.
    if links.accepted_by_host.get(host) is not accepted:
        _fail_calls(link)
    return future


def reply(links: Links, host: str, frame_id: int, frame: frames.Frame) -> bool:
    """Queue the answer to a received frame; never blocks.

    Where the queue has no room, the call fails at the other host with
    QUEUE_FULL instead of waiting for an answer that does not come.

    Returns:
      Whether it was queued: False where the host is not linked or its queue
      is full.
    """
    link = links.link_by_host.get(host)
    envelope = {'id': frame_id, frames.REPLY_FIELD: True}
    data, problems = frames.encode_frame({**frame, **envelope})
    if link is None:
        return False
    problem = None
    if data is None:
        _log.error('answer to {} refused: {}', host, problems)
    else:
        item = send_queue.Item(data, 0, None, is_reply=True)
        problem = _enqueue(link, frame, item)
        if problem is None:
            return True
    if data is None or problem.code == codes.QUEUE_FULL:
        _send_lost(link, envelope)
    return False


def _send_lost(link: _Link, envelope: frames.Frame) -> None:
    lost = {'type': frames.STATUS_REPLY, frames.LOST_FIELD: True, **envelope}
    data, _ = frames.encode_frame(lost)
    if data is not None:
        _enqueue(link, lost, send_queue.Item(data, 0, None, is_reply=True))


def connected(links: Links) -> frozenset[str]:
    """Tell which hosts are linked both ways, so that calls can succeed."""
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


def _move_link(link: _Link, address: tuple[str, int]) -> None:
    with link.changed:
        if link.address == address:
            return
        link.address = address
        link.hurry = True
        link.changed.notify_all()
    _abort(link.connection)


def _enqueue(
    link: _Link, frame: frames.Frame, item: send_queue.Item
) -> codes.Problem | None:
    with link.changed:
        if not link.up or link.closing:
            return _problem(codes.NOT_LINKED, link.host)
        if not send_queue.put(link.waiting, frame, item):
            return _problem(codes.QUEUE_FULL, link.host)
        if item.future is not None:
            link.call_by_id[item.frame_id] = _Call(item.future)
        link.changed.notify()
    return None


def _run_link(links: Links, link: _Link) -> None:
    failures = 0
    while not link.closing:
        with link.changed:
            link.hurry = False
            address = link.address
        try:
            connection = _dial(links, link, address)
        except Exception as e:
            failures += 1
            problem = getattr(e, 'problem', None)
            code = problem.code if problem else codes.NOT_LINKED
            _log_seldom(links, link.host, code, str(e) or repr(e))
            _wait_to_dial(link, failures)
            continue
        failures = 0
        with link.changed:
            if link.address == address and not link.closing:
                link.hurry = False
                link.connection = connection
                link.up = not connection.ended.is_set()
        if link.up:
            _log.info('linked to {} at {}:{}', link.host, *address)
            _pump(link, connection)
        _end_connection(link, connection)


def _wait_to_dial(link: _Link, failures: int) -> None:
    longest = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** min(failures, 8))
    delay = longest * random.uniform(0.5, 1.0)
    with link.changed:
        link.changed.wait_for(lambda: link.hurry or link.closing, delay)


class _Dialled(client.ClientConnection):
    """A dialled connection that tells its link when it ends."""

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


def _dial(links: Links, link: _Link, address: tuple[str, int]) -> _Dialled:
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
        create_connection=_Dialled,
        # The link closes the connection itself, not through a with block.
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


def _pump(link: _Link, connection: _Dialled) -> None:
    """Send queued frames until the connection ends or the link closes."""
    flush_until = None
    while True:
        with link.changed:
            link.changed.wait_for(
                lambda: (
                    not send_queue.is_empty(link.waiting)
                    or link.closing
                    or link.hurry
                    or connection.ended.is_set()
                )
            )
            if link.hurry or connection.ended.is_set():
                return
            if link.closing and flush_until is None:
                flush_until = time.monotonic() + FLUSH_LIMIT_S
            if flush_until and time.monotonic() > flush_until:
                return
            item = send_queue.take(link.waiting)
            if item is None:
                return
            if not _start_call(link, item):
                continue
        try:
            connection.send(item.data)
        except (exceptions.WebSocketException, OSError):
            return


def _start_call(link: _Link, item: send_queue.Item) -> bool:
    """Note that an item is about to be sent; False where nobody waits."""
    if item.future is None:
        return True
    open_call = link.call_by_id.get(item.frame_id)
    if item.future.done() or open_call is None:
        return False
    open_call.started = True
    return True


def _end_connection(link: _Link, connection: _Dialled) -> None:
    with link.changed:
        link.up = False
        link.connection = None
        link.waiting = send_queue.SendQueue()
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
        _log_seldom(links, e.problem.place, e.problem.code, e.problem.detail)
        return
    except Exception as e:
        _log_seldom(links, '', codes.AUTH_FAILED, repr(e))
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
    # The peer is there, so a link that waits to dial it need not wait.
    with link.changed:
        if not link.up:
            link.hurry = True
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
    # Answers to open calls may have been lost with the connection.
    if link is not None:
        _fail_calls(link)


def _first_id() -> int:
    # A random start keeps an answer to an earlier process of this host from
    # matching a call of this one.
    return secrets.randbits(62) + 1


def _take_call(link: _Link, frame_id: int) -> _Call | None:
    return link.call_by_id.pop(frame_id, None)


def _receive(links: Links, host: str, message: bytes | str) -> None:
    frame, problems = frames.decode_frame(message)
    if frame is None:
        _log_seldom(links, host, problems[0].code, problems[0].detail)
        return
    if not frame.get(frames.REPLY_FIELD):
        try:
            links.on_frame(host, frame)
        except Exception:
            _log.exception('{} frame from {} failed', frame['type'], host)
        return
    link = links.link_by_host.get(host)
    open_call = _take_call(link, frame['id']) if link else None
    if open_call is None:
        _log.debug('late {} from {} dropped', frame['type'], host)
        return
    with contextlib.suppress(futures.InvalidStateError):
        if frame.get(frames.LOST_FIELD):
            problem = codes.Problem(
                codes.QUEUE_FULL, host, 'no room for the answer'
            )
            open_call.future.set_exception(LinkError(problem, sent=True))
        else:
            open_call.future.set_result(frame)


def _set_keepalive(sock: socket.socket) -> None:
    # Nothing is sent on an accepted connection, so only keep-alive probes
    # can find that a peer has gone for good.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _abort(connection: ws_connection.Connection | None) -> None:
    # The library's close waits for a lock that a blocked send holds; only a
    # shutdown of the socket wakes that send.
    if connection is None:
        return
    with contextlib.suppress(OSError):
        connection.socket.shutdown(socket.SHUT_RDWR)


def _problem(code: codes.Code, host: str) -> codes.Problem:
    return codes.Problem(code, host, code.text)


def _log_seldom(
    links: Links, host: str, code: codes.Code, detail: str
) -> None:
    """Log a failure once an interval for each host and code."""
    key = (host if host in links.link_by_host else '', code.number)
    limited = links.limited_log_by_key.get(key)
    if limited is None:
        limited = logs.RateLimitedLogger(_log, 1, LOG_INTERVAL_S)
        limited = links.limited_log_by_key.setdefault(key, limited)
    limited.warning('{} {}: {}: {}', code.number, code.name, host, detail)


def _close(links: Links) -> None:
    with links.lock:
        open_links_now = list(links.link_by_host.values())
        links.link_by_host.clear()
        accepted = list(links.accepted_by_host.values())
    for link in open_links_now:
        with link.changed:
            link.closing = True
            link.changed.notify_all()
    end = time.monotonic() + FLUSH_LIMIT_S + CLOSE_TIMEOUT_S
    for link in open_links_now:
        link.thread.join(max(end - time.monotonic(), 0.0))
        _abort(link.connection)
    for connection in accepted:
        _abort(connection)
    # A handler that hangs in on_frame must not hold up the close.
    stopper = threading.Thread(target=links.server.shutdown, daemon=True)
    stopper.start()
    stopper.join(LISTEN_TIMEOUT_S)
