"""Decoding of JSON bodies of which single values may be unreadable.

A list of objects may contain one by another writer that the standard decoder
rejects. Such a value is replaced, so that the rest of the body can be used.
"""

import json
import math
import re
import typing

# The deepest nesting of a value that is kept. The platform's own bodies have
# less than ten levels, and the standard decoder fails at several hundred.
MAX_DEPTH = 64
# The replacement of a value that is nested more deeply.
_OMITTED = 'null'
# Strings are matched as a whole, as they may contain brackets. Possessive
# quantifiers keep the time linear if the last string has no end.
_TOKEN = re.compile(r'"(?:[^"\\]++|\\.)*+"?|[\[{]|[\]}]', re.DOTALL)


def decode(data: bytes) -> typing.Any:
    """Decode a body.

    Values that are nested too deeply become None, integers with too many
    digits become infinity, and bytes that are not UTF-8 become replacement
    characters.

    Raises:
      ValueError: The body as a whole is not JSON.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = _omit_deep_values(data.decode('utf-8', 'replace'))
        return json.loads(text, parse_int=_parse_integer)


def _parse_integer(digits: str) -> int | float:
    try:
        return int(digits)
    except ValueError:
        # The standard limit of digits is exceeded.
        return math.inf


def _omit_deep_values(text: str) -> str:
    """Replace each value that is nested too deeply."""
    kept = []
    kept_until = 0
    depth = 0
    for token in _TOKEN.finditer(text):
        bracket = token.group()
        if bracket in ('[', '{'):
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.append(text[kept_until : token.start()])
                kept.append(_OMITTED)
            continue
        if bracket not in (']', '}'):
            continue
        if depth == MAX_DEPTH + 1:
            kept_until = token.end()
        depth -= 1
    if depth > MAX_DEPTH:
        raise ValueError('unbalanced brackets')
    kept.append(text[kept_until:])
    return ''.join(kept)
