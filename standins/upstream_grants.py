"""Grants of slots, their leases and their release."""

import math
import typing
import uuid

from amaranthcrank.core import model
from standins import http_server
from standins import upstream_record
from standins import upstream_state


def get_grant(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    """Answer GET /grant."""
    with state.lock:
        return http_server.json_answer(200, current(state))


def post_grant(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    """Answer POST /grant: replace the granted slots or renew their lease."""
    version = content.get('version')
    fence_by_slot = _parse_slots(content.get('slots'), 3)
    if not isinstance(version, int) or fence_by_slot is None:
        return http_server.error_answer(
            400, 'version and slots [[service, slot, fence]] are needed'
        )
    with state.lock:
        now = state.clock()
        issued_at = state.issued_at_by_challenge.get(
            str(content.get('challenge')), -math.inf
        )
        expires_at = issued_at + model.GRANT_LEASE_S
        if (
            content.get('incarnation') != state.incarnation
            or now >= expires_at
            or version < state.highest_version
        ):
            return http_server.json_answer(409, current(state))
        grant = upstream_state.Grant(version, fence_by_slot, expires_at)
        report = upstream_record.hold_report(state, _accept(state, grant, now))
        content = current(state)
    upstream_record.post_record(state, '/holds', report)
    return http_server.json_answer(200, content)


def _accept(
    state: upstream_state.UpstreamState,
    grant: upstream_state.Grant,
    now: float,
) -> tuple[upstream_state.Hold, ...]:
    """Put a grant in place of the last one.

    Returns:
      The holds that it closed, then those that are open.
    """
    old = state.grant
    if grant[:2] == old[:2]:
        # Renewals of two hosts may arrive out of order.
        grant = grant._replace(
            expires_at=max(old.expires_at, grant.expires_at)
        )
    state.highest_version = grant.version
    state.grant = grant
    closed = []
    for slot_key, hold in list(state.hold_by_slot.items()):
        kept = grant.fence_by_slot.get(slot_key) == hold.fence
        if not kept or hold.until_s <= now:
            closed.append(_close_hold(state, slot_key, now))
    for slot_key, fence in grant.fence_by_slot.items():
        hold = state.hold_by_slot.get(slot_key)
        from_s = hold.from_s if hold else now
        state.hold_by_slot[slot_key] = upstream_state.Hold(
            *slot_key, fence, from_s, grant.expires_at
        )
    return (*closed, *state.hold_by_slot.values())


def _close_hold(
    state: upstream_state.UpstreamState,
    slot_key: upstream_state.SlotKey,
    now: float,
) -> upstream_state.Hold:
    hold = state.hold_by_slot.pop(slot_key)
    hold = hold._replace(until_s=min(hold.until_s, now))
    state.past_holds.append(hold)
    return hold


def release(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    """Answer POST /release: give slots back at a record version."""
    version = content.get('version')
    slots = _parse_slots(content.get('slots'), 2)
    if not isinstance(version, int) or slots is None:
        return http_server.error_answer(
            400, 'version and slots [[service, slot]] are needed'
        )
    with state.lock:
        now = state.clock()
        if version < state.highest_version:
            return http_server.json_answer(409, current(state))
        state.highest_version = version
        state.grant = state.grant._replace(
            fence_by_slot={
                slot_key: fence
                for slot_key, fence in state.grant.fence_by_slot.items()
                if slot_key not in slots
            }
        )
        closed = tuple(
            _close_hold(state, slot_key, now)
            for slot_key in slots
            if slot_key in state.hold_by_slot
        )
        report = upstream_record.hold_report(state, closed)
        running = [job.slot for job in state.jobs]
        content = current(state)
    upstream_record.post_record(state, '/holds', report)
    # Work that was sent before the release may still be running.
    content['slots'] = [
        [*slot_key, running.count(slot_key)] for slot_key in slots
    ]
    return http_server.json_answer(200, content)


def _parse_slots(
    entries: typing.Any, length: int
) -> dict[upstream_state.SlotKey, int] | None:
    """Parse slots with a fence each; the fence may be left out at 2."""
    if not isinstance(entries, list):
        return None
    fence_by_slot = {}
    for entry in entries:
        if not isinstance(entry, list) or not length <= len(entry) <= 3:
            return None
        service, *numbers = entry
        if not isinstance(service, str):
            return None
        if not all(isinstance(each, int) for each in numbers):
            return None
        fence_by_slot[service, numbers[0]] = numbers[-1]
    return fence_by_slot


def current(state: upstream_state.UpstreamState) -> dict[str, typing.Any]:
    """Issue a challenge and show it with the current values."""
    now = state.clock()
    for challenge, issued_at in list(state.issued_at_by_challenge.items()):
        # Issued in order of time, so the first young one ends the search.
        if now < issued_at + model.GRANT_LEASE_S:
            break
        del state.issued_at_by_challenge[challenge]
    challenge = uuid.uuid4().hex
    state.issued_at_by_challenge[challenge] = now
    return {
        'incarnation': state.incarnation,
        'challenge': challenge,
        'version': state.highest_version,
        'draining': state.draining,
        'in_flight': len(state.jobs),
    }
