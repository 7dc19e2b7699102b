"""Fuzzing of at-most-once execution over the real ledger functions.

The model has hosts with ledgers, a network that delays, repeats and loses
messages, an upstream that may run work late, and host lists that change. The
oracle is the list of runs at the upstream:

- point 5: no id runs twice;
- point 4: an attempt answered `not_run` never ran, and no host answers so
  while it knows the id under another attempt;
- point 3: a served answer is the upstream's answer to the same request.

Deliberate faults are patched in here; the machine must find each of them.
"""

import functools
import typing
import unittest
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import ledger
from proofs import machines

SLOT = model.SlotId('holdbook', 7)
BEGIN_MS = 10_000_000
POOL = ('h0', 'h1', 'h2', 'h3', 'h4')
# A host at the old version keeps its lease for 0.4 s by its own clock after
# the new version is adopted; slow clocks make it a little more.
OLD_HOST_LEASE_MS = 490
EFFECTIVE_MS = 1_100

NOW, LOST, DELAYED, REPLY_LOST, REPLY_DELAYED, REPEATED = range(6)
FATES = (
    NOW,
    NOW,
    NOW,
    NOW,
    LOST,
    DELAYED,
    REPLY_LOST,
    REPLY_DELAYED,
    REPEATED,
)
ANSWERS, ANSWER_LOST, REFUSES, REFUSAL_LOST, LATE, NEVER = range(6)
UPSTREAM = (ANSWERS, ANSWER_LOST, REFUSES, REFUSAL_LOST, LATE, NEVER)
OFFSETS_MS = (-250, 0, 250)
CALLER_OFFSETS_MS = (-3_000, -500, 0, 0, 250, 700, 1_000, 1_250, 3_000)
STEPS_MS = (1, 100, 250, 400, 499, 500, 900, 1_500, 2_000, 3_000, 61_000)


class Host:
    """One entry host."""

    def __init__(self, name: str) -> None:
        """Start long before the schedule."""
        self.name = name
        self.offset_ms = 0
        self.incarnation = 0
        self.attempts = 0
        self.version = 0
        self.old_hosts: tuple[str, ...] = ()
        self.heard_adopted = True
        self.state = ledger.open_ledger(BEGIN_MS - 100_000)


class HostList:
    """One version of the list of hosts."""

    def __init__(self, hosts: tuple[str, ...]) -> None:
        """Start without adoption."""
        self.hosts = hosts
        self.adopted_ms: int | None = None


class Attempt:
    """One request as one dispatching host handles it."""

    def __init__(
        self, request_id: str, issued_ms: int, digest: str, host: Host
    ) -> None:
        """Start without replies."""
        self.request_id = request_id
        self.issued_ms = issued_ms
        self.digest = digest
        self.host = host
        self.incarnation = host.incarnation
        self.version = host.version
        host.attempts += 1
        self.token = ledger.make_token(
            host.name, str(host.incarnation), host.attempts
        )
        self.holders: tuple[str, ...] = ()
        self.needed = 0
        self.replies: dict[str, codes.Code] = {}
        self.decision: ledger.Decision | None = None
        self.answer: model.Outcome | None = None

    def is_alive(self) -> bool:
        """Tell whether the process that made the attempt still runs."""
        return self.host.incarnation == self.incarnation


class Run(typing.NamedTuple):
    """One run at the upstream."""

    request_id: str
    attempt: Attempt
    body: bytes


