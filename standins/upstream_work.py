"""Runs requests on keys: fence check, effect, service time and response."""

import math
import os
import threading
import typing

from standins import http_server
from standins import upstream_record
from standins import upstream_state

CRASH_STATUS = 1


class Work(typing.NamedTuple):
    """One request on a key.

    Attributes:
      service: The service.
      key: The key, decoded.
      request_id: The request id, empty if missing.
      slot: The slot that it was sent for, None if missing.
      fence: The fence of the slot, None if missing.
      grant_incarnation: The incarnation that holds the grant.
      deadline_ms: The time left, None if missing.
      repeatable: Whether it may run more than once.
      echo: Whether the response repeats the body.
      body: The body.
    """

    service: str
    key: str
    request_id: str
    slot: int | None
    fence: int | None
    grant_incarnation: str
    deadline_ms: int | None
    repeatable: bool
    echo: bool
    body: bytes


def run_work(
    state: upstream_state.UpstreamState,
    call: http_server.Call,
    started_at: float,
) -> http_server.Response:
    """Handle a request on a key."""
    work, error = _parse_work(state, call)
    if work is None:
        return upstream_state.not_run_response(400, 'request', error)
    job = upstream_state.Job(
        work.request_id,
        None if work.slot is None else (work.service, work.slot),
        threading.Event(),
    )
    with state.lock:
        now = state.clock()
        refusal = _refusal(state, work, now, started_at)
        if refusal is not None:
            return refusal
        state.jobs.append(job)
        state.lock.notify_all()
        record, count = _apply_effect(state, work, now)
        service_s = _service_time_s(state, now)
    try:
        recorded = upstream_record.post_record(state, '/ran', record)
        if _should_crash(state, call):
            os._exit(CRASH_STATUS)
        if not recorded:
            return http_server.error_response(500, 'the run was not recorded')
        response = _wait_service_time(state, work, job, started_at, service_s)
        upstream_state.wait_while_frozen(state)
    finally:
        with state.lock:
            state.jobs.remove(job)
    return response or _success_response(work, count)


def _parse_work(
    state: upstream_state.UpstreamState, call: http_server.Call
) -> tuple[Work | None, str]:
    if len(call.path) != 3 or not call.path[2]:
        return None, 'the path must be /keys/<service>/<key>'
    if call.path[1] != state.settings.service:
        return (
            None,
            f'this upstream runs only service {state.settings.service}',
        )
    if len(call.body) > http_server.MAX_BODY_BYTES:
        return None, 'the body is over 1 MiB'
    numbers = {}
    for name in ('x-slot', 'x-fence', 'x-deadline-ms'):
        text = call.headers.get(name)
        try:
            numbers[name] = None if text is None else int(text)
        except ValueError:
            return None, f'{name} must be a whole number'
    repeatable = call.headers.get('x-request-repeatable')
    if repeatable is None:
        repeatable = 'true' if call.method in ('GET', 'HEAD') else 'false'
    return Work(
        call.path[1],
        call.path[2],
        call.headers.get('x-request-id', ''),
        numbers['x-slot'],
        numbers['x-fence'],
        call.headers.get('x-grant-incarnation', ''),
        numbers['x-deadline-ms'],
        repeatable == 'true',
        call.headers.get('x-echo') == '1',
        call.body,
    ), ''


def _refusal(
    state: upstream_state.UpstreamState,
    work: Work,
    now: float,
    started_at: float,
) -> http_server.Response | None:
    if not state.settings.unfenced:
        reason = _fence_error(state, work, now)
        if reason:
            return upstream_state.not_run_response(409, 'fence', reason)
    if state.draining:
        return upstream_state.not_run_response(
            503, 'draining', 'the upstream is draining'
        )
    if (
        state.settings.cold_mode == upstream_state.REFUSE
        and now < state.cold_until
    ):
        return upstream_state.not_run_response(
            503, 'cold', 'the upstream is in its cold start'
        )
    if (
        work.deadline_ms is not None
        and (now - started_at) * 1000 >= work.deadline_ms
    ):
        return upstream_state.not_run_response(
            504, 'deadline', 'the deadline has passed'
        )
    if work.request_id in state.cancels_before_arrival:
        del state.cancels_before_arrival[work.request_id]
        return upstream_state.not_run_response(
            499, 'cancelled', 'cancelled before arrival'
        )
    if len(state.jobs) >= state.settings.slots or _should_shed(state):
        return upstream_state.not_run_response(503, 'shed', 'no free slot')
    return None


def _fence_error(
    state: upstream_state.UpstreamState, work: Work, now: float
) -> str:
    if work.slot is None or work.fence is None:
        return 'X-Slot and X-Fence are required'
    if work.grant_incarnation != state.incarnation:
        return 'the grant belongs to another incarnation'
    if now >= state.grant.expires_at:
        return 'the lease has expired'
    fence = state.grant.fence_by_slot.get((work.service, work.slot))
    if fence is None:
        return 'the slot is not granted'
    if fence != work.fence:
        return f'the fence of the slot is {fence}'
    return ''


def _should_shed(state: upstream_state.UpstreamState) -> bool:
    if state.shed_next:
        state.shed_next -= 1
        return True
    ratio = state.settings.shed_ratio
    return ratio > 0 and state.random.random() < ratio


def _apply_effect(
    state: upstream_state.UpstreamState, work: Work, now: float
) -> tuple[dict[str, typing.Any], int]:
    """Apply the effect of the work, at the time of its fence check.

    Returns:
      The record of the run, and how many requests ran on the key so far.
    """
    ids = state.ids_by_key.setdefault((work.service, work.key), [])
    ids.append(work.request_id)
    state.ran_ids.add(work.request_id)
    record = {
        'target': state.settings.target,
        'request_id': work.request_id,
        'service': work.service,
        'key': work.key,
        'at_ms': int(upstream_state.record_ms(state, now)),
        'slot': work.slot,
        'fence': work.fence,
        'incarnation': state.incarnation,
        'repeatable': work.repeatable,
    }
    state.ran.append(record)
    return record, len(ids)


def _service_time_s(state: upstream_state.UpstreamState, now: float) -> float:
    service_ms = state.settings.service_ms
    if (
        state.settings.cold_mode == upstream_state.SLOW
        and now < state.cold_until
    ):
        service_ms += state.settings.cold_extra_ms
    return service_ms / 1000


def _should_crash(
    state: upstream_state.UpstreamState, call: http_server.Call
) -> bool:
    name = state.settings.crash_header.lower()
    return bool(name) and name in call.headers


def _wait_service_time(
    state: upstream_state.UpstreamState,
    work: Work,
    job: upstream_state.Job,
    started_at: float,
    service_s: float,
) -> http_server.Response | None:
    """Wait for the service time; return a response only if it is cut short.

    The work has already taken effect, so these responses have no X-Not-Run.
    """
    remaining_s = math.inf
    if work.deadline_ms is not None:
        remaining_s = started_at + work.deadline_ms / 1000 - state.clock()
    if job.cancelled.wait(max(0.0, min(service_s, remaining_s))):
        return http_server.error_response(499, 'cancelled while running')
    if remaining_s < service_s:
        return http_server.error_response(
            504, 'the deadline passed while running'
        )
    return None


def _success_response(work: Work, count: int) -> http_server.Response:
    if work.echo:
        return http_server.Response(
            200, (('Content-Type', 'application/octet-stream'),), work.body
        )
    return http_server.json_response(
        200,
        {
            'key': work.key,
            'service': work.service,
            'count': count,
            'request_id': work.request_id,
            'body_bytes': len(work.body),
        },
    )
