"""Runs and holds of an upstream: HTTP views and reports to the recorder."""

import json
import math
import typing

import logbook
import urllib3

from standins import http_server
from standins import upstream_state

_LOG = logbook.Logger('upstream')


def get_ran(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Response:
    """Handle GET /ran."""
    with state.lock:
        return http_server.json_response(200, state.ran)


def get_holds(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Response:
    """Handle GET /holds."""
    with state.lock:
        grant = state.grant
        current = None
        if state.clock() < grant.expires_at:
            current = {
                'version': grant.version,
                'until_ms': math.floor(
                    upstream_state.record_ms(state, grant.expires_at)
                ),
                'slots': [
                    [*slot_key, fence]
                    for slot_key, fence in grant.fence_by_slot.items()
                ],
            }
        history = [
            _hold_entry(state, hold)
            for hold in (*state.past_holds, *state.hold_by_slot.values())
        ]
    return http_server.json_response(
        200,
        {
            'target': state.settings.target,
            'incarnation': state.incarnation,
            'current': current,
            'history': history,
        },
    )


def _hold_entry(
    state: upstream_state.UpstreamState, hold: upstream_state.Hold
) -> list[typing.Any]:
    return [
        hold.service,
        hold.slot,
        hold.fence,
        math.ceil(upstream_state.record_ms(state, hold.from_s)),
        math.floor(upstream_state.record_ms(state, hold.until_s)),
    ]


def make_hold_report(
    state: upstream_state.UpstreamState, holds: tuple[upstream_state.Hold, ...]
) -> dict[str, typing.Any]:
    """Make the next report of holds; the caller must hold the lock."""
    state.last_report_number += 1
    return {
        'target': state.settings.target,
        'incarnation': state.incarnation,
        'number': state.last_report_number,
        'holds': [_hold_entry(state, hold) for hold in holds],
    }


def record_start(state: upstream_state.UpstreamState) -> None:
    """Report the start of this incarnation to the recorder.

    The start ends all holds of the previous incarnation, which may have been
    killed before it could report their end.
    """
    with state.lock:
        report = make_hold_report(state, ())
        report['started_ms'] = math.floor(
            upstream_state.record_ms(state, state.clock())
        )
    post_record(state, '/holds', report)


def post_record(
    state: upstream_state.UpstreamState,
    path: str,
    content: dict[str, typing.Any],
) -> bool:
    """Post to the recorder; returns whether it stored the record."""
    if not state.settings.record_url:
        return True
    try:
        response = state.record_pool.request(
            'POST',
            state.settings.record_url + path,
            body=json.dumps(content).encode(),
        )
    except urllib3.exceptions.HTTPError as error:
        _LOG.error('Cannot record at {}: {}', path, error)
        return False
    if response.status != 200:
        _LOG.error('Cannot record at {}: status {}', path, response.status)
    return response.status == 200
