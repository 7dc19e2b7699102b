"""Fuzzing of the settlement between cells over the real planning functions.

Tickets move ranges and pins between three cells; each cell learns a ticket,
reads the others' records, writes its own and makes it effective at times of
its own. The oracle follows each key: no two cells may grant its slot at once
(point 1). Hosts of a cell may be at any version from the effective one on.
"""

import types
import typing
import unittest
from unittest import mock

from hypothesis import stateful
from hypothesis import strategies

from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.daemon import controller
from amaranthcrank.grant import grants
from amaranthcrank.record import cell_record
from amaranthcrank.record import settlement
from amaranthcrank.record import tickets
from proofs import machines

SERVICE = 'soaklog'
SLOTS = 4
CELLS = ('a', 'b', 'c')
PINNED = ('k0', 'k1')


class Violation(AssertionError):
    """Two cells may grant one key."""


class Cell:
    """One cell: the versions of its record and its acting controller."""

    def __init__(self, name: str) -> None:
        self.history: list[model.CellRecord] = []
        self.effective = 0
        self.ticket = 0
        self.reads: list[tuple[int, dict[str, model.CellRecord]]] = []
        self.state = types.SimpleNamespace(
            cell=name,
            host=f'h{name}',
            ticket=None,
            ticket_state=None,
            target_by_id={},
            unusable_by_host={},
            other_record_by_cell={},
        )


class World:
    """Cells, tickets, the store and the oracle."""

    def __init__(self) -> None:
        self.states = [state_of((0, 0, 0, 0), (None, None))]
        self.cells = {name: Cell(name) for name in CELLS}
        self.up = True

    def learn(self, name: str) -> None:
        """Let a cell take up the newest ticket."""
        if self.up and self.cells[name].ticket < len(self.states):
            self.take_up(name, len(self.states))

    def replace(self, name: str, behind: int) -> None:
        """Let another host act for a cell, perhaps with an older ticket."""
        self.cells[name].reads.clear()
        if self.cells[name].ticket > behind:
            self.take_up(name, self.cells[name].ticket - behind)

    def take_up(self, name: str, number: int) -> None:
        cell = self.cells[name]
        state = self.states[number - 1]
        cell.ticket = number
        cell.state.ticket = types.SimpleNamespace(number=number)
        cell.state.ticket_state = state
        cell.state.target_by_id = tickets.targets_of(state)
        cell.state.other_record_by_cell = {}

    def read(self, name: str) -> None:
        """Let a cell read the others' records; it hears of them later."""
        cell = self.cells[name]
        if not self.up or not cell.ticket:
            return
        found = {}
        for other in CELLS:
            if other == name:
                continue
            history = self.cells[other].history
            if not history:
                history.append(cell_record.empty_record(other, cell.ticket))
            found[other] = history[-1]
        cell.reads.append((cell.ticket, found))

    def hear(self, name: str) -> None:
        """Take up the oldest reading, unless it was for another ticket."""
        cell = self.cells[name]
        if not cell.reads:
            return
        ticket, found = cell.reads.pop(0)
        if ticket == cell.ticket:
            cell.state.other_record_by_cell = found

    def write(self, name: str) -> None:
        """Write the next version that the ticket asks for."""
        cell = self.cells[name]
        if not self.up or not cell.ticket:
            return
        if not cell.history:
            first = cell_record.first_record(name, (cell.state.host,), None, 0)
            cell.history.append(first)
            return
        record = cell.history[-1]
        agreement = types.SimpleNamespace(record=record)
        due = controller._settlement_plan(
            cell.state, agreement, cell.effective
        )
        following = controller._settled_or_planned_record(
            cell.state, agreement, (), cell.effective, due
        )
        if following is not None:
            cell.history.append(following)
        self.check()

    def make_effective(self, name: str) -> None:
        """Adopt the newest version of a cell and wait."""
        self.cells[name].effective = len(self.cells[name].history)

    def check(self) -> None:
        """Look for a key that two cells may grant."""
        cell_by_key: dict[typing.Any, str] = {}
        for name, cell in self.cells.items():
            for key in held_keys(cell):
                other = cell_by_key.setdefault(key, name)
                if other != name:
                    raise Violation(f'point 1: {key} in {other} and {name}')


def held_keys(cell: Cell) -> set[typing.Any]:
    """Return the hash slots and pinned keys that a cell may grant."""
    held: set[typing.Any] = set()
    for record in cell.history[max(0, cell.effective - 1) :]:
        granted = set()
        for target in {
            each.target for each in record.assignment_by_slot.values()
        }:
            for service, slot, _ in grants.grantable_slots(
                record, target, cell.effective, {}
            ):
                granted.add(model.SlotId(service, slot))
        for slot in granted:
            if not hashing.is_pinned_slot(slot.slot):
                held.add(slot.slot)
        for key in PINNED:
            pin = hashing.pinned_slot_number(SERVICE, key, SLOTS)
            slot = model.SlotId(SERVICE, pin)
            if slot not in record.assignment_by_slot:
                slot = model.SlotId(SERVICE, hashing.base_slot_number(pin))
            if slot in granted:
                held.add(key)
    return held


