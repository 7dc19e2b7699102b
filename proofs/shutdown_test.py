"""Stateful fuzzing of the shutdown of a host."""

import contextlib
from http import client
import io
import queue
import socket
import threading
import time
import types
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import errors
from hypothesis import stateful
from hypothesis import strategies

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.daemon import main
from amaranthcrank.daemon import messages
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.intake import server
from proofs import machines

EXAMPLES = 60
STEPS = 25
THREADS = 12
BUSY_MAX = 8
# An answer of a megabyte does not fit the buffer of its caller.
SIZES = (0, 100, 70_000, model.MAX_BODY_BYTES)
CALLER_BUFFER_BYTES = 16 * 1024
# Nothing of the wait is decided by real time; this only ends a hung test.
HUNG_S = 20
# The limit of the shutdown in the time of the machine, which is never met.
LIMIT_S = 1e6


class Violation(AssertionError):
    """Point 7 does not hold."""

    raised: typing.ClassVar[list[str]] = []

    def __init__(self, text: str) -> None:
        super().__init__(text)
        self.raised.append(text)


class Caller:
    """One request on a connection of its own, or on one that was idle."""

    def __init__(self, number: int, size: int, sock: socket.socket) -> None:
        self.number = number
        self.body = bytes([number % 256]) * size
        self.sock = sock
        self.go_on = threading.Event()
        self.rest = b''
        self.has_next = False
        self.is_read = False


class StopClock:
    """The time of the thread that stops the server.

    Its sleep hands over to the machine, which decides when the next look at
    the requests in flight is made.
    """

    def __init__(self) -> None:
        self.thread: threading.Thread | None = None
        self.now = 0.0
        self.is_free = False
        self.go_on = threading.Semaphore(0)
        self.events: queue.Queue = queue.Queue()

    def monotonic(self) -> float:
        mine = threading.current_thread() is self.thread
        return self.now if mine else time.monotonic()

    def sleep(self, seconds: float) -> None:
        if threading.current_thread() is not self.thread or self.is_free:
            time.sleep(seconds)
            return
        self.now += seconds
        self.events.put('waits')
        self.go_on.acquire(timeout=HUNG_S)


