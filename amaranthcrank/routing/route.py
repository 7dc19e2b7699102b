"""From a key to its slot and home cell.

The home cell follows from the ticket alone. Within the home cell the record
decides whether the key has a slot of its own, so that a pin takes effect
under a fence like any other move.
"""

import typing

from amaranthcrank.core import hashing
from amaranthcrank.core import model


class ServiceTable(typing.NamedTuple):
    """Where the slots of one service have their home.

    Attributes:
      slots: The number of slots.
      cell_by_slot: The home cell of each slot, empty where a range is missing.
    """

    slots: int
    cell_by_slot: tuple[str, ...]


def build_tables(
    state: dict[str, typing.Any],
) -> dict[str, ServiceTable]:
    """Build the routing tables of a ticket state.

    Args:
      state: The complete configuration of a ticket.

    Returns:
      The table of each service by its name.
    """
    table_by_service = {}
    for service, section in state['services'].items():
        cells = [''] * section['slots']
        for each in section['ranges']:
            span = range(each['from'], each['to'])
            for slot in span:
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
      The route, or None where the service or the range is unknown.
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
    """Choose between a key's own slot and its hash slot.

    Args:
      record: The cell record in force at this host.
      home: The route by hash.
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
    """Name the region of a cell, empty where the cell is unknown."""
    return state['cells'].get(cell, {}).get('region', '')
