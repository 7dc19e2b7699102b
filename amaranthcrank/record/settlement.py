"""Plans how slots move between cells after a ticket.

A cell first drops the slots that a ticket takes from it. Once no grant of
them can be in force any more, it sets settled_ticket in its record. A cell
that gains slots takes them only when the records of all other cells,
except lost ones, are settled.
"""

from collections import abc
import typing

from amaranthcrank.core import hashing
from amaranthcrank.core import model


class SettlementPlan(typing.NamedTuple):
    """The changes that a cell may make for a ticket.

    Attributes:
      drop: Slots in its record that the ticket does not assign to it.
      wanted: Slots that the ticket assigns to it, including pinned ones.
      take: Wanted slots that are not in its record and may be taken now.
      raise_settled: Whether settled_ticket may be set to the ticket now.
      missing: Cells without a record; an empty one must be created with the
        number of the ticket.
      waiting_for: Cells whose record is not settled yet.
    """

    drop: tuple[model.SlotId, ...]
    wanted: frozenset[model.SlotId]
    take: tuple[model.SlotId, ...]
    raise_settled: bool
    missing: tuple[str, ...]
    waiting_for: tuple[str, ...]


class RemappedSlots(typing.NamedTuple):
    """Slots whose keys change because pins were added or removed.

    Attributes:
      gaining: Slots that get a key from another slot. They wait until the
        owner of the other slot can no longer serve the key, even if their
        own owner stays.
      losing: Slots that lose a key to a pin. They get a new fence
        immediately, so that their owner refuses a delayed request for the
        key.
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
    """Return the changes that a cell may make for a ticket.

    The record must be based on the ticket (planned_ticket) and be effective
    before settled_ticket is raised. Only then does no host of this cell hold
    a host lease with the older ranges, and no upstream a grant based on them.

    Args:
      cell: This cell.
      ticket: The number of the newest ticket.
      ticket_state: The complete state after this ticket.
      record: The newest record of this cell.
      effective: The effective version known to this host.
      settled_by_cell: settled_ticket of each other record in the store, read
        after this ticket was known. Cells without a record are not in it.

    Returns:
      The plan. Slots to take are added to those in the record; they do not
      replace them.
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
    # A slot that this cell dropped itself may still be granted by a host at an
    # older version, so this record must be effective as well.
    may_take = not waiting_for and (
        record.version == 1 or record.version <= effective
    )
    drop = held - wanted
    return SettlementPlan(
        drop=tuple(sorted(drop)),
        wanted=wanted,
        take=tuple(sorted(absent)) if may_take else (),
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
    """Return whether some record is based on a newer ticket.

    A host that becomes the acting controller may know only an older ticket.
    With that ticket it would take back slots that its cell has dropped and
    that other cells may hold.

    Args:
      ticket: The number of the newest ticket known.
      record: The newest record of this cell.
      settled_by_cell: settled_ticket of each other record.

    Returns:
      True if nothing may be planned until the newer ticket is known.
    """
    ticket_numbers = (
        record.planned_ticket,
        record.settled_ticket,
        *settled_by_cell.values(),
    )
    return max(ticket_numbers) > ticket


def home_slots(
    ticket_state: dict[str, typing.Any], cell: str
) -> frozenset[model.SlotId]:
    """Return the slots that a ticket assigns to a cell.

    A pinned key stays in the cell of its hash slot, so that a pin never moves
    a key between cells.

    Args:
      ticket_state: The complete state.
      cell: The cell.

    Returns:
      The slots, including pinned ones.
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
      The target of each pinned slot.
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
    """Return the pins that no other cell can hold.

    A pinned key moves between cells with its hash slot. The cell that holds
    the hash slot is the only one that holds the key, so a new pin in it need
    not wait for other cells.

    Args:
      target_by_slot: The result of pinned_slots.
      slots: The slots that the cell keeps or may take now.

    Returns:
      The pins whose pinned slot or hash slot is in slots.
    """
    placeable = {}
    for slot_id, target in target_by_slot.items():
        if slot_id in slots or _hash_slot(slot_id) in slots:
            placeable[slot_id] = target
    return placeable


def remapped_slots(
    record: model.CellRecord, pins: abc.Collection[model.SlotId]
) -> RemappedSlots:
    """Return the slots whose keys change with the pins of a ticket.

    Args:
      record: The current record.
      pins: The pinned slots of the newest ticket.

    Returns:
      The slots to pass to cell_record.with_assignments.
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
