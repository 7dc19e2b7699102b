"""Which target owns each slot of a cell."""

from amaranthcrank.core import model


def plan_slots(
    assignment_by_slot: dict[model.SlotId, model.Assignment],
    wanted_slots: frozenset[model.SlotId],
    targets: tuple[model.Target, ...],
    pins: dict[model.SlotId, str],
    down: frozenset[str],
    version: int,
) -> tuple[dict[model.SlotId, model.Assignment], tuple[model.SlotId, ...]]:
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
      no target is usable keeps its owner; with no owner it is left out.
    """
    raise NotImplementedError
