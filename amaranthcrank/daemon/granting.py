"""Probes, grants and releases at the targets of the cell."""

import time

from amaranthcrank.core import logs
from amaranthcrank.core import model
from amaranthcrank.daemon import control_state
from amaranthcrank.daemon import controller
from amaranthcrank.daemon import crashes
from amaranthcrank.daemon import heartbeats
from amaranthcrank.daemon import publishing
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.grant import grants
from amaranthcrank.grant import quorum
from amaranthcrank.grant import renewals
from amaranthcrank.publish import view as view_module

log = logs.logger('control')


def send_due_steps(
    state: control_state.ControlState, live: tuple[str, ...], now: float
) -> None:
    """Send the probe or grant that is due at each target."""
    quorum_state = control_state.own_quorum_state(state)
    until = quorum.host_lease_until(quorum_state, now)
    effective = quorum.effective_version(quorum_state, now)
    for name in state.dispatcher_by_target:
        if name in state.busy_targets:
            continue
        if not control_state.dispatches(state, name, live):
            state.down_targets.discard(name)
            continue
        step = grants.step_for_slots(
            state.view_by_target[name],
            quorum.record_version(quorum_state),
            _grantable_slots(state, name, effective),
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


def _grantable_slots(
    state: control_state.ControlState, name: str, effective: int
) -> tuple[tuple[str, int, int], ...]:
    """Return the slots that a target may be granted, from a cache.

    Computing them reads every slot of the cell, which took about 1% of a core
    when done at each tick for each target.
    """
    record = control_state.own_quorum_state(state).record
    if record is None:
        return ()
    cache_key = (record.version, effective, state.released_by_target)
    if state.grantable_cache_key != cache_key:
        state.grantable_cache_key = cache_key
        state.grantable_slots_by_target = {}
    if name not in state.grantable_slots_by_target:
        state.grantable_slots_by_target[name] = grants.grantable_slots(
            record, name, effective, state.released_by_target
        )
    return state.grantable_slots_by_target[name]


def on_step_done(
    state: control_state.ControlState, message: renewals.StepDone
) -> None:
    """Handle the response to a probe or grant, or its time-out."""
    name = message.target
    state.busy_targets.discard(name)
    if name not in state.view_by_target:
        return
    now = time.monotonic()
    old = state.view_by_target[name]
    if message.response is None:
        update = grants.record_miss(old, now)
    else:
        update = grants.record_response(old, message.response, now)
    state.view_by_target[name] = update.view
    _set_down(state, name, update.down)
    if update.restarted:
        log.info('Upstream {} has restarted.', name)
        state.granted_by_target.pop(name, None)
        state.dispatcher_by_target[name].tell(dispatcher.UpstreamRestarted())
    if message.granted:
        state.granted_by_target[name] = view_module.TargetGrant(
            message.step.incarnation,
            message.sent_at + model.GRANT_LEASE_S,
            frozenset(
                model.SlotId(service, slot)
                for service, slot, _ in message.step.slots
            ),
        )
    crashes.check_crash_suspect(state, name, update)
    live = control_state.live_hosts(state, now)
    send_due_steps(state, live, now)
    publishing.publish(state, live, now)


def _set_down(
    state: control_state.ControlState, name: str, down: bool
) -> None:
    if down and name not in state.down_targets:
        log.warning('Upstream {} is down: it does not respond.', name)
        state.down_targets.add(name)
        state.granted_by_target.pop(name, None)
        state.dispatcher_by_target[name].tell(dispatcher.UpstreamDown())
        now = time.monotonic()
        heartbeats.send_heartbeats(state, now)
        state.unusable_by_host[state.host] = (
            control_state.own_unusable_targets(state)
        )
        controller.start_due_write(
            state, control_state.live_hosts(state, now), now
        )
        return
    if not down and name in state.down_targets:
        log.info('Upstream {} responds again.', name)
        state.down_targets.discard(name)


def request_releases(
    state: control_state.ControlState, live: tuple[str, ...], now: float
) -> None:
    """Ask previous owners to release slots that wait for a grant."""
    quorum_state = control_state.own_quorum_state(state)
    if quorum_state.record is None:
        return
    if quorum.host_lease_until(quorum_state, now) <= now:
        return
    effective = quorum.effective_version(quorum_state, now)
    if effective >= quorum_state.record.version:
        return
    exclusive = quorum.exclusive_version(quorum_state, now)
    for name in state.dispatcher_by_target:
        if not control_state.dispatches(state, name, live):
            continue
        releases = grants.due_releases(
            quorum_state.record,
            name,
            effective,
            state.released_by_target,
            exclusive,
        )
        for each in releases:
            target = state.target_by_id.get(each.target)
            if target is None or not target.fenced:
                continue
            renewals.run_release(state.renewer, each)


def on_release_done(
    state: control_state.ControlState, message: renewals.ReleaseDone
) -> None:
    """Record a release that a previous owner confirmed."""
    release = message.due
    state.released_by_target = grants.with_release(
        state.released_by_target,
        release.target,
        release.version,
        release.slots,
    )
    now = time.monotonic()
    send_due_steps(state, control_state.live_hosts(state, now), now)
