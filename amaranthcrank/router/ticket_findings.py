"""Finds faults in a ticket before it is published. Pure functions.

A ticket that hosts can decode may still hold routes that no request reaches,
or limits that contradict each other.
"""

import collections
import typing

from amaranthcrank.router import model
from amaranthcrank.router import route_table

ERROR = 'error'
WARNING = 'warning'


class Finding(typing.NamedTuple):
    """One fault of a ticket.

    Attributes:
      severity: ERROR if hosts do not use the ticket; WARNING for an entry
        that serves nothing or contradicts another.
      place: The entry, such as `route read`.
      text: What is wrong.
    """

    severity: str
    place: str
    text: str


def find(
    ticket: model.Ticket,
    regions: typing.Container[str] | None = None,
    in_force: model.Ticket | None = None,
) -> list[Finding]:
    """Return the faults of a ticket.

    Args:
      ticket: The ticket.
      regions: The regions of the deployment; None if they are not known.
      in_force: The ticket that it replaces, or None.
    """
    findings = []
    if in_force is not None:
        findings += _check_number(ticket, in_force)
    findings += _check_names(ticket)
    findings += _check_matches(ticket)
    for route in ticket.routes:
        findings += _check_times(route)
        findings += _check_attempts(route)
        findings += _check_services(route, ticket)
        if regions is not None:
            findings += _check_regions(route, regions)
    findings += _check_unused(ticket)
    findings += _check_regions_of_keys(ticket)
    for service in ticket.service_by_name.values():
        findings += _check_service(service)
    findings += _check_limits(ticket.limits)
    return findings


def _check_number(
    ticket: model.Ticket, in_force: model.Ticket
) -> typing.Iterator[Finding]:
    if ticket.number <= in_force.number:
        yield Finding(
            ERROR,
            'version',
            f'{ticket.number} is not above {in_force.number}, the version in '
            'force; hosts ignore it',
        )


def _check_names(ticket: model.Ticket) -> typing.Iterator[Finding]:
    count_by_name = collections.Counter(route.name for route in ticket.routes)
    for name, count in count_by_name.items():
        if count > 1:
            yield Finding(
                WARNING,
                f'route {name}',
                f'{count} routes have this name; their service times and '
                'weights are counted together',
            )


def _check_matches(ticket: model.Ticket) -> typing.Iterator[Finding]:
    """Find routes that no request matches."""
    table = route_table.RouteTable(ticket)
    for route in ticket.routes:
        place = f'route {route.name}'
        if not route.host:
            yield Finding(WARNING, place, 'the host is empty')
            continue
        if ':' in route.host:
            yield Finding(
                WARNING,
                place,
                f'never matches: the host {route.host!r} has a port, which '
                'is removed from requests',
            )
            continue
        if not route.prefix.startswith('/'):
            yield Finding(
                WARNING,
                place,
                f'never matches: the prefix {route.prefix!r} does not begin '
                'with a slash',
            )
            continue
        if '?' in route.prefix:
            yield Finding(
                WARNING,
                place,
                'never matches: the prefix has a query, which is removed '
                'from requests',
            )
            continue
        first = table.find(route.host, route.prefix)
        if first is not None and first is not route:
            yield Finding(
                WARNING,
                place,
                f'never matches: route {first.name} has the same host and '
                'prefix',
            )


def _check_times(route: model.Route) -> typing.Iterator[Finding]:
    place = f'route {route.name}'
    if route.timeout_s <= 0:
        yield Finding(WARNING, place, 'the timeout is not above 0')
    if route.goal_s <= 0:
        yield Finding(WARNING, place, 'the response-time goal is not above 0')
    if route.goal_s > route.timeout_s:
        yield Finding(
            WARNING,
            place,
            f'the response-time goal of {route.goal_s:g} s is longer than '
            f'the timeout of {route.timeout_s:g} s',
        )


def _check_attempts(route: model.Route) -> typing.Iterator[Finding]:
    if route.max_attempts < 1:
        yield Finding(
            WARNING,
            f'route {route.name}',
            f'{route.max_attempts} attempts: no request is sent',
        )


def _check_services(
    route: model.Route, ticket: model.Ticket
) -> typing.Iterator[Finding]:
    place = f'route {route.name}'
    have_weight = any(part.weight > 0 for part in route.weighted_services)
    for part in route.weighted_services:
        if part.service not in ticket.service_by_name:
            yield Finding(
                WARNING, place, f'service {part.service} is not defined'
            )
        if not part.weight >= 0:
            yield Finding(
                WARNING,
                place,
                f'the weight of service {part.service} is below 0 or not a '
                'number, and counts as 0',
            )
    if not have_weight:
        first = route.weighted_services[0].service
        yield Finding(
            WARNING,
            place,
            f'no service has a weight; all requests go to {first}',
        )


def _check_regions(
    route: model.Route, regions: typing.Container[str]
) -> typing.Iterator[Finding]:
    if route.allowed_regions is None:
        return
    place = f'route {route.name}'
    unknown = [
        region
        for region in sorted(route.allowed_regions)
        if region not in regions
    ]
    if len(unknown) == len(route.allowed_regions):
        yield Finding(WARNING, place, 'no allowed region exists')
        return
    for region in unknown:
        yield Finding(WARNING, place, f'region {region} does not exist')


def _check_unused(ticket: model.Ticket) -> typing.Iterator[Finding]:
    used = {
        part.service
        for route in ticket.routes
        for part in route.weighted_services
    }
    for name in ticket.service_by_name:
        if name not in used:
            yield Finding(WARNING, f'service {name}', 'no route uses it')


def _check_regions_of_keys(ticket: model.Ticket) -> typing.Iterator[Finding]:
    """Find keyed services whose owners may not serve all of their routes."""
    regions_by_service: dict[str, set[frozenset[str] | None]] = {}
    for route in ticket.routes:
        for part in route.weighted_services:
            regions_by_service.setdefault(part.service, set()).add(
                route.allowed_regions
            )
    for name, service in ticket.service_by_name.items():
        if service.keyed and len(regions_by_service.get(name, ())) > 1:
            yield Finding(
                WARNING,
                f'service {name}',
                'its routes allow different regions, but each key has one '
                'owner: requests whose route does not allow its region are '
                'rejected',
            )


def _check_service(service: model.Service) -> typing.Iterator[Finding]:
    place = f'service {service.name}'
    if service.max_connections < 1:
        yield Finding(
            WARNING, place, 'its targets accept no connection by its limit'
        )
    if service.cold_per_s and not service.warm_up_s:
        yield Finding(
            WARNING,
            place,
            'a rate for cold targets without a warm-up time: only targets '
            'that report a warm-up are limited',
        )


def _check_limits(limits: model.CallerLimits) -> typing.Iterator[Finding]:
    for name, value in limits._asdict().items():
        if not value > 0:
            yield Finding(WARNING, 'limits', f'{name} is not above 0')
    if limits.header_timeout_s > limits.idle_timeout_s:
        yield Finding(
            WARNING,
            'limits',
            'the header timeout is longer than the idle timeout, which ends '
            'the connection first',
        )
