"""Writes responses to callers in the form in which they are sent."""

import h11

from amaranthcrank.router import http_messages


def error_response(
    status: int,
    reason: bytes,
    retry_after_s: float | None = None,
) -> http_messages.Response:
    """Return a response of the server itself, which ends the connection."""
    headers = [(b'content-type', b'text/plain')]
    if retry_after_s is not None:
        headers.append((b'retry-after', f'{retry_after_s:.0f}'.encode()))
    return http_messages.Response(status, headers, reason, close=True)


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
