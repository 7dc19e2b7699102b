"""Crashes of upstreams and quarantine of the requests in flight."""

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

# A broken connection counts as a crash only if the upstream is found down or
# restarted within this time.
SUSPECT_TIMEOUT_S = 5.0


def on_crashes_frame(
    state: control_state.ControlState, host: str, frame: frames.Frame
) -> None:
    """Merge the crash counts of a peer."""
    crashes = []
    for fingerprint, event, at_ms in frame['crashes']:
        crashes.append(quarantine.Crash(fingerprint, event, at_ms))
    merge = ledger_actor.MergeCrashes(tuple(crashes))
    _quarantine(state, actors.ask(state.ledger_ref, merge))


def export_crashes(
    state: control_state.ControlState, live: tuple[str, ...]
) -> None:
    """Send the crash counts to the live peers and expire old ones."""
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


def check_crash_suspect(
    state: control_state.ControlState, name: str, update: grants.ViewUpdate
) -> None:
    """Record a crash once the upstream is found down or restarted."""
    suspect = state.crash_suspect_by_target.get(name)
    if suspect is None:
        return
    restarted = update.view.incarnation != suspect.incarnation
    age = time.monotonic() - state.suspected_at_by_target[name]
    if update.down or restarted:
        event = quarantine.crash_event(name, suspect.incarnation)
        crash = ledger_actor.RecordCrash(event, suspect.fingerprints)
        _quarantine(state, actors.ask(state.ledger_ref, crash))
        state.next_export_at = time.monotonic()
    elif age < SUSPECT_TIMEOUT_S:
        return
    del state.crash_suspect_by_target[name]


def _quarantine(
    state: control_state.ControlState, fingerprints: tuple[str, ...]
) -> None:
    if not fingerprints:
        return
    log.warning(
        'Quarantined {} request fingerprint(s) that crashed upstreams.',
        len(fingerprints),
    )
    state.quarantined = state.quarantined | frozenset(fingerprints)


def on_crash_suspect(
    state: control_state.ControlState, message: dispatcher.CrashSuspect
) -> None:
    """Store which requests were in flight when a connection broke."""
    known = state.crash_suspect_by_target.get(message.target)
    fingerprints = frozenset(message.fingerprints)
    if known is not None and known.incarnation == message.incarnation:
        fingerprints = fingerprints | frozenset(known.fingerprints)
    state.crash_suspect_by_target[message.target] = message._replace(
        fingerprints=tuple(sorted(fingerprints))
    )
    state.suspected_at_by_target[message.target] = time.monotonic()
