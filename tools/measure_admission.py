"""Measures admission, the ledger and quarantine; prints JSON lines.

Simulates one target with 4 slots and compares the rank queue and concurrency
limit of the daemon with FIFO and strict priority: under a flood of bulk
requests at ten times the capacity, and under one of urgent requests. All
random choices are seeded, so only the durations in microseconds and
milliseconds of real code vary with the machine.
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

from amaranthcrank.admission import concurrency_limit
from amaranthcrank.admission import rank_queue
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.dispatch import ledger
from amaranthcrank.dispatch import quarantine

SEED = 11
SLOTS = 4
MEAN_SERVICE_S = 0.02
CAPACITY_PER_S = SLOTS / MEAN_SERVICE_S
FLOOR_BY_RANK = {model.NORMAL: 0.15, model.BULK: 0.05}
DEADLINE_S_BY_RANK = {model.URGENT: 1.0, model.NORMAL: 2.0, model.BULK: 5.0}
# Load that is always offered, as a share of the capacity.
BASE_LOAD_BY_RANK = {model.URGENT: 0.1, model.NORMAL: 0.3, model.BULK: 0.2}
# Load that the flooded rank offers instead, as a multiple of the capacity.
FLOOD_LOAD = 10.0
FLOOD_FROM_S = 5.0
FLOOD_TO_S = 20.0
END_S = 35.0
RECOVERY_BIN_S = 0.5
CALLERS = 8
TARGETS = 34
MAX_WAIT_US = 60_000_000


class QueuePolicy(typing.NamedTuple):
    """The functions of a queue under test.

    Attributes:
      push: Adds an entry; takes the entry and the time.
      pop: Takes the time; returns the next entry or None.
      on_completed: Handles a response; takes its latency and the time.
      concurrency: Returns how many requests may run concurrently.
    """

    push: abc.Callable[[rank_queue.Entry, float], None]
    pop: abc.Callable[[float], rank_queue.Entry | None]
    on_completed: abc.Callable[[float, float], None]
    concurrency: abc.Callable[[], int]


class Result(typing.NamedTuple):
    """The counts of a simulation.

    Attributes:
      offered_by_rank: Requests that arrived during the flood.
      in_time_by_rank: Requests answered within their deadline during the
        flood.
      late: Requests answered after their deadline during the flood.
      in_time_by_bin: Responses within the deadline, by rank and time bin.
      offered_by_bin: Arrivals, by rank and time bin.
      waits_us_by_rank: Waiting times of requests that started during the
        flood.
    """

    offered_by_rank: dict[str, int]
    in_time_by_rank: dict[str, int]
    late: int
    in_time_by_bin: dict[str, dict[int, int]]
    offered_by_bin: dict[str, dict[int, int]]
    waits_us_by_rank: dict[str, histogram.HdrHistogram]


def rank_queue_policy(
    floor_by_rank: abc.Mapping[str, float] = FLOOR_BY_RANK,
) -> QueuePolicy:
    """Return the rank queue with the concurrency limit of the daemon."""
    limit = concurrency_limit.open_limit(SLOTS)
    queue = rank_queue.open_queue(
        floor_by_rank, concurrency_limit.current(limit), MEAN_SERVICE_S
    )

    def push(entry: rank_queue.Entry, now: float) -> None:
        rank_queue.push(queue, entry, now)

    def pop(now: float) -> rank_queue.Entry | None:
        return rank_queue.pop(queue, now)[0]

    def on_completed(latency_s: float, now: float) -> None:
        concurrency_limit.record_response(limit, latency_s, now)
        rank_queue.set_service_rate(
            queue,
            concurrency_limit.current(limit),
            concurrency_limit.service_s(limit),
        )

    return QueuePolicy(
        push, pop, on_completed, lambda: concurrency_limit.current(limit)
    )


def plain_queue_policy(uses_ranks: bool, drops_late: bool) -> QueuePolicy:
    """Return a bounded queue: FIFO, or strict priority by rank.

    A full queue drops its newest entry; with ranks, that of the lowest rank.

    Args:
      uses_ranks: Whether entries are ordered by rank.
      drops_late: Whether entries whose deadline has passed are dropped.
    """
    queues = [collections.deque() for _ in range(3 if uses_ranks else 1)]

    def push(entry: rank_queue.Entry, now: float) -> None:
        queue_index = model.RANKS.index(entry.rank) if uses_ranks else 0
        queues[queue_index].append(entry)
        if sum(map(len, queues)) > rank_queue.MAX_ENTRIES:
            next(each for each in reversed(queues) if each).pop()

    def pop(now: float) -> rank_queue.Entry | None:
        for queue in queues:
            while queue:
                entry = queue.popleft()
                if not drops_late or entry.deadline_at > now:
                    return entry
        return None

    return QueuePolicy(push, pop, lambda *_: None, lambda: SLOTS)


def simulate(policy: QueuePolicy, flooded_rank: str) -> Result:
    """Simulate one target under a flood of one rank."""
    rng = random.Random(SEED)
    result = _empty_result()
    events: list[tuple[float, int, str, typing.Any]] = []
    event_number = 0
    for rank in model.RANKS:
        heapq.heappush(
            events, (rng.random() / 100, event_number, 'arrive', rank)
        )
        event_number += 1
    running = 0
    while events:
        now, _, event_kind, payload = heapq.heappop(events)
        event_number += 1
        if event_kind == 'arrive':
            rank = payload
            _count(result.offered_by_bin, rank, now)
            result.offered_by_rank[rank] += _in_flood(now)
            entry = rank_queue.Entry(
                str(event_number),
                rank,
                f'caller {rng.randrange(CALLERS)}',
                now + DEADLINE_S_BY_RANK[rank],
            )
            policy.push(entry, now)
            next_at = now + rng.expovariate(
                _arrival_rate(rank, flooded_rank, now)
            )
            if next_at < END_S:
                heapq.heappush(events, (next_at, event_number, 'arrive', rank))
        else:
            entry, latency_s = payload
            running -= 1
            policy.on_completed(latency_s, now)
            if now <= entry.deadline_at:
                _count(result.in_time_by_bin, entry.rank, now)
                result.in_time_by_rank[entry.rank] += _in_flood(now)
            elif _in_flood(now):
                result = result._replace(late=result.late + 1)
        while running < policy.concurrency():
            entry = policy.pop(now)
            if entry is None:
                break
            event_number += 1
            running += 1
            latency_s = rng.expovariate(1 / MEAN_SERVICE_S)
            if _in_flood(now):
                arrived_at = entry.deadline_at - DEADLINE_S_BY_RANK[entry.rank]
                wait_us = round((now - arrived_at) * 1_000_000)
                result.waits_us_by_rank[entry.rank].record_value(
                    max(1, wait_us)
                )
            completion = (entry, latency_s)
            heapq.heappush(
                events, (now + latency_s, event_number, 'done', completion)
            )
    return result


def recovery_s(result: Result) -> float:
    """Return the time after the flood until load is served normally again.

    It ends when at least 0.9 of the requests offered in each time bin are
    answered in time.
    """
    first_bin = round(FLOOD_TO_S / RECOVERY_BIN_S)
    last_bin = round(END_S / RECOVERY_BIN_S) - 1
    recovered_bin = first_bin
    for number in range(first_bin, last_bin):
        offered = sum(
            each.get(number, 0) for each in _select_bins(result, True)
        )
        in_time = sum(
            each.get(number, 0) for each in _select_bins(result, False)
        )
        if in_time < 0.9 * offered:
            recovered_bin = number + 1
    return (recovered_bin - first_bin) * RECOVERY_BIN_S


def report_admission(emit: abc.Callable[..., None]) -> None:
    """Report goodput, waiting times, shares and recovery of each policy."""
    policies = {
        'ranked': rank_queue_policy,
        'fifo': lambda: plain_queue_policy(False, False),
        'fifo dropping late': lambda: plain_queue_policy(False, True),
        'strict priority': lambda: plain_queue_policy(True, False),
        'strict priority dropping late': lambda: plain_queue_policy(
            True, True
        ),
    }
    capacity = CAPACITY_PER_S * (FLOOD_TO_S - FLOOD_FROM_S)
    for flooded_rank in (model.BULK, model.URGENT):
        for name, make_policy in policies.items():
            result = simulate(make_policy(), flooded_rank)
            labels = {'flood': flooded_rank, 'policy': name}
            in_time = sum(result.in_time_by_rank.values())
            emit('goodput_share', in_time / capacity, **labels)
            emit('late_share', result.late / capacity, **labels)
            emit('recovery_s', recovery_s(result), **labels)
            for rank in model.RANKS:
                _report_rank(emit, result, rank, capacity, labels)


def report_ledger(emit: abc.Callable[..., None]) -> None:
    """Report the memory and processing time of the ledger."""
    slot = model.SlotId('holdbook', 7)
    count = 50_000
    tracemalloc.start()
    state = ledger.open_ledger(0)
    before, _ = tracemalloc.get_traced_memory()
    _fill_ledger(state, slot, count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    emit('ledger_bytes_per_entry', (after - before) / count)
    request_ids = [
        f'{100_000 + number // 8}-{number:016x}' for number in range(count)
    ]
    state = ledger.open_ledger(0)
    started_at = time.perf_counter()
    for number, request_id in enumerate(request_ids):
        ledger.record_intent(
            state, request_id, 100_000 + number // 8, slot, 'h/i/1', 106_000
        )
    duration_s = time.perf_counter() - started_at
    emit('note_intent_us', duration_s / count * 1_000_000)
    assert ledger.size(state).intents == count
    started_at = time.perf_counter()
    ledger.expire(state, 500_000)
    emit(
        'expire_us_per_entry',
        (time.perf_counter() - started_at) / count * 1_000_000,
    )
    slots = [model.SlotId('holdbook', number) for number in range(768)]
    hosts = tuple(f'host-{number}' for number in range(12))
    started_at = time.perf_counter()
    for each in slots:
        ledger.update_holders(
            state, each, hosts[:11], hosts, hosts[3], 600_000
        )
    emit(
        'holders_changed_ms_for_768_slots',
        (time.perf_counter() - started_at) * 1_000,
    )


def report_queue(emit: abc.Callable[..., None]) -> None:
    """Report the time of a push and a pop with 500 entries in the queue."""
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
    started_at = time.perf_counter()
    for entry in entries[500:]:
        rank_queue.push(queue, entry, 0.0)
        rank_queue.pop(queue, 0.0)
    duration_s = time.perf_counter() - started_at
    emit('push_pop_us', duration_s / (count - 500) * 1_000_000, waiting=500)


def report_quarantine(emit: abc.Callable[..., None]) -> None:
    """Report how often requests are quarantined that caused no crash.

    Targets of a cell crash independently of their requests, at random and with
    all slots in use. The keys of a crashed target move to others. Requests are
    drawn uniformly or from a Zipf distribution over a number of distinct ones.
    """
    for distinct_requests in (100_000, 10_000_000):
        for crashes in (2, 10):
            for zipf in (False, True):
                quarantined, refused_share = _simulate_crashes(
                    distinct_requests, crashes, zipf
                )
                labels = {
                    'distinct_requests': distinct_requests,
                    'crashes_in_600_s': crashes,
                    'zipf': zipf,
                }
                emit('innocent_quarantines_per_crash', quarantined, **labels)
                emit(
                    'innocent_requests_refused_share', refused_share, **labels
                )


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


def _arrival_rate(rank: str, flooded_rank: str, now: float) -> float:
    share = BASE_LOAD_BY_RANK[rank]
    if rank == flooded_rank and _in_flood(now):
        share = FLOOD_LOAD
    return share * CAPACITY_PER_S


def _in_flood(now: float) -> bool:
    return FLOOD_FROM_S <= now < FLOOD_TO_S


def _count(
    count_by_bin: dict[str, dict[int, int]], rank: str, now: float
) -> None:
    number = int(now / RECOVERY_BIN_S)
    count_by_bin[rank][number] = count_by_bin[rank].get(number, 0) + 1


def _select_bins(result: Result, offered: bool) -> list[dict[int, int]]:
    count_by_bin = result.offered_by_bin if offered else result.in_time_by_bin
    return list(count_by_bin.values())


def _report_rank(
    emit: abc.Callable[..., None],
    result: Result,
    rank: str,
    capacity: float,
    labels: dict[str, str],
) -> None:
    labels = {**labels, 'rank': rank}
    waits = result.waits_us_by_rank[rank]
    offered = max(1, result.offered_by_rank[rank])
    emit(
        'share_of_capacity', result.in_time_by_rank[rank] / capacity, **labels
    )
    emit('kept_of_offer', result.in_time_by_rank[rank] / offered, **labels)
    for percentile in (50, 99):
        wait_ms = waits.get_value_at_percentile(percentile) / 1_000
        emit(f'wait_p{percentile}_ms', wait_ms, **labels)


def _fill_ledger(state: ledger.Ledger, slot: model.SlotId, count: int) -> None:
    for number in range(count):
        issued_ms = 100_000 + number // 8
        code = ledger.record_intent(
            state,
            f'{issued_ms + 1_700_000_000_000}-{number:016x}',
            issued_ms,
            slot,
            ledger.make_token('ktm-balaju-3', 'a1b2c3d4', number),
            106_000,
        )
        assert code == codes.OK


def _simulate_crashes(
    distinct_requests: int, crashes: int, zipf: bool
) -> tuple[float, float]:
    """Simulate crashes that no request causes.

    Returns:
      How many requests are quarantined per crash, and the probability that a
      request is refused because of it.
    """
    rng = random.Random(SEED)
    trials = 300
    quarantined = 0
    refused_share = 0.0
    for _ in range(trials):
        state = quarantine.open_quarantine()
        crashed_targets: list[int] = []
        for _ in range(crashes):
            # A crashed target has few keys until others crash.
            target = rng.choice(
                [
                    each
                    for each in range(TARGETS)
                    if each not in crashed_targets
                ]
            )
            in_flight = set()
            while len(in_flight) < SLOTS:
                request = _draw_request(rng, distinct_requests, zipf)
                if _owner(request, crashed_targets) == target:
                    in_flight.add(request)
            event = quarantine.crash_event(
                str(target), str(len(crashed_targets))
            )
            fingerprints = tuple(str(request) for request in sorted(in_flight))
            crashed_targets.append(target)
            for fingerprint in quarantine.record_crash(
                state, event, fingerprints, 0
            ):
                quarantined += 1
                refused_share += _draw_probability(
                    int(fingerprint), distinct_requests, zipf
                )
    return quarantined / (trials * crashes), refused_share / trials


def _owner(request: int, crashed_targets: list[int]) -> int:
    """Return the owner after the keys of each crashed target have moved."""
    owner = request % TARGETS
    for number, target in enumerate(crashed_targets):
        if owner == target:
            owner = (target + 1 + (request + number) % (TARGETS - 1)) % TARGETS
    return owner


def _draw_request(
    rng: random.Random, distinct_requests: int, zipf: bool
) -> int:
    """Draw a request, uniformly or by Zipf's law with exponent 1."""
    if zipf:
        return int((distinct_requests + 1) ** rng.random())
    return rng.randrange(distinct_requests)


def _draw_probability(
    request: int, distinct_requests: int, zipf: bool
) -> float:
    """Return the probability that a request is drawn."""
    if zipf:
        return math.log(1 + 1 / request) / math.log(distinct_requests + 1)
    return 1 / distinct_requests


if __name__ == '__main__':
    main()
