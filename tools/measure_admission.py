"""Measures admission, the ledger and quarantine; prints JSON lines.

One target with 4 slots is simulated with the real queue and limit against
FIFO and strict priority: a flood of bulk at ten times its capacity, and then
one of urgent work. Every figure is seeded. Wall-clock figures (microseconds)
vary with the machine, the others do not.
"""

import collections
from collections import abc
import heapq
import json
import math
import random
import time
import tracemalloc
import typing

from hdrh import histogram

from amaranthcrank.admission import limits
from amaranthcrank.admission import rank_queue
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import ledger
from amaranthcrank.dispatch import quarantine

SEED = 11
SLOTS = 4
SERVICE_S = 0.02
CAPACITY_PER_S = SLOTS / SERVICE_S
FLOOR_BY_RANK = {model.NORMAL: 0.15, model.BULK: 0.05}
DEADLINE_S_BY_RANK = {model.URGENT: 1.0, model.NORMAL: 2.0, model.BULK: 5.0}
# Offered without a flood, as shares of the capacity.
USUAL_BY_RANK = {model.URGENT: 0.1, model.NORMAL: 0.3, model.BULK: 0.2}
FLOOD = 10.0
FLOOD_FROM_S = 5.0
FLOOD_TO_S = 20.0
END_S = 35.0
RECOVERY_BIN_S = 0.5
CALLERS = 8
TARGETS = 34
MAX_WAIT_US = 60_000_000


class Policy(typing.NamedTuple):
    """A queue under test.

    Attributes:
      push: Takes an entry and the time.
      pop: Takes the time, returns an entry or None.
      done: Learns of an answer: latency and time.
      width: Returns how many may run at once.
    """

    push: abc.Callable[[rank_queue.Entry, float], None]
    pop: abc.Callable[[float], rank_queue.Entry | None]
    done: abc.Callable[[float, float], None]
    width: abc.Callable[[], int]


class Result(typing.NamedTuple):
    """What one simulation counted."""

    offered: dict[str, int]
    good: dict[str, int]
    late: int
    good_by_bin: dict[str, dict[int, int]]
    offered_by_bin: dict[str, dict[int, int]]
    waits: dict[str, histogram.HdrHistogram]


def ranked(
    floor_by_rank: abc.Mapping[str, float] = FLOOR_BY_RANK,
) -> Policy:
    """Return the real queue with the real limit."""
    limit = limits.open_limit(SLOTS)
    queue = rank_queue.open_queue(
        floor_by_rank, limits.current(limit), SERVICE_S
    )

    def push(entry: rank_queue.Entry, now: float) -> None:
        rank_queue.push(queue, entry, now)

    def pop(now: float) -> rank_queue.Entry | None:
        return rank_queue.pop(queue, now)[0]

    def done(latency_s: float, now: float) -> None:
        limits.note_done(limit, latency_s, now)
        rank_queue.set_pace(
            queue, limits.current(limit), limits.service_s(limit)
        )

    return Policy(push, pop, done, lambda: limits.current(limit))


def ordered(by_rank: bool, skips_late: bool) -> Policy:
    """Return a plain bounded queue: FIFO, or strict priority by rank.

    A full queue drops the newest, of the lowest rank where it knows ranks.
    """
    queues = [collections.deque() for _ in range(3 if by_rank else 1)]

    def push(entry: rank_queue.Entry, now: float) -> None:
        place = model.RANKS.index(entry.rank) if by_rank else 0
        queues[place].append(entry)
        if sum(map(len, queues)) > rank_queue.MAX_ENTRIES:
            next(each for each in reversed(queues) if each).pop()

    def pop(now: float) -> rank_queue.Entry | None:
        for queue in queues:
            while queue:
                entry = queue.popleft()
                if not skips_late or entry.deadline_at > now:
                    return entry
        return None

    return Policy(push, pop, lambda *_: None, lambda: SLOTS)


def simulate(policy: Policy, flooded: str) -> Result:
    """Run one target under a flood of one rank."""
    rng = random.Random(SEED)
    result = _empty_result()
    events: list[tuple[float, int, str, typing.Any]] = []
    serial = 0
    for rank in model.RANKS:
        heapq.heappush(events, (rng.random() / 100, serial, 'arrive', rank))
        serial += 1
    running = 0
    while events:
        now, _, kind, what = heapq.heappop(events)
        serial += 1
        if kind == 'arrive':
            rank = what
            _count(result.offered_by_bin, rank, now)
            result.offered[rank] += _in_flood(now)
            entry = rank_queue.Entry(
                str(serial),
                rank,
                f'caller {rng.randrange(CALLERS)}',
                now + DEADLINE_S_BY_RANK[rank],
            )
            policy.push(entry, now)
            at = now + rng.expovariate(_rate(rank, flooded, now))
            if at < END_S:
                heapq.heappush(events, (at, serial, 'arrive', rank))
        else:
            entry, latency_s = what
            running -= 1
            policy.done(latency_s, now)
            if now <= entry.deadline_at:
                _count(result.good_by_bin, entry.rank, now)
                result.good[entry.rank] += _in_flood(now)
            elif _in_flood(now):
                result = result._replace(late=result.late + 1)
        while running < policy.width():
            entry = policy.pop(now)
            if entry is None:
                break
            serial += 1
            running += 1
            latency_s = rng.expovariate(1 / SERVICE_S)
            if _in_flood(now):
                arrived = entry.deadline_at - DEADLINE_S_BY_RANK[entry.rank]
                wait_us = round((now - arrived) * 1_000_000)
                result.waits[entry.rank].record_value(max(1, wait_us))
            done = (entry, latency_s)
            heapq.heappush(events, (now + latency_s, serial, 'done', done))
    return result