class World:
    """A real caller server whose handlers end when the machine says so."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self.stack = stack
        self.clock = StopClock()
        self.callers: list[Caller] = []
        self.idle: list[socket.socket] = []
        self.reader_by_sock: dict[socket.socket, _Reader] = {}
        self.began: set[int] = set()
        self.reached: queue.Queue = queue.Queue()
        self.may_stop = threading.Event()
        self.left: list[int] = []
        self.state = 'runs'
        fake = types.SimpleNamespace(
            monotonic=self.clock.monotonic,
            sleep=self.clock.sleep,
            time_ns=time.time_ns,
        )
        stack.enter_context(mock.patch.object(server, 'time', fake))
        # The accepting thread looks this often whether it shall end.
        stack.enter_context(
            mock.patch.object(server._Server, 'expiration_interval', 0.01)
        )
        self.watch_bodies()
        self.bound = server.open_caller_server(
            stack,
            ('127.0.0.1', 0),
            THREADS,
            1_000,
            self.handle,
            lambda: True,
            lambda: '',
            lambda: None,
        )
        stack.callback(self.let_go)
        self.real_stop = self.bound.server.stop
        self.bound.server.stop = self.close_server

    def let_go(self) -> None:
        """Let every thread of the example end."""
        for caller in self.callers:
            caller.go_on.set()
            caller.sock.close()
        self.may_stop.set()
        self.clock.is_free = True
        self.clock.go_on.release()

    def watch_bodies(self) -> None:
        """Tell the machine when a worker waits for a body."""
        read = server._Gateway._read_body

        def read_body(gateway: typing.Any) -> bytes:
            if gateway.req.method == b'PUT':
                self.reached.put('body')
            return read(gateway)

        patch = mock.patch.object(server._Gateway, '_read_body', read_body)
        self.stack.enter_context(patch)

    def handle(self, request: model.Request) -> model.Outcome:
        number = int(request.key)
        caller = self.callers[number // 2]
        self.began.add(number)
        if number % 2 == 0:
            self.reached.put('handler')
            caller.go_on.wait(HUNG_S)
        return model.Outcome(codes.OK, 200, (), caller.body, 0, '')

    def close_server(self) -> None:
        """End the process as soon as the wait for requests is over.

        cheroot waits for its workers as well; the proof does not count on
        that, because the process ends with them after a limit.
        """
        for worker in list(self.bound.server.requests._threads):
            connection = worker.conn
            if connection is not None:
                with contextlib.suppress(OSError):
                    connection.socket.shutdown(socket.SHUT_RDWR)
        self.clock.events.put('closes')
        self.may_stop.wait(HUNG_S)
        self.real_stop()

    def connect(self) -> socket.socket:
        sock = socket.socket()
        self.stack.callback(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        sock.settimeout(HUNG_S)
        sock.connect((self.bound.host, self.bound.port))
        self.reader_by_sock[sock] = _Reader(sock)
        return sock

    def open_idle(self) -> None:
        """Open a connection that stays open after its first request."""
        sock = self.connect()
        sock.sendall(b'GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n')
        _read(self.reader_by_sock[sock])
        self.idle.append(sock)

    def begin(self, size: int, halved: bool, from_idle: bool) -> None:
        """Send a request and wait until a worker has it.

        During the stop it has to be refused as not run.
        """
        if sum(not each.is_read for each in self.callers) >= BUSY_MAX:
            return
        if self.state == 'closes':
            return
        reuse = from_idle and self.idle
        sock = self.idle.pop() if reuse else self.connect()
        caller = Caller(len(self.callers), size, sock)
        self.callers.append(caller)
        method = 'PUT' if halved else 'GET'
        head = _head(method, caller.number * 2, 10 if halved else 0)
        sock.sendall(head + (b'12345' if halved else b''))
        if self.state != 'runs':
            self.expect_refusal(caller)
            return
        self.reached.get(timeout=HUNG_S)
        caller.rest = b'67890' if halved else b''

    def expect_refusal(self, caller: Caller) -> None:
        code, _, will_close = _read(self.reader_by_sock[caller.sock])
        caller.sock.close()
        caller.is_read = True
        ran = caller.number * 2 in self.began
        if code != str(codes.SHUTTING_DOWN.number) or not will_close or ran:
            raise Violation(f'a new request got {code} during the stop')

    def open_caller(self, index: int) -> Caller | None:
        waiting = [each for each in self.callers if not each.is_read]
        return waiting[index % len(waiting)] if waiting else None

    def finish(self, caller: Caller) -> None:
        """Send the rest of a request and let its handler end."""
        if caller.rest:
            with contextlib.suppress(OSError):
                caller.sock.sendall(caller.rest)
            caller.rest = b''
            # A body whose connection was cut reaches no handler.
            if self.state != 'closes':
                self.reached.get(timeout=HUNG_S)
        caller.go_on.set()

    def send_next(self, caller: Caller) -> None:
        """Send a second request behind the one in flight."""
        if caller.has_next or caller.rest or caller.go_on.is_set():
            return
        caller.has_next = True
        with contextlib.suppress(OSError):
            caller.sock.sendall(_head('GET', caller.number * 2 + 1, 0))

    def read(self, caller: Caller) -> None:
        """Hold what a caller reads against the whole answer."""
        caller.is_read = True
        numbers = [caller.number * 2]
        if caller.has_next:
            numbers.append(caller.number * 2 + 1)
        for number in numbers:
            try:
                code, body, will_close = _read(
                    self.reader_by_sock[caller.sock]
                )
            except (OSError, client.HTTPException) as e:
                if number in self.began:
                    text = f'the answer to {number} was cut off: {e!r}'
                    raise Violation(text) from e
                return
            if number in self.began and (code, body) != ('100', caller.body):
                raise Violation(f'{number} got {code} and {len(body)} bytes')
            if will_close:
                break
        caller.sock.close()

    def begin_stop(self) -> None:
        """Begin the stop and return at its first look."""
        if self.state != 'runs':
            return

        def stop() -> None:
            self.left.append(server.stop_accepting(self.bound, LIMIT_S))

        self.clock.thread = threading.Thread(target=stop, daemon=True)
        self.clock.thread.start()
        self.state = self.clock.events.get(timeout=HUNG_S)

    def poll(self) -> None:
        """Let the stop look once at what is in flight."""
        if self.state == 'waits':
            self.clock.go_on.release()
            self.state = self.clock.events.get(timeout=HUNG_S)

    def end(self) -> None:
        """Let everything end and hold the answers against the requests."""
        self.begin_stop()
        for caller in self.callers:
            if not caller.is_read:
                self.finish(caller)
        for caller in self.callers:
            if not caller.is_read:
                self.read(caller)
        for each in self.idle:
            each.close()
        give_up_at = time.monotonic() + HUNG_S
        while self.state == 'waits' and time.monotonic() < give_up_at:
            self.poll()
        self.may_stop.set()
        self.clock.thread.join(HUNG_S)
        if not self.left:
            raise Violation('the stop did not end')


def _head(method: str, number: int, length: int) -> bytes:
    lines = [
        f'{method} /v1/s/{number} HTTP/1.1',
        'Host: h',
        'X-Request-Id: 10-abcdefgh',
        f'Content-Length: {length}',
    ]
    return '\r\n'.join([*lines, '', '']).encode()


class _Reader(io.BufferedReader):
    """What arrives on a connection, kept from one answer to the next.

    A buffer for each answer would lose the beginning of the next one where
    both have arrived.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(socket.SocketIO(sock, 'r'))

    def makefile(self, mode: str) -> '_Reader':
        return self

    def close(self) -> None:
        """Stay open: an answer that was read closes what it read from."""


