"""The control actor: what one host knows and decides for its cell.

Messages come from the links, the store threads, the upstream threads and a
timer. Blocking calls run elsewhere and come back as messages.
"""

from collections import abc
import time
import typing

import pykka

from amaranthcrank.admission import gate
from amaranthcrank.core import actors
from amaranthcrank.core import hashing
from amaranthcrank.core import logs
from amaranthcrank.core import model
from amaranthcrank.core import settings as settings_module
from amaranthcrank.daemon import duties
from amaranthcrank.daemon import messages
from amaranthcrank.daemon import tasks as tasks_module
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import quarantine
from amaranthcrank.dispatch import work as work_module
from amaranthcrank.grant import grants
from amaranthcrank.grant import renewals
from amaranthcrank.grant import standing
from amaranthcrank.observe import failure_detector
from amaranthcrank.observe import host_list
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module
from amaranthcrank.publish import status
from amaranthcrank.publish import view as view_module
from amaranthcrank.record import cell_record
from amaranthcrank.record import tickets
from amaranthcrank.routing import route

log = logs.logger('control')

TICK_S = 0.05
# Dispatch moves to another host after this silence. Two peers that disagree
# on who dispatches cost a refused attempt, never a second owner.
DISPATCH_SILENCE_S = 0.3
CRASH_EXPORT_INTERVAL_S = 1.0
FETCH_INTERVAL_S = 0.1
# A broken connection counts as a crash only if the upstream proves to be
# down or restarted within this time.
SUSPICION_S = 5.0
# A process that did not run for this long has lost its standing.
PAUSE_S = model.STANDING_LEASE_S


class ControlState:
    """What the control actor owns."""

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: str,
        links: links_module.Links,
        holder: view_module.ViewHolder,
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
        self.holder = holder
        self.ledger_ref = ledger_ref
        self.context = context
        self.tasks = tasks
        self.renewer = renewer
        self.gate_ref = gate_ref
        self.ref: pykka.ActorRef | None = None
        self.ticked_at = now
        self.listening_since = now
        self.standing_by_cell = {
            self.cell: standing.start(self.cell, self.host, incarnation)
        }
        self.ticket: tickets.Ticket | None = None
        self.ticket_known = False
        self.state: dict[str, typing.Any] = model.EMPTY_STATE
        self.table_by_service: dict[str, route.ServiceTable] = {}
        self.target_by_id: dict[str, model.Target] = {}
        self.host_list = host_list.EMPTY
        self.address_by_host = dict(settings.peers)
        self.dispatcher_by_target: dict[str, pykka.ActorRef] = {}
        self.view_by_target: dict[str, grants.TargetView] = {}
        self.granted_by_target: dict[str, view_module.Granted] = {}
        self.released_by_target: dict[str, grants.Release] = {}
        self.grantable_basis: tuple[typing.Any, ...] = ()
        self.grantable_by_target: dict[
            str, tuple[tuple[str, int, int], ...]
        ] = {}
        self.busy_targets: set[str] = set()
        self.down: set[str] = set()
        self.unusable_by_host: dict[str, frozenset[str]] = {}
        self.leaving_hosts: set[str] = set()
        self.leaving = False
        self.suspects_by_target: dict[str, dispatcher.CrashSuspect] = {}
        self.suspected_at_by_target: dict[str, float] = {}
        self.quarantined: frozenset[str] = frozenset()
        self.suspected: frozenset[str] = frozenset()
        self.pending_holders: list[
            tuple[int, ledger_actor.HoldersChanged]
        ] = []
        self.store_reachable = False
        self.store_changed_at_ms = ledger_actor.wall_ms()
        self.other_record_by_cell: dict[str, model.CellRecord | None] = {}
        self.other_records_number = 0
        self.planned_for: tuple[typing.Any, ...] = ()
        self.hosts_by_cell: dict[str, tuple[str, ...]] = {}
        self.writing = False
        self.next_heartbeat_at = now
        self.next_export_at = now
        self.next_fetch_at = now
        self.next_read_at = now


