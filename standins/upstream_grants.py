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
) -> http_server.Response:
    """Handle GET /grant."""
    with state.lock:
        return http_server.json_response(200, issue_challenge(state))


def post_grant(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Response:
    """Handle POST /grant: replace the granted slots or renew their lease."""
    version = content.get('version')
    fence_by_slot = _parse_slots(content.get('slots'), 3)
    if not isinstance(version, int) or fence_by_slot is None:
        return http_server.error_response(
            400, 'version and slots [[service, slot, fence]] are required'
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
            return http_server.json_response(409, issue_challenge(state))
        grant = upstream_state.Grant(version, fence_by_slot, expires_at)
        report = upstream_record.make_hold_report(
            state, _apply_grant(state, grant, now)
        )
        content = issue_challenge(state)
    upstream_record.post_record(state, '/holds', report)
    return http_server.json_response(200, content)


def _apply_grant(
    state: upstream_state.UpstreamState,
    grant: upstream_state.Grant,
    now: float,
) -> tuple[upstream_state.Hold, ...]:
    """Replace the current grant.

    Returns:
      The holds that were closed, followed by those that are open.
    """
    old = state.grant
    if grant[:2] == old[:2]:
        # Renewals from two hosts may arrive out of order.
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
) -> http_server.Response:
    """Handle POST /release: release slots at a version of the record."""
    version = content.get('version')
    slots = _parse_slots(content.get('slots'), 2)
    if not isinstance(version, int) or slots is None:
        return http_server.error_response(
            400, 'version and slots [[service, slot]] are required'
        )
    with state.lock:
        now = state.clock()
        if version < state.highest_version:
            return http_server.json_response(409, issue_challenge(state))
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
        report = upstream_record.make_hold_report(state, closed)
        running = [job.slot for job in state.jobs]
        content = issue_challenge(state)
    upstream_record.post_record(state, '/holds', report)
    # Requests that arrived before the release may still be running.
    content['slots'] = [
        [*slot_key, running.count(slot_key)] for slot_key in slots
    ]
    return http_server.json_response(200, content)


def _parse_slots(
    entries: typing.Any, length: int
) -> dict[upstream_state.SlotKey, int] | None:
    """Parse [service, slot, fence] entries; None if they are malformed.

    The fence may be left out if `length` is 2.
    """
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


def issue_challenge(
    state: upstream_state.UpstreamState,
) -> dict[str, typing.Any]:
    """Issue a challenge and return it with the current values."""
    now = state.clock()
    for challenge, issued_at in list(state.issued_at_by_challenge.items()):
        # They are ordered by time of issue, so the first valid one ends the
        # search for expired ones.
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
