"""Spreads the sends of many hosts to one owner over time. No input or output.

The pattern: one key, or a few close together, get much of the traffic, and
requests for their owner wait at most hosts. What a host hears of the others
is older than a slot stays free, so hosts that send whenever there seems to be
room all send at once, and then none does. Each host keeps its part of the
owner's rate instead.
"""

import math
import typing

# Turns come this much faster than the owner is taken to work: those that find
# it full are lost, and an estimate that is too low must not leave it idle.
RATE_HEADROOM = 1.6


def turn_interval_s(
    service_s: float, slots: int, demand: int, other_demand: int
) -> float:
    """Return the mean time between two turns of this host.

    Args:
      service_s: How long the owner takes for a request.
      slots: How many it runs at once.
      demand: What this host has and wants at the owner.
      others: What all other hosts have and want there.
    """
    own_demand = max(1, demand)
    return (
        service_s
        / slots
        * (own_demand + other_demand)
        / own_demand
        / RATE_HEADROOM
    )


class Pacer:
    """When it is next this host's turn to send to an owner in demand."""

    def __init__(self) -> None:
        """Start before the first send."""
        self._next_turn_at = -math.inf

    def is_due(
        self,
        now: float,
        mean_interval_s: float,
        random: typing.Callable[[], float],
    ) -> bool:
        """Tell whether it is this host's turn.

        A host that had no turn of late draws its place in the interval:
        those that begin together must not send together.

        Args:
          now: The event loop's time.
          mean_s: The mean time between turns.
          random: Returns floats from 0 to below 1.
        """
        if self._next_turn_at < now - mean_interval_s:
            self._next_turn_at = now + mean_interval_s * random()
        return now >= self._next_turn_at

    def take_turn(
        self,
        now: float,
        mean_interval_s: float,
        random: typing.Callable[[], float],
    ) -> None:
        """Use the turn and draw the next."""
        self._next_turn_at = now + mean_interval_s * (0.5 + random())
