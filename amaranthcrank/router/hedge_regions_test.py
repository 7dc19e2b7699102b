"""Tests of hedges while a new ticket limits the regions of a route."""

import asyncio

from amaranthcrank.router import hedge_rules
from standins import hedging_host


class NewTicketTest(hedging_host.HedgeTest):
    def test_regions_of_a_ticket_bind_later_attempts(self):
        # The region was forbidden between the first attempt and the hedge,
        # which was sent to another target of that region.
        async def scenario(host):
            await host.warm_up()
            received = host.received
            host.reply(hedging_host.STALL)
            call = asyncio.create_task(host.call())
            await asyncio.sleep(0.05)
            host.put_ticket(frozenset(('south',)))
            await call
            self.assertEqual(host.received, received + 1)
            self.assertEqual(host.counters.count('hedges_sent'), 0)
            self.assertEqual(host.not_sent(hedge_rules.NO_TARGET), 1)

        self.run_host(scenario)
