"""Client of the object API of the platform."""

from collections import abc
import json
import typing
from urllib import parse

import expression
import urllib3

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.observe import host_list

# The version that stands for an object that does not exist.
ABSENT = 0

CONNECT_TIMEOUT_S = 0.5
READ_TIMEOUT_S = 1.0
# A conditional write can be retried safely: only one attempt can apply.
WRITE_ATTEMPTS = 3
# A pending watch occupies one connection; other threads make calls meanwhile.
POOL_CONNECTIONS = 8


class StoredObject(typing.NamedTuple):
    """An object that was read.

    Attributes:
      kind: The kind of the object.
      name: Its name within the kind.
      version: Its version, ABSENT if it does not exist.
      value: Its value, empty if it does not exist.
    """

    kind: str
    name: str
    version: int
    value: bytes


class WriteResult(typing.NamedTuple):
    """A write that took effect.

    Attributes:
      version: The version that the write created.
      read_back: Whether the response was lost and a read showed the effect.
    """

    version: int
    read_back: bool


class Listing(typing.NamedTuple):
    """The objects of one kind.

    Attributes:
      kind: The kind.
      revision: Increases with each write to the kind; a watch continues from
        it.
      version_by_name: The version of each object.
    """

    kind: str
    revision: int
    version_by_name: dict[str, int]


class HostsResponse(typing.NamedTuple):
    """The host list of the platform.

    Attributes:
      hosts: The valid entries.
      errors: The problems of the invalid entries.
    """

    hosts: host_list.HostList
    errors: tuple[codes.Problem, ...]


