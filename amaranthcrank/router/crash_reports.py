"""Requests that seem to crash each target that runs them.

A request whose connections to several targets ended without an answer is
not sent again for a while, from any host: its caller repeats it, and each
try would take a further target down. An answer clears its request.
"""

import hashlib
import typing

# Targets that must have ended under a request before it is held back. One
# or two may have ended by chance, under a popular request.
BLOCKING_CRASHES = 3
# A report is forgotten after so long, so that a mended service gets its
# requests again.
REPORT_RETENTION_S = 60.0
MAX_REQUESTS = 1000


def fingerprint(method: bytes, path: bytes, body: bytes) -> bytes:
    """Return what is the same in each repetition of a request."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (method, path, body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


class CrashReports:
    """Which targets ended under which request, over all hosts."""

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start without reports."""
        self._clock = clock
        self._crash_times_by_request: dict[bytes, dict[str, float]] = {}

    def record_crash(self, request: bytes, target_id: str) -> None:
        """Take a report that a target ended under a request.

        Args:
          request: The request's fingerprint.
          target_id: The target.
        """
        if len(self._crash_times_by_request) >= MAX_REQUESTS:
            self._evict_expired()
        if len(self._crash_times_by_request) < MAX_REQUESTS:
            time_by_target = self._crash_times_by_request.setdefault(
                request, {}
            )
            time_by_target[target_id] = self._clock()

    def clear(self, request: bytes) -> bool:
        """Forget a request that was answered; return whether it was known."""
        return self._crash_times_by_request.pop(request, None) is not None

    def count(self, request: bytes) -> int:
        """Return under how many targets a request ended of late."""
        time_by_target = self._crash_times_by_request.get(request)
        if time_by_target is None:
            return 0
        oldest_at = self._clock() - REPORT_RETENTION_S
        return sum(at >= oldest_at for at in time_by_target.values())

    def is_blocked(self, request: bytes) -> bool:
        """Tell whether a request must not be sent."""
        return self.count(request) >= BLOCKING_CRASHES

    def _evict_expired(self) -> None:
        for request in list(self._crash_times_by_request):
            if not self.count(request):
                del self._crash_times_by_request[request]
