"""Plans which target should own which keys. Pure functions.

Keys move only if their owner is gone, if the load of a target is far above
that of the others, or to a target without keys. Busy keys are often adjacent,
so the narrowest range that has the excess load is moved.
"""

import bisect
import typing

from amaranthcrank.router import model

# A target is overloaded if its utilisation exceeds the mean by this factor.
MAX_IMBALANCE = 1.35
# Below this utilisation a target serves its keys without queueing, whatever
# the load of the others.
BUSY_UTILISATION = 0.65
# Donors give load away down to this utilisation, and receivers take as much,
# if the mean is lower. Less would take more moves, of more keys, and most of
# the time.
FILL_UTILISATION = 0.6
# Load is moved at intervals, so that the effect of earlier moves is known, and
# sooner while requests wait for an owner that cannot do its work.
REBALANCE_INTERVAL_S = 1.0
OVERLOAD_INTERVAL_S = 0.5
OVERLOAD_UTILISATION = 1.0
# After a move, the receiver's utilisation must be below the donor's former
# one by this share. Else a single busy key would move from target to target.
MIN_RELIEF = 0.2
MAX_MOVES = 12
# Besides the measured load, this share of it is added, spread evenly over all
# keys, so that a target with keys but no recent requests still has load.
UNIFORM_SHARE = 0.25
# The least work to spread evenly, also where no load is measured, seconds.
MIN_UNIFORM_S = 0.3


class Owner(typing.NamedTuple):
    """A target that can own keys.

    Attributes:
      target_id: The id of the target.
      incarnation: The incarnation of the target.
      capacity_s: The work that it can do in the window of the load, seconds.
      is_cold: Whether it gets keys only if the warm targets are overloaded.
    """

    target_id: str
    incarnation: int
    capacity_s: float
    is_cold: bool = False


class Move(typing.NamedTuple):
    """A range of keys, first and last included, and its new owner."""

    first: int
    last: int
    owner: Owner


class Load:
    """Recent work by key, from samples.

    Attributes:
      total: The work for all keys, seconds.
    """

    def __init__(self, work_by_key: dict[int, float]) -> None:
        """Index the work by key, in seconds."""
        self._keys = sorted(work_by_key)
        self._sums = [0.0]
        for key in self._keys:
            self._sums.append(self._sums[-1] + work_by_key[key])
        self.total = self._sums[-1]

    def measured(self, first: int, last: int) -> float:
        """Return the measured work for the keys of a range, seconds."""
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        return self._sums[high] - self._sums[low]

    def estimated(self, first: int, last: int) -> float:
        """Return the work for a range including its uniform share, seconds."""
        uniform = (
            max(MIN_UNIFORM_S, self.total * UNIFORM_SHARE) / model.KEY_COUNT
        )
        return self.measured(first, last) + uniform * (last - first + 1)

    def narrowest_part(
        self, first: int, last: int, amount: float
    ) -> tuple[int, int] | None:
        """Return the narrowest part of a range with a given measured load.

        Args:
          first: The first key of the range.
          last: The last key of the range.
          amount: The least work that the part has, seconds.

        Returns:
          The first and last key, or None if the range has less work or the
          amount is not above 0.
        """
        if amount <= 0:
            return None
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        best = None
        end = low
        for start in range(low, high):
            end = max(end, start)
            while end < high and self._sums[end] - self._sums[start] < amount:
                end += 1
            if self._sums[end] - self._sums[start] < amount:
                break
            found = (self._keys[start], self._keys[end - 1])
            if best is None or found[1] - found[0] < best[1] - best[0]:
                best = found
        return best


def is_rebalancing_due(elapsed_s: float, utilisation: float) -> bool:
    """Return whether load should be moved between live owners.

    Args:
      elapsed_s: The time since it was considered last.
      utilisation: The highest utilisation of an owner.
    """
    if utilisation >= OVERLOAD_UTILISATION:
        return elapsed_s >= OVERLOAD_INTERVAL_S
    return elapsed_s >= REBALANCE_INTERVAL_S


