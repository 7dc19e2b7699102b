"""Stateful fuzzing of answers to calls, and of bodies on their whole way."""

from concurrent import futures
import contextlib
import io
import random
import threading
import types
import typing
import unittest
from unittest import mock
from urllib import parse as urllib_parse

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from amaranthcrank.answer import respond
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.intake import parse
from amaranthcrank.peers import frames
from amaranthcrank.peers import links
from amaranthcrank.peers import send_queue
from proofs import machines

HOSTS = ('a', 'b', 'c')
DIRECTIONS = tuple((x, y) for x in HOSTS for y in HOSTS if x != y)
ADDRESS = ('127.0.0.1', 0)
EXAMPLES = 400
STEPS = 40
# Frames over 64 KiB wait among the bodies whatever their type.
SIZES = (0, 1, 100, 70_000, 300_000)
NOW_MS = 1_000_000


class Violation(AssertionError):
    """Point 3 does not hold."""


class Call(typing.NamedTuple):
    """One call of the machine, and the only answer that it may get.

    Attributes:
      body: The body of the request.
      answer: The body of the answer.
      future: What the caller holds.
    """

    body: bytes
    answer: bytes
    future: futures.Future


class Asked(typing.NamedTuple):
    """A request that a host received and may answer at any time."""

    host: str
    peer: str
    frame_id: int
    number: int


def _connection() -> typing.Any:
    """Make what links need of a connection that has ended."""
    ended = threading.Event()
    ended.set()
    sock = types.SimpleNamespace(shutdown=lambda how: None)
    return types.SimpleNamespace(ended=ended, socket=sock)


