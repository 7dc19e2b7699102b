"""Fuzzing of change tickets: filing, races, and hosts that move forward.

Operators file through the real client and the real operator interface of a
host; only the calls between them and the requests to the store are fakes.
The oracle is the list of accepted tickets (point 8):

- a number has exactly one document, and a document at most one number;
- ticket n + 1 is the state of ticket n with the document applied;
- an operator who is told a number has it, and one who is refused has none;
- the ticket of a host never goes back within an incarnation, and every host
  has the newest one once everything is healthy.

Deliberate faults are patched in here; the machine must find each of them.
"""

import contextlib
import json
import types
import typing
import unittest
from unittest import mock

import expression
from hypothesis import stateful
from hypothesis import strategies

from amaranthcrank.cli import filing
from amaranthcrank.cli import operator_client
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.daemon import messages
from amaranthcrank.daemon import operators
from amaranthcrank.record import record_store
from amaranthcrank.record import store_client
from amaranthcrank.record import tickets
from proofs import machines

HOSTS = 3
DONE, LOST_AFTER, LATE, LOST_BEFORE = range(4)
WRITES = (DONE, DONE, LOST_AFTER, LATE, LOST_BEFORE)
ANSWERED, NOT_RECEIVED, ANSWER_LOST = range(3)
CALLS = (ANSWERED, ANSWERED, NOT_RECEIVED, ANSWER_LOST)

Touches = dict[str, typing.Any]


class Violation(AssertionError):
    """Point 8 of the design page does not hold."""


class Store:
    """Objects with versions; answers to writes can be lost."""

    # As many as the real client sends while the outcome is open.
    write_attempts = store_client.WRITE_ATTEMPTS

    def __init__(self, note_write: typing.Callable[[str, bytes], None]):
        self.version_by_name: dict[str, int] = {}
        self.value_by_name: dict[str, bytes] = {}
        self.note_write = note_write
        self.up = True
        self.fates: list[int] = []
        self.late: list[tuple[str, bytes, int]] = []
        self.before_write: list[typing.Callable[[], None]] = []

    def write(self, name: str, value: bytes, expected: int) -> bool:
        """Write under the condition; tell whether it took effect."""
        version = self.version_by_name.get(name, store_client.ABSENT)
        if not self.condition_holds(version, expected):
            return False
        self.version_by_name[name] = version + 1
        self.value_by_name[name] = value
        self.note_write(name, value)
        return True

    def condition_holds(self, version: int, expected: int) -> bool:
        return version == expected

    def get(self, kind: str, name: str) -> typing.Any:
        if not self.up:
            return expression.Error(problem(codes.STORE_UNREACHABLE))
        version = self.version_by_name.get(name, store_client.ABSENT)
        value = self.value_by_name.get(name, b'')
        return expression.Ok(
            store_client.StoredObject(kind, name, version, value)
        )

    def list(self, kind: str) -> typing.Any:
        if not self.up:
            return expression.Error(problem(codes.STORE_UNREACHABLE))
        listing = store_client.Listing(kind, 0, dict(self.version_by_name))
        return expression.Ok(listing)

    def send_write(self, path: str, value: bytes, expected: int):
        """Answer one request to write, as the real client sends it."""
        while self.before_write:
            self.before_write.pop()()
        if not self.up:
            return expression.Error(problem(codes.STORE_UNREACHABLE))
        name = path.rpartition('/')[2]
        fate = self.fates.pop() if self.fates else DONE
        if fate == LATE:
            self.late.append((name, value, expected))
        written = fate in (DONE, LOST_AFTER) and self.write(
            name, value, expected
        )
        if fate != DONE:
            return expression.Error(problem(codes.STORE_ANSWER_LOST))
        if not written:
            return expression.Error(problem(codes.STORE_CONFLICT))
        # The client takes any other version for a lost answer.
        return expression.Ok(expected + 1)


def problem(code: codes.Code) -> codes.Problem:
    return codes.Problem(code, 'store', 'fake')


class Host:
    """One entry host: its ticket and the tickets on their way to it."""

    def __init__(self) -> None:
        self.ticket: tickets.Ticket | None = None
        self.high = 0
        self.inbox: list[tickets.Ticket] = []

    def tell(self, message: messages.TicketReceived) -> None:
        """Queue what the operator interface tells the control actor."""
        if message.ticket is not None:
            self.inbox.append(message.ticket)

    def hear(self, ticket: tickets.Ticket) -> None:
        if not tickets.is_newer(self.ticket, ticket):
            return
        self.ticket = ticket


class Filing:
    """A document, and whether the outcome of an earlier try is open."""

    def __init__(self, document: tickets.Document) -> None:
        self.document = document
        self.open = False


