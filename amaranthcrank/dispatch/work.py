"""Work at a dispatching host: recording intents, sending, and the outcome."""

from collections import abc
from concurrent import futures
import hashlib
import time
import typing

import pykka

from amaranthcrank.core import actors
from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.core import tracing
from amaranthcrank.dispatch import ledger
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import upstream_client
from amaranthcrank.peers import frames
from amaranthcrank.peers import links as links_module
from amaranthcrank.publish import view as view_module

# Between failure domains a frame takes 0.5 ms. If a holder does not reply
# within this time, the intent is sent to the third holder instead.
INTENT_TIMEOUT_S = 0.1


class Work(typing.NamedTuple):
    """One request at its dispatching host.

    Attributes:
      number: Identifies the work within the process; request ids are not
        unique.
      request: The request.
      hash_slot: The slot that its key hashes to.
      slot: The slot under which it is served; differs for a pinned key.
      deadline_at: Monotonic seconds.
      reply: The future that receives the outcome.
    """

    number: str
    request: model.Request
    hash_slot: model.SlotId
    slot: model.SlotId
    deadline_at: float
    reply: futures.Future


class SendResult(typing.NamedTuple):
    """The result of one send.

    Attributes:
      work: The work.
      outcome: Its outcome.
      latency_s: Time from the send to the response, 0 if nothing was sent.
      shed: Whether the upstream shed the work or its outcome is unknown, both
        of which lower the concurrency limit.
      connection_broken: Whether the connection broke, as in a crash.
      incarnation: The upstream's incarnation to which the work was sent.
    """

    work: Work
    outcome: model.Outcome
    latency_s: float = 0.0
    shed: bool = False
    connection_broken: bool = False
    incarnation: str = ''


class Context(typing.NamedTuple):
    """The host state and services used for sending.

    Attributes:
      host: The id of this host.
      incarnation: The incarnation of this process.
      view_holder: Holds the current view of the control state.
      links: The links to the peers.
      ledger_ref: The ledger actor.
      next_attempt_number: Returns a new number for each attempt.
    """

    host: str
    incarnation: str
    view_holder: view_module.ViewHolder
    links: links_module.Links
    ledger_ref: pykka.ActorRef
    next_attempt_number: abc.Callable[[], int]


def run(
    context: Context, upstream: upstream_client.Upstream, work: Work
) -> SendResult:
    """Send work and wait for its outcome.

    Args:
      context: The host state and services used for sending.
      upstream: The owner of the slot.
      work: The work.

    Returns:
      The result.
    """
    request = work.request
    with tracing.span(
        'dispatch', request.traceparent, target=upstream.target.target
    ) as traceparent:
        work = work._replace(request=request._replace(traceparent=traceparent))
        if request.repeatable:
            return _send_to_upstream(context, upstream, work)
        return _send_at_most_once(context, upstream, work)


