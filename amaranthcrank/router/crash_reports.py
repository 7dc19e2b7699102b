"""Detection of requests that crash the targets that run them.

A request on which several targets crashed is blocked at all hosts until its
reports expire: its caller repeats it, and each attempt would crash another
target. A response to the request clears its reports.
"""

import hashlib
import typing

# Number of targets that must have crashed on a request before it is blocked.
# One or two may have crashed for other reasons while they ran a frequent
# request.
BLOCKING_CRASHES = 3
# Reports expire after this time, so that a repaired service receives its
# requests again.
REPORT_RETENTION_S = 60.0
MAX_REQUESTS = 1000


def fingerprint(method: bytes, path: bytes, body: bytes) -> bytes:
    """Return a digest that is the same for each repetition of a request."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (method, path, body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


class CrashReports:
    """The targets that crashed on each request, as reported by all hosts."""

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start without reports."""
        self._clock = clock
        self._crash_times_by_request: dict[bytes, dict[str, float]] = {}

    def record_crash(self, request: bytes, target_id: str) -> None:
        """Record that a target crashed on a request.

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
        """Remove the reports on an answered request.

        Args:
          request: The request's fingerprint.

        Returns:
          Whether there were any.
        """
        return self._crash_times_by_request.pop(request, None) is not None

    def count(self, request: bytes) -> int:
        """Return how many targets crashed on a request recently."""
        time_by_target = self._crash_times_by_request.get(request)
        if time_by_target is None:
            return 0
        oldest_at = self._clock() - REPORT_RETENTION_S
        return sum(at >= oldest_at for at in time_by_target.values())

    def is_blocked(self, request: bytes) -> bool:
        """Return whether a request must not be sent."""
        return self.count(request) >= BLOCKING_CRASHES

    def _evict_expired(self) -> None:
        for request in list(self._crash_times_by_request):
            if not self.count(request):
                del self._crash_times_by_request[request]
