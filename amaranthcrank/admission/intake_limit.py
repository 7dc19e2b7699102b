"""Limit of the requests that one entry host works on, by rank.

A request holds a thread of the caller server until its answer. Without a
limit by rank, a flood of bulk work holds all of them, and urgent work waits
unread in front of queues that would put it first.
"""

from collections import abc
import threading

from amaranthcrank.core import model

# Threads left to read and refuse requests when all others are held.
SPARE_SHARE = 0.125
RESERVED_SHARE_BY_RANK = {
    model.URGENT: 0.4,
    model.NORMAL: 0.2,
    model.BULK: 0.1,
}


class IntakeLimit:
    """The requests of each rank that hold a thread.

    Attributes:
      capacity: How many requests may hold one.
      reserved_by_rank: How many of them are kept for each rank.
    """

    def __init__(
        self, capacity: int, reserved_by_rank: abc.Mapping[str, int]
    ) -> None:
        self.capacity = capacity
        self.reserved_by_rank = dict(reserved_by_rank)
        self.held_by_rank = dict.fromkeys(model.RANKS, 0)
        self.lock = threading.Lock()


def open_limit(threads: int) -> IntakeLimit:
    """Open the limit of a caller server.

    Args:
      threads: The threads of the server.

    Returns:
      A limit below the number of threads, at least one.
    """
    capacity = max(1, int(threads * (1 - SPARE_SHARE)))
    reserved_by_rank = {}
    for rank, share in RESERVED_SHARE_BY_RANK.items():
        reserved_by_rank[rank] = int(capacity * share)
    return IntakeLimit(capacity, reserved_by_rank)


def acquire(limit: IntakeLimit, rank: str) -> bool:
    """Take a place for a request, unless it is kept for other ranks.

    Args:
      limit: The limit.
      rank: The rank of the request.

    Returns:
      Whether the request may go on; then release has to follow.
    """
    with limit.lock:
        kept = 0
        for other, reserved in limit.reserved_by_rank.items():
            if other == rank:
                continue
            kept += max(0, reserved - limit.held_by_rank[other])
        if sum(limit.held_by_rank.values()) + kept >= limit.capacity:
            return False
        limit.held_by_rank[rank] += 1
        return True


def release(limit: IntakeLimit, rank: str) -> None:
    """Give back the place of a request."""
    with limit.lock:
        limit.held_by_rank[rank] -= 1
