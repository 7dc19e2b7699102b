"""Builds the HTTP response for an outcome."""

import http
import json

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.intake import parse

# Set only here; an upstream's header of the same name is dropped.
_RESERVED_HEADERS = frozenset(
    ('x-result-code', 'x-outcome', 'x-request-id', 'x-not-run')
)
_REASON_BY_STATUS = {
    499: 'Client Closed Request',
    **{status.value: status.phrase for status in http.HTTPStatus},
}


def response_of(
    outcome: model.Outcome, request_id: str
) -> tuple[str, list[tuple[str, str]], bytes]:
    """Build the response for an outcome.

    Args:
      outcome: The outcome of the request.
      request_id: The id to echo, empty if none was accepted.

    Returns:
      The status with its reason phrase, such as '200 OK', the headers and the
      body.
    """
    headers = [
        ('X-Result-Code', str(outcome.code.number)),
        ('X-Outcome', outcome.code.outcome),
    ]
    if request_id:
        headers.append(('X-Request-Id', request_id))
    if outcome.retry_after_ms > 0:
        seconds = -(-outcome.retry_after_ms // 1000)
        headers.append(('Retry-After', str(seconds)))
    if outcome.code.outcome == codes.SERVED:
        body = outcome.body
        headers.extend(_upstream_headers(outcome))
    else:
        body = _refusal_body(outcome)
        headers.append(('Content-Type', 'application/json'))
    return status_line(outcome.status), headers, body


def status_line(status: int) -> str:
    """Return the status with its reason phrase."""
    return f'{status} {_REASON_BY_STATUS.get(status, "Status")}'


def problems_outcome(
    problems: tuple[codes.Problem, ...],
) -> model.Outcome:
    """Build the outcome for an invalid request.

    The first problem gives the code; the detail lists all of them.
    """
    detail = '; '.join(
        f'{each.code.number} {each.code.name} in {each.place}: {each.detail}'
        for each in problems
    )
    return model.refusal(problems[0].code, detail)


def _upstream_headers(outcome: model.Outcome) -> list[tuple[str, str]]:
    headers = []
    for name, value in outcome.headers:
        lowered = name.lower()
        if lowered in _RESERVED_HEADERS or lowered in parse.HOP_BY_HOP:
            continue
        if any(each in name + value for each in '\r\n\0'):
            continue
        headers.append((name, value))
    return headers


def _refusal_body(outcome: model.Outcome) -> bytes:
    return json.dumps(
        {
            'code': outcome.code.number,
            'name': outcome.code.name,
            'outcome': outcome.code.outcome,
            'detail': outcome.detail or outcome.code.text,
        },
        separators=(',', ':'),
    ).encode()
