"""Builds the parts that follow the store and the other hosts, and move keys.

The feeds bring the configuration, the targets, the evacuations and the key
maps. The controller moves keys while this host holds the lease.
"""

import random
import secrets
import typing

from amaranthcrank.router import cold_quota_updates
from amaranthcrank.router import common_parts
from amaranthcrank.router import controller_lease
from amaranthcrank.router import crash_messages
from amaranthcrank.router import departure_queries
from amaranthcrank.router import entry_reads
from amaranthcrank.router import evacuation_feed
from amaranthcrank.router import host_reports
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_controller
from amaranthcrank.router import model
from amaranthcrank.router import outage_grace
from amaranthcrank.router import ownership_events
from amaranthcrank.router import peers
from amaranthcrank.router import reader_election
from amaranthcrank.router import request_path
from amaranthcrank.router import shared_feed
from amaranthcrank.router import store_sync
from amaranthcrank.router import target_feed
from amaranthcrank.router import ticket_feed


class ControlParts(typing.NamedTuple):
    """The parts that follow the store and the other hosts, and move keys.

    Attributes:
      lease: The controller's lease.
      controller: Assigns and moves keys while this host holds the lease.
      reports: Exchanges load and news with the other hosts.
      ticket_feed: Follows the configuration.
      retry_gate: Delays retries of reads while the store is unavailable.
      grace: Keeps targets whose entries expired in an outage of the store.
      target_feed: Follows the targets.
      evacuation_feed: Follows the evacuations; None if the feature is off.
      shared_feed: Follows the key maps and the other hosts.
    """

    lease: controller_lease.Lease
    controller: key_controller.Controller
    reports: host_reports.HostReports
    ticket_feed: ticket_feed.TicketFeed
    retry_gate: store_sync.RetryGate
    grace: outage_grace.OutageGrace
    target_feed: target_feed.TargetFeed
    evacuation_feed: evacuation_feed.EvacuationFeed | None
    shared_feed: shared_feed.SharedFeed


def build(
    common: common_parts.CommonParts,
    path: request_path.RequestPath,
    on_ticket: typing.Callable[[model.Ticket], None],
) -> ControlParts:
    """Create the parts and connect them to the request path.

    Args:
      common: The shared parts.
      path: The request path, which uses what the feeds bring.
      on_ticket: Called with each configuration that comes into force.
    """
    settings = common.settings
    own = peers.Peer(
        settings.host_id,
        model.Address(settings.ip, settings.peer_port),
        settings.failure_domain,
    )
    lease = controller_lease.Lease(
        common.store,
        settings.host_id,
        secrets.token_hex(4),
        settings.ip,
        common.log,
    )
    controller = _new_controller(common, path, lease)
    reports = host_reports.HostReports(
        common.peers,
        path.targets,
        path.keys,
        path.admission,
        lease,
        controller,
        own,
        common.clock,
        random.random,
    )
    _set_callbacks(path, controller, reports)
    _share_crashes(common, path, reports)
    tickets = ticket_feed.TicketFeed(
        common.store,
        common.peers,
        common.pool,
        common.log,
        on_ticket,
        _new_election(common),
    )
    retry_gate = store_sync.gate_on(tickets.reachability)
    grace = _new_grace(common, path)
    return ControlParts(
        lease,
        controller,
        reports,
        tickets,
        retry_gate,
        grace,
        target_feed.TargetFeed(
            common.store,
            path.targets,
            common.peers,
            common.log,
            retry_gate,
            _new_election(common),
            grace,
        ),
        _new_evacuation_feed(common, path, retry_gate),
        shared_feed.SharedFeed(
            common.store,
            path.keys,
            common.peers.by_id,
            own,
            common.log,
            retry_gate,
            path.admission.assign_waiting,
            reports.read_schedule,
        ),
    )


def _new_controller(
    common: common_parts.CommonParts,
    path: request_path.RequestPath,
    lease: controller_lease.Lease,
) -> key_controller.Controller:
    reader = entry_reads.entry_reader(
        common.store, common.log, entry_reads.PRE_GRANT_TIMEOUT_S
    )
    events = ownership_events.OwnershipEvents(common.log, common.metrics)
    calls = key_calls.KeyCalls(
        common.pool,
        common.log,
        entry_reads.restart_check(reader, path.targets.names_target),
        path.notices,
        common.settings.heartbeat_s,
        events,
        common.settings.host_id,
        lambda: lease.is_held,
    )
    return key_controller.Controller(
        common.store,
        lease,
        calls,
        path.targets,
        path.keys,
        common.log,
        common.settings.bounds.grant_max_s,
        events,
    )


def _new_grace(
    common: common_parts.CommonParts, path: request_path.RequestPath
) -> outage_grace.OutageGrace:
    return outage_grace.OutageGrace(
        common.store.availability,
        path.targets,
        departure_queries.DepartureQueries(common.peers, path.targets),
        common.settings.heartbeat_s,
        common.settings.bounds.settle_s,
        common.log.event,
    )


def _new_evacuation_feed(
    common: common_parts.CommonParts,
    path: request_path.RequestPath,
    retry_gate: store_sync.RetryGate,
) -> evacuation_feed.EvacuationFeed | None:
    if common.settings.bounds.evacuation_s is None:
        return None
    return evacuation_feed.EvacuationFeed(
        common.store,
        path.targets,
        common.peers,
        common.log,
        retry_gate,
        _new_election(common),
    )


def _new_election(
    common: common_parts.CommonParts,
) -> reader_election.ReaderElection:
    return reader_election.ReaderElection(
        common.settings.host_id,
        common.peers.count_in_domain,
        common.clock,
        random.random,
    )


def _set_callbacks(
    path: request_path.RequestPath,
    controller: key_controller.Controller,
    reports: host_reports.HostReports,
) -> None:
    path.forwarder.on_keyed_request = reports.record_keyed_request
    path.sender.on_misdirected = reports.send_misdirected
    controller.cold_load_s = cold_quota_updates.owner_load(path)
    controller.on_move_completed = reports.broadcast_move_completed
    controller.on_map_written = reports.broadcast_key_map_change


def _share_crashes(
    common: common_parts.CommonParts,
    path: request_path.RequestPath,
    reports: host_reports.HostReports,
) -> None:
    messages = crash_messages.CrashMessages(common.peers, path.crashes)
    path.sender.on_crash = messages.broadcast_crash
    path.sender.on_crash_cleared = messages.broadcast_cleared
    path.withdrawals.on_withdrawn = messages.broadcast_withdrawn
    path.forwarder.on_blocked = messages.renew
    reports.on_host_joined = messages.tell_joined
