"""Heartbeats between the hosts of a cell and its attesters."""

import time

from amaranthcrank.core import logs
from amaranthcrank.core import model
from amaranthcrank.daemon import control_state
from amaranthcrank.daemon import controller
from amaranthcrank.daemon import holders
from amaranthcrank.daemon import messages
from amaranthcrank.daemon import publishing
from amaranthcrank.daemon import tasks as tasks_module
from amaranthcrank.grant import quorum
from amaranthcrank.observe import failure_detector
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module
from amaranthcrank.record import tickets

log = logs.logger('control')

# A process that did not run for this long has lost its host lease.
PAUSE_THRESHOLD_S = model.HOST_LEASE_S


def update_listening_since(
    state: control_state.ControlState, now: float
) -> None:
    """Update since when missing heartbeats count against a host."""
    if now - state.last_tick_at > PAUSE_THRESHOLD_S:
        log.warning(
            'The host was paused for {:.1f} s.', now - state.last_tick_at
        )
        state.listening_since = now
    state.last_tick_at = now
    state.listening_since = failure_detector.listening_since(
        control_state.own_quorum_state(state), state.listening_since, now
    )


def on_heartbeat_frame(
    state: control_state.ControlState, host: str, frame: frames.Frame
) -> None:
    """Handle a heartbeat of a peer."""
    heartbeat = quorum.Heartbeat(*frame['beat'])
    if heartbeat.sender != host:
        return
    quorum_state = state.quorum_state_by_cell.get(heartbeat.cell)
    if quorum_state is None:
        quorum_state = join_as_attester(state, heartbeat.cell)
        if quorum_state is None:
            return
    now = time.monotonic()
    updated = quorum.receive_heartbeat(quorum_state, heartbeat, now)
    state.quorum_state_by_cell[heartbeat.cell] = updated
    if heartbeat.cell == state.cell:
        unusable = frozenset(frame['unusable'])
        changed = unusable != state.unusable_by_host.get(host, frozenset())
        state.unusable_by_host[host] = unusable
        if changed:
            controller.start_due_write(
                state, control_state.live_hosts(state, now), now
            )
        _set_leaving(state, host, frame['leaving'])
        holders.send_adopted_changes(state)
        publishing.publish(state, control_state.live_hosts(state, now), now)
    if updated.promised > quorum_state.promised:
        send_heartbeats(state, now)


def join_as_attester(
    state: control_state.ControlState, cell: str
) -> quorum.QuorumState | None:
    """Start attesting for a cell if the ticket names this host for it."""
    section = state.ticket_state['cells'].get(cell)
    if section is None or section.get('attester') != state.host:
        return None
    quorum_state = quorum.initial_state(cell, state.host, state.incarnation)
    state.quorum_state_by_cell[cell] = quorum_state
    tasks_module.read_record(state.tasks, cell)
    return quorum_state


def _set_leaving(
    state: control_state.ControlState, host: str, leaving: bool
) -> None:
    if leaving:
        state.leaving_hosts.add(host)
        return
    state.leaving_hosts.discard(host)


def send_heartbeats(state: control_state.ControlState, now: float) -> None:
    """Send a heartbeat to each host and attester of each cell."""
    number = state.ticket.number if state.ticket else 0
    unusable = sorted(control_state.own_unusable_targets(state))
    for cell, quorum_state in state.quorum_state_by_cell.items():
        for peer in quorum.peers(quorum_state):
            quorum_state, heartbeat = quorum.heartbeat_for(
                quorum_state, peer, now, number
            )
            frame = {
                'type': frames.HEARTBEAT,
                'beat': tuple(heartbeat),
                'unusable': unusable,
                'leaving': state.leaving,
            }
            links_module.send(state.links, peer, frame)
        state.quorum_state_by_cell[cell] = quorum_state


def fetch_from_peers(state: control_state.ControlState) -> None:
    """Request newer records and tickets from peers that have them."""
    for cell, quorum_state in state.quorum_state_by_cell.items():
        peer = quorum.newest_record_peer(quorum_state)
        if peer is None:
            continue
        tasks_module.fetch_record(state.tasks, peer, cell)
    quorum_state = control_state.own_quorum_state(state)
    number = state.ticket.number if state.ticket else 0
    if quorum_state.ticket <= number:
        return
    for host, peer_view in quorum_state.peer_by_host.items():
        if peer_view.ticket > number:
            tasks_module.fetch_ticket(state.tasks, host)
            return


def on_record_request(
    state: control_state.ControlState, host: str, frame: frames.Frame
) -> None:
    """Reply to a peer that requests a cell record."""
    quorum_state = state.quorum_state_by_cell.get(frame['cell'])
    record = quorum_state.record if quorum_state else None
    reply = {
        'type': frames.RECORD,
        'record': controller.encode_record(record),
    }
    links_module.reply(state.links, host, frame['id'], reply)


def on_ticket_request(
    state: control_state.ControlState, host: str, frame: frames.Frame
) -> None:
    """Reply to a peer that requests the newest ticket."""
    data = tickets.encode(state.ticket) if state.ticket else b''
    reply = {'type': frames.TICKET, 'ticket': data}
    links_module.reply(state.links, host, frame['id'], reply)


def on_leave(
    state: control_state.ControlState, message: messages.Leave
) -> None:
    """Announce to the peers that this host shuts down."""
    state.leaving = True
    state.leaving_hosts.add(state.host)
    now = time.monotonic()
    send_heartbeats(state, now)
    publishing.publish(state, control_state.live_hosts(state, now), now)
