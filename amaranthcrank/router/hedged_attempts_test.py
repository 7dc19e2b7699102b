"""Tests of two attempts of one request, and of failures of them."""

import asyncio
import unittest
from unittest import mock

from standins import hedging_host
from standins import memory_targets


class RaceTest(hedging_host.HedgeTest):
    """Two attempts of one request."""

    def test_late_request_is_hedged(self):
        """Guards against a caller that waits for a stalled target.

        The loser's connection is closed as soon as the other responds.
        """

        async def scenario(host):
            await host.warm_up()
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            host.reply(hedging_host.STALL, hedging_host.USUAL)
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
            host.reply(memory_targets.Reply(0.18), hedging_host.STALL)
            response = await host.call()
            self.assertEqual(response.status, 200)
            results = [result for _, result in host.tries()]
            self.assertEqual(results, ['200', 'hedge cancelled'])
            await asyncio.sleep(0)
            self.assertEqual(len(host.abandoned_at), 1)
            self.assertEqual(host.counters.count('hedges_won'), 0)

        self.run_host(scenario)

    def test_cancelled_attempts_raise_the_delay(self):
        """Guards against more and more hedges.

        More than one in 20 attempts stalls, and all of these are cancelled.
        If only the others were measured, the delay would stay at 0.11 s and
        sink when service times vary.
        """

        async def scenario(host):
            await host.warm_up()
            for _ in range(20):
                host.reply(hedging_host.STALL)
                for _ in range(8):
                    await host.call()
            await asyncio.sleep(1.1)
            sent = host.counters.count('hedges_sent')
            self.assertEqual(sent, 20)
            host.reply(memory_targets.Reply(0.15))
            await host.call()
            self.assertEqual(host.counters.count('hedges_sent'), sent)

        self.run_host(scenario, hedging_host.Options(ratio=0.2, targets=60))

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
            host.reply(hedging_host.STALL, hedging_host.STALL)
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

    def test_caller_leaves_as_the_hedge_starts(self):
        # The hedge is cancelled before the first step of its task. It must
        # release its slot all the same, and not be sent.
        async def scenario(host):
            await host.warm_up()
            host.reply(hedging_host.STALL)
            received = host.received
            task = asyncio.get_running_loop().create_task(host.call())

            def leave(name):
                if name == 'hedges_sent':
                    task.cancel()

            with mock.patch.object(host.counters, 'add', leave):
                await asyncio.sleep(0.5)
            # The stalled attempt would have needed 1 s.
            self.assertTrue(task.cancelled())
            self.assertEqual(host.received, received + 1)

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


class FailureTest(hedging_host.HedgeTest):
    """Failures of one attempt or both."""

    def _check(self, replies, status, options=hedging_host.Options()):
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
        options = hedging_host.Options(max_attempts=3)
        results = self._check([reset, reset, hedging_host.USUAL], 200, options)
        self.assertEqual(results[2], '200')

    def test_no_target_gets_a_request_twice(self):
        # Both targets have failed, and the route would allow a third attempt.
        failed = memory_targets.Reply(0.25, 500)
        options = hedging_host.Options(targets=2, max_attempts=3)
        self._check([failed, failed], 500, options)

    def test_first_fails_before_the_delay(self):
        # The rules for retries apply, and the retry is no hedge.
        reset = memory_targets.Reply(0.02, memory_targets.RESET)
        results = self._check([reset, hedging_host.USUAL], 200)
        self.assertEqual(results[1], '200')


class OffTest(hedging_host.HedgeTest):
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

            host.reply(hedging_host.STALL)
            received = host.received
            loop.set_task_factory(create_task)
            response = await host.call()
            loop.set_task_factory(None)
            self.assertEqual(response.status, 200)
            self.assertEqual(host.received, received + 1)
            self.assertEqual(created, [])
            self.assertNotIn('hedges', host.counters.render())

        self.run_host(scenario, hedging_host.Options(ratio=None))


if __name__ == '__main__':
    unittest.main()
