"""Detection of requests that crash the targets that run them.

A request on which several targets crashed is blocked at all hosts until its
reports expire: its caller repeats it, and each attempt would crash another
target. A response to the request clears its reports.

A report is a guess: the target reset a connection and refused the next one,
as one that is cut off does too. A target that runs a request later had not
crashed, so the reports on it are withdrawn.
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
    """The targets that crashed on each request, as reported by all hosts.

    Targets are named as `id/incarnation`, as one may restart under its id.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start without reports."""
        self._clock = clock
        self._crash_times_by_request: dict[bytes, dict[str, float]] = {}
        self._requests_by_holder: dict[str, set[bytes]] = {}

    def record_crash(self, request: bytes, holder: str) -> None:
        """Record that a target crashed on a request.

        Args:
          request: The request's fingerprint.
          holder: The target, as `id/incarnation`.
        """
        if len(self._crash_times_by_request) >= MAX_REQUESTS:
            self._evict_expired()
        if len(self._crash_times_by_request) < MAX_REQUESTS:
            time_by_holder = self._crash_times_by_request.setdefault(
                request, {}
            )
            time_by_holder[holder] = self._clock()
            self._requests_by_holder.setdefault(holder, set()).add(request)

    def clear(self, request: bytes) -> bool:
        """Remove the reports on an answered request.

        Args:
          request: The request's fingerprint.

        Returns:
          Whether there were any.
        """
        time_by_holder = self._crash_times_by_request.pop(request, None)
        if time_by_holder is None:
            return False
        for holder in time_by_holder:
            requests = self._requests_by_holder[holder]
            requests.discard(request)
            if not requests:
                del self._requests_by_holder[holder]
        return True

    def withdraw(self, holder: str) -> bool:
        """Remove the reports on a target that has run a request.

        Args:
          holder: The target, as `id/incarnation`.

        Returns:
          Whether there were any.
        """
        requests = self._requests_by_holder.pop(holder, None)
        if requests is None:
            return False
        for request in requests:
            time_by_holder = self._crash_times_by_request[request]
            del time_by_holder[holder]
            if not time_by_holder:
                del self._crash_times_by_request[request]
        return True

    def count(self, request: bytes) -> int:
        """Return how many targets crashed on a request recently."""
        time_by_holder = self._crash_times_by_request.get(request)
        if time_by_holder is None:
            return 0
        oldest_at = self._clock() - REPORT_RETENTION_S
        return sum(at >= oldest_at for at in time_by_holder.values())

    def is_blocked(self, request: bytes) -> bool:
        """Return whether a request must not be sent."""
        return self.count(request) >= BLOCKING_CRASHES

    def _evict_expired(self) -> None:
        for request in list(self._crash_times_by_request):
            if not self.count(request):
                self.clear(request)
