"""Ledger of intents and the rules of at-most-once execution.

An intent records that one dispatching host is about to send one request that
must not run twice. Rendezvous hashing gives three holders for each slot, and
at least two of them keep the intent in memory. Any two such pairs have a host
in common, so that two attempts for one id cannot both get a quorum.

The outcome `not_run` guarantees for a repeated id that this attempt has run
nothing and never will, and the same for every earlier attempt with that
outcome. It says nothing about an earlier attempt whose outcome was `unknown`
or that got no outcome. If a host that took part knows the id from another
attempt, the outcome is `unknown` instead.
"""

import collections
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import model

AHEAD_MARGIN_MS = model.ID_AHEAD_MARGIN_MS
# Upper bound on the difference between any two host clocks.
CLOCK_SKEW_MS = 500
# AHEAD_MARGIN_MS alone is too small: a host whose clock is 250 ms fast accepts
# an id stamped 1250 ms ahead of true time. A host whose clock is 250 ms slow
# and that starts just after that would consider the id issued since its start.
START_MARGIN_MS = AHEAD_MARGIN_MS + CLOCK_SKEW_MS
ID_WINDOW_MS = 60_000
# How long after the adoption of a record version hosts at the old version may
# still send.
OLD_VERSION_GRACE_MS = round(
    1_000 * (model.HOST_LEASE_S + model.CLOCK_DRIFT_MARGIN_S)
)
HOLDER_COUNT = 3
QUORUM_SIZE = 2

MAX_RESPONSES = 1_024
MAX_RESPONSE_BYTES = 4_000_000
# Python's overhead of one stored response besides its bytes, rounded up.
RESPONSE_OVERHEAD_BYTES = 512
# Released tokens are remembered to reject intents that arrive late or
# repeatedly.
MAX_RELEASED_TOKENS = 1_024

SEND = 'send'
REFUSE = 'refuse'
RESPOND_UNKNOWN = 'unknown'
WAIT = 'wait'


class Ledger:
    """Intents and responses that one host remembers.

    An id issued before the start of its slot is rejected, because an intent
    that this host does not know may have been accepted for it.

    Attributes:
      start_ms: When the process started, by its wall clock.
      start_ms_by_slot: Later starts, of slots whose holders changed.
      overlap_by_slot: How many holders must accept to intersect every quorum
        accepted since the start of the slot; missing if the holders never
        changed.
      unadopted_slots: Slots whose start is not final because the record
        version is not known to be adopted.
      token_by_id: The token of the attempt that holds each id.
      ids_by_second: The ids by the second in which they were issued, for
        expiry.
      released_tokens: The last released tokens, oldest first.
      response_by_id: Stored responses, oldest first.
      response_bytes: The total size of the stored responses.
    """

    __slots__ = (
        'ids_by_second',
        'overlap_by_slot',
        'released_tokens',
        'response_by_id',
        'response_bytes',
        'start_ms',
        'start_ms_by_slot',
        'token_by_id',
        'unadopted_slots',
    )

    def __init__(self, start_ms: int) -> None:
        """Initialise an empty ledger."""
        self.start_ms = start_ms
        self.start_ms_by_slot: dict[model.SlotId, int] = {}
        self.overlap_by_slot: dict[model.SlotId, int] = {}
        self.unadopted_slots: set[model.SlotId] = set()
        self.token_by_id: dict[str, str] = {}
        self.ids_by_second: dict[int, list[str]] = {}
        self.released_tokens: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.response_by_id: collections.OrderedDict[str, _StoredResponse] = (
            collections.OrderedDict()
        )
        self.response_bytes = 0


class _StoredResponse(typing.NamedTuple):
    digest: str
    outcome: model.Outcome
    size: int


class Decision(typing.NamedTuple):
    """What a dispatching host does after the replies of the holders.

    Attributes:
      action: SEND, REFUSE, RESPOND_UNKNOWN or WAIT.
      code: The code for the caller; codes.OK for SEND and WAIT.
    """

    action: str
    code: codes.Code


