"""Queue of one target: ranks, floors, turns of callers, bounds in time."""

from collections import abc
import typing

from amaranthcrank.core import codes


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


class RankQueue:
    """The waiting requests of one target."""


def open_queue(
    floor_by_rank: abc.Mapping[str, float],
    width: int,
    service_s: float,
    max_entries: int = 4096,
) -> RankQueue:
    """Open an empty queue.

    Args:
      floor_by_rank: The guaranteed shares; a rank left out has none.
      width: How many requests the target runs at once.
      service_s: The expected service time.
      max_entries: Bound on the length, a guard for memory.

    Returns:
      The queue.
    """
    raise NotImplementedError


def set_pace(queue: RankQueue, width: int, service_s: float) -> None:
    """Set the target's limit and expected service time."""
    raise NotImplementedError


def push(queue: RankQueue, entry: Entry, now: float) -> tuple[Dropped, ...]:
    """Add an entry, or drop it or others to keep within the bounds."""
    raise NotImplementedError


def pop(
    queue: RankQueue, now: float
) -> tuple[Entry | None, tuple[Dropped, ...]]:
    """Take the next entry to send, and those that are too late."""
    raise NotImplementedError


def remove(queue: RankQueue, request_id: str) -> Entry | None:
    """Take out a cancelled entry; None if it does not wait."""
    raise NotImplementedError


def length(queue: RankQueue, rank: str | None = None) -> int:
    """Return how many wait, of one rank or in all."""
    raise NotImplementedError


def expected_wait(queue: RankQueue, rank: str) -> float:
    """Return the expected wait in seconds of an arrival of the rank."""
    raise NotImplementedError


def retry_after_ms(queue: RankQueue, rank: str) -> int:
    """Return when a refused caller of the rank may ask again."""
    raise NotImplementedError
