import collections
import unittest

from amaranthcrank.router import model
from amaranthcrank.router import route_table


def _route(name='r', host='a.example', prefix='/x/', parts=(('s', 1),)):
    return model.Route(
        name,
        host,
        prefix,
        True,
        1.0,
        0.5,
        0,
        2,
        tuple(
            model.WeightedService(service, weight) for service, weight in parts
        ),
    )


def _table(*routes):
    limits = model.CallerLimits(1, 1, 1.0, 1.0)
    return route_table.RouteTable(model.Ticket(1, routes, {}, limits))


class RegionsTest(unittest.TestCase):
    """Waiting requests must be limited by the newest ticket as well."""

    SOUTH = frozenset({'south'})

    def test_route_of_an_older_ticket(self):
        former = _route()
        same = _route(prefix='/y/')._replace(allowed_regions=self.SOUTH)
        renamed = _route('new')._replace(allowed_regions=self.SOUTH)
        for route in (same, renamed):
            table = _table(route, _route('other', prefix='/z/'))
            self.assertEqual(table.regions(former), self.SOUTH)

    def test_removed_route(self):
        table = _table(_route('other', prefix='/z/'))
        self.assertIsNone(table.regions(_route()))


class FindTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        # A shorter prefix that is listed first must not hide a longer one.
        short = _route('short', prefix='/x/')
        long = _route('long', prefix='/x/y/')
        table = _table(short, long)
        self.assertEqual(table.find('a.example', '/x/y/1').name, 'long')
        self.assertEqual(table.find('a.example', '/x/1').name, 'short')

    def test_host_is_compared_without_case_and_port(self):
        table = _table(_route())
        self.assertIsNotNone(table.find('A.Example:8080', '/x/1?q=/y/'))

    def test_no_route(self):
        # A prefix must not match in the middle of a path or in a query.
        table = _table(_route())
        self.assertIsNone(table.find('a.example', '/y/x/'))
        self.assertIsNone(table.find('a.example', '/y?/x/'))
        self.assertIsNone(table.find('b.example', '/x/1'))


class TrafficSplitterTest(unittest.TestCase):
    def test_shares_follow_the_weights(self):
        splitter = route_table.TrafficSplitter()
        route = _route(parts=(('a', 70), ('b', 20), ('c', 10)))
        counts = collections.Counter(splitter.pick(route) for _ in range(100))
        self.assertEqual(counts, {'a': 70, 'b': 20, 'c': 10})

    def test_service_without_weight_gets_nothing(self):
        # A service with accumulated weight must not get further requests after
        # a ticket set its weight to 0.
        splitter = route_table.TrafficSplitter()
        before = _route(parts=(('a', 60), ('b', 40)))
        splitter.pick(before)
        after = _route(parts=(('a', 100), ('b', 0)))
        picked = {splitter.pick(after) for _ in range(10)}
        self.assertEqual(picked, {'a'})

    def test_changed_weights_reset_the_state(self):
        splitter = route_table.TrafficSplitter()
        before = _route(parts=(('a', 99), ('b', 1)))
        for _ in range(98):
            splitter.pick(before)
        after = _route(parts=(('a', 1), ('b', 99)))
        counts = collections.Counter(splitter.pick(after) for _ in range(100))
        self.assertEqual(counts, {'a': 1, 'b': 99})