def start(state: ControlState) -> pykka.ActorRef:
    """Start the control actor."""
    handler_by_type = {
        messages.Tick: _tick,
        messages.FrameIn: _frame_in,
        messages.RecordIn: _record_in,
        messages.TicketIn: _ticket_in,
        messages.HostsIn: _hosts_in,
        messages.StoreState: _store_state,
        messages.OtherRecordsIn: _other_records_in,
        messages.WriteDone: _write_done,
        messages.Leave: _leave,
        messages.AskStatus: _ask_status,
        messages.AskStore: _ask_store,
        messages.AskTicket: _ask_ticket,
        renewals.StepDone: _step_done,
        renewals.ReleaseDone: _release_done,
        dispatcher.CrashSuspect: _crash_suspect,
    }
    state.ref = actors.start('control', state, handler_by_type)
    return state.ref


def own_standing(state: ControlState) -> standing.StandingState:
    """Return the agreement state of the own cell."""
    return state.standing_by_cell[state.cell]


def live_hosts(state: ControlState, now: float) -> tuple[str, ...]:
    """Return the hosts of the cell that dispatch."""
    heard = standing.heard_within(own_standing(state), now, DISPATCH_SILENCE_S)
    staying = tuple(each for each in heard if each not in state.leaving_hosts)
    # The last host goes on until its process ends.
    return staying or heard


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


def _tick(state: ControlState, message: messages.Tick) -> None:
    now = time.monotonic()
    _note_listening(state, now)
    live = live_hosts(state, now)
    if now >= state.next_heartbeat_at:
        state.next_heartbeat_at = now + model.HEARTBEAT_INTERVAL_S
        _send_heartbeats(state, now)
    if now >= state.next_fetch_at:
        state.next_fetch_at = now + FETCH_INTERVAL_S
        _fetch_from_peers(state)
    if now >= state.next_export_at:
        state.next_export_at = now + CRASH_EXPORT_INTERVAL_S
        _export_crashes(state, live)
    _renew_targets(state, live, now)
    _release_previous_owners(state, live, now)
    state.unusable_by_host[state.host] = _own_unusable(state)
    duties.perform(state, live, now)
    _publish(state, live, now)
    for ref in state.dispatcher_by_target.values():
        ref.tell(dispatcher.Pump())


def _note_listening(state: ControlState, now: float) -> None:
    """Keep since when the silence of another host says something."""
    if now - state.ticked_at > PAUSE_S:
        log.warning('The host was paused for {:.1f} s.', now - state.ticked_at)
        state.listening_since = now
    state.ticked_at = now
    state.listening_since = failure_detector.listening_since(
        own_standing(state), state.listening_since, now
    )


def _frame_in(state: ControlState, message: messages.FrameIn) -> None:
    handler = FRAME_HANDLERS.get(message.frame['type'])
    if handler is not None:
        handler(state, message.host, message.frame)


def _heartbeat_frame(
    state: ControlState, host: str, frame: frames.Frame
) -> None:
    beat = standing.Heartbeat(*frame['beat'])
    if beat.sender != host:
        return
    agreement = state.standing_by_cell.get(beat.cell)
    if agreement is None:
        agreement = _join_as_attester(state, beat.cell)
        if agreement is None:
            return
    now = time.monotonic()
    following = standing.receive(agreement, beat, now)
    state.standing_by_cell[beat.cell] = following
    if beat.cell == state.cell:
        unusable = frozenset(frame['unusable'])
        changed = unusable != state.unusable_by_host.get(host, frozenset())
        state.unusable_by_host[host] = unusable
        if changed:
            duties.perform(state, live_hosts(state, now), now)
        _note_leaving(state, host, frame['leaving'])
        _resend_adopted_holders(state)
        _publish(state, live_hosts(state, now), now)
    if following.promised > agreement.promised:
        _send_heartbeats(state, now)


def _join_as_attester(
    state: ControlState, cell: str
) -> standing.StandingState | None:
    """Start to attest for a cell whose ticket names this host."""
    section = state.state['cells'].get(cell)
    if section is None or section.get('attester') != state.host:
        return None
    agreement = standing.start(cell, state.host, state.incarnation)
    state.standing_by_cell[cell] = agreement
    tasks_module.read_record(state.tasks, cell)
    return agreement


def _note_leaving(state: ControlState, host: str, leaving: bool) -> None:
    if leaving:
        state.leaving_hosts.add(host)
        return
    state.leaving_hosts.discard(host)


