"""Simulates a keyed service that is overloaded with bulk requests.

Bulk reads of all hosts exceed the capacity of the owners of keys, and urgent
requests for the same keys arrive in between. The hosts decide with the
functions of the router; they know the load of other hosts from reports, with
the delay that the interval between reports causes. Prints for each rank which
share of the requests is served, and which share within the response-time goal.
"""

import collections
import heapq
import random
import typing

import typer

from amaranthcrank.router import host_reports
from amaranthcrank.router import model
from amaranthcrank.router import target_choice
from amaranthcrank.router import target_state
from amaranthcrank.router import wait_order

STEP_S = 0.02
ONE_WAY_DELAY_S = 0.005
# An owner with this many queued requests resets further connections.
OWNER_QUEUE_LIMIT = 12


class RequestKind(typing.NamedTuple):
    """A kind of request.

    Attributes:
      rank: The rank; 0 is the most urgent.
      rate_per_s: The arrival rate over all hosts.
      service_s: The mean service time.
      goal_s: The response-time goal.
      timeout_s: How long a request waits before it is dropped.
    """

    rank: int
    rate_per_s: float
    service_s: float
    goal_s: float
    timeout_s: float


class Site(typing.NamedTuple):
    """The simulated site.

    Attributes:
      hosts: The number of hosts.
      domain_hosts: The number of hosts of each failure domain.
      owners: The number of owners, each with the same share of the keys.
      slots: How many requests an owner runs concurrently.
      kinds: The kinds of request.
      hot_share: The share of the requests that are directed to owner 0, in
        addition to its share of the others.
    """

    hosts: int
    domain_hosts: int
    owners: int
    slots: int
    kinds: tuple[RequestKind, ...]
    hot_share: float


class Request(typing.NamedTuple):
    """A request, and when it began to wait at its host."""

    kind: RequestKind
    owner: int
    queued_at: float


OVERLOADED_SITE = Site(
    62,
    15,
    57,
    3,
    (RequestKind(0, 74, 0.13, 0.5, 1.5), RequestKind(2, 520, 0.4, 2.5, 4.0)),
    0.03,
)


