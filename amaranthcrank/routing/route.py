"""Finds the slot and the home cell of a key.

The home cell depends on the ticket only. Within the home cell, the cell record
decides whether a pinned key has a slot of its own, so that a pin takes effect
with a new fence like any other move of a slot.
"""

import typing

from amaranthcrank.core import hashing
from amaranthcrank.core import model


class ServiceTable(typing.NamedTuple):
    """The home cells of the slots of one service.

    Attributes:
      slots: The number of slots.
      cell_by_slot: The home cell of each slot, empty if no range has the slot.
    """

    slots: int
    cell_by_slot: tuple[str, ...]


def build_tables(
    state: dict[str, typing.Any],
) -> dict[str, ServiceTable]:
    """Build the routing tables for a ticket state.

    Args:
      state: The complete configuration of a ticket.

    Returns:
      The routing tables by service.
    """
    table_by_service = {}
    for service, section in state['services'].items():
        cells = [''] * section['slots']
        for each in section['ranges']:
            slots = range(each['from'], each['to'])
            for slot in slots:
                cells[slot] = each['cell']
        table_by_service[service] = ServiceTable(
            section['slots'], tuple(cells)
        )
    return table_by_service


def home_of(
    table_by_service: dict[str, ServiceTable], service: str, key: str
) -> model.Route | None:
    """Find the hash slot and the home cell of a key.

    Args:
      table_by_service: The tables of the ticket in force.
      service: The service.
      key: The key.

    Returns:
      The route, or None if the service is unknown or no range has the slot.
    """
    table = table_by_service.get(service)
    if table is None:
        return None
    slot = hashing.slot_of(service, key, table.slots)
    cell = table.cell_by_slot[slot]
    if not cell:
        return None
    return model.Route(model.SlotId(service, slot), cell, table.slots)


def slot_in_record(
    record: model.CellRecord, home: model.Route, key: str
) -> model.SlotId:
    """Choose between the slot of a pinned key and the hash slot.

    Args:
      record: The cell record in force at this host.
      home: The route by the hash of the key.
      key: The key.

    Returns:
      The slot under which the key is served.
    """
    number = hashing.pinned_slot_number(home.slot.service, key, home.slots)
    pinned = model.SlotId(home.slot.service, number)
    if pinned in record.assignment_by_slot:
        return pinned
    return home.slot


def region_of(state: dict[str, typing.Any], cell: str) -> str:
    """Return the region of a cell, empty if the cell is unknown."""
    return state['cells'].get(cell, {}).get('region', '')
