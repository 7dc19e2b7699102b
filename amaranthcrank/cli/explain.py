"""Explains what became of one request, from the logs of the hosts.

Pure functions over log lines; the command reads files or standard input.
"""

from collections import abc
import json
import typing

# How long before a request a change of belief may still explain it.
LOOKBACK_S = 15.0
# Beliefs that bear on any request.
GENERAL_EVENTS = frozenset(
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
# Beliefs of one target, which bear on requests that were sent to it.
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
    """What the logs say of a request.

    Attributes:
      own: The lines of the request, in order of time.
      beliefs: Changes of belief on the same hosts before it, in order.
      unread: How many lines could not be read.
    """

    own: tuple[Line, ...]
    beliefs: tuple[Line, ...]
    unread: int


def read_lines(texts: abc.Iterable[str]) -> tuple[list[Line], int]:
    """Read log lines; return them with the number of unreadable ones.

    Whatever stands before the first brace, such as a collector's time, is
    passed over.
    """
    lines: list[Line] = []
    unread = 0
    for text in texts:
        start = text.find('{')
        if start < 0:
            unread += bool(text.strip())
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            unread += 1
            continue
        if not isinstance(line, dict) or 'event' not in line:
            unread += 1
            continue
        lines.append(line)
    return lines, unread


def explain(texts: abc.Iterable[str], request_id: str) -> Explanation:
    """Find what bears on a request.

    Args:
      texts: Log lines of any number of hosts, in any order.
      request_id: The request's id.

    Returns:
      Its lines, and the beliefs that were in force.
    """
    lines, unread = read_lines(texts)
    lines.sort(key=_time_of)
    own = [line for line in lines if line.get('id') == request_id]
    if not own:
        return Explanation((), (), unread)
    hosts = {line.get('host') for line in own}
    targets = {one[0] for line in own for one in line.get('tries', ())}
    first = _time_of(own[0]) - own[0].get('ms', 0) / 1000 - LOOKBACK_S
    last = _time_of(own[-1])
    beliefs = [
        line
        for line in lines
        if first <= _time_of(line) <= last
        and line.get('host') in hosts
        and _bears(line, targets)
    ]
    return Explanation(tuple(own), tuple(beliefs), unread)


def describe(explanation: Explanation) -> list[str]:
    """Return an explanation as text, one time line."""
    texts = []
    lines = [*explanation.own, *explanation.beliefs]
    for line in sorted(lines, key=_time_of):
        texts += _describe_line(line)
    if explanation.unread:
        texts.append(f'{explanation.unread} lines could not be read.')
    return texts


def _time_of(line: Line) -> float:
    at = line.get('t', 0.0)
    return at if isinstance(at, int | float) else 0.0


def _bears(line: Line, targets: set[str]) -> bool:
    event = line['event']
    if event in GENERAL_EVENTS:
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
    head = f'{_time_of(line):.3f} {line.get("host", "?")} {line["event"]}'
    texts = [f'{head} {fields}']
    for number, one in enumerate(line.get('tries', ()), 1):
        target, waited_ms, own, others, slowness, ms, result = one
        texts.append(
            f'    try {number}: waited {waited_ms} ms for {target} (in flight '
            f'{own} here, {others} elsewhere, slowness {slowness}), '
            f'took {ms} ms: {result}'
        )
    return texts
