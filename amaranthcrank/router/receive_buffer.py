"""Data of a caller that has not been parsed yet, with its arrival times."""

import collections
import typing

# Reading from a connection pauses when more than this waits to be parsed.
# Until then reading goes on, as a paused connection does not notice that its
# caller has left.
MAX_BYTES = 64 * 1024
# Segments of one byte take much more memory than their length.
MAX_PIECES = 256
# Each request behind another copies the rest of the piece that it came in.
PIECE_BYTES = 16 * 1024


class _Piece(typing.NamedTuple):
    data: bytes
    arrived_at: float


class ReceiveBuffer:
    """The data that waits to be parsed, in order.

    Attributes:
      size: The number of bytes that wait.
      taken_at: When the data that was taken last had arrived, in event loop
        time. A request that is complete with it arrived then.
    """

    def __init__(self) -> None:
        """Create an empty buffer."""
        self.size = 0
        self.taken_at = 0.0
        self._pieces: collections.deque[_Piece] = collections.deque()

    @property
    def is_full(self) -> bool:
        """Whether no more data should be read."""
        return self.size > MAX_BYTES or len(self._pieces) > MAX_PIECES

    def append(self, data: bytes, now: float) -> None:
        """Add data that arrived now."""
        self._pieces.append(_Piece(data, now))
        self.size += len(data)

    def take(self) -> bytes:
        """Remove and return the first piece; there must be one."""
        data, self.taken_at = self._pieces.popleft()
        self.size -= len(data)
        return data

    def put_back(self, data: bytes) -> None:
        """Return the unused end of the piece that was taken last."""
        self.size += len(data)
        if len(data) <= PIECE_BYTES:
            self._pieces.appendleft(_Piece(data, self.taken_at))
            return
        pieces = [
            _Piece(data[start : start + PIECE_BYTES], self.taken_at)
            for start in range(0, len(data), PIECE_BYTES)
        ]
        self._pieces.extendleft(reversed(pieces))

    def clear(self) -> None:
        """Discard all data."""
        self._pieces.clear()
        self.size = 0
