"""Queue of one target: ranks, floors, turns of callers, bounds in time."""

import collections
from collections import abc
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model

MAX_ENTRIES = 4_096
# After this many drops in a row that rest on the estimate of the service time
# alone, one entry is sent: without any run the estimate would never recover.
DROPS_PER_PROBE = 20
# Weight of one dispatch in a rank's observed share of the dispatches.
SHARE_WEIGHT = 0.05
MIN_SHARE = 0.01
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5_000


class Entry(typing.NamedTuple):
    """A request that waits.

    Attributes:
      request_id: Unique among the waiting entries.
      rank: One of model.RANKS.
      caller: Who asks, for turns within the rank.
      deadline_at: Its deadline, monotonic seconds.
    """

    request_id: str
    rank: str
    caller: str
    deadline_at: float


class Dropped(typing.NamedTuple):
    """An entry that leaves without being sent, and why."""

    entry: Entry
    code: codes.Code


class _RankEntries:
    """The waiting entries of one rank.

    Attributes:
      floor: The guaranteed share of the dispatches, 0 for none.
      credit: Dispatches that the floor has earned and not yet got.
      share: The rank's observed share of the dispatches while it waits.
      entry_by_id: The entries, oldest first.
      entries_by_caller: The same by caller, the caller next in turn first.
    """

    __slots__ = (
        'credit',
        'entries_by_caller',
        'entry_by_id',
        'floor',
        'share',
    )

    def __init__(self, floor: float) -> None:
        """Start empty."""
        self.floor = floor
        self.credit = 0.0
        self.share = 1.0
        self.entry_by_id: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self.entries_by_caller: collections.OrderedDict[
            str, collections.OrderedDict[str, Entry]
        ] = collections.OrderedDict()


class RankQueue:
    """The waiting requests of one target.

    Attributes:
      ranks: The entries of each rank, most urgent first.
      rank_by_name: The same by the name of the rank.
      rank_by_id: The name of the rank of each waiting entry.
      concurrency: How many requests the target runs at once.
      service_s: The expected service time.
      max_entries: Bound on the length.
      drops_in_row: Drops since the last dispatch that rest on the estimate.
    """

    __slots__ = (
        'drops_in_row',
        'max_entries',
        'rank_by_id',
        'rank_by_name',
        'ranks',
        'service_s',
        'concurrency',
    )

    def __init__(
        self,
        floor_by_rank: abc.Mapping[str, float],
        concurrency: int,
        service_s: float,
        max_entries: int,
    ) -> None:
        """Start empty."""
        self.rank_by_name = {
            rank: _RankEntries(floor_by_rank.get(rank, 0.0))
            for rank in model.RANKS
        }
        self.ranks = tuple(self.rank_by_name.values())
        self.rank_by_id: dict[str, str] = {}
        self.concurrency = concurrency
        self.service_s = service_s
        self.max_entries = max_entries
        self.drops_in_row = 0


def open_queue(
    floor_by_rank: abc.Mapping[str, float],
    concurrency: int,
    service_s: float,
    max_entries: int = MAX_ENTRIES,
) -> RankQueue:
    """Open an empty queue.

    Args:
      floor_by_rank: The guaranteed shares; a rank left out has none.
      concurrency: How many requests the target runs at once.
      service_s: The expected service time.
      max_entries: Bound on the length, a guard for memory.

    Returns:
      The queue.
    """
    return RankQueue(floor_by_rank, concurrency, service_s, max_entries)


def set_floors(
    queue: RankQueue, floor_by_rank: abc.Mapping[str, float]
) -> None:
    """Set the guaranteed shares; what waits and its credit stay."""
    for rank, entries in queue.rank_by_name.items():
        entries.floor = floor_by_rank.get(rank, 0.0)


def set_service_rate(
    queue: RankQueue, concurrency: int, service_s: float
) -> None:
    """Set the target's limit and expected service time."""
    queue.concurrency = concurrency
    queue.service_s = service_s


