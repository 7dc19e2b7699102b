"""The known state of one target: its entry, load, speed and failures.

Speed and failures are measured on the requests of this host.
"""

import collections
import math

from amaranthcrank.router import model
from amaranthcrank.router import pacing
from amaranthcrank.router import reported_load

# Weights of the newest sample in exponential moving averages.
SLOWNESS_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 3.0
# Pauses in sending after the target could not be reached: the first and the
# longest one.
FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 2.0
# Pause after the target rejected a request.
REJECTION_PAUSE_S = 0.05
# Pause for keyed requests after the target did not hold a key that it should
# hold: it is granted the key again within this time.
MISDIRECTED_PAUSE_S = 0.1
MAX_SLOWNESS = 10.0
# A target that refuses connections within this time after it reset a
# connection is taken to have crashed.
CRASH_WINDOW_S = 2.0
MAX_RESETS = 20
# Assumed ratio of the service times during and after the warm-up of a target.
COLD_FACTOR = 2.0


def cold_until(now: float, cold_s: float) -> float:
    """Return the end of a warm-up that takes some more time.

    Args:
      now: The event loop's time.
      cold_s: How much longer the target is cold; 0 if it is not.

    Returns:
      The time; negative infinity if the target is not cold, as there is no
      cold time that a margin could extend.
    """
    return now + cold_s if cold_s else -math.inf


class Target:
    """One incarnation of a target.

    Attributes:
      entry: Its entry in the store.
      in_flight: Requests of this host in flight to it.
      in_flight_elsewhere: Requests of other hosts in flight to it, as far as
        known.
      waiting_elsewhere: Requests that wait for it at other hosts.
      reported_load: The last report of its load, or None.
      slowness: Its service time relative to the typical one of each route, at
        its usual pace.
      pacer: Schedules the requests of this host while it is contended.
      failure_rate: Moving average of the share of failed requests, 0 to 1.
      keyed_paused_until: No keyed request is sent before this time, because
        it responded that it does not hold a key; in event loop time.
      paused_until: No request is sent before this time, in event loop time.
      held_off_until: The target wants no request from this host before this
        time, in event loop time.
      cold_until: End of its warm-up by its entry, in event loop time.
      cold_until_by_response: End of its warm-up by its last response that
        says so, in event loop time.
      refused_at: When it last refused a connection, in event loop time.
      missing_until: Until when it is kept without an entry in the store, or
        None if it has one.
      draining_since: The earliest time at which it may have started to drain,
        or None.
    """

    def __init__(
        self,
        entry: model.TargetEntry,
        now: float,
        draining_since: float | None = None,
    ) -> None:
        """Create the state of a new target.

        Args:
          entry: Its entry in the store.
          now: The event loop's time.
          draining_since: The earliest time at which it may have started to
            drain, or None.
        """
        self.entry = entry
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.waiting_elsewhere = 0
        self.reported_load: reported_load.Report | None = None
        self.slowness = 1.0
        self.pacer = pacing.Pacer()
        self.keyed_paused_until = 0.0
        self.failure_rate = 0.0
        self.paused_until = 0.0
        self.held_off_until = 0.0
        self.cold_until = cold_until(now, entry.cold_s)
        self.cold_until_by_response = -math.inf
        self.refused_at = -math.inf
        self.missing_until: float | None = None
        self.draining_since = draining_since
        self._silent = False
        self._resets: collections.deque[tuple[float, bytes]] = (
            collections.deque(maxlen=MAX_RESETS)
        )
        self._pause_s = FIRST_PAUSE_S
        self._outcome_at = now

    def current_failure_rate(self, now: float) -> float:
        """Return the failure rate, which decays while nothing is sent."""
        elapsed = now - self._outcome_at
        return self.failure_rate * 0.5 ** (elapsed / FAILURE_HALF_LIFE_S)

    def is_cold(self, now: float) -> bool:
        """Return whether it is still warming up."""
        return now < self.cold_until or now < self.cold_until_by_response

    def pace(self, now: float) -> float:
        """Return the factor by which its work takes longer than usual."""
        usual = COLD_FACTOR if self.is_cold(now) else 1.0
        if self.reported_load is None:
            return usual
        return reported_load.pace(self.reported_load, usual, now)

    @property
    def cold_end(self) -> float:
        """The end of its warm-up, in event loop time."""
        return max(self.cold_until, self.cold_until_by_response)

    def is_paused(self, now: float) -> bool:
        """Return whether no request may be sent to it now."""
        return now < max(self.paused_until, self.held_off_until)

    def record_success(
        self, elapsed_s: float, typical_s: float, now: float
    ) -> None:
        """Record that a request was answered.

        Args:
          elapsed_s: How long it took.
          typical_s: The typical service time of its route.
          now: The event loop's time.
        """
        self._record_outcome(0.0, now)
        self._pause_s = FIRST_PAUSE_S
        self.paused_until = 0.0
        # Otherwise the pace would count twice: as slowness and by itself.
        elapsed_s /= self.pace(now)
        sample = min(MAX_SLOWNESS, elapsed_s / max(typical_s, 0.001))
        self.slowness += SLOWNESS_WEIGHT * (sample - self.slowness)

    def record_abandoned(
        self, elapsed_s: float, typical_s: float, now: float
    ) -> None:
        """Record that a request was cancelled, as another target was faster.

        How long it would have taken is not known, but not less than this.

        Args:
          elapsed_s: How long it ran.
          typical_s: The typical service time of its route.
          now: The event loop's time.
        """
        if self.is_cold(now):
            elapsed_s /= COLD_FACTOR
        sample = min(MAX_SLOWNESS, elapsed_s / max(typical_s, 0.001))
        if sample > self.slowness:
            self.slowness += SLOWNESS_WEIGHT * (sample - self.slowness)

    def record_misdirected(self, now: float) -> None:
        """Record that it does not hold a key that it should hold."""
        self.keyed_paused_until = now + MISDIRECTED_PAUSE_S

    def record_failure(self, now: float) -> None:
        """Record that a request failed at the target."""
        self._record_outcome(1.0, now)

    def record_rejection(self, now: float) -> None:
        """Record that it rejected a request without running it."""
        self._record_outcome(1.0, now)
        self.paused_until = max(self.paused_until, now + REJECTION_PAUSE_S)

    def is_silent(self, now: float) -> bool:
        """Return whether it is paused because it did not respond at all."""
        return self._silent and now < self.paused_until

    def record_reset(self, fingerprint: bytes, now: float) -> None:
        """Record that the connection of a request was reset.

        Overloaded targets reset connections too. The target is only taken to
        have crashed if connecting to it fails shortly afterwards.
        """
        self._resets.append((now, fingerprint))

    def pop_recent_resets(self, now: float) -> list[bytes]:
        """Return and clear the requests that it seems to have crashed on.

        Returns:
          The fingerprints of requests whose connections were reset recently.
        """
        recent = [
            fingerprint
            for at, fingerprint in self._resets
            if now - at <= CRASH_WINDOW_S
        ]
        self._resets.clear()
        return recent

    def record_unreachable(self, now: float, silent: bool = False) -> None:
        """Record that it could not be reached, and pause with back-off.

        Args:
          now: The event loop's time.
          silent: Whether there was no response at all, not even a refused
            connection.
        """
        self._record_outcome(1.0, now)
        self._silent = silent
        self.paused_until = now + self._pause_s
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 1.7)

    def _record_outcome(self, sample: float, now: float) -> None:
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + FAILURE_WEIGHT * (sample - rate)
        self._outcome_at = now
