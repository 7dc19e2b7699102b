"""Callers of the soak: send requests in a loop and record each response."""

import asyncio
import random
import typing

from amaranthcrank.platform import names
from amaranthcrank.router import http_client
from amaranthcrank.router import model
from standins import platform_site

CONNECT_TIMEOUT_S = 1.0
DEADLINE_MS = 2000
RESPONSE_TIMEOUT_S = 3.0
# Mean pause between two requests of one caller (exponentially distributed).
MEAN_PAUSE_S = 0.05
RECONNECT_DELAY_S = 0.1

KeyChoice = typing.Callable[[random.Random], int]


class RequestKind(typing.NamedTuple):
    """A kind of request that callers send.

    Attributes:
      method: The HTTP method.
      prefix: The path prefix, which selects the route.
      repeatable: Whether the request may run more than once.
      keyed: Whether the request carries a key.
    """

    method: bytes
    prefix: str
    repeatable: bool
    keyed: bool


REQUEST_KINDS = (
    RequestKind(b'GET', '/read/', True, False),
    RequestKind(b'POST', '/post/', False, False),
    RequestKind(b'GET', '/look/', True, True),
    RequestKind(b'POST', '/book/', False, True),
)


class Result(typing.NamedTuple):
    """One request and its result.

    Attributes:
      request_id: The id of the request.
      kind: The kind of request.
      router: The name of the router that it was sent to.
      sent_at: The time of sending, by the event loop's clock.
      status: The HTTP status, or 0 if no response arrived.
      signed: Whether the response carried a target's signature.
      echoed_id: The request id in the response's headers.
      body: The body of the response.
    """

    request_id: str
    kind: RequestKind
    router: str
    sent_at: float
    status: int
    signed: bool
    echoed_id: str
    body: bytes


def any_key(rng: random.Random) -> int:
    """Return one of all keys at random."""
    return rng.randrange(model.KEY_COUNT)


def _headers(
    request_id: str,
    kind: RequestKind,
    rng: random.Random,
    choose_key: KeyChoice,
) -> list[tuple[bytes, bytes]]:
    headers = [
        (b'host', platform_site.HOST.encode()),
        (names.REQUEST_ID, request_id.encode()),
        (names.DEADLINE_MS, str(DEADLINE_MS).encode()),
    ]
    if kind.keyed:
        key = choose_key(rng)
        headers.append((names.KEY, str(key).encode()))
    if kind.method == b'POST':
        headers.append((b'content-length', b'0'))
    return headers


async def call(
    connection: http_client.Connection,
    router: str,
    request_id: str,
    kind: RequestKind,
    rng: random.Random,
    choose_key: KeyChoice = any_key,
) -> Result:
    """Send one request over an open connection and wait for its response."""
    sent_at = asyncio.get_running_loop().time()
    failed = Result(request_id, kind, router, sent_at, 0, False, '', b'')
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            response = await connection.exchange(
                kind.method,
                (kind.prefix + request_id).encode(),
                _headers(request_id, kind, rng, choose_key),
                b'',
                None,
            )
    except (http_client.ExchangeError, TimeoutError):
        return failed
    echoed = response.header(names.REQUEST_ID) or b''
    signed = response.header(names.SIGNATURE) is not None
    return failed._replace(
        status=response.status,
        signed=signed,
        echoed_id=echoed.decode('latin-1'),
        body=response.body,
    )


async def run_caller(
    name: str,
    router: str,
    address: model.Address,
    rng: random.Random,
    results: list[Result],
    choose_key: KeyChoice = any_key,
) -> None:
    """Send requests to a router until cancelled, one connection at a time.

    Args:
      name: Prefix of the request ids; unique for each caller.
      router: The name of the router.
      address: Where the router accepts callers.
      rng: Source of every random choice of this caller.
      results: Receives the result of each request.
      choose_key: Chooses the key of each keyed request.
    """
    connection: http_client.Connection | None = None
    number = 0
    while True:
        await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
        if connection is None or not connection.is_open:
            try:
                connection = await http_client.connect(
                    address, CONNECT_TIMEOUT_S
                )
            except http_client.ConnectError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
        number += 1
        result = await call(
            connection,
            router,
            f'{name}-{number}',
            rng.choice(REQUEST_KINDS),
            rng,
            choose_key,
        )
        results.append(result)
        if result.status == 0:
            connection.abort()
            connection = None
