"""Callers: plan requests from a seed, send them and collect the results."""

from collections import abc
import contextlib
import itertools
import json
import queue
import random
import threading
import time
import typing
from urllib import parse

import urllib3

from amaranthcrank.core import model

# A call without a response is abandoned this long after its deadline.
RESPONSE_SLACK_S = 2.0
LOOKUP_METHODS = ('GET', 'HEAD')
CHANGE_METHODS = ('POST', 'PUT', 'PATCH', 'DELETE')
EQUAL_RANK_WEIGHTS = {rank: 1.0 for rank in model.RANKS}


class PlannedCall(typing.NamedTuple):
    """One planned request.

    Attributes:
      number: The position in the plan, from 0.
      id_suffix: The part of the request id after the time of issue.
      service: The service.
      key: The key.
      rank: The rank.
      repeatable: Whether it may run more than once.
      method: The HTTP method.
      deadline_ms: The deadline.
      body: The body; if it is not empty, the upstream is to echo it.
      entry: Selects the first entry host, modulo their number.
    """

    number: int
    id_suffix: str
    service: str
    key: str
    rank: str
    repeatable: bool
    method: str
    deadline_ms: int
    body: bytes
    entry: int


class CallResult(typing.NamedTuple):
    """The result of a request.

    Attributes:
      call: The request.
      request_id: The complete request id.
      entry_host: The entry host of the last attempt.
      status: The HTTP status, 0 if no response arrived.
      outcome: X-Outcome, empty if missing.
      code: X-Result-Code, 0 if missing.
      latency_ms: From the first attempt to the end of the last one.
      late_ms: How long after its planned time it was sent.
      response_matches: Whether the response belongs to this request id; None
        if that cannot be checked: nothing was served, or HEAD.
      body_bytes: The length of the response's body.
      attempts: How often it was sent.
      error: The error of the last attempt, empty for a response.
    """

    call: PlannedCall
    request_id: str
    entry_host: str
    status: int
    outcome: str
    code: int
    latency_ms: float
    late_ms: float
    response_matches: bool | None
    body_bytes: int
    attempts: int
    error: str


def plan_calls(
    seed: int,
    count: int,
    services: abc.Sequence[str],
    keys: int = 100,
    weight_by_rank: abc.Mapping[str, float] = EQUAL_RANK_WEIGHTS,
    repeatable_ratio: float = 0.5,
    deadline_ms: int = model.DEFAULT_DEADLINE_MS,
    body_bytes: int = 0,
) -> tuple[PlannedCall, ...]:
    """Plan requests; the same arguments give the same plan.

    Args:
      seed: The seed of every choice.
      count: How many requests.
      services: The services, with equal probability.
      keys: How many keys each service has.
      weight_by_rank: The relative frequency of each rank.
      repeatable_ratio: The share of repeatable requests; these are lookups.
      deadline_ms: The deadline of each request.
      body_bytes: The size of the bodies to echo, 0 for none.

    Returns:
      The requests in the order of sending.
    """
    rng = random.Random(seed)
    ranks = tuple(weight_by_rank)
    weights = tuple(weight_by_rank[rank] for rank in ranks)
    calls = []
    for number in range(count):
        repeatable = rng.random() < repeatable_ratio
        methods = LOOKUP_METHODS if repeatable else CHANGE_METHODS
        method = rng.choice(methods)
        # Lookups carry no body, so only changes can be echoed.
        body = b'' if repeatable else rng.randbytes(body_bytes)
        calls.append(
            PlannedCall(
                number,
                f'{number}-{rng.getrandbits(64):016x}',
                rng.choice(services),
                f'key-{rng.randrange(keys)}',
                rng.choices(ranks, weights)[0],
                repeatable,
                method,
                deadline_ms,
                body,
                rng.getrandbits(16),
            )
        )
    return tuple(calls)


