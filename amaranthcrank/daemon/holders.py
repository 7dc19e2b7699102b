"""Reports changes of the hosts that hold intents to the ledger."""

from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.daemon import control_state
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.grant import quorum
from amaranthcrank.record import cell_record


def send_holder_changes(
    state: control_state.ControlState,
    old: model.CellRecord | None,
    new: model.CellRecord,
) -> None:
    """Report the slots whose intents have other holders now."""
    kept = []
    gained = []
    for slot, assigned in new.assignment_by_slot.items():
        if hashing.is_pinned_slot(slot.slot):
            continue
        if _is_gained(old, slot, assigned):
            gained.append(slot)
            continue
        kept.append(slot)
    old_hosts = old.hosts if old else ()
    if old and new.hosts_version > old.version + 1:
        # A host list between the two may have been missed.
        old_hosts = ()
    changes = [(tuple(gained), ())]
    if old_hosts != new.hosts:
        changes.append((tuple(kept), old_hosts))
    for slots, hosts in changes:
        message = ledger_actor.HoldersChanged(
            new.version, slots, hosts, new.hosts, False
        )
        state.ledger_ref.tell(message)
        if slots:
            state.pending_holder_changes.append((new.version, message))
    send_adopted_changes(state)


def _is_gained(
    old: model.CellRecord | None,
    slot: model.SlotId,
    assigned: model.Assignment,
) -> bool:
    """Tell whether another cell may have owned the slot since the old record.

    A slot that left the cell and came back has a fence above the version of
    the old record and no known previous owner. So has a slot that moved
    twice; to treat it as gained is only stricter than needed.
    """
    if old is None or slot not in old.assignment_by_slot:
        return True
    owner_unknown = assigned.previous_target in ('', cell_record.UNRESOLVED)
    return assigned.fence > old.version + 1 and owner_unknown


def send_adopted_changes(state: control_state.ControlState) -> None:
    """Report again the changes whose record version is adopted now."""
    if not state.pending_holder_changes:
        return
    adopted = quorum.adopted_version(control_state.own_quorum_state(state))
    waiting = []
    for version, message in state.pending_holder_changes:
        if version > adopted:
            waiting.append((version, message))
            continue
        state.ledger_ref.tell(message._replace(adopted=True))
    state.pending_holder_changes = waiting
