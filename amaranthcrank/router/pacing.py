"""Paces the requests of many hosts to one contended owner. No I/O.

If one key, or a few neighbouring keys, get much of the traffic, requests for
their owner wait at most hosts. Load reports of other hosts are older than the
time for which a slot stays free. Hosts that send whenever the owner seems to
have capacity would therefore send in synchronised bursts. Instead, each host
limits itself to its share of the owner's rate.
"""

import math
import typing

# The rate of turns relative to the owner's estimated service rate. It is above
# 1 because turns at which the owner is full are lost, and so that the owner is
# not idle if the estimate is too low.
RATE_HEADROOM = 1.6


def turn_interval_s(
    service_s: float, slots: int, demand: int, other_demand: int
) -> float:
    """Return the mean interval between two turns of this host.

    Args:
      service_s: The service time of a request at the owner.
      slots: Number of requests that the owner runs concurrently.
      demand: Requests of this host, in flight and waiting.
      other_demand: Requests of all other hosts, in flight and waiting.
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
    """Schedules this host's turns to send to a contended owner."""

    def __init__(self) -> None:
        """Start without a scheduled turn."""
        self._next_turn_at = -math.inf

    def is_due(
        self,
        now: float,
        mean_interval_s: float,
        random: typing.Callable[[], float],
    ) -> bool:
        """Return whether it is this host's turn.

        A host without a recent turn starts at a random point of the interval,
        so that hosts that start together do not send together.

        Args:
          now: The event loop's time.
          mean_interval_s: The mean interval between turns.
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
        """Use the turn and schedule the next at a random time."""
        self._next_turn_at = now + mean_interval_s * (0.5 + random())