class World:
    """The model; every public method is one event."""

    def __init__(self, hosts: tuple[str, ...]) -> None:
        """Start with a list of hosts that has long been adopted."""
        self.now_ms = BEGIN_MS
        self.host_by_name = {name: Host(name) for name in POOL}
        self.lists = [HostList(hosts)]
        self.lists[0].adopted_ms = BEGIN_MS - 100_000
        self.issued_ms_by_number: dict[int, int] = {}
        self.attempts: list[Attempt] = []
        self.held: list[tuple[Attempt, int]] = []
        self.network: list[typing.Callable[[], None]] = []
        self.late_work: list[Attempt] = []
        self.runs: list[Run] = []

    def clock(self, host: Host) -> int:
        """Return the host's wall clock."""
        return self.now_ms + host.offset_ms

    def advance(self, step_ms: int) -> None:
        """Let time pass."""
        self.now_ms += step_ms

    def set_clock(self, name: str, offset_ms: int) -> None:
        """Step a host's clock within the skew."""
        self.host_by_name[name].offset_ms = offset_ms

    def expire(self, name: str) -> None:
        """Run a host's timer."""
        host = self.host_by_name[name]
        ledger.expire(host.state, self.clock(host))

    def restart(self, name: str, offset_ms: int) -> None:
        """Restart a host, perhaps with another clock."""
        host = self.host_by_name[name]
        host.offset_ms = offset_ms
        host.incarnation += 1
        host.attempts = 0
        host.state = ledger.open_ledger(self.clock(host))
        host.version = len(self.lists) - 1
        host.old_hosts = ()
        newest = self.lists[-1]
        adopted_ms = newest.adopted_ms
        host.heard_adopted = adopted_ms is not None
        if adopted_ms is None or self.now_ms < adopted_ms + EFFECTIVE_MS:
            self._change_holders(host)

    def change_hosts(self, hosts: tuple[str, ...], at_once: bool) -> None:
        """Write a new list; the one before must be adopted.

        A joining host adds itself, so it knows the list before.
        """
        before = self.lists[-1]
        if before.adopted_ms is None or before.hosts == hosts:
            return
        for name in hosts:
            if name not in before.hosts:
                self.take_up(name)
        self.lists.append(HostList(hosts))
        if not at_once:
            return
        for name in POOL:
            self.take_up(name)
        self.adopt()
        for name in POOL:
            self.hear_adopted(name)

    def take_up(self, name: str) -> None:
        """Let a host read the newest list."""
        host = self.host_by_name[name]
        newest = len(self.lists) - 1
        if host.version == newest:
            return
        host.old_hosts = self.old_hosts(host)
        host.version = newest
        host.heard_adopted = False
        self._change_holders(host)
        self.hear_adopted(name)

    def old_hosts(self, host: Host) -> tuple[str, ...]:
        """Return the list before the newest, if the host knows that one."""
        if host.version < len(self.lists) - 2:
            return ()
        return self.lists[host.version].hosts

    def adopt(self) -> None:
        """Let a blocking set promise the newest list."""
        newest = self.lists[-1]
        if newest.adopted_ms is None:
            newest.adopted_ms = self.now_ms

    def hear_adopted(self, name: str) -> None:
        """Let a host hear that its version is adopted."""
        host = self.host_by_name[name]
        if host.heard_adopted or self.lists[host.version].adopted_ms is None:
            return
        host.heard_adopted = True
        self._change_holders(host)

    def send(
        self,
        number: int,
        name: str,
        caller_offset_ms: int,
        digest: str,
        fates: tuple[int, ...],
        upstream: int,
        hold: bool,
        release_fate: int,
    ) -> Attempt | None:
        """Let a caller send an id, for the first time or again."""
        host = self.host_by_name[name]
        hosts = self.lists[host.version].hosts
        if name not in hosts:
            return None
        issued_ms = self.issued_ms_by_number.setdefault(
            number, self.now_ms + caller_offset_ms
        )
        attempt = Attempt(f'{issued_ms}-{number}', issued_ms, digest, host)
        self.attempts.append(attempt)
        kept = ledger.stored_response(host.state, attempt.request_id, digest)
        if kept is not None:
            self._answer(attempt, kept)
            return attempt
        attempt.holders, attempt.needed = ledger.intent_holders(hosts, SLOT)
        for holder, fate in zip(attempt.holders, fates, strict=False):
            self._ask(attempt, holder, fate)
        if hold:
            self.held.append((attempt, upstream))
            return attempt
        self._decide(attempt, upstream, release_fate)
        return attempt

    def decide_held(self, index: int, release_fate: int) -> None:
        """Let a dispatching host decide that has waited."""
        if self.held:
            attempt, upstream = self.held.pop(index % len(self.held))
            self._decide(attempt, upstream, release_fate)

    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a delayed message, perhaps not for the last time."""
        if not self.network:
            return
        index %= len(self.network)
        message = self.network[index]
        if not keep:
            del self.network[index]
        message()

    def run_late(self, index: int) -> None:
        """Let work reach the upstream after its answer was given up."""
        if self.late_work:
            self._run(self.late_work.pop(index % len(self.late_work)))

    def _change_holders(self, host: Host) -> None:
        ledger.update_holders(
            host.state,
            SLOT,
            host.old_hosts,
            self.lists[host.version].hosts,
            host.name,
            self.clock(host),
            adopted=host.heard_adopted,
        )

    def _ask(self, attempt: Attempt, holder: str, fate: int) -> None:
        intent = functools.partial(self._intent, attempt, holder, False)
        if fate == LOST:
            return
        if fate == DELAYED:
            self.network.append(intent)
            return
        if fate in (NOW, REPEATED):
            intent()
        if fate == REPEATED:
            self.network.append(intent)
        if fate == REPLY_LOST:
            self._intent(attempt, holder, False, reply=False)
        if fate == REPLY_DELAYED:
            self._intent(attempt, holder, True)

    def _intent(
        self,
        attempt: Attempt,
        holder: str,
        delay_reply: bool,
        reply: bool = True,
    ) -> None:
        host = self.host_by_name[holder]
        if not ledger.is_current(host.version, attempt.version):
            return
        code = ledger.record_intent(
            host.state,
            attempt.request_id,
            attempt.issued_ms,
            SLOT,
            attempt.token,
            self.clock(host),
        )
        if not reply:
            return
        answer = functools.partial(self._reply, attempt, holder, code)
        if delay_reply:
            self.network.append(answer)
            return
        answer()

    def _reply(self, attempt: Attempt, holder: str, code: codes.Code) -> None:
        if not attempt.is_alive():
            return
        if attempt.decision is None:
            attempt.replies[holder] = code
            return
        if code == codes.OK and attempt.decision.action != ledger.SEND:
            self._release_at(attempt, holder)

    def _decide(
        self, attempt: Attempt, upstream: int, release_fate: int
    ) -> None:
        if not attempt.is_alive():
            return
        decision = ledger.decide_intent(attempt.replies, attempt.needed)
        if decision.action == ledger.SEND and not self._may_send(attempt):
            decision = ledger.Decision(ledger.REFUSE, codes.NO_STANDING)
        attempt.decision = decision
        if decision.action == ledger.SEND:
            self._send_upstream(attempt, upstream, release_fate)
            return
        self._give_up(attempt, decision.code, False, release_fate)

    def _may_send(self, attempt: Attempt) -> bool:
        """Tell whether the host holds a lease at the list that it asked by."""
        if attempt.host.version != attempt.version:
            return False
        return not any(
            newer.adopted_ms is not None
            and newer.adopted_ms + OLD_HOST_LEASE_MS <= self.now_ms
            for newer in self.lists[attempt.version + 1 :]
        )

    def _send_upstream(
        self, attempt: Attempt, upstream: int, release_fate: int
    ) -> None:
        ledger.record_sent(
            attempt.host.state,
            attempt.request_id,
            attempt.issued_ms,
            attempt.token,
        )
        if upstream in (ANSWERS, ANSWER_LOST):
            run = self._run(attempt)
        if upstream == ANSWERS:
            answer = model.Outcome(codes.OK, 200, (), run.body, 0, '')
            ledger.store_response(
                attempt.host.state, attempt.request_id, attempt.digest, answer
            )
            self._answer(attempt, answer)
            return
        if upstream == LATE:
            self.late_work.append(attempt)
        if upstream == REFUSES:
            code = codes.UPSTREAM_REFUSED
            self._give_up(attempt, code, True, release_fate)
            return
        self._give_up(attempt, codes.OUTCOME_UNKNOWN, False, release_fate)

    def _give_up(
        self,
        attempt: Attempt,
        code: codes.Code,
        not_run: bool,
        release_fate: int,
    ) -> None:
        state = attempt.host.state
        code = ledger.refusal_code(
            state, attempt.request_id, attempt.token, code
        )
        if code.outcome == codes.NOT_RUN:
            held = state.token_by_id.get(attempt.request_id, attempt.token)
            assert held == attempt.token, 'not_run for an id known as sent'
            # A quorum of acceptances proves that no earlier attempt was sent.
            replies = list(attempt.replies.values())
            accepted = replies.count(codes.OK) >= attempt.needed
            known = codes.DUPLICATE in replies
            assert accepted or not known, 'not_run for an id known at a holder'
        self._answer(attempt, model.refusal(code))
        if not ledger.must_release(attempt.decision, not_run):
            return
        ledger.release_intent(state, attempt.request_id, attempt.token)
        for holder in attempt.holders:
            release = functools.partial(self._release_at, attempt, holder)
            if release_fate in (NOW, REPEATED):
                release()
            if release_fate in (DELAYED, REPEATED):
                self.network.append(release)

    def _release_at(self, attempt: Attempt, holder: str) -> None:
        ledger.release_intent(
            self.host_by_name[holder].state, attempt.request_id, attempt.token
        )

    def _answer(self, attempt: Attempt, answer: model.Outcome) -> None:
        attempt.answer = answer
        if answer.code.outcome != codes.SERVED:
            return
        assert any(
            run.body == answer.body
            and run.request_id == attempt.request_id
            and run.attempt.digest == attempt.digest
            for run in self.runs
        ), 'a caller got the answer of another request'

    def _run(self, attempt: Attempt) -> Run:
        body = f'{attempt.request_id} {attempt.digest} {len(self.runs)}'
        run = Run(attempt.request_id, attempt, body.encode())
        self.runs.append(run)
        return run

    def check(self) -> None:
        """Compare the runs with the answers."""
        ids = [run.request_id for run in self.runs]
        assert len(ids) == len(set(ids)), 'an id ran twice'
        for run in self.runs:
            answer = run.attempt.answer
            if answer is not None:
                outcome = answer.code.outcome
                assert outcome != codes.NOT_RUN, 'not_run, but it ran'


_names = strategies.sampled_from(POOL)
_fates = strategies.sampled_from(FATES)
_indices = strategies.integers(0, 7)


class Machine(stateful.RuleBasedStateMachine):
    """Draws the events."""

    hosts = 3
    examples = 800
    steps = 40

    def __init__(self) -> None:
        """Open the model."""
        super().__init__()
        self.world = World(POOL[: self.hosts])

    @stateful.rule(
        number=strategies.integers(0, 1),
        name=_names,
        caller_offset_ms=strategies.sampled_from(CALLER_OFFSETS_MS),
        digest=strategies.sampled_from(('d', 'd', 'd', 'e')),
        fates=strategies.tuples(_fates, _fates, _fates),
        upstream=strategies.sampled_from(UPSTREAM),
        hold=strategies.sampled_from((False, False, False, True)),
        release_fate=_fates,
    )
    def send(self, **arguments: typing.Any) -> None:
        """Send an id."""
        self.world.send(**arguments)

    @stateful.rule(
        number=strategies.integers(0, 1),
        name=_names,
        caller_offset_ms=strategies.sampled_from(CALLER_OFFSETS_MS),
    )
    def send_undisturbed(
        self, number: int, name: str, caller_offset_ms: int
    ) -> None:
        """Send an id whose messages all arrive and whose answer is lost."""
        self.world.send(
            number,
            name,
            caller_offset_ms,
            'd',
            (NOW, NOW, NOW),
            ANSWER_LOST,
            False,
            NOW,
        )

    @stateful.rule(index=_indices, release_fate=_fates)
    def decide_held(self, index: int, release_fate: int) -> None:
        """Decide an attempt that has waited."""
        self.world.decide_held(index, release_fate)

    @stateful.rule(index=_indices, keep=strategies.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        """Deliver a delayed message."""
        self.world.deliver(index, keep)

    @stateful.rule(index=_indices)
    def run_late(self, index: int) -> None:
        """Run work late."""
        self.world.run_late(index)

    @stateful.rule(step_ms=strategies.sampled_from(STEPS_MS))
    def advance(self, step_ms: int) -> None:
        """Let time pass."""
        self.world.advance(step_ms)

    @stateful.rule(name=_names, offset_ms=strategies.sampled_from(OFFSETS_MS))
    def restart(self, name: str, offset_ms: int) -> None:
        """Restart a host."""
        self.world.restart(name, offset_ms)

    @stateful.rule(name=_names, offset_ms=strategies.sampled_from(OFFSETS_MS))
    def set_clock(self, name: str, offset_ms: int) -> None:
        """Step a clock."""
        self.world.set_clock(name, offset_ms)

    @stateful.rule(name=_names)
    def expire(self, name: str) -> None:
        """Run a host's timer."""
        self.world.expire(name)

    @stateful.rule(
        hosts=strategies.lists(
            strategies.sampled_from(POOL), min_size=1, unique=True
        ),
        at_once=strategies.booleans(),
    )
    def change_hosts(self, hosts: list[str], at_once: bool) -> None:
        """Change the list of hosts."""
        self.world.change_hosts(tuple(sorted(hosts)), at_once)

    @stateful.rule(name=_names)
    def take_up(self, name: str) -> None:
        """Let one host read the newest list."""
        self.world.take_up(name)

    @stateful.rule()
    def adopt(self) -> None:
        """Adopt the newest list."""
        self.world.adopt()

    @stateful.rule(name=_names)
    def hear_adopted(self, name: str) -> None:
        """Let one host hear of the adoption."""
        self.world.hear_adopted(name)

    @stateful.invariant()
    def check(self) -> None:
        """Hold the runs against the answers."""
        self.world.check()


