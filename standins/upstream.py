"""A stand-in for an upstream, run as a process.

Run `python -m standins.upstream --target t1 --service soaklog`. It runs
requests on keys under fenced grants, a limited number concurrently.
"""

import sys
import typing

import typer

from standins import http_server
from standins import upstream_grants
from standins import upstream_record
from standins import upstream_state
from standins import upstream_work

# Limit on remembered cancellations of requests that have not arrived yet.
MAX_CANCELS_BEFORE_ARRIVAL = 10_000
# Threads beyond one for each connection, for calls stalled by a freeze.
EXTRA_THREADS = 8


def handle(
    state: upstream_state.UpstreamState, call: http_server.Call
) -> http_server.Response:
    """Handle one call."""
    started_at = upstream_state.wait_while_frozen(state)
    if call.path[0] == 'keys':
        return upstream_work.run_work(state, call, started_at)
    handler = _HANDLER_BY_CALL.get((call.method, '/'.join(call.path)))
    if handler is None:
        return http_server.error_response(404, 'no such path or method')
    content = http_server.json_object(call)
    if content is None:
        return http_server.error_response(400, 'not a JSON object')
    return handler(state, content)


def _cancel(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Response:
    request_id = content.get('request_id')
    if not isinstance(request_id, str) or not request_id:
        return http_server.error_response(400, 'request_id is required')
    with state.lock:
        jobs = [each for each in state.jobs if each.request_id == request_id]
        for job in jobs:
            job.cancelled.set()
        seen = request_id in state.ran_ids
        if not seen:
            state.cancels_before_arrival[request_id] = None
            if len(state.cancels_before_arrival) > MAX_CANCELS_BEFORE_ARRIVAL:
                del state.cancels_before_arrival[
                    next(iter(state.cancels_before_arrival))
                ]
    outcome = 'running' if jobs else 'finished' if seen else 'not_seen'
    return http_server.json_response(200, {'state': outcome})


def _drain(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Response:
    with state.lock:
        state.draining = bool(content.get('draining', True))
        return http_server.json_response(
            200, upstream_grants.issue_challenge(state)
        )


def _freeze(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Response:
    ms = content.get('ms')
    if not isinstance(ms, (int, float)) or ms < 0:
        return http_server.error_response(400, 'ms must be a number from 0')
    with state.lock:
        until = state.clock() + ms / 1000
        state.frozen_until = max(state.frozen_until, until)
        state.lock.notify_all()
    return http_server.json_response(200, {'ms': ms})


def _change_settings(
    state: upstream_state.UpstreamState, content: dict[str, typing.Any]
) -> http_server.Response:
    accepted = ('service_ms', 'shed_ratio', 'shed_next')
    for name, number in content.items():
        if name not in accepted:
            return http_server.error_response(
                400, f'{name}: must be one of {", ".join(accepted)}'
            )
        if not isinstance(number, (int, float)) or number < 0:
            return http_server.error_response(
                400, f'{name} must be a number from 0'
            )
    with state.lock:
        changes = dict(content)
        state.shed_next = int(changes.pop('shed_next', state.shed_next))
        state.settings = state.settings._replace(**changes)
    return http_server.json_response(200, content)


_HANDLER_BY_CALL = {
    ('GET', 'grant'): upstream_grants.get_grant,
    ('POST', 'grant'): upstream_grants.post_grant,
    ('POST', 'release'): upstream_grants.release,
    ('POST', 'cancel'): _cancel,
    ('POST', 'drain'): _drain,
    ('POST', 'freeze'): _freeze,
    ('POST', 'settings'): _change_settings,
    ('GET', 'ran'): upstream_record.get_ran,
    ('GET', 'holds'): upstream_record.get_holds,
}


def make_handler(state: upstream_state.UpstreamState) -> http_server.Handler:
    """Return a handler that uses a state."""
    return lambda call: handle(state, call)


def main(
    target: str = typer.Option(..., help='The id of this upstream.'),
    service: str = typer.Option(..., help='The service that it runs.'),
    address: str = typer.Option('127.0.0.1:0', help='host:port to listen on'),
    slots: int = typer.Option(
        3, min=1, help='Number of requests run at once.'
    ),
    connections: int = typer.Option(
        110, min=1, help='Limit on open connections.'
    ),
    service_ms: float = typer.Option(
        5.0, min=0, help='Duration of a request.'
    ),
    unfenced: bool = typer.Option(
        False, help='Run work without checking its fence.'
    ),
    crash_header: str = typer.Option(
        '', help='Exit at once on a request with this header.'
    ),
    cold_ms: float = typer.Option(
        0.0, min=0, help='Duration of the cold start.'
    ),
    cold_mode: str = typer.Option(
        upstream_state.SLOW, help='slow or refuse: behaviour while cold.'
    ),
    cold_extra_ms: float = typer.Option(
        100.0, min=0, help='Added duration of a request while cold.'
    ),
    shed_ratio: float = typer.Option(
        0.0, min=0, max=1, help='Share of requests shed at random.'
    ),
    seed: int = typer.Option(0, help='Seed for --shed-ratio.'),
    record_url: str = typer.Option(
        '', help='URL of the recorder, as in http://127.0.0.1:8000'
    ),
    standby: bool = typer.Option(
        False, help='Listen only once a line arrives on standard input.'
    ),
) -> None:
    """Run one upstream until SIGTERM."""
    if standby:
        print('standing by', flush=True)
        sys.stdin.readline()
    if cold_mode not in (upstream_state.SLOW, upstream_state.REFUSE):
        raise typer.BadParameter('cold-mode: accepted are slow and refuse')
    state = upstream_state.UpstreamState(
        upstream_state.Settings(
            target,
            service,
            slots,
            service_ms,
            unfenced,
            crash_header,
            cold_ms,
            cold_mode,
            cold_extra_ms,
            shed_ratio,
            seed,
            record_url.rstrip('/'),
        )
    )
    http_server.run_process(
        make_handler(state),
        state.close,
        address,
        connections + EXTRA_THREADS,
        connections,
        lambda: upstream_record.record_start(state),
    )


if __name__ == '__main__':
    typer.run(main)
