"""Elects the host of a failure domain that reads from the store.

The reader sends the other hosts what it has read. A host that receives nothing
until its time-out reads the store itself and becomes the reader. Of two
readers, the one with the lower id remains the reader.
"""

import typing

# With fewer hosts, there is no election: each host reads the store and waits
# for changes in long calls. An elected reader makes short calls, so that the
# other hosts often receive proof that it is alive.
MIN_HOSTS = 8
# How long a call of the reader waits for a change.
READER_WATCH_S = 0.8
# Time-out of the other hosts, after which one of them replaces the reader. It
# is longer than a reader's call and less than half of the time within which
# hosts must apply a change. It is random within these bounds, so that the
# hosts do not all read at the same time.
MIN_READER_TIMEOUT_S = 1.2
MAX_READER_TIMEOUT_S = 1.8
# Bound of the random delay of an expedited read, so that hosts that missed the
# same datagram do not all read at the same time.
EXPEDITED_SPREAD_S = 0.3
# With more hosts than this in a failure domain, each one retries less often
# while the store fails: the first host that succeeds notifies the others, and
# each call costs money.
RETRYING_HOSTS = 4


class ReaderElection:
    """One host's view of the election."""

    def __init__(
        self,
        host_id: str,
        count_hosts: typing.Callable[[], int],
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
    ) -> None:
        """Start as the reader, as no other reader is known.

        Args:
          host_id: The id of this host.
          count_hosts: Returns how many hosts the failure domain has.
          clock: Returns seconds.
          random: Returns floats from 0 to below 1.
        """
        self._host_id = host_id
        self._count_hosts = count_hosts
        self._clock = clock
        self._random = random
        self._is_reader = True
        self._reader_timeout_at = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether there are enough hosts to elect a reader."""
        return self._count_hosts() >= MIN_HOSTS

    @property
    def backoff_scale(self) -> float:
        """The factor by which pauses after failures are multiplied."""
        if not self.is_enabled:
            return 1.0
        return self._count_hosts() / RETRYING_HOSTS

    def should_read(self) -> bool:
        """Return whether this host should read the store now."""
        if self._is_reader or not self.is_enabled:
            return True
        return self._clock() >= self._reader_timeout_at

    def begin_read(self) -> None:
        """Make this host the reader; call this before each read."""
        self._is_reader = True

    def expedite(self) -> None:
        """Let this host read soon, as it could not apply received changes.

        A read that is due earlier is not postponed, however often this is
        called: each host that has read notifies all others.
        """
        read_at = self._clock() + EXPEDITED_SPREAD_S * self._random()
        self._reader_timeout_at = min(self._reader_timeout_at, read_at)

    def record_read_by(self, reader_id: str) -> None:
        """Record that another host of the failure domain has just read."""
        if self._is_reader and self._host_id < reader_id:
            return
        self._is_reader = False
        span_s = MAX_READER_TIMEOUT_S - MIN_READER_TIMEOUT_S
        timeout_s = MIN_READER_TIMEOUT_S + span_s * self._random()
        self._reader_timeout_at = self._clock() + timeout_s
