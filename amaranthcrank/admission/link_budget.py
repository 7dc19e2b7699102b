"""Byte budget of a link between regions, with a share for each rank."""

from collections import abc

from amaranthcrank.core import model


BURST_S = 0.5
# A bucket holds at least this part of the whole rate, so that a rank with a
# small share or none can take up what others leave.
MIN_BUCKET_SHARE = 0.1
# For a rank without a share, which waits for unused shares.
MAX_WAIT_MS = 5_000


class LinkBudget:
    """Bytes that each rank may send now.

    Attributes:
      rate_by_rank: Bytes a second that belong to each rank.
      most_by_rank: Bytes that each rank saves up at most.
      left_by_rank: Bytes that each rank may send now; below 0 after a message
        larger than what was left.
      burst_s: How many seconds of its rate a rank saves up.
      filled_at: When the buckets were last filled.
    """

    __slots__ = (
        'burst_s',
        'filled_at',
        'left_by_rank',
        'most_by_rank',
        'rate_by_rank',
    )

    def __init__(
        self, rate_by_rank: dict[str, float], now: float, burst_s: float
    ) -> None:
        """Start full."""
        self.rate_by_rank = rate_by_rank
        self.most_by_rank = _bounds(rate_by_rank, burst_s)
        self.left_by_rank = {
            rank: rate * burst_s for rank, rate in rate_by_rank.items()
        }
        self.burst_s = burst_s
        self.filled_at = now


def open_link_budget(
    bytes_per_s: float,
    share_by_rank: abc.Mapping[str, float],
    now: float,
    burst_s: float = BURST_S,
) -> LinkBudget:
    """Open a full budget.

    Args:
      bytes_per_s: This host's share of the link.
      share_by_rank: The guaranteed share of each rank; the sum is at most 1
        and what is left over belongs to the first rank.
      now: Monotonic seconds.
      burst_s: How many seconds of a rank's share are saved up at most.

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
    """Take over rate and shares from a ticket or a change of the hosts."""
    _fill(budget, now)
    budget.rate_by_rank = _rates(bytes_per_s, share_by_rank)
    budget.most_by_rank = _bounds(budget.rate_by_rank, budget.burst_s)
    for rank, most in budget.most_by_rank.items():
        budget.left_by_rank[rank] = min(budget.left_by_rank[rank], most)


def take(budget: LinkBudget, rank: str, size: int, now: float) -> bool:
    """Take bytes for a message; False where the rank's budget is spent.

    A rank with anything left may send one message of any size and then waits
    until the debt is paid, so a message larger than the bucket gets through.
    """
    _fill(budget, now)
    if budget.left_by_rank[rank] <= 0:
        return False
    budget.left_by_rank[rank] -= size
    return True


def wait_ms(budget: LinkBudget, rank: str, now: float) -> int:
    """Return when the rank can send again, 0 for now.

    Counts its own share and the shares of the ranks that save up no more.
    """
    _fill(budget, now)
    left = budget.left_by_rank[rank]
    if left > 0:
        return 0
    rate = sum(
        each_rate
        for each, each_rate in budget.rate_by_rank.items()
        if each == rank or _is_full(budget, each)
    )
    if rate <= 0:
        return MAX_WAIT_MS
    return min(MAX_WAIT_MS, int(-left / rate * 1_000) + 1)


def _rates(
    bytes_per_s: float, share_by_rank: abc.Mapping[str, float]
) -> dict[str, float]:
    rates = {
        rank: bytes_per_s * share_by_rank.get(rank, 0.0)
        for rank in model.RANKS
    }
    rates[model.RANKS[0]] += bytes_per_s - sum(rates.values())
    return rates


def _bounds(
    rate_by_rank: dict[str, float], burst_s: float
) -> dict[str, float]:
    least = sum(rate_by_rank.values()) * MIN_BUCKET_SHARE
    return {
        rank: max(rate, least) * burst_s for rank, rate in rate_by_rank.items()
    }


def _is_full(budget: LinkBudget, rank: str) -> bool:
    return budget.left_by_rank[rank] >= budget.most_by_rank[rank]


def _fill(budget: LinkBudget, now: float) -> None:
    """Add what has come in; what a full rank does not need goes down.

    What the lowest rank does not need goes to the first again, so no byte is
    lost while any rank has room.
    """
    elapsed_s = now - budget.filled_at
    if elapsed_s <= 0:
        return
    budget.filled_at = now
    over = 0.0
    for rank, rate in budget.rate_by_rank.items():
        over = _add(budget, rank, rate * elapsed_s + over)
    if over <= 0:
        return
    for rank in budget.rate_by_rank:
        over = _add(budget, rank, over)


def _add(budget: LinkBudget, rank: str, size: float) -> float:
    """Fill one bucket and return what does not fit."""
    left = budget.left_by_rank[rank] + size
    most = budget.most_by_rank[rank]
    budget.left_by_rank[rank] = min(left, most)
    return max(0.0, left - most)
