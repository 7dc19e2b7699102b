"""Logs events as JSON lines on standard output.

The rate of lines is limited, and writing never blocks. Lines that exceed the
limit or the buffer are dropped and counted, and a later line reports the
counts. Part of the rate limit is reserved for failures and state changes, so
that successes cannot use it up.
"""

import json
import os
import time
import typing

LINES_PER_S = 60.0
# The part of the burst that is reserved for failures and state changes.
RESERVE_LINES = 40.0
BURST_LINES = 120.0
# Enough for a burst while the reader is slow; further lines are dropped.
MAX_BUFFER_BYTES = 256 * 1024


class EventLog:
    """Writes JSON lines to a descriptor, rate-limited and non-blocking."""

    def __init__(
        self,
        host_id: str,
        descriptor: int = 1,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        """Set up a log on a descriptor, which is made non-blocking."""
        self._host_id = host_id
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._pending = bytearray()
        self._dropped_by_kind: dict[str, int] = {}
        os.set_blocking(descriptor, False)

    def success(self, kind: str, /, **fields: object) -> None:
        """Log a success, unless only the reserve is left."""
        self._write(kind, fields, RESERVE_LINES)

    def event(self, kind: str, /, **fields: object) -> None:
        """Log a failure, a decision or a state change."""
        self._write(kind, fields, 0.0)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has ended, and there is no other output.
                self._pending.clear()
                return
            del self._pending[:written]

    def _write(
        self, kind: str, fields: dict[str, object], reserve: float
    ) -> None:
        if not self._take_token(reserve):
            self._drop(kind)
            return
        line: dict[str, object] = {
            't': round(time.time(), 3),
            'host': self._host_id,
            'event': kind,
            **fields,
        }
        if self._dropped_by_kind:
            line['dropped'] = self._dropped_by_kind
            self._dropped_by_kind = {}
        data = json.dumps(line, separators=(',', ':'), default=str).encode()
        if len(self._pending) + len(data) > MAX_BUFFER_BYTES:
            self._drop(kind)
            return
        self._pending += data
        self._pending += b'\n'
        self.flush()

    def _take_token(self, reserve: float) -> bool:
        now = self._clock()
        earned = (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._tokens = min(BURST_LINES, self._tokens + earned)
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

    def _drop(self, kind: str) -> None:
        count = self._dropped_by_kind.get(kind, 0)
        self._dropped_by_kind[kind] = count + 1
