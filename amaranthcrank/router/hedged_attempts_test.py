"""Tests of hedged requests, from the request to its response.

The time is virtual and the targets are in memory. Hosts of the tests have
the real admission, sender and HTTP client.
"""

import asyncio
import functools
import random
import typing
import unittest

from amaranthcrank.router import admission
from amaranthcrank.router import crash_reports
from amaranthcrank.router import directory
from amaranthcrank.router import forwarder
from amaranthcrank.router import hedge_rules
from amaranthcrank.router import hedged_attempts
from amaranthcrank.router import http_server
from amaranthcrank.router import key_table
from amaranthcrank.router import metrics
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import retry_rules
from amaranthcrank.router import route_table
from amaranthcrank.router import sender
from amaranthcrank.router import service_times
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_notices
from standins import memory_targets
from standins import virtual_time

HOST = 'desk.example'
USUAL = memory_targets.Reply(0.1)
STALL = memory_targets.Reply(1.0)
# More than the fewest samples, so that they suffice for some seconds.
WARM_UP_CALLS = 160


class _Log:
    """Keeps the log events of requests.

    Attributes:
      lines: The kind and the fields of each event.
    """

    def __init__(self):
        self.lines = []

    def event(self, kind, /, **fields):
        self.lines.append((kind, fields))

    success = event


class _Counters(metrics.Registry):
    """Counters that tests can read."""

    def count(self, name):
        return self._counter_by_name.get(name, 0)


def _route(name, prefix, service='desk', repeatable=True, max_attempts=2):
    return model.Route(
        name,
        HOST,
        prefix,
        repeatable,
        timeout_s=4.0,
        goal_s=1.0,
        rank=1,
        max_attempts=max_attempts,
        weighted_services=(model.WeightedService(service, 1.0),),
    )


class _Options(typing.NamedTuple):
    """The set-up of a host.

    Attributes:
      ratio: The hedge ratio; None for a forwarder without hedges.
      targets: The number of targets.
      slots: The slots of each target.
      max_attempts: The most attempts of a request.
      retry_ratio: The ratio of the retry budget.
      retry_floor: The floor of the retry budget.
    """

    ratio: float | None = 0.1
    targets: int = 3
    slots: int = 3
    max_attempts: int = 2
    retry_ratio: float = 0.2
    retry_floor: float = 60.0


class _Host:
    """One host with targets in memory."""

    def __init__(self, options=_Options()):
        loop = asyncio.get_running_loop()
        self.rng = random.Random(7)
        self.log = _Log()
        self.counters = _Counters()
        self.pool = memory_targets.MemoryPool(loop.time)
        self.directory = directory.Directory(
            loop.time, 2.0, lambda *_, **__: None
        )
        self.keys = key_table.KeyTable()
        self.times = service_times.ServiceTimes()
        self.crashes = crash_reports.CrashReports(loop.time)
        self.admission = admission.Admission(
            self.directory,
            self.keys,
            target_choice.Locality('a', 'n', {'a': 'n'}),
            self.times,
            loop.time,
            self.rng.random,
        )
        request_sender = sender.Sender(
            self.pool,
            self.times,
            self.crashes,
            target_notices.TargetNotices(
                self.directory, self.pool, peers.Messenger('host-1', 'a')
            ),
        )
        budget = retry_rules.RetryBudget(
            options.retry_ratio, options.retry_floor, 10.0
        )
        hedging = None
        if options.ratio is not None:
            hedging = hedged_attempts.HedgedAttempts(
                self.admission,
                request_sender,
                budget,
                self.times,
                self.crashes,
                self.counters,
                options.ratio,
            )
        self.forwarder = forwarder.Forwarder(
            self.admission,
            request_sender,
            budget,
            self.times,
            self.crashes,
            self.log,
            self.counters,
            hedging,
        )
        self._put_ticket(options)
        self.targets = []
        for number in range(options.targets):
            self._add_target(number, options.slots)
        self._calls = 0

    def _put_ticket(self, options):
        attempts = options.max_attempts
        routes = (
            _route('read', '/read/', max_attempts=attempts),
            _route('post', '/post/', repeatable=False),
            _route('book', '/book/', service='book'),
        )
        services = {
            'desk': model.Service('desk', 100, False),
            'book': model.Service('book', 100, True),
        }
        self.forwarder.table = route_table.RouteTable(
            model.Ticket(1, routes, services, http_server.DEFAULT_LIMITS)
        )

    def _add_target(self, number, slots, service='desk'):
        address = model.Address(f'10.0.{number // 200}.{number % 200}', 80)
        target = memory_targets.MemoryTarget(lambda: USUAL)
        self.pool.target_by_address[address] = target
        self.targets.append(target)
        self.directory.put(
            model.TargetEntry(
                f'i-{number}',
                service,
                address,
                'a',
                slots,
                model.READY,
                0.0,
                1,
            )
        )

    def reply(self, *replies, otherwise=lambda: USUAL):
        """Let the targets reply to the next requests in this order."""
        reply = memory_targets.replies_in_order(replies, otherwise)
        for target in self.targets:
            target.reply = reply

    async def call(self, path='/read/1', deadline_ms=4000, key=None):
        self._calls += 1
        headers = [
            (b'host', HOST.encode()),
            (b'x-request-id', b'%d' % self._calls),
            (b'x-request-deadline', b'%d' % deadline_ms),
        ]
        if key is not None:
            headers.append((b'x-shard-key', b'%d' % key))
        method = b'POST' if path.startswith('/post') else b'GET'
        now = asyncio.get_running_loop().time()
        return await self.forwarder.handle(
            http_server.Request(method, path.encode(), headers, b'', now)
        )

    async def warm_up(self, path='/read/1'):
        """Serve as many requests as the quantile needs."""
        for _ in range(WARM_UP_CALLS // 4):
            await asyncio.gather(*(self.call(path) for _ in range(4)))
        # The quantile is computed at most once a second.
        await asyncio.sleep(1.1)
        await self.call(path)

    async def load(self, seconds, rate):
        """Send requests at random times; return how long each one took."""
        loop = asyncio.get_running_loop()
        times_s = []
        tasks = []

        async def send():
            began_at = loop.time()
            response = await self.call()
            if response.status == 200:
                times_s.append(loop.time() - began_at)

        end_at = loop.time() + seconds
        while loop.time() < end_at:
            tasks.append(loop.create_task(send()))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)
        return times_s

    @property
    def received(self):
        return sum(target.received for target in self.targets)

    @property
    def running(self):
        return sum(target.running for target in self.targets)

    @property
    def abandoned_at(self):
        return [at for target in self.targets for at in target.abandoned_at]

    @property
    def in_flight(self):
        return sum(
            target.in_flight for target in self.directory.by_id.values()
        )

    def tries(self):
        """Return the attempts in the log line of the newest request."""
        _, fields = self.log.lines[-1]
        return [(record[0], record[6]) for record in fields['tries']]

    def not_sent(self, reason):
        return self.counters.count('hedges_not_sent_' + reason)