class MachineOfOne(Machine):
    """A cell of one host."""

    hosts = 1
    examples = 400


class MachineOfTwo(Machine):
    """A cell of two hosts."""

    hosts = 2
    examples = 400


class MachineOfFive(Machine):
    """A cell of five hosts."""

    hosts = 5
    examples = 400


_extreme_offsets = strategies.sampled_from((-250, 250))
_short_lists = (('h0',), ('h1',), ('h0', 'h1'), ('h1', 'h2'), POOL[:3])
_maybe_index = strategies.sampled_from((None, 0, 1, 2))


class ScheduleMachine(stateful.RuleBasedStateMachine):
    """Draws short schedules of one id and clocks at their bounds.

    Faults of margins and lists need several exact events in order. One rule
    draws all of them, because the machine with a rule for each seldom does.
    """

    examples = 1_000
    steps = 6

    @stateful.initialize(
        hosts=strategies.sampled_from(_short_lists),
        offsets_ms=strategies.tuples(*[_extreme_offsets] * 3),
    )
    def begin(
        self, hosts: tuple[str, ...], offsets_ms: tuple[int, ...]
    ) -> None:
        """Open the model with a list and clocks."""
        self.world = World(hosts)
        for name, offset_ms in zip(POOL, offsets_ms, strict=False):
            self.world.set_clock(name, offset_ms)

    def wait_and_send(
        self,
        wait_ms: int,
        sender: int,
        caller_offset_ms: int,
        lost: int | None,
    ) -> None:
        """Wait and send the id; the answer is lost."""
        self.world.advance(wait_ms)
        fates = tuple(LOST if lost == each else NOW for each in range(3))
        self.world.send(
            0,
            POOL[sender],
            caller_offset_ms,
            'd',
            fates,
            ANSWER_LOST,
            False,
            NOW,
        )

    @stateful.invariant()
    def check(self) -> None:
        """Hold the runs against the answers."""
        self.world.check()


