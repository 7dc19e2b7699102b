"""Decides which of the hosts of a failure domain reads from the store.

One reads and tells the others what it found. Each of the others reads itself
when it has heard of no reading for a while, and goes on as the reader; of
two readers the one with the lower id goes on.
"""

import typing

# Fewer hosts each read for themselves, and wait for changes in long calls: a
# reader's calls are short, so that the others hear often that it still reads.
MIN_HOSTS = 8
# A reader's call waits so long for a change.
READER_WATCH_S = 0.8
# Longer than a reader's call and less than half of the time within which
# hosts must follow a change; by chance, so that not all read together.
MIN_READER_TIMEOUT_S = 1.2
MAX_READER_TIMEOUT_S = 1.8
# Hosts that missed something together do not read together.
EXPEDITED_SPREAD_S = 0.3
# With more hosts than these in a failure domain each tries more seldom while
# the store fails: one that succeeds tells the others, and each call is paid
# for.
RETRYING_HOSTS = 4


class ReaderElection:
    """Whose turn it is, as seen by one host."""

    def __init__(
        self,
        host_id: str,
        count_hosts: typing.Callable[[], int],
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
    ) -> None:
        """Start as if nobody read.

        Args:
          host_id: This host.
          hosts: Returns how many hosts the failure domain has.
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
        """Whether there are enough hosts for one to read for all."""
        return self._count_hosts() >= MIN_HOSTS

    @property
    def backoff_scale(self) -> float:
        """How much longer pauses after failures are than for a host alone."""
        if not self.is_enabled:
            return 1.0
        return self._count_hosts() / RETRYING_HOSTS

    def should_read(self) -> bool:
        """Tell whether this host should read now."""
        if self._is_reader or not self.is_enabled:
            return True
        return self._clock() >= self._reader_timeout_at

    def begin_read(self) -> None:
        """Learn that this host begins to read."""
        self._is_reader = True

    def expedite(self) -> None:
        """Let this host read soon: what it heard of it could not get."""
        self._reader_timeout_at = (
            self._clock() + EXPEDITED_SPREAD_S * self._random()
        )

    def record_read_by(self, reader_id: str) -> None:
        """Learn that another host of the failure domain has just read."""
        if self._is_reader and self._host_id < reader_id:
            return
        self._is_reader = False
        span_s = MAX_READER_TIMEOUT_S - MIN_READER_TIMEOUT_S
        timeout_s = MIN_READER_TIMEOUT_S + span_s * self._random()
        self._reader_timeout_at = self._clock() + timeout_s
