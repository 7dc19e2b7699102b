"""The path of a request through one host.

The entry host admits and routes a request, sends it to the dispatching host
and retries where that is safe. The dispatching host queues it for the target.
"""

from concurrent import futures
import itertools
import random
import time
import typing

import pykka

from amaranthcrank.admission import gate
from amaranthcrank.admission import intake_limit
from amaranthcrank.core import actors
from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import metrics
from amaranthcrank.core import model
from amaranthcrank.core import tracing
from amaranthcrank.daemon import forwards as forwards_module
from amaranthcrank.dispatch import dispatcher
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import retries
from amaranthcrank.dispatch import work as work_module
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module
from amaranthcrank.publish import view as view_module
from amaranthcrank.routing import route

# Transient refusals: the key has no owner yet, or hosts disagree for a moment.
# Nothing was sent to the upstream, so that any request may be retried.
TRANSIENT_CODES = frozenset(
    (
        codes.NO_OWNER,
        codes.NO_STANDING,
        codes.CELL_UNREACHABLE,
        codes.NO_INTENT,
        codes.UPSTREAM_UNREACHABLE,
        codes.UPSTREAM_REFUSED,
    )
)
TRANSIENT_WAIT_MIN_S = 0.02
TRANSIENT_WAIT_MAX_S = 0.08
# Time for the reply of the dispatching host, sent at the deadline, to arrive.
ANSWER_GRACE_S = 0.25
# A host that gets a request after this many hops dispatches it itself: any
# host with a host lease may, and two hosts that disagree must not forward it
# back and forth.
MAX_HOPS = 2
# About the time that an upstream takes for a few requests.
INTAKE_RETRY_AFTER_MS = 200


class Node(typing.NamedTuple):
    """Dependencies of the request path of a host.

    Attributes:
      cell: The own cell.
      context: The host, its links and its ledger.
      view_holder: Holds the view that the control actor publishes.
      gate_ref: The actor that admits requests to other cells.
      dispatcher_by_target: Dispatchers of the own cell's targets; the control
        actor changes it, readers look up one name at a time.
      budget: The retry budget of the entry host.
      work_counter: Numbers the queued requests.
      forward_tracker: The requests that wait for other hosts.
      intake: Limits the request threads that each rank may hold.
    """

    cell: str
    context: work_module.Context
    view_holder: view_module.ViewHolder
    gate_ref: pykka.ActorRef
    dispatcher_by_target: dict[str, pykka.ActorRef]
    budget: retries.RetryBudget
    work_counter: 'itertools.count[int]'
    forward_tracker: forwards_module.ForwardTracker
    intake: intake_limit.IntakeLimit


def handle(node: Node, request: model.Request) -> model.Outcome:
    """Serve a caller's request; blocks until its deadline at most.

    Args:
      node: This host.
      request: The checked request.

    Returns:
      The outcome.
    """
    started = time.monotonic()
    deadline_at = started + request.deadline_ms / 1000
    retries.record_request(node.budget)
    with tracing.span(
        'intake', request.traceparent, service=request.service
    ) as traceparent:
        request = request._replace(traceparent=traceparent)
        outcome = _admit(node, request, deadline_at)
    if not request.repeatable and outcome.code.outcome == codes.NOT_RUN:
        outcome = _confirm_refusal(node, request, outcome)
    seconds = time.monotonic() - started
    metrics.record_request(
        request.service, request.rank, outcome.code.number, seconds
    )
    return outcome


def on_request_frame(node: Node, host: str, frame: frames.Frame) -> None:
    """Handle a request that another host forwarded.

    Args:
      node: This host.
      host: The host that sent the frame.
      frame: The frame; the reply is sent on the same link.
    """
    forwarded, problems = frames.parse_request_frame(frame)
    if forwarded is None:
        refused = model.refusal(problems[0].code, problems[0].detail)
        _reply(node, host, frame['id'], refused)
        return
    deadline_at = time.monotonic() + forwarded.request.deadline_ms / 1000
    pending = _send(node, forwarded.request, deadline_at, forwarded.hops)

    def send_reply(done: futures.Future) -> None:
        _reply(node, host, frame['id'], done.result())

    pending.add_done_callback(send_reply)


def _reply(
    node: Node, host: str, frame_id: int, outcome: model.Outcome
) -> None:
    reply = frames.answer_frame(outcome)
    links_module.reply(node.context.links, host, frame_id, reply)


