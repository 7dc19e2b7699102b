"""Counts the log lines of routers that tell of rejected grants."""

import collections
import json
import pathlib
import typing

# Lines of these events count if their result is "rejected".
_RESULT_EVENTS = ('grant_failed', 'renewal_failed')
_REJECTED = 'rejected'
_SUPERSEDED_EVENT = 'token_superseded'
COUNTED_EVENTS = (*_RESULT_EVENTS, _SUPERSEDED_EVENT)


def count_rejections(folder: pathlib.Path) -> collections.Counter[str]:
    """Return how often the logs in a folder tell of each kind of rejection.

    Lines that were dropped at the rate limit of a log do not tell their
    result; they count as "dropped" with the name of their event.

    Args:
      folder: The folder with a log of JSON lines for each router.
    """
    counts: collections.Counter[str] = collections.Counter()
    for path in sorted(folder.glob('*.log')):
        for fields in read_events(path):
            event = fields.get('event')
            if event == _SUPERSEDED_EVENT:
                counts[_SUPERSEDED_EVENT] += 1
            if event in _RESULT_EVENTS and fields.get('result') == _REJECTED:
                counts[f'{event} {_REJECTED}'] += 1
            for name, dropped in fields.get('dropped', {}).items():
                if name in COUNTED_EVENTS:
                    counts[f'dropped {name}'] += dropped
    return counts


def read_events(
    path: pathlib.Path,
) -> typing.Iterator[dict[str, typing.Any]]:
    """Yield the lines of a log that are JSON objects.

    Others come from the interpreter, or were cut off when a process was
    killed.
    """
    with open(path, encoding='utf-8', errors='replace') as log:
        for line in log:
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if isinstance(fields, dict):
                yield fields