class Size(typing.NamedTuple):
    """Numbers of entries in a ledger and the size of its responses."""

    intents: int
    responses: int
    response_bytes: int


def open_ledger(now_ms: int) -> Ledger:
    """Create the ledger of a process that starts now.

    The record that a restarted host reads may not be adopted yet, and the host
    no longer knows the previous host lists. The host therefore calls
    `update_holders` without old hosts and with adopted=False for each of its
    slots, unless it knows from a peer that the version is in effect.
    """
    return Ledger(now_ms)


def make_token(host: str, incarnation: str, number: int) -> str:
    """Return the unique token of one attempt.

    The incarnation is included because a holder accepts a known token again:
    a restarted host must not reuse one.
    """
    return f'{host}/{incarnation}/{number}'


def intent_holders(
    hosts: tuple[str, ...], slot: model.SlotId
) -> tuple[tuple[str, ...], int]:
    """Return the hosts that hold a slot's intents and the quorum size.

    Args:
      hosts: The entry hosts of the cell record.
      slot: The slot that the key hashes to, also for a pinned key, so that
        pins do not change the holders.

    Returns:
      Up to three hosts, highest weight first, and how many must accept.
    """
    holders = hashing.rendezvous(
        f'{slot.service}/{slot.slot}', hosts, HOLDER_COUNT
    )
    return holders, _quorum_size(len(holders))


def update_holders(
    ledger: Ledger,
    slot: model.SlotId,
    old_hosts: tuple[str, ...],
    new_hosts: tuple[str, ...],
    self_host: str,
    now_ms: int,
    adopted: bool = True,
) -> None:
    """Move the ledger's start for a slot if a change of holders requires it.

    The start moves if the host is a new holder, or if the new quorum need not
    intersect every quorum accepted since the start. Successive changes are
    considered together: from three holders to two and then to one, each step
    alone keeps an intersection, but both together do not.

    Call it with adopted=False when the host applies the record (unless it is
    already adopted), and again with the same lists and adopted=True once a
    blocking set has promised the version. In between, unknown ids of a slot
    whose start moves get BEFORE_LEDGER.

    Args:
      ledger: The host's ledger.
      slot: The slot.
      old_hosts: The hosts of the previous record. Empty for a slot that the
        cell did not have, for every slot after a change of the number of
        slots, and if the host may have missed a list between the two.
      new_hosts: The hosts of the new record.
      self_host: The host of this ledger.
      now_ms: Wall clock time, Unix ms.
      adopted: Whether the new version is known to be adopted.
    """
    new_holders, needed = intent_holders(new_hosts, slot)
    if self_host not in new_holders:
        return
    old_holders, old_needed = intent_holders(old_hosts, slot)
    overlap = _required_overlap(ledger, slot, len(old_holders), old_needed)
    is_pending = slot in ledger.unadopted_slots
    if self_host in old_holders and needed >= overlap and not is_pending:
        ledger.overlap_by_slot[slot] = max(
            overlap, len(new_holders) - needed + 1
        )
        return
    ledger.start_ms_by_slot[slot] = max(
        now_ms + OLD_VERSION_GRACE_MS, _start_ms(ledger, slot)
    )
    if adopted:
        ledger.unadopted_slots.discard(slot)
        ledger.overlap_by_slot[slot] = len(new_holders) - needed + 1
        return
    ledger.unadopted_slots.add(slot)
    ledger.overlap_by_slot[slot] = overlap


def record_intent(
    ledger: Ledger,
    request_id: str,
    issued_at_ms: int,
    slot: model.SlotId,
    token: str,
    now_ms: int,
) -> codes.Code:
    """Record an intent at a holder.

    A holder calls this only if `is_current` allows it to reply.

    Returns:
      OK if it is accepted (also when the same token is sent again), DUPLICATE,
      ID_AHEAD, ID_TOO_OLD or BEFORE_LEDGER.
    """
    held_token = ledger.token_by_id.get(request_id)
    if held_token is not None:
        return codes.OK if held_token == token else codes.DUPLICATE
    if token in ledger.released_tokens:
        return codes.DUPLICATE
    if issued_at_ms > now_ms + AHEAD_MARGIN_MS:
        return codes.ID_AHEAD
    if issued_at_ms < now_ms - ID_WINDOW_MS:
        return codes.ID_TOO_OLD
    if _is_before_start(ledger, slot, issued_at_ms):
        return codes.BEFORE_LEDGER
    _add_intent(ledger, request_id, issued_at_ms, token)
    return codes.OK


