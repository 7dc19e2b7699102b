"""Parses the platform's list of hosts, which may be out of date."""

import json
import typing

from amaranthcrank.core import codes

LIVE = 'live'
LEAVING = 'leaving'


class Host(typing.NamedTuple):
    """One host of the platform's list.

    Attributes:
      host: The host id.
      address: The address as host:port.
      failure_domain: The failure domain of the host.
    """

    host: str
    address: str
    failure_domain: str


class HostList(typing.NamedTuple):
    """The platform's list of hosts.

    Attributes:
      live: Running hosts, ordered by id.
      leaving: Hosts that are about to be shut down, ordered by id.
    """

    live: tuple[Host, ...]
    leaving: tuple[Host, ...]


EMPTY = HostList((), ())


def parse_host_list(
    body: bytes,
) -> tuple[HostList, tuple[codes.Problem, ...]]:
    """Parse the answer to GET /hosts.

    An invalid entry is skipped; the others still count.

    Args:
      body: The JSON document.

    Returns:
      The hosts and the problems found.
    """
    try:
        content = json.loads(body)
    except ValueError:
        return EMPTY, (_problem('', 'not a JSON document'),)
    entries = content.get('hosts') if isinstance(content, dict) else None
    if not isinstance(entries, list):
        return EMPTY, (_problem('hosts', 'not a list'),)
    hosts_by_state: dict[str, list[Host]] = {LIVE: [], LEAVING: []}
    errors = []
    seen = set()
    for index, entry in enumerate(entries):
        error = _entry_error(entry, seen)
        if error:
            errors.append(_problem(f'hosts[{index}]', error))
            continue
        seen.add(entry['id'])
        hosts_by_state[entry['state']].append(
            Host(entry['id'], entry['address'], entry['failure_domain'])
        )
    hosts = HostList(
        tuple(sorted(hosts_by_state[LIVE])),
        tuple(sorted(hosts_by_state[LEAVING])),
    )
    return hosts, tuple(errors)


def _entry_error(entry: typing.Any, seen: set[str]) -> str:
    if not isinstance(entry, dict):
        return 'not an object'
    for name in ('id', 'address', 'failure_domain', 'state'):
        if not isinstance(entry.get(name), str) or not entry[name]:
            return f'{name} is missing or not a text'
    if entry['state'] not in (LIVE, LEAVING):
        return f'state is {entry["state"]!r}; accepted are live and leaving'
    if entry['id'] in seen:
        return f'id {entry["id"]!r} is listed twice'
    return ''


def _problem(place: str, detail: str) -> codes.Problem:
    return codes.Problem(codes.BAD_HOST_LIST, place, detail)