def _read(reader: _Reader) -> tuple[str | None, bytes, bool]:
    """Read an answer; fails with an error where it ends early."""
    response = client.HTTPResponse(typing.cast(socket.socket, reader))
    response.begin()
    body = response.read()
    return response.getheader('X-Result-Code'), body, response.will_close


_indices = strategies.integers(0, 15)


class ShutdownMachine(stateful.RuleBasedStateMachine):
    """Requests that begin and end before, during and after a stop."""

    def __init__(self) -> None:
        super().__init__()
        self.stack = contextlib.ExitStack()
        self.world = World(self.stack)

    @stateful.rule(
        size=strategies.sampled_from(SIZES),
        halved=strategies.booleans(),
        from_idle=strategies.booleans(),
    )
    def begin(self, size: int, halved: bool, from_idle: bool) -> None:
        self.world.begin(size, halved, from_idle)

    @stateful.rule()
    def open_idle(self) -> None:
        if self.world.state == 'runs' and len(self.world.idle) < 3:
            self.world.open_idle()

    @stateful.rule(index=_indices)
    def send_next(self, index: int) -> None:
        caller = self.world.open_caller(index)
        if caller:
            self.world.send_next(caller)

    @stateful.rule(index=_indices, whole=strategies.booleans())
    def finish(self, index: int, whole: bool) -> None:
        """End a handler; the answer is read now or much later."""
        caller = self.world.open_caller(index)
        if caller:
            self.world.finish(caller)
            if whole:
                self.world.read(caller)

    # Without anything in flight, the stop closes after ten looks.
    @stateful.rule(
        begun=strategies.booleans(), looks=strategies.sampled_from((0, 1, 12))
    )
    def stop(self, begun: bool, looks: int) -> None:
        """Begin the stop or go on with it."""
        if begun:
            self.world.begin_stop()
        for _ in range(looks):
            self.world.poll()

    def teardown(self) -> None:
        with self.stack:
            self.world.end()


def _run_machine() -> None:
    machines.run(ShutdownMachine, EXAMPLES, STEPS)


class ReaderTest(unittest.TestCase):
    """Guards against a proof that takes its own loss for a cut answer."""

    def test_answers_that_arrive_together(self) -> None:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        ours.settimeout(HUNG_S)
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        theirs.sendall(answer + answer)
        theirs.close()
        reader = _Reader(ours)
        for _ in range(2):
            self.assertEqual(_read(reader)[1], b'ok')


class ProofTest(unittest.TestCase):
    """Guards against a stop that cuts off a request in flight."""

    def test_every_begun_request_gets_its_whole_answer(self) -> None:
        _run_machine()


