"""Writes of the cell record, most of them by the acting controller.

At most one write is in flight at a time.
"""

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

# How often a record is read that peers may not report.
READ_INTERVAL_S = 0.3


def start_due_write(
    state: control_state.ControlState, live: tuple[str, ...], now: float
) -> None:
    """Start the write that is due, if one is.

    Args:
      state: The control state.
      live: Hosts of the cell that dispatch.
      now: Monotonic seconds.
    """
    quorum_state = state.quorum_state_by_cell[state.cell]
    is_controller = quorum.acting_controller(quorum_state, now) == state.host
    state.tasks.is_controller = is_controller
    state.tasks.recovered = quorum_state.recovered and state.ticket is not None
    if now >= state.next_read_at:
        state.next_read_at = now + READ_INTERVAL_S
        _read_records_from_store(state, now)
    if (
        state.write_in_flight
        or quorum_state.record is None
        or not quorum_state.recovered
    ):
        return
    next_record = _record_with_own_host(state, quorum_state)
    if next_record is None and is_controller:
        next_record = _due_record(state, quorum_state, live, now)
    if next_record is not None:
        _start_write(state, next_record)


def _read_records_from_store(
    state: control_state.ControlState, now: float
) -> None:
    """Read the records of which peers may not report newer versions.

    The hosts of a record send heartbeats only to one another. A host that is
    not in it, or was removed from it while paused, is not told of newer
    versions; it detects this because it has no host lease.
    """
    for cell, quorum_state in state.quorum_state_by_cell.items():
        is_informed = (
            cell != state.cell
            or quorum.host_lease_until(quorum_state, now) > now
        )
        if not quorum_state.recovered or not is_informed:
            tasks_module.read_record(state.tasks, cell)


def create_record(state: control_state.ControlState) -> None:
    """Create the cell record at version 1 with this host alone."""
    if state.write_in_flight:
        return
    _start_write(
        state,
        cell_record.first_record(
            state.cell, (state.host,), _third_attester(state), 0
        ),
    )


def encode_record(record: model.CellRecord | None) -> bytes:
    """Encode a record for a frame; empty if there is none."""
    return cell_record.encode(record) if record else b''


def _start_write(
    state: control_state.ControlState, next_record: model.CellRecord
) -> None:
    state.write_in_flight = True
    tasks_module.write_record(state.tasks, next_record)


def _third_attester(state: control_state.ControlState) -> str | None:
    """Return the host of another cell that attests a cell of two hosts."""
    section = state.ticket_state['cells'].get(state.cell, {})
    return section.get('attester')


def _record_with_own_host(
    state: control_state.ControlState, quorum_state: quorum.QuorumState
) -> model.CellRecord | None:
    """Return the record with this host added, None if it need not be."""
    record = quorum_state.record
    if state.host in record.hosts or state.leaving:
        return None
    hosts = (*record.hosts, state.host)
    next_record, _ = cell_record.with_hosts(
        record, hosts, _third_attester(state)
    )
    return next_record


def _due_record(
    state: control_state.ControlState,
    quorum_state: quorum.QuorumState,
    live: tuple[str, ...],
    now: float,
) -> model.CellRecord | None:
    """Return the next version that is due, None if none is."""
    record = quorum_state.record
    if record.previous_attesters:
        if quorum.is_attester_change_in_force(quorum_state):
            return cell_record.with_attester_change_completed(record)
    next_record = _record_without_silent_hosts(state, quorum_state, now)
    if next_record is not None or state.ticket is None:
        return next_record
    return _record_for_ticket(state, quorum_state, live, now)


def _record_for_ticket(
    state: control_state.ControlState,
    quorum_state: quorum.QuorumState,
    live: tuple[str, ...],
    now: float,
) -> model.CellRecord | None:
    """Return the next version that the ticket asks for, None if none.

    Planning reads every slot. It is skipped while none of its inputs has
    changed, because planning on every tick took 1.6% of a core.
    """
    effective = quorum.effective_version(quorum_state, now)
    inputs = (
        quorum_state.record.version,
        effective,
        state.ticket.number,
        _unusable_targets(state, live),
        state.other_records_generation,
    )
    if inputs == state.last_plan_inputs:
        return None
    plan = _settlement_plan(state, quorum_state, effective)
    if plan.missing or plan.waiting_for:
        _request_other_records(state, plan)
    next_record = _settled_or_planned_record(
        state, quorum_state, live, effective, plan
    )
    if next_record is None and not plan.waiting_for:
        state.last_plan_inputs = inputs
    return next_record


