"""Stateful fuzzing of the ownership rules (section 4.1 of the design)."""

import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from amaranthcrank.grant import standing
from proofs import driver

SHAPES = ((2, False), (2, True), (3, False), (5, False))
STEPS = 14
HOST = strategies.integers(0, 4)
TARGET = strategies.integers(0, 2)
MASK = strategies.integers(0, 31)
SECONDS = strategies.sampled_from((0.03, 0.1, 0.25, 0.5, 0.9, 1.6))
HEALED = strategies.sampled_from((True, True, False))
FEW = strategies.sampled_from((0, 0, 0, 1, 2, 4, 8, 16))
SEED = strategies.integers(0, 65535)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Faults in any order; the driver raises Violation."""

    shapes: typing.ClassVar = SHAPES
    challenge_time = True

    def __init__(self) -> None:
        super().__init__()
        self.world = driver.World(3, False, 0)

    @stateful.initialize(shape=MASK, seed=SEED, fenced=MASK)
    def begin(self, shape: int, seed: int, fenced: int) -> None:
        count, third = self.shapes[shape % len(self.shapes)]
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
            if process.view_by_target[target].offered:
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
        healed=HEALED,
        moved=strategies.booleans(),
        alone=strategies.booleans(),
        second=strategies.booleans(),
        restarted=strategies.booleans(),
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
        early: float,
    ) -> None:
        """Cut off whoever grants a target, while its slots move.

        The slots may move on at once, and the target may restart.
        """
        world = self.world
        self.settle(healed)
        name = self.owner(number)
        host = self.dispatcher(name)
        rest = [*world.members(), driver.STORE]
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
        world.cuts.clear()

    @stateful.rule(
        number=TARGET,
        healed=HEALED,
        alone=strategies.booleans(),
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
        healed=HEALED,
        group=MASK,
        restarted=FEW,
        number=TARGET,
        joined=strategies.booleans(),
        alone=strategies.booleans(),
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

    @stateful.rule(healed=HEALED, number=TARGET, mask=MASK)
    def move_without_records(
        self, healed: bool, number: int, mask: int
    ) -> None:
        """Move slots while heartbeats reach some hosts and records do not."""
        world = self.world
        self.settle(healed)
        chosen = self.chosen(mask)
        world.without_records = frozenset(chosen)
        world.cut(chosen, [driver.STORE])
        self.drain(self.owner(number))
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
    examples: int,
    shapes: tuple[tuple[int, bool], ...] = SHAPES,
    challenge_time: bool = True,
) -> None:
    """Run the machine; shrinking is off to bound the time of a failure."""

    class Machine(OwnershipMachine):
        pass

    Machine.shapes = shapes
    Machine.challenge_time = challenge_time
    settings = hypothesis.settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=STEPS,
        deadline=None,
        database=None,
        phases=(hypothesis.Phase.generate,),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(Machine, settings=settings)


class WholeRuleTest(unittest.TestCase):
    """Guards against two owners, lost assignments and versions that fall."""

    def test_two_hosts(self) -> None:
        run_machine(60, ((2, False),))

    def test_two_hosts_and_third_attester(self) -> None:
        run_machine(60, ((2, True),))

    def test_three_hosts(self) -> None:
        run_machine(60, ((3, False),))

    def test_five_hosts(self) -> None:
        run_machine(60, ((5, False),))