class FaultTest(unittest.TestCase):
    """The machine finds each fault; ProofTest passes without them."""

    def find(self, target: typing.Any, name: str, fault: typing.Any) -> None:
        """Expect a cut-off answer in the same examples.

        The library runs a failing example again. The threads of the server
        are real, so with a fault the second run may pass; the first counts.
        """
        Violation.raised.clear()
        with contextlib.ExitStack() as stack:
            stack.enter_context(mock.patch.object(target, name, fault))
            silent = stack.enter_context(io.StringIO())
            stack.enter_context(contextlib.redirect_stdout(silent))
            with self.assertRaises((Violation, errors.FlakyFailure)):
                _run_machine()
        self.assertIn('was cut off', Violation.raised[0])

    def test_stop_does_not_wait(self) -> None:
        self.find(server, '_wait_until_idle', lambda *arguments: None)

    def test_only_waiting_requests_are_counted(self) -> None:
        """A worker that is busy holds a request in flight."""
        self.find(
            server._Server, 'in_flight', lambda self: self.requests.qsize
        )

    def test_next_request_is_left_unread(self) -> None:
        """A close with unread data resets the connection of an answer."""
        self.find(server._HTTPConnection, 'discard_input', lambda self: None)


class _Dispatcher:
    """A dispatcher whose work from peers ends after some looks."""

    def __init__(self, looks: int) -> None:
        self.looks = looks
        self.look_count = 0

    def ask(self, message: typing.Any) -> dispatcher.LoadReport:
        self.look_count += 1
        in_flight = int(self.look_count <= self.looks)
        return dispatcher.LoadReport(4, in_flight, {})

    def is_done(self) -> bool:
        return self.look_count >= self.looks


def _drain(
    looks: list[int], drain_s: float
) -> tuple[list[bool], list[typing.Any]]:
    """Drain a host with fake dispatchers.

    Returns:
      Which of the dispatchers had ended, and what the control actor heard.
    """
    now = [0.0]

    def sleep(seconds: float) -> None:
        now[0] += seconds

    by_target = {f't{i}': _Dispatcher(n) for i, n in enumerate(looks)}
    told: list[typing.Any] = []
    control = types.SimpleNamespace(tell=told.append)
    daemon = main.Daemon(control, None, None, None, by_target)
    clock = types.SimpleNamespace(monotonic=lambda: now[0], sleep=sleep)
    settings = types.SimpleNamespace(drain_s=drain_s)
    with (
        mock.patch.object(main, 'time', clock),
        mock.patch.object(
            server, 'stop_accepting', autospec=True, return_value=0
        ),
    ):
        main._drain(daemon, settings)
    return [each.is_done() for each in by_target.values()], told


@hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None, database=None
)
@hypothesis.given(
    looks=strategies.lists(strategies.integers(0, 200), max_size=5)
)
def _check_drains(looks: list[int]) -> None:
    # 200 looks take 4 s.
    done, told = _drain(looks, 30.0)
    if not all(done) or told != [messages.Leave()]:
        raise Violation(f'work of peers was cut off: {done} {told}')


class DrainTest(unittest.TestCase):
    """Guards against a host that ends while it runs work of its peers."""

    def test_work_of_peers_is_waited_for(self) -> None:
        _check_drains()

    def test_the_wait_has_a_limit(self) -> None:
        self.assertEqual([False], _drain([200], 1.0)[0])


class DrainFaultTest(unittest.TestCase):
    """The examples find each fault; DrainTest passes without them."""

    def find(self, fault: typing.Any) -> None:
        with mock.patch.object(main, '_in_flight', fault):
            with self.assertRaisesRegex(Violation, 'was cut off'):
                _check_drains()

    def test_work_of_peers_is_left_out(self) -> None:
        """Only the callers of this host are waited for."""
        self.find(lambda daemon: 0)

    def test_one_dispatcher_is_asked(self) -> None:
        """Only the work on the first target is waited for."""

        def of_first(daemon: main.Daemon) -> int:
            refs = list(daemon.dispatcher_by_target.values())[:1]
            return sum(
                each.ask(dispatcher.GetLoad()).in_flight for each in refs
            )

        self.find(of_first)
