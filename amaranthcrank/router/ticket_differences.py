"""Lists what changes from one ticket to another. Pure functions."""

import typing

from amaranthcrank.router import model

ADDED = 'added'
REMOVED = 'removed'
CHANGED = 'changed'


class Difference(typing.NamedTuple):
    """One difference between two tickets.

    Attributes:
      change: ADDED, REMOVED or CHANGED.
      place: The entry, such as `route read`.
      field: The field that changed, '' if the entry was added or removed.
      old: Its value before, as text.
      new: Its value after, as text.
    """

    change: str
    place: str
    field: str = ''
    old: str = ''
    new: str = ''


def differences(old: model.Ticket, new: model.Ticket) -> list[Difference]:
    """Return the differences in the order limits, services, routes.

    A route is known by its name and what it matches, so that a route that
    moves to another prefix counts as a new one.
    """
    found = list(_changed_fields('limits', old.limits, new.limits))
    found += _entries(
        'service',
        {(name,): each for name, each in old.service_by_name.items()},
        {(name,): each for name, each in new.service_by_name.items()},
    )
    found += _entries('route', _routes(old), _routes(new))
    return found


def _routes(ticket: model.Ticket) -> dict[tuple[str, ...], model.Route]:
    return {
        (route.name, f'{route.host}{route.prefix}'): route
        for route in ticket.routes
    }


def _entries(
    kind: str,
    old_by_key: typing.Mapping[tuple[str, ...], typing.Any],
    new_by_key: typing.Mapping[tuple[str, ...], typing.Any],
) -> typing.Iterator[Difference]:
    for key, old in old_by_key.items():
        place = ' '.join((kind, *key))
        if key not in new_by_key:
            yield Difference(REMOVED, place)
            continue
        yield from _changed_fields(place, old, new_by_key[key])
    for key in new_by_key:
        if key not in old_by_key:
            yield Difference(ADDED, ' '.join((kind, *key)))


def _changed_fields(
    place: str, old: typing.Any, new: typing.Any
) -> typing.Iterator[Difference]:
    for field, value in old._asdict().items():
        other = getattr(new, field)
        if value != other:
            yield Difference(CHANGED, place, field, _text(value), _text(other))


def _text(value: typing.Any) -> str:
    """Return a value as the operator would write it."""
    if value is None:
        return 'none'
    if isinstance(value, frozenset):
        return ' '.join(sorted(value))
    if isinstance(value, tuple):
        return ' '.join(f'{part.service}:{part.weight:g}' for part in value)
    if isinstance(value, float):
        return f'{value:g}'
    return str(value)
