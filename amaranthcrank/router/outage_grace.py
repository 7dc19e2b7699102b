"""Decides how long missing entries are kept once the store answers again.

Entries of live targets expire during an outage of the store and reappear
shortly after it. A host that alone could not reach the store also finds
entries missing, but because their targets departed. By itself it cannot
distinguish the two cases.

Entries are also missing if the store comes back from an older copy.
"""

import typing

from amaranthcrank.router import clock
from amaranthcrank.router import departure_queries
from amaranthcrank.router import directory
from amaranthcrank.router import store_availability

# Entries expire after three missed heartbeats, of which one may have been
# missed before the store became unreachable.
EXPIRY_HEARTBEATS = 1.6
# The end of the grace period is detected at most this much later.
EXPIRY_MARGIN_S = 0.3
# When the store comes back from an older copy, the entries of targets that
# have ended expire anew.
RESTORED_EXPIRY_HEARTBEATS = 3
RESTORED_EXPIRY_MARGIN_S = 1.0


class OutageGrace:
    """Sets the grace period of missing entries when the store recovers."""

    def __init__(
        self,
        availability: store_availability.AvailabilityHistory,
        targets: directory.Directory,
        departures: departure_queries.DepartureQueries,
        heartbeat_s: float,
        settle_s: float,
        log: typing.Callable[..., None],
    ) -> None:
        """Set up the decision for one host.

        Args:
          availability: When the store answered and last failed.
          targets: The directory, which keeps entries that may have expired.
          departures: Queries other hosts about the missing targets.
          heartbeat_s: The interval of the targets' heartbeats.
          settle_s: The time after the end of an outage from which missing
            entries must count as removed.
          log: Logs each decision.
        """
        self._availability = availability
        self._targets = targets
        self._departures = departures
        self._expiry_s = heartbeat_s * EXPIRY_HEARTBEATS
        self._restored_expiry_s = (
            heartbeat_s * RESTORED_EXPIRY_HEARTBEATS + RESTORED_EXPIRY_MARGIN_S
        )
        self._settle_s = settle_s
        self._log = log

    def on_recovered(self, unreachable_since: float) -> None:
        """Decide when the store answers again, before its entries are applied.

        Args:
          unreachable_since: When it became unreachable, by `clock.now`.
        """
        silence_s = self._availability.longest_silence_s(unreachable_since)
        if silence_s < self._expiry_s:
            return
        now = clock.now()
        lost_s = now - unreachable_since
        failed_s = now - self._availability.failed_at
        # The store may have been available again since the last failed call.
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

    def on_restored(self, seen_at: float) -> None:
        """Prepare for the first list after a restore of the store.

        Args:
          seen_at: When this host learned of the restore, by `clock.now`.
        """
        keep_s = directory.REREGISTRATION_S - (clock.now() - seen_at)
        self._log('store_restore_listed', keep_s=round(keep_s, 2))
        self._targets.begin_restore(keep_s, self._restored_expiry_s)
        self._departures.query()
