"""Stateful fuzzing of the ownership rules (section 4.1 of the design)."""

import contextlib
import functools
import io
import typing
import unittest
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies

from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.grant import quorum
from amaranthcrank.observe import failure_detector
from amaranthcrank.plan import assignment
from amaranthcrank.record import cell_record
from proofs import driver
from proofs import machines

ODD = ((3, False), (5, False))
SHAPES = ((2, False), (2, True), *ODD)
STEPS = 14
HOST = strategies.integers(0, 4)
TARGET = strategies.integers(0, 2)
MASK = strategies.integers(0, 31)
SECONDS = strategies.sampled_from((0.03, 0.1, 0.25, 0.5, 0.9, 1.6))
OFTEN = strategies.sampled_from((True, True, False))
FEW = strategies.sampled_from((0, 0, 0, 1, 2, 4, 8, 16))
# Without fences a move always waits, which most faults need.
FENCED = strategies.sampled_from((0, 0, 0, 1, 2, 4, 7))
# Small groups, because most faults need a minority that goes on alone.
GROUP = strategies.sampled_from((1, 1, 2, 4, 3, 5, 6, 9, 17, 24))
SEED = strategies.integers(0, 65535)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; the driver raises Violation."""

    shape: typing.ClassVar[tuple[int, bool]] = (3, False)
    challenge_time = True

    def __init__(self) -> None:
        super().__init__()
        self.world = driver.World(3, False, 0)

    @stateful.initialize(seed=SEED, fenced=FENCED)
    def begin(self, seed: int, fenced: int) -> None:
        count, third = self.shape
        self.world = driver.World(count, third, seed, self.challenge_time)
        names = self.world.targets
        self.world.fenced = frozenset(
            each for i, each in enumerate(names) if fenced >> i & 1
        )
        self.world.run(2.0)

    def host(self, number: int) -> str:
        return self.world.members()[number % len(self.world.members())]

    def chosen(self, mask: int) -> list[str]:
        names = self.world.members()
        return [each for i, each in enumerate(names) if mask >> i & 1]

    def dispatcher(self, target: str) -> str:
        for name in self.world.hosts:
            process = self.world.process_by_name.get(name)
            if process is None or process.frozen:
                continue
            heard = failure_detector.dispatch_hosts(
                process.state, process.clock()
            )
            if hashing.rendezvous(target, heard, 1) == (name,):
                return name
        return self.world.hosts[0]

    def owner(self, number: int) -> str:
        """Choose a target that owns slots in the newest record."""
        assignments = self.world.history[-1].assignment_by_slot.values()
        owners = sorted({each.target for each in assignments})
        return owners[number % len(owners)] if owners else 't0'

    def drain(self, *names: str) -> None:
        if set(names) != set(self.world.targets):
            self.world.file_drain(frozenset(names))

    def settle(self, healed: bool) -> None:
        if healed:
            self.world.heal()
            self.world.run(2.5)

    @stateful.rule(seconds=SECONDS)
    def run_on(self, seconds: float) -> None:
        self.world.run(seconds)

    @stateful.rule(one=HOST, mask=MASK, seconds=SECONDS)
    def cut_hosts(self, one: int, mask: int, seconds: float) -> None:
        self.world.cut([self.host(one)], self.chosen(mask))
        self.world.run(seconds)

    @stateful.rule(mask=MASK, number=TARGET)
    def cut_target(self, mask: int, number: int) -> None:
        self.world.cut(self.chosen(mask), [self.world.targets[number]])

    @stateful.rule(mask=MASK)
    def cut_store(self, mask: int) -> None:
        self.world.cut(self.chosen(mask), [driver.STORE])

    @stateful.rule(up=strategies.booleans(), lost=strategies.integers(0, 3))
    def disturb_store(self, up: bool, lost: int) -> None:
        self.world.store_up = up
        self.world.lost_answers = lost

    @stateful.rule()
    def join_links(self) -> None:
        self.world.cuts.clear()

    @stateful.rule(one=HOST, seconds=SECONDS, again=strategies.booleans())
    def kill_host(self, one: int, seconds: float, again: bool) -> None:
        name = self.host(one)
        self.world.kill(name)
        self.world.run(seconds)
        if again:
            self.world.start(name)

    @stateful.rule(number=TARGET, seconds=SECONDS, again=strategies.booleans())
    def kill_target(self, number: int, seconds: float, again: bool) -> None:
        name = self.world.targets[number]
        self.world.kill(name)
        self.world.run(seconds)
        if again:
            self.world.start(name)

    @stateful.rule(number=TARGET, seconds=SECONDS)
    def freeze_target(self, number: int, seconds: float) -> None:
        self.world.freeze(self.world.targets[number])
        self.world.run(seconds)
        self.world.resume(self.world.targets[number])

    @stateful.rule(one=HOST, mid_step=strategies.booleans(), seconds=SECONDS)
    def freeze_host(self, one: int, mid_step: bool, seconds: float) -> None:
        name = self.host(one)
        self.world.freeze(name, mid_step)
        self.world.run(seconds)
        self.world.resume(name)

    @stateful.rule(number=TARGET, seconds=SECONDS)
    def file_drain(self, number: int, seconds: float) -> None:
        self.drain(self.owner(number))
        self.world.run(seconds)

    @stateful.rule(spare=strategies.integers(0, 1), seconds=SECONDS)
    def add_host(self, spare: int, seconds: float) -> None:
        self.world.start(self.world.spare[spare])
        self.world.run(seconds)

    @stateful.rule(
        number=TARGET,
        healed=OFTEN,
        moved=OFTEN,
        alone=OFTEN,
        second=strategies.booleans(),
        restarted=strategies.booleans(),
        eager=strategies.booleans(),
        early=SECONDS,
    )
    def isolate_dispatcher(
        self,
        number: int,
        healed: bool,
        moved: bool,
        alone: bool,
        second: bool,
        restarted: bool,
        eager: bool,
        early: float,
    ) -> None:
        """Cut off whoever grants a target, while its slots move.

        The slots may move on at once, the target may restart, and renewals
        may go out as often as possible up to the end of the standing.
        """
        world = self.world
        self.settle(healed)
        name = self.owner(number)
        host = self.dispatcher(name)
        rest = [*world.members(), driver.STORE]
        world.eager = eager
        world.cut([host], rest)
        if moved:
            self.drain(name)
        if alone:
            world.cut([each for each in rest if each != host], [name])
        world.run(early)
        if second:
            self.drain(name, self.owner(number))
        if restarted:
            world.start(name)
        world.run(1.2)
        world.eager = False
        world.cuts.clear()

    @stateful.rule(
        number=TARGET,
        healed=OFTEN,
        alone=OFTEN,
        early=SECONDS,
        late=SECONDS,
    )
    def freeze_dispatcher(
        self,
        number: int,
        healed: bool,
        alone: bool,
        early: float,
        late: float,
    ) -> None:
        """Freeze a host between its decision to grant and the send."""
        world = self.world
        self.settle(healed)
        name = self.owner(number)
        host = self.dispatcher(name)
        world.freeze(host, True)
        world.run(early)
        self.drain(name)
        if alone:
            others = [each for each in world.members() if each != host]
            world.cut(others, [name])
        world.run(1.2)
        world.run(late)
        world.resume(host)
        world.run(0.1)
        world.cuts.clear()

    @stateful.rule(
        healed=OFTEN,
        group=GROUP,
        restarted=FEW,
        number=TARGET,
        joined=OFTEN,
        alone=OFTEN,
        early=SECONDS,
        late=SECONDS,
    )
    def split_move(
        self,
        healed: bool,
        group: int,
        restarted: int,
        number: int,
        joined: bool,
        alone: bool,
        early: float,
        late: float,
    ) -> None:
        """Move slots on one side of a cut, restart hosts, join the sides."""
        world = self.world
        self.settle(healed)
        side = self.chosen(group)
        others = [each for each in world.members() if each not in side]
        if joined:
            side.append(world.spare[0])
            world.start(world.spare[0])
        world.cut(side, others)
        world.cut(others, [driver.STORE])
        name = self.owner(number)
        if alone:
            world.cut(side, [name])
        self.drain(name)
        world.run(early)
        for name in self.chosen(restarted):
            world.start(name)
        world.run(1.0)
        world.run(late)
        world.cuts.clear()
        world.run(0.6)

    @stateful.rule(healed=OFTEN, number=TARGET, one=HOST, two=HOST)
    def restart_behind(
        self, healed: bool, number: int, one: int, two: int
    ) -> None:
        """Restart a host that then hears only one that missed a move."""
        world = self.world
        self.settle(healed)
        behind = self.host(one)
        restarted = self.host(two)
        rest = [*world.members(), driver.STORE]
        world.cut([behind], rest)
        self.drain(self.owner(number))
        world.run(0.3)
        world.cut([restarted], rest)
        world.cuts.discard(frozenset({behind, restarted}))
        world.start(restarted)
        world.run(1.0)
        world.cuts.clear()
        world.run(0.3)

    @stateful.rule(healed=OFTEN, number=TARGET, group=GROUP, alone=OFTEN)
    def move_without_records(
        self, healed: bool, number: int, group: int, alone: bool
    ) -> None:
        """Move slots while heartbeats reach some hosts and records do not."""
        world = self.world
        self.settle(healed)
        name = self.owner(number)
        chosen = self.chosen(group)
        if alone:
            # The acting controller has to write, so another one lags.
            for each in world.targets:
                if self.dispatcher(each) != world.history[-1].hosts[0]:
                    name = each
            chosen = [self.dispatcher(name)]
        world.without_records = frozenset(chosen)
        world.cut(chosen, [driver.STORE])
        self.drain(name)
        world.run(1.5)
        world.without_records = frozenset()

    @stateful.rule(number=TARGET, killed=strategies.booleans())
    def heal_and_check(self, number: int, killed: bool) -> None:
        """Liveness: owners within 3 s, a lost owner replaced within 2 s."""
        world = self.world
        world.heal()
        world.run(3.0)
        world.check_owned('healthy for 3 s')
        world.check_drained()
        if not killed:
            return
        world.kill(world.targets[number])
        world.run(2.0)
        if world.drained[-1] | {world.targets[number]} != set(world.targets):
            world.check_owned(f'2 s after {world.targets[number]} was lost')


def run_machine(
    examples: int, shape: tuple[int, bool], challenge_time: bool = True
) -> None:
    """Run the machine; shrinking is off to bound the time of a failure."""

    class Machine(OwnershipMachine):
        pass

    Machine.shape = shape
    Machine.challenge_time = challenge_time
    machines.run(Machine, examples, STEPS)


class WholeRuleTest(unittest.TestCase):
    """Guards against two owners, lost assignments and versions that fall."""

    def test_two_hosts(self) -> None:
        run_machine(40, (2, False))

    def test_two_hosts_and_third_attester(self) -> None:
        run_machine(40, (2, True))

    def test_three_hosts(self) -> None:
        run_machine(40, (3, False))

    def test_five_hosts(self) -> None:
        run_machine(30, (5, False))


def waiting(seconds: float) -> typing.Any:
    """Wait only this long after adoption."""
    changed = functools.partial(quorum.effective_version, wait_s=seconds)
    return mock.patch.object(quorum, 'effective_version', changed)


class DeliberateFaultTest(unittest.TestCase):
    """Guards against a machine that would miss a broken rule."""

    def find(
        self,
        *faults: typing.Any,
        challenge_time: bool = True,
        shapes: tuple[tuple[int, bool], ...] = SHAPES,
        text: str = 'point [128]',
    ) -> None:
        """Expect a violation for one of the shapes within 60 examples."""
        for shape in shapes:
            with contextlib.ExitStack() as stack:
                for fault in faults:
                    stack.enter_context(fault)
                silent = stack.enter_context(io.StringIO())
                stack.enter_context(contextlib.redirect_stdout(silent))
                try:
                    run_machine(60, shape, challenge_time)
                except driver.Violation as violation:
                    self.assertRegex(str(violation), text)
                    return
        self.fail('the machine found no violation')

    def test_waits_only_for_the_host_lease(self) -> None:
        self.find(waiting(model.HOST_LEASE_S), shapes=ODD)

    def test_waits_only_for_the_grant_lease(self) -> None:
        self.find(waiting(model.GRANT_LEASE_S), shapes=ODD)

    def test_recovers_from_any_one_peer(self) -> None:
        def confirmed(state: quorum.QuorumState) -> bool:
            return state.record is not None and bool(state.confirmed_by)

        fault = mock.patch.object(quorum, '_is_recovery_confirmed', confirmed)
        self.find(fault, shapes=ODD)

    def test_promise_is_not_kept(self) -> None:
        def keeps(state: quorum.QuorumState, version: int) -> bool:
            return True

        self.find(mock.patch.object(quorum, '_keeps_promise', keeps))

    def test_challenge_time_is_not_used(self) -> None:
        self.find(challenge_time=False)

    def test_blocking_set_is_one_too_small(self) -> None:
        def blocking(count: int) -> int:
            return max(1, count - quorum.majority(count))

        fault = mock.patch.object(quorum, 'blocking_count', blocking)
        self.find(fault, shapes=ODD)

    def test_list_change_is_not_waited_for(self) -> None:
        def in_force(state: quorum.QuorumState) -> bool:
            return True

        fault = mock.patch.object(
            quorum, 'is_attester_change_in_force', in_force
        )
        self.find(fault, shapes=((2, True), *ODD))

    def test_plan_ignores_draining(self) -> None:
        """A leaving upstream keeps its slots and gets their work."""
        plan = assignment.plan_slots

        def ignoring(
            owners: assignment.Assignments,
            wanted: frozenset[model.SlotId],
            targets: tuple[model.Target, ...],
            *rest: typing.Any,
        ) -> typing.Any:
            active = [each._replace(draining=False) for each in targets]
            return plan(owners, wanted, tuple(active), *rest)

        fault = mock.patch.object(assignment, 'plan_slots', ignoring)
        self.find(fault, text='point 6')

    def test_grants_before_the_write_took_effect(self) -> None:
        """An outage or another writer makes the granted record vanish."""
        ask = driver.Host.ask_store

        def eager(
            host: driver.Host,
            operation: typing.Callable[..., typing.Any],
            args: tuple[typing.Any, ...],
        ) -> None:
            ask(host, operation, args)
            for record in args:
                host.install(record, True)

        fault = mock.patch.object(driver.Host, 'ask_store', eager)
        self.find(fault, text='point 2.* not in the store')

    def test_write_is_not_conditional(self) -> None:
        """A record that was answered as written is replaced by another."""

        def holds(world: driver.World, record: model.CellRecord) -> bool:
            return True

        fault = mock.patch.object(driver.World, 'condition_holds', holds)
        self.find(fault, text='point 2.* overwritten')


def each_heard(
    state: quorum.QuorumState, attesters: tuple[str, ...], version: int
) -> float | None:
    """Count each promise when it is heard, not at one moment."""
    times = []
    for attester in attesters:
        view = state.peer_by_host.get(attester, quorum.NO_PEER)
        if attester == state.host and state.promised >= version:
            times.append(state.promised_at)
        elif view.promised >= version:
            times.append(view.promised_at)
    needed = quorum.blocking_count(len(attesters))
    return sorted(times)[needed - 1] if len(times) >= needed else None


def without_unresolved(
    record: model.CellRecord, old: model.Assignment | None, effective: int
) -> str:
    """Name the last owner as previous even if it never became effective."""
    return old.target if old else ''


def adopted_only(state: quorum.QuorumState, now: float) -> int:
    """Ask for releases as soon as a version is adopted."""
    return quorum.adopted_version(state)


class ScheduleTest(unittest.TestCase):
    """Guards three additions to the page's rules by schedules for each."""

    def promise_and_restart(self) -> None:
        """One of five promises, restarts, and recovers from the others."""
        for seed in range(8):
            world = driver.World(5, False, seed)
            world.run(3.0)
            target = world.targets[seed % 2]
            rest = ['h2', 'h3', 'h4']
            world.cut(['h0', 'h1'], rest)
            world.cut(['h1', *rest], [driver.STORE])
            world.cut(['h0', 'h2'], [target])
            world.file_drain(frozenset({target}))
            world.run(0.15)
            world.cuts -= {frozenset({'h1', each}) for each in rest}
            world.cut(['h0'], ['h1'])
            world.start('h1')
            world.run(0.4)
            world.cuts.remove(frozenset({'h0', 'h2'}))
            world.cut(['h2'], ['h1', 'h3', 'h4'])
            world.run(1.5)
            world.cuts.clear()
            world.run(1.0)

    def move_twice(self) -> None:
        """A target that is cut off loses slots that move on at once."""
        for number in range(3):
            for second in range(3):
                self.isolate(number, second, False)

    def restart_after_release(self) -> None:
        """A target releases slots, restarts and hears an isolated host."""
        for number in range(3):
            self.isolate(number, None, True)

    def isolate(
        self, number: int, second: int | None, restarted: bool
    ) -> None:
        for seed in range(6):
            world = driver.World(3, False, seed)
            world.fenced = frozenset(world.targets)
            world.run(3.0)
            name = world.targets[number]
            rest = [*world.hosts, driver.STORE]
            host = hashing.rendezvous(name, world.hosts, 1)[0]
            world.cut([host], rest)
            world.eager = True
            if second is not None:
                world.cut([each for each in rest if each != host], [name])
            world.file_drain(frozenset({name}))
            world.run(0.2 if restarted else 0.1)
            if second is not None:
                drained = frozenset({name, world.targets[second]})
                world.file_drain(drained)
            if restarted:
                world.start(name)
            world.run(2.0)

    def compare(self, schedule: typing.Any, name: str, fault: typing.Any):
        schedule()
        module = cell_record if fault is without_unresolved else quorum
        with mock.patch.object(module, name, fault):
            with self.assertRaises(driver.Violation):
                schedule()

    def test_promises_are_held_at_one_moment(self) -> None:
        self.compare(self.promise_and_restart, '_held_since', each_heard)

    def test_second_move_names_no_previous_owner(self) -> None:
        self.compare(self.move_twice, '_previous_target', without_unresolved)

    def test_release_waits_for_an_exclusive_version(self) -> None:
        self.compare(
            self.restart_after_release, 'exclusive_version', adopted_only
        )
