"""Which slots a ticket moves between cells, and when they may be taken."""

from collections import abc
import typing

from amaranthcrank.core import hashing
from amaranthcrank.core import model


class SettlementPlan(typing.NamedTuple):
    """What a cell may do for the ticket it has applied.

    Attributes:
      drop: Slots in its record that the ticket does not give it.
      wanted: Slots that the ticket gives to this cell, pinned ones too.
      take: Wanted slots that are not in its record and may be taken now.
      raise_settled: Whether settled_ticket may be set to the ticket now.
      missing: Cells whose record must be created empty with the ticket.
      waiting_for: Cells whose record is not settled yet.
    """

    drop: tuple[model.SlotId, ...]
    wanted: frozenset[model.SlotId]
    take: tuple[model.SlotId, ...]
    raise_settled: bool
    missing: tuple[str, ...]
    waiting_for: tuple[str, ...]


class RemappedSlots(typing.NamedTuple):
    """Slots whose keys change because pins come or go.

    Attributes:
      gaining: Slots that get a key from another slot. They wait until the
        other slot's owner has let the key go, even if their owner stays.
      losing: Slots that lose a key to a pin. They get a new fence at once, so
        that a delayed request for the key is refused by their owner.
    """

    gaining: frozenset[model.SlotId]
    losing: frozenset[model.SlotId]


def plan_settlement(
    cell: str,
    ticket: int,
    ticket_state: dict[str, typing.Any],
    record: model.CellRecord,
    effective: int,
    settled_by_cell: dict[str, int],
) -> SettlementPlan:
    """Decide what a cell may do for a ticket.

    A record must follow the ticket (planned_ticket) and be effective before
    settled_ticket is raised: only then has no host of this cell a lease
    with the older ranges, and no upstream a grant from one.

    Args:
      cell: This cell.
      ticket: The number of the newest ticket.
      ticket_state: The complete state after it.
      record: The newest record of this cell.
      effective: The effective version known to this host.
      settled_by_cell: settled_ticket of each other record in the store, read
        after this ticket was known; cells without a record are left out.

    Returns:
      What is due now. Slots to take are in the next version's plan only
      together with those in the record.
    """
    wanted = home_slots(ticket_state, cell)
    held = frozenset(record.assignment_by_slot)
    missing = []
    waiting_for = []
    lost = ticket_state['lost_cells']
    for other in sorted({*ticket_state['cells'], *settled_by_cell}):
        if other == cell or other in lost:
            continue
        settled = settled_by_cell.get(other)
        if settled is None:
            missing.append(other)
        if settled is None or settled < ticket:
            waiting_for.append(other)
    absent = wanted - held
    # A slot that this cell has dropped itself may still be granted by a host
    # at the version before, so the record must be effective here as well.
    free = not waiting_for and (
        record.version == 1 or record.version <= effective
    )
    drop = held - wanted
    return SettlementPlan(
        drop=tuple(sorted(drop)),
        wanted=wanted,
        take=tuple(sorted(absent)) if free else (),
        raise_settled=(
            not drop
            and record.settled_ticket < ticket
            and record.planned_ticket >= ticket
            and (record.version == 1 or record.version <= effective)
        ),
        missing=tuple(missing) if absent else (),
        waiting_for=tuple(waiting_for) if absent else (),
    )


def is_ticket_outdated(
    ticket: int,
    record: model.CellRecord,
    settled_by_cell: dict[str, int],
) -> bool:
    """Tell whether cells have followed a newer ticket than the one known.

    A host that begins to act may know an older ticket. By it, the host would
    take back slots that its cell has dropped and others may hold.

    Args:
      ticket: The number of the newest ticket known.
      record: The newest record of this cell.
      settled_by_cell: settled_ticket of each other record.

    Returns:
      True when nothing may be planned before the newer ticket is known.
    """
    followed = (
        record.planned_ticket,
        record.settled_ticket,
        *settled_by_cell.values(),
    )
    return max(followed) > ticket


def home_slots(
    ticket_state: dict[str, typing.Any], cell: str
) -> frozenset[model.SlotId]:
    """Return the slots that a ticket gives to a cell.

    A pinned key stays in the cell of the slot that its hash maps to, so that
    a pin never moves a key between cells.

    Args:
      ticket_state: The complete state.
      cell: The cell.

    Returns:
      Its slots, pinned ones too.
    """
    slots = set()
    for service, section in ticket_state['services'].items():
        numbers = set()
        for each in section['ranges']:
            if each['cell'] == cell:
                numbers.update(range(each['from'], each['to']))
        slots.update(model.SlotId(service, each) for each in numbers)
        for pinned in _target_by_pinned_slot(service, section):
            if _hash_slot(pinned).slot in numbers:
                slots.add(pinned)
    return frozenset(slots)


def pinned_slots(
    ticket_state: dict[str, typing.Any], cell: str
) -> dict[model.SlotId, str]:
    """Return the target of each pinned key of a cell.

    Args:
      ticket_state: The complete state.
      cell: The cell.

    Returns:
      Target by pinned slot, as plan_slots takes it.
    """
    wanted = home_slots(ticket_state, cell)
    target_by_slot = {}
    for service, section in ticket_state['services'].items():
        for slot_id, target in _target_by_pinned_slot(
            service, section
        ).items():
            if slot_id in wanted:
                target_by_slot[slot_id] = target
    return target_by_slot


def placeable_pins(
    target_by_slot: dict[model.SlotId, str],
    slots: abc.Collection[model.SlotId],
) -> dict[model.SlotId, str]:
    """Leave out pins that another cell may still hold.

    A pinned key comes to a cell with its hash slot. A cell that holds the
    hash slot is the only one to hold the key, so a new pin there need not
    wait for other cells.

    Args:
      target_by_slot: What pinned_slots returned.
      slots: The slots that the cell keeps or may take now.

    Returns:
      The pins whose own slot or hash slot is among them.
    """
    placeable = {}
    for slot_id, target in target_by_slot.items():
        if slot_id in slots or _hash_slot(slot_id) in slots:
            placeable[slot_id] = target
    return placeable


def remapped_slots(
    record: model.CellRecord, pins: abc.Collection[model.SlotId]
) -> RemappedSlots:
    """Return the slots that other keys map to with new pins.

    Args:
      record: The record held.
      pins: The pinned slots of the newest ticket.

    Returns:
      The slots, for cell_record.with_assignments.
    """
    held = set()
    for slot_id in record.assignment_by_slot:
        if hashing.is_pinned_slot(slot_id.slot):
            held.add(slot_id)
    added = set(pins) - held
    removed = held - set(pins)
    gaining = frozenset(added | {_hash_slot(each) for each in removed})
    losing = frozenset(_hash_slot(each) for each in added) - gaining
    return RemappedSlots(gaining, losing)


def _hash_slot(pinned: model.SlotId) -> model.SlotId:
    return model.SlotId(pinned.service, hashing.base_slot_number(pinned.slot))


def _target_by_pinned_slot(
    service: str, section: dict[str, typing.Any]
) -> dict[model.SlotId, str]:
    """Return the target of each pinned slot of a service."""
    target_by_slot = {}
    for key, target in section['pins'].items():
        number = hashing.pinned_slot_number(service, key, section['slots'])
        target_by_slot[model.SlotId(service, number)] = target
    return target_by_slot
