"""Records the runs and holds of upstreams, so that they outlive upstreams.

Run `python -m standins.recorder --address 127.0.0.1:0`.
"""

import threading
import typing

import typer

from standins import http_server

THREADS = 64


class RecorderState:
    """All records.

    Attributes:
      lock: Guards the other attributes.
      ran: A record of each run.
      hold_by_start: The latest report of each hold as (report number,
        until_ms), by (target, incarnation, service, slot, fence, from_ms).
      started_ms_by_incarnation: When each incarnation of a target started.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.ran: list[dict[str, typing.Any]] = []
        self.hold_by_start: dict[tuple, tuple[int, int]] = {}
        self.started_ms_by_incarnation: dict[tuple[str, str], int] = {}


def handle(
    state: RecorderState, call: http_server.Call
) -> http_server.Response:
    """Handle one call."""
    if call.method == 'GET' and call.path == ('all',):
        return http_server.json_response(200, _all_records(state))
    content = http_server.json_object(call)
    if content is None:
        return http_server.error_response(400, 'not a JSON object')
    if call.method == 'POST' and call.path == ('ran',):
        with state.lock:
            state.ran.append(content)
        return http_server.json_response(200, {})
    if call.method == 'POST' and call.path == ('holds',):
        try:
            _add_holds(state, content)
        except (KeyError, TypeError, ValueError) as error:
            return http_server.error_response(400, f'holds: {error!r}')
        return http_server.json_response(200, {})
    return http_server.error_response(404, 'no such path or method')


def _add_holds(state: RecorderState, content: dict[str, typing.Any]) -> None:
    incarnation = content['target'], content['incarnation']
    number = content['number']
    with state.lock:
        if 'started_ms' in content:
            started_ms = content['started_ms']
            state.started_ms_by_incarnation[incarnation] = started_ms
        for service, slot, fence, from_ms, until_ms in content['holds']:
            hold_start = (*incarnation, service, slot, fence, from_ms)
            recorded = state.hold_by_start.get(hold_start)
            # Reports of successive renewals may arrive out of order.
            if recorded is None or recorded[0] < number:
                state.hold_by_start[hold_start] = number, until_ms


def _all_records(state: RecorderState) -> dict[str, typing.Any]:
    with state.lock:
        holds = [
            {
                'target': hold_start[0],
                'incarnation': hold_start[1],
                'service': hold_start[2],
                'slot': hold_start[3],
                'fence': hold_start[4],
                'from_ms': hold_start[5],
                'until_ms': min(until_ms, _next_start_ms(state, hold_start)),
            }
            for hold_start, (_, until_ms) in state.hold_by_start.items()
        ]
        return {'ran': list(state.ran), 'holds': holds}


def _next_start_ms(state: RecorderState, hold_start: tuple) -> float:
    """Return when the next incarnation of the target started, or inf."""
    target, incarnation, *_, from_ms = hold_start
    return min(
        (
            started_ms
            for each, started_ms in state.started_ms_by_incarnation.items()
            if each[0] == target
            and each[1] != incarnation
            and started_ms >= from_ms
        ),
        default=float('inf'),
    )


def make_handler(state: RecorderState) -> http_server.Handler:
    """Return a handler that uses a state."""
    return lambda call: handle(state, call)


def main(
    address: str = typer.Option('127.0.0.1:0', help='host:port to listen on'),
) -> None:
    """Run the recorder until SIGTERM."""
    http_server.run_process(
        make_handler(RecorderState()), lambda: None, address, THREADS
    )


if __name__ == '__main__':
    typer.run(main)
