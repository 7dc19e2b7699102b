"""Checks which target held which keys, from the records of their processes."""

import json
import pathlib
import typing

from soak import holds as key_holds

# The platform ignores grants that arrive within this time after their sender
# was resumed.
RESUME_GRACE_S = 0.3


class Resumed(typing.NamedTuple):
    """A router that was resumed.

    Attributes:
      router: Its host id.
      at: When, in monotonic seconds.
    """

    router: str
    at: float


def read_holds(
    path: pathlib.Path,
    holder: str,
    service: str,
    ended_at: float,
    resumed: typing.Iterable[Resumed] = (),
) -> list[key_holds.Hold]:
    """Read the records of one target process.

    Args:
      path: The file of its records.
      holder: Its id.
      service: Its service.
      ended_at: When the process ended; infinite if it still runs.
      resumed: The routers that were resumed.
    """
    holds: list[key_holds.Hold] = []
    for line in path.read_text(encoding='utf-8').splitlines():
        fields = json.loads(line)
        if fields['kind'] == 'release':
            holds = key_holds.release(
                holds, fields['first'], fields['last'], fields['at']
            )
            continue
        if fields['kind'] != 'hold' or _is_excused(fields, resumed):
            continue
        # A grant replaces what was held of its keys before.
        holds = key_holds.release(
            holds, fields['first'], fields['last'], fields['at']
        )
        if fields['until'] <= fields['at']:
            continue
        holds.append(
            key_holds.Hold(
                holder,
                service,
                fields['first'],
                fields['last'],
                fields['fence'],
                fields['at'],
                fields['until'],
                fields['request_id'].rpartition('-')[0],
            )
        )
    return [
        hold._replace(until=min(hold.until, ended_at))
        for hold in holds
        if hold.since < ended_at
    ]


def _is_excused(
    fields: dict[str, typing.Any], resumed: typing.Iterable[Resumed]
) -> bool:
    sender = fields['request_id'].rpartition('-')[0]
    return any(
        each.router == sender
        and 0 <= fields['arrived_at'] - each.at <= RESUME_GRACE_S
        for each in resumed
    )


def describe(first: key_holds.Hold, second: key_holds.Hold) -> str:
    """Return one line on two targets that held the same keys."""
    shared_s = min(first.until, second.until) - max(first.since, second.since)
    parts = [
        f'{hold.target} {hold.first}..{hold.last} fence {hold.fence} from '
        f'{hold.sender or "?"}'
        for hold in (first, second)
    ]
    return f'two owners for {shared_s:.3f} s: {parts[0]} and {parts[1]}'
