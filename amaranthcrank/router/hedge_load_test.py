"""Tests of hedges under load, in virtual time."""

import asyncio
import functools
import unittest

from amaranthcrank.router import hedge_rules
from standins import hedging_host
from standins import memory_targets


class LoadTest(hedging_host.HedgeTest):
    """Many requests."""

    def _usual_times(self, host):
        return lambda: memory_targets.Reply(host.rng.uniform(0.08, 0.12))

    def test_one_slow_target_in_a_hundred(self):
        """Guards against a tail that one slow target makes.

        At each time one of 100 targets needs 2 s for a request, for 2 s each.
        A target that is always slow is avoided already without hedges.
        """
        slow_by_ratio = {}
        for ratio in (None, 0.05):

            async def scenario(host, ratio=ratio):
                loop = asyncio.get_running_loop()

                def reply(number):
                    if int(loop.time() / 2.0) % 100 == number:
                        return memory_targets.Reply(2.0)
                    return memory_targets.Reply(host.rng.uniform(0.08, 0.12))

                for number, target in enumerate(host.targets):
                    target.reply = functools.partial(reply, number)
                await host.load(10.0, 40.0)
                times_s = await host.load(120.0, 40.0)
                slow_by_ratio[ratio] = sum(time > 1.0 for time in times_s)
                sent = host.counters.count('hedges_sent')
                self.assertLessEqual(sent, 0.05 * len(times_s))

            self.run_host(scenario, hedging_host.Options(ratio, targets=100))
        self.assertGreater(slow_by_ratio[None], 5)
        self.assertLessEqual(slow_by_ratio[0.05], slow_by_ratio[None] / 4)

    def test_all_targets_slow_at_once(self):
        """Guards against hedges that add to an overload.

        All 60 targets become 8 times as slow at once and have free slots. At
        most a quarter of the newest 8 attempts is hedged before the host
        sees that.
        """

        async def scenario(host):
            host.reply(otherwise=self._usual_times(host))
            await host.load(20.0, 40.0)
            before = host.counters.count('hedges_sent')
            host.reply(otherwise=lambda: memory_targets.Reply(0.8))
            await host.load(10.0, 40.0)
            sent = host.counters.count('hedges_sent') - before
            self.assertLessEqual(sent, 2)
            self.assertGreater(host.not_sent(hedge_rules.SERVICE_SLOW), 50)

        self.run_host(scenario, hedging_host.Options(targets=60))

    def test_ratio_holds_under_load(self):
        # One in 25 responses stalls, at random targets, for a minute. More
        # requests are late than the operator lets the host hedge.
        async def scenario(host):
            def reply():
                if host.rng.random() < 0.04:
                    return memory_targets.Reply(1.0)
                return memory_targets.Reply(0.1)

            host.reply(otherwise=reply)
            times_s = await host.load(60.0, 40.0)
            sent = host.counters.count('hedges_sent')
            self.assertGreater(sent, 10)
            self.assertLessEqual(sent, 0.02 * len(times_s))

        self.run_host(scenario, hedging_host.Options(ratio=0.02, targets=60))

    def test_share_of_late_attempts(self):
        """Guards against more hedges than the quantile allows.

        The service times vary widely. One in 20 attempts is late by
        definition of the quantile.
        """

        async def scenario(host):
            def reply():
                return memory_targets.Reply(0.05 + host.rng.expovariate(10.0))

            host.reply(otherwise=reply)
            await host.load(60.0, 40.0)
            before = host.counters.count('hedges_sent')
            times_s = await host.load(120.0, 40.0)
            sent = host.counters.count('hedges_sent') - before
            self.assertGreater(sent, 0)
            self.assertLessEqual(sent, 0.05 * len(times_s))

        self.run_host(scenario, hedging_host.Options(ratio=0.2, targets=60))

    def test_slow_target_does_not_draw_hedges_for_ever(self):
        """Guards against hedges of each request of a slow target.

        One of ten targets is always 5 or 10 times as slow, and is needed, as
        the others do not suffice at all times. Requests that are cancelled do
        not show how slow it is. Once it is known, at most one in 20 of its
        requests is hedged, which is the share of the quantile.
        """
        for slow_s in (0.5, 1.0):
            with self.subTest(slow_s=slow_s):

                async def scenario(host, slow_s=slow_s):
                    slow = host.targets[0]
                    host.reply(otherwise=self._usual_times(host))
                    slow.reply = lambda: memory_targets.Reply(slow_s)
                    await host.load(20.0, 80.0)
                    received = slow.received
                    sent = host.counters.count('hedges_sent')
                    await host.load(40.0, 80.0)
                    received = slow.received - received
                    sent = host.counters.count('hedges_sent') - sent
                    self.assertGreater(received, 30)
                    self.assertLessEqual(sent, received / 20)

                options = hedging_host.Options(ratio=0.2, targets=10, slots=1)
                self.run_host(scenario, options)


if __name__ == '__main__':
    unittest.main()