def is_current(own_version: int, intent_version: int) -> bool:
    """Return whether a holder may reply to an intent.

    A holder with an older record than the dispatching host may be a new
    holder without knowing it, and then has no start for the slot yet. It must
    apply the newer record before it replies.

    Args:
      own_version: The record version that the holder has applied.
      intent_version: The record version of the dispatching host.

    Returns:
      Whether to pass the intent to `record_intent`.
    """
    return own_version >= intent_version


def release_intent(ledger: Ledger, request_id: str, token: str) -> bool:
    """Remove the intent of an attempt that will never run.

    The token is remembered for a while and rejected, so that an intent message
    that arrives after its release does not block the id. An attempt after the
    release needs a new token.

    Returns:
      Whether the ledger held an intent with this token.
    """
    ledger.released_tokens[token] = None
    if len(ledger.released_tokens) > MAX_RELEASED_TOKENS:
        ledger.released_tokens.popitem(last=False)
    held_token = ledger.token_by_id.get(request_id)
    if held_token is None or not _matches_token(held_token, token):
        return False
    del ledger.token_by_id[request_id]
    return True


def record_sent(
    ledger: Ledger, request_id: str, issued_at_ms: int, token: str
) -> None:
    """Record at the dispatching host that it is about to send an id.

    A release of the token removes this entry too.
    """
    if request_id not in ledger.token_by_id:
        _add_intent(ledger, request_id, issued_at_ms, token)


def refusal_code(
    ledger: Ledger, request_id: str, token: str, code: codes.Code
) -> codes.Code:
    """Replace a not-run code by DUPLICATE if another attempt has the id.

    Args:
      ledger: The ledger of the host that refuses.
      request_id: The id.
      token: The token of the refused attempt, empty if it has none yet.
      code: The code of the refusal.

    Returns:
      The code for the caller.
    """
    if code.outcome != codes.NOT_RUN:
        return code
    held_token = ledger.token_by_id.get(request_id)
    if held_token is None or held_token == token:
        return code
    return codes.DUPLICATE


def decide_intent(
    replies: dict[str, codes.Code], needed: int, outstanding: int = 0
) -> Decision:
    """Decide from the holders' replies whether to send.

    A quorum of acceptances is enough even if another holder replied
    DUPLICATE: the other attempt can then no longer get a quorum. The decision
    is final for a token: after REFUSE or RESPOND_UNKNOWN a late acceptance
    does not change it and is released.

    Args:
      replies: The code of each holder that replied.
      needed: How many must accept.
      outstanding: How many holders may still reply; with 0 the result is
        never WAIT.

    Returns:
      The decision.
    """
    accepted = sum(1 for code in replies.values() if _is_accepted(code))
    if accepted >= needed:
        return Decision(SEND, codes.OK)
    if accepted + outstanding >= needed and outstanding:
        return Decision(WAIT, codes.OK)
    for code in (
        codes.DUPLICATE,
        codes.ID_TOO_OLD,
        codes.BEFORE_LEDGER,
    ):
        if code in replies.values():
            return Decision(RESPOND_UNKNOWN, code)
    if codes.ID_AHEAD in replies.values():
        return Decision(REFUSE, codes.ID_AHEAD)
    return Decision(REFUSE, codes.NO_INTENT)


