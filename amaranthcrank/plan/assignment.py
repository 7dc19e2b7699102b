"""Assigns the slots of a cell to targets with few moves."""

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
    """Assign every slot to a target with as few moves as possible.

    Args:
      assignment_by_slot: The current assignments.
      wanted_slots: The slots of this cell, without those of pinned keys.
      targets: The targets of this cell.
      pins: The target of each pinned key's slot.
      down: Targets that do not answer or report that they drain.
      version: The record version that the plan is for.

    Returns:
      The assignments, and the slots whose owner changed, sorted. A slot
      without a usable target keeps its owner; if it has none, it is omitted.
      The plan decides the owners only; cell_record.with_assignments decides
      which previous owner may shorten the wait.
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
        target_by_slot.update(_distribute(assignment_by_slot, slots, usable))
        target_by_slot.update(
            _place_pins(assignment_by_slot, service, usable, pins)
        )
    planned = {}
    moves = []
    for slot_id, target in target_by_slot.items():
        current = assignment_by_slot.get(slot_id)
        if current and current.target == target:
            planned[slot_id] = current
            continue
        previous = current.target if current else ''
        planned[slot_id] = model.Assignment(target, version, previous)
        moves.append(slot_id)
    return planned, tuple(sorted(moves))


def necessary_moves(
    assignment_by_slot: Assignments,
    wanted_slots: frozenset[model.SlotId],
    targets: tuple[model.Target, ...],
    down: frozenset[str],
) -> int:
    """Return a lower bound on the moves that any balanced plan needs.

    Args:
      assignment_by_slot: The current assignments.
      wanted_slots: The slots of this cell, without those of pinned keys.
      targets: The targets of this cell.
      down: Targets that are not usable.

    Returns:
      The larger of two numbers: the slots without a usable owner plus those
      above their owners' shares, and the slots that targets below their
      shares must get.
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
        kept = _kept_slots(assignment_by_slot, slots, usable)
        surplus = 0
        deficit = 0
        capacity = sum(usable.values())
        for target, weight in usable.items():
            share, rest = divmod(len(slots) * weight, capacity)
            surplus += max(0, len(kept[target]) - share - bool(rest))
            deficit += max(0, share - len(kept[target]))
        unassigned = len(slots) - sum(len(each) for each in kept.values())
        total += max(unassigned + surplus, deficit)
    return total


def _distribute(
    assignment_by_slot: Assignments,
    slots: list[model.SlotId],
    usable: dict[str, int],
) -> dict[model.SlotId, str]:
    """Assign the slots of one service, without those of pinned keys."""
    if not usable:
        return _current_targets(assignment_by_slot, slots)
    kept = _kept_slots(assignment_by_slot, slots, usable)
    quota = _quotas(len(slots), usable, kept)
    target_by_slot = {}
    for target, owned in kept.items():
        for slot_id in owned[: quota[target]]:
            target_by_slot[slot_id] = target
    unassigned = [each for each in slots if each not in target_by_slot]
    for target in sorted(usable):
        room = quota[target] - min(quota[target], len(kept[target]))
        for slot_id in unassigned[:room]:
            target_by_slot[slot_id] = target
        unassigned = unassigned[room:]
    return target_by_slot


def _quotas(
    count: int, usable: dict[str, int], kept: dict[str, list[model.SlotId]]
) -> dict[str, int]:
    """Return the number of slots of each target, in proportion to capacity.

    Shares are rounded down or up. Those of targets that own more than their
    share are rounded up first, which saves one move each.
    """
    capacity = sum(usable.values())
    quota = {}
    order = []
    for target, weight in usable.items():
        share, rest = divmod(count * weight, capacity)
        quota[target] = share
        if rest:
            order.append((len(kept[target]) <= share, -rest, target))
    remaining = count - sum(quota.values())
    for _, _, target in sorted(order)[:remaining]:
        quota[target] += 1
    return quota


def _kept_slots(
    assignment_by_slot: Assignments,
    slots: list[model.SlotId],
    usable: dict[str, int],
) -> dict[str, list[model.SlotId]]:
    kept: dict[str, list[model.SlotId]] = {each: [] for each in usable}
    for slot_id in slots:
        current = assignment_by_slot.get(slot_id)
        if current and current.target in kept:
            kept[current.target].append(slot_id)
    return kept


def _place_pins(
    assignment_by_slot: Assignments,
    service: str,
    usable: dict[str, int],
    pins: dict[model.SlotId, str],
) -> dict[model.SlotId, str]:
    """Assign the slots of pinned keys to their targets.

    While its target is not usable, a pinned key stays with its current owner
    if that is usable, or else goes to the target with the fewest pinned keys.
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
        return _current_targets(assignment_by_slot, waiting)
    for slot_id in waiting:
        current = assignment_by_slot.get(slot_id)
        target = min(usable, key=lambda each: (count[each], each))
        if current and current.target in usable:
            target = current.target
        placed[slot_id] = target
        count[target] += 1
    return placed


def _current_targets(
    assignment_by_slot: Assignments, slots: list[model.SlotId]
) -> dict[model.SlotId, str]:
    return {
        each: assignment_by_slot[each].target
        for each in slots
        if each in assignment_by_slot
    }