class World:
    """Operators, hosts, the store and the oracle."""

    def __init__(self) -> None:
        self.store = Store(self.note_write)
        self.hosts = [Host() for _ in range(HOSTS)]
        self.filings: list[Filing] = []
        self.touches_by_uid: dict[str, Touches] = {}
        self.accepted: list[tickets.Ticket] = []
        self.refused: set[str] = set()
        self.calls: list[int] = []
        self.asked = 0

    def note_write(self, name: str, value: bytes) -> None:
        """Hold each write that took effect against the accepted tickets."""
        ticket = tickets.decode(value)
        if name != str(len(self.accepted) + 1) or name != str(ticket.number):
            raise Violation(f'point 8: ticket {name} is overwritten')
        if ticket.uid in {each.uid for each in self.accepted}:
            raise Violation(f'point 8: {ticket.uid} has a second ticket')
        before = self.accepted[-1].state if self.accepted else {}
        expected = state_after(before, self.touches_by_uid[ticket.uid])
        if {**ticket.state, 'retired': {}} != {**expected, 'retired': {}}:
            raise Violation(f'point 8: ticket {name} loses the one before')
        self.accepted.append(ticket)

    def call(
        self,
        client: typing.Any,
        method: str,
        path: str,
        body: dict[str, typing.Any] | None = None,
    ) -> operator_client.Response:
        """Carry a call of the command to the next host."""
        fate = self.calls.pop() if self.calls else ANSWERED
        if fate == NOT_RECEIVED:
            return operator_client.Response(0, {}, ('refused',), False)
        self.asked += 1
        host = self.hosts[self.asked % HOSTS]
        view_holder = types.SimpleNamespace(
            view=types.SimpleNamespace(ticket=0, state={})
        )
        interface = operators.OperatorInterface(
            types.SimpleNamespace(view_holder=view_holder), host, self.store
        )
        if method == 'POST':
            data = json.dumps(body).encode()
            status, fields = operators._file_ticket(interface, {}, data)
        else:
            parts = {'number': path.rpartition('/')[2]}
            status, fields = operators._show_ticket(interface, parts, b'')
        if fate == ANSWER_LOST:
            return operator_client.Response(0, {}, ('reset',), True)
        fields = json.loads(json.dumps(fields))
        return operator_client.Response(status, fields, (), False)

    def begin(self, touches: Touches, behind: int) -> Filing:
        """Make a document for the newest or an older ticket."""
        uid = f'uid-{len(self.filings)}'
        number = max(0, len(self.accepted) - behind)
        filing_ = Filing(tickets.Document('asha', uid, number, touches))
        self.touches_by_uid[uid] = touches
        self.filings.append(filing_)
        return filing_

    def file(self, filing_: Filing) -> None:
        """File a document, for the first time or again."""
        uid = filing_.document.uid
        filed = filing.file_document(None, filing_.document)
        if filed.number:
            told = self.accepted[filed.number - 1 : filed.number]
            if [each.uid for each in told] != [uid]:
                raise Violation(f'point 8: {uid} told {filed.number}')
            filing_.open = False
            return
        numbers = {
            each.get('number')
            for each in filing.problems_in(filed.response.body)
        }
        # After an open outcome only a taken number proves that no earlier
        # write can still take effect.
        conflict = codes.TICKET_CONFLICT.number in numbers
        if filed.unknown or (filing_.open and not conflict):
            filing_.open = True
            return
        filing_.open = False
        self.refused.add(uid)
        self.check()

    def rebase(self, filing_: Filing) -> None:
        """File a refused document again on top of the newest ticket."""
        self.refused.discard(filing_.document.uid)
        filing_.document = filing_.document._replace(
            expected=len(self.accepted)
        )
        self.file(filing_)

    def heal(self) -> None:
        """Let late writes land, then let every host read the store."""
        self.store.up = True
        self.store.fates.clear()
        self.calls.clear()
        while self.store.late:
            self.store.write(*self.store.late.pop())
        for host in self.hosts:
            self.watch(host)
            # The newest comes first; what was on its way arrives after it.
            while host.inbox:
                self.hear(host, -1, False)
            newest = self.accepted[-1] if self.accepted else None
            if host.ticket != newest:
                raise Violation('point 8: a host lacks the newest ticket')

    def watch(self, host: Host) -> None:
        found = record_store.read_newest_ticket(self.store)
        if found.is_ok() and found.ok is not None:
            host.inbox.append(found.ok)

    def hear(self, host: Host, index: int, again: bool) -> None:
        """Deliver a ticket out of order, perhaps not for the last time."""
        if not host.inbox:
            return
        index %= len(host.inbox)
        host.hear(host.inbox[index])
        if not again:
            del host.inbox[index]
        self.check()

    def check(self) -> None:
        """Compare operators and hosts with the accepted tickets."""
        self.check_refused()
        for host in self.hosts:
            if host.ticket is None:
                continue
            if host.ticket != self.accepted[host.ticket.number - 1]:
                raise Violation('point 8: a host has another ticket')
            if host.ticket.number < host.high:
                raise Violation(f'point 8: a host went back from {host.high}')
            host.high = host.ticket.number

    def check_refused(self) -> None:
        """Look for the ticket of an operator who was refused."""
        filed = {each.uid for each in self.accepted}
        if self.refused & filed:
            raise Violation(f'point 8: refused, but {self.refused & filed}')