def must_release(decision: Decision, upstream_not_run: bool) -> bool:
    """Return whether to release the attempt's intents at its holders.

    The release goes to every holder that was asked, whatever it replied,
    because replies may be lost or late. After SEND it is allowed only if the
    upstream reported that it did not run the work, or if nothing was sent.

    Args:
      decision: The decision for the attempt.
      upstream_not_run: Whether the work is known not to have run after SEND.

    Returns:
      Whether to send the release.
    """
    if decision.action == SEND:
        return upstream_not_run
    return decision.action != WAIT


def store_response(
    ledger: Ledger, request_id: str, digest: str, response: model.Outcome
) -> None:
    """Store the response of a served request for repetitions of its id.

    Args:
      ledger: The ledger of the dispatching host.
      request_id: The id.
      digest: The digest of the request's content, see
        `work.request_digest`.
      response: The complete response.
    """
    size = _response_size(response)
    if size > MAX_RESPONSE_BYTES:
        return
    _remove_response(ledger, request_id)
    ledger.response_by_id[request_id] = _StoredResponse(digest, response, size)
    ledger.response_bytes += size
    while (
        len(ledger.response_by_id) > MAX_RESPONSES
        or ledger.response_bytes > MAX_RESPONSE_BYTES
    ):
        _, dropped = ledger.response_by_id.popitem(last=False)
        ledger.response_bytes -= dropped.size


def stored_response(
    ledger: Ledger, request_id: str, digest: str
) -> model.Outcome | None:
    """Return the stored response of an id, with code OK_STORED.

    Returns None for another digest: a different request with the same id must
    not get the response of the first.
    """
    stored = ledger.response_by_id.get(request_id)
    if stored is None or stored.digest != digest:
        return None
    return stored.outcome._replace(code=codes.OK_STORED)


def expire(ledger: Ledger, now_ms: int) -> int:
    """Remove intents too old for any host; return how many."""
    oldest_ms = now_ms - ID_WINDOW_MS - START_MARGIN_MS
    expired_seconds = [
        second
        for second in ledger.ids_by_second
        if second * 1_000 + 1_000 <= oldest_ms
    ]
    dropped = 0
    for second in expired_seconds:
        for request_id in ledger.ids_by_second.pop(second):
            if ledger.token_by_id.pop(request_id, None) is not None:
                dropped += 1
    return dropped


def size(ledger: Ledger) -> Size:
    """Return the numbers of entries and the size of the responses."""
    return Size(
        len(ledger.token_by_id),
        len(ledger.response_by_id),
        ledger.response_bytes,
    )


def _quorum_size(holders: int) -> int:
    return min(holders, QUORUM_SIZE)


def _required_overlap(
    ledger: Ledger, slot: model.SlotId, old_holders: int, old_needed: int
) -> int:
    """Return how many must accept to intersect all quorums since the start."""
    return max(
        ledger.overlap_by_slot.get(slot, 0), old_holders - old_needed + 1
    )


def _start_ms(ledger: Ledger, slot: model.SlotId) -> int:
    return ledger.start_ms_by_slot.get(slot, ledger.start_ms)


def _is_before_start(
    ledger: Ledger, slot: model.SlotId, issued_at_ms: int
) -> bool:
    if ledger.unadopted_slots and slot in ledger.unadopted_slots:
        return True
    return issued_at_ms <= _start_ms(ledger, slot) + START_MARGIN_MS


def _matches_token(held_token: str, token: str) -> bool:
    return held_token == token


def _is_accepted(code: codes.Code) -> bool:
    return code == codes.OK


def _add_intent(
    ledger: Ledger, request_id: str, issued_at_ms: int, token: str
) -> None:
    ledger.token_by_id[request_id] = token
    ledger.ids_by_second.setdefault(issued_at_ms // 1_000, []).append(
        request_id
    )


def _response_size(response: model.Outcome) -> int:
    return (
        RESPONSE_OVERHEAD_BYTES
        + len(response.body)
        + sum(len(name) + len(value) for name, value in response.headers)
    )


def _remove_response(ledger: Ledger, request_id: str) -> None:
    dropped = ledger.response_by_id.pop(request_id, None)
    if dropped is not None:
        ledger.response_bytes -= dropped.size
