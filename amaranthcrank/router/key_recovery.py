"""Recovers a key map of which the store may have lost the last versions.

Such a map names former owners, and its token may be below those that targets
have seen. What a host still knows of later versions says who may have got the
keys since. Pure functions.
"""

import typing

from amaranthcrank.router import key_ranges
from amaranthcrank.router import model

# Added to the token of a map for each restore of the store since it was
# written. It is above the number of tokens that can have been used in what the
# store has lost: a second takes some thousands at most.
TOKENS_PER_RESTORE = 2**20


def recover(
    stored: model.KeyMap, known: model.KeyMap | None, restores: int
) -> model.KeyMap:
    """Return a map in which all keys move, with tokens that nobody has used.

    All keys stay with the owner that got them last, as far as is known. All
    that are known to have owned them count among their former holders.

    Args:
      stored: The map as the store has it.
      known: The newest map that this host knows, or None.
      restores: How often the store may have lost writes of the map.
    """
    versions = [stored] if known is None else [stored, known]
    fence = max(map(highest_fence, versions))
    addresses: dict[str, model.Address] = {}
    for version in reversed(versions):
        addresses.update(version.address_by_holder)
    return stored._replace(
        fence=fence + restores * TOKENS_PER_RESTORE,
        ranges=_all_moving([version.ranges for version in versions]),
        address_by_holder=addresses,
        unsettled=tuple(
            sorted({hold for each in versions for hold in each.unsettled})
        ),
    )


def keep_owners(
    stored: model.KeyMap, known: model.KeyMap | None, restores: int
) -> model.KeyMap:
    """Return a map in which the known owners keep their keys and tokens.

    All other keys move. The arguments are those of `recover`.
    """
    recovered = recover(stored, known, restores)
    if known is None:
        return recovered
    owned = [part for part in known.ranges if not part.moving]
    others = key_ranges.subtract_keys(recovered.ranges, owned)
    return recovered._replace(ranges=tuple(sorted([*owned, *others])))


def highest_fence(key_map: model.KeyMap) -> int:
    """Return the highest token in a map, also if only ranges were updated."""
    return max([key_map.fence, *(part.fence for part in key_map.ranges)])


def _all_moving(
    versions: typing.Sequence[typing.Sequence[model.KeyRange]],
) -> tuple[model.KeyRange, ...]:
    """Join versions of the ranges of a map, and mark all as moving."""
    edges = {part.first for ranges in versions for part in ranges}
    edges |= {part.last + 1 for ranges in versions for part in ranges}
    result: list[model.KeyRange] = []
    for first, end in _pairs(sorted(edges)):
        found = [
            part
            for ranges in versions
            for part in ranges
            if part.first <= first <= part.last
        ]
        if not found:
            continue
        latest = max(found, key=lambda part: part.fence)
        holders: list[str] = []
        for part in found:
            holders += [part.holder, *part.former_holders.split()]
        holders.remove(latest.holder)
        piece = latest._replace(
            first=first,
            last=end - 1,
            moving=True,
            former_holders=' '.join(dict.fromkeys(holders)),
        )
        if result and _is_continued(result[-1], piece):
            result[-1] = result[-1]._replace(last=piece.last)
            continue
        result.append(piece)
    return tuple(result)


def _pairs(edges: list[int]) -> typing.Iterator[tuple[int, int]]:
    return zip(edges, edges[1:], strict=False)


def _is_continued(part: model.KeyRange, following: model.KeyRange) -> bool:
    """Return whether two parts are adjacent and have the same holders.

    Their tokens do not matter, as both are to get new ones.
    """
    if part.last + 1 != following.first:
        return False
    if part.holder != following.holder:
        return False
    return part.former_holders == following.former_holders
