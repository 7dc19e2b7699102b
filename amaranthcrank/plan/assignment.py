"""Which target owns each slot of a cell."""

from amaranthcrank.core import model

Assignments = dict[model.SlotId, model.Assignment]


def plan_slots(
    assignment_by_slot: Assignments,
    wanted_slots: frozenset[model.SlotId],
    targets: tuple[model.Target, ...],
    pins: dict[model.SlotId, str],
    down: frozenset[str],
    version: int,
) -> tuple[Assignments, tuple[model.SlotId, ...]]:
    """Give every wanted slot an owner with the fewest moves.

    Args:
      assignment_by_slot: The owners now.
      wanted_slots: The slots of this cell, without pinned ones.
      targets: The targets of this cell.
      pins: The target of each pinned key's slot.
      down: Targets that do not answer or say that they drain.
      version: The record version that the plan is for.

    Returns:
      The owners and the slots whose owner changed, sorted. A slot for which
      no target is usable keeps its owner; with no owner it is left out. The
      plan fixes owners only; cell_record.with_assignments decides which
      previous owner may shorten the wait.
    """
    target_by_slot: dict[model.SlotId, str] = {}
    for service in sorted({each.service for each in (*wanted_slots, *pins)}):
        usable = {}
        for target in targets:
            if target.service != service or target.draining:
                continue
            if target.target not in down:
                usable[target.target] = target.slots
        slots = sorted(each for each in wanted_slots if each[0] == service)
        target_by_slot.update(_spread(assignment_by_slot, slots, usable))
        target_by_slot.update(
            _place_pins(assignment_by_slot, service, usable, pins)
        )
    planned = {}
    moves = []
    for slot_id, target in target_by_slot.items():
        old = assignment_by_slot.get(slot_id)
        if old and old.target == target:
            planned[slot_id] = old
            continue
        previous = old.target if old else ''
        planned[slot_id] = model.Assignment(target, version, previous)
        moves.append(slot_id)
    return planned, tuple(sorted(moves))


def necessary_moves(
    assignment_by_slot: Assignments,
    wanted_slots: frozenset[model.SlotId],
    targets: tuple[model.Target, ...],
    down: frozenset[str],
) -> int:
    """Return a lower bound of the moves that any balanced plan needs.

    Args:
      assignment_by_slot: The owners now.
      wanted_slots: The slots of this cell, without pinned ones.
      targets: The targets of this cell.
      down: Targets that are not usable.

    Returns:
      The slots without a usable owner, plus those that no target may keep;
      or, if more, the slots that targets below their share must get.
    """
    total = 0
    for service in {each.service for each in wanted_slots}:
        usable = {
            each.target: each.slots
            for each in targets
            if each.service == service
            and not each.draining
            and each.target not in down
        }
        if not usable:
            continue
        slots = [each for each in wanted_slots if each.service == service]
        kept = _kept(assignment_by_slot, slots, usable)
        surplus = 0
        deficit = 0
        capacity = sum(usable.values())
        for target, weight in usable.items():
            share, rest = divmod(len(slots) * weight, capacity)
            surplus += max(0, len(kept[target]) - share - bool(rest))
            deficit += max(0, share - len(kept[target]))
        homeless = len(slots) - sum(len(each) for each in kept.values())
        total += max(homeless + surplus, deficit)
    return total


def _spread(
    assignment_by_slot: Assignments,
    slots: list[model.SlotId],
    usable: dict[str, int],
) -> dict[model.SlotId, str]:
    """Place the slots of one service."""
    if not usable:
        return _unchanged(assignment_by_slot, slots)
    kept = _kept(assignment_by_slot, slots, usable)
    quota = _quotas(len(slots), usable, kept)
    target_by_slot = {}
    for target, owned in kept.items():
        for slot_id in owned[: quota[target]]:
            target_by_slot[slot_id] = target
    homeless = [each for each in slots if each not in target_by_slot]
    for target in sorted(usable):
        room = quota[target] - min(quota[target], len(kept[target]))
        for slot_id in homeless[:room]:
            target_by_slot[slot_id] = target
        homeless = homeless[room:]
    return target_by_slot


def _quotas(
    count: int, usable: dict[str, int], kept: dict[str, list[model.SlotId]]
) -> dict[str, int]:
    """Share slots out in proportion to capacity.

    Each target gets its share rounded down or up. Targets that hold more
    than their share are rounded up first, which saves a move each.
    """
    capacity = sum(usable.values())
    quota = {}
    order = []
    for target, weight in usable.items():
        share, rest = divmod(count * weight, capacity)
        quota[target] = share
        if rest:
            order.append((len(kept[target]) <= share, -rest, target))
    left = count - sum(quota.values())
    for _, _, target in sorted(order)[:left]:
        quota[target] += 1
    return quota


def _kept(
    assignment_by_slot: Assignments,
    slots: list[model.SlotId],
    usable: dict[str, int],
) -> dict[str, list[model.SlotId]]:
    kept: dict[str, list[model.SlotId]] = {each: [] for each in usable}
    for slot_id in slots:
        old = assignment_by_slot.get(slot_id)
        if old and old.target in kept:
            kept[old.target].append(slot_id)
    return kept


def _place_pins(
    assignment_by_slot: Assignments,
    service: str,
    usable: dict[str, int],
    pins: dict[model.SlotId, str],
) -> dict[model.SlotId, str]:
    """Place pinned keys on their targets.

    While its target is not usable, a pinned key stays with another usable
    owner or goes to the target with the fewest pins.
    """
    placed = {}
    count = dict.fromkeys(usable, 0)
    waiting = []
    for slot_id in sorted(each for each in pins if each.service == service):
        if pins[slot_id] not in usable:
            waiting.append(slot_id)
            continue
        placed[slot_id] = pins[slot_id]
        count[pins[slot_id]] += 1
    if not usable:
        return _unchanged(assignment_by_slot, waiting)
    for slot_id in waiting:
        old = assignment_by_slot.get(slot_id)
        target = min(usable, key=lambda each: (count[each], each))
        if old and old.target in usable:
            target = old.target
        placed[slot_id] = target
        count[target] += 1
    return placed


def _unchanged(
    assignment_by_slot: Assignments, slots: list[model.SlotId]
) -> dict[model.SlotId, str]:
    return {
        each: assignment_by_slot[each].target
        for each in slots
        if each in assignment_by_slot
    }
