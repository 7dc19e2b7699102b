"""Puts a configuration (ticket) into force in the parts that depend on it."""

from amaranthcrank.router import cold_quota_updates
from amaranthcrank.router import key_controller
from amaranthcrank.router import model
from amaranthcrank.router import owner_domains
from amaranthcrank.router import request_path
from amaranthcrank.router import route_table


def apply(
    ticket: model.Ticket,
    settings: model.HostSettings,
    path: request_path.RequestPath,
    controller: key_controller.Controller,
) -> None:
    """Put a ticket into force.

    Args:
      ticket: The ticket.
      settings: The present settings of the host.
      path: The request path.
      controller: Moves the keys of keyed services.
    """
    table = route_table.RouteTable(ticket)
    path.forwarder.table = table
    path.targets.services = frozenset(ticket.service_by_name)
    controller.domains_by_service = owner_domains.by_service(
        ticket, settings.region_by_domain
    )
    path.admission.limit_regions(table.regions)
    path.server.limits = ticket.limits
    controller.keyed_services = tuple(
        service.name
        for service in ticket.service_by_name.values()
        if service.keyed
    )
    cold_quota_updates.apply_limits(path, ticket, settings.bounds)
