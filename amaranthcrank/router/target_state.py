"""What the host believes of one target: its entry, load, speed and faults.

Load, speed and faults come from the host's own requests.
"""

import collections

from amaranthcrank.router import model
from amaranthcrank.router import pacing

# Weight of the newest sample in moving averages.
SLOWNESS_WEIGHT = 0.15
FAILURE_WEIGHT = 0.2
FAILURE_HALF_LIFE_S = 3.0
# Pauses after faults, before one request tries the target again.
FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 2.0
REJECTION_PAUSE_S = 0.05
# A target without a key that it should hold gets it again within so long.
MISDIRECTED_PAUSE_S = 0.1
MAX_SLOWNESS = 10.0
# A target that refuses connections so shortly after it reset some has ended.
CRASH_WINDOW_S = 2.0
MAX_RESETS = 20
# A target that still warms up is taken to be this much slower.
COLD_FACTOR = 2.0


class Target:
    """One incarnation of a target.

    Attributes:
      entry: What it says of itself.
      in_flight: Requests of this host that it works on.
      elsewhere: Requests of other hosts, as far as they are known.
      waiting_elsewhere: Requests that wait for it at other hosts.
      slowness: Its service time relative to what is usual for a route.
      pace: When this host may send to it while it is in demand.
      fault_rate: Recent share of requests that failed, 0 to 1.
      disowned_until: No keyed request is sent before, since it just said
        that it holds a key no more.
      paused_until: No request is sent before; the event loop's time.
      cold_until: When it is warm, the event loop's time.
      missing_until: Until when a lapsed entry is kept, or None.
      leaving_since: Since when it may have been leaving, or None.
    """

    def __init__(
        self,
        entry: model.TargetEntry,
        now: float,
        draining_since: float | None = None,
    ) -> None:
        """Take the entry of a new target."""
        self.entry = entry
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.waiting_elsewhere = 0
        self.slowness = 1.0
        self.pacer = pacing.Pacer()
        self.keyed_paused_until = 0.0
        self.failure_rate = 0.0
        self.paused_until = 0.0
        self.cold_until = now + entry.cold_s
        self.missing_until: float | None = None
        self.draining_since = draining_since
        self._silent = False
        self._resets: collections.deque[tuple[float, bytes]] = (
            collections.deque(maxlen=MAX_RESETS)
        )
        self._pause_s = FIRST_PAUSE_S
        self._outcome_at = now

    def current_failure_rate(self, now: float) -> float:
        """Return the fault rate, which fades while nothing is sent."""
        elapsed = now - self._outcome_at
        return self.failure_rate * 0.5 ** (elapsed / FAILURE_HALF_LIFE_S)

    def is_cold(self, now: float) -> bool:
        """Tell whether it still warms up."""
        return now < self.cold_until

    def record_success(
        self, elapsed_s: float, typical_s: float, now: float
    ) -> None:
        """Learn from a request that was answered.

        Args:
          elapsed_s: How long it took.
          usual_s: How long requests of its route usually take.
          now: The event loop's time.
        """
        self._record_outcome(0.0, now)
        self._pause_s = FIRST_PAUSE_S
        self.paused_until = 0.0
        if self.is_cold(now):
            elapsed_s /= COLD_FACTOR
        sample = min(MAX_SLOWNESS, elapsed_s / max(typical_s, 0.001))
        self.slowness += SLOWNESS_WEIGHT * (sample - self.slowness)

    def record_misdirected(self, now: float) -> None:
        """Learn that it does not hold a key that it should."""
        self.keyed_paused_until = now + MISDIRECTED_PAUSE_S

    def record_failure(self, now: float) -> None:
        """Learn that a request failed at the target."""
        self._record_outcome(1.0, now)

    def record_rejection(self, now: float) -> None:
        """Learn that it turned a request away."""
        self._record_outcome(1.0, now)
        self.paused_until = max(self.paused_until, now + REJECTION_PAUSE_S)

    def is_silent(self, now: float) -> bool:
        """Tell whether it did not answer at all when last tried."""
        return self._silent and now < self.paused_until

    def record_reset(self, fingerprint: bytes, now: float) -> None:
        """Learn that the connection of a request was reset.

        Full targets reset connections too: only if it cannot be reached
        shortly after is it taken to have ended under the request.
        """
        self._resets.append((now, fingerprint))

    def pop_recent_resets(self, now: float) -> list[bytes]:
        """Return the requests under which it seems to have ended."""
        recent = [
            fingerprint
            for at, fingerprint in self._resets
            if now - at <= CRASH_WINDOW_S
        ]
        self._resets.clear()
        return recent

    def record_unreachable(self, now: float, silent: bool = False) -> None:
        """Learn that it could not be reached: pause, longer each time.

        Args:
          now: The event loop's time.
          silent: Whether there was no answer at all, not even a refusal.
        """
        self._record_outcome(1.0, now)
        self._silent = silent
        self.paused_until = now + self._pause_s
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 1.7)

    def _record_outcome(self, sample: float, now: float) -> None:
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + FAILURE_WEIGHT * (sample - rate)
        self._outcome_at = now
