"""Limit on the concurrent requests of one entry host, by rank.

A request occupies a thread of the caller server until it is answered. Without
a limit by rank, a flood of bulk requests would occupy all threads, and urgent
requests would wait unread before they reach the queues that prefer them.
"""

from collections import abc
import threading

from amaranthcrank.core import model

# The share of the threads that is kept free to read and refuse requests when
# all others are occupied.
SPARE_SHARE = 0.125
RESERVED_SHARE_BY_RANK = {
    model.URGENT: 0.4,
    model.NORMAL: 0.2,
    model.BULK: 0.1,
}


class IntakeLimit:
    """Counts the requests of each rank that occupy a thread.

    Attributes:
      capacity: The maximum number of concurrent requests.
      reserved_by_rank: How many of them are reserved for each rank.
    """

    def __init__(
        self, capacity: int, reserved_by_rank: abc.Mapping[str, int]
    ) -> None:
        self.capacity = capacity
        self.reserved_by_rank = dict(reserved_by_rank)
        self.held_by_rank = dict.fromkeys(model.RANKS, 0)
        self.lock = threading.Lock()


def open_limit(threads: int) -> IntakeLimit:
    """Create the limit of a caller server.

    Args:
      threads: The number of threads of the server.

    Returns:
      A limit with a capacity below the number of threads, but at least one.
    """
    capacity = max(1, int(threads * (1 - SPARE_SHARE)))
    reserved_by_rank = {}
    for rank, share in RESERVED_SHARE_BY_RANK.items():
        reserved_by_rank[rank] = int(capacity * share)
    return IntakeLimit(capacity, reserved_by_rank)


def acquire(limit: IntakeLimit, rank: str) -> bool:
    """Acquire a thread for a request, unless it is reserved for other ranks.

    Args:
      limit: The limit.
      rank: The rank of the request.

    Returns:
      Whether the request may proceed; if so, call release when it is done.
    """
    with limit.lock:
        reserved_for_others = 0
        for other, reserved in limit.reserved_by_rank.items():
            if other == rank:
                continue
            reserved_for_others += max(0, reserved - limit.held_by_rank[other])
        if (
            sum(limit.held_by_rank.values()) + reserved_for_others
            >= limit.capacity
        ):
            return False
        limit.held_by_rank[rank] += 1
        return True


def release(limit: IntakeLimit, rank: str) -> None:
    """Release the thread of a request."""
    with limit.lock:
        limit.held_by_rank[rank] -= 1
