"""Validation of names and addresses in settings and tickets."""

import re

NAME_TEXT = '1 to 64 of A-Z a-z 0-9 . _ -, starting with a letter or digit'
MAX_PORT = 65_535

# Hash inputs join names with `|` and `/`, so names may contain neither.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
# A host name or IP address. urlsplit alone accepts almost any character.
_HOST = re.compile(r'[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]+\]')


def is_name(text: str) -> bool:
    """Return whether a text may name a host, cell, service or target."""
    return _NAME.fullmatch(text) is not None


def split_address(text: str) -> tuple[str, int] | None:
    """Split host:port or [IPv6]:port; return None for anything else."""
    host, colon, port = text.rpartition(':')
    if not colon or not is_host(host):
        return None
    if not re.fullmatch(r'[0-9]{1,5}', port) or int(port) > MAX_PORT:
        return None
    return host.strip('[]'), int(port)


def is_host(text: str) -> bool:
    """Return whether a text is a host name, IPv4 or [IPv6] address."""
    return _HOST.fullmatch(text) is not None
