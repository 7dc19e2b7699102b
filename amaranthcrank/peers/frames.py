"""Frames between hosts: CBOR maps with a type and an id."""

from collections import abc
import typing

import cbor2

from amaranthcrank.core import codes
from amaranthcrank.core import model

MAX_FRAME_BYTES = 2 * 1024 * 1024
# The id of one-way frames; frames with another id may get a reply.
ONE_WAY_ID = 0

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
CRASHES = 'crashes'
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
        CRASHES,
    )
)

# Set on the reply to the frame with the same id.
REPLY_FIELD = 're'
# Set on a reply that replaces one that could not be queued or encoded.
LOST_FIELD = 'lost'
MAX_ID = 2**63 - 1
MAX_DEPTH = 16

Frame = dict[str, typing.Any]


class Forwarded(typing.NamedTuple):
    """A request as one host sends it to another.

    Attributes:
      request: The request; its deadline_ms is the remaining time.
      hops: How many hosts have forwarded it.
      ticket: The number of the sender's newest ticket.
    """

    request: model.Request
    hops: int
    ticket: int


def decode_value(data: bytes) -> typing.Any:
    """Decode CBOR of plain values; raise on anything else."""
    return cbor2.loads(
        data,
        semantic_decoders=_NO_TAGS,
        max_depth=MAX_DEPTH,
        allow_indefinite=False,
        allow_duplicate_keys=False,
    )


def encode_frame(
    frame: Frame,
) -> tuple[bytes | None, tuple[codes.Problem, ...]]:
    """Check and encode a frame that has its type and id.

    Returns:
      The bytes and no problems, or None and the problems.
    """
    problems = _check_envelope(frame)
    if problems:
        return None, problems
    try:
        data = cbor2.dumps(frame)
    except (cbor2.CBOREncodeError, ValueError, TypeError, OverflowError) as e:
        return None, (_problem(codes.BAD_FRAME, 'frame', str(e)),)
    if len(data) > MAX_FRAME_BYTES:
        return None, (_too_large(len(data)),)
    return data, ()


def decode_frame(
    data: bytes | str,
) -> tuple[Frame | None, tuple[codes.Problem, ...]]:
    """Decode and check a received frame.

    Returns:
      The frame and no problems, or None and the problems.
    """
    if not isinstance(data, bytes):
        return None, (_problem(codes.BAD_FRAME, 'frame', 'a text message'),)
    if len(data) > MAX_FRAME_BYTES:
        return None, (_too_large(len(data)),)
    try:
        frame = decode_value(data)
    except Exception as e:
        return None, (_problem(codes.BAD_FRAME, 'frame', repr(e)),)
    problems = _check_envelope(frame)
    return (None, problems) if problems else (frame, ())


def request_frame(forwarded: Forwarded) -> Frame:
    """Build the frame that forwards a request, without an id."""
    request = forwarded.request
    return {
        'type': REQUEST,
        'hops': forwarded.hops,
        'ticket': forwarded.ticket,
        'request': {
            **request._asdict(),
            'headers': [list(each) for each in request.headers],
        },
    }


def parse_request_frame(
    frame: Frame,
) -> tuple[Forwarded | None, tuple[codes.Problem, ...]]:
    """Parse a request frame.

    Returns:
      The forwarded request and no problems, or None and the problems.
    """
    problems: list[codes.Problem] = []
    _check_fields(frame, _FORWARDED_FIELDS, 'frame', problems)
    fields = frame.get('request')
    if not isinstance(fields, dict):
        problems.append(_problem(codes.BAD_FRAME, 'request', 'not a map'))
        return None, tuple(problems)
    _check_fields(fields, _REQUEST_FIELDS, 'request', problems)
    if problems:
        return None, tuple(problems)
    given = {name: fields[name] for name, _, _ in _REQUEST_FIELDS}
    given['headers'] = _headers(given['headers'])
    request = model.Request(**given)
    return Forwarded(request, frame['hops'], frame['ticket']), ()


def answer_frame(outcome: model.Outcome) -> Frame:
    """Build the frame that answers a request, without an id."""
    return {
        'type': ANSWER,
        'code': outcome.code.number,
        'status': outcome.status,
        'headers': [list(each) for each in outcome.headers],
        'body': outcome.body,
        'retry_after_ms': outcome.retry_after_ms,
        'detail': outcome.detail,
    }


def parse_answer_frame(
    frame: Frame,
) -> tuple[model.Outcome | None, tuple[codes.Problem, ...]]:
    """Parse an answer frame.

    Returns:
      The outcome and no problems, or None and the problems.
    """
    problems: list[codes.Problem] = []
    _check_fields(frame, _ANSWER_FIELDS, 'answer', problems)
    if problems:
        return None, tuple(problems)
    return model.Outcome(
        codes.CODE_BY_NUMBER[frame['code']],
        frame['status'],
        _headers(frame['headers']),
        frame['body'],
        frame['retry_after_ms'],
        frame['detail'],
    ), ()