def state_after(before: dict[str, typing.Any], touches: Touches) -> Touches:
    """Apply touches the plain way: cells one by one, the rest whole."""
    state = json.loads(json.dumps({**model.EMPTY_STATE, **before}))
    for section, value in touches.items():
        if section != 'cells':
            state[section] = value
            continue
        for name, cell in value.items():
            state['cells'].pop(name, None)
            if cell is not None:
                state['cells'][name] = cell
    return state


def cell_in(domain: str) -> dict[str, typing.Any]:
    return {'failure_domain': domain, 'region': 'r', 'attester': None}


_domains = strategies.sampled_from(('d0', 'd1', 'd2'))
_touches = strategies.one_of(
    strategies.fixed_dictionaries(
        {
            'cells': strategies.dictionaries(
                strategies.sampled_from(('a', 'b')),
                _domains.map(cell_in) | strategies.none(),
                min_size=1,
            )
        }
    ),
    strategies.fixed_dictionaries(
        {'lost_hosts': strategies.sampled_from(([], ['h1'], ['h2']))}
    ),
    strategies.fixed_dictionaries(
        {
            'ranks': strategies.sampled_from((0.05, 0.2)).map(
                lambda floor: {
                    'normal': {'floor': 0.1},
                    'bulk': {'floor': floor},
                }
            )
        }
    ),
)
_host = strategies.integers(0, HOSTS - 1)
_index = strategies.integers(0, 7)
# An outcome stays open only when every try of a filing meets the same fate.
_writes = strategies.lists(
    strategies.sampled_from(WRITES), max_size=4
) | strategies.sampled_from((LOST_AFTER, LATE, LOST_BEFORE)).map(
    lambda fate: [fate] * 6
)
_calls = strategies.lists(
    strategies.sampled_from(CALLS), max_size=4
) | strategies.sampled_from((NOT_RECEIVED, ANSWER_LOST)).map(
    lambda fate: [fate] * 4
)


