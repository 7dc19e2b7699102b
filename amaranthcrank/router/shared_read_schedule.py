"""Decides when a host reads the shared state from the store.

The shared state consists of the key maps and the addresses of the hosts. The
controller sends each change of a key map to the other hosts by datagram, and
its heartbeats contain the current revisions. A host reads the store only if
its revisions are older, if it receives no heartbeats from a controller, and
periodically in case datagrams of either kind were lost. If every host watched
the store for every change, the number of calls would grow with the square of
the number of hosts, and each call costs money.
"""

import asyncio
import typing

# A datagram with a change usually arrives within this time after the heartbeat
# that contains its revision.
LAG_GRACE_S = 0.25
# Bound of the random delay of a read, so that hosts that missed the same
# datagram do not all read at the same time.
SPREAD_S = 0.5
# Interval of reads while no controller is known, because this host is not sent
# the changes that the next controller makes.
NO_CONTROLLER_S = 1.0
# With more hosts than this, the interval without a controller grows with the
# number of hosts: the heartbeats of the next controller show each host whether
# its revisions are older.
NO_CONTROLLER_HOSTS = 20
# Shortest interval of periodic reads, in case datagrams of hosts that joined
# were lost. The interval is random, up to twice as long, because simultaneous
# reads of all hosts would saturate a link.
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
        """Set up the schedule of a host that has just read the shared state.

        Args:
          clock: Returns the time in seconds.
          random: Returns floats in [0, 1).
          revision_of: Returns the revision of the key map of a service at
            this host; 0 if it has none.
          is_controller_known: Returns whether this host is the controller or
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
        # When the read after a restore of the store is due.
        self._restored_read_at: float | None = None

    def record_revisions(self, revision_by_service: dict[str, int]) -> None:
        """Record the current revisions, as received in a heartbeat."""
        for service, revision in revision_by_service.items():
            if revision <= self._revision_of(service):
                continue
            if self._behind_since is None:
                self._behind_since = self._clock()
                self._spread_s = SPREAD_S * self._random()
            return
        self._behind_since = None

    def request(self) -> None:
        """Make a read due at once, as there may be unknown hosts."""
        self._requested = True

    def record_restore(self) -> None:
        """Make a read due soon, as the store came back from an older copy.

        It may lack the registration of this host. All hosts notice at about
        the same time.
        """
        self._restored_read_at = self._clock() + SPREAD_S * self._random()

    def record_read(self) -> None:
        """Record that the shared state has just been read."""
        self._restored_read_at = None
        self._read_at = self._clock()
        self._behind_since = None
        self._requested = False
        self._spread_s = SPREAD_S * self._random()
        self._max_age_s = MAX_AGE_S * (1 + self._random())

    def is_due(self) -> bool:
        """Return whether a read is due."""
        if self._requested:
            return True
        now = self._clock()
        restored_read_at = self._restored_read_at
        if restored_read_at is not None and now >= restored_read_at:
            return True
        if self._behind_since is not None:
            return now - self._behind_since >= LAG_GRACE_S + self._spread_s
        age_s = now - self._read_at
        if not self._is_controller_known():
            scale = max(1.0, self._count_hosts() / NO_CONTROLLER_HOSTS)
            return age_s >= scale * (NO_CONTROLLER_S + self._spread_s)
        return age_s >= self._max_age_s

    async def wait(self) -> None:
        """Wait until a read is due."""
        while not self.is_due():
            await asyncio.sleep(CHECK_S)
