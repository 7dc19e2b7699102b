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

import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model

SEND = 'send'
REFUSE = 'refuse'
ANSWER_UNKNOWN = 'unknown'
WAIT = 'wait'


class Ledger:
    """Intents and answers that one host remembers.

    Attributes:
      start_ms: When the process started, by its wall clock.
    """

    def __init__(self, start_ms: int) -> None:
        """Start with no intents."""
        self.start_ms = start_ms


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
    answers: int
    answer_bytes: int


def open_ledger(now_ms: int) -> Ledger:
    """Open the ledger of a process that starts now.

    The record that a restarted host reads may not be adopted yet, and the host
    has forgotten its old lists. It calls `holders_changed` with no old hosts
    and adopted=False for each of its slots unless it knows from a peer that
    the version is in effect.
    """
    raise NotImplementedError


def make_token(host: str, incarnation: str, number: int) -> str:
    """Name one attempt.

    The incarnation keeps a restarted host from repeating a token: a holder
    accepts a known token again.
    """
    raise NotImplementedError


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
    raise NotImplementedError


def holders_changed(
    ledger: Ledger,
    slot: model.SlotId,
    old_hosts: tuple[str, ...],
    new_hosts: tuple[str, ...],
    self_host: str,
    now_ms: int,
    adopted: bool = True,
) -> None:
    """Move the ledger's start for a slot when its holders change.

    Call it when the record is taken up with adopted=False (unless it is
    already adopted), and again with the same lists and adopted=True once a
    blocking set has promised the version. In between unknown ids of a slot
    whose start moves are answered BEFORE_LEDGER.

    Args:
      ledger: The host's ledger.
      slot: The slot.
      old_hosts: The hosts of the record before; empty for a slot that the
        cell did not have, and for each slot after a change of slot counts.
      new_hosts: The hosts of the record now.
      self_host: The host of this ledger.
      now_ms: Wall clock.
      adopted: Whether the new version is known to be adopted.
    """
    raise NotImplementedError


def note_intent(
    ledger: Ledger,
    request_id: str,
    issued_at_ms: int,
    slot: model.SlotId,
    token: str,
    now_ms: int,
) -> codes.Code:
    """Note an intent at a holder.

    Returns:
      OK where it is accepted (also again for the same token), DUPLICATE,
      ID_AHEAD, ID_TOO_OLD or BEFORE_LEDGER.
    """
    raise NotImplementedError


def release_intent(ledger: Ledger, request_id: str, token: str) -> bool:
    """Drop the intent of an attempt that will never run.

    Returns:
      Whether the ledger held an intent with this token.
    """
    raise NotImplementedError


def note_sent(
    ledger: Ledger, request_id: str, issued_at_ms: int, token: str
) -> None:
    """Remember at the dispatching host that it is about to send an id.

    A release of the token drops this too.
    """
    raise NotImplementedError


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
    raise NotImplementedError


def decide_intent(
    replies: dict[str, codes.Code], needed: int, outstanding: int = 0
) -> Decision:
    """Decide from the holders' replies.

    The decision is taken once for each token: after REFUSE or ANSWER_UNKNOWN
    a late acceptance changes nothing but is released.

    Args:
      replies: The code of each holder that answered.
      needed: How many must accept.
      outstanding: How many holders may still answer; with 0 the result is
        never WAIT.

    Returns:
      The decision.
    """
    raise NotImplementedError


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
    raise NotImplementedError


def store_answer(
    ledger: Ledger, request_id: str, digest: str, answer: model.Outcome
) -> None:
    """Keep a served answer for a repetition of the id.

    Args:
      ledger: The ledger of the dispatching host.
      request_id: The id.
      digest: What identifies the request: caller, service, key and body.
      answer: The whole answer.
    """
    raise NotImplementedError


def stored_answer(
    ledger: Ledger, request_id: str, digest: str
) -> model.Outcome | None:
    """Return the kept answer of an id, with code OK_STORED.

    None for another digest: an id used for another request must not get the
    answer of the first.
    """
    raise NotImplementedError


def expire(ledger: Ledger, now_ms: int) -> int:
    """Drop what is older than any host accepts; return how many intents."""
    raise NotImplementedError


def size(ledger: Ledger) -> Size:
    """Return how much the ledger holds."""
    raise NotImplementedError
