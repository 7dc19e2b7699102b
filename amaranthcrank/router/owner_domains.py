"""Limits the owners of keyed services to the regions of their routes."""

import typing

from amaranthcrank.router import demand
from amaranthcrank.router import model


def by_service(
    ticket: model.Ticket, region_by_domain: typing.Mapping[str, str]
) -> dict[str, frozenset[str]]:
    """Return the failure domains whose targets may own keys, by service.

    A service is limited if all routes to it are. An owner in a region of one
    of them serves only the requests whose route allows its region.

    Args:
      ticket: The routes and services.
      region_by_domain: The region of each failure domain.

    Returns:
      The domains of each limited service; the other services are left out.
    """
    regions_by_service: dict[str, demand.Regions] = {}
    for route in ticket.routes:
        for part in route.weighted_services:
            known = regions_by_service.get(part.service, frozenset())
            regions_by_service[part.service] = _union(
                known, route.allowed_regions
            )
    domains_by_service = {}
    for service, regions in regions_by_service.items():
        config = ticket.service_by_name.get(service)
        if regions is None or config is None or not config.keyed:
            continue
        domains_by_service[service] = frozenset(
            domain
            for domain, region in region_by_domain.items()
            if region in regions
        )
    return domains_by_service


def _union(first: demand.Regions, second: demand.Regions) -> demand.Regions:
    if first is None or second is None:
        return None
    return first | second