def _refuse_tag(decoder: typing.Any) -> typing.NoReturn:
    raise ValueError('tagged values are not accepted')


# The tags that cbor2 decodes by default. Frames contain plain values only, and
# some tags, such as regular expressions and big exponents, are costly to
# decode.
_NO_TAGS = dict.fromkeys(
    (
        *range(0, 6),
        25,
        28,
        29,
        30,
        35,
        36,
        37,
        43,
        52,
        54,
        100,
        256,
        258,
        260,
        261,
        1004,
        43000,
        55799,
    ),
    _refuse_tag,
)


def _check_envelope(frame: typing.Any) -> tuple[codes.Problem, ...]:
    if not isinstance(frame, dict):
        return (_problem(codes.BAD_FRAME, 'frame', 'not a map'),)
    problems = []
    kind = frame.get('type')
    if not isinstance(kind, str):
        problems.append(_problem(codes.BAD_FRAME, 'type', 'not a text'))
    elif kind not in TYPES:
        problems.append(_problem(codes.UNKNOWN_FRAME_TYPE, 'type', kind))
    if not _is_int(frame.get('id'), 0, MAX_ID):
        problems.append(_problem(codes.BAD_FRAME, 'id', 'not 0 to 2**63 - 1'))
    if not isinstance(frame.get(REPLY_FIELD, True), bool):
        problems.append(_problem(codes.BAD_FRAME, REPLY_FIELD, 'not a bool'))
    return tuple(problems)


def _is_int(value: typing.Any, low: int, high: int) -> bool:
    return type(value) is int and low <= value <= high


def _is_text(value: typing.Any, limit: int) -> bool:
    return isinstance(value, str) and len(value) <= limit


def _is_headers(value: typing.Any) -> bool:
    return isinstance(value, (list, tuple)) and all(
        isinstance(each, (list, tuple))
        and len(each) == 2
        and all(isinstance(part, str) for part in each)
        for each in value
    )


def _headers(value: typing.Any) -> tuple[tuple[str, str], ...]:
    return tuple((name, text) for name, text in value)


def _check_fields(
    given: dict[str, typing.Any],
    fields: tuple[tuple[str, abc.Callable[[typing.Any], bool], str], ...],
    place: str,
    problems: list[codes.Problem],
) -> None:
    for name, accepts, what in fields:
        if name not in given or not accepts(given[name]):
            problems.append(
                _problem(codes.BAD_FRAME, f'{place}.{name}', f'not {what}')
            )


def _problem(code: codes.Code, place: str, detail: str) -> codes.Problem:
    return codes.Problem(code, place, detail[:200])


def _too_large(size: int) -> codes.Problem:
    return _problem(codes.FRAME_TOO_LARGE, 'frame', f'{size} bytes')


_COUNT = (lambda value: _is_int(value, 0, MAX_ID), 'a count')
_BODY = (
    lambda value: (
        isinstance(value, bytes) and len(value) <= model.MAX_BODY_BYTES
    ),
    'bytes up to 1 MiB',
)
_HEADERS = (_is_headers, 'a list of pairs of texts')


def _text(limit: int) -> tuple[abc.Callable[[typing.Any], bool], str]:
    return (lambda value: _is_text(value, limit), f'a text up to {limit}')


_FORWARDED_FIELDS = (('hops', *_COUNT), ('ticket', *_COUNT))
_REQUEST_FIELDS = (
    ('request_id', *_text(100)),
    ('issued_at_ms', *_COUNT),
    ('service', *_text(64)),
    ('key', *_text(model.MAX_KEY_BYTES)),
    ('rank', lambda value: value in model.RANKS, 'a rank'),
    ('repeatable', lambda value: isinstance(value, bool), 'a bool'),
    (
        'deadline_ms',
        lambda value: _is_int(value, 0, model.MAX_DEADLINE_MS),
        'a deadline',
    ),
    ('caller', *_text(128)),
    ('method', *_text(16)),
    ('query', *_text(65536)),
    ('headers', *_HEADERS),
    ('body', *_BODY),
    ('traceparent', *_text(64)),
)
_ANSWER_FIELDS = (
    (
        'code',
        lambda value: isinstance(value, int) and value in codes.CODE_BY_NUMBER,
        'a result code',
    ),
    ('status', lambda value: _is_int(value, 200, 599), 'a final status'),
    ('headers', *_HEADERS),
    ('body', *_BODY),
    ('retry_after_ms', *_COUNT),
    ('detail', *_text(65536)),
)
