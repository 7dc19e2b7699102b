"""Decides which of the hosts of a failure domain reads from the store.

The elected reader sends the others what it found. Each of the others that
receives nothing for a while reads the store itself and becomes the reader. Of
two readers the one with the lower id stays the reader.
"""

import typing

# With fewer hosts, each one reads for itself and waits for changes in long
# calls. A reader's calls are short, so that the others often see that it is
# still alive.
MIN_HOSTS = 8
# How long a call of the reader waits for a change.
READER_WATCH_S = 0.8
# How long the other hosts wait for the reader before one of them replaces it.
# Longer than a reader's call and less than half of the time within which
# hosts must apply a change. It is random within these bounds, so that not all
# of them read at the same time.
MIN_READER_TIMEOUT_S = 1.2
MAX_READER_TIMEOUT_S = 1.8
# Random delay, so that hosts that missed the same datagram do not all read at
# the same time.
EXPEDITED_SPREAD_S = 0.3
# With more hosts than this in a failure domain, each retries less often while
# the store fails: the first one that succeeds informs the others, and each
# call costs money.
RETRYING_HOSTS = 4


class ReaderElection:
    """The election as seen by one host."""

    def __init__(
        self,
        host_id: str,
        hosts: typing.Callable[[], int],
        clock: typing.Callable[[], float],
        random: typing.Callable[[], float],
    ) -> None:
        """Start as the reader, as no other reader is known.

        Args:
          host_id: The id of this host.
          hosts: Returns how many hosts the failure domain has.
          clock: Returns seconds.
          random: Returns floats from 0 to below 1.
        """
        self._host_id = host_id
        self._hosts = hosts
        self._clock = clock
        self._random = random
        self._is_reader = True
        self._reader_timeout_at = 0.0

    @property
    def is_enabled(self) -> bool:
        """Whether there are enough hosts for one to read for all."""
        return self._hosts() >= MIN_HOSTS

    @property
    def backoff_scale(self) -> float:
        """How much longer pauses after failures are than for a host alone."""
        if not self.is_enabled:
            return 1.0
        return self._hosts() / RETRYING_HOSTS

    def should_read(self) -> bool:
        """Tell whether this host should read now."""
        if self._is_reader or not self.is_enabled:
            return True
        return self._clock() >= self._reader_timeout_at

    def begin_read(self) -> None:
        """Make this host the reader, as it begins to read."""
        self._is_reader = True

    def expedite(self) -> None:
        """Let this host read soon, as it could not use what it received."""
        self._reader_timeout_at = (
            self._clock() + EXPEDITED_SPREAD_S * self._random()
        )

    def record_read_by(self, reader_id: str) -> None:
        """Record that another host of the failure domain has just read."""
        if self._is_reader and self._host_id < reader_id:
            return
        self._is_reader = False
        span_s = MAX_READER_TIMEOUT_S - MIN_READER_TIMEOUT_S
        timeout_s = MIN_READER_TIMEOUT_S + span_s * self._random()
        self._reader_timeout_at = self._clock() + timeout_s
