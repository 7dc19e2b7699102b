"""Applies new records, tickets and host lists to the control state."""

import time

from amaranthcrank.admission import gate
from amaranthcrank.core import logs
from amaranthcrank.daemon import control_state
from amaranthcrank.daemon import controller
from amaranthcrank.daemon import heartbeats
from amaranthcrank.daemon import holders
from amaranthcrank.daemon import messages
from amaranthcrank.daemon import publishing
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.grant import grants
from amaranthcrank.grant import quorum
from amaranthcrank.grant import renewals
from amaranthcrank.peers import links as links_module
from amaranthcrank.record import tickets
from amaranthcrank.routing import route

log = logs.logger('control')


def on_record(
    state: control_state.ControlState, message: messages.RecordReceived
) -> None:
    """Install a cell record from the store or a peer."""
    quorum_state = state.quorum_state_by_cell.get(message.cell)
    if quorum_state is None:
        return
    now = time.monotonic()
    if message.record is None:
        if message.from_store and message.cell == state.cell:
            controller.create_record(state)
        return
    updated = quorum.install_record(
        quorum_state, message.record, now, message.from_store
    )
    state.quorum_state_by_cell[message.cell] = updated
    if updated.record is quorum_state.record:
        return
    log.info(
        'Cell {}: installed record version {}.',
        message.cell,
        message.record.version,
    )
    if message.cell == state.cell:
        holders.send_holder_changes(state, quorum_state.record, message.record)
    heartbeats.send_heartbeats(state, now)
    publishing.publish(state, control_state.live_hosts(state, now), now)


def on_ticket(
    state: control_state.ControlState, message: messages.TicketReceived
) -> None:
    """Apply a ticket if it is newer than the current one."""
    if message.from_store or message.ticket is not None:
        state.ticket_known = True
    ticket = message.ticket
    if ticket is None:
        return
    if not tickets.is_newer(state.ticket, ticket):
        return
    state.ticket = ticket
    state.ticket_state = ticket.state
    state.table_by_service = route.build_tables(ticket.state)
    state.target_by_id = tickets.targets_of(ticket.state)
    state.other_record_by_cell = {}
    log.info('Applied ticket {}.', ticket.number)
    now = time.monotonic()
    lost = frozenset(ticket.state['lost_hosts'])
    for cell, quorum_state in state.quorum_state_by_cell.items():
        state.quorum_state_by_cell[cell] = quorum.with_lost_hosts(
            quorum_state, lost, now
        )
    for cell, section in ticket.state['cells'].items():
        if cell not in state.quorum_state_by_cell:
            if section.get('attester') == state.host:
                heartbeats.join_as_attester(state, cell)
    _update_dispatchers(state)
    _set_link_rate(state)
    state.hosts_by_cell = publishing.hosts_by_cell(state)
    publishing.publish(state, control_state.live_hosts(state, now), now)


def _set_link_rate(state: control_state.ControlState) -> None:
    """Divide the rate of the link between regions by the region's hosts."""
    link = state.ticket_state['link']
    if not link:
        return
    domains = set()
    for section in state.ticket_state['cells'].values():
        if section['region'] == state.settings.region:
            domains.add(section['failure_domain'])
    hosts = 0
    for host in state.host_list.live:
        if host.failure_domain in domains:
            hosts += 1
    rate = link['bytes_per_s'] / max(1, hosts)
    state.gate_ref.tell(gate.SetLinkRate(rate, link['share']))


def _update_dispatchers(state: control_state.ControlState) -> None:
    """Start, update and stop dispatchers for the targets of the ticket."""
    floors = {}
    for rank, section in state.ticket_state['ranks'].items():
        floors[rank] = section['floor']
    wanted = {each.target: each for each in control_state.own_targets(state)}
    for name, ref in list(state.dispatcher_by_target.items()):
        if name in wanted:
            ref.tell(dispatcher.SetTarget(wanted[name], floors))
            continue
        ref.tell(dispatcher.Stop())
        del state.dispatcher_by_target[name]
        renewals.remove_target(state.renewer, name)
        state.view_by_target.pop(name, None)
        state.granted_by_target.pop(name, None)
        state.down_targets.discard(name)
    for name, target in wanted.items():
        if name in state.dispatcher_by_target:
            continue
        state.dispatcher_by_target[name] = dispatcher.start(
            target, floors, state.context, state.ref.tell
        )
        renewals.add_target(state.renewer, target)
        state.view_by_target[name] = grants.new_view(name)


def on_host_list(
    state: control_state.ControlState, message: messages.HostListReceived
) -> None:
    """Apply the platform's host list."""
    state.host_list = message.hosts
    for host in (*message.hosts.live, *message.hosts.leaving):
        state.address_by_host[host.host] = _split_address(host.address)
    _set_link_rate(state)
    state.hosts_by_cell = publishing.hosts_by_cell(state)
    address_by_peer = dict(state.address_by_host)
    address_by_peer.pop(state.host, None)
    links_module.set_hosts(state.links, address_by_peer)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def on_store_reachability(
    state: control_state.ControlState, message: messages.StoreReachability
) -> None:
    """Record whether the store answers."""
    if message.reachable == state.store_reachable:
        return
    state.store_reachable = message.reachable
    state.store_changed_at_ms = ledger_actor.wall_ms()
    if message.reachable:
        log.info('The store is reachable.')
        return
    log.warning('The store is unreachable.')


def on_other_records(
    state: control_state.ControlState, message: messages.OtherRecordsReceived
) -> None:
    """Store the records of the other cells."""
    # Records that were read before the newest ticket was known do not show
    # whether their cells follow it.
    if state.ticket is not None and message.ticket == state.ticket.number:
        state.other_record_by_cell = message.record_by_cell
        state.other_records_generation += 1


def on_write_done(
    state: control_state.ControlState, message: messages.WriteDone
) -> None:
    """Allow the next write."""
    state.write_in_flight = False