class _HedgeTest(unittest.TestCase):
    def run_host(self, scenario, options=_Options()):
        """Run a coroutine function with a host, and check the slots."""

        async def run():
            host = _Host(options)
            await scenario(host)
            for _ in range(4):
                await asyncio.sleep(0)
            # Each attempt releases its own slot exactly once.
            for target in host.directory.by_id.values():
                self.assertEqual(target.in_flight, 0)
            self.assertEqual(host.running, 0)

        virtual_time.run(run())


class RaceTest(_HedgeTest):
    """Two attempts of one request."""

    def test_late_request_is_hedged(self):
        """Guards against a caller that waits for a stalled target.

        The loser's connection is closed as soon as the other responds.
        """

        async def scenario(host):
            await host.warm_up()
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            host.reply(STALL, USUAL)
            response = await host.call()
            self.assertEqual(response.status, 200)
            self.assertLess(loop.time() - began_at, 0.35)
            await asyncio.sleep(0)
            self.assertEqual(host.abandoned_at, [loop.time()])
            (first, first_result), (second, second_result) = host.tries()
            self.assertNotEqual(first, second)
            self.assertEqual(first_result, 'cancelled')
            self.assertEqual(second_result, 'hedge 200')
            self.assertEqual(host.counters.count('hedges_sent'), 1)
            self.assertEqual(host.counters.count('hedges_won'), 1)

        self.run_host(scenario)

    def test_first_attempt_wins(self):
        # The first target responds just after the hedge was sent.
        async def scenario(host):
            await host.warm_up()
            host.reply(memory_targets.Reply(0.18), STALL)
            response = await host.call()
            self.assertEqual(response.status, 200)
            results = [result for _, result in host.tries()]
            self.assertEqual(results, ['200', 'hedge cancelled'])
            await asyncio.sleep(0)
            self.assertEqual(len(host.abandoned_at), 1)
            self.assertEqual(host.counters.count('hedges_won'), 0)

        self.run_host(scenario)

    def test_both_respond_at_once(self):
        # Both responses arrive in the same turn of the event loop: one is
        # passed on, and the slots of both are released once.
        async def scenario(host):
            await host.warm_up()
            loop = asyncio.get_running_loop()
            both_at = loop.time() + 0.5

            def reply_at_once():
                return memory_targets.Reply(both_at - loop.time())

            host.reply(otherwise=reply_at_once)
            response = await host.call()
            self.assertEqual(response.status, 200)
            self.assertEqual(loop.time(), both_at)
            self.assertEqual(len(host.tries()), 2)
            self.assertEqual(host.counters.count('hedges_sent'), 1)

        self.run_host(scenario)

    def test_caller_leaves_while_both_run(self):
        # Work that continues after the caller has left is billed.
        async def scenario(host):
            await host.warm_up()
            loop = asyncio.get_running_loop()
            host.reply(STALL, STALL)
            task = loop.create_task(host.call())
            await asyncio.sleep(0.5)
            self.assertEqual(host.running, 2)
            left_at = loop.time()
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task
            self.assertEqual(loop.time(), left_at)
            await asyncio.sleep(0)
            self.assertEqual(host.abandoned_at, [left_at, left_at])

        self.run_host(scenario)

    def test_caller_leaves_at_each_turn_of_the_event_loop(self):
        # The slot of an attempt that is cancelled before its first step must
        # be released, too.
        for turns in range(8):
            with self.subTest(turns=turns):

                async def scenario(host, turns=turns):
                    task = asyncio.get_running_loop().create_task(host.call())
                    for _ in range(turns):
                        await asyncio.sleep(0)
                    task.cancel()
                    with self.assertRaises(asyncio.CancelledError):
                        await task

                self.run_host(scenario)


