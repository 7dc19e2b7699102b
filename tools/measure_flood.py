"""Measures a deployment that is flooded with requests of one rank.

One failure domain with two entry hosts and three upstreams of 3 slots. A base
load of all ranks is sent all the time; the flood adds callers that send the
next request as soon as the last one is answered, which offers several times
the capacity.
"""

import collections
from collections import abc
import contextlib
import random
import threading
import time

from hdrh import histogram
import urllib3

from amaranthcrank.core import codes
from amaranthcrank.core import model
from standins import fleet as fleet_module
from tools import demo
from tools import measuring

SEED = 5
SERVICE_MS = 20.0
SERVICE = 'soaklog'
DOMAIN = fleet_module.Domain('ktm-balaju', 'kathmandu', 2, 3)
SLOTS = 3 * 3
CAPACITY_PER_S = SLOTS * 1000 / SERVICE_MS
BASE_LOAD_BY_RANK = {model.URGENT: 0.1, model.NORMAL: 0.2, model.BULK: 0.1}
BASE_THREADS = 8
FLOOD_THREADS = 400
PHASE_S = 4.0
DEADLINE_MS = 2_000
KEYS = 200
MAX_LATENCY_US = 60_000_000
SETUP = (
    f'2 hosts, 3 upstreams of 3 slots, {SERVICE_MS:.0f} ms service, '
    f'{FLOOD_THREADS} flooding callers, {DEADLINE_MS} ms deadlines'
)


class PhaseResults:
    """The responses to callers of the base load during one phase.

    Attributes:
      lock: Protects the other attributes.
      latency_by_rank: Latencies of served requests, in microseconds.
      count_by_rank_outcome: The number of responses by rank and outcome.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.latency_by_rank = {
            rank: histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
            for rank in model.RANKS
        }
        self.count_by_rank_outcome: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )


def main() -> None:
    """Print one JSON line for each figure."""
    with contextlib.ExitStack() as stack:
        fleet = stack.enter_context(
            fleet_module.running(
                (DOMAIN,),
                (SERVICE,),
                upstream_options=('--service-ms', str(SERVICE_MS)),
            )
        )
        demo.file_first_ticket(fleet)
        demo.wait_for_owners(fleet)
        hosts = [each.callers for each in fleet.daemon_by_host.values()]
        _run_phase(hosts, None, 1.0)
        for flooded_rank in (None, model.BULK, model.URGENT):
            results = _run_phase(hosts, flooded_rank, PHASE_S)
            _report_phase(flooded_rank or 'none', results)
        _report_phase(
            'none, after the floods', _run_phase(hosts, None, PHASE_S / 2)
        )


def _run_phase(
    hosts: abc.Sequence[str], flooded_rank: str | None, duration_s: float
) -> PhaseResults:
    results = PhaseResults()
    end_at = time.monotonic() + duration_s
    threads = []
    for number in range(BASE_THREADS):
        threads.append(
            threading.Thread(
                target=_run_base_caller, args=(hosts, number, end_at, results)
            )
        )
    for number in range(FLOOD_THREADS if flooded_rank else 0):
        threads.append(
            threading.Thread(
                target=_run_flooding_caller,
                args=(hosts, flooded_rank, number, end_at, results),
            )
        )
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def _run_base_caller(
    hosts: abc.Sequence[str], number: int, end_at: float, results: PhaseResults
) -> None:
    """Send requests of all ranks at a mean rate that ignores latency."""
    rng = random.Random(SEED * 1000 + number)
    ranks = tuple(BASE_LOAD_BY_RANK)
    weights = tuple(BASE_LOAD_BY_RANK.values())
    rate_per_s = sum(weights) * CAPACITY_PER_S / BASE_THREADS
    pool = urllib3.PoolManager(retries=False, timeout=10)
    next_at = time.monotonic()
    while next_at < end_at:
        time.sleep(max(0.0, next_at - time.monotonic()))
        next_at += rng.expovariate(rate_per_s)
        rank = rng.choices(ranks, weights)[0]
        _send(pool, rng, hosts, rank, f'calm-{number}', results)


def _run_flooding_caller(
    hosts: abc.Sequence[str],
    rank: str,
    number: int,
    end_at: float,
    results: PhaseResults,
) -> None:
    rng = random.Random(SEED * 2000 + number)
    pool = urllib3.PoolManager(retries=False, timeout=10)
    while time.monotonic() < end_at:
        outcome = _send(pool, rng, hosts, rank, f'flood-{number}', None)
        if outcome != codes.SERVED:
            # In the worst case callers repeat refused requests immediately;
            # the pause only limits the processor time of the callers.
            time.sleep(0.02)
            continue


def _send(
    pool: urllib3.PoolManager,
    rng: random.Random,
    hosts: abc.Sequence[str],
    rank: str,
    caller: str,
    results: PhaseResults | None,
) -> str:
    headers = {
        'X-Request-Rank': rank,
        'X-Request-Deadline-Ms': str(DEADLINE_MS),
        'X-Caller-Id': caller,
    }
    url = f'http://{rng.choice(hosts)}/v1/{SERVICE}/{rng.randrange(KEYS)}'
    started_at = time.monotonic()
    try:
        response = pool.request('GET', url, headers=headers)
        outcome = response.headers.get('X-Outcome', '')
    except urllib3.exceptions.HTTPError:
        outcome = 'no answer'
    if results is None:
        return outcome
    latency_us = int((time.monotonic() - started_at) * 1e6)
    with results.lock:
        results.count_by_rank_outcome[rank, outcome] += 1
        if outcome == codes.SERVED:
            results.latency_by_rank[rank].record_value(max(1, latency_us))
    return outcome


def _report_phase(flood: str, results: PhaseResults) -> None:
    for rank in model.RANKS:
        counts: dict[str, int] = {}
        for (each, outcome), count in results.count_by_rank_outcome.items():
            if each == rank:
                counts[outcome] = count
        total = sum(counts.values())
        served = counts.get(codes.SERVED, 0)
        _emit(f'flood {flood}: {rank} kept', served / max(1, total), 'share')
        latency = results.latency_by_rank[rank]
        for percentile in (50, 99):
            value_ms = latency.get_value_at_percentile(percentile) / 1000
            _emit(f'flood {flood}: {rank} p{percentile}', value_ms, 'ms')


def _emit(figure: str, value: float, unit: str) -> None:
    measuring.emit(figure, value, unit, SETUP, SEED)


if __name__ == '__main__':
    main()
