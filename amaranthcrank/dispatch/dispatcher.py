"""The actor that owns queue, limit and in-flight work of one target."""

from collections import abc
from concurrent import futures
import contextlib
import time
import typing

import pykka

from amaranthcrank.admission import limits
from amaranthcrank.admission import rank_queue
from amaranthcrank.core import actors
from amaranthcrank.core import codes
from amaranthcrank.core import logs
from amaranthcrank.core import model
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import quarantine
from amaranthcrank.dispatch import upstream_client
from amaranthcrank.dispatch import work as work_module

log = logs.logger('dispatch')


class Submit(typing.NamedTuple):
    """Queue work for the target."""

    work: work_module.Work


class Pump(typing.NamedTuple):
    """Send what may be sent now; the control side sends it on changes."""


class SetTarget(typing.NamedTuple):
    """Take over the target and the floors from a ticket."""

    target: model.Target
    floor_by_rank: dict[str, float]


class Restarted(typing.NamedTuple):
    """The upstream runs under a new incarnation."""


class Lost(typing.NamedTuple):
    """The upstream does not answer any more."""


class Load(typing.NamedTuple):
    """Ask what waits and what is in flight."""


class Stop(typing.NamedTuple):
    """Refuse what waits and close the pools."""


class CrashSuspect(typing.NamedTuple):
    """Work was in flight when a connection to the target broke.

    Attributes:
      target: The target.
      incarnation: The incarnation that may have ended.
      fingerprints: Of all the work in flight on it.
    """

    target: str
    incarnation: str
    fingerprints: tuple[str, ...]


class LoadReport(typing.NamedTuple):
    """Queue and limit of one target."""

    limit: int
    in_flight: int
    waiting_by_rank: dict[str, int]


class State:
    """What the dispatcher of one target owns."""

    def __init__(
        self,
        target: model.Target,
        floor_by_rank: dict[str, float],
        context: work_module.Context,
        on_suspect: abc.Callable[[CrashSuspect], None],
    ) -> None:
        self.target = target
        self.context = context
        self.on_suspect = on_suspect
        self.stack = contextlib.ExitStack()
        self.upstream = upstream_client.open_upstream(self.stack, target)
        self.executor = self.stack.enter_context(
            futures.ThreadPoolExecutor(
                # Threads start when needed; a ticket may raise the slots.
                model.MAX_TARGET_SLOTS,
                f'dispatch-{target.target}',
            )
        )
        self.limit = limits.open_limit(target.slots)
        self.queue = rank_queue.open_queue(
            floor_by_rank, target.slots, limits.service_s(self.limit)
        )
        self.waiting_by_number: dict[str, work_module.Work] = {}
        self.in_flight_by_number: dict[str, work_module.Work] = {}
        self.stopped = False
        self.ref: pykka.ActorRef | None = None


def start(
    target: model.Target,
    floor_by_rank: dict[str, float],
    context: work_module.Context,
    on_suspect: abc.Callable[[CrashSuspect], None],
) -> pykka.ActorRef:
    """Start the dispatcher of a target.

    Args:
      target: The target.
      floor_by_rank: Guaranteed shares.
      context: The host.
      on_suspect: Told of work in flight when a connection broke.

    Returns:
      The reference to the actor.
    """
    state = State(target, floor_by_rank, context, on_suspect)
    handler_by_type = {
        Submit: _submit,
        Pump: _pump_message,
        SetTarget: _set_target,
        Restarted: _restarted,
        Lost: _lost,
        Load: _load,
        Stop: _stop,
        work_module.Finished: _finished,
    }
    state.ref = actors.start(target.target, state, handler_by_type)
    return state.ref


def _submit(state: State, message: Submit) -> None:
    work = message.work
    refused = _refused_now(state, work)
    if state.stopped:
        refused = codes.NO_OWNER
    if refused is not None:
        _refuse(state, work, refused)
        return
    request = work.request
    entry = rank_queue.Entry(
        work.number, request.rank, request.caller, work.deadline_at
    )
    state.waiting_by_number[work.number] = work
    _set_pace(state)
    dropped = rank_queue.push(state.queue, entry, time.monotonic())
    _refuse_dropped(state, dropped)
    _pump(state)


def _refused_now(state: State, work: work_module.Work) -> codes.Code | None:
    """Tell why work cannot be queued here, None where it can."""
    view = state.context.holder.view
    if time.monotonic() >= view.host_lease_until:
        return codes.NO_STANDING
    target = state.target.target
    if work_module.owned_assignment(view, work.slot, target) is None:
        return codes.NO_OWNER
    if not view.quarantined:
        return None
    mark = quarantine.fingerprint(work.request)
    return codes.QUARANTINED if mark in view.quarantined else None


def _pump_message(state: State, message: Pump) -> None:
    _drop_overtaken(state)
    _pump(state)


def _drop_overtaken(state: State) -> None:
    """Refuse work that became pointless while no slot was free."""
    now = time.monotonic()
    for work in list(state.waiting_by_number.values()):
        if work.deadline_at <= now:
            _refuse_waiting(state, work, codes.EXPIRED)
        elif _has_moved(state, work):
            _refuse_waiting(state, work, codes.NO_OWNER)


def _has_moved(state: State, work: work_module.Work) -> bool:
    """Tell whether the slot of waiting work belongs to another target."""
    record = state.context.holder.view.record
    if record is None:
        return False
    assignment = record.assignment_by_slot.get(work.slot)
    return assignment is None or assignment.target != state.target.target


