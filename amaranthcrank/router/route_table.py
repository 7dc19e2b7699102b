"""Finds the route of a request and the service that serves it."""

from amaranthcrank.router import model


class RouteTable:
    """The routes of one ticket, by host.

    Attributes:
      ticket: The ticket.
    """

    def __init__(self, ticket: model.Ticket) -> None:
        """Order the routes of a ticket, longest prefix first."""
        self.ticket = ticket
        self._routes_by_host: dict[str, list[model.Route]] = {}
        for route in ticket.routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of a path, or None.

        Args:
          host: The Host header, with or without a port.
          path: The path, with or without a query.
        """
        name = host.lower().partition(':')[0]
        plain = path.partition('?')[0]
        for route in self._routes_by_host.get(name, ()):
            if plain.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: model.Route) -> int:
    return len(route.prefix)


class TrafficSplitter:
    """Deals the requests of each route to its services by weight.

    Smooth weighted round robin: over any run of requests each service's
    count stays within one of its share. A change of the weights starts
    anew, so that a service that lost its weight gets nothing that it was
    owed before.
    """

    def __init__(self) -> None:
        """Start with nothing owed."""
        self._parts_by_route: dict[str, tuple[model.WeightedService, ...]] = {}
        self._current_weights_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: model.Route) -> str:
        """Return the service for the next request of a route."""
        parts = [part for part in route.weighted_services if part.weight > 0]
        if len(parts) <= 1:
            return (parts or route.weighted_services)[0].service
        if self._parts_by_route.get(route.name) != route.weighted_services:
            self._parts_by_route[route.name] = route.weighted_services
            self._current_weights_by_route[route.name] = dict.fromkeys(
                (part.service for part in parts), 0.0
            )
        current_weights = self._current_weights_by_route[route.name]
        total = sum(part.weight for part in parts)
        for part in parts:
            current_weights[part.service] += part.weight
        chosen = max(
            current_weights, key=lambda name: (current_weights[name], name)
        )
        current_weights[chosen] -= total
        return chosen
