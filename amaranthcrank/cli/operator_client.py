"""Client of the operator interface of the entry hosts.

The hosts are tried in order. A host that cannot be reached, or answers
something that is not a JSON object, is passed over.
"""

from collections import abc
import json
import typing

import urllib3

CONNECT_TIMEOUT_S = 2.0
# A host gives up on the store before this.
READ_TIMEOUT_S = 10.0


class Client(typing.NamedTuple):
    """How to reach the operator interfaces.

    Attributes:
      pool: Keeps connections.
      urls: Base URLs, tried in order.
      key: The operator key.
    """

    pool: urllib3.PoolManager
    urls: tuple[str, ...]
    key: str


class Response(typing.NamedTuple):
    """What a host answered.

    Attributes:
      status: The HTTP status, 0 when no host answered.
      body: The JSON object, empty when no host answered.
      failures: Why the hosts before it were passed over, one line each.
      maybe_received: Whether one of these may have carried out the request.
    """

    status: int
    body: dict[str, typing.Any]
    failures: tuple[str, ...]
    maybe_received: bool


def make_client(urls: abc.Sequence[str], key: str) -> Client:
    """Make a client; its pool has a `clear` that closes connections."""
    timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
    pool = urllib3.PoolManager(timeout=timeout, retries=False)
    return Client(pool, tuple(urls), key)


def call(
    client: Client,
    method: str,
    path: str,
    body: dict[str, typing.Any] | None = None,
) -> Response:
    """Send a request to the first host that answers it.

    Args:
      client: How to reach the hosts.
      method: The HTTP method.
      path: The path, quoted.
      body: Sent as JSON if given.

    Returns:
      The answer; its status is 0 when no host answered.
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
            failures.append(f'{url}: {_reason(error)}')
            continue
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            failures.append(f'{url}: {_reason(error)}')
            maybe_received = True
            continue
        if not isinstance(fields, dict):
            failures.append(f'{url}: the answer is not a JSON object')
            maybe_received = True
            continue
        return Response(
            response.status, fields, tuple(failures), maybe_received
        )
    return Response(0, {}, tuple(failures), maybe_received)


def _reason(error: Exception) -> str:
    if isinstance(error, ValueError):
        return 'the answer is not JSON'
    return str(error).splitlines()[0] if str(error) else repr(error)