class Simulation:
    """The state of a simulation run; times are in simulated seconds."""

    def __init__(self, site: Site, seed: int) -> None:
        """Create an idle site."""
        self.site = site
        self.rng = random.Random(seed)
        self.now = 100.0
        self.targets_by_host = [
            [self._make_target(owner) for owner in range(site.owners)]
            for _ in range(site.hosts)
        ]
        self.waiting_by_host: list[list[Request]] = [
            [] for _ in range(site.hosts)
        ]
        self.running_by_owner = [0] * site.owners
        self.queue_by_owner = [
            collections.deque[tuple[Request, int]]()
            for _ in range(site.owners)
        ]
        self.completions: list[tuple[float, int, int, Request]] = []
        self.reported_by_host = [
            [(0, 0)] * site.owners for _ in range(site.hosts)
        ]
        self.report_at_by_host = [
            self.now + self.rng.random() for _ in range(site.hosts)
        ]
        self.served_by_rank: collections.Counter[int] = collections.Counter()
        self.on_time_by_rank: collections.Counter[int] = collections.Counter()
        self.arrived_by_rank: collections.Counter[int] = collections.Counter()

    def _make_target(self, owner: int) -> target_state.Target:
        entry = model.TargetEntry(
            f'i-{owner}',
            'book',
            model.Address('10.0.0.1', 1),
            'a',
            self.site.slots,
            model.READY,
            0.0,
            1,
        )
        return target_state.Target(entry, 0.0)

    def run(self, seconds: float) -> None:
        """Simulate the given number of seconds."""
        end_at = self.now + seconds
        while self.now < end_at:
            self._finish_requests()
            self._add_arrivals()
            for host in range(self.site.hosts):
                self._exchange_reports(host)
                self._dispatch_waiting(host)
            self.now += STEP_S

    def _add_arrivals(self) -> None:
        for kind in self.site.kinds:
            expected_count = kind.rate_per_s * STEP_S
            count = int(expected_count) + (
                self.rng.random() < expected_count % 1
            )
            for _ in range(count):
                owner = self.rng.randrange(self.site.owners)
                if self.rng.random() < self.site.hot_share:
                    owner = 0
                host = self.rng.randrange(self.site.hosts)
                self.arrived_by_rank[kind.rank] += 1
                self.waiting_by_host[host].append(
                    Request(kind, owner, self.now)
                )

    def _exchange_reports(self, host: int) -> None:
        if self.now < self.report_at_by_host[host]:
            return
        interval_s = host_reports.usage_interval_s(self.site.hosts)
        self.report_at_by_host[host] = self.now + interval_s
        queued = collections.Counter(
            request.owner for request in self.waiting_by_host[host]
        )
        self.reported_by_host[host] = [
            (target.in_flight, queued[owner])
            for owner, target in enumerate(self.targets_by_host[host])
        ]
        for owner, target in enumerate(self.targets_by_host[host]):
            if not target.in_flight and not queued[owner]:
                continue
            usages = [report[owner] for report in self.reported_by_host]
            own_usage = usages[host]
            target.in_flight_elsewhere = (
                sum(usage[0] for usage in usages) - own_usage[0]
            )
            target.waiting_elsewhere = (
                sum(usage[1] for usage in usages) - own_usage[1]
            )

    def _dispatch_waiting(self, host: int) -> None:
        usual_s = self.site.kinds[-1].service_s
        queued = collections.Counter(
            request.owner for request in self.waiting_by_host[host]
        )
        still_waiting = []
        for request in sorted(
            self.waiting_by_host[host], key=lambda request: request.kind.rank
        ):
            priority = wait_order.Priority(
                request.kind.rank,
                request.queued_at + request.kind.goal_s,
                request.queued_at + request.kind.timeout_s,
            )
            if self.now > wait_order.queue_timeout_at(
                priority, request.queued_at, usual_s
            ):
                continue
            target = self.targets_by_host[host][request.owner]
            interval_s = target_choice.owner_interval_s(
                target, usual_s, queued[request.owner]
            )
            if not target_choice.owner_has_capacity(
                target,
                self.now,
                request.kind.rank,
                interval_s,
                self.site.domain_hosts,
                self.rng.random,
            ):
                still_waiting.append(request)
                continue
            if request.kind.rank and target_choice.is_contended(
                target, self.site.domain_hosts
            ):
                target.pacer.take_turn(self.now, interval_s, self.rng.random)
            target.in_flight += 1
            self._send_to_owner(request, host)
        self.waiting_by_host[host] = still_waiting

    def _send_to_owner(self, request: Request, host: int) -> None:
        if self.running_by_owner[request.owner] < self.site.slots:
            self._start_request(request, host)
            return
        if len(self.queue_by_owner[request.owner]) >= OWNER_QUEUE_LIMIT:
            self.targets_by_host[host][request.owner].in_flight -= 1
            return
        self.queue_by_owner[request.owner].append((request, host))

    def _start_request(self, request: Request, host: int) -> None:
        self.running_by_owner[request.owner] += 1
        service_s = request.kind.service_s * self.rng.lognormvariate(0, 0.3)
        ends_at = self.now + 2 * ONE_WAY_DELAY_S + service_s
        heapq.heappush(
            self.completions, (ends_at, host, request.owner, request)
        )

    def _finish_requests(self) -> None:
        while self.completions and self.completions[0][0] <= self.now:
            ended_at, host, owner, request = heapq.heappop(self.completions)
            self.running_by_owner[owner] -= 1
            self.targets_by_host[host][owner].in_flight -= 1
            latency_s = ended_at - request.queued_at
            self.served_by_rank[request.kind.rank] += (
                latency_s <= request.kind.timeout_s
            )
            self.on_time_by_rank[request.kind.rank] += (
                latency_s <= request.kind.goal_s
            )
            if self.queue_by_owner[owner]:
                self._start_request(*self.queue_by_owner[owner].popleft())


def main(seconds: float = 8.0, seeds: int = 2, hosts: int = 62) -> None:
    """Run the simulation with several seeds and print a line for each."""
    for seed in range(seeds):
        site = OVERLOADED_SITE._replace(hosts=hosts, domain_hosts=hosts // 4)
        simulation = Simulation(site, seed)
        simulation.run(seconds)
        parts = []
        for kind in simulation.site.kinds:
            total = max(1, simulation.arrived_by_rank[kind.rank])
            parts.append(
                f'rank {kind.rank}: served '
                f'{simulation.served_by_rank[kind.rank] / total:.2f}, on time '
                f'{simulation.on_time_by_rank[kind.rank] / total:.2f}'
            )
        print(f'seed {seed}: ' + '; '.join(parts))


if __name__ == '__main__':
    typer.run(main)