def state_of(
    homes: tuple[int, ...], pins: tuple[int | None, ...]
) -> tickets.State:
    """Make a state: the home cell of each slot, a target for each pin."""
    ranges = []
    for slot, home in enumerate(homes):
        ranges.append({'cell': CELLS[home], 'from': slot, 'to': slot + 1})
    targets = {}
    for name in CELLS:
        for number in range(2):
            targets[f't{name}{number}'] = {
                'address': '',
                'cell': name,
                'slots': 3,
                'connections': 10,
                'fenced': True,
                'state': tickets.ACTIVE,
            }
    pinned = {}
    for key, number in zip(PINNED, pins, strict=True):
        if number is not None:
            pin = hashing.pinned_slot_number(SERVICE, key, SLOTS)
            home = CELLS[homes[hashing.base_slot_number(pin)]]
            pinned[key] = f't{home}{number}'
    service = {
        'slots': SLOTS,
        'ranges': ranges,
        'targets': targets,
        'pins': pinned,
    }
    return {
        **model.EMPTY_STATE,
        'services': {SERVICE: service},
        'cells': dict.fromkeys(CELLS, {}),
    }


_cell = strategies.sampled_from(CELLS)
_pin = strategies.sampled_from((None, 0, 1))
_homes = strategies.tuples(*[strategies.integers(0, 2)] * SLOTS)


class Machine(stateful.RuleBasedStateMachine):
    """Draws the events."""

    def __init__(self) -> None:
        """Open the model."""
        super().__init__()
        self.world = World()

    @stateful.rule(homes=_homes, pins=strategies.tuples(_pin, _pin))
    def file(
        self, homes: tuple[int, ...], pins: tuple[int | None, ...]
    ) -> None:
        """File a ticket that moves ranges and pins."""
        if self.world.up:
            self.world.states.append(state_of(homes, pins))

    @stateful.rule(up=strategies.sampled_from((True, True, False)))
    def switch_store(self, up: bool) -> None:
        """Begin or end an outage."""
        self.world.up = up

    @stateful.rule(name=_cell)
    def learn(self, name: str) -> None:
        """Take up the newest ticket."""
        self.world.learn(name)

    @stateful.rule(name=_cell, behind=strategies.integers(0, 2))
    def replace(self, name: str, behind: int) -> None:
        """Lose the acting controller; another may have an older ticket."""
        self.world.replace(name, behind)

    @stateful.rule(name=_cell, heard=strategies.booleans())
    def read(self, name: str, heard: bool) -> None:
        """Read the others' records, and perhaps hear of them at once."""
        self.world.read(name)
        if heard:
            self.world.hear(name)

    @stateful.rule(name=_cell)
    def hear(self, name: str) -> None:
        """Hear of a reading."""
        self.world.hear(name)

    @stateful.rule(name=_cell, effective=strategies.booleans())
    def write(self, name: str, effective: bool) -> None:
        """Write the next version, and perhaps make it effective."""
        self.world.write(name)
        if effective:
            self.world.make_effective(name)

    @stateful.rule()
    def settle(self) -> None:
        """Liveness: with a healthy store every cell gets its slots."""
        world = self.world
        world.up = True
        for _ in range(8):
            for name in CELLS:
                world.learn(name)
                world.write(name)
                world.make_effective(name)
                world.read(name)
                while world.cells[name].reads:
                    world.hear(name)
                world.check()
        for name, cell in world.cells.items():
            wanted = settlement.home_slots(world.states[-1], name)
            if frozenset(cell.history[-1].assignment_by_slot) != wanted:
                raise Violation(f'{name} lacks slots of the newest ticket')

    @stateful.invariant()
    def check(self) -> None:
        """Look for a key that two cells may grant."""
        self.world.check()


def _run() -> None:
    """Run the machine the same way with and without a fault."""
    machines.run(Machine, 400, 40)


class ProofTest(unittest.TestCase):
    """Guards against two cells that own one key."""

    def test_all_events(self) -> None:
        """No order of tickets, readings and writes gives two owners."""
        _run()


class FaultTest(unittest.TestCase):
    """The machine finds each fault; ProofTest passes without them."""

    def test_takes_without_waiting_for_settled_tickets(self) -> None:
        """A cell takes slots that another has not let go."""
        settle = settlement.plan_settlement

        def eager(
            cell: str,
            ticket: int,
            *rest: typing.Any,
        ) -> settlement.SettlementPlan:
            settled = dict.fromkeys(set(CELLS) - {cell}, ticket)
            return settle(cell, ticket, *rest[:-1], settled)

        with mock.patch.object(settlement, 'plan_settlement', eager):
            with self.assertRaisesRegex(Violation, 'point 1'):
                _run()

    def test_pins_do_not_wait(self) -> None:
        """A cell places a pin whose hash slot another has not let go."""
        with mock.patch.object(
            settlement, 'placeable_pins', lambda pins, _: pins
        ):
            with self.assertRaisesRegex(Violation, 'point 1: k'):
                _run()

    def test_older_ticket_is_followed(self) -> None:
        """A new acting controller takes back what its cell has dropped."""
        with mock.patch.object(
            settlement, 'is_ticket_outdated', lambda *_: False
        ):
            with self.assertRaisesRegex(Violation, 'point 1'):
                _run()