def plan(
    ranges: typing.Sequence[model.KeyRange],
    owners: typing.Sequence[Owner],
    load: Load,
    held_keys: typing.Collection[int] = (),
    unreachable: typing.Collection[str] = (),
) -> tuple[Move, ...]:
    """Plan the moves of keys that are due.

    Args:
      ranges: The present ranges, in order; none if nothing is assigned.
      owners: The targets that can own keys.
      load: Recent work by key.
      held_keys: Keys that are not moved between live owners now. Other keys
        of their owners may be.
      unreachable: Holders, as `id/incarnation`, that keep the keys that they
        have and get no others.

    Returns:
      The moves; none if no keys need to move or there is no target.
    """
    if not owners:
        return ()
    if not ranges:
        return _split_evenly(owners)
    owner_by_id = {owner.target_id: owner for owner in owners}
    moves: list[Move] = []
    pieces_by_id: dict[str, list[tuple[int, int]]] = {
        owner.target_id: [] for owner in owners
    }
    orphans = []
    for key_range in ranges:
        owner = owner_by_id.get(key_range.target_id)
        piece = (key_range.first, key_range.last)
        if owner is None or owner.incarnation != key_range.incarnation:
            if key_range.moving or key_range.holder not in unreachable:
                orphans.append(piece)
            continue
        if not key_range.moving:
            pieces_by_id[key_range.target_id].append(piece)
    load_by_id = {
        target_id: sum(load.estimated(*piece) for piece in pieces)
        for target_id, pieces in pieces_by_id.items()
    }
    _add_moving_load(ranges, owner_by_id, load, load_by_id)
    _place_orphans(orphans, owners, load, load_by_id, moves)
    moved = [(move.first, move.last) for move in moves]
    for pieces in pieces_by_id.values():
        for key in held_keys:
            _remove_piece(pieces, (key, key))
    _balance(owners, pieces_by_id, load, load_by_id, moves, moved)
    return tuple(moves)


def max_utilisation(
    ranges: typing.Sequence[model.KeyRange],
    owners: typing.Sequence[Owner],
    load: Load,
) -> float:
    """Return the highest utilisation of an owner, by measured load."""
    owner_by_id = {owner.target_id: owner for owner in owners}
    load_by_id = dict.fromkeys(owner_by_id, 0.0)
    for key_range in ranges:
        if key_range.target_id in load_by_id:
            load_by_id[key_range.target_id] += load.measured(
                key_range.first, key_range.last
            )
    return max(
        (_utilisation(candidate, load_by_id) for candidate in owners),
        default=0.0,
    )


def _split_evenly(owners: typing.Sequence[Owner]) -> tuple[Move, ...]:
    total = sum(owner.capacity_s for owner in owners)
    moves = []
    first = 0
    allotted_s = 0.0
    for index, owner in enumerate(owners):
        allotted_s += owner.capacity_s
        last = int(model.KEY_COUNT * allotted_s / total) - 1
        if index == len(owners) - 1:
            last = model.KEY_COUNT - 1
        if last >= first:
            moves.append(Move(first, last, owner))
            first = last + 1
    return tuple(moves)


def _add_moving_load(
    ranges: typing.Sequence[model.KeyRange],
    owner_by_id: dict[str, Owner],
    load: Load,
    load_by_id: dict[str, float],
) -> None:
    for key_range in ranges:
        owner = owner_by_id.get(key_range.target_id)
        if not key_range.moving or owner is None:
            continue
        if owner.incarnation == key_range.incarnation:
            load_by_id[owner.target_id] += load.estimated(
                key_range.first, key_range.last
            )


def _place_orphans(
    orphans: list[tuple[int, int]],
    owners: typing.Sequence[Owner],
    load: Load,
    load_by_id: dict[str, float],
    moves: list[Move],
) -> None:
    """Spread ranges without a live owner over the least loaded targets."""
    total = sum(load_by_id.values()) + sum(
        load.estimated(*part) for part in orphans
    )
    mean = total / sum(owner.capacity_s for owner in owners)
    queue = sorted(
        orphans, key=lambda part: load.estimated(*part), reverse=True
    )
    while queue:
        first, last = queue.pop(0)
        owner = min(
            _receivers(owners, load_by_id),
            key=lambda candidate: _utilisation(candidate, load_by_id),
        )
        headroom = mean * owner.capacity_s - load_by_id[owner.target_id]
        piece_load = load.estimated(first, last)
        if piece_load > max(headroom, mean * 0.25) and last > first:
            cut = _prefix_end(first, last, load, max(headroom, mean * 0.25))
            if first <= cut < last:
                queue.insert(0, (cut + 1, last))
                last = cut
        load_by_id[owner.target_id] += load.estimated(first, last)
        moves.append(Move(first, last, owner))


def _prefix_end(first: int, last: int, load: Load, amount: float) -> int:
    """Return the last key of the shortest prefix with a given load."""
    low = first
    high = last
    while low < high:
        middle = (low + high) // 2
        if load.estimated(first, middle) >= amount:
            high = middle
            continue
        low = middle + 1
    return low


def _receivers(
    owners: typing.Sequence[Owner], load_by_id: dict[str, float]
) -> typing.Sequence[Owner]:
    """Return the targets that may get keys.

    Cold targets get keys only if no warm target can do more work.
    """
    warm = [owner for owner in owners if not owner.is_cold]
    for owner in warm:
        if _utilisation(owner, load_by_id) < OVERLOAD_UTILISATION:
            return warm
    return owners