def recovery_s(result: Result) -> float:
    """Return how long after the flood all ranks get 0.9 of their offer."""
    first = round(FLOOD_TO_S / RECOVERY_BIN_S)
    last = round(END_S / RECOVERY_BIN_S) - 1
    recovered = first
    for number in range(first, last):
        offered = sum(each.get(number, 0) for each in _values(result, True))
        good = sum(each.get(number, 0) for each in _values(result, False))
        if good < 0.9 * offered:
            recovered = number + 1
    return (recovered - first) * RECOVERY_BIN_S


def report_admission(emit: abc.Callable[..., None]) -> None:
    """Report goodput, waits, shares and recovery of each policy."""
    policies = {
        'ranked': ranked,
        'fifo': lambda: ordered(False, False),
        'fifo dropping late': lambda: ordered(False, True),
        'strict priority': lambda: ordered(True, False),
        'strict priority dropping late': lambda: ordered(True, True),
    }
    capacity = CAPACITY_PER_S * (FLOOD_TO_S - FLOOD_FROM_S)
    for flooded in (model.BULK, model.URGENT):
        for name, make in policies.items():
            result = simulate(make(), flooded)
            labels = {'flood': flooded, 'policy': name}
            good = sum(result.good.values())
            emit('goodput_share', good / capacity, **labels)
            emit('late_share', result.late / capacity, **labels)
            emit('recovery_s', recovery_s(result), **labels)
            for rank in model.RANKS:
                _report_rank(emit, result, rank, capacity, labels)


