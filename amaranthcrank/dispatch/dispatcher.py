"""Actor with the queue, concurrency limit and in-flight work of a target."""

from collections import abc
from concurrent import futures
import contextlib
import time
import typing

import pykka

from amaranthcrank.admission import concurrency_limit
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


class DispatchQueued(typing.NamedTuple):
    """Send as much queued work as the limit allows.

    The control actor sends this message after it has published its state.
    """


class SetTarget(typing.NamedTuple):
    """Apply the target and the guaranteed shares of a new ticket."""

    target: model.Target
    floor_by_rank: dict[str, float]


class UpstreamRestarted(typing.NamedTuple):
    """The upstream restarted and has a new incarnation."""


class UpstreamDown(typing.NamedTuple):
    """The upstream is considered down."""


class GetLoad(typing.NamedTuple):
    """Ask for the queue lengths, the limit and the work in flight."""


class Stop(typing.NamedTuple):
    """Refuse queued work and stop once nothing is in flight."""


class CrashSuspect(typing.NamedTuple):
    """A connection to the target broke while work was in flight.

    Attributes:
      target: The target.
      incarnation: The upstream's incarnation that may have crashed.
      fingerprints: The fingerprints of all work in flight on the target.
    """

    target: str
    incarnation: str
    fingerprints: tuple[str, ...]


class LoadReport(typing.NamedTuple):
    """Load of one target.

    Attributes:
      limit: The current concurrency limit.
      in_flight: How much work is in flight.
      waiting_by_rank: Queue lengths.
    """

    limit: int
    in_flight: int
    waiting_by_rank: dict[str, int]


class State:
    """State of the dispatcher of one target."""

    def __init__(
        self,
        target: model.Target,
        floor_by_rank: dict[str, float],
        context: work_module.Context,
        on_crash_suspect: abc.Callable[[CrashSuspect], None],
    ) -> None:
        self.target = target
        self.context = context
        self.on_crash_suspect = on_crash_suspect
        self.stack = contextlib.ExitStack()
        self.upstream = upstream_client.open_upstream(self.stack, target)
        self.executor = self.stack.enter_context(
            futures.ThreadPoolExecutor(
                # The executor cannot grow and a ticket may raise the slots, so
                # it has the maximum; threads start only when needed.
                model.MAX_TARGET_SLOTS,
                f'dispatch-{target.target}',
            )
        )
        self.limit = concurrency_limit.open_limit(target.slots)
        self.queue = rank_queue.open_queue(
            floor_by_rank,
            target.slots,
            concurrency_limit.service_s(self.limit),
        )
        self.waiting_by_number: dict[str, work_module.Work] = {}
        self.in_flight_by_number: dict[str, work_module.Work] = {}
        self.stopped = False
        self.ref: pykka.ActorRef | None = None


def start(
    target: model.Target,
    floor_by_rank: dict[str, float],
    context: work_module.Context,
    on_crash_suspect: abc.Callable[[CrashSuspect], None],
) -> pykka.ActorRef:
    """Start the dispatcher of a target.

    Args:
      target: The target.
      floor_by_rank: The guaranteed share of each rank.
      context: The host state and services used for sending.
      on_crash_suspect: Called with the work in flight when a connection
        broke.

    Returns:
      The reference to the actor.
    """
    state = State(target, floor_by_rank, context, on_crash_suspect)
    handler_by_type = {
        Submit: _submit,
        DispatchQueued: _on_dispatch_queued,
        SetTarget: _set_target,
        UpstreamRestarted: _on_upstream_restarted,
        UpstreamDown: _on_upstream_down,
        GetLoad: _get_load,
        Stop: _stop,
        work_module.SendResult: _on_send_result,
    }
    state.ref = actors.start(target.target, state, handler_by_type)
    return state.ref


def _submit(state: State, message: Submit) -> None:
    work = message.work
    refusal_code = _refusal_code(state, work)
    if state.stopped:
        refusal_code = codes.NO_OWNER
    if refusal_code is not None:
        _refuse(state, work, refusal_code)
        return
    request = work.request
    entry = rank_queue.Entry(
        work.number, request.rank, request.caller, work.deadline_at
    )
    state.waiting_by_number[work.number] = work
    _update_service_rate(state)
    dropped = rank_queue.push(state.queue, entry, time.monotonic())
    _refuse_dropped(state, dropped)
    _dispatch_queued(state)


def _refusal_code(state: State, work: work_module.Work) -> codes.Code | None:
    """Return the refusal code of work that must not be sent, else None."""
    view = state.context.view_holder.view
    if time.monotonic() >= view.host_lease_until:
        return codes.NO_STANDING
    target = state.target.target
    if work_module.granted_assignment(view, work.slot, target) is None:
        return codes.NO_OWNER
    if not view.quarantined:
        return None
    fingerprint = quarantine.request_fingerprint(work.request)
    return codes.QUARANTINED if fingerprint in view.quarantined else None


def _on_dispatch_queued(state: State, message: DispatchQueued) -> None:
    _refuse_stale(state)
    _dispatch_queued(state)


def _refuse_stale(state: State) -> None:
    """Refuse queued work that has expired or whose slot has moved."""
    now = time.monotonic()
    for work in list(state.waiting_by_number.values()):
        if work.deadline_at <= now:
            _refuse_waiting(state, work, codes.EXPIRED)
        elif _slot_has_moved(state, work):
            _refuse_waiting(state, work, codes.NO_OWNER)