def _settled_or_planned_record(
    state: control_state.ControlState,
    quorum_state: quorum.QuorumState,
    live: tuple[str, ...],
    effective: int,
    plan: settlement.SettlementPlan,
) -> model.CellRecord | None:
    """Return the next version for the known ticket, None if none."""
    record = quorum_state.record
    ticket = state.ticket.number
    if settlement.is_ticket_outdated(
        ticket, record, _settled_ticket_by_cell(state)
    ):
        return None
    next_record = _planned_record(state, quorum_state, live, effective, plan)
    if next_record is None and plan.raise_settled:
        next_record = cell_record.with_settled_ticket(record, ticket)
    return next_record


def _record_without_silent_hosts(
    state: control_state.ControlState,
    quorum_state: quorum.QuorumState,
    now: float,
) -> model.CellRecord | None:
    record = quorum_state.record
    silent = failure_detector.hosts_to_remove(
        quorum_state, state.listening_since, now
    )
    hosts = tuple(each for each in record.hosts if each not in silent)
    next_record, problems = cell_record.with_hosts(
        record, hosts, _third_attester(state)
    )
    if problems or next_record is record:
        return None
    if silent:
        log.warning(
            'Removing hosts {} from the cell: no heartbeat received.', silent
        )
    return next_record


def _planned_record(
    state: control_state.ControlState,
    quorum_state: quorum.QuorumState,
    live: tuple[str, ...],
    effective: int,
    plan: settlement.SettlementPlan,
) -> model.CellRecord | None:
    """Return the record with each slot on a usable target, None if equal."""
    record = quorum_state.record
    held = frozenset(record.assignment_by_slot)
    wanted = (plan.wanted & held) | frozenset(plan.take)
    pins = settlement.placeable_pins(
        settlement.pinned_slots(state.ticket_state, state.cell), wanted
    )
    remapped = settlement.remapped_slots(record, frozenset(pins))
    planned, moves = assignment.plan_slots(
        record.assignment_by_slot,
        wanted - frozenset(pins),
        control_state.own_targets(state),
        pins,
        _unusable_targets(state, live),
        record.version + 1,
    )
    next_record = cell_record.with_assignments(
        record,
        planned,
        effective,
        state.ticket.number,
        remapped.gaining,
        remapped.losing,
    )
    if next_record is record:
        return None
    if moves:
        log.info('Assigning an owner to {} slot(s).', len(moves))
    return next_record


def _settlement_plan(
    state: control_state.ControlState,
    quorum_state: quorum.QuorumState,
    effective: int,
) -> settlement.SettlementPlan:
    return settlement.plan_settlement(
        state.cell,
        state.ticket.number,
        state.ticket_state,
        quorum_state.record,
        effective,
        _settled_ticket_by_cell(state),
    )


def _settled_ticket_by_cell(
    state: control_state.ControlState,
) -> dict[str, int]:
    settled_ticket_by_cell = {}
    for cell, record in state.other_record_by_cell.items():
        if record is not None:
            settled_ticket_by_cell[cell] = record.settled_ticket
    return settled_ticket_by_cell


def _request_other_records(
    state: control_state.ControlState, plan: settlement.SettlementPlan
) -> None:
    tasks_module.read_other_records(
        state.tasks, state.cell, plan.missing, state.ticket.number
    )


def _unusable_targets(
    state: control_state.ControlState, live: tuple[str, ...]
) -> frozenset[str]:
    """Return the targets that live hosts report as down or draining."""
    found = set(state.unusable_by_host.get(state.host, ()))
    for host, reported in state.unusable_by_host.items():
        if host in live:
            found.update(reported)
    return frozenset(found)


def cell_view(
    state: control_state.ControlState, now: float
) -> status.CellView:
    """Return the known state of the cell for operators."""
    quorum_state = state.quorum_state_by_cell[state.cell]
    record = quorum_state.record
    return status.CellView(
        record.version if record else 0,
        quorum.effective_version(quorum_state, now),
        record.settled_ticket if record else 0,
        quorum.acting_controller(quorum_state, now),
        _host_views(state, quorum_state, now),
        _target_views(state, record),
    )


def _host_views(
    state: control_state.ControlState,
    quorum_state: quorum.QuorumState,
    now: float,
) -> dict[str, status.HostView]:
    number = state.ticket.number if state.ticket else 0
    ready = state.view_holder.view.ready
    view_by_host = {state.host: status.HostView(number, ready, 0)}
    for host in quorum_state.record.hosts if quorum_state.record else ():
        if host == state.host:
            continue
        peer = quorum_state.peer_by_host.get(host, quorum.NO_PEER)
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
    unusable = _unusable_targets(state, state.view_holder.view.live_hosts)
    view_by_target = {}
    for target in control_state.own_targets(state):
        target_state = 'draining' if target.draining else 'active'
        if target.target in unusable:
            target_state = 'unusable'
        view_by_target[target.target] = status.TargetView(
            target_state, slots_by_target.get(target.target, 0), target.fenced
        )
    return view_by_target
