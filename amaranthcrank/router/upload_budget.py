"""Limits the memory used by the bodies of requests.

A body is kept until its request has ended, since it may be sent again. Before
a long body is read, its whole length is reserved. Those that do not fit wait
in the order of their arrival, unread, so that none is read in part while
others need the memory.
"""

import collections
import typing

# Shorter bodies are read without a reservation.
MAX_UNRESERVED_BYTES = 64 * 1024
# The share of the host's memory that long bodies may use together.
MEMORY_SHARE = 0.3
# Used where the memory of the host is not known.
DEFAULT_BYTES = 64 * 1024 * 1024


class _Waiting(typing.NamedTuple):
    holder: typing.Hashable
    size: int
    on_reserved: typing.Callable[[], None]


class UploadBudget:
    """The memory reserved for bodies, by connection.

    Attributes:
      max_bytes: The limit of all reservations together. A longer body is read
        while there are no others.
      reserved_bytes: The sum of all reservations.
    """

    def __init__(self, max_bytes: int = DEFAULT_BYTES) -> None:
        """Create a budget of which nothing is reserved."""
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self._size_by_holder: dict[typing.Hashable, int] = {}
        self._waiting: collections.deque[_Waiting] = collections.deque()

    def reserve(
        self,
        holder: typing.Hashable,
        size: int,
        on_reserved: typing.Callable[[], None],
    ) -> bool:
        """Reserve memory for a body, or wait for it.

        Args:
          holder: Whose body it is; it has one reservation at a time.
          size: The length of the body, in bytes.
          on_reserved: Called once the memory is reserved, unless it is at
            once.

        Returns:
          Whether the memory is reserved now.
        """
        if not self._waiting and self._fits(size):
            self._add(holder, size)
            return True
        self._waiting.append(_Waiting(holder, size, on_reserved))
        return False

    def release(self, holder: typing.Hashable) -> None:
        """Give up a reservation, or the wait for one."""
        self.reserved_bytes -= self._size_by_holder.pop(holder, 0)
        self._waiting = collections.deque(
            each for each in self._waiting if each.holder != holder
        )
        while self._waiting and self._fits(self._waiting[0].size):
            first = self._waiting.popleft()
            self._add(first.holder, first.size)
            first.on_reserved()

    def _fits(self, size: int) -> bool:
        if not self.reserved_bytes:
            return True
        return self.reserved_bytes + size <= self.max_bytes

    def _add(self, holder: typing.Hashable, size: int) -> None:
        self._size_by_holder[holder] = size
        self.reserved_bytes += size
