"""Which slots a ticket moves between cells, and when they may be taken."""

import typing

from amaranthcrank.core import model


class Settlement(typing.NamedTuple):
    """What a cell may do for the ticket it has applied.

    Attributes:
      drop: Slots in its record that the ticket gives to other cells.
      wanted: Slots that the ticket gives to this cell.
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
