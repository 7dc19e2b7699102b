"""Decides when a host reads from the store what all hosts share.

The controller tells the other hosts of each change by datagram, and repeats
the revisions in its heartbeats. A host reads the store only where it fell
behind, where it hears no controller, and now and then in case both failed:
waiting calls of every host for every change would grow with the square of
the fleet, and each call is paid for.
"""

import asyncio
import typing

# A datagram with the change itself mostly comes within this time of the
# heartbeat that names its revision.
LAG_GRACE_S = 0.25
# Hosts that fell behind together do not ask together.
SPREAD_S = 0.5
# Without a controller nobody tells of the changes that its successor makes.
NO_CONTROLLER_S = 1.0
# With more hosts than these each reads more seldom then: the successor's
# heartbeats tell who is behind.
NO_CONTROLLER_HOSTS = 20
# Now and then in case datagrams of hosts that joined were lost; up to twice
# as long by chance, as all hosts that read at once would fill a link.
MAX_AGE_S = 30.0
CHECK_S = 0.1


class SharedReadSchedule:
    """What is known of changes that this host has not read."""

    def __init__(
        self,
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
        revision_of: typing.Callable[[str], int],
        is_controller_known: typing.Callable[[], bool],
        count_hosts: typing.Callable[[], int],
    ) -> None:
        """Start as if everything had just been read.

        Args:
          clock: Returns seconds.
          random: Returns floats from 0 to below 1.
          revision_of: Returns the revision of the key map that this host
            has of a service, 0 without one.
          is_controller_near: Tells whether a controller is heard, or this
            host is the one.
          hosts: Returns how many hosts there are.
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
        """Learn the newest revisions from the controller's heartbeat."""
        for service, revision in revision_by_service.items():
            if revision <= self._revision_of(service):
                continue
            if self._behind_since is None:
                self._behind_since = self._clock()
                self._spread_s = SPREAD_S * self._random()
            return
        self._behind_since = None

    def request(self) -> None:
        """Read at once: there may be hosts that this one does not know."""
        self._requested = True

    def record_read(self) -> None:
        """Learn that everything was read just now."""
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