def _admit(
    node: Node, request: model.Request, deadline_at: float
) -> model.Outcome:
    """Serve the request if its rank may hold another request thread."""
    if not intake_limit.acquire(node.intake, request.rank):
        return model.refusal(codes.OVERLOADED, 'intake', INTAKE_RETRY_AFTER_MS)
    try:
        return _try_until_deadline(node, request, deadline_at)
    finally:
        intake_limit.release(node.intake, request.rank)


def _try_until_deadline(
    node: Node, request: model.Request, deadline_at: float
) -> model.Outcome:
    failures = 0
    unknown = None
    while True:
        outcome = _try_once(node, request, deadline_at)
        if outcome.code.outcome == codes.SERVED:
            return outcome
        if outcome.code.outcome == codes.UNKNOWN:
            unknown = outcome
        now = time.monotonic()
        if _is_transient(node, outcome):
            at = _transient_attempt_at(outcome, now, deadline_at)
        else:
            # Transient refusals are not counted as failures: while a host or
            # upstream is lost, there are more of them than the limit.
            failures += 1
            at = _next_attempt_at(
                node, request, outcome, failures, deadline_at, now
            )
        if at is None:
            # A refusal of a later attempt says nothing about an earlier one
            # that may have run.
            return unknown or outcome
        time.sleep(max(0.0, at - now))


def _is_transient(node: Node, outcome: model.Outcome) -> bool:
    """Tell whether a refusal is transient, so that retrying helps."""
    if outcome.code in TRANSIENT_CODES:
        return outcome.detail != 'shed'
    # Another host that has restarted may be chosen before it is ready.
    if outcome.code is codes.NOT_READY:
        return node.view_holder.view.ticket > 0
    return False


def _transient_attempt_at(
    outcome: model.Outcome, now: float, deadline_at: float
) -> float | None:
    wait_s = random.uniform(TRANSIENT_WAIT_MIN_S, TRANSIENT_WAIT_MAX_S)
    at = now + max(wait_s, outcome.retry_after_ms / 1000)
    return at if at < deadline_at else None


def _next_attempt_at(
    node: Node,
    request: model.Request,
    outcome: model.Outcome,
    failures: int,
    deadline_at: float,
    now: float,
) -> float | None:
    """Return when to retry after a failure, None for no further attempt."""
    kind = _failure_kind(outcome)
    if kind is None:
        return None
    retry_after_s = outcome.retry_after_ms / 1000
    decision = retries.next_attempt(
        request.repeatable,
        retries.Failure(kind, outcome.code, retry_after_s),
        now,
        deadline_at,
        failures,
        node.budget,
        0.0,
        random.random,
    )
    return decision.at if decision.retry else None


def _failure_kind(outcome: model.Outcome) -> str | None:
    if outcome.code.outcome == codes.UNKNOWN:
        return retries.MAYBE_RAN
    if outcome.code is codes.UPSTREAM_REFUSED:
        return retries.NOT_RUN
    return None


def _try_once(
    node: Node, request: model.Request, deadline_at: float
) -> model.Outcome:
    pending = _send(node, request, deadline_at, 0)
    left_s = deadline_at + ANSWER_GRACE_S - time.monotonic()
    try:
        return pending.result(max(0.0, left_s))
    except futures.TimeoutError:
        return model.refusal(codes.ANSWER_LOST)


def _send(
    node: Node, request: model.Request, deadline_at: float, hops: int
) -> 'futures.Future[model.Outcome]':
    """Send a request one hop closer to its target."""
    view = node.view_holder.view
    if view.ticket == 0 or view.record is None:
        return _refused(codes.NOT_READY)
    home = route.home_of(view.table_by_service, request.service, request.key)
    if home is None:
        return _refused(codes.NO_OWNER)
    if home.cell != node.cell:
        if hops:
            return _refused(codes.NO_OWNER, 'the sender has another ticket')
        return _send_to_cell(node, view, request, home, deadline_at)
    slot = route.slot_in_record(view.record, home, request.key)
    assignment = view.record.assignment_by_slot.get(slot)
    if assignment is None:
        return _refused(codes.NO_OWNER)
    chosen = hashing.rendezvous(assignment.target, view.live_hosts, 1)
    here = node.context.host
    if chosen in ((), (here,)) or hops >= MAX_HOPS:
        return _queue(node, request, home, slot, assignment, deadline_at)
    return _forward(node, chosen[0], request, home.cell, deadline_at, hops)