def _record_request(
    state: ControlState, host: str, frame: frames.Frame
) -> None:
    agreement = state.standing_by_cell.get(frame['cell'])
    record = agreement.record if agreement else None
    answer = {'type': frames.RECORD, 'record': duties.pack(record)}
    links_module.reply(state.links, host, frame['id'], answer)


def _ticket_request(
    state: ControlState, host: str, frame: frames.Frame
) -> None:
    data = tickets.encode(state.ticket) if state.ticket else b''
    answer = {'type': frames.TICKET, 'ticket': data}
    links_module.reply(state.links, host, frame['id'], answer)


def _crashes_frame(
    state: ControlState, host: str, frame: frames.Frame
) -> None:
    crashes = []
    for mark, event, at_ms in frame['crashes']:
        crashes.append(quarantine.Crash(mark, event, at_ms))
    merge = ledger_actor.MergeCrashes(tuple(crashes))
    _quarantine(state, state.ledger_ref.ask(merge))


FRAME_HANDLERS: dict[
    str, abc.Callable[[ControlState, str, frames.Frame], None]
] = {
    frames.HEARTBEAT: _heartbeat_frame,
    frames.RECORD: _record_request,
    frames.TICKET: _ticket_request,
    frames.CRASHES: _crashes_frame,
}


def _send_heartbeats(state: ControlState, now: float) -> None:
    number = state.ticket.number if state.ticket else 0
    unusable = sorted(_own_unusable(state))
    for cell, agreement in state.standing_by_cell.items():
        for peer in standing.peers(agreement):
            agreement, beat = standing.heartbeat_for(
                agreement, peer, now, number
            )
            frame = {
                'type': frames.HEARTBEAT,
                'beat': tuple(beat),
                'unusable': unusable,
                'leaving': state.leaving,
            }
            links_module.send(state.links, peer, frame)
        state.standing_by_cell[cell] = agreement


def _fetch_from_peers(state: ControlState) -> None:
    """Ask peers for a newer record or ticket than this host has."""
    for cell, agreement in state.standing_by_cell.items():
        peer = standing.record_wanted_from(agreement)
        if peer is None:
            continue
        tasks_module.fetch_record(state.tasks, peer, cell)
    agreement = own_standing(state)
    number = state.ticket.number if state.ticket else 0
    if agreement.ticket <= number:
        return
    for host, peer_view in agreement.peer_by_host.items():
        if peer_view.ticket > number:
            tasks_module.fetch_ticket(state.tasks, host)
            return


def _export_crashes(state: ControlState, live: tuple[str, ...]) -> None:
    state.quarantined = state.ledger_ref.ask(
        ledger_actor.Quarantined(state.quarantined)
    )
    state.suspected = state.ledger_ref.ask(ledger_actor.Suspected())
    state.ledger_ref.tell(ledger_actor.Expire())
    crashes, _ = state.ledger_ref.ask(ledger_actor.ExportCrashes(0))
    if not crashes:
        return
    frame = {
        'type': frames.CRASHES,
        'crashes': [tuple(each) for each in crashes],
    }
    for host in live:
        if host != state.host:
            links_module.send(state.links, host, frame)


def _record_in(state: ControlState, message: messages.RecordIn) -> None:
    agreement = state.standing_by_cell.get(message.cell)
    if agreement is None:
        return
    now = time.monotonic()
    if message.record is None:
        if message.from_store and message.cell == state.cell:
            duties.create_record(state)
        return
    following = standing.install_record(
        agreement, message.record, now, message.from_store
    )
    state.standing_by_cell[message.cell] = following
    if following.record is agreement.record:
        return
    log.info(
        'Cell {} is at version {}.',
        message.cell,
        message.record.version,
    )
    if message.cell == state.cell:
        _tell_holders(state, agreement.record, message.record)
    _send_heartbeats(state, now)
    _publish(state, live_hosts(state, now), now)


def _tell_holders(
    state: ControlState,
    old: model.CellRecord | None,
    new: model.CellRecord,
) -> None:
    """Tell the ledger of slots whose intents have other holders now."""
    kept = []
    gained = []
    for slot, assigned in new.assignment_by_slot.items():
        if hashing.is_pin(slot.slot):
            continue
        if _is_gained(old, slot, assigned):
            gained.append(slot)
            continue
        kept.append(slot)
    old_hosts = old.hosts if old else ()
    if old and new.hosts_version > old.version + 1:
        # A list between the two may have been missed.
        old_hosts = ()
    changes = [(tuple(gained), ())]
    if old_hosts != new.hosts:
        changes.append((tuple(kept), old_hosts))
    for slots, hosts in changes:
        message = ledger_actor.HoldersChanged(
            new.version, slots, hosts, new.hosts, False
        )
        state.ledger_ref.tell(message)
        if slots:
            state.pending_holders.append((new.version, message))
    _resend_adopted_holders(state)


