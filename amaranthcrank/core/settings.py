"""Settings of the daemon, from flags and environment variables.

SETTINGS is the single definition of all settings: reading, display, the help
text and docs/settings.md are derived from it.
"""

from collections import abc
import math
import os
import re
import typing
import urllib.parse

from amaranthcrank.core import codes
from amaranthcrank.core import names

LOG_LEVELS = ('debug', 'info', 'warning', 'error')
LOG_FORMATS = ('text', 'json')
MASK = '****'

# Shorter keys are open to a brute-force search against a recorded handshake.
MIN_KEY_CHARACTERS = 16
MAX_CALLER_THREADS = 1024
MAX_CONNECTIONS = 65_536
MAX_DRAIN_S = 600.0

_KEY = re.compile(r'[!-+\--~]{%d,256}' % MIN_KEY_CHARACTERS)


class Settings(typing.NamedTuple):
    """The validated settings of one daemon.

    Attributes:
      host_id: The id of this entry host.
      cell: The cell of the host; defaults to the failure domain.
      failure_domain: The failure domain of the host.
      region: The region of the host.
      caller_address: (host, port) to listen on for callers; port may be 0.
      peer_address: (host, port) to listen on for other hosts.
      operator_address: (host, port) to listen on for operators.
      peers: The addresses of other hosts by id, used until the host list is
        read from the store; the only source while the store is down.
      store_url: The base URL of the platform's store, without a trailing
        slash.
      cluster_keys: Keys shared by the hosts: the current one, then the
        previous one during rotation.
      operator_keys: Keys accepted from operators, in the same order.
      log_level: One of LOG_LEVELS.
      log_format: One of LOG_FORMATS.
      otlp_endpoint: Base URL of an OTLP/HTTP collector, or empty.
      caller_threads: Worker threads that serve callers.
      max_connections: Maximum number of concurrent caller connections.
      drain_s: How long a shutdown waits for requests in flight.
      ready_file: File to write the bound addresses to as JSON, or empty.
    """

    host_id: str
    cell: str
    failure_domain: str
    region: str
    caller_address: tuple[str, int]
    peer_address: tuple[str, int]
    operator_address: tuple[str, int]
    peers: dict[str, tuple[str, int]]
    store_url: str
    cluster_keys: tuple[str, ...]
    operator_keys: tuple[str, ...]
    log_level: str
    log_format: str
    otlp_endpoint: str
    caller_threads: int
    max_connections: int
    drain_s: float
    ready_file: str


class Setting(typing.NamedTuple):
    """Definition of one setting.

    Attributes:
      name: The field of Settings.
      default: The default as text, None if a value is required.
      parse: Converts text to the value; raises ValueError if it is invalid.
      accepted: Human-readable description of the accepted values.
      code: The result code for an invalid value.
      secret: Whether the value is masked in all output.
      purpose: The purpose in one phrase.
    """

    name: str
    default: str | None
    parse: abc.Callable[[str], typing.Any]
    accepted: str
    code: codes.Code
    secret: bool
    purpose: str

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """The environment variable."""
        return 'AMARANTHCRANK_' + self.name.upper()


def _parse_name(text: str) -> str:
    if not names.is_name(text):
        raise ValueError(text)
    return text


def _parse_address(text: str) -> tuple[str, int]:
    address = names.split_address(text)
    if address is None:
        raise ValueError(text)
    return address


def _parse_peers(text: str) -> dict[str, tuple[str, int]]:
    address_by_host = {}
    for entry in text.split(',') if text else ():
        host, _, address = entry.partition('=')
        address_by_host[_parse_name(host)] = _parse_address(address)
    return address_by_host


def parse_url(text: str) -> str:
    """Validate a base URL and remove its trailing slash.

    Raises:
      ValueError: The URL is not valid.
    """
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ('http', 'https'):
        raise ValueError(text)
    if parts.query or parts.fragment or not text.isprintable():
        raise ValueError(text)
    address = names.split_address(parts.netloc)
    if address is None and not names.is_host(parts.netloc):
        raise ValueError(text)
    if address is not None and address[1] == 0:
        raise ValueError(text)
    if ' ' in text:
        raise ValueError(text)
    return text.rstrip('/')


def _parse_optional_url(text: str) -> str:
    return parse_url(text) if text else ''


def _parse_keys(text: str) -> tuple[str, ...]:
    keys = tuple(text.split(','))
    if len(keys) > 2 or len(set(keys)) < len(keys):
        raise ValueError('number of keys')
    if not all(_KEY.fullmatch(each) for each in keys):
        raise ValueError('form of a key')
    return keys


