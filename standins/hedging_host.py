"""A host with targets in memory, for tests of hedged requests.

The host has the real admission, sender and HTTP client. The time is virtual.
"""

import asyncio
import random
import typing
import unittest

from amaranthcrank.router import admission
from amaranthcrank.router import crash_reports
from amaranthcrank.router import crash_withdrawals
from amaranthcrank.router import directory
from amaranthcrank.router import forwarder
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


class Log:
    """Keeps the log events of requests.

    Attributes:
      lines: The kind and the fields of each event.
    """

    def __init__(self):
        """Start without lines."""
        self.lines = []

    def event(self, kind, /, **fields):
        """Keep an event."""
        self.lines.append((kind, fields))

    success = event


class Counters(metrics.Registry):
    """Counters that tests can read."""

    def count(self, name):
        """Return the value of a counter."""
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


class Options(typing.NamedTuple):
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


class Host:
    """One host with targets in memory.

    Attributes:
      rng: Random numbers with a fixed seed.
      log: The log events.
      counters: The counters.
      directory: The known targets.
      keys: The owners of keys.
      crashes: The requests that targets crashed on.
      targets: The targets in memory, in the order of their ids.
    """

    def __init__(self, options=Options()):
        """Create a host and its targets, which reply after 0.1 s."""
        loop = asyncio.get_running_loop()
        self.rng = random.Random(7)
        self.log = Log()
        self.counters = Counters()
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
            crash_withdrawals.CrashWithdrawals(
                self.crashes, self.directory.is_current, 1.0
            ),
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
        self._options = options
        self.put_ticket()
        self.targets = []
        for number in range(options.targets):
            self.add_target(number, options.slots)
        self._calls = 0

    def put_ticket(self, allowed_regions=None):
        """Put a ticket into force that limits the hedged route to regions."""
        attempts = self._options.max_attempts
        read = _route('read', '/read/', max_attempts=attempts)
        routes = (
            read._replace(allowed_regions=allowed_regions),
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

    def add_target(self, number, slots, service='desk'):
        """Add a target with the id `i-NUMBER`."""
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
        """Handle a request of a caller and return the response."""
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
        """The number of requests that all targets received."""
        return sum(target.received for target in self.targets)

    @property
    def running(self):
        """The number of requests that run at targets."""
        return sum(target.running for target in self.targets)

    @property
    def abandoned_at(self):
        """When connections with a running request were closed."""
        return [at for target in self.targets for at in target.abandoned_at]

    def tries(self):
        """Return the attempts in the log line of the newest request."""
        _, fields = self.log.lines[-1]
        return [(record[0], record[6]) for record in fields['tries']]

    def not_sent(self, reason):
        """Return how many late requests were not hedged for a reason."""
        return self.counters.count('hedges_not_sent_' + reason)


class HedgeTest(unittest.TestCase):
    """A test case that runs a host in virtual time."""

    def run_host(self, scenario, options=Options()):
        """Run a coroutine function with a host, and check the slots."""

        async def run():
            host = Host(options)
            await scenario(host)
            for _ in range(4):
                await asyncio.sleep(0)
            # Each attempt releases its own slot exactly once.
            for target in host.directory.by_id.values():
                self.assertEqual(target.in_flight, 0)
            self.assertEqual(host.running, 0)

        virtual_time.run(run())