def _is_gained(
    old: model.CellRecord | None,
    slot: model.SlotId,
    assigned: model.Assignment,
) -> bool:
    """Tell whether another cell may have run the slot's work since old.

    A slot that left the cell and came back has a fence above the old record
    and no previous owner that counts. So has a slot that moved twice, for
    which a new start is only stricter than needed.
    """
    if old is None or slot not in old.assignment_by_slot:
        return True
    owner_unknown = assigned.previous_target in ('', cell_record.UNRESOLVED)
    return assigned.fence > old.version + 1 and owner_unknown


def _resend_adopted_holders(state: ControlState) -> None:
    if not state.pending_holders:
        return
    adopted = standing.adopted_version(own_standing(state))
    waiting = []
    for version, message in state.pending_holders:
        if version > adopted:
            waiting.append((version, message))
            continue
        state.ledger_ref.tell(message._replace(adopted=True))
    state.pending_holders = waiting


def _ticket_in(state: ControlState, message: messages.TicketIn) -> None:
    if message.from_store or message.ticket is not None:
        state.ticket_known = True
    ticket = message.ticket
    if ticket is None:
        return
    if not tickets.is_newer(state.ticket, ticket):
        return
    state.ticket = ticket
    state.state = ticket.state
    state.table_by_service = route.build_tables(ticket.state)
    state.target_by_id = tickets.targets_of(ticket.state)
    state.other_record_by_cell = {}
    log.info('Ticket {} is in force here.', ticket.number)
    now = time.monotonic()
    lost = frozenset(ticket.state['lost_hosts'])
    for cell, agreement in state.standing_by_cell.items():
        state.standing_by_cell[cell] = standing.with_lost_hosts(
            agreement, lost, now
        )
    for cell, section in ticket.state['cells'].items():
        if cell not in state.standing_by_cell:
            if section.get('attester') == state.host:
                _join_as_attester(state, cell)
    _follow_targets(state)
    _set_link_rate(state)
    state.hosts_by_cell = _hosts_by_cell(state)
    _publish(state, live_hosts(state, now), now)


def _set_link_rate(state: ControlState) -> None:
    """Share the link between regions among the hosts of the region."""
    link = state.state['link']
    if not link:
        return
    domains = set()
    for section in state.state['cells'].values():
        if section['region'] == state.settings.region:
            domains.add(section['failure_domain'])
    hosts = 0
    for host in state.host_list.live:
        if host.failure_domain in domains:
            hosts += 1
    rate = link['bytes_per_s'] / max(1, hosts)
    state.gate_ref.tell(gate.SetRate(rate, link['share']))


def _follow_targets(state: ControlState) -> None:
    """Start, update and stop dispatchers as the ticket says."""
    floors = {}
    for rank, section in state.state['ranks'].items():
        floors[rank] = section['floor']
    wanted = {each.target: each for each in own_targets(state)}
    for name, ref in list(state.dispatcher_by_target.items()):
        if name in wanted:
            ref.tell(dispatcher.SetTarget(wanted[name], floors))
            continue
        ref.tell(dispatcher.Stop())
        del state.dispatcher_by_target[name]
        renewals.forget(state.renewer, name)
        state.view_by_target.pop(name, None)
        state.granted_by_target.pop(name, None)
        state.down.discard(name)
    for name, target in wanted.items():
        if name in state.dispatcher_by_target:
            continue
        state.dispatcher_by_target[name] = dispatcher.start(
            target, floors, state.context, state.ref.tell
        )
        renewals.add(state.renewer, target)
        state.view_by_target[name] = grants.new_view(name)


