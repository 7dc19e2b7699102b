"""What the acting controller of a cell does: one write at a time."""

from amaranthcrank.core import logs
from amaranthcrank.core import model
from amaranthcrank.daemon import control_state
from amaranthcrank.daemon import tasks as tasks_module
from amaranthcrank.grant import quorum
from amaranthcrank.observe import failure_detector
from amaranthcrank.plan import assignment
from amaranthcrank.publish import status
from amaranthcrank.record import cell_record
from amaranthcrank.record import settlement

log = logs.logger('control')

# A host that needs the store's record reads it this often.
READ_INTERVAL_S = 0.3


def perform(
    state: control_state.ControlState, live: tuple[str, ...], now: float
) -> None:
    """Start the write that is due, if one is.

    Args:
      state: The control state.
      live: Hosts of the cell that dispatch.
      now: Monotonic seconds.
    """
    agreement = state.quorum_state_by_cell[state.cell]
    controlling = quorum.acting_controller(agreement, now) == state.host
    state.tasks.controlling = controlling
    state.tasks.settled = agreement.recovered and state.ticket is not None
    if now >= state.next_read_at:
        state.next_read_at = now + READ_INTERVAL_S
        _read_records(state, now)
    if state.writing or agreement.record is None or not agreement.recovered:
        return
    following = _joined(state, agreement)
    if following is None and controlling:
        following = _due_record(state, agreement, live, now)
    if following is not None:
        _write(state, following)


def _read_records(state: control_state.ControlState, now: float) -> None:
    """Read the records that no peer can be relied on to tell of.

    The hosts of a record send heartbeats only to one another. A host that is
    not in it, or was removed from it while it was paused, hears of no newer
    version; it notices by its lack of a lease.
    """
    for cell, agreement in state.quorum_state_by_cell.items():
        informed = (
            cell != state.cell or quorum.host_lease_until(agreement, now) > now
        )
        if not agreement.recovered or not informed:
            tasks_module.read_record(state.tasks, cell)


def create_record(state: control_state.ControlState) -> None:
    """Write version 1 of the cell's record with this host in it."""
    if state.writing:
        return
    _write(
        state,
        cell_record.first_record(
            state.cell, (state.host,), _third_attester(state), 0
        ),
    )


def pack(record: model.CellRecord | None) -> bytes:
    """Encode a record for a frame, empty without one."""
    return cell_record.encode(record) if record else b''


def _write(
    state: control_state.ControlState, following: model.CellRecord
) -> None:
    state.writing = True
    tasks_module.write_record(state.tasks, following)


def _third_attester(state: control_state.ControlState) -> str | None:
    section = state.state['cells'].get(state.cell, {})
    return section.get('attester')


def _joined(
    state: control_state.ControlState, agreement: quorum.QuorumState
) -> model.CellRecord | None:
    """Return the record with this host added, None if it is in it."""
    record = agreement.record
    if state.host in record.hosts or state.leaving:
        return None
    hosts = (*record.hosts, state.host)
    following, _ = cell_record.with_hosts(
        record, hosts, _third_attester(state)
    )
    return following


def _due_record(
    state: control_state.ControlState,
    agreement: quorum.QuorumState,
    live: tuple[str, ...],
    now: float,
) -> model.CellRecord | None:
    """Return the next version that is due, None if none is."""
    record = agreement.record
    if record.previous_attesters:
        if quorum.list_change_in_force(agreement):
            return cell_record.with_attester_change_completed(record)
    following = _without_silent(state, agreement, now)
    if following is not None or state.ticket is None:
        return following
    return _followed_ticket(state, agreement, live, now)


def _followed_ticket(
    state: control_state.ControlState,
    agreement: quorum.QuorumState,
    live: tuple[str, ...],
    now: float,
) -> model.CellRecord | None:
    """Return the next version that the ticket asks for, None if none.

    Planning looks at every slot. It is left out while nothing that it looks
    at has changed, because on every tick it took 1.6% of a core.
    """
    effective = quorum.effective_version(agreement, now)
    seen = (
        agreement.record.version,
        effective,
        state.ticket.number,
        _unusable(state, live),
        state.other_records_number,
    )
    if seen == state.planned_for:
        return None
    due = _settlement(state, agreement, effective)
    if due.missing or due.waiting_for:
        _ask_others(state, due)
    following = _settled_or_planned(state, agreement, live, effective, due)
    if following is None and not due.waiting_for:
        state.planned_for = seen
    return following


def _settled_or_planned(
    state: control_state.ControlState,
    agreement: quorum.QuorumState,
    live: tuple[str, ...],
    effective: int,
    due: settlement.SettlementPlan,
) -> model.CellRecord | None:
    """Return the next version for the known ticket, None if none."""
    record = agreement.record
    ticket = state.ticket.number
    if settlement.is_ticket_outdated(ticket, record, _settled_by_cell(state)):
        return None
    following = _planned(state, agreement, live, effective, due)
    if following is None and due.raise_settled:
        following = cell_record.with_settled_ticket(record, ticket)
    return following


