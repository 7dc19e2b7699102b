"""Decoding of the operator's manifest into a ticket.

Like a ticket, a manifest contains the complete routing state of one version.
The number of the version becomes the number of the ticket.
"""

import collections
import math
import typing

from amaranthcrank.router import model

_Row = dict[str, typing.Any]
# Kinds of routes whose requests may run more than once. A kind that is not
# known here is not repeated.
REPEATABLE_KINDS = ('safe', 'download')
MAX_ERROR_LENGTH = 200


class ManifestError(Exception):
    """The stored manifest is malformed."""


def decode(spec: typing.Any) -> model.Ticket:
    """Decode the stored manifest.

    Args:
      spec: The `spec` of the stored object.

    Raises:
      ManifestError: A field is missing or has the wrong type.
    """
    try:
        ticket = _decode(spec)
        # Routes are compared and looked up later, so unhashable field values
        # are found here.
        hash(ticket.routes)
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        text = f'{type(error).__name__}: {error}'
        raise ManifestError(text[:MAX_ERROR_LENGTH]) from error
    return ticket


def repeated_services(spec: typing.Any) -> list[str]:
    """Return the services with several rows, of which the last counts.

    Args:
      spec: The `spec` of a stored object that `decode` accepts.
    """
    services = [_decode_service(row).name for row in _rows(spec['services'])]
    return [
        name
        for name, count in collections.Counter(services).items()
        if count > 1
    ]


def _decode(spec: typing.Any) -> model.Ticket:
    services = [_decode_service(row) for row in _rows(spec['services'])]
    routes = [_decode_route(row) for row in _rows(spec['routes'])]
    limits = spec['limits']
    return model.Ticket(
        number=int(spec['version'].removeprefix('r')),
        routes=tuple(routes),
        service_by_name={service.name: service for service in services},
        limits=model.CallerLimits(
            header_bytes=int(limits['maxHeaderBytes']),
            body_bytes=int(limits['maxBodyBytes']),
            header_timeout_s=limits['headerTimeoutMs'] / 1000,
            idle_timeout_s=limits['idleTimeoutMs'] / 1000,
        ),
    )


def _rows(table: typing.Any) -> typing.Iterator[_Row]:
    """Yield the rows of a table as dictionaries, without null fields."""
    columns = table['columns']
    for values in table['rows']:
        pairs = zip(columns, values, strict=False)
        yield {name: value for name, value in pairs if value is not None}


def _decode_service(row: _Row) -> model.Service:
    return model.Service(
        name=_text(row, 'name'),
        max_connections=int(row.get('maxConnections', 100)),
        keyed=bool(row.get('sharded', False)),
        warm_up_s=_amount(row, 'warmupS') or 0.0,
        cold_per_s=_amount(row, 'coldPerS'),
    )


def _decode_route(row: _Row) -> model.Route:
    parts = [
        model.WeightedService(_text(part, 'service'), float(part['weight']))
        for part in row.get('weightedClusters') or ()
    ]
    if not parts:
        parts = [model.WeightedService(_text(row, 'service'), 1.0)]
    return model.Route(
        name=_text(row, 'name'),
        host=_text(row, 'host').lower(),
        prefix=_text(row, 'pathPrefix'),
        repeatable=row['kind'] in REPEATABLE_KINDS,
        timeout_s=row['timeoutMs'] / 1000,
        goal_s=row.get('aimMs', row['timeoutMs']) / 1000,
        rank=int(row.get('priority', 0)),
        max_attempts=int(row.get('maxAttempts', 1)),
        weighted_services=tuple(parts),
        allowed_regions=_regions(row),
    )


def _regions(row: _Row) -> frozenset[str] | None:
    """Return the regions that may serve a route, or None if all may."""
    value = row.get('allowedRegions', [])
    if not isinstance(value, list):
        raise TypeError('allowedRegions is not a list')
    for region in value:
        if not isinstance(region, str):
            raise TypeError('allowedRegions has an entry that is not a text')
    return frozenset(value) or None


def _amount(row: _Row, field: str) -> float | None:
    """Return a number of at least 0; None without the field."""
    value = row.get(field)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'{field} is not a number')
    if not 0 <= value < math.inf:
        raise ValueError(f'{field} is not a number from 0')
    return float(value)


def _text(row: _Row, field: str) -> str:
    value = row[field]
    if not isinstance(value, str):
        raise TypeError(f'{field} is not a text')
    return value
