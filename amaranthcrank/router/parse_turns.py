"""Bounds how much is parsed in each turn of the event loop. No I/O.

A read of 256 KiB may hold 40,000 chunks of one byte, whose parsing takes a
second or so. Nobody else is served meanwhile. Connections therefore parse a
few events at a time, and take turns.
"""

import collections
import typing

# A turn of these takes a few milliseconds at most.
DEFAULT_EVENTS_PER_TURN = 64
# What one connection may parse in a turn while others wait. An ordinary
# request is three events: its head, its body and its end.
EVENTS_PER_CONNECTION = 16


class Reader(typing.Protocol):
    """A connection that parses received data."""

    def resume_parsing(self) -> None:
        """Parse until take() returns False or no data is left."""


class ParseTurns:
    """Divides the events of a turn among connections.

    Attributes:
      events_per_turn: How many events are parsed in a turn.
      deferred: How often a connection had to wait for a turn.
    """

    def __init__(
        self,
        call_in_next_turn: typing.Callable[
            [typing.Callable[[], None]], typing.Any
        ],
        events_per_turn: int = DEFAULT_EVENTS_PER_TURN,
    ) -> None:
        """Create turns of which nothing is used.

        Args:
          call_in_next_turn: Schedules a call for the next turn.
          events_per_turn: How many events are parsed in a turn.
        """
        self.deferred = 0
        self._call_in_next_turn = call_in_next_turn
        self.events_per_turn = events_per_turn
        self._left = events_per_turn
        self._used_by_reader: dict[Reader, int] = {}
        # The values are unused: the dictionary is an ordered set.
        self._waiting: dict[Reader, None] = {}
        self._is_scheduled = False

    def take(self, reader: Reader) -> bool:
        """Take one event for a connection.

        Returns:
          Whether the connection may parse an event now. Otherwise
          resume_parsing() is called in a later turn.
        """
        self._schedule()
        used = self._used_by_reader.get(reader, 0)
        if self._left and used < EVENTS_PER_CONNECTION:
            self._left -= 1
            self._used_by_reader[reader] = used + 1
            return True
        self._waiting[reader] = None
        self.deferred += 1
        return False

    def is_waiting(self, reader: Reader) -> bool:
        """Return whether a connection waits for a turn."""
        return reader in self._waiting

    def remove(self, reader: Reader) -> None:
        """Forget a connection that is closed."""
        self._waiting.pop(reader, None)
        self._used_by_reader.pop(reader, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_in_next_turn(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._left = self.events_per_turn
        self._used_by_reader.clear()
        for reader in collections.deque(self._waiting):
            if not self._left:
                return
            if reader in self._waiting:
                del self._waiting[reader]
                reader.resume_parsing()
        # Those that wait again have taken an event, so a turn is scheduled.
