"""Byte budget of a link between regions, with a share for each rank.

Each rank has a token bucket. Tokens that do not fit into a full bucket go to
the buckets of the other ranks.
"""

from collections import abc

from amaranthcrank.core import model


BURST_S = 0.5
# A bucket is sized for at least this part of the whole rate, so that a rank
# with a small share or none can use what other ranks leave unused.
MIN_BUCKET_SHARE = 0.1
# Longest wait that is reported; used for a rank without a share, which depends
# on the unused shares of others.
MAX_WAIT_MS = 5_000


class LinkBudget:
    """A token bucket for each rank, counted in bytes.

    Attributes:
      rate_by_rank: The guaranteed bytes per second of each rank.
      capacity_by_rank: The size of the bucket of each rank.
      available_by_rank: The bytes that each rank may send now; negative after
        a message larger than what was available.
      burst_s: How many seconds of its rate a rank accumulates.
      refilled_at: When the buckets were last refilled.
    """

    __slots__ = (
        'available_by_rank',
        'burst_s',
        'capacity_by_rank',
        'rate_by_rank',
        'refilled_at',
    )

    def __init__(
        self, rate_by_rank: dict[str, float], now: float, burst_s: float
    ) -> None:
        """Start with full buckets."""
        self.rate_by_rank = rate_by_rank
        self.capacity_by_rank = _capacities(rate_by_rank, burst_s)
        self.available_by_rank = {
            rank: rate * burst_s for rank, rate in rate_by_rank.items()
        }
        self.burst_s = burst_s
        self.refilled_at = now


def open_link_budget(
    bytes_per_s: float,
    share_by_rank: abc.Mapping[str, float],
    now: float,
    burst_s: float = BURST_S,
) -> LinkBudget:
    """Create a budget with full buckets.

    Args:
      bytes_per_s: This host's share of the link.
      share_by_rank: The guaranteed share of each rank; the sum is at most 1,
        and the remainder belongs to the first rank.
      now: Monotonic seconds.
      burst_s: How many seconds of its share a rank accumulates at most.

    Returns:
      The budget.
    """
    rates = _rates(bytes_per_s, share_by_rank)
    return LinkBudget(rates, now, burst_s)


def set_rate(
    budget: LinkBudget,
    bytes_per_s: float,
    share_by_rank: abc.Mapping[str, float],
    now: float,
) -> None:
    """Set rate and shares after a new ticket or a change of the host list."""
    _refill(budget, now)
    budget.rate_by_rank = _rates(bytes_per_s, share_by_rank)
    budget.capacity_by_rank = _capacities(budget.rate_by_rank, budget.burst_s)
    for rank, capacity in budget.capacity_by_rank.items():
        budget.available_by_rank[rank] = min(
            budget.available_by_rank[rank], capacity
        )


def take(budget: LinkBudget, rank: str, size: int, now: float) -> bool:
    """Take the bytes of a message; return False if the budget is exhausted.

    A rank with any bytes available may send one message of any size and then
    waits until the deficit is refilled, so that a message larger than the
    bucket can be sent.
    """
    _refill(budget, now)
    if budget.available_by_rank[rank] <= 0:
        return False
    budget.available_by_rank[rank] -= size
    return True


def wait_ms(budget: LinkBudget, rank: str, now: float) -> int:
    """Return in how many milliseconds the rank can send again, 0 for now.

    Counts its own share and the shares of the ranks whose buckets are full.
    """
    _refill(budget, now)
    available = budget.available_by_rank[rank]
    if available > 0:
        return 0
    rate = sum(
        each_rate
        for each, each_rate in budget.rate_by_rank.items()
        if each == rank or _is_full(budget, each)
    )
    if rate <= 0:
        return MAX_WAIT_MS
    return min(MAX_WAIT_MS, int(-available / rate * 1_000) + 1)


def _rates(
    bytes_per_s: float, share_by_rank: abc.Mapping[str, float]
) -> dict[str, float]:
    rates = {
        rank: bytes_per_s * share_by_rank.get(rank, 0.0)
        for rank in model.RANKS
    }
    rates[model.RANKS[0]] += bytes_per_s - sum(rates.values())
    return rates


def _capacities(
    rate_by_rank: dict[str, float], burst_s: float
) -> dict[str, float]:
    least = sum(rate_by_rank.values()) * MIN_BUCKET_SHARE
    return {
        rank: max(rate, least) * burst_s for rank, rate in rate_by_rank.items()
    }


def _is_full(budget: LinkBudget, rank: str) -> bool:
    return budget.available_by_rank[rank] >= budget.capacity_by_rank[rank]


def _refill(budget: LinkBudget, now: float) -> None:
    """Refill the buckets; the overflow of each goes to the next lower rank.

    The overflow of the lowest rank starts at the first again, so no byte is
    lost while any bucket has room.
    """
    elapsed_s = now - budget.refilled_at
    if elapsed_s <= 0:
        return
    budget.refilled_at = now
    overflow = 0.0
    for rank, rate in budget.rate_by_rank.items():
        overflow = _add(budget, rank, rate * elapsed_s + overflow)
    if overflow <= 0:
        return
    for rank in budget.rate_by_rank:
        overflow = _add(budget, rank, overflow)


def _add(budget: LinkBudget, rank: str, size: float) -> float:
    """Add to one bucket and return what does not fit."""
    available = budget.available_by_rank[rank] + size
    capacity = budget.capacity_by_rank[rank]
    budget.available_by_rank[rank] = min(available, capacity)
    return max(0.0, available - capacity)
