import unittest

from amaranthcrank.router import model
from amaranthcrank.router import owner_domains

REGION_BY_DOMAIN = {'a': 'north', 'b': 'north', 'c': 'south', 'd': 'west'}


def _ticket(*regions):
    """Return a ticket with a route to a keyed service for each limit."""
    parts = (model.WeightedService('book', 1.0),)
    routes = tuple(
        model.Route(f'r{number}', 'h', '/', True, 1.0, 0.5, 1, 1, parts, limit)
        for number, limit in enumerate(regions)
    )
    services = {'book': model.Service('book', 100, True)}
    return model.Ticket(
        1, routes, services, model.CallerLimits(1, 1, 1.0, 1.0)
    )


class OwnerDomainsTest(unittest.TestCase):
    """Guards against keys whose owners no route may use."""

    def _domains(self, *regions):
        return owner_domains.by_service(_ticket(*regions), REGION_BY_DOMAIN)

    def test_union_of_all_routes(self):
        found = self._domains(frozenset({'south'}), frozenset({'north'}))
        self.assertEqual(found, {'book': frozenset({'a', 'b', 'c'})})

    def test_one_route_without_limit(self):
        # The other requests of the service may use any owner.
        limited = frozenset({'south'})
        self.assertEqual(self._domains(limited, None, limited), {})

    def test_unknown_region(self):
        found = self._domains(frozenset({'east'}))
        self.assertEqual(found, {'book': frozenset()})
