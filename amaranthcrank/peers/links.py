"""Long-lived links to the other hosts.

Each host dials every other one and sends everything, requests as well as
answers, on the connection that it dialled; it only receives on connections
that it accepted. With answers on the same connection, two hosts that send
each other large bodies at once would block: the library reads and writes
under one lock, so neither would read until its own write had ended.

Heartbeats need no connection of their own: small frames leave from a queue
that goes first, and TCP_NOTSENT_LOWAT keeps the kernel from taking more than
a little ahead of them. Library pings are off because heartbeats are sent
every 100 ms and TCP_USER_TIMEOUT ends a connection that does not take them.
"""

import collections
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

import cbor2
import logbook
from websockets import exceptions
from websockets.sync import client
from websockets.sync import connection as ws_connection
from websockets.sync import server as ws_server

from amaranthcrank.core import codes
from amaranthcrank.peers import auth
from amaranthcrank.peers import frames

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

MAX_CONTROL_FRAMES = 512
MAX_BULK_FRAMES = 2048
MAX_QUEUED_BYTES = 16 * 1024 * 1024
# Larger frames of any type queue behind the other large ones.
MAX_CONTROL_FRAME_BYTES = 64 * 1024
# A cancellation keeps its place behind the request that it cancels.
BULK_TYPES = frozenset((frames.REQUEST, frames.ANSWER, frames.CANCEL))
MAX_HANDSHAKE_BYTES = 4096
MAX_HANDSHAKES = 64
LOG_INTERVAL_S = 10.0

_log = logbook.Logger('links')
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
        # A random start keeps an answer to an earlier process of this host
        # from matching a call of this one.
        self.ids = itertools.count(secrets.randbits(62) + 1)
        self.handshakes = threading.BoundedSemaphore(MAX_HANDSHAKES)
        self.logged_at: dict[tuple[str, int], float] = {}
        self.server: ws_server.Server


