"""Queue of one target.

Higher ranks go first, but each rank is guaranteed a share of the dispatches
(its floor). Within a rank, callers are served round-robin. Entries that
cannot be served before their deadlines are dropped.
"""

import collections
from collections import abc
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model

MAX_ENTRIES = 4_096
# After this many consecutive drops that are based on the estimated service
# time alone, one entry is sent: without any request the estimate would never
# be corrected.
DROPS_PER_PROBE = 20
# Weight of one dispatch in the moving average of a rank's share.
SHARE_WEIGHT = 0.05
MIN_SHARE = 0.01
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 5_000


class Entry(typing.NamedTuple):
    """A waiting request.

    Attributes:
      request_id: Unique among the waiting entries.
      rank: One of model.RANKS.
      caller: The caller, for round-robin within the rank.
      deadline_at: The deadline in monotonic seconds.
    """

    request_id: str
    rank: str
    caller: str
    deadline_at: float


class Dropped(typing.NamedTuple):
    """An entry that is dropped without being sent, and the reason."""

    entry: Entry
    code: codes.Code


class _RankEntries:
    """The waiting entries of one rank.

    Attributes:
      floor: The guaranteed share of the dispatches, 0 for none.
      credit: Dispatches that the floor has accumulated and that are still due.
      share: Moving average of the rank's share of the dispatches while it has
        waiting entries.
      entry_by_id: The entries, oldest first.
      entries_by_caller: The same by caller, the next caller first.
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
      concurrency: How many requests the target runs concurrently.
      service_s: The expected service time.
      max_entries: The maximum length.
      consecutive_drops: Drops since the last dispatch that were based on the
        estimated service time.
    """

    __slots__ = (
        'concurrency',
        'consecutive_drops',
        'max_entries',
        'rank_by_id',
        'rank_by_name',
        'ranks',
        'service_s',
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
        self.consecutive_drops = 0


def open_queue(
    floor_by_rank: abc.Mapping[str, float],
    concurrency: int,
    service_s: float,
    max_entries: int = MAX_ENTRIES,
) -> RankQueue:
    """Create an empty queue.

    Args:
      floor_by_rank: The guaranteed shares; an omitted rank has none.
      concurrency: How many requests the target runs concurrently.
      service_s: The expected service time.
      max_entries: The maximum length, to bound memory.

    Returns:
      The queue.
    """
    return RankQueue(floor_by_rank, concurrency, service_s, max_entries)


def set_floors(
    queue: RankQueue, floor_by_rank: abc.Mapping[str, float]
) -> None:
    """Set the guaranteed shares; entries and credits are kept."""
    for rank, entries in queue.rank_by_name.items():
        entries.floor = floor_by_rank.get(rank, 0.0)


def set_service_rate(
    queue: RankQueue, concurrency: int, service_s: float
) -> None:
    """Set the target's concurrency and its expected service time."""
    queue.concurrency = concurrency
    queue.service_s = service_s


def push(queue: RankQueue, entry: Entry, now: float) -> tuple[Dropped, ...]:
    """Add an entry; drop it or others that cannot be served in time.

    Args:
      queue: The queue.
      entry: The new entry.
      now: Monotonic seconds.

    Returns:
      The dropped entries: the new entry itself if its deadline passes within
      the expected wait or its id is already queued, and the newest entries of
      lower ranks that can no longer be served in time.
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
        dropped += (Dropped(_remove_newest(queue), codes.OVERLOADED),)
    return dropped


def pop(
    queue: RankQueue, now: float
) -> tuple[Entry | None, tuple[Dropped, ...]]:
    """Remove the next entry to send, and entries that are too late.

    Each dispatch adds its floor to the credit of every waiting rank and takes
    1 from the credit of the served rank. The served rank is credited with its
    floor as well: if only ranks below it were, three busy ranks with floors
    0.15 and 0.05 would get shares of 0.124 and 0.0495.

    Args:
      queue: The queue.
      now: Monotonic seconds.

    Returns:
      The entry to send, or None if none is left, and the dropped entries.
    """
    dropped: list[Dropped] = []
    while queue.rank_by_id:
        rank = _next_rank(queue)
        entry = _remove_entry(queue, _next_entry(rank))
        if entry.deadline_at <= now:
            dropped.append(Dropped(entry, codes.EXPIRED))
            continue
        if _finishes_late(queue, entry, now):
            dropped.append(Dropped(entry, codes.EXPIRED))
            continue
        _update_credits(queue, rank)
        _rotate_caller(rank, entry.caller)
        return entry, tuple(dropped)
    return None, tuple(dropped)


def remove(queue: RankQueue, request_id: str) -> Entry | None:
    """Remove a cancelled entry; return None if it is not queued."""
    name = queue.rank_by_id.get(request_id)
    if name is None:
        return None
    return _remove_entry(
        queue, queue.rank_by_name[name].entry_by_id[request_id]
    )


def drop_expired(queue: RankQueue, now: float) -> tuple[Dropped, ...]:
    """Remove every entry whose deadline has passed.

    Scans all entries; meant for a timer. `pop` drops such entries too, but
    only when they are next in the queue, which can take long for a low rank.
    """
    late = [
        entry
        for rank in queue.ranks
        for entry in rank.entry_by_id.values()
        if entry.deadline_at <= now
    ]
    return tuple(
        Dropped(_remove_entry(queue, each), codes.EXPIRED) for each in late
    )


def length(queue: RankQueue, rank: str | None = None) -> int:
    """Return the number of waiting entries, of one rank or in total."""
    if rank is None:
        return len(queue.rank_by_id)
    return len(queue.rank_by_name[rank].entry_by_id)


def expected_wait(queue: RankQueue, rank: str) -> float:
    """Return the expected wait in seconds behind all entries of a rank."""
    return _wait_behind(queue, rank, len(queue.rank_by_name[rank].entry_by_id))


def retry_after_ms(queue: RankQueue, rank: str) -> int:
    """Return after how many milliseconds a refused caller may retry."""
    # Half of the expected wait: after all of it the queue would be empty and
    # the target idle.
    wait_ms = round(expected_wait(queue, rank) * 1_000 / 2)
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))


def _wait_behind(queue: RankQueue, name: str, ahead: int) -> float:
    """Return the expected wait behind a number of entries of one rank.

    The larger of two estimates, by strict priority over the entries that wait
    now and by the rank's observed share of the dispatches; at most the wait
    that the rank's floor guarantees.
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
    """Return the expected wait of a new entry under round-robin of callers.

    A caller with few entries does not wait behind all entries of another.
    """
    rank = queue.rank_by_name[entry.rank]
    caller_entries = rank.entries_by_caller.get(entry.caller, ())
    callers = len(rank.entries_by_caller)
    ahead = min(len(rank.entry_by_id), (len(caller_entries) + 1) * callers)
    return _wait_behind(queue, entry.rank, ahead)


def _drop_late(queue: RankQueue, name: str, now: float) -> tuple[Dropped, ...]:
    """Drop the newest entries of lower ranks that a new entry makes late."""
    dropped: list[Dropped] = []
    for rank in reversed(queue.ranks):
        if rank is queue.rank_by_name[name]:
            break
        while rank.entry_by_id:
            newest = next(reversed(rank.entry_by_id.values()))
            caller_entries = rank.entries_by_caller[newest.caller]
            ahead = min(
                len(rank.entry_by_id) - 1,
                len(caller_entries) * len(rank.entries_by_caller),
            )
            wait_s = _wait_behind(queue, newest.rank, ahead)
            if now + wait_s <= newest.deadline_at:
                break
            dropped.append(
                Dropped(_remove_entry(queue, newest), codes.OVERLOADED)
            )
    return tuple(dropped)


def _finishes_late(queue: RankQueue, entry: Entry, now: float) -> bool:
    if now + queue.service_s <= entry.deadline_at:
        return False
    if queue.consecutive_drops >= DROPS_PER_PROBE:
        return False
    queue.consecutive_drops += 1
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
    """Account for one dispatch; the served entry is already removed."""
    queue.consecutive_drops = 0
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
    caller_entries = rank.entries_by_caller.get(entry.caller)
    if caller_entries is None:
        caller_entries = collections.OrderedDict()
        rank.entries_by_caller[entry.caller] = caller_entries
    caller_entries[entry.request_id] = entry
    queue.rank_by_id[entry.request_id] = entry.rank


def _remove_entry(queue: RankQueue, entry: Entry) -> Entry:
    rank = queue.rank_by_name[entry.rank]
    del queue.rank_by_id[entry.request_id]
    del rank.entry_by_id[entry.request_id]
    caller_entries = rank.entries_by_caller[entry.caller]
    del caller_entries[entry.request_id]
    if not caller_entries:
        del rank.entries_by_caller[entry.caller]
    return entry


def _next_entry(rank: _RankEntries) -> Entry:
    """Return the oldest entry of the next caller."""
    caller_entries = next(iter(rank.entries_by_caller.values()))
    return next(iter(caller_entries.values()))


def _rotate_caller(rank: _RankEntries, caller: str) -> None:
    """Move a served caller to the end; dropped entries do not count."""
    if caller in rank.entries_by_caller:
        rank.entries_by_caller.move_to_end(caller)


def _remove_newest(queue: RankQueue) -> Entry:
    """Remove the newest entry of the lowest waiting rank."""
    for rank in reversed(queue.ranks):
        if rank.entry_by_id:
            return _remove_entry(
                queue, next(reversed(rank.entry_by_id.values()))
            )
    raise AssertionError('an entry waits')