class StoreClient:
    """Connections to the store and the limits of a call.

    Attributes:
      address: host:port of the store.
      connect_timeout_s: Time limit for a new connection.
      read_timeout_s: Time limit for each read of a response.
      write_attempts: How often a write is sent while its outcome is unknown.
      pool: The connection pool.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        write_attempts: int = WRITE_ATTEMPTS,
    ) -> None:
        host, _, port = address.rpartition(':')
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.read_timeout_s = read_timeout_s
        self.write_attempts = write_attempts
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=POOL_CONNECTIONS, retries=False
        )

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()

    def __enter__(self) -> 'StoreClient':
        return self

    def __exit__(self, *unused: object) -> None:
        self.close()


def get_object(
    client: StoreClient, kind: str, name: str
) -> expression.Result[StoredObject, codes.Problem]:
    """Read an object.

    Args:
      client: The client.
      kind: The kind of the object.
      name: Its name within the kind.

    Returns:
      The object, with version ABSENT if it does not exist, or a Problem.
    """
    path = _object_path(kind, name)
    result = _call(client, 'GET', path)
    if result.is_error():
        return expression.Error(result.error)
    response = result.ok
    if response.status == 404:
        return expression.Ok(StoredObject(kind, name, ABSENT, b''))
    if response.status != 200:
        return expression.Error(_status_problem(path, response))
    version = _version_of(response)
    if version is None:
        return expression.Error(_bad_response(path, 'no version in the ETag'))
    return expression.Ok(StoredObject(kind, name, version, response.data))


def put_object(
    client: StoreClient,
    kind: str,
    name: str,
    value: bytes,
    expected_version: int,
) -> expression.Result[WriteResult, codes.Problem]:
    """Write an object if it has the expected version.

    If the response is lost, the object is read back. The write took effect if
    the next version has exactly this value, so a value must contain an id if
    it has to be distinguished from an equal value of another writer. If the
    version is unchanged, the write is sent again.

    Args:
      client: The client.
      kind: The kind of the object.
      name: Its name within the kind.
      value: The complete new value, up to 1 MiB.
      expected_version: The version to replace, or ABSENT.

    Returns:
      The version written, or a Problem. After STORE_ANSWER_LOST the write may
      still take effect. After STORE_OVERTAKEN it may have taken effect before
      a later version. After any other code it has no effect.
    """
    path = _object_path(kind, name)
    if len(value) > model.MAX_BODY_BYTES:
        return expression.Error(
            codes.Problem(
                codes.STORE_VALUE_TOO_LARGE, path, f'{len(value)} bytes'
            )
        )
    lost: codes.Problem | None = None
    for _ in range(client.write_attempts):
        sent = _send_write(client, path, value, expected_version)
        if sent.is_ok():
            return expression.Ok(WriteResult(sent.ok, False))
        problem = sent.error
        if lost is None and problem.code != codes.STORE_ANSWER_LOST:
            return expression.Error(problem)
        # This attempt may conflict with an earlier attempt that took effect.
        # After the first lost response, only the stored object shows the
        # outcome.
        lost = lost or problem
        read = get_object(client, kind, name)
        if read.is_error():
            return expression.Error(
                lost._replace(
                    detail=f'{lost.detail}; read back: {read.error.detail}'
                )
            )
        outcome = _resolve_lost_write(read.ok, value, expected_version, path)
        if outcome is not None:
            return outcome
    return expression.Error(
        lost._replace(detail=f'{lost.detail}; write not in effect yet')
    )


def list_objects(
    client: StoreClient, kind: str
) -> expression.Result[Listing, codes.Problem]:
    """List the objects of a kind with their versions."""
    return _listing(client, kind, f'/objects/{_quote(kind)}', 0.0)


def watch_kind(
    client: StoreClient, kind: str, revision: int, wait_ms: int
) -> expression.Result[Listing, codes.Problem]:
    """Wait until a kind has another revision.

    Args:
      client: The client.
      kind: The kind.
      revision: The revision of the last listing.
      wait_ms: How long the store waits for a change.

    Returns:
      The listing after the wait, with the same revision if nothing changed,
      or a Problem.
    """
    path = f'/objects/{_quote(kind)}?watch={revision}&wait_ms={wait_ms}'
    return _listing(client, kind, path, wait_ms / 1000)


def list_hosts(
    client: StoreClient,
) -> expression.Result[HostsResponse, codes.Problem]:
    """Read the host list of the platform."""
    result = _call(client, 'GET', '/hosts')
    if result.is_error():
        return expression.Error(result.error)
    if result.ok.status != 200:
        return expression.Error(_status_problem('/hosts', result.ok))
    return expression.Ok(
        HostsResponse(*host_list.parse_host_list(result.ok.data))
    )


def put_host(
    client: StoreClient,
    host: str,
    address: str,
    failure_domain: str,
    state: str,
) -> expression.Result[str, codes.Problem]:
    """Register a host with the platform. The call is idempotent.

    Args:
      client: The client.
      host: The id of the host.
      address: Its address, host:port.
      failure_domain: Its failure domain.
      state: host_list.LIVE or host_list.LEAVING.

    Returns:
      The id, or a Problem: STORE_ANSWER_LOST if the registration may have
      taken effect.
    """
    path = f'/hosts/{_quote(host)}'
    body = json.dumps(
        {
            'address': address,
            'failure_domain': failure_domain,
            'state': state,
        }
    ).encode()
    result = _call(client, 'PUT', path, body)
    if result.is_error():
        return expression.Error(result.error)
    if result.ok.status != 200:
        return expression.Error(_status_problem(path, result.ok, write=True))
    return expression.Ok(host)


def _resolve_lost_write(
    found: StoredObject, value: bytes, expected_version: int, path: str
) -> expression.Result[WriteResult, codes.Problem] | None:
    """Return the outcome of a write with a lost response.

    Args:
      found: The object as read after the write.
      value: The value that was written.
      expected_version: The version that the write expected.
      path: The path of the object.

    Returns:
      The outcome, or None if the object still has the expected version.
    """
    if found.version == expected_version:
        return None
    if found.version == expected_version + 1:
        if found.value == value:
            return expression.Ok(WriteResult(found.version, True))
        return expression.Error(
            _conflict(path, expected_version, found.version)
        )
    if found.version < expected_version:
        return expression.Error(
            _conflict(path, expected_version, found.version)
        )
    return expression.Error(
        codes.Problem(
            codes.STORE_OVERTAKEN,
            path,
            f'expected version {expected_version}, found {found.version}',
        )
    )


def _send_write(
    client: StoreClient, path: str, value: bytes, expected_version: int
) -> expression.Result[int, codes.Problem]:
    if expected_version == ABSENT:
        condition = {'If-None-Match': '*'}
    else:
        condition = {'If-Match': f'"{expected_version}"'}
    result = _call(client, 'PUT', path, value, condition)
    if result.is_error():
        return expression.Error(result.error)
    response = result.ok
    if response.status == 412:
        return expression.Error(
            _conflict(path, expected_version, _version_of(response) or ABSENT)
        )
    if response.status not in (200, 201):
        return expression.Error(_status_problem(path, response, write=True))
    version = _version_of(response)
    if version != expected_version + 1:
        # The write took effect, but the version in the response does not
        # confirm it.
        return expression.Error(
            codes.Problem(
                codes.STORE_ANSWER_LOST,
                path,
                f'answer has version {version} after {expected_version}',
            )
        )
    return expression.Ok(version)


def _listing(
    client: StoreClient, kind: str, path: str, wait_s: float
) -> expression.Result[Listing, codes.Problem]:
    result = _call(client, 'GET', path, wait_s=wait_s)
    if result.is_error():
        return expression.Error(result.error)
    if result.ok.status != 200:
        return expression.Error(_status_problem(path, result.ok))
    try:
        content = json.loads(result.ok.data)
        return expression.Ok(
            Listing(
                kind,
                int(content['revision']),
                {
                    str(each['name']): int(each['version'])
                    for each in content['objects']
                },
            )
        )
    except (ValueError, KeyError, TypeError) as error:
        return expression.Error(_bad_response(path, f'not a listing: {error}'))


def _call(
    client: StoreClient,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: abc.Mapping[str, str] | None = None,
    wait_s: float = 0.0,
) -> expression.Result[urllib3.BaseHTTPResponse, codes.Problem]:
    timeout = urllib3.Timeout(
        connect=client.connect_timeout_s, read=client.read_timeout_s + wait_s
    )
    try:
        response = client.pool.request(
            method,
            path,
            body=body,
            headers=headers,
            timeout=timeout,
            redirect=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        return expression.Error(_problem(codes.STORE_UNREACHABLE, path, error))
    except (urllib3.exceptions.HTTPError, OSError) as error:
        # The store may have received the request.
        code = codes.STORE_UNREACHABLE
        if method == 'PUT':
            code = codes.STORE_ANSWER_LOST
        return expression.Error(_problem(code, path, error))
    return expression.Ok(response)


def _status_problem(
    path: str, response: urllib3.BaseHTTPResponse, write: bool = False
) -> codes.Problem:
    detail = f'status {response.status}'
    if response.status == 503:
        return codes.Problem(codes.STORE_UNREACHABLE, path, detail)
    if response.status >= 500:
        # Other 5xx responses leave open whether a write took effect.
        code = codes.STORE_ANSWER_LOST if write else codes.STORE_UNREACHABLE
        return codes.Problem(code, path, detail)
    if response.status >= 400:
        return codes.Problem(codes.STORE_REFUSED, path, detail)
    code = codes.STORE_ANSWER_LOST if write else codes.STORE_BAD_ANSWER
    return codes.Problem(code, path, detail)


def _conflict(path: str, expected: int, found: int) -> codes.Problem:
    return codes.Problem(
        codes.STORE_CONFLICT,
        path,
        f'expected version {expected}, found {found}',
    )


def _bad_response(path: str, detail: str) -> codes.Problem:
    return codes.Problem(codes.STORE_BAD_ANSWER, path, detail)


def _problem(code: codes.Code, path: str, error: Exception) -> codes.Problem:
    return codes.Problem(code, path, f'{type(error).__name__}: {error}')


def _version_of(response: urllib3.BaseHTTPResponse) -> int | None:
    tag = response.headers.get('ETag', '')
    digits = tag[1:-1] if tag[:1] == '"' == tag[-1:] else ''
    return int(digits) if digits.isascii() and digits.isdigit() else None


def _object_path(kind: str, name: str) -> str:
    return f'/objects/{_quote(kind)}/{_quote(name)}'


def _quote(text: str) -> str:
    return parse.quote(text, safe='')
