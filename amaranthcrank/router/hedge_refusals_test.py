"""Tests of late requests that are not hedged."""

import asyncio
import unittest

from amaranthcrank.router import crash_reports
from amaranthcrank.router import hedge_rules
from amaranthcrank.router import model
from standins import hedging_host


class RefusalTest(hedging_host.HedgeTest):
    """Late requests that are not hedged."""

    def _check(self, reason, options, prepare=None, deadline_ms=4000):
        async def scenario(host):
            await host.warm_up()
            if prepare is not None:
                prepare(host)
            received = host.received
            host.reply(hedging_host.STALL)
            await host.call(deadline_ms=deadline_ms)
            self.assertEqual(host.received, received + 1)
            self.assertEqual(host.counters.count('hedges_sent'), 0)
            self.assertEqual(host.not_sent(reason), 1)

        self.run_host(scenario, options)

    def test_attempts(self):
        self._check(hedge_rules.ATTEMPTS, hedging_host.Options(max_attempts=1))

    def test_deadline(self):
        # A second attempt could not respond in time.
        self._check(
            hedge_rules.DEADLINE, hedging_host.Options(), deadline_ms=180
        )

    def test_ratio(self):
        # The operator's limit: 160 requests at 0.5% earn no hedge.
        self._check(hedge_rules.RATIO, hedging_host.Options(ratio=0.005))

    def test_budget(self):
        # Retries have used the budget up.
        options = hedging_host.Options(retry_ratio=0.0, retry_floor=0.0)
        self._check(hedge_rules.BUDGET, options)

    def test_no_other_target(self):
        self._check(
            hedge_rules.NO_TARGET, hedging_host.Options(targets=1, slots=4)
        )

    def test_other_target_is_full(self):
        # A hedge must not wait in the queue of a target.
        def fill(host):
            for target in host.directory.by_id.values():
                target.in_flight_elsewhere = 2

        self._check(
            hedge_rules.NO_TARGET,
            hedging_host.Options(targets=2),
            lambda host: _fill_other(host, fill),
        )

    def test_failing_target(self):
        # The other target rejects requests at once and so looks idle.
        def fail(host):
            now = asyncio.get_running_loop().time()
            for target in list(host.directory.by_id.values())[1:]:
                target.record_failure(now)

        self._check(
            hedge_rules.TARGET_FAILING,
            hedging_host.Options(targets=2, slots=4),
            fail,
        )

    def test_request_that_crashed_a_target(self):
        # A hedge would take down a second target.
        def crash(host):
            fingerprint = crash_reports.fingerprint(b'GET', b'/read/1', b'')
            host.crashes.record_crash(fingerprint, 'i-9/1')

        self._check(hedge_rules.CRASHES, hedging_host.Options(), crash)

    def test_waiting_requests(self):
        """Guards against a hedge that takes a slot others wait for."""

        async def scenario(host):
            await host.warm_up()
            host.reply(otherwise=lambda: hedging_host.STALL)
            await asyncio.gather(*(host.call() for _ in range(8)))
            self.assertEqual(host.counters.count('hedges_sent'), 0)
            self.assertGreater(host.not_sent(hedge_rules.WAITING), 0)

        self.run_host(scenario, hedging_host.Options(targets=2))

    def test_request_that_may_not_repeat(self):
        # A request that is not repeatable runs at most once.
        async def scenario(host):
            await host.warm_up()
            await host.warm_up('/post/1')
            received = host.received
            host.reply(hedging_host.STALL)
            response = await host.call('/post/1')
            self.assertEqual(response.status, 200)
            self.assertEqual(host.received, received + 1)

        self.run_host(scenario)

    def test_key_has_one_owner(self):
        # No other target may run the request.
        async def scenario(host):
            host.add_target(3, 3, 'book')
            host.add_target(4, 3, 'book')
            part = model.KeyRange(0, 65535, 'i-3', 1, 1, False, '')
            host.keys.put(model.KeyMap('book', 1, (part,), 1, {}))
            for _ in range(hedging_host.WARM_UP_CALLS):
                await host.call('/book/1', key=5)
            await asyncio.sleep(1.1)
            host.reply(hedging_host.STALL)
            response = await host.call('/book/1', key=5)
            self.assertEqual(response.status, 200)
            self.assertEqual(host.targets[4].received, 0)
            self.assertEqual(
                host.targets[3].received, hedging_host.WARM_UP_CALLS + 1
            )

        self.run_host(scenario)

    def test_host_without_samples(self):
        # A host that has just started does not know what is late.
        async def scenario(host):
            host.reply(hedging_host.STALL)
            await host.call()
            self.assertEqual(host.received, 1)

        self.run_host(scenario)


def _fill_other(host, fill):
    """Leave a free slot only at the first target."""
    fill(host)
    for target in list(host.directory.by_id.values())[1:]:
        target.in_flight_elsewhere = target.entry.slots


if __name__ == '__main__':
    unittest.main()