def _choice_parser(words: tuple[str, ...]) -> abc.Callable[[str], str]:
    def parse(text: str) -> str:
        if text not in words:
            raise ValueError(text)
        return text

    return parse


def _integer_parser(low: int, high: int) -> abc.Callable[[str], int]:
    def parse(text: str) -> int:
        if not re.fullmatch(r'[0-9]{1,9}', text):
            raise ValueError(text)
        if not low <= int(text) <= high:
            raise ValueError(text)
        return int(text)

    return parse


def _parse_seconds(text: str) -> float:
    value = float(text)
    if not math.isfinite(value) or not 0 <= value <= MAX_DRAIN_S:
        raise ValueError(text)
    return value


def _parse_path(text: str) -> str:
    if not text:
        return ''
    if text.endswith('/') or '\0' in text:
        raise ValueError(text)
    if not os.path.isdir(os.path.dirname(text) or '.'):
        raise ValueError(text)
    return text


_ADDRESS_TEXT = 'host:port with a port from 0 to 65535 (0: any free port)'
URL_TEXT = 'an http or https URL without user, query and fragment'
_KEYS_TEXT = (
    f'CURRENT or CURRENT,PREVIOUS; each {MIN_KEY_CHARACTERS} to 256 '
    'printable characters without comma and space, not the same twice'
)

SETTINGS: tuple[Setting, ...] = (
    Setting(
        'host_id',
        None,
        _parse_name,
        names.NAME_TEXT,
        codes.SETTING_BAD_NAME,
        False,
        'id of this entry host',
    ),
    Setting(
        'cell',
        '',
        lambda text: _parse_name(text) if text else '',
        names.NAME_TEXT,
        codes.SETTING_BAD_NAME,
        False,
        'cell of this host; the failure domain unless set',
    ),
    Setting(
        'failure_domain',
        None,
        _parse_name,
        names.NAME_TEXT,
        codes.SETTING_BAD_NAME,
        False,
        'failure domain of this host',
    ),
    Setting(
        'region',
        None,
        _parse_name,
        names.NAME_TEXT,
        codes.SETTING_BAD_NAME,
        False,
        'region of this host',
    ),
    Setting(
        'caller_address',
        '127.0.0.1:8080',
        _parse_address,
        _ADDRESS_TEXT,
        codes.SETTING_BAD_ADDRESS,
        False,
        'where callers connect',
    ),
    Setting(
        'peer_address',
        '127.0.0.1:8081',
        _parse_address,
        _ADDRESS_TEXT,
        codes.SETTING_BAD_ADDRESS,
        False,
        'where other entry hosts connect',
    ),
    Setting(
        'operator_address',
        '127.0.0.1:8082',
        _parse_address,
        _ADDRESS_TEXT,
        codes.SETTING_BAD_ADDRESS,
        False,
        'where operators connect',
    ),
    Setting(
        'peers',
        '',
        _parse_peers,
        'ID=HOST:PORT, separated by commas',
        codes.SETTING_BAD_ADDRESS,
        False,
        'addresses of other entry hosts until the host list is read',
    ),
    Setting(
        'store_url',
        None,
        parse_url,
        URL_TEXT,
        codes.SETTING_BAD_URL,
        False,
        "base URL of the platform's store",
    ),
    Setting(
        'cluster_keys',
        None,
        _parse_keys,
        _KEYS_TEXT,
        codes.SETTING_BAD_KEYS,
        True,
        'keys that hosts share to authenticate links',
    ),
    Setting(
        'operator_keys',
        None,
        _parse_keys,
        _KEYS_TEXT,
        codes.SETTING_BAD_KEYS,
        True,
        'keys that operators present',
    ),
    Setting(
        'log_level',
        'info',
        _choice_parser(LOG_LEVELS),
        ', '.join(LOG_LEVELS),
        codes.SETTING_BAD_CHOICE,
        False,
        'least level that is logged',
    ),
    Setting(
        'log_format',
        'text',
        _choice_parser(LOG_FORMATS),
        ', '.join(LOG_FORMATS),
        codes.SETTING_BAD_CHOICE,
        False,
        'form of a log line',
    ),
    Setting(
        'otlp_endpoint',
        '',
        _parse_optional_url,
        URL_TEXT + ', or empty',
        codes.SETTING_BAD_URL,
        False,
        'base URL of an OTLP/HTTP collector for traces; empty: none',
    ),
    Setting(
        'caller_threads',
        '64',
        _integer_parser(1, MAX_CALLER_THREADS),
        f'an integer from 1 to {MAX_CALLER_THREADS}',
        codes.SETTING_BAD_NUMBER,
        False,
        'threads that serve callers',
    ),
    Setting(
        'max_connections',
        '1024',
        _integer_parser(1, MAX_CONNECTIONS),
        f'an integer from 1 to {MAX_CONNECTIONS}',
        codes.SETTING_BAD_NUMBER,
        False,
        'connections of callers held at once',
    ),
    Setting(
        'drain_s',
        '30',
        _parse_seconds,
        f'a number of seconds from 0 to {MAX_DRAIN_S:g}',
        codes.SETTING_BAD_NUMBER,
        False,
        'seconds a shutdown waits for requests in flight',
    ),
    Setting(
        'ready_file',
        '',
        _parse_path,
        'the path of a file in an existing directory, or empty',
        codes.SETTING_BAD_PATH,
        False,
        'file that gets the bound addresses as JSON; empty: none',
    ),
)
SETTING_BY_NAME = {row.name: row for row in SETTINGS}