class World:
    """Three hosts with real calls, queues and matching, without sockets.

    The threads of the links do not run: the machine moves each frame from
    the queue of its sender to the receiver, so that a schedule repeats.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.links_by_host: dict[str, links.Links] = {}
        self.calls: list[Call] = []
        self.asked: list[Asked] = []
        for host in HOSTS:
            self.links_by_host[host] = self.process(host)
        for host, peer in DIRECTIONS:
            self.connect(host, peer)

    def process(self, host: str) -> links.Links:
        """Start a process of a host."""

        def on_frame(peer: str, frame: frames.Frame) -> None:
            call = self.calls[frame['n']]
            if frame['body'] != call.body:
                raise Violation(f'call {frame["n"]} arrived with another body')
            self.asked.append(Asked(host, peer, frame['id'], frame['n']))

        randbits = self.random.getrandbits
        with mock.patch.object(links.secrets, 'randbits', randbits):
            opened = links.Links(host, (b'key',), on_frame)
        for peer in HOSTS:
            if peer != host:
                opened.link_by_host[peer] = links._Link(peer, ADDRESS)
        return opened

    def link(self, host: str, peer: str) -> typing.Any:
        """Return the link on which a host sends to a peer."""
        return self.links_by_host[host].link_by_host[peer]

    def connect(self, host: str, peer: str) -> None:
        """Let a host dial a peer, which may still hold the old connection."""
        link = self.link(host, peer)
        links._register(self.links_by_host[peer], host, _connection())
        link.up = True

    def disconnect(self, host: str, peer: str, noticed: bool) -> None:
        """End the connection that a host dialled, with what is queued."""
        links._end_connection(self.link(host, peer), _connection())
        accepted = self.links_by_host[peer]
        if noticed and host in accepted.accepted_by_host:
            connection = accepted.accepted_by_host[host]
            links._unregister(accepted, host, connection)

    def restart(self, host: str) -> None:
        """Replace a process; requests of the old one stay at its peers."""
        self.asked = [each for each in self.asked if each.host != host]
        for peer in HOSTS:
            if peer != host:
                self.disconnect(host, peer, True)
                self.disconnect(peer, host, True)
        self.links_by_host[host] = self.process(host)
        for peer in HOSTS:
            if peer != host:
                self.connect(host, peer)
                self.connect(peer, host)

    def call(self, host: str, peer: str, size: int, rank: str) -> None:
        """Call a peer with a body that no other call has."""
        number = len(self.calls)
        body = b'%d request ' % number + bytes([number % 256]) * size
        answer = b'%d answer ' % number + bytes([number % 256]) * size
        frame = {'type': 'request', 'n': number, 'body': body, 'rank': rank}
        future = links.call(self.links_by_host[host], peer, frame)
        self.calls.append(Call(body, answer, future))

    def move(self, host: str, peer: str) -> bool:
        """Carry the next queued frame; return whether one was queued."""
        link = self.link(host, peer)
        item = send_queue.take(link.queue)
        if item is None:
            return False
        if links._start_call(link, item):
            links._receive(self.links_by_host[peer], host, item.data)
        return True

    def answer(self, index: int, again: bool) -> None:
        """Answer a request, and keep it where it is answered once more."""
        if not self.asked:
            return
        asked = self.asked[index % len(self.asked)]
        if not again:
            self.asked.remove(asked)
        answer = {
            'type': 'answer',
            'n': asked.number,
            'body': self.calls[asked.number].answer,
        }
        own = self.links_by_host[asked.host]
        links.reply(own, asked.peer, asked.frame_id, answer)

    def settle(self) -> None:
        """Carry and answer everything."""
        moved = True
        while moved:
            moved = any([self.move(*each) for each in DIRECTIONS])
            while self.asked:
                moved = True
                self.answer(0, False)

    def check(self) -> None:
        """Hold each future against the answer that it may get."""
        for number, each in enumerate(self.calls):
            if not each.future.done() or each.future.cancelled():
                continue
            if each.future.exception() is not None:
                continue
            answer = each.future.result()
            if (answer['n'], answer['body']) != (number, each.answer):
                raise Violation(
                    f'call {number} got the answer to call {answer["n"]}'
                )

    def check_settled(self) -> None:
        """Every call that nobody gave up has ended."""
        self.settle()
        self.check()
        for number, each in enumerate(self.calls):
            if not each.future.done():
                raise Violation(f'call {number} waits for ever')


_indices = strategies.integers(0, 15)
_directions = strategies.sampled_from(DIRECTIONS)


class AnswersMachine(stateful.RuleBasedStateMachine):
    """Calls, answers in any order, broken links and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(0)

    @stateful.initialize(seed=strategies.integers(0, 65535))
    def begin(self, seed: int) -> None:
        self.world = World(seed)

    @stateful.rule(
        direction=_directions,
        size=strategies.sampled_from(SIZES),
        rank=strategies.sampled_from(model.RANKS),
        moved=strategies.booleans(),
    )
    def call(
        self, direction: tuple[str, str], size: int, rank: str, moved: bool
    ) -> None:
        self.world.call(*direction, size, rank)
        if moved:
            self.world.move(*direction)

    @stateful.rule(direction=_directions, count=strategies.integers(1, 4))
    def move(self, direction: tuple[str, str], count: int) -> None:
        for _ in range(count):
            self.world.move(*direction)

    @stateful.rule(index=_indices, again=strategies.booleans())
    def answer(self, index: int, again: bool) -> None:
        self.world.answer(index, again)

    @stateful.rule(index=_indices)
    def give_up(self, index: int) -> None:
        """Cancel a call whose answer may be under way."""
        if self.world.calls:
            calls = self.world.calls
            calls[index % len(calls)].future.cancel()

    @stateful.rule(direction=_directions, noticed=strategies.booleans())
    def reconnect(self, direction: tuple[str, str], noticed: bool) -> None:
        self.world.disconnect(*direction, noticed)
        self.world.connect(*direction)

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def restart(self, host: str) -> None:
        self.world.restart(host)

    @stateful.invariant()
    def check(self) -> None:
        self.world.check()

    def teardown(self) -> None:
        self.world.check_settled()


def _settings(examples: int) -> hypothesis.settings:
    return machines.settings_of(examples, STEPS)


def _run_machine() -> None:
    stateful.run_state_machine_as_test(
        AnswersMachine, settings=_settings(EXAMPLES)
    )


class ProofTest(unittest.TestCase):
    """Guards against a caller that gets another caller's answer."""

    def test_every_call_gets_its_own_answer(self) -> None:
        _run_machine()


