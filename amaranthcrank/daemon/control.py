"""The control actor of a host, which owns the known state of its cell.

Messages come from the links, the store threads, the upstream threads and a
timer. Blocking calls run in other threads; their results arrive as messages.
"""

from collections import abc
import time

import pykka

from amaranthcrank.core import actors
from amaranthcrank.core import model
from amaranthcrank.daemon import control_state
from amaranthcrank.daemon import controller
from amaranthcrank.daemon import crashes
from amaranthcrank.daemon import granting
from amaranthcrank.daemon import heartbeats
from amaranthcrank.daemon import messages
from amaranthcrank.daemon import publishing
from amaranthcrank.daemon import updates
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.grant import renewals
from amaranthcrank.peers import frames
from amaranthcrank.publish import status
from amaranthcrank.record import tickets

TICK_S = 0.05
CRASH_EXPORT_INTERVAL_S = 1.0
FETCH_INTERVAL_S = 0.1


def start(state: control_state.ControlState) -> pykka.ActorRef:
    """Start the control actor."""
    handler_by_type = {
        messages.Tick: _on_tick,
        messages.FrameReceived: _on_frame,
        messages.RecordReceived: updates.on_record,
        messages.TicketReceived: updates.on_ticket,
        messages.HostListReceived: updates.on_host_list,
        messages.StoreReachability: updates.on_store_reachability,
        messages.OtherRecordsReceived: updates.on_other_records,
        messages.WriteDone: updates.on_write_done,
        messages.Leave: heartbeats.on_leave,
        messages.GetCellView: _get_cell_view,
        messages.GetStoreView: _get_store_view,
        messages.GetTicket: _get_ticket,
        renewals.StepDone: granting.on_step_done,
        renewals.ReleaseDone: granting.on_release_done,
        dispatcher.CrashSuspect: crashes.on_crash_suspect,
    }
    state.ref = actors.start('control', state, handler_by_type)
    return state.ref


def _on_tick(
    state: control_state.ControlState, message: messages.Tick
) -> None:
    now = time.monotonic()
    heartbeats.update_listening_since(state, now)
    live = control_state.live_hosts(state, now)
    if now >= state.next_heartbeat_at:
        state.next_heartbeat_at = now + model.HEARTBEAT_INTERVAL_S
        heartbeats.send_heartbeats(state, now)
    if now >= state.next_fetch_at:
        state.next_fetch_at = now + FETCH_INTERVAL_S
        heartbeats.fetch_from_peers(state)
    if now >= state.next_export_at:
        state.next_export_at = now + CRASH_EXPORT_INTERVAL_S
        crashes.export_crashes(state, live)
        publishing.set_gauges(state, now)
    granting.send_due_steps(state, live, now)
    granting.request_releases(state, live, now)
    state.unusable_by_host[state.host] = control_state.own_unusable_targets(
        state
    )
    controller.start_due_write(state, live, now)
    publishing.publish(state, live, now)
    for ref in state.dispatcher_by_target.values():
        ref.tell(dispatcher.DispatchQueued())


def _on_frame(
    state: control_state.ControlState, message: messages.FrameReceived
) -> None:
    handler = HANDLER_BY_FRAME_TYPE.get(message.frame['type'])
    if handler is not None:
        handler(state, message.host, message.frame)


HANDLER_BY_FRAME_TYPE: dict[
    str, abc.Callable[[control_state.ControlState, str, frames.Frame], None]
] = {
    frames.HEARTBEAT: heartbeats.on_heartbeat_frame,
    frames.RECORD: heartbeats.on_record_request,
    frames.TICKET: heartbeats.on_ticket_request,
    frames.CRASHES: crashes.on_crashes_frame,
}


def _get_cell_view(
    state: control_state.ControlState, message: messages.GetCellView
) -> status.CellView:
    return controller.cell_view(state, time.monotonic())


def _get_store_view(
    state: control_state.ControlState, message: messages.GetStoreView
) -> status.StoreView:
    return status.StoreView(state.store_reachable, state.store_changed_at_ms)


def _get_ticket(
    state: control_state.ControlState, message: messages.GetTicket
) -> tickets.Ticket | None:
    return state.ticket