def read_settings(
    flags: abc.Mapping[str, str | None], environ: abc.Mapping[str, str]
) -> tuple[Settings | None, tuple[codes.Problem, ...]]:
    """Read and validate all settings.

    Args:
      flags: The values of flags by setting name (`host_id`); None if a flag
        is not given.
      environ: The environment; flags take precedence. An empty variable
        counts as not set.

    Returns:
      The settings, or None and all problems found.
    """
    values: dict[str, typing.Any] = {}
    problems: list[codes.Problem] = []
    for row in SETTINGS:
        text, source = _text_and_source(row, flags, environ)
        if text is None:
            detail = f'set {row.flag} or {row.variable} to {row.accepted}'
            problems.append(
                codes.Problem(codes.SETTING_MISSING, row.name, detail)
            )
            continue
        try:
            values[row.name] = row.parse(text)
        except ValueError:
            display_text = MASK if row.secret else repr(text)
            detail = f'{display_text} from {source}; accepted: {row.accepted}'
            problems.append(codes.Problem(row.code, row.name, detail))
    problems.extend(_check_combinations(values))
    if problems:
        return None, tuple(problems)
    values['cell'] = values['cell'] or values['failure_domain']
    return Settings(**values), ()


def show_settings(
    flags: abc.Mapping[str, str | None], environ: abc.Mapping[str, str]
) -> tuple[str, ...]:
    """Describe each setting and the source of its value.

    Args:
      flags: As for read_settings.
      environ: As for read_settings.

    Returns:
      One line per setting, with secrets masked.
    """
    lines = []
    for row in SETTINGS:
        text, source = _text_and_source(row, flags, environ)
        if row.name == 'cell' and not text:
            text, source = _text_and_source(
                SETTING_BY_NAME['failure_domain'], flags, environ
            )
            source = 'failure_domain'
        if text is None:
            lines.append(f'{row.name} is not set')
            continue
        display_text = MASK if row.secret else text
        lines.append(f'{row.name}={display_text} ({source})')
    return tuple(lines)


def _text_and_source(
    row: Setting,
    flags: abc.Mapping[str, str | None],
    environ: abc.Mapping[str, str],
) -> tuple[str | None, str]:
    """Return the text of one setting and the name of its source."""
    flag_value = flags.get(row.name)
    if flag_value is not None:
        return flag_value, row.flag
    if environ.get(row.variable):
        return environ[row.variable], row.variable
    return row.default, 'default'


def _check_combinations(
    values: abc.Mapping[str, typing.Any],
) -> abc.Iterator[codes.Problem]:
    """Find conflicts between settings that are valid individually."""
    listeners = ('caller_address', 'peer_address', 'operator_address')
    name_by_address: dict[tuple[str, int], str] = {}
    for name in listeners:
        address = values.get(name)
        if address is None or address[1] == 0:
            continue
        first_name = name_by_address.setdefault(address, name)
        if first_name != name:
            yield codes.Problem(
                codes.SETTING_SAME_ADDRESS,
                name,
                f'{address[0]}:{address[1]} is also {first_name}; '
                'accepted: a different address, or port 0',
            )
    shared_keys = set(values.get('cluster_keys', ())).intersection(
        values.get('operator_keys', ())
    )
    if shared_keys:
        yield codes.Problem(
            codes.SETTING_SHARED_KEY,
            'operator_keys',
            f'{MASK} is also in cluster_keys; accepted: keys of their own',
        )
