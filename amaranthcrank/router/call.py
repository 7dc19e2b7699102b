"""A caller's request on its way: what was checked, and how far it came."""

import typing

from amaranthcrank.platform import names
from amaranthcrank.router import headers as fields
from amaranthcrank.router import http_client
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import retry_rules

MAX_KEY = model.KEY_COUNT - 1

# Headers that concern a single connection.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    )
)
# Headers that the router answers or sets itself.
_ROUTER_HEADERS = frozenset(
    (b'expect', names.DEADLINE_MS, names.EXPECTED_TARGET)
)
_METHODS_WITH_BODY = frozenset((b'POST', b'PUT', b'PATCH'))


class Call(typing.NamedTuple):
    """A request of a caller, checked and routed.

    Attributes:
      request: The request.
      request_id: Its id.
      route: Its route.
      ticket: The number of the ticket that it was routed by.
      service: The service that serves it.
      key: Its key, or None for a service without keys.
      fingerprint: What is the same in each repetition of it.
      deadline_at: When its caller stops waiting, the event loop's time.
      goal_at: When it should be answered.
    """

    request: http_server.Request
    request_id: bytes
    route: model.Route
    ticket: int
    service: str
    key: int | None
    fingerprint: bytes
    deadline_at: float
    goal_at: float


class AttemptRecord(typing.NamedTuple):
    """One send, as it is logged.

    Attributes:
      target: The target's id.
      waited_ms: How long the request waited for it.
      in_flight: What this host had at the target, with this request.
      elsewhere: What other hosts were known to have there.
      slowness: How slow the target was taken to be.
      ms: How long the send took.
      result: The status, or why it failed.
    """

    target: str
    waited_ms: int
    in_flight: int
    elsewhere: int
    slowness: float
    ms: int
    result: str


class Progress:
    """How far a request came.

    Attributes:
      knowledge: What is known of it, one of `retry_rules`.
      sends: To how many targets it went.
      excluded: Targets that it is not sent to again.
      last: An answer that may be passed on if no better one comes.
      tries: All sends.
    """

    def __init__(self) -> None:
        """Start before the first send."""
        self.execution = retry_rules.NOT_SENT
        self.send_count = 0
        self.excluded: frozenset[str] = frozenset()
        self.last_answer: http_client.Answer | None = None
        self.tries: list[AttemptRecord] = []

    def record_attempt(
        self, execution: str, answer: http_client.Answer | None
    ) -> None:
        """Learn from an attempt.

        A request that may have run once may have run, whatever is known of
        its further attempts.
        """
        if execution != retry_rules.NOT_SENT:
            self.send_count += 1
        if execution == retry_rules.MAYBE_RUN:
            self.execution = execution
        elif self.execution == retry_rules.NOT_SENT:
            self.execution = execution
        self.last_answer = answer


def request_headers(
    call: Call, target_id: str, remaining_s: float
) -> fields.Headers:
    """Return the headers that a target gets.

    Args:
      call: The request.
      target_id: The only target that may run it.
      left_s: The time that is left for it.
    """
    headers = [
        (name, value)
        for name, value in call.request.headers
        if name not in _HOP_BY_HOP_HEADERS and name not in _ROUTER_HEADERS
    ]
    remaining_ms = max(1, int(remaining_s * 1000))
    headers.append((names.DEADLINE_MS, str(remaining_ms).encode()))
    headers.append((names.EXPECTED_TARGET, target_id.encode()))
    body = call.request.body
    if body or call.request.method in _METHODS_WITH_BODY:
        headers.append((b'content-length', str(len(body)).encode()))
    return headers


def answer_headers(answer: http_client.Answer) -> fields.Headers:
    """Return the headers of a target's answer that its caller gets."""
    return [
        (name, value)
        for name, value in answer.headers
        if name not in _HOP_BY_HOP_HEADERS
    ]


def is_refusal(answer: http_client.Answer) -> bool:
    """Tell whether an answer says that the target did not run a request."""
    return answer.status == 421 or answer.header(names.NOT_RUN) is not None


def has_request_id(request_id: bytes, answer: http_client.Answer) -> bool:
    """Tell whether an answer bears the id of a request that has one."""
    return bool(request_id) and answer.header(names.REQUEST_ID) == request_id


def response_error(request_id: bytes, answer: http_client.Answer) -> str:
    """Return why an answer is not the target's whole answer, or ''."""
    if answer.header(b'content-encoding') is not None:
        return 'the body is encoded'
    if request_id and not has_request_id(request_id, answer):
        return 'the answer bears another id'
    if answer.status >= 300:
        return ''
    if answer.header(names.SIGNATURE) is None:
        return 'the success bears no signature'
    return ''


def parse_key(value: bytes | None) -> int | None:
    """Return the key of a request, or None for a missing or bad one."""
    if value is None or not value.isdigit():
        return None
    key = int(value)
    return key if key <= MAX_KEY else None


def parse_deadline(value: bytes | None, default_s: float) -> float | None:
    """Return the seconds that a caller waits, or None for a bad value."""
    if value is None:
        return default_s
    if not value.isdigit():
        return None
    return int(value) / 1000
