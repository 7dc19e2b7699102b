"""Byte budget of a link between regions, with a share for each rank."""

from collections import abc


class LinkBudget:
    """Bytes that each rank may send now."""


def open_link_budget(
    bytes_per_s: float,
    share_by_rank: abc.Mapping[str, float],
    now: float,
    burst_s: float = 0.5,
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
    raise NotImplementedError


def set_rate(
    budget: LinkBudget,
    bytes_per_s: float,
    share_by_rank: abc.Mapping[str, float],
    now: float,
) -> None:
    """Take over rate and shares from a ticket or a change of the hosts."""
    raise NotImplementedError


def take(budget: LinkBudget, rank: str, size: int, now: float) -> bool:
    """Take bytes for a message; False where the rank's budget is spent."""
    raise NotImplementedError


def wait_ms(budget: LinkBudget, rank: str, now: float) -> int:
    """Return when the rank can send again by its own share."""
    raise NotImplementedError