def _refuse_waiting(
    state: State, work: work_module.Work, code: codes.Code
) -> None:
    rank_queue.remove(state.queue, work.number)
    del state.waiting_by_number[work.number]
    _refuse(state, work, code)


def _lost(state: State, message: Lost) -> None:
    """Give work back that would wait for a lost upstream.

    Sends to a frozen upstream end only at their deadlines. Repeatable work
    is answered before that, so that the entry host sends it to the next
    owner; other work waits, because its answer may still come.
    """
    for work in list(state.waiting_by_number.values()):
        _refuse_waiting(state, work, codes.NO_OWNER)
    for work in state.in_flight_by_number.values():
        if work.request.repeatable and not work.reply.done():
            work.reply.set_result(
                model.refusal(codes.OUTCOME_UNKNOWN, 'the upstream is down')
            )


def _pump(state: State) -> None:
    """Fill the free slots of the target from the queue."""
    while len(state.in_flight_by_number) < limits.current(state.limit):
        entry, dropped = rank_queue.pop(state.queue, time.monotonic())
        _refuse_dropped(state, dropped)
        if entry is None:
            return
        work = state.waiting_by_number.pop(entry.request_id)
        refused = _refused_now(state, work)
        if refused is not None:
            _refuse(state, work, refused)
            continue
        state.in_flight_by_number[work.number] = work
        state.executor.submit(_run, state, work)


def _run(state: State, work: work_module.Work) -> None:
    """Send work on a thread of the pool and report back."""
    try:
        finished = work_module.run(state.context, state.upstream, work)
    except Exception as error:
        log.exception('A send failed.')
        outcome = model.refusal(codes.OUTCOME_UNKNOWN, str(error))
        finished = work_module.Finished(work, outcome)
    state.ref.tell(finished)


def _finished(state: State, message: work_module.Finished) -> None:
    work = message.work
    if message.broken:
        state.on_suspect(_suspect(state, message))
    state.in_flight_by_number.pop(work.number, None)
    now = time.monotonic()
    if message.shed:
        limits.note_shed(state.limit, now)
    elif message.outcome.code.outcome == codes.SERVED:
        if message.latency_s:
            limits.note_done(state.limit, message.latency_s, now)
            _clear_suspicion(state, work)
    if not work.reply.done():
        work.reply.set_result(message.outcome)
    if state.stopped:
        _end_if_idle(state)
        return
    _set_pace(state)
    _pump(state)


def _clear_suspicion(state: State, work: work_module.Work) -> None:
    """Drop the crash counts of a request that an upstream has served."""
    suspected = state.context.holder.view.suspected
    if not suspected:
        return
    mark = quarantine.fingerprint(work.request)
    if mark in suspected:
        state.context.ledger_ref.tell(ledger_actor.NoteServed(mark))


def _suspect(state: State, message: work_module.Finished) -> CrashSuspect:
    marks = []
    for work in state.in_flight_by_number.values():
        marks.append(quarantine.fingerprint(work.request))
    return CrashSuspect(state.target.target, message.incarnation, tuple(marks))


def _refuse_dropped(
    state: State, dropped: tuple[rank_queue.Dropped, ...]
) -> None:
    for each in dropped:
        work = state.waiting_by_number.pop(each.entry.request_id)
        wait_ms = 0
        if each.code is codes.OVERLOADED:
            wait_ms = rank_queue.retry_after_ms(state.queue, each.entry.rank)
        _refuse(state, work, each.code, wait_ms)


def _refuse(
    state: State,
    work: work_module.Work,
    code: codes.Code,
    retry_after_ms: int = 0,
) -> None:
    """Refuse work that was not sent.

    A refusal says that the id did not run, so an id that this host knows
    from an earlier attempt is answered as a duplicate instead.
    """
    if not work.request.repeatable:
        ask = ledger_actor.RefusalCode(work.request.request_id, '', code)
        code = actors.ask(state.context.ledger_ref, ask)
    work.reply.set_result(model.refusal(code, '', retry_after_ms))


def _set_pace(state: State) -> None:
    rank_queue.set_pace(
        state.queue,
        limits.current(state.limit),
        limits.service_s(state.limit),
    )


def _set_target(state: State, message: SetTarget) -> None:
    old = state.target
    state.target = message.target
    pools = (message.target.slots, message.target.connections)
    if (old.slots, old.connections) != pools:
        # Work in flight ends on the pools that it began with.
        upstream_client.close_upstream(state.upstream)
        state.upstream = upstream_client.open_upstream(
            state.stack, message.target
        )
    limits.set_slots(state.limit, message.target.slots)
    rank_queue.set_floors(state.queue, message.floor_by_rank)


def _restarted(state: State, message: Restarted) -> None:
    limits.restarted(state.limit)
    _set_pace(state)


def _load(state: State, message: Load) -> LoadReport:
    waiting_by_rank = {
        rank: rank_queue.length(state.queue, rank) for rank in model.RANKS
    }
    return LoadReport(
        limits.current(state.limit),
        len(state.in_flight_by_number),
        waiting_by_rank,
    )


def _stop(state: State, message: Stop) -> None:
    """Refuse what waits; work in flight still answers its callers."""
    state.stopped = True
    for work in list(state.waiting_by_number.values()):
        _refuse_waiting(state, work, codes.NO_OWNER)
    _end_if_idle(state)


def _end_if_idle(state: State) -> None:
    """End the actor of a target that is gone once nothing is in flight."""
    if state.in_flight_by_number:
        return
    state.executor.shutdown(wait=False)
    upstream_client.close_upstream(state.upstream)
    state.ref.stop(block=False)
