"""Crashes of upstreams and the requests that were in flight."""

import time

from amaranthcrank.core import actors
from amaranthcrank.core import logs
from amaranthcrank.daemon import control_state
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import quarantine
from amaranthcrank.grant import grants
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module

log = logs.logger('control')

# A broken connection counts as a crash only if the upstream proves to be
# down or restarted within this time.
SUSPICION_S = 5.0


def crashes_frame(
    state: control_state.ControlState, host: str, frame: frames.Frame
) -> None:
    """Take the crash counts of a peer."""
    crashes = []
    for mark, event, at_ms in frame['crashes']:
        crashes.append(quarantine.Crash(mark, event, at_ms))
    merge = ledger_actor.MergeCrashes(tuple(crashes))
    _quarantine(state, actors.ask(state.ledger_ref, merge))


def export_crashes(
    state: control_state.ControlState, live: tuple[str, ...]
) -> None:
    """Send the crash counts to the peers and drop old ones."""
    state.quarantined = actors.ask(
        state.ledger_ref, ledger_actor.FilterQuarantined(state.quarantined)
    )
    state.suspected = actors.ask(state.ledger_ref, ledger_actor.GetSuspected())
    state.ledger_ref.tell(ledger_actor.Expire())
    crashes, _ = actors.ask(state.ledger_ref, ledger_actor.ExportCrashes(0))
    if not crashes:
        return
    frame = {
        'type': frames.CRASHES,
        'crashes': [tuple(each) for each in crashes],
    }
    for host in live:
        if host != state.host:
            links_module.send(state.links, host, frame)


def check_suspect(
    state: control_state.ControlState, name: str, noted: grants.ViewUpdate
) -> None:
    """Count a crash once the upstream proves to be down or restarted."""
    suspect = state.suspects_by_target.get(name)
    if suspect is None:
        return
    restarted = noted.view.incarnation != suspect.incarnation
    age = time.monotonic() - state.suspected_at_by_target[name]
    if noted.down or restarted:
        event = quarantine.crash_event(name, suspect.incarnation)
        crash = ledger_actor.RecordCrash(event, suspect.fingerprints)
        _quarantine(state, actors.ask(state.ledger_ref, crash))
        state.next_export_at = time.monotonic()
    elif age < SUSPICION_S:
        return
    del state.suspects_by_target[name]


def _quarantine(
    state: control_state.ControlState, marks: tuple[str, ...]
) -> None:
    if not marks:
        return
    log.warning(
        '{} request(s) that crashed upstreams are refused.',
        len(marks),
    )
    state.quarantined = state.quarantined | frozenset(marks)


def crash_suspect(
    state: control_state.ControlState, message: dispatcher.CrashSuspect
) -> None:
    """Keep what was in flight when a connection broke."""
    known = state.suspects_by_target.get(message.target)
    marks = frozenset(message.fingerprints)
    if known is not None and known.incarnation == message.incarnation:
        marks = marks | frozenset(known.fingerprints)
    state.suspects_by_target[message.target] = message._replace(
        fingerprints=tuple(sorted(marks))
    )
    state.suspected_at_by_target[message.target] = time.monotonic()
