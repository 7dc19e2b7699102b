"""Checks which target held which keys, from the records of their processes."""

import collections
import json
import pathlib
import typing

from soak import grant_checks
from soak import holds as key_holds

# The platform ignores grants that arrive within this time after their sender
# was resumed, or after a link on their way went on. Its rules excuse no others
# where two targets hold a key or take tokens in the wrong order. In particular
# they do not excuse what a target takes that was stopped itself.
RESUME_GRACE_S = 0.3


class Resumed(typing.NamedTuple):
    """A router that was resumed.

    Attributes:
      router: Its host id.
      at: When, in monotonic seconds.
    """

    router: str
    at: float


class Healed(typing.NamedTuple):
    """A link that went on after it had held bytes back.

    Attributes:
      target: The id of the target behind it.
      at: When, in monotonic seconds.
    """

    target: str
    at: float


def read_records(path: pathlib.Path) -> list[dict[str, typing.Any]]:
    """Read the records of one target process.

    The last line may be cut off, if the process was killed in a write.
    """
    text = path.read_text(encoding='utf-8')
    complete = text[: text.rfind('\n') + 1]
    return [json.loads(line) for line in complete.splitlines()]


def read_holds(
    path: pathlib.Path,
    holder: str,
    service: str,
    ended_at: float,
    resumed: typing.Iterable[Resumed] = (),
    healed: typing.Iterable[Healed] = (),
) -> list[key_holds.Hold]:
    """Return what one target process held, as it recorded it.

    Args:
      path: The file of its records.
      holder: Its id.
      service: Its service.
      ended_at: When the process ended; infinite if it still runs.
      resumed: The routers that were resumed.
      healed: The links that went on.
    """
    holds: list[key_holds.Hold] = []
    for fields in read_records(path):
        if fields['kind'] == 'release':
            holds = key_holds.release(
                holds, fields['first'], fields['last'], fields['at']
            )
            continue
        if fields['kind'] != 'hold':
            continue
        if is_excused(fields, holder, resumed, healed):
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
                sender_of(fields),
            )
        )
    return [
        hold._replace(until=min(hold.until, ended_at))
        for hold in holds
        if hold.since < ended_at
    ]


def sender_of(fields: dict[str, typing.Any]) -> str:
    """Return the host that sent a call; ids of calls begin with it."""
    request_id: str = fields['request_id']
    return request_id.rpartition('-')[0]


def is_excused(
    fields: dict[str, typing.Any],
    target: str,
    resumed: typing.Iterable[Resumed],
    healed: typing.Iterable[Healed],
) -> bool:
    """Return whether the platform's rules leave a grant out of account.

    Args:
      fields: The record of the grant.
      target: The target that took it, with its incarnation if it has
        several.
      resumed: The routers that were resumed.
      healed: The links that went on.
    """
    sender = sender_of(fields)
    target_id = key_holds.target_of(target)
    starts = [each.at for each in resumed if each.router == sender]
    starts += [each.at for each in healed if each.target == target_id]
    return any(
        0 <= fields['arrived_at'] - start <= RESUME_GRACE_S for start in starts
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


def read_grants(
    path: pathlib.Path,
    target: str,
    service: str,
    resumed: typing.Iterable[Resumed] = (),
    healed: typing.Iterable[Healed] = (),
) -> list[grant_checks.Grant]:
    """Return the grants that one target process took.

    Args:
      path: The file of its records.
      target: Its id.
      service: Its service.
      resumed: The routers that were resumed.
      healed: The links that went on.
    """
    return [
        grant_checks.Grant(
            target,
            service,
            fields['first'],
            fields['last'],
            fields['fence'],
            fields['arrived_at'],
            fields['at'],
            fields['until'],
            fields['request_id'],
            is_excused(fields, target, resumed, healed),
        )
        for fields in read_records(path)
        if fields['kind'] == 'hold'
    ]


def read_work(
    path: pathlib.Path, target: str, service: str, ended_at: float
) -> list[grant_checks.Work]:
    """Return the requests that one target process ran.

    Args:
      path: The file of its records.
      target: Its id.
      service: Its service.
      ended_at: When the process ended; infinite if it still runs.
    """
    works: list[grant_checks.Work] = []
    # A request may be sent to the same target again.
    begun_by_id: dict[str, collections.deque[grant_checks.Work]] = {}
    for fields in read_records(path):
        request_id = fields.get('request_id', '')
        begun = begun_by_id.setdefault(request_id, collections.deque())
        if fields['kind'] == 'run':
            begun.append(
                grant_checks.Work(
                    target, service, fields['key'], fields['at'], ended_at
                )
            )
        if fields['kind'] == 'done' and begun:
            works.append(begun.popleft()._replace(until=fields['at']))
    for begun in begun_by_id.values():
        works += begun
    return works
