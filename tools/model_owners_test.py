"""Simulates owners that are overloaded with bulk requests."""

import unittest

from tools import model_owners


class OverloadTest(unittest.TestCase):
    """Bulk reads exceed the capacity of all owners of keys."""

    def test_urgent_requests_are_served_first(self):
        """Guards against urgent requests that are refused or wait behind bulk.

        Urgent requests need a small part of the capacity, so nearly all of
        them can be served, and a far greater share than of the bulk requests.
        """
        for seed in range(2):
            simulation = model_owners.Simulation(
                model_owners.OVERLOADED_SITE, seed
            )
            simulation.run(8.0)
            urgent_share = (
                simulation.served_by_rank[0] / simulation.arrived_by_rank[0]
            )
            bulk_share = (
                simulation.served_by_rank[2] / simulation.arrived_by_rank[2]
            )
            self.assertGreater(urgent_share, 0.85, seed)
            self.assertGreater(urgent_share, bulk_share + 0.15, seed)

    def test_bulk_requests_use_the_capacity_of_owners(self):
        """Guards against slots kept idle for the sake of short queues."""
        simulation = model_owners.Simulation(model_owners.OVERLOADED_SITE, 3)
        simulation.run(8.0)
        bulk = model_owners.OVERLOADED_SITE.kinds[1]
        slots = (
            model_owners.OVERLOADED_SITE.owners
            * model_owners.OVERLOADED_SITE.slots
        )
        possible_share = slots / bulk.service_s / bulk.rate_per_s
        self.assertGreater(
            simulation.served_by_rank[2] / simulation.arrived_by_rank[2],
            0.7 * possible_share,
        )