class _Item:
    """A frame that waits to be sent."""

    __slots__ = ('data', 'frame_id', 'future')

    def __init__(
        self, data: bytes, frame_id: int, future: futures.Future | None
    ) -> None:
        self.data = data
        self.frame_id = frame_id
        self.future = future


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
        self.control: collections.deque[_Item] = collections.deque()
        self.bulk: collections.deque[_Item] = collections.deque()
        self.bulk_bytes = 0
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
        max_size=MAX_HANDSHAKE_BYTES,
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
    return _enqueue(link, frame['type'], _Item(data, 0, None)) is None


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
        item = _Item(data, frame_id, future)
        problem = _enqueue(link, frame['type'], item)
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

    Returns:
      Whether it was queued: False where the host is not linked or its queue
      is full.
    """
    link = links.link_by_host.get(host)
    answer = {**frame, 'id': frame_id, frames.REPLY_FIELD: True}
    data, problems = frames.encode_frame(answer)
    if data is None:
        _log.error('answer to {} refused: {}', host, problems)
        return False
    if link is None:
        return False
    return _enqueue(link, frame['type'], _Item(data, 0, None)) is None


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


def _enqueue(link: _Link, kind: str, item: _Item) -> codes.Problem | None:
    size = len(item.data)
    is_bulk = kind in BULK_TYPES or size > MAX_CONTROL_FRAME_BYTES
    with link.changed:
        if not link.up or link.closing:
            return _problem(codes.NOT_LINKED, link.host)
        if is_bulk:
            full = len(link.bulk) >= MAX_BULK_FRAMES
            full = full or link.bulk_bytes + size > MAX_QUEUED_BYTES
        else:
            full = len(link.control) >= MAX_CONTROL_FRAMES
        if full:
            return _problem(codes.QUEUE_FULL, link.host)
        if item.future is not None:
            link.call_by_id[item.frame_id] = _Call(item.future)
        if is_bulk:
            link.bulk.append(item)
            link.bulk_bytes += size
        else:
            link.control.append(item)
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
            _log_seldom(links, link.host, codes.NOT_LINKED, str(e) or repr(e))
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
        max_size=MAX_HANDSHAKE_BYTES,
        logger=_library_log,
        create_connection=_Dialled,
        # The link closes the connection itself, not through a with block.
        legacy=True,
    )
    try:
        _prove_as_dialler(links, link.host, connection)
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
                    link.control
                    or link.bulk
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
            item = _take(link)
        if item is None:
            if link.closing:
                return
            continue
        try:
            connection.send(item.data)
        except (exceptions.WebSocketException, OSError):
            return


def _take(link: _Link) -> _Item | None:
    if link.control:
        item = link.control.popleft()
    elif link.bulk:
        item = link.bulk.popleft()
        link.bulk_bytes -= len(item.data)
    else:
        return None
    if item.future is None:
        return item
    open_call = link.call_by_id.get(item.frame_id)
    if item.future.done() or open_call is None:
        return None
    open_call.started = True
    return item


def _end_connection(link: _Link, connection: _Dialled) -> None:
    with link.changed:
        link.up = False
        link.connection = None
        link.control.clear()
        link.bulk.clear()
        link.bulk_bytes = 0
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
        host = _verify_dialler(links, connection)
    except Exception as e:
        _log_seldom(links, '', codes.AUTH_FAILED, repr(e))
        return
    finally:
        links.handshakes.release()
    if host is None or not _register(links, host, connection):
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
    open_call = link and link.call_by_id.pop(frame['id'], None)
    if not open_call:
        _log.debug('late {} from {} dropped', frame['type'], host)
        return
    with contextlib.suppress(futures.InvalidStateError):
        open_call.future.set_result(frame)


def _prove_as_dialler(links: Links, peer: str, connection: _Dialled) -> None:
    own = secrets.token_bytes(auth.CHALLENGE_BYTES)
    hello = {'host': links.host_id, 'to': peer, 'challenge': own}
    connection.send(cbor2.dumps(hello))
    other = _receive_bytes(connection, DIAL_TIMEOUT_S, 'challenge')
    proofs = [
        auth.proof(key, auth.DIALLER, links.host_id, peer, own, other)
        for key in links.keys
    ]
    connection.send(cbor2.dumps({'proofs': proofs}))
    given = _receive_bytes(connection, DIAL_TIMEOUT_S, 'proof')
    found = auth.accepted_key(
        links.keys, given, auth.LISTENER, peer, links.host_id, other, own
    )
    if found is None:
        raise ConnectionError(f'{codes.AUTH_FAILED.number} wrong proof')


def _verify_dialler(
    links: Links, connection: ws_server.ServerConnection
) -> str | None:
    hello = _receive_map(connection, LISTEN_TIMEOUT_S)
    host, other = hello.get('host'), hello.get('challenge')
    if not isinstance(host, str) or host not in links.link_by_host:
        return _refuse(links, connection, str(host), codes.UNKNOWN_HOST)
    is_meant = hello.get('to') == links.host_id
    if not is_meant or not _is_challenge(other):
        return _refuse(links, connection, host, codes.AUTH_FAILED)
    own = secrets.token_bytes(auth.CHALLENGE_BYTES)
    connection.send(cbor2.dumps({'challenge': own}))
    proofs = _receive_map(connection, LISTEN_TIMEOUT_S).get('proofs')
    key = None
    for given in proofs[:4] if isinstance(proofs, list) else ():
        if isinstance(given, bytes) and key is None:
            key = auth.accepted_key(
                links.keys,
                given,
                auth.DIALLER,
                host,
                links.host_id,
                other,
                own,
            )
    if key is None:
        return _refuse(links, connection, host, codes.AUTH_FAILED)
    own_proof = auth.proof(key, auth.LISTENER, links.host_id, host, own, other)
    connection.send(cbor2.dumps({'proof': own_proof}))
    return host


def _is_challenge(value: typing.Any) -> bool:
    return isinstance(value, bytes) and len(value) == auth.CHALLENGE_BYTES


def _refuse(
    links: Links,
    connection: ws_server.ServerConnection,
    host: str,
    code: codes.Code,
) -> None:
    _log_seldom(links, host[:64], code, code.text)
    connection.send(cbor2.dumps({'refused': code.number}))


def _receive_map(
    connection: ws_connection.Connection, timeout_s: float
) -> dict[str, typing.Any]:
    value = frames.load(connection.recv(timeout_s, decode=False))
    if not isinstance(value, dict):
        raise ConnectionError(f'{codes.BAD_FRAME.number} not a map')
    return value


def _receive_bytes(
    connection: ws_connection.Connection, timeout_s: float, name: str
) -> bytes:
    value = _receive_map(connection, timeout_s)
    if 'refused' in value:
        raise ConnectionError(f'refused with {value["refused"]}')
    if not isinstance(value.get(name), bytes):
        raise ConnectionError(f'{codes.BAD_FRAME.number} no {name}')
    return value[name]


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
    now = time.monotonic()
    key = (host if host in links.link_by_host else '', code.number)
    if now - links.logged_at.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
        return
    links.logged_at[key] = now
    _log.warning('{} {}: {}: {}', code.number, code.name, host, detail)


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
