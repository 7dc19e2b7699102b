"""Publishes the view that the request path reads, and the gauges."""

from amaranthcrank.core import metrics
from amaranthcrank.daemon import control_state
from amaranthcrank.grant import quorum
from amaranthcrank.publish import view as view_module


def publish(
    state: control_state.ControlState, live: tuple[str, ...], now: float
) -> None:
    """Replace the view that the request path reads."""
    quorum_state = control_state.own_quorum_state(state)
    record = quorum_state.record
    until = quorum.host_lease_until(quorum_state, now)
    granted = {}
    for name, each in state.granted_by_target.items():
        if each.until > now and control_state.dispatches(state, name, live):
            granted[name] = each
    ready = (
        not state.leaving
        and state.ticket is not None
        and quorum_state.recovered
        and record is not None
        and state.host in record.hosts
    )
    state.view_holder.view = view_module.View(
        ready,
        state.ticket.number if state.ticket else 0,
        state.ticket_state,
        state.table_by_service,
        state.target_by_id,
        record,
        until,
        granted,
        live,
        state.hosts_by_cell,
        state.quarantined,
        state.suspected,
    )


def hosts_by_cell(
    state: control_state.ControlState,
) -> dict[str, tuple[str, ...]]:
    """Return the hosts of each cell of the ticket, from the host list."""
    hosts_by_domain: dict[str, list[str]] = {}
    for host in state.host_list.live:
        hosts_by_domain.setdefault(host.failure_domain, []).append(host.host)
    hosts_by_cell = {}
    for cell, section in state.ticket_state['cells'].items():
        found = hosts_by_domain.get(section['failure_domain'], [])
        hosts_by_cell[cell] = tuple(found)
    return hosts_by_cell


def set_gauges(state: control_state.ControlState, now: float) -> None:
    """Set the gauges that operators look at first in /metrics."""
    quorum_state = control_state.own_quorum_state(state)
    host_lease_s = max(0.0, quorum.host_lease_until(quorum_state, now) - now)
    metrics.set_gauge('ready', float(state.view_holder.view.ready))
    metrics.set_gauge('ticket', state.view_holder.view.ticket)
    metrics.set_gauge('record_version', quorum.record_version(quorum_state))
    metrics.set_gauge('standing_seconds', host_lease_s)
    metrics.set_gauge('store_reachable', float(state.store_reachable))
    metrics.set_gauge('live_hosts', len(state.view_holder.view.live_hosts))
    metrics.set_gauge('targets_lost', len(state.down_targets))
    metrics.set_gauge('quarantined', len(state.quarantined))
