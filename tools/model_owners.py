"""A model of a keyed service under a flood of bulk work.

Pattern: bulk reads of all hosts ask for more than the owners of keys can do,
and urgent work for the same keys comes in between. The hosts decide by the
router's own functions; what they hear of the others is as old as reports are.
Prints how much of each rank is served, and how much of it within its goal.
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
WAY_S = 0.005
# A full owner resets what comes beyond its queue.
QUEUE = 12


class Kind(typing.NamedTuple):
    """A kind of request.

    Attributes:
      rank: 0 is the most urgent.
      per_s: Requests a second over all hosts.
      work_s: The mean work.
      goal_s: The response-time goal.
      timeout_s: How long it is kept waiting.
    """

    rank: int
    per_s: float
    work_s: float
    goal_s: float
    timeout_s: float


class Site(typing.NamedTuple):
    """What is modelled.

    Attributes:
      hosts: How many hosts.
      domain_hosts: How many of them each failure domain has.
      owners: How many owners of keys, each with the same share of keys.
      slots: Requests that an owner runs at once.
      kinds: The kinds of request.
      hot_share: Part of the requests that go to one owner.
    """

    hosts: int
    domain_hosts: int
    owners: int
    slots: int
    kinds: tuple[Kind, ...]
    hot_share: float


class Request(typing.NamedTuple):
    """One request that waits at a host."""

    kind: Kind
    owner: int
    since: float


FURNACE = Site(
    62,
    15,
    57,
    3,
    (Kind(0, 74, 0.13, 0.5, 1.5), Kind(2, 520, 0.4, 2.5, 4.0)),
    0.03,
)


class Model:
    """The state of a run."""

    def __init__(self, site: Site, seed: int) -> None:
        """Start idle."""
        self.site = site
        self.chance = random.Random(seed)
        self.now = 100.0
        self.targets = [
            [self._target(owner) for owner in range(site.owners)]
            for _ in range(site.hosts)
        ]
        self.waiting: list[list[Request]] = [[] for _ in range(site.hosts)]
        self.running = [0] * site.owners
        self.queue_by_owner = [
            collections.deque[tuple[Request, int]]()
            for _ in range(site.owners)
        ]
        self.ends: list[tuple[float, int, int, Request]] = []
        self.reported = [[(0, 0)] * site.owners for _ in range(site.hosts)]
        self.report_at = [
            self.now + self.chance.random() for _ in range(site.hosts)
        ]
        self.served: collections.Counter[int] = collections.Counter()
        self.on_time: collections.Counter[int] = collections.Counter()
        self.total: collections.Counter[int] = collections.Counter()

    def _target(self, owner: int) -> target_state.Target:
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
        """Let time pass."""
        end_at = self.now + seconds
        while self.now < end_at:
            self._finish()
            self._arrive()
            for host in range(self.site.hosts):
                self._report(host)
                self._serve(host)
            self.now += STEP_S

    def _arrive(self) -> None:
        for kind in self.site.kinds:
            mean = kind.per_s * STEP_S
            count = int(mean) + (self.chance.random() < mean % 1)
            for _ in range(count):
                owner = self.chance.randrange(self.site.owners)
                if self.chance.random() < self.site.hot_share:
                    owner = 0
                host = self.chance.randrange(self.site.hosts)
                self.total[kind.rank] += 1
                self.waiting[host].append(Request(kind, owner, self.now))

    def _report(self, host: int) -> None:
        if self.now < self.report_at[host]:
            return
        interval_s = host_reports.owners_interval_s(self.site.hosts)
        self.report_at[host] = self.now + interval_s
        queued = collections.Counter(one.owner for one in self.waiting[host])
        self.reported[host] = [
            (target.in_flight, queued[owner])
            for owner, target in enumerate(self.targets[host])
        ]
        for owner, target in enumerate(self.targets[host]):
            if not target.in_flight and not queued[owner]:
                continue
            uses = [report[owner] for report in self.reported]
            own = uses[host]
            target.in_flight_elsewhere = sum(use[0] for use in uses) - own[0]
            target.waiting_elsewhere = sum(use[1] for use in uses) - own[1]

    def _serve(self, host: int) -> None:
        usual_s = self.site.kinds[-1].work_s
        queued = collections.Counter(one.owner for one in self.waiting[host])
        left = []
        for one in sorted(self.waiting[host], key=lambda one: one.kind.rank):
            standing = wait_order.Priority(
                one.kind.rank,
                one.since + one.kind.goal_s,
                one.since + one.kind.timeout_s,
            )
            if self.now > wait_order.queue_timeout_at(
                standing, one.since, usual_s
            ):
                continue
            target = self.targets[host][one.owner]
            interval_s = target_choice.owner_interval_s(
                target, usual_s, queued[one.owner]
            )
            if not target_choice.owner_has_capacity(
                target,
                self.now,
                one.kind.rank,
                interval_s,
                self.site.domain_hosts,
                self.chance.random,
            ):
                left.append(one)
                continue
            if one.kind.rank and target_choice.is_contested(
                target, self.site.domain_hosts
            ):
                target.pacer.take_turn(
                    self.now, interval_s, self.chance.random
                )
            target.in_flight += 1
            self._reach(one, host)
        self.waiting[host] = left

    def _reach(self, one: Request, host: int) -> None:
        if self.running[one.owner] < self.site.slots:
            self._begin(one, host)
            return
        if len(self.queue_by_owner[one.owner]) >= QUEUE:
            self.targets[host][one.owner].in_flight -= 1
            return
        self.queue_by_owner[one.owner].append((one, host))

    def _begin(self, one: Request, host: int) -> None:
        self.running[one.owner] += 1
        work_s = one.kind.work_s * self.chance.lognormvariate(0, 0.3)
        ends_at = self.now + 2 * WAY_S + work_s
        heapq.heappush(self.ends, (ends_at, host, one.owner, one))

    def _finish(self) -> None:
        while self.ends and self.ends[0][0] <= self.now:
            ended_at, host, owner, one = heapq.heappop(self.ends)
            self.running[owner] -= 1
            self.targets[host][owner].in_flight -= 1
            took_s = ended_at - one.since
            self.served[one.kind.rank] += took_s <= one.kind.timeout_s
            self.on_time[one.kind.rank] += took_s <= one.kind.goal_s
            if self.queue_by_owner[owner]:
                self._begin(*self.queue_by_owner[owner].popleft())


def main(seconds: float = 8.0, seeds: int = 2, hosts: int = 62) -> None:
    """Run the pattern with some seeds and print a line each."""
    for seed in range(seeds):
        site = FURNACE._replace(hosts=hosts, domain_hosts=hosts // 4)
        run = Model(site, seed)
        run.run(seconds)
        parts = []
        for kind in run.site.kinds:
            total = max(1, run.total[kind.rank])
            parts.append(
                f'rank {kind.rank}: served {run.served[kind.rank] / total:.2f}'
                f', on time {run.on_time[kind.rank] / total:.2f}'
            )
        print(f'seed {seed}: ' + '; '.join(parts))


if __name__ == '__main__':
    typer.run(main)
