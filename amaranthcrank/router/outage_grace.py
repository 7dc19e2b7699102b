"""Decides for how long missing entries are kept after a loss of the store.

Entries of living targets lapse in an outage, and are back shortly after it.
But a host that alone was cut off from the store finds entries missing because
their targets left, and it cannot tell the one from the other by itself.
"""

import typing

from amaranthcrank.router import clock
from amaranthcrank.router import departure_queries
from amaranthcrank.router import directory
from amaranthcrank.router import store_availability

# Entries lapse after three silent heartbeats, of which one may have been
# missed before the store went away.
LAPSE_HEARTBEATS = 1.6
# Whether the time is over is looked at this much later, at the latest.
EXPIRY_MARGIN_S = 0.3


class OutageGrace:
    """Judges losses of the store when they end."""

    def __init__(
        self,
        availability: store_availability.AvailabilityHistory,
        targets: directory.Directory,
        departures: departure_queries.DepartureQueries,
        heartbeat_s: float,
        settle_s: float,
        log: typing.Callable[..., None],
    ) -> None:
        """Judge losses by a history.

        Args:
          history: When the store answered, and when it last failed.
          targets: Keeps entries that may have lapsed.
          departures: Asks other hosts what became of these.
          heartbeat_s: How often targets report to the store.
          settle_s: How long after its return the store must be taken at
            its word.
          log: Takes what decided.
        """
        self._availability = availability
        self._targets = targets
        self._departures = departures
        self._lapse_s = heartbeat_s * LAPSE_HEARTBEATS
        self._settle_s = settle_s
        self._log = log

    def on_recovered(self, lost_at: float) -> None:
        """Learn that the store answers again, before it is read.

        Args:
          lost_at: Since when it did not, by `clock.now`.
        """
        silence_s = self._availability.longest_silence_s(lost_at)
        if silence_s < self._lapse_s:
            return
        now = clock.now()
        lost_s = now - lost_at
        failed_s = now - self._availability.failed_at
        # The store may have been back since the last call that failed.
        bound_s = self._settle_s - EXPIRY_MARGIN_S - failed_s
        keep_s = min(directory.REREGISTRATION_S, bound_s)
        self._log(
            'store_absence',
            lost_s=round(lost_s, 2),
            silence_s=round(silence_s, 2),
            failed_s=round(failed_s, 2),
            keep_s=round(keep_s, 2),
        )
        self._targets.keep_missing(keep_s, lost_s)
        self._departures.query()
