"""Frames between hosts: CBOR maps with a type and an id."""

import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model

MAX_FRAME_BYTES = 2 * 1024 * 1024
# One-way frames carry this id; numbered frames may be answered.
NO_ANSWER_ID = 0

HEARTBEAT = 'heartbeat'
RECORD = 'record'
TICKET = 'ticket'
REQUEST = 'request'
ANSWER = 'answer'
CANCEL = 'cancel'
INTENT = 'intent'
INTENT_REPLY = 'intent_reply'
STATUS = 'status'
STATUS_REPLY = 'status_reply'
TYPES = frozenset(
    (
        HEARTBEAT,
        RECORD,
        TICKET,
        REQUEST,
        ANSWER,
        CANCEL,
        INTENT,
        INTENT_REPLY,
        STATUS,
        STATUS_REPLY,
    )
)

Frame = dict[str, typing.Any]


class Forwarded(typing.NamedTuple):
    """A request as one host sends it to another.

    Attributes:
      request: The request; its deadline_ms is what is left of it.
      hops: How many hosts have forwarded it.
      ticket: The number of the sender's newest ticket.
    """

    request: model.Request
    hops: int
    ticket: int


def encode_frame(
    frame: Frame,
) -> tuple[bytes | None, tuple[codes.Problem, ...]]:
    """Encode a frame that has its type and id.

    Returns:
      The bytes and no errors, or None and the errors.
    """
    raise NotImplementedError


def decode_frame(
    data: bytes | str,
) -> tuple[Frame | None, tuple[codes.Problem, ...]]:
    """Decode and check a received frame.

    Returns:
      The frame and no errors, or None and the errors.
    """
    raise NotImplementedError


def request_frame(forwarded: Forwarded) -> Frame:
    """Make the frame, still without an id, that forwards a request."""
    raise NotImplementedError


def forwarded_of(
    frame: Frame,
) -> tuple[Forwarded | None, tuple[codes.Problem, ...]]:
    """Read a request frame.

    Returns:
      The forwarded request and no errors, or None and the errors.
    """
    raise NotImplementedError


def answer_frame(outcome: model.Outcome) -> Frame:
    """Make the frame, still without an id, that answers a request."""
    raise NotImplementedError


def outcome_of(
    frame: Frame,
) -> tuple[model.Outcome | None, tuple[codes.Problem, ...]]:
    """Read an answer frame.

    Returns:
      The outcome and no errors, or None and the errors.
    """
    raise NotImplementedError