def report_ledger(emit: abc.Callable[..., None]) -> None:
    """Report memory and time of the ledger."""
    slot = model.SlotId('holdbook', 7)
    count = 50_000
    tracemalloc.start()
    state = ledger.open_ledger(0)
    before, _ = tracemalloc.get_traced_memory()
    _note_intents(state, slot, count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    emit('ledger_bytes_per_entry', (after - before) / count)
    ids = [f'{100_000 + number // 8}-{number:016x}' for number in range(count)]
    state = ledger.open_ledger(0)
    started = time.perf_counter()
    for number, request_id in enumerate(ids):
        ledger.note_intent(
            state, request_id, 100_000 + number // 8, slot, 'h/i/1', 106_000
        )
    spent_s = time.perf_counter() - started
    emit('note_intent_us', spent_s / count * 1_000_000)
    assert ledger.size(state).intents == count
    started = time.perf_counter()
    ledger.expire(state, 500_000)
    emit(
        'expire_us_per_entry',
        (time.perf_counter() - started) / count * 1_000_000,
    )
    slots = [model.SlotId('holdbook', number) for number in range(768)]
    hosts = tuple(f'host-{number}' for number in range(12))
    started = time.perf_counter()
    for each in slots:
        ledger.holders_changed(
            state, each, hosts[:11], hosts, hosts[3], 600_000
        )
    emit(
        'holders_changed_ms_for_768_slots',
        (time.perf_counter() - started) * 1_000,
    )


def report_queue(emit: abc.Callable[..., None]) -> None:
    """Report the time of a push and a pop with entries waiting."""
    rng = random.Random(SEED)
    count = 50_000
    queue = rank_queue.open_queue(FLOOR_BY_RANK, SLOTS, 0.0)
    entries = [
        rank_queue.Entry(
            str(number),
            rng.choice(model.RANKS),
            f'caller {rng.randrange(CALLERS)}',
            1_000.0,
        )
        for number in range(count)
    ]
    for entry in entries[:500]:
        rank_queue.push(queue, entry, 0.0)
    started = time.perf_counter()
    for entry in entries[500:]:
        rank_queue.push(queue, entry, 0.0)
        rank_queue.pop(queue, 0.0)
    spent_s = time.perf_counter() - started
    emit('push_pop_us', spent_s / (count - 500) * 1_000_000, waiting=500)


def report_quarantine(emit: abc.Callable[..., None]) -> None:
    """Report how often innocent requests are quarantined.

    Targets of a cell crash on their own at random with full slots. The keys
    of a crashed target move to others. Requests are drawn evenly or by a Zipf
    law from a number of distinct ones.
    """
    for distinct in (100_000, 10_000_000):
        for crashes in (2, 10):
            for skew in (False, True):
                hit, refused = _innocent_shares(distinct, crashes, skew)
                labels = {
                    'distinct_requests': distinct,
                    'crashes_in_600_s': crashes,
                    'zipf': skew,
                }
                emit('innocent_quarantines_per_crash', hit, **labels)
                emit('innocent_requests_refused_share', refused, **labels)


def main() -> None:
    """Print one JSON line for each figure."""

    def emit(figure: str, value: float, **labels: typing.Any) -> None:
        line = {'figure': figure, 'value': float(f'{value:.4g}'), **labels}
        print(json.dumps({**line, 'seed': SEED}), flush=True)

    report_admission(emit)
    report_ledger(emit)
    report_queue(emit)
    report_quarantine(emit)


def _empty_result() -> Result:
    return Result(
        dict.fromkeys(model.RANKS, 0),
        dict.fromkeys(model.RANKS, 0),
        0,
        {rank: {} for rank in model.RANKS},
        {rank: {} for rank in model.RANKS},
        {
            rank: histogram.HdrHistogram(1, MAX_WAIT_US, 3)
            for rank in model.RANKS
        },
    )


def _rate(rank: str, flooded: str, now: float) -> float:
    share = USUAL_BY_RANK[rank]
    if rank == flooded and _in_flood(now):
        share = FLOOD
    return share * CAPACITY_PER_S


def _in_flood(now: float) -> bool:
    return FLOOD_FROM_S <= now < FLOOD_TO_S


def _count(by_bin: dict[str, dict[int, int]], rank: str, now: float) -> None:
    number = int(now / RECOVERY_BIN_S)
    by_bin[rank][number] = by_bin[rank].get(number, 0) + 1


def _values(result: Result, offered: bool) -> list[dict[int, int]]:
    by_bin = result.offered_by_bin if offered else result.good_by_bin
    return list(by_bin.values())


def _report_rank(
    emit: abc.Callable[..., None],
    result: Result,
    rank: str,
    capacity: float,
    labels: dict[str, str],
) -> None:
    labels = {**labels, 'rank': rank}
    waits = result.waits[rank]
    offered = max(1, result.offered[rank])
    emit('share_of_capacity', result.good[rank] / capacity, **labels)
    emit('kept_of_offer', result.good[rank] / offered, **labels)
    for percentile in (50, 99):
        wait_ms = waits.get_value_at_percentile(percentile) / 1_000
        emit(f'wait_p{percentile}_ms', wait_ms, **labels)


def _note_intents(
    state: ledger.Ledger, slot: model.SlotId, count: int
) -> None:
    for number in range(count):
        issued_ms = 100_000 + number // 8
        code = ledger.note_intent(
            state,
            f'{issued_ms + 1_700_000_000_000}-{number:016x}',
            issued_ms,
            slot,
            ledger.make_token('ktm-balaju-3', 'a1b2c3d4', number),
            106_000,
        )
        assert code == codes.OK


def _innocent_shares(
    distinct: int, crashes: int, skew: bool
) -> tuple[float, float]:
    """Return innocents quarantined per crash, and their share of requests."""
    rng = random.Random(SEED)
    trials = 300
    hit = 0
    refused = 0.0
    for _ in range(trials):
        state = quarantine.open_quarantine()
        crashed: list[int] = []
        for _ in range(crashes):
            # A target that crashed has few keys until later crashes.
            target = rng.choice(
                [each for each in range(TARGETS) if each not in crashed]
            )
            in_flight = set()
            while len(in_flight) < SLOTS:
                request = _draw(rng, distinct, skew)
                if _owner(request, crashed) == target:
                    in_flight.add(request)
            event = quarantine.crash_event(str(target), str(len(crashed)))
            names = tuple(str(request) for request in sorted(in_flight))
            crashed.append(target)
            for name in quarantine.note_crash(state, event, names, 0):
                hit += 1
                refused += _share(int(name), distinct, skew)
    return hit / (trials * crashes), refused / trials


def _owner(request: int, crashed: list[int]) -> int:
    """Return the owner after each crash moved the keys of its target."""
    owner = request % TARGETS
    for number, target in enumerate(crashed):
        if owner == target:
            owner = (target + 1 + (request + number) % (TARGETS - 1)) % TARGETS
    return owner


def _draw(rng: random.Random, distinct: int, skew: bool) -> int:
    """Draw a request, by a Zipf law of exponent 1 or evenly."""
    if skew:
        return int((distinct + 1) ** rng.random())
    return rng.randrange(distinct)


def _share(request: int, distinct: int, skew: bool) -> float:
    """Return the probability of a draw."""
    if skew:
        return math.log(1 + 1 / request) / math.log(distinct + 1)
    return 1 / distinct


if __name__ == '__main__':
    main()