_wait_and_send = {
    'wait_ms': strategies.sampled_from((0, 400, 900, 3_000)),
    'sender': strategies.integers(0, 2),
    'caller_offset_ms': strategies.sampled_from((1_250, 0)),
    'lost': _maybe_index,
}


class ClockMachine(ScheduleMachine):
    """Draws restarts with another clock."""

    @stateful.rule(
        restarted=_maybe_index, offset_ms=_extreme_offsets, **_wait_and_send
    )
    def restart_and_send(
        self,
        restarted: int | None,
        offset_ms: int,
        **arguments: typing.Any,
    ) -> None:
        """Restart a host and send the id."""
        if restarted is not None:
            self.world.restart(POOL[restarted], offset_ms)
        self.wait_and_send(**arguments)


class ListMachine(ScheduleMachine):
    """Draws changes of the list that reach some hosts only.

    Few hosts read a change, and waits are long, because a fault shows only
    where one host has counted its start and another has not moved.
    """

    examples = 3_000

    @stateful.rule(
        hosts=strategies.sampled_from((None, None, *_short_lists)),
        readers=strategies.sampled_from((0, 1, 2, 4, 7)),
        adopted=strategies.booleans(),
        **{
            **_wait_and_send,
            'wait_ms': strategies.sampled_from((3_000, 900, 400, 0)),
            'lost': strategies.sampled_from((None, None, None, 0, 1, 2)),
        },
    )
    def change_and_send(
        self,
        hosts: tuple[str, ...] | None,
        readers: int,
        adopted: bool,
        **arguments: typing.Any,
    ) -> None:
        """Change the list or spread the last change, and send the id."""
        if hosts is not None:
            self.world.change_hosts(hosts, False)
        if adopted:
            self.world.adopt()
        for index in range(3):
            if readers >> index & 1:
                self.world.take_up(POOL[index])
                self.world.hear_adopted(POOL[index])
        self.wait_and_send(**arguments)


