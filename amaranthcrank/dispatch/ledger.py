"""Ledger of intents and the rules of at-most-once execution.

An intent says that one dispatching host is about to send one request that may
not repeat. It is kept in memory by two of the three hosts that rendezvous
hashing gives for the slot, and any two such pairs intersect.

What `not_run` promises for a repeated id: this attempt sent nothing that ran
and never will, and so did every earlier attempt that was answered `not_run`.
It does not settle an earlier attempt that was answered `unknown` or not at
all. Wherever a host that took part knows the id under another attempt, the
answer is `unknown` instead.
"""

import collections
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import model

AHEAD_MARGIN_MS = model.ID_AHEAD_MARGIN_MS
# Any two host clocks are at most this far apart.
CLOCK_SKEW_MS = 500
# One margin for both is too small: a host 250 ms fast accepts an id stamped
# 1250 ms ahead of true time, and a host 250 ms slow that starts just after
# that would take the id for one issued since its start.
START_MARGIN_MS = AHEAD_MARGIN_MS + CLOCK_SKEW_MS
ID_WINDOW_MS = 60_000
# Hosts at the old version may send for this long after adoption.
OLD_VERSION_GRACE_MS = round(
    1_000 * (model.STANDING_LEASE_S + model.CLOCK_DRIFT_MARGIN_S)
)
HOLDER_COUNT = 3
QUORUM_SIZE = 2

MAX_RESPONSES = 1_024
MAX_RESPONSE_BYTES = 4_000_000
# Python's cost of one stored answer besides its bytes, rounded up.
RESPONSE_OVERHEAD_BYTES = 512
# Released tokens that are remembered against a late or repeated intent.
MAX_RELEASED_TOKENS = 1_024

SEND = 'send'
REFUSE = 'refuse'
RESPOND_UNKNOWN = 'unknown'
WAIT = 'wait'


class Ledger:
    """Intents and answers that one host remembers.

    Attributes:
      start_ms: When the process started, by its wall clock.
      start_ms_by_slot: Later starts, of slots whose holders changed.
      overlap_by_slot: How many must accept to meet every pair accepted since
        the start of the slot; missing where the holders never changed.
      unadopted_slots: Slots whose start is not fixed yet.
      token_by_id: The attempt that holds each id.
      ids_by_second: The ids by the second of their stamp, for expiry.
      released_tokens: The last released tokens, oldest first.
      answer_by_id: Kept answers, oldest first.
      answer_bytes: The size of the kept answers.
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
        """Start with no intents."""
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
      action: SEND, REFUSE, ANSWER_UNKNOWN or WAIT.
      code: The code for the caller; codes.OK for SEND and WAIT.
    """

    action: str
    code: codes.Code


class Size(typing.NamedTuple):
    """How much a ledger holds."""

    intents: int
    responses: int
    response_bytes: int


def open_ledger(now_ms: int) -> Ledger:
    """Open the ledger of a process that starts now.

    The record that a restarted host reads may not be adopted yet, and the host
    has forgotten its old lists. It calls `holders_changed` with no old hosts
    and adopted=False for each of its slots unless it knows from a peer that
    the version is in effect.
    """
    return Ledger(now_ms)


def make_token(host: str, incarnation: str, number: int) -> str:
    """Name one attempt.

    The incarnation keeps a restarted host from repeating a token: a holder
    accepts a known token again.
    """
    return f'{host}/{incarnation}/{number}'


