"""One upstream as a small process.

Run `python -m standins.upstream --target t1 --service soaklog`. It runs work
on keys, in few slots, under fenced grants.
"""

from collections import abc
import json
import math
import os
import random
import sys
import threading
import time
import typing
import uuid

import logbook
import typer
import urllib3

from amaranthcrank.core import model
from standins import http_server

# Cancellations of requests that have not arrived yet.
MAX_EARLY_CANCELS = 10_000
RECORD_TIMEOUT_S = 10.0
# Beyond one thread for each connection, for calls that wait on a freeze.
SPARE_THREADS = 8
CRASH_STATUS = 1

SLOW = 'slow'
REFUSE = 'refuse'

_LOG = logbook.Logger('upstream')

SlotKey = tuple[str, int]


class Settings(typing.NamedTuple):
    """How one upstream behaves.

    Attributes:
      target: Its id.
      service: The service it serves.
      slots: How many requests it runs at once.
      service_ms: How long a request takes.
      unfenced: Runs work without looking at its fence.
      crash_header: Work with this header ends the process, empty for none.
      cold_ms: How long after the start it counts as cold.
      cold_mode: SLOW or REFUSE.
      cold_extra_ms: How much longer a request takes while SLOW and cold.
      shed_ratio: The part of the requests that is shed at random.
      seed: For shed_ratio.
      record_url: Where each run and grant is recorded, empty for nowhere.
    """

    target: str
    service: str
    slots: int = 3
    service_ms: float = 5.0
    unfenced: bool = False
    crash_header: str = ''
    cold_ms: float = 0.0
    cold_mode: str = SLOW
    cold_extra_ms: float = 100.0
    shed_ratio: float = 0.0
    seed: int = 0
    record_url: str = ''


class Work(typing.NamedTuple):
    """One request on a key.

    Attributes:
      service: The service.
      key: The key, decoded.
      request_id: The id, empty where there is none.
      slot: The slot it was sent for, None where unsaid.
      fence: The fence of the slot, None where unsaid.
      grant_incarnation: The incarnation that holds the grant.
      deadline_ms: Time left, None where unsaid.
      repeatable: Whether it may run more than once.
      echo: Whether the answer is its own body.
      body: Its body.
    """

    service: str
    key: str
    request_id: str
    slot: int | None
    fence: int | None
    grant_incarnation: str
    deadline_ms: int | None
    repeatable: bool
    echo: bool
    body: bytes


class Grant(typing.NamedTuple):
    """The slots that the upstream may serve.

    Attributes:
      version: The record version of the grant.
      fence_by_slot: The fence of each slot.
      expires_at: The end of the lease, monotonic seconds.
    """

    version: int
    fence_by_slot: dict[SlotKey, int]
    expires_at: float


class Hold(typing.NamedTuple):
    """One stretch of time in which a slot was granted.

    Attributes:
      service: The service.
      slot: The slot.
      fence: Its fence.
      from_s: Its begin, monotonic seconds.
      until_s: Its end; of the current grant, the end of the lease.
    """

    service: str
    slot: int
    fence: int
    from_s: float
    until_s: float


class Job(typing.NamedTuple):
    """One request that is running."""

    request_id: str
    slot: SlotKey | None
    cancelled: threading.Event


