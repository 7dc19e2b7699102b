"""State of the control actor, and values that are derived from it."""

import time
import typing

import pykka

from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.core import settings as settings_module
from amaranthcrank.daemon import tasks as tasks_module
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import work as work_module
from amaranthcrank.grant import grants
from amaranthcrank.grant import quorum
from amaranthcrank.grant import renewals
from amaranthcrank.observe import host_list
from amaranthcrank.peers import links as links_module
from amaranthcrank.publish import view as view_module
from amaranthcrank.record import tickets
from amaranthcrank.routing import route

# Another host takes over dispatching after this time without a heartbeat.
# Two hosts that disagree on who dispatches cause a refused attempt, never a
# second owner of a slot.
DISPATCH_FAILOVER_S = 0.3


class ControlState:
    """State of the control actor; only its handlers change it.

    Attributes:
      view_holder: Holds the view that the request path reads.
      gate_ref: The actor that admits requests to other cells.
      ref: The control actor, None before it is started.
      last_tick_at: When the last tick was handled, monotonic seconds.
      listening_since: Since when missing heartbeats count against a host,
        monotonic seconds.
      ticket_known: Whether a ticket, or that there is none, was received.
      ticket_state: The complete configuration of the ticket.
      view_by_target: What is known of each target of the own cell.
      granted_by_target: The last grant that each target accepted.
      released_by_target: The release that each previous owner confirmed.
      grantable_cache_key: What grantable_slots_by_target was computed from.
      busy_targets: Targets with a probe or grant in flight.
      down_targets: Targets that this host finds down.
      unusable_by_host: Targets that each host reports as down or draining.
      leaving_hosts: Hosts of the own cell that are shutting down.
      leaving: Whether this host is shutting down.
      crash_suspect_by_target: Requests in flight when a connection broke.
      quarantined: Fingerprints of requests that are refused.
      suspected: Fingerprints with crash counts, refused or not.
      pending_holder_changes: Changes of intent holders, each with its record
        version, which is not adopted yet.
      other_record_by_cell: The records of the other cells, read since the
        ticket is known.
      other_records_generation: Grows with each such read.
      last_plan_inputs: The inputs of the last planning that changed nothing.
      hosts_by_cell: The listed hosts of each cell of the ticket.
      write_in_flight: Whether a write of the cell record is running.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: str,
        links: links_module.Links,
        view_holder: view_module.ViewHolder,
        ledger_ref: pykka.ActorRef,
        context: work_module.Context,
        tasks: tasks_module.Tasks,
        renewer: renewals.Renewer,
        gate_ref: pykka.ActorRef,
    ) -> None:
        now = time.monotonic()
        self.settings = settings
        self.host = settings.host_id
        self.cell = settings.cell
        self.incarnation = incarnation
        self.links = links
        self.view_holder = view_holder
        self.ledger_ref = ledger_ref
        self.context = context
        self.tasks = tasks
        self.renewer = renewer
        self.gate_ref = gate_ref
        self.ref: pykka.ActorRef | None = None
        self.last_tick_at = now
        self.listening_since = now
        self.quorum_state_by_cell = {
            self.cell: quorum.initial_state(self.cell, self.host, incarnation)
        }
        self.ticket: tickets.Ticket | None = None
        self.ticket_known = False
        self.ticket_state: dict[str, typing.Any] = model.EMPTY_STATE
        self.table_by_service: dict[str, route.ServiceTable] = {}
        self.target_by_id: dict[str, model.Target] = {}
        self.host_list = host_list.EMPTY
        self.address_by_host = dict(settings.peers)
        self.dispatcher_by_target: dict[str, pykka.ActorRef] = {}
        self.view_by_target: dict[str, grants.TargetView] = {}
        self.granted_by_target: dict[str, view_module.TargetGrant] = {}
        self.released_by_target: dict[str, grants.Release] = {}
        self.grantable_cache_key: tuple[typing.Any, ...] = ()
        self.grantable_slots_by_target: dict[
            str, tuple[tuple[str, int, int], ...]
        ] = {}
        self.busy_targets: set[str] = set()
        self.down_targets: set[str] = set()
        self.unusable_by_host: dict[str, frozenset[str]] = {}
        self.leaving_hosts: set[str] = set()
        self.leaving = False
        self.crash_suspect_by_target: dict[str, dispatcher.CrashSuspect] = {}
        self.suspected_at_by_target: dict[str, float] = {}
        self.quarantined: frozenset[str] = frozenset()
        self.suspected: frozenset[str] = frozenset()
        self.pending_holder_changes: list[
            tuple[int, ledger_actor.HoldersChanged]
        ] = []
        self.store_reachable = False
        self.store_changed_at_ms = ledger_actor.wall_ms()
        self.other_record_by_cell: dict[str, model.CellRecord | None] = {}
        self.other_records_generation = 0
        self.last_plan_inputs: tuple[typing.Any, ...] = ()
        self.hosts_by_cell: dict[str, tuple[str, ...]] = {}
        self.write_in_flight = False
        self.next_heartbeat_at = now
        self.next_export_at = now
        self.next_fetch_at = now
        self.next_read_at = now


def own_quorum_state(state: ControlState) -> quorum.QuorumState:
    """Return the quorum state of the own cell."""
    return state.quorum_state_by_cell[state.cell]


def live_hosts(state: ControlState, now: float) -> tuple[str, ...]:
    """Return the hosts of the cell among which dispatching is divided."""
    seen = quorum.hosts_seen_within(
        own_quorum_state(state), now, DISPATCH_FAILOVER_S
    )
    remaining = tuple(each for each in seen if each not in state.leaving_hosts)
    # If every live host is leaving, they dispatch until they exit.
    return remaining or seen


def dispatches(
    state: ControlState, target: str, live: tuple[str, ...]
) -> bool:
    """Tell whether this host dispatches for a target."""
    return hashing.rendezvous(target, live, 1) == (state.host,)


def own_targets(state: ControlState) -> tuple[model.Target, ...]:
    """Return the targets of the own cell."""
    found = []
    for target in state.target_by_id.values():
        if target.cell == state.cell:
            found.append(target)
    return tuple(found)


def own_unusable_targets(state: ControlState) -> frozenset[str]:
    """Return the targets that this host finds down or draining."""
    draining = {
        name for name, each in state.view_by_target.items() if each.draining
    }
    return frozenset(state.down_targets | draining)