def intent_holders(
    hosts: tuple[str, ...], slot: model.SlotId
) -> tuple[tuple[str, ...], int]:
    """Return the hosts that hold a slot's intents and how many must accept.

    Args:
      hosts: The entry hosts of the cell record.
      slot: The slot that the key hashes to; for a pinned key also this one
        and not the slot of the pin, so that pins change no holders.

    Returns:
      Up to three hosts, best first, and the number that must accept.
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
    """Move the ledger's start for a slot when its holders change.

    The start moves where the host is a new holder, and where the new quorum
    need not meet every pair accepted since the start. Two changes in a row
    count together: from three holders to two and then to one, each step alone
    keeps an intersection and both do not.

    Call it when the record is taken up with adopted=False (unless it is
    already adopted), and again with the same lists and adopted=True once a
    blocking set has promised the version. In between unknown ids of a slot
    whose start moves are answered BEFORE_LEDGER.

    Args:
      ledger: The host's ledger.
      slot: The slot.
      old_hosts: The hosts of the record before. Empty for a slot that the
        cell did not have, for each slot after a change of the slot count,
        and where the host may have missed a list between the two.
      new_hosts: The hosts of the record now.
      self_host: The host of this ledger.
      now_ms: Wall clock.
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
    """Note an intent at a holder.

    A holder answers only if `is_current` allows it.

    Returns:
      OK where it is accepted (also again for the same token), DUPLICATE,
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
    """Tell whether a holder may answer an intent.

    A holder at an older record than the dispatching host may be a new holder
    without knowing, so it has no start for the slot yet. It takes up the
    record before it answers.

    Args:
      own_version: The record version that the holder has taken up.
      intent_version: The record version of the dispatching host.

    Returns:
      Whether to pass the intent to `note_intent`.
    """
    return own_version >= intent_version


def release_intent(ledger: Ledger, request_id: str, token: str) -> bool:
    """Drop the intent of an attempt that will never run.

    The token stays refused for a while, so that an intent message that comes
    after its release does not block the id. An attempt after the release
    takes a new token.

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
    """Remember at the dispatching host that it is about to send an id.

    A release of the token drops this too.
    """
    if request_id not in ledger.token_by_id:
        _add_intent(ledger, request_id, issued_at_ms, token)


def refusal_code(
    ledger: Ledger, request_id: str, token: str, code: codes.Code
) -> codes.Code:
    """Return DUPLICATE for a not-run code where the id is known otherwise.

    Args:
      ledger: The ledger of the host that refuses.
      request_id: The id.
      token: The token of the refused attempt, empty before it has one.
      code: The code of the refusal.

    Returns:
      The code to answer with.
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
    """Decide from the holders' replies.

    A quorum of acceptances is enough even beside a DUPLICATE: the other
    attempt can then no longer get a quorum. The decision is taken once for
    each token: after REFUSE or ANSWER_UNKNOWN
    a late acceptance changes nothing but is released.

    Args:
      replies: The code of each holder that answered.
      needed: How many must accept.
      outstanding: How many holders may still answer; with 0 the result is
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
    """Tell whether the attempt's intents are released at all its holders.

    Released at every holder that was asked, whatever it replied, because its
    reply may be lost or late. After SEND only a `not run` of the upstream, or
    the knowledge that no byte was sent, allows the release.

    Args:
      decision: The decision for the attempt.
      upstream_not_run: The work is known as not run after SEND.

    Returns:
      Whether to send the release.
    """
    if decision.action == SEND:
        return upstream_not_run
    return decision.action != WAIT


def store_response(
    ledger: Ledger, request_id: str, digest: str, response: model.Outcome
) -> None:
    """Keep a served answer for a repetition of the id.

    Args:
      ledger: The ledger of the dispatching host.
      request_id: The id.
      digest: What identifies the request: caller, service, key and body.
      answer: The whole answer.
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
    """Return the kept answer of an id, with code OK_STORED.

    None for another digest: an id used for another request must not get the
    answer of the first.
    """
    stored = ledger.response_by_id.get(request_id)
    if stored is None or stored.digest != digest:
        return None
    return stored.outcome._replace(code=codes.OK_STORED)


def expire(ledger: Ledger, now_ms: int) -> int:
    """Drop what is older than any host accepts; return how many intents."""
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
    """Return how much the ledger holds."""
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
    """Return how many must accept to meet each pair since the start."""
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