def _send_to_cell(
    node: Node,
    view: view_module.View,
    request: model.Request,
    home: model.Route,
    deadline_at: float,
) -> 'futures.Future[model.Outcome]':
    linked = links_module.connected(node.context.links)
    candidates = []
    for host in view.hosts_by_cell.get(home.cell, ()):
        if host in linked and host not in node.forward_tracker.unresponsive:
            candidates.append(host)
    name = f'{home.slot.service}/{home.slot.slot}'
    chosen = hashing.rendezvous(name, candidates, 1)
    if not chosen:
        return _refused(codes.CELL_UNREACHABLE)
    crosses = route.region_of(view.state, home.cell) != route.region_of(
        view.state, node.cell
    )
    check = gate.Check(
        request.service, home.cell, request.rank, len(request.body), crosses
    )
    admission = actors.ask(node.gate_ref, check)
    if admission.code is not None:
        return _refused(admission.code, '', admission.retry_after_ms)
    pending = _forward(node, chosen[0], request, home.cell, deadline_at, 0)
    pending.add_done_callback(
        lambda done: _report_admission_outcome(node, check, done.result())
    )
    return pending


def _report_admission_outcome(
    node: Node, check: gate.Check, outcome: model.Outcome
) -> None:
    node.gate_ref.tell(
        gate.RecordOutcome(
            check.service,
            check.cell,
            check.rank,
            outcome.code is codes.OVERLOADED,
            outcome.retry_after_ms,
        )
    )


def _forward(
    node: Node,
    host: str,
    request: model.Request,
    cell: str,
    deadline_at: float,
    hops: int,
) -> 'futures.Future[model.Outcome]':
    left_ms = int((deadline_at - time.monotonic()) * 1000)
    if left_ms <= 0:
        return _refused(codes.EXPIRED)
    with tracing.span(
        'forward', request.traceparent, host=host, cell=cell
    ) as traceparent:
        request = request._replace(
            deadline_ms=left_ms, traceparent=traceparent
        )
        frame = frames.request_frame(
            frames.Forwarded(request, hops + 1, node.view_holder.view.ticket)
        )
        call = links_module.call(node.context.links, host, frame)
    pending: futures.Future[model.Outcome] = futures.Future()
    forwards_module.track(
        node.forward_tracker,
        forwards_module.ForwardedRequest(
            host, request.repeatable, time.monotonic(), pending
        ),
    )
    call.add_done_callback(
        lambda done: forwards_module.set_outcome(
            pending, _outcome_of_call(done)
        )
    )
    return pending


def _outcome_of_call(done: futures.Future) -> model.Outcome:
    """Return the outcome of a call to a peer."""
    error = done.exception()
    if isinstance(error, links_module.LinkError):
        code = codes.ANSWER_LOST if error.sent else codes.CELL_UNREACHABLE
        return model.refusal(code, error.problem.detail)
    if error is not None:
        return model.refusal(codes.ANSWER_LOST, str(error))
    outcome, problems = frames.parse_answer_frame(done.result())
    if outcome is None:
        return model.refusal(codes.ANSWER_LOST, problems[0].detail)
    return outcome


def _queue(
    node: Node,
    request: model.Request,
    home: model.Route,
    slot: model.SlotId,
    assignment: model.Assignment,
    deadline_at: float,
) -> 'futures.Future[model.Outcome]':
    """Queue a request at this host's dispatcher for the owner."""
    ref = node.dispatcher_by_target.get(assignment.target)
    if ref is None:
        return _refused(codes.NO_OWNER)
    pending: futures.Future[model.Outcome] = futures.Future()
    work = work_module.Work(
        str(next(node.work_counter)),
        request,
        home.slot,
        slot,
        deadline_at,
        pending,
    )
    try:
        ref.tell(dispatcher.Submit(work))
    except pykka.ActorDeadError:
        return _refused(codes.NO_OWNER)
    return pending


def _confirm_refusal(
    node: Node, request: model.Request, outcome: model.Outcome
) -> model.Outcome:
    """Replace a refusal if an earlier attempt of the id may have run."""
    query = ledger_actor.GetRefusalCode(request.request_id, '', outcome.code)
    code = actors.ask(node.context.ledger_ref, query)
    if code is outcome.code:
        return outcome
    return model.refusal(code)


def _refused(
    code: codes.Code, detail: str = '', retry_after_ms: int = 0
) -> 'futures.Future[model.Outcome]':
    pending: futures.Future[model.Outcome] = futures.Future()
    pending.set_result(model.refusal(code, detail, retry_after_ms))
    return pending