class FailureTest(_HedgeTest):
    """Failures of one attempt or both."""

    def _check(self, replies, status, options=_Options()):
        """Return the log of a late request with these replies."""
        tries = []

        async def scenario(host):
            await host.warm_up()
            received = host.received
            host.reply(*replies)
            response = await host.call()
            self.assertEqual(response.status, status)
            self.assertEqual(host.received - received, len(replies))
            tries.extend(host.tries())

        self.run_host(scenario, options)
        self.assertEqual(len({target for target, _ in tries}), len(replies))
        return [result for _, result in tries]

    def test_first_fails_while_the_second_runs(self):
        reset = memory_targets.Reply(0.25, memory_targets.RESET)
        second = memory_targets.Reply(0.3)
        results = self._check([reset, second], 200)
        self.assertEqual(results[1], 'hedge 200')

    def test_hedge_fails_while_the_first_runs(self):
        # A hedge must not make a result worse.
        first = memory_targets.Reply(0.6)
        bad = [
            memory_targets.Reply(0.05, memory_targets.RESET),
            memory_targets.Reply(0.05, 500),
            memory_targets.Reply(0.05, 503, b'x-not-executed: 1\r\n'),
            memory_targets.Reply(0.05, 504),
            memory_targets.Reply(0.05, 429),
        ]
        for reply in bad:
            with self.subTest(reply=reply):
                results = self._check([first, reply], 200)
                self.assertEqual(results[0], '200')
                self.assertTrue(results[1].startswith('hedge '))

    def test_both_fail_without_attempts_left(self):
        # Both attempts count towards the limit of the route.
        reset = memory_targets.Reply(0.25, memory_targets.RESET)
        self._check([reset, reset], 502)

    def test_response_of_a_failure_is_kept(self):
        # Without a hedge the caller would get the target's own response.
        failed = memory_targets.Reply(0.25, 500)
        reset = memory_targets.Reply(0.3, memory_targets.RESET)
        self._check([failed, reset], 500)
        self._check([reset, failed], 500)

    def test_retry_goes_to_a_third_target(self):
        reset = memory_targets.Reply(0.25, memory_targets.RESET)
        options = _Options(max_attempts=3)
        results = self._check([reset, reset, USUAL], 200, options)
        self.assertEqual(results[2], '200')

    def test_first_fails_before_the_delay(self):
        # The rules for retries apply, and the retry is no hedge.
        reset = memory_targets.Reply(0.02, memory_targets.RESET)
        results = self._check([reset, USUAL], 200)
        self.assertEqual(results[1], '200')