def push(queue: RankQueue, entry: Entry, now: float) -> tuple[Dropped, ...]:
    """Add an entry, or drop it or others to keep within the bounds.

    Args:
      queue: The queue.
      entry: The arrival.
      now: Monotonic seconds.

    Returns:
      What is dropped: the arrival itself where its expected wait passes its
      deadline or its id waits already, and the newest of lower ranks that
      cannot be served in time any more.
    """
    if entry.request_id in queue.rank_by_id:
        return (Dropped(entry, codes.DUPLICATE),)
    if entry.deadline_at <= now:
        return (Dropped(entry, codes.EXPIRED),)
    if now + _arrival_wait(queue, entry) > entry.deadline_at:
        return (Dropped(entry, codes.OVERLOADED),)
    _add(queue, entry)
    dropped = _drop_late(queue, entry.rank, now)
    if len(queue.rank_by_id) > queue.max_entries:
        dropped += (Dropped(_take_newest(queue), codes.OVERLOADED),)
    return dropped


def pop(
    queue: RankQueue, now: float
) -> tuple[Entry | None, tuple[Dropped, ...]]:
    """Take the next entry to send, and those that are too late.

    Each dispatch adds to the credit of every waiting rank that rank's floor,
    and the rank served pays 1. The rank served earns too: if only ranks below
    the one served did, three busy ranks with floors 0.15 and 0.05 would get
    0.124 and 0.0495.

    Args:
      queue: The queue.
      now: Monotonic seconds.

    Returns:
      The entry to send, None where none waits, and the dropped entries.
    """
    dropped: list[Dropped] = []
    while queue.rank_by_id:
        rank = _next_rank(queue)
        entry = _take(queue, _first(rank))
        if entry.deadline_at <= now:
            dropped.append(Dropped(entry, codes.EXPIRED))
            continue
        if _finishes_late(queue, entry, now):
            dropped.append(Dropped(entry, codes.EXPIRED))
            continue
        _update_credits(queue, rank)
        _end_turn(rank, entry.caller)
        return entry, tuple(dropped)
    return None, tuple(dropped)


def remove(queue: RankQueue, request_id: str) -> Entry | None:
    """Take out a cancelled entry; None if it does not wait."""
    name = queue.rank_by_id.get(request_id)
    if name is None:
        return None
    return _take(queue, queue.rank_by_name[name].entry_by_id[request_id])


def drop_expired(queue: RankQueue, now: float) -> tuple[Dropped, ...]:
    """Take out every entry whose deadline has passed.

    Reads the whole queue; meant for a timer. `pop` finds them too, but an
    entry of a low rank may wait long for its turn after its deadline.
    """
    late = [
        entry
        for rank in queue.ranks
        for entry in rank.entry_by_id.values()
        if entry.deadline_at <= now
    ]
    return tuple(Dropped(_take(queue, each), codes.EXPIRED) for each in late)


def length(queue: RankQueue, rank: str | None = None) -> int:
    """Return how many wait, of one rank or in all."""
    if rank is None:
        return len(queue.rank_by_id)
    return len(queue.rank_by_name[rank].entry_by_id)


def expected_wait(queue: RankQueue, rank: str) -> float:
    """Return the expected wait in seconds behind all that waits of a rank."""
    return _wait_behind(queue, rank, len(queue.rank_by_name[rank].entry_by_id))


def retry_after_ms(queue: RankQueue, rank: str) -> int:
    """Return when a refused caller of the rank may ask again."""
    # Half the queue is gone by then. After the whole wait the target would
    # have run out of work.
    wait_ms = round(expected_wait(queue, rank) * 1_000 / 2)
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))


def _wait_behind(queue: RankQueue, name: str, ahead: int) -> float:
    """Return the wait behind a number of entries of one rank.

    The larger of two estimates, strict order over what waits now and the
    rank's observed share of the dispatches, but no longer than its floor
    takes.
    """
    rank = queue.rank_by_name[name]
    higher = 0
    lower_floors = 0.0
    is_lower = False
    for each in queue.ranks:
        if each is rank:
            is_lower = True
            continue
        if not is_lower:
            higher += len(each.entry_by_id)
            continue
        if each.entry_by_id:
            lower_floors += each.floor
    per_entry_s = queue.service_s / queue.concurrency
    wait_s = max(
        (higher + ahead) * per_entry_s / max(MIN_SHARE, 1.0 - lower_floors),
        ahead * per_entry_s / max(rank.share, MIN_SHARE),
    )
    if rank.floor > 0:
        wait_s = min(wait_s, (ahead + 1) * per_entry_s / rank.floor)
    return wait_s


