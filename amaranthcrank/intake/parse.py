"""Validates a caller's HTTP request and builds the internal request."""

from collections import abc
import re
from urllib import parse

from amaranthcrank.core import codes
from amaranthcrank.core import model

METHODS = frozenset(('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'))
SAFE_METHODS = frozenset(('GET', 'HEAD'))
MAX_CALLER_BYTES = 128
MAX_HEADERS = 64
MAX_HEADER_BYTES = 16 * 1024

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Headers that this host reads or sets itself and does not forward. A caller
# whose own X-Fence or X-Grant-Incarnation reached the upstream would bypass
# the upstream's checks.
_RESERVED_HEADERS = frozenset(
    (
        'host',
        'content-length',
        'expect',
        'traceparent',
        'x-caller-id',
        'x-deadline-ms',
        'x-fence',
        'x-grant-incarnation',
        'x-not-run',
        'x-request-deadline-ms',
        'x-request-id',
        'x-request-rank',
        'x-request-repeatable',
        'x-slot',
    )
)
_ID = re.compile(r'([0-9]{1,15})-[A-Za-z0-9_-]{8,64}')
_SERVICE = re.compile(r'[A-Za-z0-9._-]{1,64}')
_BAD_PERCENT = re.compile(r'%(?![0-9A-Fa-f]{2})')
_QUERY = re.compile(r'[!-~]*')
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9a-z-]+")
_BAD_VALUE = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')
_PRINTABLE = re.compile(r'[!-~]+')
_TRACEPARENT = re.compile(r'[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')

_Problems = list[codes.Problem]


def parse_request(
    method: str,
    raw_path: str,
    query: str,
    header_by_name: abc.Mapping[str, str],
    body: bytes,
    remote_address: str,
    now_ms: int,
    new_id: str,
    services: abc.Container[str] | None,
) -> tuple[model.Request | None, tuple[codes.Problem, ...]]:
    """Validate a caller's request.

    Args:
      method: The HTTP method.
      raw_path: The path as received, still percent-encoded.
      query: The query string without the question mark.
      header_by_name: The headers by lower-case name.
      body: The whole body.
      remote_address: The address of the caller, used if it sends no caller id.
      now_ms: The Unix time of arrival in milliseconds.
      new_id: A new request id, used if a repeatable request has none.
      services: The names of known services; None accepts any name.

    Returns:
      The request and no problems, or None and every problem found.
    """
    problems: _Problems = []
    if method not in METHODS:
        _add_problem(problems, codes.BAD_METHOD, 'method', method)
    service, key = _parse_path(raw_path, services, problems)
    if not _QUERY.fullmatch(query):
        _add_problem(problems, codes.BAD_QUERY, 'query', query)
    rank = header_by_name.get('x-request-rank', model.NORMAL)
    if rank not in model.RANKS:
        _add_problem(problems, codes.BAD_RANK, 'X-Request-Rank', rank)
    deadline_ms = _parse_deadline(header_by_name, problems)
    repeatable = _parse_repeatable(method, header_by_name, problems)
    request_id, issued_at_ms = _parse_id(
        header_by_name.get('x-request-id'),
        repeatable,
        now_ms,
        new_id,
        problems,
    )
    caller = header_by_name.get('x-caller-id', remote_address)
    if len(caller) > MAX_CALLER_BYTES or not _PRINTABLE.fullmatch(caller):
        _add_problem(problems, codes.BAD_CALLER_ID, 'X-Caller-Id', caller)
    headers = _forwarded_headers(header_by_name, problems)
    if len(body) > model.MAX_BODY_BYTES:
        _add_problem(
            problems, codes.BODY_TOO_LARGE, 'body', f'{len(body)} bytes'
        )
    if problems:
        return None, tuple(problems)
    # W3C Trace Context requires that a malformed traceparent is ignored.
    traceparent = header_by_name.get('traceparent', '')
    if not _TRACEPARENT.fullmatch(traceparent):
        traceparent = ''
    return model.Request(
        request_id=request_id,
        issued_at_ms=issued_at_ms,
        service=service,
        key=key,
        rank=rank,
        repeatable=repeatable,
        deadline_ms=deadline_ms,
        caller=caller,
        method=method,
        query=query,
        headers=headers,
        body=body,
        traceparent=traceparent,
    ), ()


def echoed_id(header_by_name: abc.Mapping[str, str]) -> str:
    """Return the caller's request id if it is well-formed, else ''."""
    given = header_by_name.get('x-request-id', '')
    return given if _ID.fullmatch(given) else ''