class RefusalTest(_HedgeTest):
    """Late requests that are not hedged."""

    def _check(self, reason, options, prepare=None, deadline_ms=4000):
        async def scenario(host):
            await host.warm_up()
            if prepare is not None:
                prepare(host)
            received = host.received
            host.reply(STALL)
            await host.call(deadline_ms=deadline_ms)
            self.assertEqual(host.received, received + 1)
            self.assertEqual(host.counters.count('hedges_sent'), 0)
            self.assertEqual(host.not_sent(reason), 1)

        self.run_host(scenario, options)

    def test_attempts(self):
        self._check(hedge_rules.ATTEMPTS, _Options(max_attempts=1))

    def test_deadline(self):
        # A second attempt could not respond in time.
        self._check(hedge_rules.DEADLINE, _Options(), deadline_ms=180)

    def test_ratio(self):
        # The operator's limit: 160 requests at 0.5% earn no hedge.
        self._check(hedge_rules.RATIO, _Options(ratio=0.005))

    def test_budget(self):
        # Retries have used the budget up.
        options = _Options(retry_ratio=0.0, retry_floor=0.0)
        self._check(hedge_rules.BUDGET, options)

    def test_no_other_target(self):
        self._check(hedge_rules.NO_TARGET, _Options(targets=1, slots=4))

    def test_other_target_is_full(self):
        # A hedge must not wait in the queue of a target.
        def fill(host):
            for target in host.directory.by_id.values():
                target.in_flight_elsewhere = 2

        self._check(
            hedge_rules.NO_TARGET,
            _Options(targets=2),
            lambda host: _fill_other(host, fill),
        )

    def test_failing_target(self):
        # The other target rejects requests at once and so looks idle.
        def fail(host):
            now = asyncio.get_running_loop().time()
            for target in list(host.directory.by_id.values())[1:]:
                target.record_failure(now)

        self._check(
            hedge_rules.TARGET_FAILING, _Options(targets=2, slots=4), fail
        )

    def test_request_that_crashed_a_target(self):
        # A hedge would take down a second target.
        def crash(host):
            fingerprint = crash_reports.fingerprint(b'GET', b'/read/1', b'')
            host.crashes.record_crash(fingerprint, 'i-9/1')

        self._check(hedge_rules.CRASHES, _Options(), crash)

    def test_waiting_requests(self):
        """Guards against a hedge that takes a slot others wait for."""

        async def scenario(host):
            await host.warm_up()
            host.reply(otherwise=lambda: STALL)
            await asyncio.gather(*(host.call() for _ in range(8)))
            self.assertEqual(host.counters.count('hedges_sent'), 0)
            self.assertGreater(host.not_sent(hedge_rules.WAITING), 0)

        self.run_host(scenario, _Options(targets=2))

    def test_request_that_may_not_repeat(self):
        # A request that is not repeatable runs at most once.
        async def scenario(host):
            await host.warm_up()
            await host.warm_up('/post/1')
            received = host.received
            host.reply(STALL)
            response = await host.call('/post/1')
            self.assertEqual(response.status, 200)
            self.assertEqual(host.received, received + 1)

        self.run_host(scenario)

    def test_key_has_one_owner(self):
        # No other target may run the request.
        async def scenario(host):
            host._add_target(3, 3, 'book')
            host._add_target(4, 3, 'book')
            part = model.KeyRange(0, 65535, 'i-3', 1, 1, False, '')
            host.keys.put(model.KeyMap('book', 1, (part,), 1, {}))
            for _ in range(WARM_UP_CALLS):
                await host.call('/book/1', key=5)
            await asyncio.sleep(1.1)
            host.reply(STALL)
            response = await host.call('/book/1', key=5)
            self.assertEqual(response.status, 200)
            self.assertEqual(host.targets[4].received, 0)
            self.assertEqual(host.targets[3].received, WARM_UP_CALLS + 1)

        self.run_host(scenario)

    def test_host_without_samples(self):
        # A host that has just started does not know what is late.
        async def scenario(host):
            host.reply(STALL)
            await host.call()
            self.assertEqual(host.received, 1)

        self.run_host(scenario)


def _fill_other(host, fill):
    """Leave a free slot only at the first target."""
    fill(host)
    for target in list(host.directory.by_id.values())[1:]:
        target.in_flight_elsewhere = target.entry.slots


class LoadTest(_HedgeTest):
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

            self.run_host(scenario, _Options(ratio, targets=100))
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

        self.run_host(scenario, _Options(targets=60))

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

        self.run_host(scenario, _Options(ratio=0.02, targets=60))

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

                options = _Options(ratio=0.2, targets=10, slots=1)
                self.run_host(scenario, options)


class OffTest(_HedgeTest):
    """A host without the option."""

    def test_off_leaves_the_path_as_it_was(self):
        # No second attempt, no task for an attempt, and no counters.
        async def scenario(host):
            await host.warm_up()
            loop = asyncio.get_running_loop()
            created = []

            def create_task(loop, coroutine, **options):
                created.append(coroutine)
                return asyncio.Task(coroutine, loop=loop, **options)

            host.reply(STALL)
            received = host.received
            loop.set_task_factory(create_task)
            response = await host.call()
            loop.set_task_factory(None)
            self.assertEqual(response.status, 200)
            self.assertEqual(host.received, received + 1)
            self.assertEqual(created, [])
            self.assertNotIn('hedges', host.counters.render())

        self.run_host(scenario, _Options(ratio=None))


if __name__ == '__main__':
    unittest.main()
