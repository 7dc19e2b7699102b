"""Writes responses to callers in the form in which they are sent."""

import h11

from amaranthcrank.router import headers as header_fields
from amaranthcrank.router import http_messages

# Retry-After for a request whose long body got no memory, and for a connection
# beyond the limit.
REFUSAL_S = 1.0


def error_response(
    status: int,
    reason: bytes,
    extra_headers: header_fields.Headers | None = None,
) -> http_messages.Response:
    """Return a response of the server itself, which ends the connection."""
    headers = [(b'content-type', b'text/plain'), *(extra_headers or ())]
    return http_messages.Response(status, headers, reason, close=True)


def refusal(reason: bytes) -> http_messages.Response:
    """Return a response that asks the caller to come back later."""
    delay = f'{REFUSAL_S:.0f}'.encode()
    return error_response(503, reason, [(b'retry-after', delay)])


def serialise(
    http: h11.Connection, response: http_messages.Response, closes: bool
) -> bytes:
    """Return a response as it is sent.

    Raises:
      h11.LocalProtocolError: It is not valid, or does not fit the request.
    """
    headers = response.headers + [
        (b'content-length', str(len(response.body)).encode())
    ]
    if closes:
        headers.append((b'connection', b'close'))
    events = (
        h11.Response(status_code=response.status, headers=headers),
        h11.Data(data=response.body),
        h11.EndOfMessage(),
    )
    return b''.join([http.send(event) or b'' for event in events])