def _run(machine: type) -> None:
    """Run a machine the same way with and without a fault."""
    machines.run(machine, machine.examples, machine.steps)


class ProofTest(unittest.TestCase):
    """The whole rule under every kind of schedule."""

    def test_all_events(self):
        """No schedule in cells of 1, 2, 3 and 5 hosts breaks a point."""
        for machine in (MachineOfOne, MachineOfTwo, Machine, MachineOfFive):
            with self.subTest(hosts=machine.hosts):
                _run(machine)

    def test_clocks_and_restarts(self):
        """Clocks at their bounds and restarts let no id run twice."""
        _run(ClockMachine)

    def test_lists(self):
        """List changes that reach some hosts only let no id run twice."""
        _run(ListMachine)


class FaultTest(unittest.TestCase):
    """The machine finds each fault; ProofTest passes without them."""

    def _assert_found(self, machine, name, fault, text='ran twice'):
        with mock.patch.object(ledger, name, fault):
            with self.assertRaisesRegex(AssertionError, text):
                _run(machine)

    def test_no_start_margin(self):
        """A restarted holder accepts an id stamped just after its start."""
        self._assert_found(ClockMachine, 'START_MARGIN_MS', 0)

    def test_one_margin_for_both(self):
        """The start margin must hold the skew beside the ahead margin."""
        margin_ms = ledger.AHEAD_MARGIN_MS
        self._assert_found(ClockMachine, 'START_MARGIN_MS', margin_ms)

    def test_no_ledger_start(self):
        """A restarted holder accepts every id that it has forgotten."""
        self._assert_found(Machine, '_is_before_start', lambda *_: False)

    def test_single_holder(self):
        """One acceptance does not meet that of another holder."""
        self._assert_found(Machine, '_quorum_size', lambda _: 1)

    def test_release_not_matched_by_token(self):
        """A late release frees the id of a later attempt."""
        self._assert_found(Machine, '_matches_token', lambda *_: True)

    def test_duplicate_taken_for_accepted(self):
        """A holder that knows the id does not count for the attempt."""
        accepted = (codes.OK, codes.DUPLICATE)
        self._assert_found(
            Machine, '_is_accepted', lambda code: code in accepted
        )

    def test_token_without_incarnation(self):
        """A restarted dispatching host repeats its own token."""
        self._assert_found(
            ClockMachine,
            'make_token',
            lambda host, _, number: f'{host}/{number}',
        )

    def test_release_after_a_lost_answer(self):
        """An intent must stay where the work may have run."""
        self._assert_found(Machine, 'must_release', lambda *_: True)

    def test_refusal_of_a_known_id(self):
        """A host that knows the id under another attempt says unknown."""
        self._assert_found(
            MachineOfOne,
            'refusal_code',
            lambda _state, _id, _token, code: code,
            'not_run for an id known',
        )

    def test_start_before_adoption(self):
        """Hosts at the old list send until the new one is adopted."""
        self._assert_found(ListMachine, 'update_holders', _ignoring_adoption())