def _add_problem(
    problems: _Problems, code: codes.Code, place: str, found: str
) -> None:
    problems.append(codes.Problem(code, place, f'found {found[:80]!r}'))


def _parse_path(
    raw_path: str,
    services: abc.Container[str] | None,
    problems: _Problems,
) -> tuple[str, str]:
    parts = raw_path.split('/')
    if len(parts) not in (3, 4) or parts[:2] != ['', 'v1']:
        _add_problem(problems, codes.BAD_PATH, 'path', raw_path)
        return '', ''
    service = parse.unquote(parts[2])
    if not _SERVICE.fullmatch(service):
        _add_problem(problems, codes.BAD_PATH, 'service', service)
    elif services is not None and service not in services:
        _add_problem(problems, codes.UNKNOWN_SERVICE, 'service', service)
    raw_key = parts[3] if len(parts) == 4 else ''
    if not raw_key:
        _add_problem(problems, codes.MISSING_KEY, 'key', raw_key)
        return service, ''
    key_bytes = parse.unquote_to_bytes(raw_key.encode('latin-1', 'replace'))
    if len(key_bytes) > model.MAX_KEY_BYTES:
        problems.append(
            codes.Problem(
                codes.KEY_TOO_LONG, 'key', f'found {len(key_bytes)} bytes'
            )
        )
    try:
        key = key_bytes.decode('utf-8')
    except UnicodeDecodeError:
        key = ''
    if not key or _BAD_PERCENT.search(raw_key):
        _add_problem(problems, codes.BAD_KEY, 'key', raw_key)
    return service, key


def _parse_deadline(
    header_by_name: abc.Mapping[str, str], problems: _Problems
) -> int:
    given = header_by_name.get('x-request-deadline-ms')
    if given is None:
        return model.DEFAULT_DEADLINE_MS
    accepted = given.isascii() and given.isdigit() and len(given) <= 5
    if not accepted or not 1 <= int(given) <= model.MAX_DEADLINE_MS:
        _add_problem(
            problems, codes.BAD_DEADLINE, 'X-Request-Deadline-Ms', given
        )
        return model.DEFAULT_DEADLINE_MS
    return int(given)


def _parse_repeatable(
    method: str, header_by_name: abc.Mapping[str, str], problems: _Problems
) -> bool:
    given = header_by_name.get('x-request-repeatable')
    if given is None:
        return method in SAFE_METHODS
    if given not in ('true', 'false'):
        _add_problem(
            problems, codes.BAD_REPEATABLE, 'X-Request-Repeatable', given
        )
        return True
    return given == 'true'


def _parse_id(
    given: str | None,
    repeatable: bool,
    now_ms: int,
    new_id: str,
    problems: _Problems,
) -> tuple[str, int]:
    if given is None:
        if not repeatable:
            _add_problem(problems, codes.MISSING_ID, 'X-Request-Id', '')
        return new_id, now_ms
    match = _ID.fullmatch(given)
    if match is None:
        _add_problem(problems, codes.BAD_ID, 'X-Request-Id', given)
        return given, now_ms
    issued_at_ms = int(match.group(1))
    if issued_at_ms > now_ms + model.ID_AHEAD_MARGIN_MS:
        _add_problem(problems, codes.ID_AHEAD, 'X-Request-Id', given)
    return given, issued_at_ms


def _forwarded_headers(
    header_by_name: abc.Mapping[str, str], problems: _Problems
) -> tuple[tuple[str, str], ...]:
    listed = header_by_name.get('connection', '').lower().split(',')
    connection_headers = {name.strip() for name in listed}
    headers = []
    size = 0
    for name, value in header_by_name.items():
        if not _HEADER_NAME.fullmatch(name) or _BAD_VALUE.search(value):
            _add_problem(problems, codes.BAD_HEADER, name[:80], value)
            continue
        if (
            name in HOP_BY_HOP
            or name in _RESERVED_HEADERS
            or name in connection_headers
        ):
            continue
        size += len(name) + len(value)
        headers.append((name, value))
    if size > MAX_HEADER_BYTES or len(headers) > MAX_HEADERS:
        problems.append(
            codes.Problem(
                codes.HEADERS_TOO_LARGE,
                'headers',
                f'found {len(headers)} headers of {size} bytes; accepted are '
                f'{MAX_HEADERS} of {MAX_HEADER_BYTES} bytes',
            )
        )
    return tuple(headers)
