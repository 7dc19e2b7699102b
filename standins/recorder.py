"""Keeps what upstreams ran and held, so that it survives their loss.

Run `python -m standins.recorder --address 127.0.0.1:0`.
"""

import threading
import typing

import typer

from standins import http_server

THREADS = 64


class RecorderState:
    """Everything that was reported.

    Attributes:
      lock: Guards the rest.
      ran: A record of each run.
      hold_by_begin: The latest report of each hold, by what names it, as
        (number of the report, until_ms).
      started_ms_by_incarnation: When each incarnation of a target began.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.ran: list[dict[str, typing.Any]] = []
        self.hold_by_begin: dict[tuple, tuple[int, int]] = {}
        self.started_ms_by_incarnation: dict[tuple[str, str], int] = {}


def handle(state: RecorderState, call: http_server.Call) -> http_server.Answer:
    """Answer one call."""
    if call.method == 'GET' and call.path == ('all',):
        return http_server.json_answer(200, _everything(state))
    content = http_server.json_object(call)
    if content is None:
        return http_server.error_answer(400, 'not a JSON object')
    if call.method == 'POST' and call.path == ('ran',):
        with state.lock:
            state.ran.append(content)
        return http_server.json_answer(200, {})
    if call.method == 'POST' and call.path == ('holds',):
        try:
            _add_holds(state, content)
        except (KeyError, TypeError, ValueError) as error:
            return http_server.error_answer(400, f'holds: {error!r}')
        return http_server.json_answer(200, {})
    return http_server.error_answer(404, 'no such path or method')


def _add_holds(state: RecorderState, content: dict[str, typing.Any]) -> None:
    incarnation = content['target'], content['incarnation']
    number = content['number']
    with state.lock:
        if 'started_ms' in content:
            started_ms = content['started_ms']
            state.started_ms_by_incarnation[incarnation] = started_ms
        for service, slot, fence, from_ms, until_ms in content['holds']:
            begin = (*incarnation, service, slot, fence, from_ms)
            known = state.hold_by_begin.get(begin)
            # Reports of two renewals may arrive out of order.
            if known is None or known[0] < number:
                state.hold_by_begin[begin] = number, until_ms


def _everything(state: RecorderState) -> dict[str, typing.Any]:
    with state.lock:
        holds = [
            {
                'target': begin[0],
                'incarnation': begin[1],
                'service': begin[2],
                'slot': begin[3],
                'fence': begin[4],
                'from_ms': begin[5],
                'until_ms': min(until_ms, _end_ms(state, begin)),
            }
            for begin, (_, until_ms) in state.hold_by_begin.items()
        ]
        return {'ran': list(state.ran), 'holds': holds}


def _end_ms(state: RecorderState, begin: tuple) -> float:
    """When the next incarnation of the same target began."""
    target, incarnation, *_, from_ms = begin
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
    """Bind handle to one state."""
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