def _hosts_in(state: ControlState, message: messages.HostsIn) -> None:
    state.host_list = message.hosts
    for host in (*message.hosts.live, *message.hosts.leaving):
        state.address_by_host[host.host] = _split_address(host.address)
    _set_link_rate(state)
    state.hosts_by_cell = _hosts_by_cell(state)
    known = dict(state.address_by_host)
    known.pop(state.host, None)
    links_module.set_hosts(state.links, known)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _store_state(state: ControlState, message: messages.StoreState) -> None:
    if message.reachable == state.store_reachable:
        return
    state.store_reachable = message.reachable
    state.store_changed_at_ms = ledger_actor.wall_ms()
    if message.reachable:
        log.info('The store answers.')
        return
    log.warning('The store does not answer.')


def _other_records_in(
    state: ControlState, message: messages.OtherRecordsIn
) -> None:
    # Records that were read before the newest ticket was known say nothing
    # about it.
    if state.ticket is not None and message.ticket == state.ticket.number:
        state.other_record_by_cell = message.record_by_cell
        state.other_records_number += 1


def _write_done(state: ControlState, message: messages.WriteDone) -> None:
    state.writing = False


def _leave(state: ControlState, message: messages.Leave) -> None:
    state.leaving = True
    state.leaving_hosts.add(state.host)
    now = time.monotonic()
    _send_heartbeats(state, now)
    _publish(state, live_hosts(state, now), now)


def _renew_targets(
    state: ControlState, live: tuple[str, ...], now: float
) -> None:
    """Send the probe or grant that is due at each target."""
    agreement = own_standing(state)
    until = standing.standing_until(agreement, now)
    effective = standing.effective_version(agreement, now)
    for name in state.dispatcher_by_target:
        if name in state.busy_targets:
            continue
        if not dispatches(state, name, live):
            state.down.discard(name)
            continue
        step = grants.step_for_slots(
            state.view_by_target[name],
            standing.record_version(agreement),
            _grantable(state, name, effective),
            until,
            now,
        )
        if step.kind == grants.NOTHING:
            continue
        state.view_by_target[name] = grants.record_sent(
            state.view_by_target[name], step, now
        )
        state.busy_targets.add(name)
        renewals.run_step(state.renewer, name, step, now)


def _grantable(
    state: ControlState, name: str, effective: int
) -> tuple[tuple[str, int, int], ...]:
    """Return the slots that a target may be granted, kept while they hold.

    Looking them up reads every slot of the cell, which at each tick and for
    each target took about 1% of a core.
    """
    record = own_standing(state).record
    if record is None:
        return ()
    basis = (record.version, effective, state.released_by_target)
    if state.grantable_basis != basis:
        state.grantable_basis = basis
        state.grantable_by_target = {}
    if name not in state.grantable_by_target:
        state.grantable_by_target[name] = grants.grantable_slots(
            record, name, effective, state.released_by_target
        )
    return state.grantable_by_target[name]


def _step_done(state: ControlState, message: renewals.StepDone) -> None:
    name = message.target
    state.busy_targets.discard(name)
    if name not in state.view_by_target:
        return
    now = time.monotonic()
    old = state.view_by_target[name]
    if message.answer is None:
        noted = grants.record_miss(old, now)
    else:
        noted = grants.record_answer(old, message.answer, now)
    state.view_by_target[name] = noted.view
    _note_down(state, name, noted.down)
    if noted.restarted:
        log.info('Upstream {} has restarted.', name)
        state.granted_by_target.pop(name, None)
        state.dispatcher_by_target[name].tell(dispatcher.Restarted())
    if message.granted:
        state.granted_by_target[name] = view_module.Granted(
            message.step.incarnation,
            message.sent_at + model.GRANT_LEASE_S,
            frozenset(
                model.SlotId(service, slot)
                for service, slot, _ in message.step.slots
            ),
        )
    _check_suspect(state, name, noted)
    live = live_hosts(state, now)
    _renew_targets(state, live, now)
    _publish(state, live, now)


def _note_down(state: ControlState, name: str, down: bool) -> None:
    if down and name not in state.down:
        log.warning('Upstream {} does not answer.', name)
        state.down.add(name)
        state.granted_by_target.pop(name, None)
        state.dispatcher_by_target[name].tell(dispatcher.Lost())
        now = time.monotonic()
        _send_heartbeats(state, now)
        state.unusable_by_host[state.host] = _own_unusable(state)
        duties.perform(state, live_hosts(state, now), now)
        return
    if not down and name in state.down:
        log.info('Upstream {} answers again.', name)
        state.down.discard(name)