def _utilisation(owner: Owner, load_by_id: dict[str, float]) -> float:
    return load_by_id[owner.target_id] / owner.capacity_s


def _balance(
    owners: typing.Sequence[Owner],
    pieces_by_id: dict[str, list[tuple[int, int]]],
    load: Load,
    load_by_id: dict[str, float],
    moves: list[Move],
    moved: list[tuple[int, int]],
) -> None:
    """Move load from the busiest targets to the least loaded ones."""
    mean = sum(load_by_id.values()) / sum(owner.capacity_s for owner in owners)
    limit = max(mean * MAX_IMBALANCE, BUSY_UTILISATION)
    level = max(mean, FILL_UTILISATION)
    exhausted: set[str] = set()
    while len(moves) < MAX_MOVES:
        candidates = [
            owner for owner in owners if owner.target_id not in exhausted
        ]
        if not candidates:
            return
        donor = max(
            candidates,
            key=lambda candidate: _utilisation(candidate, load_by_id),
        )
        receivers = _receivers(owners, load_by_id)
        receiver = min(
            receivers,
            key=lambda candidate: _utilisation(candidate, load_by_id),
        )
        receiver_idle = load_by_id[receiver.target_id] == 0.0
        if not receiver_idle and _utilisation(donor, load_by_id) < limit:
            return
        excess = load_by_id[donor.target_id] - level * donor.capacity_s
        headroom = level * receiver.capacity_s - load_by_id[receiver.target_id]
        if not receiver_idle and headroom <= 0:
            # Only cold targets have less load.
            return
        pieces = pieces_by_id[donor.target_id]
        if receiver_idle:
            amount = min(
                mean * receiver.capacity_s, load_by_id[donor.target_id] / 2
            )
            piece = _tail_of_widest_piece(pieces, load, amount)
        else:
            piece = _narrowest_busy_part(pieces, load, min(excess, headroom))
        if piece is None or _overlaps(piece, moved):
            exhausted.add(donor.target_id)
            continue
        piece_load = load.estimated(*piece)
        if not receiver_idle:
            receiver = _best_receiver(receivers, piece_load, load_by_id)
        if not receiver_idle and not _relieves(
            donor, receiver, piece_load, load_by_id
        ):
            exhausted.add(donor.target_id)
            continue
        _remove_piece(pieces, piece)
        moved.append(piece)
        load_by_id[donor.target_id] -= piece_load
        load_by_id[receiver.target_id] += piece_load
        moves.append(Move(piece[0], piece[1], receiver))


def _best_receiver(
    owners: typing.Sequence[Owner],
    piece_load: float,
    load_by_id: dict[str, float],
) -> Owner:
    """Return the target with the least utilisation after receiving a piece.

    A single busy key cannot be split, so the fastest target serves it best.
    """
    return min(
        owners,
        key=lambda candidate: (
            (load_by_id[candidate.target_id] + piece_load)
            / candidate.capacity_s
        ),
    )


def _relieves(
    donor: Owner,
    receiver: Owner,
    piece_load: float,
    load_by_id: dict[str, float],
) -> bool:
    """Return whether the receiver ends well below the donor's utilisation."""
    before = _utilisation(donor, load_by_id)
    after = (load_by_id[receiver.target_id] + piece_load) / receiver.capacity_s
    return after < before * (1 - MIN_RELIEF)


def _overlaps(piece: tuple[int, int], moved: list[tuple[int, int]]) -> bool:
    for first, last in moved:
        if piece[0] <= last and first <= piece[1]:
            return True
    return False


def _narrowest_busy_part(
    pieces: list[tuple[int, int]], load: Load, amount: float
) -> tuple[int, int] | None:
    """Return the narrowest part of a piece with 80 % of an amount of load."""
    best = None
    for first, last in pieces:
        found = load.narrowest_part(first, last, amount * 0.8)
        if found is None:
            continue
        if best is None or found[1] - found[0] < best[1] - best[0]:
            best = found
    return best


def _tail_of_widest_piece(
    pieces: list[tuple[int, int]], load: Load, amount: float
) -> tuple[int, int] | None:
    """Return the tail of the widest piece with an amount of load."""
    if not pieces:
        return None
    first, last = max(pieces, key=lambda piece: piece[1] - piece[0])
    cut = _prefix_end(first, last, load, load.estimated(first, last) - amount)
    if cut >= last:
        return None
    return cut + 1, last


def _remove_piece(
    pieces: list[tuple[int, int]], piece: tuple[int, int]
) -> None:
    for index, (first, last) in enumerate(pieces):
        if not first <= piece[0] <= piece[1] <= last:
            continue
        remaining = []
        if first < piece[0]:
            remaining.append((first, piece[0] - 1))
        if piece[1] < last:
            remaining.append((piece[1] + 1, last))
        pieces[index : index + 1] = remaining
        return
