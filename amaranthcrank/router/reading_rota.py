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
READER_WAIT_S = 0.8
# Longer than a reader's call and less than half of the time within which
# hosts must follow a change; by chance, so that not all read together.
SHORTEST_PATIENCE_S = 1.2
LONGEST_PATIENCE_S = 1.8
# Hosts that missed something together do not read together.
HURRY_S = 0.3
# With more hosts than these in a failure domain each tries more seldom while
# the store fails: one that succeeds tells the others, and each call is paid
# for.
TRYING_HOSTS = 4


class ReadingRota:
    """Whose turn it is, as seen by one host."""

    def __init__(
        self,
        host_id: str,
        hosts: typing.Callable[[], int],
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
        self._hosts = hosts
        self._clock = clock
        self._random = random
        self._is_reader = True
        self._patient_until = 0.0

    @property
    def is_shared(self) -> bool:
        """Whether there are enough hosts for one to read for all."""
        return self._hosts() >= MIN_HOSTS

    @property
    def pause_scale(self) -> float:
        """How much longer pauses after failures are than for a host alone."""
        if not self.is_shared:
            return 1.0
        return self._hosts() / TRYING_HOSTS

    def is_due(self) -> bool:
        """Tell whether this host should read now."""
        if self._is_reader or not self.is_shared:
            return True
        return self._clock() >= self._patient_until

    def begin(self) -> None:
        """Learn that this host begins to read."""
        self._is_reader = True

    def hurry(self) -> None:
        """Let this host read soon: what it heard of it could not get."""
        self._patient_until = self._clock() + HURRY_S * self._random()

    def note_heard(self, reader_id: str) -> None:
        """Learn that another host of the failure domain has just read."""
        if self._is_reader and self._host_id < reader_id:
            return
        self._is_reader = False
        span_s = LONGEST_PATIENCE_S - SHORTEST_PATIENCE_S
        patience_s = SHORTEST_PATIENCE_S + span_s * self._random()
        self._patient_until = self._clock() + patience_s
