import unittest

from amaranthcrank.router import model
from amaranthcrank.router import ticket_differences
from amaranthcrank.router import ticket_findings_test

ROUTE = ticket_findings_test.ROUTE
DESK = ticket_findings_test.DESK


def _ticket(*routes, services=(DESK,), limits=ticket_findings_test.LIMITS):
    return model.Ticket(
        1, routes, {service.name: service for service in services}, limits
    )


class DifferencesTest(unittest.TestCase):
    def test_equal_tickets(self):
        self.assertEqual(
            ticket_differences.differences(_ticket(ROUTE), _ticket(ROUTE)), []
        )

    def test_changed_fields(self):
        """Guards against a change that the operator is not shown."""
        changed = ROUTE._replace(
            timeout_s=3.0,
            allowed_regions=frozenset({'south', 'north'}),
            weighted_services=(
                model.WeightedService('desk', 0.5),
                model.WeightedService('spare', 0.5),
            ),
        )
        limits = ticket_findings_test.LIMITS._replace(body_bytes=5)
        found = ticket_differences.differences(
            _ticket(ROUTE), _ticket(changed, limits=limits)
        )
        place = 'route read site/read/'
        self.assertEqual(
            [each[1:] for each in found],
            [
                ('limits', 'body_bytes', '1048576', '5'),
                (place, 'timeout_s', '2', '3'),
                (
                    place,
                    'weighted_services',
                    'desk:1',
                    'desk:0.5 spare:0.5',
                ),
                (place, 'allowed_regions', 'none', 'north south'),
            ],
        )

    def test_added_and_removed_entries(self):
        moved = ROUTE._replace(prefix='/new/')
        spare = DESK._replace(name='spare')
        found = ticket_differences.differences(
            _ticket(ROUTE), _ticket(moved, services=(DESK, spare))
        )
        self.assertEqual(
            [each[:2] for each in found],
            [
                (ticket_differences.ADDED, 'service spare'),
                (ticket_differences.REMOVED, 'route read site/read/'),
                (ticket_differences.ADDED, 'route read site/new/'),
            ],
        )


if __name__ == '__main__':
    unittest.main()