def _arrival_wait(queue: RankQueue, entry: Entry) -> float:
    """Return the wait of an arrival, given the turns of the callers.

    A caller with few entries does not wait behind all entries of another.
    """
    rank = queue.rank_by_name[entry.rank]
    own = rank.entries_by_caller.get(entry.caller, ())
    callers = len(rank.entries_by_caller)
    ahead = min(len(rank.entry_by_id), (len(own) + 1) * callers)
    return _wait_behind(queue, entry.rank, ahead)


def _drop_late(queue: RankQueue, name: str, now: float) -> tuple[Dropped, ...]:
    """Drop the newest of lower ranks that an arrival makes too late."""
    dropped: list[Dropped] = []
    for rank in reversed(queue.ranks):
        if rank is queue.rank_by_name[name]:
            break
        while rank.entry_by_id:
            newest = next(reversed(rank.entry_by_id.values()))
            own = rank.entries_by_caller[newest.caller]
            ahead = min(
                len(rank.entry_by_id) - 1,
                len(own) * len(rank.entries_by_caller),
            )
            wait_s = _wait_behind(queue, newest.rank, ahead)
            if now + wait_s <= newest.deadline_at:
                break
            dropped.append(Dropped(_take(queue, newest), codes.OVERLOADED))
    return tuple(dropped)


def _finishes_late(queue: RankQueue, entry: Entry, now: float) -> bool:
    if now + queue.service_s <= entry.deadline_at:
        return False
    if queue.drops_in_row >= DROPS_PER_PROBE:
        return False
    queue.drops_in_row += 1
    return True


def _next_rank(queue: RankQueue) -> _RankEntries:
    first = None
    for rank in queue.ranks:
        if not rank.entry_by_id:
            continue
        if rank.credit >= 1.0:
            return rank
        if first is None:
            first = rank
    assert first is not None, 'an entry waits'
    return first


def _update_credits(queue: RankQueue, served: _RankEntries) -> None:
    """Account for one dispatch; the served entry is already taken out."""
    queue.drops_in_row = 0
    for rank in queue.ranks:
        if not rank.entry_by_id and rank is not served:
            continue
        rank.credit += rank.floor
        if rank is served:
            rank.credit = max(0.0, rank.credit - 1.0)
            rank.share += SHARE_WEIGHT * (1.0 - rank.share)
            continue
        rank.share -= SHARE_WEIGHT * rank.share


def _add(queue: RankQueue, entry: Entry) -> None:
    rank = queue.rank_by_name[entry.rank]
    rank.entry_by_id[entry.request_id] = entry
    own = rank.entries_by_caller.get(entry.caller)
    if own is None:
        own = collections.OrderedDict()
        rank.entries_by_caller[entry.caller] = own
    own[entry.request_id] = entry
    queue.rank_by_id[entry.request_id] = entry.rank


def _take(queue: RankQueue, entry: Entry) -> Entry:
    rank = queue.rank_by_name[entry.rank]
    del queue.rank_by_id[entry.request_id]
    del rank.entry_by_id[entry.request_id]
    own = rank.entries_by_caller[entry.caller]
    del own[entry.request_id]
    if not own:
        del rank.entries_by_caller[entry.caller]
    return entry


def _first(rank: _RankEntries) -> Entry:
    """Return the oldest entry of the caller in turn."""
    own = next(iter(rank.entries_by_caller.values()))
    return next(iter(own.values()))


def _end_turn(rank: _RankEntries, caller: str) -> None:
    """Put a served caller last. A dropped entry does not cost the turn."""
    if caller in rank.entries_by_caller:
        rank.entries_by_caller.move_to_end(caller)


def _take_newest(queue: RankQueue) -> Entry:
    """Take the newest entry of the lowest rank that waits."""
    for rank in reversed(queue.ranks):
        if rank.entry_by_id:
            return _take(queue, next(reversed(rank.entry_by_id.values())))
    raise AssertionError('an entry waits')
