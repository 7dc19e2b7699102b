"""Measure imbalance and churn of slot plans against two baselines.

Prints one JSON line for each figure: key imbalance (max over mean of keys
per target) and churn (keys moved over the least number needed).
"""

import random

from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.plan import assignment
from tools import measuring

SERVICE = 'soaklog'
SLOTS = 256
KEYS = 20_000
TARGETS = 10
HOT_KEYS = 27
# Each hot key stands for this many requests of an ordinary key.
HOT_WEIGHT = 200
SEED = 1


def targets_of(names: list[str]) -> tuple[model.Target, ...]:
    """Make targets of equal capacity."""
    return tuple(
        model.Target(each, SERVICE, 'c', '', 3, 110, True, False)
        for each in names
    )


def by_modulo(keys: list[str], names: list[str]) -> dict[str, str]:
    """Place each key by the remainder of its hash."""
    return {
        key: names[hashing.slot_of(SERVICE, key, len(names))] for key in keys
    }


def by_rendezvous(keys: list[str], names: list[str]) -> dict[str, str]:
    """Place each key by the highest random weight."""
    placed = {}
    for key in keys:
        placed[key] = max(
            names, key=lambda name: hashing.slot_of(name, key, 1 << 62)
        )
    return placed


class SlotPlan:
    """Places keys by slots and keeps the owners between changes."""

    def __init__(self) -> None:
        self.assignment_by_slot: dict[model.SlotId, model.Assignment] = {}
        self.version = 1
        self.pins: dict[str, str] = {}

    def place(self, keys: list[str], names: list[str]) -> dict[str, str]:
        self.version += 1
        wanted = frozenset(model.SlotId(SERVICE, n) for n in range(SLOTS))
        slot_by_pin = {
            key: model.SlotId(SERVICE, SLOTS + position)
            for position, key in enumerate(sorted(self.pins))
        }
        pins = {slot_by_pin[key]: self.pins[key] for key in self.pins}
        self.assignment_by_slot, _ = assignment.plan_slots(
            self.assignment_by_slot,
            wanted,
            targets_of(names),
            pins,
            frozenset(),
            self.version,
        )
        placed = {}
        for key in keys:
            number = hashing.slot_of(SERVICE, key, SLOTS)
            slot_id = slot_by_pin.get(key, model.SlotId(SERVICE, number))
            placed[key] = self.assignment_by_slot[slot_id].target
        return placed


def imbalance(
    placed: dict[str, str], names: list[str], weight: dict[str, int]
) -> float:
    """Return the load of the fullest target over the mean."""
    load = dict.fromkeys(names, 0)
    for key, name in placed.items():
        load[name] += weight.get(key, 1)
    return max(load.values()) * len(names) / sum(load.values())


def churn(old: dict[str, str], new: dict[str, str], names: list[str]) -> float:
    """Return the keys that moved over those that had to.

    Keys of targets that are gone have to move; when targets join, each must
    get its share of the keys.
    """
    moved = sum(1 for key in old if old[key] != new[key])
    gone = sum(1 for key in old if old[key] not in names)
    joined = len(set(names) - set(old.values()))
    necessary = max(gone, joined * len(old) // len(names))
    return moved / necessary


def spread_pins(
    weight: dict[str, int], placed: dict[str, str], names: list[str]
) -> dict[str, str]:
    """Pin hot keys, each to the target with the least load so far."""
    load = dict.fromkeys(names, 0)
    for key, name in placed.items():
        if key not in weight:
            load[name] += 1
    pins = {}
    for key in sorted(weight):
        name = min(names, key=lambda each: (load[each], each))
        pins[key] = name
        load[name] += weight[key]
    return pins


def report(method: str, event: str, figure: str, value: float) -> None:
    """Print one figure."""
    setup = f'{method}; {event}; {KEYS} keys, {TARGETS} targets'
    unit = 'keys' if figure == 'keys moved' else 'ratio'
    measuring.emit(f'{figure}, {event}, {method}', value, unit, setup)


def main() -> None:
    """Measure joins, leaves and hot keys for each method."""
    keys = [f'furnace-{number}' for number in range(KEYS)]
    names = [f'soaklog-{number:02}' for number in range(TARGETS)]
    events = {
        'join': [*names, 'soaklog-10'],
        'leave': [each for each in names if each != 'soaklog-04'],
    }
    chosen = random.Random(SEED).sample(keys, HOT_KEYS)
    weight = dict.fromkeys(chosen, HOT_WEIGHT)
    for method in ('modulo', 'rendezvous', 'slots'):
        for event, changed in events.items():
            plan = SlotPlan()
            place = {
                'modulo': by_modulo,
                'rendezvous': by_rendezvous,
                'slots': plan.place,
            }[method]
            old = place(keys, names)
            new = place(keys, changed)
            report(method, event, 'imbalance', imbalance(new, changed, {}))
            report(method, event, 'churn', churn(old, new, changed))
        plan = SlotPlan()
        place = {
            'modulo': by_modulo,
            'rendezvous': by_rendezvous,
            'slots': plan.place,
        }[method]
        old = place(keys, names)
        report(method, 'hot keys', 'imbalance', imbalance(old, names, weight))
        if method == 'slots':
            plan.pins = spread_pins(weight, old, names)
            new = plan.place(keys, names)
            value = imbalance(new, names, weight)
            report('slots with pins', 'hot keys', 'imbalance', value)
            moved = sum(1 for key in old if old[key] != new[key])
            report('slots with pins', 'hot keys', 'keys moved', moved)


if __name__ == '__main__':
    main()
