"""Changes the ranges of a key map by moves. Pure functions."""

import typing

from amaranthcrank.router import key_plan
from amaranthcrank.router import model

# The tokens below that of a moved range which are left to fence off each of
# its former holders. An attempt that gets no response may arrive after later
# ones, so each attempt has a token of its own.
FENCES_PER_HOLDER = 8

_Keys = typing.TypeVar('_Keys', model.KeyRange, model.UnsettledHold)


def apply(
    ranges: typing.Sequence[model.KeyRange],
    moves: typing.Sequence[key_plan.Move],
    fence: int,
) -> tuple[model.KeyRange, ...]:
    """Return the ranges after the start of moves.

    Args:
      ranges: The present ranges, in order.
      moves: Disjoint moves.
      fence: The fencing token of all moved keys, higher than all before.

    Returns:
      All ranges, in order, with the moved ones marked as moving.
    """
    result: list[model.KeyRange] = []
    for key_range in ranges:
        result += subtract(key_range, moves)
    for move in moves:
        parts = _split_by_former_holders(ranges, move)
        for first, last, former_holders in parts:
            result.append(
                model.KeyRange(
                    first,
                    last,
                    move.owner.target_id,
                    move.owner.incarnation,
                    fence,
                    True,
                    former_holders,
                )
            )
    return tuple(sorted(result))


def next_fence(
    fence: int,
    ranges: typing.Sequence[model.KeyRange],
    moves: typing.Sequence[key_plan.Move],
) -> int:
    """Return the fencing token for moves.

    Those between the present token and this one are left to fence off the
    former holders.
    """
    most = 0
    for move in moves:
        for _, _, former_holders in _split_by_former_holders(ranges, move):
            most = max(most, len(former_holders.split()))
    return fence + most * FENCES_PER_HOLDER + 1


def renew_moving(
    ranges: typing.Sequence[model.KeyRange], fence: int
) -> tuple[tuple[model.KeyRange, ...], int]:
    """Give ranges that an earlier controller was moving a new token.

    Their new owners may have been granted them already, so these are among the
    targets that may hold them.

    Args:
      ranges: The present ranges, in order.
      fence: The highest token so far.

    Returns:
      The ranges, and the token of those that move; unchanged if none does.
    """
    holders_by_range = {
        key_range: list(
            dict.fromkeys(
                [key_range.holder, *key_range.former_holders.split()]
            )
        )
        for key_range in ranges
        if key_range.moving
    }
    if not holders_by_range:
        return tuple(ranges), fence
    most = max(map(len, holders_by_range.values()))
    fence += most * FENCES_PER_HOLDER + 1
    renewed = []
    for key_range in ranges:
        holders = holders_by_range.get(key_range)
        if holders is None:
            renewed.append(key_range)
            continue
        renewed.append(
            key_range._replace(fence=fence, former_holders=' '.join(holders))
        )
    return tuple(renewed), fence


def subtract(
    key_range: model.KeyRange,
    moves: typing.Sequence[key_plan.Move | model.KeyRange],
) -> list[model.KeyRange]:
    """Return the parts of a range that are in none of the moves."""
    return subtract_keys([key_range], moves)


def subtract_keys(
    kept: typing.Sequence[_Keys],
    removed: typing.Sequence[
        key_plan.Move | model.KeyRange | model.UnsettledHold
    ],
) -> list[_Keys]:
    """Return the parts of ranges whose keys are in none of those removed."""
    remaining = list(kept)
    for other in removed:
        parts = []
        for part in remaining:
            if other.last < part.first or part.last < other.first:
                parts.append(part)
                continue
            if part.first < other.first:
                parts.append(part._replace(last=other.first - 1))
            if other.last < part.last:
                parts.append(part._replace(first=other.last + 1))
        remaining = parts
    return remaining


def find_foreign_key(
    ranges: typing.Iterable[model.KeyRange], holder: str
) -> int | None:
    """Return a key that no incarnation of a holder's target is to have.

    Returns:
      None if the target owns, or is being freed of, all keys.
    """
    target_id, _ = model.split_holder(holder)
    for key_range in ranges:
        holders = [key_range.holder, *key_range.former_holders.split()]
        if all(model.split_holder(each)[0] != target_id for each in holders):
            return key_range.first
    return None


def _split_by_former_holders(
    ranges: typing.Sequence[model.KeyRange], move: key_plan.Move
) -> list[tuple[int, int, str]]:
    """Split a move into parts with the same former holders.

    Returns:
      The first key, the last key and the former holders of each part.
    """
    parts = []
    covered = move.first
    for key_range in ranges:
        first = max(move.first, key_range.first)
        last = min(move.last, key_range.last)
        if first > last:
            continue
        if covered < first:
            parts.append((covered, first - 1, ''))
        covered = last + 1
        holders = [key_range.holder]
        if key_range.moving and key_range.former_holders:
            holders += key_range.former_holders.split()
        parts.append((first, last, ' '.join(dict.fromkeys(holders))))
    if covered <= move.last:
        parts.append((covered, move.last, ''))
    return parts


def merge(
    ranges: typing.Sequence[model.KeyRange],
) -> tuple[model.KeyRange, ...]:
    """Join adjacent ranges with one owner and fencing token.

    Ranges that are moving are not joined.
    """
    result: list[model.KeyRange] = []
    for key_range in ranges:
        if result:
            last = result[-1]
            joined = last._replace(last=key_range.last)
            adjacent = last.last + 1 == key_range.first
            alike = last._replace(first=0, last=0) == key_range._replace(
                first=0, last=0
            )
            if adjacent and alike and not last.moving:
                result[-1] = joined
                continue
        result.append(key_range)
    return tuple(result)


def mark_completed(
    ranges: typing.Sequence[model.KeyRange],
    completed: typing.Iterable[model.KeyRange],
) -> tuple[model.KeyRange, ...]:
    """Return the ranges, of which the completed ones no longer move."""
    done = set(completed)
    return tuple(
        key_range._replace(moving=False, former_holders='')
        if key_range in done
        else key_range
        for key_range in ranges
    )


def mark_moving(
    ranges: typing.Sequence[model.KeyRange], moving: model.KeyRange
) -> tuple[model.KeyRange, ...]:
    """Return the ranges, of which one moves to the owner that it has."""
    return tuple(
        key_range._replace(moving=True) if key_range == moving else key_range
        for key_range in ranges
    )


def is_reassignment(
    ranges: tuple[model.KeyRange, ...],
    move: key_plan.Move,
    live: set[str],
) -> bool:
    """Return whether the owners of all keys of a move are gone."""
    for key_range in ranges:
        if key_range.last < move.first or move.last < key_range.first:
            continue
        if key_range.holder in live:
            return False
    return True
