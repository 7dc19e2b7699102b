"""Measures how slots distribute keys, compared with two other methods.

Prints one line of JSON for each figure: imbalance (maximum over mean of the
keys per target) and churn (keys moved over the least number necessary).
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
# The load of a hot key, as a multiple of that of an ordinary key.
HOT_WEIGHT = 200
SEED = 1


def make_targets(target_names: list[str]) -> tuple[model.Target, ...]:
    """Make targets of equal capacity."""
    return tuple(
        model.Target(each, SERVICE, 'c', '', 3, 110, True, False)
        for each in target_names
    )


def place_by_modulo(
    keys: list[str], target_names: list[str]
) -> dict[str, str]:
    """Assign each key by its hash modulo the number of targets."""
    return {
        key: target_names[hashing.slot_of(SERVICE, key, len(target_names))]
        for key in keys
    }


def place_by_rendezvous(
    keys: list[str], target_names: list[str]
) -> dict[str, str]:
    """Assign each key by rendezvous hashing (highest random weight)."""
    target_by_key = {}
    for key in keys:
        target_by_key[key] = max(
            target_names, key=lambda name: hashing.slot_of(name, key, 1 << 62)
        )
    return target_by_key


class SlotPlacement:
    """Assigns keys by slots; a change of targets starts from the last owners.

    Attributes:
      assignment_by_slot: The last assignment of the slots.
      version: The last version of the assignment.
      pins: The target of each pinned key.
    """

    def __init__(self) -> None:
        self.assignment_by_slot: dict[model.SlotId, model.Assignment] = {}
        self.version = 1
        self.pins: dict[str, str] = {}

    def place(
        self, keys: list[str], target_names: list[str]
    ) -> dict[str, str]:
        """Plan the slots for these targets; returns the target of each key."""
        self.version += 1
        slot_ids = frozenset(model.SlotId(SERVICE, n) for n in range(SLOTS))
        slot_by_pinned_key = {
            key: model.SlotId(SERVICE, SLOTS + position)
            for position, key in enumerate(sorted(self.pins))
        }
        pins = {slot_by_pinned_key[key]: self.pins[key] for key in self.pins}
        self.assignment_by_slot, _ = assignment.plan_slots(
            self.assignment_by_slot,
            slot_ids,
            make_targets(target_names),
            pins,
            frozenset(),
            self.version,
        )
        target_by_key = {}
        for key in keys:
            number = hashing.slot_of(SERVICE, key, SLOTS)
            slot_id = slot_by_pinned_key.get(
                key, model.SlotId(SERVICE, number)
            )
            target_by_key[key] = self.assignment_by_slot[slot_id].target
        return target_by_key


def imbalance(
    target_by_key: dict[str, str],
    target_names: list[str],
    weight_by_key: dict[str, int],
) -> float:
    """Return the highest load of a target over the mean load."""
    load_by_target = dict.fromkeys(target_names, 0)
    for key, name in target_by_key.items():
        load_by_target[name] += weight_by_key.get(key, 1)
    return (
        max(load_by_target.values())
        * len(target_names)
        / sum(load_by_target.values())
    )


def churn(
    old_target_by_key: dict[str, str],
    new_target_by_key: dict[str, str],
    target_names: list[str],
) -> float:
    """Return the number of keys that moved over the least number necessary.

    The keys of removed targets have to move, and each target that joins has to
    get its share of the keys.
    """
    moved_count = sum(
        1
        for key in old_target_by_key
        if old_target_by_key[key] != new_target_by_key[key]
    )
    from_removed = sum(
        1
        for key in old_target_by_key
        if old_target_by_key[key] not in target_names
    )
    joined_count = len(set(target_names) - set(old_target_by_key.values()))
    necessary_count = max(
        from_removed,
        joined_count * len(old_target_by_key) // len(target_names),
    )
    return moved_count / necessary_count


def choose_pins(
    weight_by_key: dict[str, int],
    target_by_key: dict[str, str],
    target_names: list[str],
) -> dict[str, str]:
    """Pin each hot key to the target with the least load so far."""
    load_by_target = dict.fromkeys(target_names, 0)
    for key, name in target_by_key.items():
        if key not in weight_by_key:
            load_by_target[name] += 1
    pins = {}
    for key in sorted(weight_by_key):
        name = min(target_names, key=lambda each: (load_by_target[each], each))
        pins[key] = name
        load_by_target[name] += weight_by_key[key]
    return pins


def report(method: str, event: str, figure: str, value: float) -> None:
    """Print one figure."""
    setup = f'{method}; {event}; {KEYS} keys, {TARGETS} targets'
    unit = 'keys' if figure == 'keys moved' else 'ratio'
    measuring.emit(f'{figure}, {event}, {method}', value, unit, setup)


def main() -> None:
    """Measure each method when a target joins or leaves and with hot keys."""
    keys = [f'furnace-{number}' for number in range(KEYS)]
    target_names = [f'soaklog-{number:02}' for number in range(TARGETS)]
    names_by_event = {
        'join': [*target_names, 'soaklog-10'],
        'leave': [each for each in target_names if each != 'soaklog-04'],
    }
    hot_keys = random.Random(SEED).sample(keys, HOT_KEYS)
    weight_by_key = dict.fromkeys(hot_keys, HOT_WEIGHT)
    for method in ('modulo', 'rendezvous', 'slots'):
        for event, changed_names in names_by_event.items():
            placement = SlotPlacement()
            place = {
                'modulo': place_by_modulo,
                'rendezvous': place_by_rendezvous,
                'slots': placement.place,
            }[method]
            old_target_by_key = place(keys, target_names)
            new_target_by_key = place(keys, changed_names)
            report(
                method,
                event,
                'imbalance',
                imbalance(new_target_by_key, changed_names, {}),
            )
            report(
                method,
                event,
                'churn',
                churn(old_target_by_key, new_target_by_key, changed_names),
            )
        placement = SlotPlacement()
        place = {
            'modulo': place_by_modulo,
            'rendezvous': place_by_rendezvous,
            'slots': placement.place,
        }[method]
        old_target_by_key = place(keys, target_names)
        report(
            method,
            'hot keys',
            'imbalance',
            imbalance(old_target_by_key, target_names, weight_by_key),
        )
        if method == 'slots':
            placement.pins = choose_pins(
                weight_by_key, old_target_by_key, target_names
            )
            new_target_by_key = placement.place(keys, target_names)
            value = imbalance(new_target_by_key, target_names, weight_by_key)
            report('slots with pins', 'hot keys', 'imbalance', value)
            moved_count = sum(
                1
                for key in old_target_by_key
                if old_target_by_key[key] != new_target_by_key[key]
            )
            report('slots with pins', 'hot keys', 'keys moved', moved_count)


if __name__ == '__main__':
    main()
