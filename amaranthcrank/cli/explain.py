"""Reconstructs the handling of one request from the logs of the hosts.

Pure functions over log lines; the command reads files or standard input.
"""

from collections import abc
import json
import typing

# State changes this long before a request may still explain its outcome.
LOOKBACK_S = 15.0
# Events that may affect any request on the host that logged them.
HOST_EVENTS = frozenset(
    (
        'started',
        'stopping',
        'stopped',
        'settings_reloaded',
        'settings_rejected',
        'ticket_in_force',
        'ticket_rejected',
        'store_lost',
        'store_regained',
        'store_absence',
        'changes_told',
        'history_gone',
        'lease_taken',
        'lease_lost',
        'lease_not_renewed',
        'keys_move',
        'part_failed',
    )
)
# Events about one target, which affect only requests sent to it.
TARGET_EVENTS = frozenset(
    (
        'target_known',
        'target_state',
        'target_missing',
        'target_gone',
        'renewal_failed',
        'grant_failed',
        'former_owner_ended',
    )
)

Line = dict[str, typing.Any]


class Explanation(typing.NamedTuple):
    """Log lines that concern one request.

    Attributes:
      request_lines: The lines with the id of the request, oldest first.
      state_changes: Earlier state changes on the same hosts that may have
        affected it, oldest first.
      unreadable: The number of lines that could not be parsed.
    """

    request_lines: tuple[Line, ...]
    state_changes: tuple[Line, ...]
    unreadable: int


def read_lines(texts: abc.Iterable[str]) -> tuple[list[Line], int]:
    """Parse log lines; return them with the number of unreadable ones.

    Text before the first brace, such as a timestamp added by a log
    collector, is skipped.
    """
    lines: list[Line] = []
    unreadable = 0
    for text in texts:
        start = text.find('{')
        if start < 0:
            unreadable += bool(text.strip())
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            unreadable += 1
            continue
        if not isinstance(line, dict) or 'event' not in line:
            unreadable += 1
            continue
        lines.append(line)
    return lines, unreadable


def explain(texts: abc.Iterable[str], request_id: str) -> Explanation:
    """Find the log lines that concern a request.

    Args:
      texts: Log lines of any number of hosts, in any order.
      request_id: The request's id.

    Returns:
      The lines of the request, and the state changes that may have
      affected it.
    """
    lines, unreadable = read_lines(texts)
    lines.sort(key=_timestamp)
    request_lines = [line for line in lines if line.get('id') == request_id]
    if not request_lines:
        return Explanation((), (), unreadable)
    hosts = {line.get('host') for line in request_lines}
    targets = {
        attempt[0]
        for line in request_lines
        for attempt in line.get('tries', ())
    }
    first = (
        _timestamp(request_lines[0])
        - request_lines[0].get('ms', 0) / 1000
        - LOOKBACK_S
    )
    last = _timestamp(request_lines[-1])
    state_changes = [
        line
        for line in lines
        if first <= _timestamp(line) <= last
        and line.get('host') in hosts
        and _may_affect(line, targets)
    ]
    return Explanation(tuple(request_lines), tuple(state_changes), unreadable)


def describe(explanation: Explanation) -> list[str]:
    """Format an explanation as text lines in order of time."""
    texts = []
    lines = [*explanation.request_lines, *explanation.state_changes]
    for line in sorted(lines, key=_timestamp):
        texts += _describe_line(line)
    if explanation.unreadable:
        texts.append(f'{explanation.unreadable} lines could not be parsed.')
    return texts


def _timestamp(line: Line) -> float:
    time_s = line.get('t', 0.0)
    return time_s if isinstance(time_s, int | float) else 0.0


def _may_affect(line: Line, targets: set[str]) -> bool:
    event = line['event']
    if event in HOST_EVENTS:
        return True
    if event not in TARGET_EVENTS:
        return False
    return bool({line.get('target'), line.get('target_id')} & targets)


def _describe_line(line: Line) -> list[str]:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.items()
        if name not in ('t', 'host', 'event', 'tries', 'dropped')
    )
    head = f'{_timestamp(line):.3f} {line.get("host", "?")} {line["event"]}'
    texts = [f'{head} {fields}']
    for number, attempt in enumerate(line.get('tries', ()), 1):
        target, waited_ms, here, elsewhere, slowness, ms, result = attempt
        texts.append(
            f'    try {number}: waited {waited_ms} ms for {target} (in flight '
            f'{here} here, {elsewhere} elsewhere, slowness {slowness}), '
            f'took {ms} ms: {result}'
        )
    return texts
