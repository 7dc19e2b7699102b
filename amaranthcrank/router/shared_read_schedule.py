"""Decides when a host reads the state that all hosts share from the store.

The controller sends each change to the other hosts by datagram and repeats
the current revisions in its heartbeats. A host reads the store only when it
is behind, when it receives no heartbeats from a controller, and periodically
in case both failed. If every host watched the store for every change, the
number of calls would grow with the square of the fleet, and each call costs
money.
"""

import asyncio
import typing

# The datagram with a change usually arrives within this time of the heartbeat
# that names its revision.
LAG_GRACE_S = 0.25
# Random delay, so that hosts that fell behind together do not all read at the
# same time.
SPREAD_S = 0.5
# Interval of reads while no controller is known, because nobody sends this
# host the changes that the next controller makes.
NO_CONTROLLER_S = 1.0
# With more hosts than this, the interval without a controller grows with the
# number of hosts: the successor's heartbeats show each host whether it is
# behind.
NO_CONTROLLER_HOSTS = 20
# Interval of periodic reads, in case datagrams of hosts that joined were lost.
# It is randomly up to twice as long, because all hosts reading at once would
# fill a link.
MAX_AGE_S = 30.0
CHECK_S = 0.1


class SharedReadSchedule:
    """Tracks whether this host's copy of the shared state may be stale."""

    def __init__(
        self,
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
        revision_of: typing.Callable[[str], int],
        is_controller_known: typing.Callable[[], bool],
        count_hosts: typing.Callable[[], int],
    ) -> None:
        """Start as if the shared state had just been read.

        Args:
          clock: Returns the time in seconds.
          random: Returns floats in [0, 1).
          revision_of: Returns the revision of this host's key map of a
            service; 0 without one.
          is_controller_known: Tells whether this host is the controller or
            receives heartbeats from one.
          count_hosts: Returns the number of hosts.
        """
        self._clock = clock
        self._random = random
        self._revision_of = revision_of
        self._is_controller_known = is_controller_known
        self._count_hosts = count_hosts
        self._read_at = clock()
        self._behind_since: float | None = None
        self._spread_s = SPREAD_S * random()
        self._max_age_s = MAX_AGE_S * (1 + random())
        self._requested = False

    def record_revisions(self, revision_by_service: dict[str, int]) -> None:
        """Record the newest revisions, from the controller's heartbeat."""
        for service, revision in revision_by_service.items():
            if revision <= self._revision_of(service):
                continue
            if self._behind_since is None:
                self._behind_since = self._clock()
                self._spread_s = SPREAD_S * self._random()
            return
        self._behind_since = None

    def request(self) -> None:
        """Request a read at once, as there may be unknown hosts."""
        self._requested = True

    def record_read(self) -> None:
        """Record that the shared state was just read."""
        self._read_at = self._clock()
        self._behind_since = None
        self._requested = False
        self._spread_s = SPREAD_S * self._random()
        self._max_age_s = MAX_AGE_S * (1 + self._random())

    def is_due(self) -> bool:
        """Tell whether the store should be read now."""
        if self._requested:
            return True
        now = self._clock()
        if self._behind_since is not None:
            return now - self._behind_since >= LAG_GRACE_S + self._spread_s
        age_s = now - self._read_at
        if not self._is_controller_known():
            scale = max(1.0, self._count_hosts() / NO_CONTROLLER_HOSTS)
            return age_s >= scale * (NO_CONTROLLER_S + self._spread_s)
        return age_s >= self._max_age_s

    async def wait(self) -> None:
        """Wait until the store should be read."""
        while not self.is_due():
            await asyncio.sleep(CHECK_S)
