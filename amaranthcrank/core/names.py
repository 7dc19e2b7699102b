"""Names and addresses, as settings and tickets accept them."""

import re
import urllib.parse

NAME_TEXT = '1 to 64 of A-Z a-z 0-9 . _ -, starting with a letter or digit'
MAX_PORT = 65_535

# Hashing joins names with `|` and `/`, so neither may be part of a name.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')


def is_name(text: str) -> bool:
    """Tell whether a text may name a host, cell, service or target."""
    return _NAME.fullmatch(text) is not None


def split_address(text: str) -> tuple[str, int] | None:
    """Split host:port or [IPv6]:port; None for anything else."""
    if '@' in text or any(each.isspace() for each in text):
        return None
    try:
        parts = urllib.parse.urlsplit('//' + text)
        port = parts.port
    except ValueError:
        return None
    if port is None or not parts.hostname or parts.netloc != text:
        return None
    return parts.hostname, port