class UpstreamState:
    """Everything one upstream knows.

    Attributes:
      settings: How it behaves.
      clock: Monotonic seconds.
      wall_offset_s: Wall clock minus clock, fixed at the start so that a
        step of the wall clock cannot reorder the records.
      incarnation: Random for each start of the process.
      lock: Guards the rest; notified on a new job, a stalled call, a freeze
        and the end of the process.
      issued_at_by_challenge: The challenges that a grant may still echo.
      highest_version: The highest record version that was seen.
      grant: The last grant, which may have lapsed.
      hold_by_slot: The open stretch of each slot of the grant.
      past_holds: The closed stretches.
      hold_number: Numbers the reports to the recorder.
      jobs: What is running.
      ids_by_key: The ids that ran for each service and key, in order.
      ran: A record of each run.
      ran_ids: The ids that ran.
      early_cancels: Cancelled ids that have not arrived.
      draining: Refuses new work.
      frozen_until: No call is handled before, monotonic seconds.
      stalled: How many calls wait for the end of a freeze.
      cold_until: The end of the cold start, monotonic seconds.
      shed_next: How many more requests are shed.
      closed: The process is ending; waiting calls return.
    """

    def __init__(
        self,
        settings: Settings,
        clock: abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.wall_offset_s = time.time() - clock()
        self.incarnation = uuid.uuid4().hex
        self.lock = threading.Condition()
        self.issued_at_by_challenge: dict[str, float] = {}
        self.highest_version = 0
        self.grant = Grant(0, {}, 0.0)
        self.hold_by_slot: dict[SlotKey, Hold] = {}
        self.past_holds: list[Hold] = []
        self.hold_number = 0
        self.jobs: list[Job] = []
        self.ids_by_key: dict[tuple[str, str], list[str]] = {}
        self.ran: list[dict[str, typing.Any]] = []
        self.ran_ids: set[str] = set()
        self.early_cancels: dict[str, None] = {}
        self.draining = False
        self.frozen_until = 0.0
        self.stalled = 0
        self.cold_until = clock() + settings.cold_ms / 1000
        self.shed_next = 0
        self.closed = False
        self.random = random.Random(settings.seed)
        self.record_pool = urllib3.PoolManager(
            maxsize=16, retries=False, timeout=RECORD_TIMEOUT_S
        )

    def close(self) -> None:
        """Wake every waiting call."""
        with self.lock:
            self.closed = True
            for job in self.jobs:
                job.cancelled.set()
            self.lock.notify_all()
        self.record_pool.clear()


def handle(state: UpstreamState, call: http_server.Call) -> http_server.Answer:
    """Answer one call."""
    begun_at = _wait_while_frozen(state)
    if call.path[0] == 'keys':
        return _work(state, call, begun_at)
    handler = _HANDLER_BY_CALL.get((call.method, '/'.join(call.path)))
    if handler is None:
        return http_server.error_answer(404, 'no such path or method')
    content = http_server.json_object(call)
    if content is None:
        return http_server.error_answer(400, 'not a JSON object')
    return handler(state, content)


def _wait_while_frozen(state: UpstreamState) -> float:
    """Wait out a freeze.

    Returns:
      When handling begins: a frozen process reads a request only afterwards.
    """
    with state.lock:
        state.stalled += 1
        state.lock.notify_all()
        while not state.closed:
            left_s = state.frozen_until - state.clock()
            if left_s <= 0:
                break
            state.lock.wait(left_s)
        state.stalled -= 1
        return state.clock()


# Work on keys.


def _work(
    state: UpstreamState, call: http_server.Call, begun_at: float
) -> http_server.Answer:
    work, error = _parse_work(state, call)
    if work is None:
        return _not_run(400, 'request', error)
    job = Job(
        work.request_id,
        None if work.slot is None else (work.service, work.slot),
        threading.Event(),
    )
    with state.lock:
        now = state.clock()
        refusal = _refuse(state, work, now, begun_at)
        if refusal is not None:
            return refusal
        state.jobs.append(job)
        state.lock.notify_all()
        record, count = _apply(state, work, now)
        service_s = _service_s(state, now)
    try:
        recorded = _record(state, '/ran', record)
        if _crashes(state, call):
            os._exit(CRASH_STATUS)
        if not recorded:
            return http_server.error_answer(500, 'the run is not recorded')
        answer = _serve(state, work, job, begun_at, service_s)
        _wait_while_frozen(state)
    finally:
        with state.lock:
            state.jobs.remove(job)
    return answer or _result(work, count)


def _parse_work(
    state: UpstreamState, call: http_server.Call
) -> tuple[Work | None, str]:
    if len(call.path) != 3 or not call.path[2]:
        return None, 'the path is not /keys/<service>/<key>'
    if call.path[1] != state.settings.service:
        return None, f'the service is {state.settings.service}'
    if len(call.body) > http_server.MAX_BODY_BYTES:
        return None, 'the body is over 1 MiB'
    numbers = {}
    for name in ('x-slot', 'x-fence', 'x-deadline-ms'):
        text = call.headers.get(name)
        try:
            numbers[name] = None if text is None else int(text)
        except ValueError:
            return None, f'{name} is not a whole number'
    repeatable = call.headers.get('x-request-repeatable')
    if repeatable is None:
        repeatable = 'true' if call.method in ('GET', 'HEAD') else 'false'
    return Work(
        call.path[1],
        call.path[2],
        call.headers.get('x-request-id', ''),
        numbers['x-slot'],
        numbers['x-fence'],
        call.headers.get('x-grant-incarnation', ''),
        numbers['x-deadline-ms'],
        repeatable == 'true',
        call.headers.get('x-echo') == '1',
        call.body,
    ), ''


def _refuse(
    state: UpstreamState, work: Work, now: float, begun_at: float
) -> http_server.Answer | None:
    if not state.settings.unfenced:
        reason = _fence_error(state, work, now)
        if reason:
            return _not_run(409, 'fence', reason)
    if state.draining:
        return _not_run(503, 'draining', 'the upstream is draining')
    if state.settings.cold_mode == REFUSE and now < state.cold_until:
        return _not_run(503, 'cold', 'the upstream is starting')
    if (
        work.deadline_ms is not None
        and (now - begun_at) * 1000 >= work.deadline_ms
    ):
        return _not_run(504, 'deadline', 'the deadline has passed')
    if work.request_id in state.early_cancels:
        del state.early_cancels[work.request_id]
        return _not_run(499, 'cancelled', 'it was cancelled before it came')
    if len(state.jobs) >= state.settings.slots or _sheds(state):
        return _not_run(503, 'shed', 'no slot is free')
    return None


def _fence_error(state: UpstreamState, work: Work, now: float) -> str:
    if work.slot is None or work.fence is None:
        return 'X-Slot and X-Fence are needed'
    if work.grant_incarnation != state.incarnation:
        return 'the grant is of another incarnation'
    if now >= state.grant.expires_at:
        return 'the lease has ended'
    fence = state.grant.fence_by_slot.get((work.service, work.slot))
    if fence is None:
        return 'the slot is not granted'
    if fence != work.fence:
        return f'the fence of the slot is {fence}'
    return ''


def _sheds(state: UpstreamState) -> bool:
    if state.shed_next:
        state.shed_next -= 1
        return True
    ratio = state.settings.shed_ratio
    return ratio > 0 and state.random.random() < ratio


def _apply(
    state: UpstreamState, work: Work, now: float
) -> tuple[dict[str, typing.Any], int]:
    """Let the work take effect, at the moment its fence was checked."""
    ids = state.ids_by_key.setdefault((work.service, work.key), [])
    ids.append(work.request_id)
    state.ran_ids.add(work.request_id)
    record = {
        'target': state.settings.target,
        'request_id': work.request_id,
        'service': work.service,
        'key': work.key,
        'at_ms': int(_wall_ms(state, now)),
        'at_monotonic_ms': int(now * 1000),
        'slot': work.slot,
        'fence': work.fence,
        'incarnation': state.incarnation,
        'repeatable': work.repeatable,
    }
    state.ran.append(record)
    return record, len(ids)


def _service_s(state: UpstreamState, now: float) -> float:
    service_ms = state.settings.service_ms
    if state.settings.cold_mode == SLOW and now < state.cold_until:
        service_ms += state.settings.cold_extra_ms
    return service_ms / 1000


def _crashes(state: UpstreamState, call: http_server.Call) -> bool:
    name = state.settings.crash_header.lower()
    return bool(name) and name in call.headers


def _serve(
    state: UpstreamState,
    work: Work,
    job: Job,
    begun_at: float,
    service_s: float,
) -> http_server.Answer | None:
    """Take the service time; answers only where it is cut short.

    The work has taken effect by then, so these answers lack X-Not-Run.
    """
    left_s = math.inf
    if work.deadline_ms is not None:
        left_s = begun_at + work.deadline_ms / 1000 - state.clock()
    if job.cancelled.wait(max(0.0, min(service_s, left_s))):
        return http_server.error_answer(499, 'it was cancelled while it ran')
    if left_s < service_s:
        return http_server.error_answer(504, 'the deadline passed in the run')
    return None


def _result(work: Work, count: int) -> http_server.Answer:
    if work.echo:
        return http_server.Answer(
            200, (('Content-Type', 'application/octet-stream'),), work.body
        )
    return http_server.json_answer(
        200,
        {
            'key': work.key,
            'service': work.service,
            'count': count,
            'request_id': work.request_id,
            'body_bytes': len(work.body),
        },
    )


def _not_run(status: int, reason: str, text: str) -> http_server.Answer:
    return http_server.error_answer(status, text, (('X-Not-Run', reason),))


# Grants.


def _get_grant(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    with state.lock:
        return http_server.json_answer(200, _current(state))


def _post_grant(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    version = content.get('version')
    fence_by_slot = _parse_slots(content.get('slots'), 3)
    if not isinstance(version, int) or fence_by_slot is None:
        return http_server.error_answer(
            400, 'version and slots [[service, slot, fence]] are needed'
        )
    with state.lock:
        now = state.clock()
        issued_at = state.issued_at_by_challenge.get(
            str(content.get('challenge')), -math.inf
        )
        expires_at = issued_at + model.GRANT_LEASE_S
        if (
            content.get('incarnation') != state.incarnation
            or now >= expires_at
            or version < state.highest_version
        ):
            return http_server.json_answer(409, _current(state))
        grant = Grant(version, fence_by_slot, expires_at)
        report = _hold_report(state, _accept(state, grant, now))
        current = _current(state)
    _record(state, '/holds', report)
    return http_server.json_answer(200, current)


def _accept(
    state: UpstreamState, grant: Grant, now: float
) -> tuple[Hold, ...]:
    """Put a grant in place of the last one.

    Returns:
      The holds that it closed, then those that are open.
    """
    old = state.grant
    if grant[:2] == old[:2]:
        # Renewals of two hosts may arrive out of order.
        grant = grant._replace(
            expires_at=max(old.expires_at, grant.expires_at)
        )
    state.highest_version = grant.version
    state.grant = grant
    closed = []
    for slot_key, hold in list(state.hold_by_slot.items()):
        kept = grant.fence_by_slot.get(slot_key) == hold.fence
        if not kept or hold.until_s <= now:
            closed.append(_close_hold(state, slot_key, now))
    for slot_key, fence in grant.fence_by_slot.items():
        hold = state.hold_by_slot.get(slot_key)
        from_s = hold.from_s if hold else now
        state.hold_by_slot[slot_key] = Hold(
            *slot_key, fence, from_s, grant.expires_at
        )
    return (*closed, *state.hold_by_slot.values())


def _close_hold(state: UpstreamState, slot_key: SlotKey, now: float) -> Hold:
    hold = state.hold_by_slot.pop(slot_key)
    hold = hold._replace(until_s=min(hold.until_s, now))
    state.past_holds.append(hold)
    return hold


def _release(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    version = content.get('version')
    slots = _parse_slots(content.get('slots'), 2)
    if not isinstance(version, int) or slots is None:
        return http_server.error_answer(
            400, 'version and slots [[service, slot]] are needed'
        )
    with state.lock:
        now = state.clock()
        if version < state.highest_version:
            return http_server.json_answer(409, _current(state))
        state.highest_version = version
        state.grant = state.grant._replace(
            fence_by_slot={
                slot_key: fence
                for slot_key, fence in state.grant.fence_by_slot.items()
                if slot_key not in slots
            }
        )
        closed = tuple(
            _close_hold(state, slot_key, now)
            for slot_key in slots
            if slot_key in state.hold_by_slot
        )
        report = _hold_report(state, closed)
        running = [job.slot for job in state.jobs]
        current = _current(state)
    _record(state, '/holds', report)
    # Work that was sent before the release may still be running.
    current['slots'] = [
        [*slot_key, running.count(slot_key)] for slot_key in slots
    ]
    return http_server.json_answer(200, current)


def _parse_slots(
    entries: typing.Any, length: int
) -> dict[SlotKey, int] | None:
    """Parse slots with a fence each; the fence may be left out at 2."""
    if not isinstance(entries, list):
        return None
    fence_by_slot = {}
    for entry in entries:
        if not isinstance(entry, list) or not length <= len(entry) <= 3:
            return None
        service, *numbers = entry
        if not isinstance(service, str):
            return None
        if not all(isinstance(each, int) for each in numbers):
            return None
        fence_by_slot[service, numbers[0]] = numbers[-1]
    return fence_by_slot


def _current(state: UpstreamState) -> dict[str, typing.Any]:
    """Issue a challenge and show it with the current values."""
    now = state.clock()
    for challenge, issued_at in list(state.issued_at_by_challenge.items()):
        # Issued in order of time, so the first young one ends the search.
        if now < issued_at + model.GRANT_LEASE_S:
            break
        del state.issued_at_by_challenge[challenge]
    challenge = uuid.uuid4().hex
    state.issued_at_by_challenge[challenge] = now
    return {
        'incarnation': state.incarnation,
        'challenge': challenge,
        'version': state.highest_version,
        'draining': state.draining,
        'in_flight': len(state.jobs),
    }


# Control.


def _cancel(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    request_id = content.get('request_id')
    if not isinstance(request_id, str) or not request_id:
        return http_server.error_answer(400, 'request_id is needed')
    with state.lock:
        jobs = [each for each in state.jobs if each.request_id == request_id]
        for job in jobs:
            job.cancelled.set()
        seen = request_id in state.ran_ids
        if not seen:
            state.early_cancels[request_id] = None
            if len(state.early_cancels) > MAX_EARLY_CANCELS:
                del state.early_cancels[next(iter(state.early_cancels))]
    outcome = 'running' if jobs else 'finished' if seen else 'not_seen'
    return http_server.json_answer(200, {'state': outcome})


def _drain(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    with state.lock:
        state.draining = bool(content.get('draining', True))
        return http_server.json_answer(200, _current(state))


def _freeze(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    ms = content.get('ms')
    if not isinstance(ms, (int, float)) or ms < 0:
        return http_server.error_answer(400, 'ms is not a number from 0')
    with state.lock:
        until = state.clock() + ms / 1000
        state.frozen_until = max(state.frozen_until, until)
        state.lock.notify_all()
    return http_server.json_answer(200, {'ms': ms})


def _settings(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    accepted = ('service_ms', 'shed_ratio', 'shed_next')
    for name, number in content.items():
        if name not in accepted:
            return http_server.error_answer(
                400, f'{name}: accepted are {", ".join(accepted)}'
            )
        if not isinstance(number, (int, float)) or number < 0:
            return http_server.error_answer(
                400, f'{name} is not a number from 0'
            )
    with state.lock:
        changes = dict(content)
        state.shed_next = int(changes.pop('shed_next', state.shed_next))
        state.settings = state.settings._replace(**changes)
    return http_server.json_answer(200, content)


# Records for checks.


def _get_ran(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    with state.lock:
        return http_server.json_answer(200, state.ran)


def _get_holds(
    state: UpstreamState, content: dict[str, typing.Any]
) -> http_server.Answer:
    with state.lock:
        grant = state.grant
        current = None
        if state.clock() < grant.expires_at:
            current = {
                'version': grant.version,
                'until_ms': math.floor(_wall_ms(state, grant.expires_at)),
                'slots': [
                    [*slot_key, fence]
                    for slot_key, fence in grant.fence_by_slot.items()
                ],
            }
        history = [
            _hold_entry(state, hold)
            for hold in (*state.past_holds, *state.hold_by_slot.values())
        ]
    return http_server.json_answer(
        200,
        {
            'target': state.settings.target,
            'incarnation': state.incarnation,
            'current': current,
            'history': history,
        },
    )


def _hold_entry(state: UpstreamState, hold: Hold) -> list[typing.Any]:
    return [
        hold.service,
        hold.slot,
        hold.fence,
        math.ceil(_wall_ms(state, hold.from_s)),
        math.floor(_wall_ms(state, hold.until_s)),
    ]


def _wall_ms(state: UpstreamState, at_s: float) -> float:
    return (at_s + state.wall_offset_s) * 1000


def _hold_report(
    state: UpstreamState, holds: tuple[Hold, ...]
) -> dict[str, typing.Any]:
    state.hold_number += 1
    return {
        'target': state.settings.target,
        'incarnation': state.incarnation,
        'number': state.hold_number,
        'holds': [_hold_entry(state, hold) for hold in holds],
    }


def record_start(state: UpstreamState) -> None:
    """Tell the recorder that this incarnation begins.

    It ends every hold of the incarnation before, which may have been killed.
    """
    with state.lock:
        report = _hold_report(state, ())
        report['started_ms'] = math.floor(_wall_ms(state, state.clock()))
    _record(state, '/holds', report)


def _record(
    state: UpstreamState, path: str, content: dict[str, typing.Any]
) -> bool:
    if not state.settings.record_url:
        return True
    try:
        answer = state.record_pool.request(
            'POST',
            state.settings.record_url + path,
            body=json.dumps(content).encode(),
        )
    except urllib3.exceptions.HTTPError as error:
        _LOG.error('No record at {}: {}', path, error)
        return False
    if answer.status != 200:
        _LOG.error('No record at {}: status {}', path, answer.status)
    return answer.status == 200


_HANDLER_BY_CALL = {
    ('GET', 'grant'): _get_grant,
    ('POST', 'grant'): _post_grant,
    ('POST', 'release'): _release,
    ('POST', 'cancel'): _cancel,
    ('POST', 'drain'): _drain,
    ('POST', 'freeze'): _freeze,
    ('POST', 'settings'): _settings,
    ('GET', 'ran'): _get_ran,
    ('GET', 'holds'): _get_holds,
}


def handler_of(state: UpstreamState) -> http_server.Handler:
    """Bind handle to one state."""
    return lambda call: handle(state, call)


def main(
    target: str = typer.Option(..., help='The id of this upstream.'),
    service: str = typer.Option(..., help='The service it serves.'),
    address: str = typer.Option('127.0.0.1:0', help='host:port to listen on'),
    slots: int = typer.Option(3, min=1, help='Requests run at once.'),
    connections: int = typer.Option(110, min=1, help='Connections taken.'),
    service_ms: float = typer.Option(5.0, min=0, help='Time of a request.'),
    unfenced: bool = typer.Option(False, help='Ignore fences.'),
    crash_header: str = typer.Option(
        '', help='Exit at once on work with this header.'
    ),
    cold_ms: float = typer.Option(0.0, min=0, help='Length of a cold start.'),
    cold_mode: str = typer.Option(SLOW, help='slow or refuse while cold.'),
    cold_extra_ms: float = typer.Option(
        100.0, min=0, help='Extra time of a request while cold.'
    ),
    shed_ratio: float = typer.Option(
        0.0, min=0, max=1, help='Part of the requests shed at random.'
    ),
    seed: int = typer.Option(0, help='Seed of the random shedding.'),
    record_url: str = typer.Option(
        '', help='Recorder, as in http://127.0.0.1:8000'
    ),
    standby: bool = typer.Option(
        False, help='Listen only once a line arrives on standard input.'
    ),
) -> None:
    """Run one upstream until SIGTERM."""
    if standby:
        print('standing by', flush=True)
        sys.stdin.readline()
    if cold_mode not in (SLOW, REFUSE):
        raise typer.BadParameter('cold-mode: accepted are slow and refuse')
    state = UpstreamState(
        Settings(
            target,
            service,
            slots,
            service_ms,
            unfenced,
            crash_header,
            cold_ms,
            cold_mode,
            cold_extra_ms,
            shed_ratio,
            seed,
            record_url.rstrip('/'),
        )
    )
    http_server.run_process(
        handler_of(state),
        state.close,
        address,
        connections + SPARE_THREADS,
        connections,
        lambda: record_start(state),
    )


if __name__ == '__main__':
    typer.run(main)
