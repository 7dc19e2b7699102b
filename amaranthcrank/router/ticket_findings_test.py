import unittest

from amaranthcrank.router import model
from amaranthcrank.router import ticket_findings

ROUTE = model.Route(
    name='read',
    host='site',
    prefix='/read/',
    repeatable=True,
    timeout_s=2.0,
    goal_s=0.5,
    rank=1,
    max_attempts=2,
    weighted_services=(model.WeightedService('desk', 1.0),),
)
DESK = model.Service('desk', 100, keyed=False)
BOOK = model.Service('book', 100, keyed=True)
LIMITS = model.CallerLimits(16384, 1048576, 3.0, 15.0)


def _ticket(*routes, services=(DESK,), limits=LIMITS, number=5):
    return model.Ticket(
        number, routes, {service.name: service for service in services}, limits
    )


class FindingsTest(unittest.TestCase):
    def _find(self, *routes, regions=None, in_force=None, **options):
        ticket = _ticket(*routes, **options)
        return ticket_findings.find(ticket, regions, in_force)

    def _assert_one(self, severity, place, text, findings):
        self.assertEqual(
            [(each.severity, each.place) for each in findings],
            [(severity, place)],
            findings,
        )
        self.assertIn(text, findings[0].text)

    def _assert_warning(self, text, *routes, **options):
        self._assert_one(
            ticket_findings.WARNING,
            'route read',
            text,
            self._find(*routes, **options),
        )

    def test_sound_ticket(self):
        """Guards against findings that teach operators to ignore them."""
        longer = ROUTE._replace(name='more', prefix='/read/more/')
        other = ROUTE._replace(name='other', host='elsewhere')
        self.assertEqual(self._find(ROUTE, longer, other), [])

    def test_routes_that_never_match(self):
        """Guards against a published route that serves nobody."""
        for changes, text in (
            ({'host': ''}, 'host is empty'),
            ({'host': 'site:8080'}, 'has a port'),
            ({'prefix': 'read/'}, 'begin with a slash'),
            ({'prefix': '/read?a=1'}, 'has a query'),
        ):
            with self.subTest(changes=changes):
                self._assert_warning(text, ROUTE._replace(**changes))

    def test_route_behind_an_equal_one(self):
        """Guards against a second route for the same requests."""
        first = ROUTE._replace(name='first')
        self._assert_warning('route first', first, ROUTE)

    def test_routes_with_one_name(self):
        other = ROUTE._replace(prefix='/other/')
        self._assert_warning('2 routes', ROUTE, other)

    def test_limits_of_a_route(self):
        """Guards against times and counts that contradict each other."""
        self._assert_warning('longer than', ROUTE._replace(goal_s=3.0))
        self._assert_warning('not above 0', ROUTE._replace(goal_s=0.0))
        self._assert_warning('no request', ROUTE._replace(max_attempts=0))
        findings = self._find(ROUTE._replace(timeout_s=0.0))
        self.assertEqual(findings[0].severity, ticket_findings.WARNING)

    def test_services_of_a_route(self):
        """Guards against requests for a service that does not exist."""
        unknown = model.WeightedService('none', 1.0)
        parts = (*ROUTE.weighted_services, unknown)
        self._assert_warning(
            'not defined', ROUTE._replace(weighted_services=parts)
        )
        parts = (model.WeightedService('desk', 0.0),)
        self._assert_warning(
            'all requests go to desk', ROUTE._replace(weighted_services=parts)
        )
        parts = (
            model.WeightedService('desk', 1.0),
            model.WeightedService('desk', float('nan')),
        )
        self._assert_warning(
            'counts as 0', ROUTE._replace(weighted_services=parts)
        )

    def test_regions(self):
        """Guards against a limit to regions that do not exist."""
        limited = ROUTE._replace(allowed_regions=frozenset({'north', 'east'}))
        self.assertEqual(self._find(limited), [])
        self._assert_warning(
            'east does not exist', limited, regions={'north', 'south'}
        )
        self._assert_warning('no allowed region', limited, regions={'south'})

    def test_keyed_service_with_different_regions(self):
        """Guards against requests that the owner of their key may not serve.

        A key has one owner, which is in one region.
        """
        part = model.WeightedService('book', 1.0)
        first = ROUTE._replace(weighted_services=(part,))
        second = first._replace(
            name='post', prefix='/post/', allowed_regions=frozenset({'north'})
        )
        self._assert_one(
            ticket_findings.WARNING,
            'service book',
            'different regions',
            self._find(first, second, services=(BOOK,)),
        )

    def test_services(self):
        idle = DESK._replace(name='idle')
        self._assert_one(
            ticket_findings.WARNING,
            'service idle',
            'no route',
            self._find(ROUTE, services=(DESK, idle)),
        )
        closed = DESK._replace(max_connections=0)
        self._assert_one(
            ticket_findings.WARNING,
            'service desk',
            'no connection',
            self._find(ROUTE, services=(closed,)),
        )
        cold = DESK._replace(cold_per_s=4.0)
        self._assert_one(
            ticket_findings.WARNING,
            'service desk',
            'without a warm-up time',
            self._find(ROUTE, services=(cold,)),
        )

    def test_limits_of_callers(self):
        self._assert_one(
            ticket_findings.WARNING,
            'limits',
            'body_bytes',
            self._find(ROUTE, limits=LIMITS._replace(body_bytes=0)),
        )
        self._assert_one(
            ticket_findings.WARNING,
            'limits',
            'longer than the idle timeout',
            self._find(ROUTE, limits=LIMITS._replace(header_timeout_s=16.0)),
        )

    def test_number_that_is_not_newer(self):
        """Guards against a version that hosts ignore without a word."""
        in_force = _ticket(ROUTE, number=5)
        self._assert_one(
            ticket_findings.ERROR,
            'version',
            'not above 5',
            self._find(ROUTE, in_force=in_force),
        )
        self.assertEqual(self._find(ROUTE, number=6, in_force=in_force), [])


if __name__ == '__main__':
    unittest.main()