class Machine(stateful.RuleBasedStateMachine):
    """Draws the events."""

    def __init__(self) -> None:
        """Put the fakes in place of the store and of the calls to hosts."""
        super().__init__()
        self.world = World()
        self.stack = contextlib.ExitStack()
        store = self.world.store
        for module, name, fake in (
            (store_client, 'get_object', lambda _, *rest: store.get(*rest)),
            (store_client, 'list_objects', lambda _, kind: store.list(kind)),
            (
                store_client,
                '_send_write',
                lambda _, *rest: store.send_write(*rest),
            ),
            (operator_client, 'call', self.world.call),
        ):
            self.stack.enter_context(mock.patch.object(module, name, fake))

    def teardown(self) -> None:
        """Take the fakes away."""
        self.stack.close()

    @stateful.rule(
        touches=_touches,
        behind=strategies.sampled_from((0, 0, 0, 1)),
        rival=strategies.none() | _touches,
        writes=_writes,
        calls=_calls,
    )
    def file(
        self,
        touches: Touches,
        behind: int,
        rival: Touches | None,
        writes: list[int],
        calls: list[int],
    ) -> None:
        """File a document; a rival may come between its read and write."""
        world = self.world
        filing_ = world.begin(touches, behind)
        if rival is not None:
            other = world.begin(rival, 0)
            world.store.before_write.append(lambda: world.file(other))
        world.store.fates = writes
        world.calls = calls
        world.file(filing_)
        world.store.before_write.clear()

    @stateful.rule(
        index=_index,
        writes=_writes,
        calls=_calls,
        insists=strategies.booleans(),
    )
    def repeat(
        self, index: int, writes: list[int], calls: list[int], insists: bool
    ) -> None:
        """File a document again whose outcome is open.

        An operator who insists files it for the newest ticket if refused.
        """
        world = self.world
        waiting = [each for each in world.filings if each.open]
        if not waiting:
            return
        chosen = waiting[index % len(waiting)]
        world.store.fates = writes
        world.calls = calls
        world.file(chosen)
        if insists and chosen.document.uid in world.refused:
            world.rebase(chosen)

    @stateful.rule(
        touches=_touches,
        other=strategies.none() | _touches,
        writes=_writes,
        landed=strategies.booleans(),
        insists=strategies.booleans(),
    )
    def lose_answers(
        self,
        touches: Touches,
        other: Touches | None,
        writes: list[int],
        landed: bool,
        insists: bool,
    ) -> None:
        """Lose every answer to an operator, who repeats the document.

        One rule draws the whole order: another ticket may come between, and
        an operator who insists files again on top of it if refused.
        """
        world = self.world
        world.store.up = True
        world.store.fates = writes
        world.calls = [ANSWER_LOST] * 4
        chosen = world.begin(touches, 0)
        world.file(chosen)
        if landed:
            self.land_write(0)
        world.store.fates = []
        world.calls = []
        if other is not None:
            world.file(world.begin(other, 0))
        world.file(chosen)
        if insists and chosen.document.uid in world.refused:
            world.rebase(chosen)

    @stateful.rule(index=_index)
    def rebase(self, index: int) -> None:
        """File a refused document again for the newest ticket."""
        refused = sorted(self.world.refused)
        if refused:
            uid = refused[index % len(refused)]
            for each in self.world.filings:
                if each.document.uid == uid:
                    self.world.rebase(each)

    @stateful.rule(up=strategies.booleans())
    def switch_store(self, up: bool) -> None:
        """Begin or end an outage."""
        self.world.store.up = up

    @stateful.rule(index=_index)
    def land_write(self, index: int) -> None:
        """Let a write take effect long after its answer was given up."""
        late = self.world.store.late
        if late:
            self.world.store.write(*late.pop(index % len(late)))

    @stateful.rule(host=_host)
    def watch(self, host: int) -> None:
        """Let a host read the newest ticket."""
        self.world.watch(self.world.hosts[host])

    @stateful.rule(source=_host, to=_host)
    def ask_peer(self, source: int, to: int) -> None:
        """Let a host ask a peer for its ticket."""
        ticket = self.world.hosts[source].ticket
        if ticket is not None:
            self.world.hosts[to].inbox.append(ticket)

    @stateful.rule(host=_host, index=_index, again=strategies.booleans())
    def hear(self, host: int, index: int, again: bool) -> None:
        """Deliver a ticket to a host."""
        self.world.hear(self.world.hosts[host], index, again)

    @stateful.rule(host=_host)
    def restart(self, host: int) -> None:
        """Restart a host; it forgets its ticket."""
        self.world.hosts[host] = Host()

    @stateful.rule()
    def heal(self) -> None:
        """Liveness: the newest ticket reaches every host."""
        self.world.heal()

    @stateful.invariant()
    def check(self) -> None:
        """Hold operators and hosts against the accepted tickets."""
        self.world.check()


def _run() -> None:
    """Run the machine the same way with and without a fault."""
    machines.run(Machine, 800, 30)


class ProofTest(unittest.TestCase):
    """Guards against tickets that are lost, doubled or taken back."""

    def test_all_events(self) -> None:
        """No schedule of races, outages and restarts breaks point 8."""
        _run()


class FaultTest(unittest.TestCase):
    """The machine finds each fault; ProofTest passes without them."""

    def _assert_found(
        self, place: typing.Any, name: str, fault: typing.Any, text: str
    ) -> None:
        with mock.patch.object(place, name, fault):
            with self.assertRaisesRegex(Violation, text):
                _run()

    def test_host_takes_any_ticket(self) -> None:
        """A ticket that arrives late takes a newer one out of force."""
        self._assert_found(
            tickets, 'is_newer', lambda *_: True, 'a host went back'
        )

    def test_write_without_condition(self) -> None:
        """Two operators get one number, and one ticket is lost."""
        self._assert_found(
            Store, 'condition_holds', lambda *_: True, 'is overwritten'
        )

    def test_uid_is_not_compared(self) -> None:
        """An operator who repeats a filed document is refused."""
        self._assert_found(
            tickets, 'is_filed_from', lambda *_: False, 'refused, but'
        )

    def test_refused_operator_files_again(self) -> None:
        """The operator of the last test goes on and gets a second ticket.

        The check of refusals would end the schedule before.
        """
        with mock.patch.object(World, 'check_refused', lambda _: None):
            self._assert_found(
                tickets,
                'is_filed_from',
                lambda *_: False,
                'has a second ticket',
            )