def _without_silent(
    state: control_state.ControlState,
    agreement: quorum.QuorumState,
    now: float,
) -> model.CellRecord | None:
    record = agreement.record
    silent = failure_detector.hosts_to_remove(
        agreement, state.listening_since, now
    )
    hosts = tuple(each for each in record.hosts if each not in silent)
    following, problems = cell_record.with_hosts(
        record, hosts, _third_attester(state)
    )
    if problems or following is record:
        return None
    if silent:
        log.warning('Silent hosts {} leave the cell.', silent)
    return following


def _planned(
    state: control_state.ControlState,
    agreement: quorum.QuorumState,
    live: tuple[str, ...],
    effective: int,
    due: settlement.SettlementPlan,
) -> model.CellRecord | None:
    """Return the record with every slot on a usable target."""
    record = agreement.record
    held = frozenset(record.assignment_by_slot)
    wanted = (due.wanted & held) | frozenset(due.take)
    pins = settlement.placeable_pins(
        settlement.pinned_slots(state.state, state.cell), wanted
    )
    remapped = settlement.remapped_slots(record, frozenset(pins))
    planned, moves = assignment.plan_slots(
        record.assignment_by_slot,
        wanted - frozenset(pins),
        control_state.own_targets(state),
        pins,
        _unusable(state, live),
        record.version + 1,
    )
    following = cell_record.with_assignments(
        record,
        planned,
        effective,
        state.ticket.number,
        remapped.gaining,
        remapped.losing,
    )
    if following is record:
        return None
    if moves:
        log.info('{} slot(s) get an owner.', len(moves))
    return following


def _settlement(
    state: control_state.ControlState,
    agreement: quorum.QuorumState,
    effective: int,
) -> settlement.SettlementPlan:
    return settlement.plan_settlement(
        state.cell,
        state.ticket.number,
        state.state,
        agreement.record,
        effective,
        _settled_by_cell(state),
    )


def _settled_by_cell(state: control_state.ControlState) -> dict[str, int]:
    settled_by_cell = {}
    for cell, record in state.other_record_by_cell.items():
        if record is not None:
            settled_by_cell[cell] = record.settled_ticket
    return settled_by_cell


def _ask_others(
    state: control_state.ControlState, due: settlement.SettlementPlan
) -> None:
    tasks_module.read_others(
        state.tasks, state.cell, due.missing, state.ticket.number
    )


def _unusable(
    state: control_state.ControlState, live: tuple[str, ...]
) -> frozenset[str]:
    """Return targets that their dispatching hosts report as unusable."""
    found = set(state.unusable_by_host.get(state.host, ()))
    for host, reported in state.unusable_by_host.items():
        if host in live:
            found.update(reported)
    return frozenset(found)


def describe(state: control_state.ControlState, now: float) -> status.CellView:
    """Describe the cell as this host knows it, for operators."""
    agreement = state.quorum_state_by_cell[state.cell]
    record = agreement.record
    return status.CellView(
        record.version if record else 0,
        quorum.effective_version(agreement, now),
        record.settled_ticket if record else 0,
        quorum.acting_controller(agreement, now),
        _host_views(state, agreement, now),
        _target_views(state, record),
    )


def _host_views(
    state: control_state.ControlState,
    agreement: quorum.QuorumState,
    now: float,
) -> dict[str, status.HostView]:
    number = state.ticket.number if state.ticket else 0
    ready = state.holder.view.ready
    view_by_host = {state.host: status.HostView(number, ready, 0)}
    for host in agreement.record.hosts if agreement.record else ():
        if host == state.host:
            continue
        peer = agreement.peer_by_host.get(host, quorum.NO_PEER)
        silent_s = min(now - peer.last_seen_at, now - state.listening_since)
        serving = peer.ticket > 0 and host not in state.leaving_hosts
        view_by_host[host] = status.HostView(
            peer.ticket, serving, int(silent_s * 1000)
        )
    return view_by_host


def _target_views(
    state: control_state.ControlState, record: model.CellRecord | None
) -> dict[str, status.TargetView]:
    slots_by_target: dict[str, int] = {}
    if record:
        for each in record.assignment_by_slot.values():
            count = slots_by_target.get(each.target, 0)
            slots_by_target[each.target] = count + 1
    unusable = _unusable(state, state.holder.view.live_hosts)
    view_by_target = {}
    for target in control_state.own_targets(state):
        condition = 'draining' if target.draining else 'active'
        if target.target in unusable:
            condition = 'unusable'
        view_by_target[target.target] = status.TargetView(
            condition, slots_by_target.get(target.target, 0), target.fenced
        )
    return view_by_target