def _slot_has_moved(state: State, work: work_module.Work) -> bool:
    """Return whether the slot of queued work has another target."""
    record = state.context.view_holder.view.record
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


def _on_upstream_down(state: State, message: UpstreamDown) -> None:
    """Refuse queued work and fail repeatable work in flight.

    Sends to a frozen upstream end only at their deadlines. Repeatable work
    gets its outcome before that, so that the entry host can retry it at the
    next owner. Other work in flight stays, because its response may still
    arrive.
    """
    for work in list(state.waiting_by_number.values()):
        _refuse_waiting(state, work, codes.NO_OWNER)
    for work in state.in_flight_by_number.values():
        if work.request.repeatable and not work.reply.done():
            work.reply.set_result(
                model.refusal(codes.OUTCOME_UNKNOWN, 'the upstream is down')
            )


def _dispatch_queued(state: State) -> None:
    """Send queued work until the concurrency limit is reached."""
    while len(state.in_flight_by_number) < concurrency_limit.current(
        state.limit
    ):
        entry, dropped = rank_queue.pop(state.queue, time.monotonic())
        _refuse_dropped(state, dropped)
        if entry is None:
            return
        work = state.waiting_by_number.pop(entry.request_id)
        refusal_code = _refusal_code(state, work)
        if refusal_code is not None:
            _refuse(state, work, refusal_code)
            continue
        state.in_flight_by_number[work.number] = work
        state.executor.submit(_send_in_worker, state, work)


def _send_in_worker(state: State, work: work_module.Work) -> None:
    """Send work on an executor thread and pass the result to the actor."""
    try:
        result = work_module.run(state.context, state.upstream, work)
    except Exception as error:
        log.exception('Sending a request to the upstream failed.')
        outcome = model.refusal(codes.OUTCOME_UNKNOWN, str(error))
        result = work_module.SendResult(work, outcome)
    state.ref.tell(result)


def _on_send_result(state: State, message: work_module.SendResult) -> None:
    work = message.work
    if message.connection_broken:
        state.on_crash_suspect(_crash_suspect(state, message))
    state.in_flight_by_number.pop(work.number, None)
    now = time.monotonic()
    if message.shed:
        concurrency_limit.record_shed(state.limit, now)
    elif message.outcome.code.outcome == codes.SERVED:
        if message.latency_s:
            concurrency_limit.record_response(
                state.limit, message.latency_s, now
            )
            _clear_crash_counts(state, work)
    if not work.reply.done():
        work.reply.set_result(message.outcome)
    if state.stopped:
        _stop_if_idle(state)
        return
    _update_service_rate(state)
    _dispatch_queued(state)


def _clear_crash_counts(state: State, work: work_module.Work) -> None:
    """Clear the crash counts of a request that an upstream has served."""
    suspected = state.context.view_holder.view.suspected
    if not suspected:
        return
    fingerprint = quarantine.request_fingerprint(work.request)
    if fingerprint in suspected:
        state.context.ledger_ref.tell(ledger_actor.RecordServed(fingerprint))


def _crash_suspect(
    state: State, message: work_module.SendResult
) -> CrashSuspect:
    fingerprints = []
    for work in state.in_flight_by_number.values():
        fingerprints.append(quarantine.request_fingerprint(work.request))
    return CrashSuspect(
        state.target.target, message.incarnation, tuple(fingerprints)
    )


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

    A refusal states that the request id did not run. If this host knows the
    id from an earlier attempt, the outcome is DUPLICATE instead.
    """
    if not work.request.repeatable:
        get_code = ledger_actor.GetRefusalCode(
            work.request.request_id, '', code
        )
        code = actors.ask(state.context.ledger_ref, get_code)
    work.reply.set_result(model.refusal(code, '', retry_after_ms))


def _update_service_rate(state: State) -> None:
    rank_queue.set_service_rate(
        state.queue,
        concurrency_limit.current(state.limit),
        concurrency_limit.service_s(state.limit),
    )


def _set_target(state: State, message: SetTarget) -> None:
    old_target = state.target
    state.target = message.target
    pool_sizes = (message.target.slots, message.target.connections)
    if (old_target.slots, old_target.connections) != pool_sizes:
        # Work in flight finishes on the pools on which it was sent.
        upstream_client.close_upstream(state.upstream)
        state.upstream = upstream_client.open_upstream(
            state.stack, message.target
        )
    concurrency_limit.set_slots(state.limit, message.target.slots)
    rank_queue.set_floors(state.queue, message.floor_by_rank)


def _on_upstream_restarted(state: State, message: UpstreamRestarted) -> None:
    concurrency_limit.reset(state.limit)
    _update_service_rate(state)


def _get_load(state: State, message: GetLoad) -> LoadReport:
    waiting_by_rank = {
        rank: rank_queue.length(state.queue, rank) for rank in model.RANKS
    }
    return LoadReport(
        concurrency_limit.current(state.limit),
        len(state.in_flight_by_number),
        waiting_by_rank,
    )


def _stop(state: State, message: Stop) -> None:
    """Refuse queued work; work in flight still gets its outcome."""
    state.stopped = True
    for work in list(state.waiting_by_number.values()):
        _refuse_waiting(state, work, codes.NO_OWNER)
    _stop_if_idle(state)


def _stop_if_idle(state: State) -> None:
    """Stop the actor of a removed target once nothing is in flight."""
    if state.in_flight_by_number:
        return
    state.executor.shutdown(wait=False)
    upstream_client.close_upstream(state.upstream)
    state.ref.stop(block=False)
