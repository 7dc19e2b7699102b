"""A caller's request: its routing, its progress and its headers."""

import typing

from amaranthcrank.platform import names
from amaranthcrank.router import headers as fields
from amaranthcrank.router import http_client
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import retry_rules

MAX_KEY = model.KEY_COUNT - 1
# Longer numbers in headers are rejected before they are converted.
MAX_DIGITS = 12

# Headers that apply to a single connection and are not forwarded.
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
# Headers that the router handles or sets itself.
_ROUTER_HEADERS = frozenset(
    (b'expect', names.DEADLINE_MS, names.EXPECTED_TARGET)
)
_METHODS_WITH_BODY = frozenset((b'POST', b'PUT', b'PATCH'))


class Call(typing.NamedTuple):
    """A validated and routed request of a caller.

    Attributes:
      request: The request.
      request_id: Its id.
      route: Its route.
      ticket: The number of the ticket whose routes were used.
      service: The service that it is sent to.
      key: Its key, or None for a service without keys.
      fingerprint: A digest that is the same for each repetition of it.
      deadline_at: When its caller stops waiting, in event loop time.
      goal_at: When it should be answered, in event loop time.
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
    """The log record of one attempt to send a request.

    Attributes:
      target: The target's id.
      waited_ms: How long the request waited for it.
      in_flight: Requests of this host in flight to it, with this one.
      elsewhere: Requests of other hosts in flight to it, as far as known.
      slowness: Its estimated slowness.
      ms: How long the attempt took.
      result: The status, or why the attempt failed.
    """

    target: str
    waited_ms: int
    in_flight: int
    elsewhere: int
    slowness: float
    ms: int
    result: str


class Progress:
    """The state of a request over all attempts.

    Attributes:
      execution: Whether it may have run, a constant of `retry_rules`.
      send_count: Number of targets that it was sent to.
      excluded: Targets that it is not sent to again.
      last_response: A response that may be passed to the caller if no better
        one follows.
      attempts: All attempts so far.
    """

    def __init__(self) -> None:
        """Create the state before the first attempt."""
        self.execution = retry_rules.NOT_SENT
        self.send_count = 0
        self.excluded: frozenset[str] = frozenset()
        self.last_response: http_client.Response | None = None
        self.attempts: list[AttemptRecord] = []

    def record_attempt(
        self, execution: str, response: http_client.Response | None
    ) -> None:
        """Record the result of an attempt.

        Once a request may have run, it stays in that state, whatever the
        results of further attempts are.
        """
        if execution != retry_rules.NOT_SENT:
            self.send_count += 1
        if execution == retry_rules.MAYBE_RUN:
            self.execution = execution
        elif self.execution == retry_rules.NOT_SENT:
            self.execution = execution
        self.last_response = response


def request_headers(
    call: Call, target_id: str, remaining_s: float
) -> fields.Headers:
    """Return the headers of the request to a target.

    Args:
      call: The request.
      target_id: The only target that may run it.
      remaining_s: The time until its deadline.
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


def response_headers(response: http_client.Response) -> fields.Headers:
    """Return the headers of a target's response to pass to the caller."""
    return [
        (name, value)
        for name, value in response.headers
        if name not in _HOP_BY_HOP_HEADERS
    ]


def is_refusal(response: http_client.Response) -> bool:
    """Return whether a response says that the request was not run."""
    return response.status == 421 or response.header(names.NOT_RUN) is not None


def has_request_id(request_id: bytes, response: http_client.Response) -> bool:
    """Return whether a response carries the id of a request that has one."""
    return bool(request_id) and response.header(names.REQUEST_ID) == request_id


def response_error(request_id: bytes, response: http_client.Response) -> str:
    """Return why a response must not reach the caller, or ''."""
    if response.header(b'content-encoding') is not None:
        return 'the body is encoded'
    if request_id and not has_request_id(request_id, response):
        return 'the answer bears another id'
    if response.status >= 300:
        return ''
    if response.header(names.SIGNATURE) is None:
        return 'the success bears no signature'
    return ''


def parse_key(value: bytes | None) -> int | None:
    """Return the key of a request, or None if it is missing or invalid."""
    if value is None or not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    key = int(value)
    return key if key <= MAX_KEY else None


def parse_deadline(value: bytes | None, default_s: float) -> float | None:
    """Return how many seconds a caller waits, or None for a bad value."""
    if value is None:
        return default_s
    if not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    return int(value) / 1000