def send_calls(
    entry_hosts: abc.Sequence[str],
    calls: abc.Iterable[PlannedCall],
    threads: int = 8,
    attempts: int = 1,
    rate_per_s: float | None = None,
) -> tuple[CallResult, ...]:
    """Send requests and wait for all of them.

    Args:
      entry_hosts: host:port of each.
      calls: The requests.
      threads: How many requests are in flight concurrently.
      attempts: How often a request without a response is sent, with the same
        id, to one entry host after the other.
      rate_per_s: The rate of sending, as far as the threads allow; None to
        send the next request of a thread as soon as the last one ends.

    Returns:
      A result for each request, in the order of the calls.
    """
    pending: queue.SimpleQueue[PlannedCall] = queue.SimpleQueue()
    for call in calls:
        pending.put(call)
    results: list[CallResult] = []
    started_at = time.monotonic()

    def send_pending(pool: urllib3.PoolManager) -> None:
        while True:
            try:
                call = pending.get_nowait()
            except queue.Empty:
                return
            due_at = time.monotonic()
            if rate_per_s:
                due_at = started_at + call.number / rate_per_s
                time.sleep(max(0.0, due_at - time.monotonic()))
            results.append(
                send_call(pool, entry_hosts, call, attempts, due_at)
            )

    with contextlib.ExitStack() as stack:
        pool = stack.enter_context(
            urllib3.PoolManager(
                num_pools=len(entry_hosts), maxsize=threads, retries=False
            )
        )
        workers = [
            threading.Thread(target=send_pending, args=(pool,))
            for _ in range(threads)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
    return tuple(sorted(results, key=lambda each: each.call.number))


def send_call(
    pool: urllib3.PoolManager,
    entry_hosts: abc.Sequence[str],
    call: PlannedCall,
    attempts: int = 1,
    due_at: float | None = None,
) -> CallResult:
    """Send one request.

    Args:
      pool: The connections; must not retry by itself.
      entry_hosts: host:port of each.
      call: The request.
      attempts: How often it is sent at most while no response arrives.
      due_at: When it was planned to be sent, monotonic seconds.
    """
    sent_at = time.monotonic()
    request_id = f'{time.time_ns() // 1_000_000}-{call.id_suffix}'
    for attempt in itertools.count(1):
        host = entry_hosts[(call.entry + attempt - 1) % len(entry_hosts)]
        response, error = _request(pool, host, call, request_id)
        if response is not None or attempt >= attempts:
            break
    latency_ms = (time.monotonic() - sent_at) * 1000
    late_ms = 0.0 if due_at is None else (sent_at - due_at) * 1000
    if response is None:
        return CallResult(
            call,
            request_id,
            host,
            0,
            '',
            0,
            latency_ms,
            late_ms,
            None,
            0,
            attempt,
            error,
        )
    code = response.headers.get('X-Result-Code', '')
    return CallResult(
        call,
        request_id,
        host,
        response.status,
        response.headers.get('X-Outcome', ''),
        int(code) if code.isdecimal() else 0,
        latency_ms,
        late_ms,
        response_matches(call, request_id, response),
        len(response.data),
        attempt,
        '',
    )


def response_matches(
    call: PlannedCall, request_id: str, response: urllib3.BaseHTTPResponse
) -> bool | None:
    """Return whether a response belongs to the request that received it.

    Args:
      call: The request.
      request_id: Its id.
      response: The whole response.

    Returns:
      Whether it does, or None if the response does not tell.
    """
    named = response.headers.get('X-Request-Id')
    if named is not None and named != request_id:
        return False
    if response.headers.get('X-Outcome') != 'served':
        return None
    if call.method == 'HEAD' or response.status != 200:
        return None
    if call.body:
        return response.data == call.body
    try:
        content = json.loads(response.data)
        return (content['request_id'], content['key']) == (
            request_id,
            call.key,
        )
    except (ValueError, KeyError, TypeError):
        return False


def _request(
    pool: urllib3.PoolManager,
    host: str,
    call: PlannedCall,
    request_id: str,
) -> tuple[urllib3.BaseHTTPResponse | None, str]:
    headers = {
        'X-Request-Id': request_id,
        'X-Request-Rank': call.rank,
        'X-Request-Repeatable': 'true' if call.repeatable else 'false',
        'X-Request-Deadline-Ms': str(call.deadline_ms),
    }
    if call.body:
        headers['X-Echo'] = '1'
    try:
        response = pool.request(
            call.method,
            f'http://{host}/v1/{parse.quote(call.service, safe="")}'
            f'/{parse.quote(call.key, safe="")}',
            body=call.body or None,
            headers=headers,
            timeout=call.deadline_ms / 1000 + RESPONSE_SLACK_S,
            redirect=False,
        )
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return None, f'{type(error).__name__}: {error}'
    return response, ''
