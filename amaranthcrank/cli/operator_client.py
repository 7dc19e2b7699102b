"""HTTP client of the operator interface of the entry hosts.

The hosts are tried in order. A host that cannot be reached, or that returns
anything but a JSON object, is skipped.
"""

from collections import abc
import json
import typing

import urllib3

CONNECT_TIMEOUT_S = 2.0
# Longer than a host's time-out for its calls to the store.
READ_TIMEOUT_S = 10.0


class Client(typing.NamedTuple):
    """Connection pool, addresses and credentials.

    Attributes:
      pool: The pool of HTTP connections.
      urls: Base URLs, tried in order.
      key: The operator key.
    """

    pool: urllib3.PoolManager
    urls: tuple[str, ...]
    key: str


class Response(typing.NamedTuple):
    """Response of a host.

    Attributes:
      status: The HTTP status, 0 when no host answered.
      body: The JSON object, empty when no host answered.
      failures: Why the hosts before it were skipped, one line each.
      maybe_received: Whether a skipped host may have processed the request.
    """

    status: int
    body: dict[str, typing.Any]
    failures: tuple[str, ...]
    maybe_received: bool


def make_client(urls: abc.Sequence[str], key: str) -> Client:
    """Create a client; `pool.clear()` closes its connections."""
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
    pool = urllib3.PoolManager(timeout=timeout, retries=False)
    return Client(pool, tuple(urls), key)


def call(
    client: Client,
    method: str,
    path: str,
    body: dict[str, typing.Any] | None = None,
) -> Response:
    """Send a request to each host in turn until one answers.

    Args:
      client: The client.
      method: The HTTP method.
      path: The percent-encoded path.
      body: The request body, sent as JSON; None for no body.

    Returns:
      The response; its status is 0 when no host answered.
    """
    headers = {'Authorization': f'Bearer {client.key}'}
    data = None
    if body is not None:
        headers['Content-Type'] = 'application/json'
        data = json.dumps(body).encode('ascii')
    failures: list[str] = []
    maybe_received = False
    for url in client.urls:
        try:
            response = client.pool.request(
                method, url + path, body=data, headers=headers
            )
            fields = json.loads(response.data)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            failures.append(f'{url}: {_error_text(error)}')
            continue
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            failures.append(f'{url}: {_error_text(error)}')
            maybe_received = True
            continue
        if not isinstance(fields, dict):
            failures.append(f'{url}: the response is not a JSON object')
            maybe_received = True
            continue
        return Response(
            response.status, fields, tuple(failures), maybe_received
        )
    return Response(0, {}, tuple(failures), maybe_received)


def _error_text(error: Exception) -> str:
    if isinstance(error, ValueError):
        return 'the response is not JSON'
    return str(error).splitlines()[0] if str(error) else repr(error)
