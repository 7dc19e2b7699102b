"""Parsing of the settings file that the platform gives to a process."""

import ipaddress
import math
import os
import re

from amaranthcrank.router import model

_ADDRESS = re.compile(r'(?P<ip>[0-9.]{7,15}):(?P<port>[0-9]{1,5})')
# Stands for bytes that are not UTF-8.
_REPLACEMENT = '\ufffd'


class SettingsError(Exception):
    """A field of the settings file is missing or malformed."""


def read(path: str | os.PathLike[str]) -> model.HostSettings:
    """Read and parse a settings file.

    Bytes that are not UTF-8 only matter in fields that are used.

    Args:
      path: The path of the file.

    Raises:
      OSError: The file cannot be read.
      SettingsError: A field is missing or malformed.
    """
    with open(path, encoding='utf-8', errors='replace') as file:
        return parse(file.read())


def parse(text: str) -> model.HostSettings:
    """Parse a settings file with lines of the form `a.b=value`.

    Args:
      text: The content of the file.

    Raises:
      SettingsError: A field is missing or malformed.
    """
    fields = {}
    for line in text.splitlines():
        name, found, value = line.strip().partition('=')
        if not found or name.startswith('#'):
            continue
        fields[name] = value
    try:
        return _settings(fields)
    except KeyError as error:
        raise SettingsError(f'field {error.args[0]} is missing') from error
    except ValueError as error:
        raise SettingsError(f'malformed field: {error}') from error


def _settings(fields: dict[str, str]) -> model.HostSettings:
    first_port, last_port = fields['network.internalPorts'].split(',')
    if int(last_port) <= int(first_port):
        raise ValueError('network.internalPorts is not two ascending ports')
    prefix = 'network.zones.'
    region_by_domain = {
        _text(name.removeprefix(prefix)): _text(value)
        for name, value in fields.items()
        if name.startswith(prefix)
    }
    return model.HostSettings(
        host_id=_text(fields['self.nodeName']),
        ip=_text(fields['self.ip']),
        failure_domain=_text(fields['self.zone']),
        region=_text(fields['self.region']),
        region_by_domain=region_by_domain,
        listen_address=parse_address(fields['network.listen.front']),
        readiness_address=parse_address(fields['network.listen.readiness']),
        peer_port=int(first_port),
        metrics_port=int(first_port) + 1,
        store=parse_address(fields['platform.platform.address']),
        heartbeat_s=float(fields['platform.heartbeatMs']) / 1000,
        max_descriptors=int(fields['self.limits.maxFds']),
        memory_bytes=int(fields['self.limits.memoryMb']) * 1024 * 1024,
        bounds=_bounds(fields),
    )


def _text(value: str) -> str:
    if _REPLACEMENT in value:
        raise ValueError(f'{value[:40]!r} was not UTF-8')
    return value


def _bounds(fields: dict[str, str]) -> model.Bounds:
    prefix = 'terms.bounds.'
    evacuation_ms = _optional_amount(fields, prefix + 'evacMs')
    return model.Bounds(
        drain_s=float(fields[prefix + 'drainMs']) / 1000,
        settle_s=float(fields[prefix + 'stableWindowMs']) / 1000,
        grace_s=float(fields[prefix + 'graceS']),
        retry_ratio=float(fields[prefix + 'retryBudgetRatio']),
        retry_window_s=float(fields[prefix + 'budgetWindowS']),
        retry_floor=float(fields[prefix + 'budgetMinRetries']),
        grant_max_s=float(fields[prefix + 'holdMaxMs']) / 1000,
        evacuation_s=(None if evacuation_ms is None else evacuation_ms / 1000),
        cold_overshoot=_optional_amount(fields, prefix + 'coldOvershoot'),
        cold_slack=_optional_amount(fields, prefix + 'coldSlack'),
    )


def _optional_amount(fields: dict[str, str], name: str) -> float | None:
    """Return a number of at least 0, or None if the field has no value.

    Fields of features that are not in use may be missing or empty.
    """
    text = fields.get(name, '')
    if not text:
        return None
    value = float(text)
    if not 0 <= value < math.inf:
        raise ValueError(f'{name} is not a number from 0')
    return value


def parse_address(text: str) -> model.Address:
    """Parse `ip:port`.

    Raises:
      ValueError: The text is not an IPv4 address with a port.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise ValueError(f'{text[:40]!r} is not ip:port')
    ip = str(ipaddress.IPv4Address(match['ip']))
    port = int(match['port'])
    if not 0 < port < 65536:
        raise ValueError(f'{text!r} has a port outside 1 to 65535')
    return model.Address(ip, port)
