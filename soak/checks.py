"""Invariants of a soak, checked against what callers and targets recorded.

The checks are pure functions.
"""

import collections
import typing

from soak import callers
from soak import holds as key_holds
from soak import target

# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Services that may run a request, by path prefix; other paths go to `desk`.
SERVICES_BY_PREFIX = {
    '/read/': ('desk',),
    '/post/': ('desk',),
    '/look/': ('book',),
    '/book/': ('book',),
}


def check(
    results: typing.Sequence[callers.Result],
    runs: typing.Sequence[target.Run],
    holds: typing.Sequence[key_holds.Hold],
) -> tuple[str, ...]:
    """Return a description of each violation, empty if there is none."""
    return (
        *_check_responses(results),
        *_check_runs(results, runs),
        *_check_owners(holds),
    )


def _check_responses(
    results: typing.Sequence[callers.Result],
) -> typing.Iterator[str]:
    for result in results:
        if result.status != 200:
            continue
        expected_body = b'ran ' + result.request_id.encode()
        if (
            result.body != expected_body
            or result.echoed_id != result.request_id
        ):
            yield f'the answer belongs to another request: {result}'
        if not result.signed:
            yield f"status 200 without a target's signature: {result}"


def _check_runs(
    results: typing.Sequence[callers.Result],
    runs: typing.Sequence[target.Run],
) -> typing.Iterator[str]:
    counts = collections.Counter(run.request_id for run in runs)
    service_by_id = {run.request_id: run.service for run in runs}
    sent_ids = set()
    for result in results:
        request_id = result.request_id
        sent_ids.add(request_id)
        count = counts[request_id]
        if count > 1 and not result.kind.repeatable:
            yield f'non-repeatable request ran {count} times: {result}'
        if (
            count
            and not result.kind.repeatable
            and result.status in NOT_RUN_STATUSES
        ):
            yield f'refused as not run, but it ran: {result}'
        if result.status == 200 and not count:
            yield f'answered, but no target ran it: {result}'
        allowed = SERVICES_BY_PREFIX.get(result.kind.prefix, ('desk',))
        if count and service_by_id[request_id] not in allowed:
            yield f'ran at wrong service {service_by_id[request_id]}: {result}'
    # Requests still in flight at the end have no result, so only the caller
    # part of their id can be checked.
    caller_names = {request_id.rpartition('-')[0] for request_id in sent_ids}
    for request_id in service_by_id:
        if request_id.rpartition('-')[0] not in caller_names:
            yield f'no caller sent {request_id}'


def _check_owners(
    holds: typing.Sequence[key_holds.Hold],
) -> typing.Iterator[str]:
    for first, second in key_holds.overlaps(holds):
        yield f'two owners at one time: {first} and {second}'
    for first, second in key_holds.stale_fences(holds):
        yield f'fencing token did not increase: {first}, then {second}'


def served_share(
    results: typing.Sequence[callers.Result], since: float
) -> float:
    """Return the share of the requests since a moment that were served."""
    recent = [result for result in results if result.sent_at >= since]
    served = sum(result.status == 200 for result in recent)
    return served / max(1, len(recent))
