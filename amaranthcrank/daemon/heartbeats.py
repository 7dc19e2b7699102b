"""Heartbeats between the hosts of a cell and its attesters."""

import time

from amaranthcrank.core import logs
from amaranthcrank.core import model
from amaranthcrank.daemon import control_state
from amaranthcrank.daemon import duties
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

# A process that did not run for this long has lost its lease.
PAUSE_S = model.HOST_LEASE_S


def note_listening(state: control_state.ControlState, now: float) -> None:
    """Keep since when the silence of another host says something."""
    if now - state.ticked_at > PAUSE_S:
        log.warning('The host was paused for {:.1f} s.', now - state.ticked_at)
        state.listening_since = now
    state.ticked_at = now
    state.listening_since = failure_detector.listening_since(
        control_state.own_quorum_state(state), state.listening_since, now
    )


def heartbeat_frame(
    state: control_state.ControlState, host: str, frame: frames.Frame
) -> None:
    """Take a heartbeat of a peer."""
    beat = quorum.Heartbeat(*frame['beat'])
    if beat.sender != host:
        return
    agreement = state.quorum_state_by_cell.get(beat.cell)
    if agreement is None:
        agreement = join_as_attester(state, beat.cell)
        if agreement is None:
            return
    now = time.monotonic()
    following = quorum.receive_heartbeat(agreement, beat, now)
    state.quorum_state_by_cell[beat.cell] = following
    if beat.cell == state.cell:
        unusable = frozenset(frame['unusable'])
        changed = unusable != state.unusable_by_host.get(host, frozenset())
        state.unusable_by_host[host] = unusable
        if changed:
            duties.perform(state, control_state.live_hosts(state, now), now)
        _note_leaving(state, host, frame['leaving'])
        holders.resend_adopted_holders(state)
        publishing.publish(state, control_state.live_hosts(state, now), now)
    if following.promised > agreement.promised:
        send_heartbeats(state, now)


def join_as_attester(
    state: control_state.ControlState, cell: str
) -> quorum.QuorumState | None:
    """Start to attest for a cell whose ticket names this host."""
    section = state.state['cells'].get(cell)
    if section is None or section.get('attester') != state.host:
        return None
    agreement = quorum.initial_state(cell, state.host, state.incarnation)
    state.quorum_state_by_cell[cell] = agreement
    tasks_module.read_record(state.tasks, cell)
    return agreement


def _note_leaving(
    state: control_state.ControlState, host: str, leaving: bool
) -> None:
    if leaving:
        state.leaving_hosts.add(host)
        return
    state.leaving_hosts.discard(host)


def send_heartbeats(state: control_state.ControlState, now: float) -> None:
    """Send a heartbeat to each host and attester of each cell."""
    number = state.ticket.number if state.ticket else 0
    unusable = sorted(control_state.own_unusable(state))
    for cell, agreement in state.quorum_state_by_cell.items():
        for peer in quorum.peers(agreement):
            agreement, beat = quorum.heartbeat_for(
                agreement, peer, now, number
            )
            frame = {
                'type': frames.HEARTBEAT,
                'beat': tuple(beat),
                'unusable': unusable,
                'leaving': state.leaving,
            }
            links_module.send(state.links, peer, frame)
        state.quorum_state_by_cell[cell] = agreement


def fetch_from_peers(state: control_state.ControlState) -> None:
    """Ask peers for a newer record or ticket than this host has."""
    for cell, agreement in state.quorum_state_by_cell.items():
        peer = quorum.newest_record_peer(agreement)
        if peer is None:
            continue
        tasks_module.fetch_record(state.tasks, peer, cell)
    agreement = control_state.own_quorum_state(state)
    number = state.ticket.number if state.ticket else 0
    if agreement.ticket <= number:
        return
    for host, peer_view in agreement.peer_by_host.items():
        if peer_view.ticket > number:
            tasks_module.fetch_ticket(state.tasks, host)
            return


def record_request(
    state: control_state.ControlState, host: str, frame: frames.Frame
) -> None:
    """Answer a peer that asks for a cell record."""
    agreement = state.quorum_state_by_cell.get(frame['cell'])
    record = agreement.record if agreement else None
    answer = {'type': frames.RECORD, 'record': duties.pack(record)}
    links_module.reply(state.links, host, frame['id'], answer)


def ticket_request(
    state: control_state.ControlState, host: str, frame: frames.Frame
) -> None:
    """Answer a peer that asks for the newest ticket."""
    data = tickets.encode(state.ticket) if state.ticket else b''
    answer = {'type': frames.TICKET, 'ticket': data}
    links_module.reply(state.links, host, frame['id'], answer)


def leave(state: control_state.ControlState, message: messages.Leave) -> None:
    """Tell the peers that this host shuts down."""
    state.leaving = True
    state.leaving_hosts.add(state.host)
    now = time.monotonic()
    send_heartbeats(state, now)
    publishing.publish(state, control_state.live_hosts(state, now), now)
