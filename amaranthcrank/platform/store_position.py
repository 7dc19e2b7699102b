"""Positions in the store's history: an era, and a revision in it.

When the store comes back from an older copy, its era rises by one, and its
revisions go back and are given out again. So revisions compare only within an
era. A position is one number that compares by era first; without eras it is
the revision itself.
"""

import typing

from amaranthcrank.router import entry_checks
from amaranthcrank.router import headers as header_fields

# In all responses of a store that has eras.
ERA_HEADER = b'store-era'
# A store of a higher era has come back from a copy before. Where eras start is
# promised nowhere; if higher, a first start waits as after a restore.
FIRST_ERA = 1
REVISION_BITS = 40
MAX_REVISION = 2**REVISION_BITS - 1
# Positions stay integers that JSON decoders represent exactly.
MAX_ERA = 2 ** (53 - REVISION_BITS) - 1
_MAX_DIGITS = len(str(MAX_ERA))


def position(era: int, revision: int) -> int:
    """Return the position of a revision of an era."""
    return era << REVISION_BITS | revision


def era_of(at: int) -> int:
    """Return the era of a position."""
    return at >> REVISION_BITS


def revision_of(at: int) -> int:
    """Return the revision of a position within its era."""
    return at & MAX_REVISION


def decode_era(fields: header_fields.Headers) -> int | None:
    """Return the era that a response names; None if it names none."""
    value = header_fields.find(fields, ERA_HEADER)
    if value is None:
        return None
    digits = value.strip()
    if not digits.isdigit() or len(digits) > _MAX_DIGITS:
        return None
    era = int(digits)
    return era if era <= MAX_ERA else None


def locate(item: typing.Any, era: int) -> typing.Any:
    """Replace the revision of a stored object by its position.

    Args:
      item: The object, as decoded; a malformed one is left as it is.
      era: The era of the response that it came with.

    Returns:
      The same object.
    """
    metadata = item.get('metadata') if isinstance(item, dict) else None
    if not isinstance(metadata, dict):
        return item
    revision = metadata.get('rev')
    if entry_checks.is_revision(revision) and revision <= MAX_REVISION:
        metadata['rev'] = position(era, revision)
    return item
