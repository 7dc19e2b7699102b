"""Finds the route of a request and selects its service by weight."""

from amaranthcrank.router import model


class RouteTable:
    """The routes of one ticket, by host.

    Attributes:
      ticket: The ticket.
    """

    def __init__(self, ticket: model.Ticket) -> None:
        """Sort the routes of a ticket by prefix length, longest first."""
        self.ticket = ticket
        self._routes_by_host: dict[str, list[model.Route]] = {}
        self._route_by_name = {route.name: route for route in ticket.routes}
        self._route_by_match = {
            (route.host, route.prefix): route for route in ticket.routes
        }
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

    def regions(self, former: model.Route) -> frozenset[str] | None:
        """Return the regions that may serve a route of an older ticket.

        A route that was renamed is found by what it matches. A route that
        does not exist any more has no limit here.
        """
        route = self._route_by_name.get(former.name)
        if route is None:
            match = (former.host, former.prefix)
            route = self._route_by_match.get(match)
        return None if route is None else route.allowed_regions


def _prefix_length(route: model.Route) -> int:
    return len(route.prefix)


class TrafficSplitter:
    """Distributes the requests of each route to its services by weight.

    Smooth weighted round robin: over any sequence of requests, the count of
    each service stays within one of its share. A change of the weights resets
    the state, so that a service whose weight was removed gets no requests for
    weight accumulated before.
    """

    def __init__(self) -> None:
        """Start without accumulated weights."""
        self._services_by_route: dict[
            str, tuple[model.WeightedService, ...]
        ] = {}
        self._current_weights_by_route: dict[str, dict[str, float]] = {}

    def pick(self, route: model.Route) -> str:
        """Return the service for the next request of a route."""
        candidates = [
            candidate
            for candidate in route.weighted_services
            if candidate.weight > 0
        ]
        if len(candidates) <= 1:
            return (candidates or route.weighted_services)[0].service
        if self._services_by_route.get(route.name) != route.weighted_services:
            self._services_by_route[route.name] = route.weighted_services
            self._current_weights_by_route[route.name] = dict.fromkeys(
                (candidate.service for candidate in candidates), 0.0
            )
        current_weights = self._current_weights_by_route[route.name]
        total = sum(candidate.weight for candidate in candidates)
        for candidate in candidates:
            current_weights[candidate.service] += candidate.weight
        chosen = max(
            current_weights, key=lambda name: (current_weights[name], name)
        )
        current_weights[chosen] -= total
        return chosen