class ScheduleTest(unittest.TestCase):
    """Fixed schedules: one run by the rule, two with its guard out."""

    def _assert_guarded(self, schedule, target, name, fault):
        self.assertEqual(1, len(schedule().runs))
        with mock.patch.object(target, name, fault):
            self.assertEqual(2, len(schedule().runs))

    def test_one_margin_for_both(self):
        """An id stamped 1250 ms ahead passes a fast and then a slow clock."""

        def schedule():
            world = World(('h0',))
            world.set_clock('h0', 250)
            _send(world, 'h0', 1_250)
            world.restart('h0', -250)
            world.advance(500)
            _send(world, 'h0')
            return world

        margin_ms = ledger.AHEAD_MARGIN_MS
        self._assert_guarded(schedule, ledger, 'START_MARGIN_MS', margin_ms)

    def test_two_changes_in_a_row(self):
        """Three holders to two and to one, which does not know the id."""

        def schedule():
            world = World(POOL[:3])
            _send(world, 'h1', lost='h0')
            world.change_hosts(POOL[:2], True)
            world.change_hosts(POOL[:1], True)
            _send(world, 'h0')
            return world

        self._assert_guarded(
            schedule,
            ledger,
            '_required_overlap',
            lambda _state, _slot, holders, needed: holders - needed + 1,
        )

    def test_start_before_adoption(self):
        """A new holder counts from adoption, not from when it read."""

        def schedule():
            world = World(('h0',))
            world.change_hosts(('h1',), False)
            world.take_up('h1')
            world.advance(3_000)
            _send(world, 'h0')
            _send(world, 'h1')
            return world

        self._assert_guarded(
            schedule, ledger, 'update_holders', _ignoring_adoption()
        )

    def test_host_lease_after_adoption(self):
        """A host at the old list may send for a while after adoption."""

        def schedule():
            world = World(('h0',))
            world.set_clock('h0', 250)
            world.set_clock('h1', -250)
            world.change_hosts(('h1',), False)
            world.adopt()
            world.take_up('h1')
            world.advance(400)
            _send(world, 'h0', 1_250)
            world.advance(900)
            _send(world, 'h1')
            return world

        self._assert_guarded(schedule, ledger, 'OLD_VERSION_GRACE_MS', 0)

    def test_holder_at_an_older_list(self):
        """A new holder that has not read the list must not answer."""

        def schedule():
            world = World(('h0',))
            _send(world, 'h0')
            world.change_hosts(POOL[:3], False)
            world.take_up('h0')
            _send(world, 'h0')
            return world

        self._assert_guarded(schedule, ledger, 'is_current', lambda *_: True)

    def test_list_missed_in_between(self):
        """A host that missed a list must not compare across it."""

        def schedule():
            world = World(('h0',))
            world.change_hosts(POOL[:3], False)
            world.adopt()
            world.take_up('h1')
            world.take_up('h2')
            world.advance(3_000)
            _send(world, 'h1')
            world.change_hosts(('h0',), True)
            _send(world, 'h0')
            return world

        self._assert_guarded(
            schedule,
            World,
            'old_hosts',
            lambda self, host: self.lists[host.version].hosts,
        )

    def test_what_works(self):
        """The rule still serves, repeats an answer and frees an id."""
        for hosts in (1, 2, 3, 5):
            world = World(POOL[:hosts])
            refused = _send(world, 'h0', upstream=REFUSES)
            served = _send(world, 'h0', upstream=ANSWERS)
            again = _send(world, 'h0')
            self.assertEqual(
                [codes.UPSTREAM_REFUSED, codes.OK, codes.OK_STORED],
                [each.answer.code for each in (refused, served, again)],
            )


def _send(world, name, caller_offset_ms=0, lost='', upstream=ANSWER_LOST):
    """Send the first id; one holder may not hear of it."""
    host = world.host_by_name[name]
    hosts = world.lists[host.version].hosts
    holders, _ = ledger.intent_holders(hosts, SLOT)
    fates = tuple(LOST if holder == lost else NOW for holder in holders)
    return world.send(
        0, name, caller_offset_ms, 'd', fates, upstream, False, NOW
    )


def _ignoring_adoption():
    """Return an update_holders that takes every list for adopted."""
    changed = ledger.update_holders
    return lambda *arguments, adopted: changed(*arguments, adopted=True)
