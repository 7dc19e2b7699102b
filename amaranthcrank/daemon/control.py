"""The control actor: what one host knows and decides for its cell.

Messages come from the links, the store threads, the upstream threads and a
timer. Blocking calls run elsewhere and come back as messages.
"""

from collections import abc
import time

import pykka

from amaranthcrank.core import actors
from amaranthcrank.core import model
from amaranthcrank.daemon import control_state
from amaranthcrank.daemon import crashes
from amaranthcrank.daemon import duties
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
        messages.Tick: _tick,
        messages.FrameIn: _frame_in,
        messages.RecordIn: updates.record_in,
        messages.TicketIn: updates.ticket_in,
        messages.HostsIn: updates.hosts_in,
        messages.StoreState: updates.store_state,
        messages.OtherRecordsIn: updates.other_records_in,
        messages.WriteDone: updates.write_done,
        messages.Leave: heartbeats.leave,
        messages.AskStatus: _ask_status,
        messages.AskStore: _ask_store,
        messages.AskTicket: _ask_ticket,
        renewals.StepDone: granting.step_done,
        renewals.ReleaseDone: granting.release_done,
        dispatcher.CrashSuspect: crashes.crash_suspect,
    }
    state.ref = actors.start('control', state, handler_by_type)
    return state.ref


def _tick(state: control_state.ControlState, message: messages.Tick) -> None:
    now = time.monotonic()
    heartbeats.note_listening(state, now)
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
    granting.renew_targets(state, live, now)
    granting.release_previous_owners(state, live, now)
    state.unusable_by_host[state.host] = control_state.own_unusable(state)
    duties.perform(state, live, now)
    publishing.publish(state, live, now)
    for ref in state.dispatcher_by_target.values():
        ref.tell(dispatcher.DispatchQueued())


def _frame_in(
    state: control_state.ControlState, message: messages.FrameIn
) -> None:
    handler = FRAME_HANDLERS.get(message.frame['type'])
    if handler is not None:
        handler(state, message.host, message.frame)


FRAME_HANDLERS: dict[
    str, abc.Callable[[control_state.ControlState, str, frames.Frame], None]
] = {
    frames.HEARTBEAT: heartbeats.heartbeat_frame,
    frames.RECORD: heartbeats.record_request,
    frames.TICKET: heartbeats.ticket_request,
    frames.CRASHES: crashes.crashes_frame,
}


def _ask_status(
    state: control_state.ControlState, message: messages.AskStatus
) -> status.CellView:
    return duties.describe(state, time.monotonic())


def _ask_store(
    state: control_state.ControlState, message: messages.AskStore
) -> status.StoreView:
    return status.StoreView(state.store_reachable, state.store_changed_at_ms)


def _ask_ticket(
    state: control_state.ControlState, message: messages.AskTicket
) -> tickets.Ticket | None:
    return state.ticket