def _check_suspect(
    state: ControlState, name: str, noted: grants.Noted
) -> None:
    """Count a crash once the upstream proves to be down or restarted."""
    suspect = state.suspects_by_target.get(name)
    if suspect is None:
        return
    restarted = noted.view.incarnation != suspect.incarnation
    age = time.monotonic() - state.suspected_at_by_target[name]
    if noted.down or restarted:
        event = quarantine.crash_event(name, suspect.incarnation)
        crash = ledger_actor.NoteCrash(event, suspect.fingerprints)
        _quarantine(state, state.ledger_ref.ask(crash))
        state.next_export_at = time.monotonic()
    elif age < SUSPICION_S:
        return
    del state.suspects_by_target[name]


def _quarantine(state: ControlState, marks: tuple[str, ...]) -> None:
    if not marks:
        return
    log.warning(
        '{} request(s) that crashed upstreams are refused.',
        len(marks),
    )
    state.quarantined = state.quarantined | frozenset(marks)


def _crash_suspect(
    state: ControlState, message: dispatcher.CrashSuspect
) -> None:
    known = state.suspects_by_target.get(message.target)
    marks = frozenset(message.fingerprints)
    if known is not None and known.incarnation == message.incarnation:
        marks = marks | frozenset(known.fingerprints)
    state.suspects_by_target[message.target] = message._replace(
        fingerprints=tuple(sorted(marks))
    )
    state.suspected_at_by_target[message.target] = time.monotonic()


def _release_previous_owners(
    state: ControlState, live: tuple[str, ...], now: float
) -> None:
    """Ask previous owners to let go of slots that wait for a grant."""
    agreement = own_standing(state)
    if agreement.record is None:
        return
    if standing.standing_until(agreement, now) <= now:
        return
    effective = standing.effective_version(agreement, now)
    if effective >= agreement.record.version:
        return
    exclusive = standing.exclusive_version(agreement, now)
    for name in state.dispatcher_by_target:
        if not dispatches(state, name, live):
            continue
        due = grants.due_releases(
            agreement.record,
            name,
            effective,
            state.released_by_target,
            exclusive,
        )
        for each in due:
            target = state.target_by_id.get(each.target)
            if target is None or not target.fenced:
                continue
            renewals.run_release(state.renewer, each)


def _release_done(state: ControlState, message: renewals.ReleaseDone) -> None:
    due = message.due
    state.released_by_target = grants.with_release(
        state.released_by_target, due.target, due.version, due.slots
    )
    now = time.monotonic()
    _renew_targets(state, live_hosts(state, now), now)


def _own_unusable(state: ControlState) -> frozenset[str]:
    draining = {
        name for name, each in state.view_by_target.items() if each.draining
    }
    return frozenset(state.down | draining)


def _publish(state: ControlState, live: tuple[str, ...], now: float) -> None:
    """Replace the view that the request path reads."""
    agreement = own_standing(state)
    record = agreement.record
    until = standing.standing_until(agreement, now)
    granted = {}
    for name, each in state.granted_by_target.items():
        if each.until > now and dispatches(state, name, live):
            granted[name] = each
    ready = (
        not state.leaving
        and state.ticket is not None
        and agreement.recovered
        and record is not None
        and state.host in record.hosts
    )
    state.holder.view = view_module.View(
        ready,
        state.ticket.number if state.ticket else 0,
        state.state,
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


def _hosts_by_cell(state: ControlState) -> dict[str, tuple[str, ...]]:
    hosts_by_domain: dict[str, list[str]] = {}
    for host in state.host_list.live:
        hosts_by_domain.setdefault(host.failure_domain, []).append(host.host)
    hosts_by_cell = {}
    for cell, section in state.state['cells'].items():
        found = hosts_by_domain.get(section['failure_domain'], [])
        hosts_by_cell[cell] = tuple(found)
    return hosts_by_cell


def _ask_status(
    state: ControlState, message: messages.AskStatus
) -> status.CellView:
    return duties.describe(state, time.monotonic())


def _ask_store(
    state: ControlState, message: messages.AskStore
) -> status.StoreView:
    return status.StoreView(state.store_reachable, state.store_changed_at_ms)


def _ask_ticket(
    state: ControlState, message: messages.AskTicket
) -> tickets.Ticket | None:
    return state.ticket