def request_digest(request: model.Request) -> str:
    """Return a digest of a request, to recognise a repetition of it."""
    digest = hashlib.blake2b(digest_size=16)
    fields = (request.caller, request.service, request.key, request.method)
    for field in (*fields, request.query):
        digest.update(field.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def on_intent_frame(context: Context, host: str, frame: frames.Frame) -> None:
    """Record or release an intent for another host.

    Args:
      context: The host state and services used for sending.
      host: The dispatching host.
      frame: The frame.
    """
    if frame['release']:
        release = ledger_actor.ReleaseIntent(
            frame['request_id'], frame['token']
        )
        context.ledger_ref.tell(release)
        return
    intent = ledger_actor.RecordIntent(
        frame['request_id'],
        frame['issued_at_ms'],
        model.SlotId(frame['service'], frame['slot']),
        frame['token'],
        frame['version'],
    )
    reply = {
        'type': frames.INTENT_REPLY,
        'code': _ask_ledger(context, intent).number,
    }
    links_module.reply(context.links, host, frame['id'], reply)


def granted_assignment(
    view: view_module.View, slot: model.SlotId, target: str
) -> model.Assignment | None:
    """Return the assignment of a slot if it is granted to a target.

    Args:
      view: The view of the control state.
      slot: The slot.
      target: The target that should own it.

    Returns:
      The assignment, or None if work of the slot must not be sent to the
      target.
    """
    granted = view.granted_by_target.get(target)
    if granted is None or slot not in granted.slots:
        return None
    assignment = view.record.assignment_by_slot.get(slot)
    if assignment is None or assignment.target != target:
        return None
    return assignment


def _send_at_most_once(
    context: Context, upstream: upstream_client.Upstream, work: Work
) -> SendResult:
    request = work.request
    digest = request_digest(request)
    stored = _ask_ledger(
        context, ledger_actor.GetStoredResponse(request.request_id, digest)
    )
    if stored is not None:
        return SendResult(work, stored)
    token = ledger.make_token(
        context.host, context.incarnation, context.next_attempt_number()
    )
    decision, asked_hosts = _acquire_intents(context, work, token)
    if decision.action != ledger.SEND:
        if ledger.must_release(decision, False):
            _release_intents(context, request.request_id, token, asked_hosts)
        return SendResult(work, model.refusal(decision.code))
    record_sent = ledger_actor.RecordSent(
        request.request_id, request.issued_at_ms, token
    )
    _ask_ledger(context, record_sent)
    result = _send_to_upstream(context, upstream, work)
    outcome = result.outcome
    if outcome.code.outcome == codes.SERVED:
        context.ledger_ref.tell(
            ledger_actor.StoreResponse(request.request_id, digest, outcome)
        )
        return result
    not_run = outcome.code.outcome == codes.NOT_RUN
    if ledger.must_release(decision, not_run):
        _release_intents(context, request.request_id, token, asked_hosts)
    return result


def _acquire_intents(
    context: Context, work: Work, token: str
) -> tuple[ledger.Decision, tuple[str, ...]]:
    request = work.request
    record = context.view_holder.view.record
    holders, needed = ledger.intent_holders(record.hosts, work.hash_slot)
    intent = ledger_actor.RecordIntent(
        request.request_id,
        request.issued_at_ms,
        work.hash_slot,
        token,
        record.version,
    )
    first_hosts = _in_preference_order(context, holders)[:needed]
    spare_hosts = [each for each in holders if each not in first_hosts]
    asked_hosts = list(first_hosts)
    replies = _collect_replies(context, intent, first_hosts)
    while spare_hosts:
        decision = ledger.decide_intent(replies, needed, len(spare_hosts))
        if decision.action != ledger.WAIT:
            break
        host = spare_hosts.pop(0)
        asked_hosts.append(host)
        replies.update(_collect_replies(context, intent, (host,)))
    decision = ledger.decide_intent(replies, needed, 0)
    if decision.action == ledger.SEND and not _is_quorum_valid(
        context, record
    ):
        decision = ledger.Decision(ledger.REFUSE, codes.NO_STANDING)
    return decision, tuple(asked_hosts)


def _is_quorum_valid(context: Context, record: model.CellRecord) -> bool:
    """Return whether a quorum of a record's holders is still valid.

    While the replies arrived, the list of hosts may have changed or the
    host lease may have ended. A quorum of the new list need not intersect this
    one.
    """
    view = context.view_holder.view
    if time.monotonic() >= view.host_lease_until:
        return False
    return view.record.hosts_version == record.hosts_version


def _in_preference_order(
    context: Context, holders: tuple[str, ...]
) -> tuple[str, ...]:
    """Order holders: this host, then live hosts, then others."""
    live = context.view_holder.view.live_hosts

    def preference(host: str) -> int:
        if host == context.host:
            return 0
        return 1 if host in live else 2

    return tuple(sorted(holders, key=preference))


def _collect_replies(
    context: Context,
    intent: ledger_actor.RecordIntent,
    hosts: tuple[str, ...],
) -> dict[str, codes.Code]:
    future_by_host = {}
    for host in hosts:
        if host == context.host:
            continue
        future_by_host[host] = links_module.call(
            context.links, host, _intent_frame(intent, False)
        )
    reply_by_host = {}
    if context.host in hosts:
        reply_by_host[context.host] = _ask_ledger(context, intent)
    timeout_at = time.monotonic() + INTENT_TIMEOUT_S
    for host, future in future_by_host.items():
        try:
            frame = future.result(max(0.0, timeout_at - time.monotonic()))
        except (futures.TimeoutError, links_module.LinkError):
            continue
        code = codes.CODE_BY_NUMBER.get(frame.get('code'))
        if code is not None:
            reply_by_host[host] = code
    return reply_by_host


def _intent_frame(
    intent: ledger_actor.RecordIntent, release: bool
) -> frames.Frame:
    return {
        'type': frames.INTENT,
        'request_id': intent.request_id,
        'issued_at_ms': intent.issued_at_ms,
        'service': intent.slot.service,
        'slot': intent.slot.slot,
        'token': intent.token,
        'version': intent.version,
        'release': release,
    }


def _release_intents(
    context: Context, request_id: str, token: str, hosts: tuple[str, ...]
) -> None:
    release = ledger_actor.ReleaseIntent(request_id, token)
    # The entry of this host is removed first, so that a repetition that
    # arrives after the refusal is not rejected as a duplicate here.
    _ask_ledger(context, release)
    no_slot = model.SlotId('', 0)
    intent = ledger_actor.RecordIntent(request_id, 0, no_slot, token, 0)
    for host in hosts:
        if host == context.host:
            continue
        links_module.send(context.links, host, _intent_frame(intent, True))


def _send_to_upstream(
    context: Context, upstream: upstream_client.Upstream, work: Work
) -> SendResult:
    view = context.view_holder.view
    target = upstream.target.target
    now = time.monotonic()
    if now >= work.deadline_at:
        return SendResult(work, model.refusal(codes.EXPIRED))
    if now >= view.host_lease_until:
        return SendResult(work, model.refusal(codes.NO_STANDING))
    assignment = granted_assignment(view, work.slot, target)
    if assignment is None:
        return SendResult(work, model.refusal(codes.NO_OWNER))
    incarnation = view.granted_by_target[target].incarnation
    response = upstream_client.send_work(
        upstream,
        work.request,
        assignment.fence,
        work.slot.slot,
        incarnation,
        work.deadline_at - now,
        work.request.traceparent,
    )
    latency_s = time.monotonic() - now
    if isinstance(response, upstream_client.UpstreamResponse):
        outcome = model.Outcome(
            codes.OK, response.status, response.headers, response.body, 0, ''
        )
        return SendResult(work, outcome, latency_s)
    outcome = model.refusal(
        response.code, response.detail, response.retry_after_ms
    )
    if (
        not response.refusal
        and response.may_have_run
        and not response.connection_broken
    ):
        upstream_client.post_cancel(upstream, work.request.request_id)
    shed = response.refusal == 'shed' or response.code is codes.OUTCOME_UNKNOWN
    return SendResult(
        work, outcome, latency_s, shed, response.connection_broken, incarnation
    )


def _ask_ledger(context: Context, message: typing.Any) -> typing.Any:
    return actors.ask(context.ledger_ref, message)