def _oldest(link: typing.Any, frame_id: int) -> typing.Any:
    """Take the call that has waited longest, as without ids."""
    oldest = next(iter(link.call_by_id), None)
    return link.call_by_id.pop(oldest, None)


class FaultTest(unittest.TestCase):
    """The machine finds each fault; ProofTest passes without them."""

    def find(self, name: str, fault: typing.Any, text: str) -> None:
        """Expect a violation from the same examples."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(mock.patch.object(links, name, fault))
            silent = stack.enter_context(io.StringIO())
            stack.enter_context(contextlib.redirect_stdout(silent))
            with self.assertRaisesRegex(Violation, text):
                _run_machine()

    def test_answer_goes_to_the_oldest_call(self) -> None:
        self.find('_pop_call', _oldest, 'got the answer to call')

    def test_ids_start_again_at_one(self) -> None:
        """A process that restarts takes answers to its earlier one."""
        self.find('_first_frame_id', lambda: 1, 'got the answer to call')

    def test_calls_outlive_their_connection(self) -> None:
        """An answer that was lost with a connection is waited for."""
        self.find('_fail_calls', lambda link: None, 'waits for ever')


_names = strategies.from_regex(
    r'x-[a-z0-9!#$%&*+.^_|~-]{1,20}', fullmatch=True
)
_values = strategies.text(
    strategies.characters(
        codec='latin-1', exclude_characters=[*map(chr, range(32)), '\x7f']
    ),
    max_size=60,
)
_own = parse._RESERVED_HEADERS | respond._RESERVED_HEADERS
_headers = strategies.dictionaries(
    _names.filter(lambda name: name not in _own), _values, max_size=8
)
# Long bodies hold a drawn part many times; drawing each byte takes long.
_bodies = strategies.builds(
    lambda part, count: (part * count)[: model.MAX_BODY_BYTES],
    strategies.binary(max_size=300),
    strategies.sampled_from((1, 1, 1, 300, 5_000)),
)
_keys = strategies.text(
    strategies.characters(codec='utf-8'), min_size=1, max_size=120
)


def _through(test: unittest.TestCase, frame: frames.Frame) -> frames.Frame:
    data, problems = frames.encode_frame({**frame, 'id': 7})
    test.assertEqual((), problems)
    decoded, problems = frames.decode_frame(data)
    test.assertEqual((), problems)
    return decoded


class WholeWayTest(unittest.TestCase):
    """Guards against a body, header or key that changes on its way."""

    @_settings(300)
    @hypothesis.given(key=_keys, headers=_headers, body=_bodies)
    def test_request(
        self, key: str, headers: dict[str, str], body: bytes
    ) -> None:
        """From the caller's fields to what the dispatching host reads."""
        request, problems = parse.parse_request(
            'PUT',
            '/v1/soaklog/' + urllib_parse.quote(key, safe=''),
            'q=%2F',
            {**headers, 'x-request-id': '999000-abcdefgh'},
            body,
            '127.0.0.1',
            NOW_MS,
            '',
            None,
        )
        self.assertEqual((), problems)
        self.assertEqual(
            (key, tuple(headers.items()), body, 'q=%2F'),
            (request.key, request.headers, request.body, request.query),
        )
        sent = frames.Forwarded(request, 1, 4)
        frame = _through(self, frames.request_frame(sent))
        self.assertEqual((sent, ()), frames.parse_request_frame(frame))

    @_settings(300)
    @hypothesis.given(
        status=strategies.integers(200, 599), headers=_headers, body=_bodies
    )
    def test_answer(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """From the upstream's answer to what the caller reads."""
        given = tuple(headers.items())
        outcome = model.Outcome(codes.OK, status, given, body, 0, '')
        frame = _through(self, frames.answer_frame(outcome))
        arrived, problems = frames.parse_answer_frame(frame)
        self.assertEqual((outcome, ()), (arrived, problems))
        line, found, whole = respond.response_of(arrived, '999000-abcdefgh')
        self.assertEqual(str(status), line[:3])
        self.assertEqual(body, whole)
        self.assertEqual(given, tuple(found[3:]))
