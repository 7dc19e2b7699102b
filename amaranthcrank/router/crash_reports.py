"""Detection of requests that crash the targets that run them.

A request on which several targets crashed is blocked at all hosts until its
reports expire: its caller repeats it, and each attempt would crash another
target. A response to the request clears its reports.

A report is a guess: the target reset a connection and refused the next one,
as one that is cut off does too. A target that runs a request later had not
crashed, so the reports on it are withdrawn.
"""

import hashlib
import math
import typing

# Number of targets that must have crashed on a request before it is blocked.
# One or two may have crashed for other reasons while they ran a frequent
# request.
BLOCKING_CRASHES = 3
# Reports expire after this time, so that a repaired service receives its
# requests again. Callers may repeat a request as seldom as every few minutes.
REPORT_RETENTION_S = 3600.0
# Between messages to the other hosts about a request that is repeated.
RENEWAL_INTERVAL_S = 10.0
# How many requests with reports are kept, and how many of what was cleared or
# withdrawn.
MAX_REQUESTS = 1000

_Key = typing.TypeVar('_Key')


def fingerprint(method: bytes, path: bytes, body: bytes) -> bytes:
    """Return a digest that is the same for each repetition of a request."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (method, path, body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


class Crash(typing.NamedTuple):
    """A crash of a target on a request, as sent between hosts.

    Attributes:
      holder: The target, as `id/incarnation`.
      age_s: How long ago it crashed.
    """

    holder: str
    age_s: float


class Refuted(typing.NamedTuple):
    """Which reports of another host are known to be wrong.

    Attributes:
      is_cleared: Whether the request was answered since.
      withdrawn: The targets that have run a request since.
    """

    is_cleared: bool
    withdrawn: tuple[str, ...]


class _Reports:
    """The reports on one request.

    Attributes:
      crashed_at_by_holder: When each target crashed.
      told_at: When the other hosts were last told of the reports.
    """

    def __init__(self, now: float) -> None:
        self.crashed_at_by_holder: dict[str, float] = {}
        self.told_at = now

    def count(self, now: float) -> int:
        oldest_at = now - REPORT_RETENTION_S
        return sum(
            crashed_at >= oldest_at
            for crashed_at in self.crashed_at_by_holder.values()
        )


class CrashReports:
    """The targets that crashed on each request, as reported by all hosts.

    Targets are named as `id/incarnation`, as one may restart under its id.
    """

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports_by_request: dict[bytes, _Reports] = {}
        self._requests_by_holder: dict[str, set[bytes]] = {}
        # What was found wrong. A host that missed it may still report it.
        self._cleared_at_by_request: dict[bytes, float] = {}
        self._withdrawn_at_by_holder: dict[str, float] = {}

    def record_crash(self, request: bytes, holder: str) -> None:
        """Record that a target crashed on a request just now.

        Args:
          request: The request's fingerprint.
          holder: The target, as `id/incarnation`.
        """
        self._add(request, Crash(holder, 0.0))

    def merge(
        self, request: bytes, crashes: typing.Iterable[Crash]
    ) -> Refuted:
        """Add the reports of another host at which a request is blocked.

        Returns:
          What was found wrong since the crashes and is not added. The other
          host has missed that.
        """
        now = self._clock()
        cleared_at = self._cleared_at_by_request.get(request, -math.inf)
        is_cleared = False
        withdrawn = []
        for crash in crashes:
            crashed_at = now - crash.age_s
            if crashed_at <= cleared_at:
                is_cleared = True
                continue
            if crashed_at <= self._withdrawn_at(crash.holder):
                withdrawn.append(crash.holder)
                continue
            self._add(request, crash)
        reports = self._reports_by_request.get(request)
        if reports is not None:
            reports.told_at = now
        return Refuted(is_cleared, tuple(withdrawn))

    def _withdrawn_at(self, holder: str) -> float:
        return self._withdrawn_at_by_holder.get(holder, -math.inf)

    def _add(self, request: bytes, crash: Crash) -> None:
        now = self._clock()
        reports = self._reports_by_request.get(request)
        if reports is None:
            self._make_room(now)
            reports = self._reports_by_request[request] = _Reports(now)
        known_at = reports.crashed_at_by_holder.get(crash.holder, -math.inf)
        reports.crashed_at_by_holder[crash.holder] = max(
            now - crash.age_s, known_at
        )
        self._requests_by_holder.setdefault(crash.holder, set()).add(request)

    def clear(self, request: bytes) -> bool:
        """Remove the reports on an answered request.

        Args:
          request: The request's fingerprint.

        Returns:
          Whether there were any.
        """
        if request not in self._reports_by_request:
            return False
        self._remove(request)
        _record_time(self._cleared_at_by_request, request, self._clock())
        return True

    def is_reported(self, holder: str) -> bool:
        """Return whether a target, as `id/incarnation`, has reports."""
        return holder in self._requests_by_holder

    def withdraw(self, holder: str, ran_at: float = math.inf) -> bool:
        """Remove the reports on a target that has run a request.

        Args:
          holder: The target, as `id/incarnation`.
          ran_at: When it ran the request, by the clock of the reports. A
            target that has crashed since keeps its reports.

        Returns:
          Whether reports were removed.
        """
        requests = self._requests_by_holder.get(holder, ())
        reported = [self._reports_by_request[request] for request in requests]
        if not reported:
            return False
        if (
            max(each.crashed_at_by_holder[holder] for each in reported)
            > ran_at
        ):
            return False
        _record_time(self._withdrawn_at_by_holder, holder, self._clock())
        del self._requests_by_holder[holder]
        for request in requests:
            crashed_at_by_holder = self._reports_by_request[
                request
            ].crashed_at_by_holder
            del crashed_at_by_holder[holder]
            if not crashed_at_by_holder:
                del self._reports_by_request[request]
        return True

    def count(self, request: bytes) -> int:
        """Return how many targets crashed on a request recently."""
        reports = self._reports_by_request.get(request)
        if reports is None:
            return 0
        return reports.count(self._clock())

    def is_blocked(self, request: bytes) -> bool:
        """Return whether a request must not be sent."""
        return self.count(request) >= BLOCKING_CRASHES

    def is_renewal_due(self, request: bytes) -> bool:
        """Return whether to tell the other hosts of a blocked request.

        It is due at intervals while the request is repeated. Hosts that were
        started since the crashes, or missed a message, learn of them.
        """
        now = self._clock()
        reports = self._reports_by_request[request]
        if now - reports.told_at < RENEWAL_INTERVAL_S:
            return False
        reports.told_at = now
        return True

    def blocked(self) -> list[bytes]:
        """Return the requests that must not be sent."""
        return [
            request
            for request in self._reports_by_request
            if self.is_blocked(request)
        ]

    def latest_crashes(self, request: bytes) -> list[Crash]:
        """Return the latest crashes on a request, as many as block it."""
        reports = self._reports_by_request.get(request)
        if reports is None:
            return []
        now = self._clock()
        crashes = [
            Crash(holder, now - crashed_at)
            for holder, crashed_at in reports.crashed_at_by_holder.items()
        ]
        crashes.sort(key=lambda crash: crash.age_s)
        return crashes[:BLOCKING_CRASHES]

    def _make_room(self, now: float) -> None:
        """Evict requests so that there is room for one more."""
        if len(self._reports_by_request) < MAX_REQUESTS:
            return
        for request, reports in list(self._reports_by_request.items()):
            if not reports.count(now):
                self._remove(request)
        if len(self._reports_by_request) < MAX_REQUESTS:
            return
        fewest = min(
            self._reports_by_request,
            key=lambda request: self._reports_by_request[request].count(now),
        )
        self._remove(fewest)

    def _remove(self, request: bytes) -> None:
        reports = self._reports_by_request.pop(request)
        for holder in reports.crashed_at_by_holder:
            requests = self._requests_by_holder[holder]
            requests.discard(request)
            if not requests:
                del self._requests_by_holder[holder]


def _record_time(
    time_by_key: dict[_Key, float], key: _Key, now: float
) -> None:
    """Record the time of an event, and forget the oldest of too many."""
    time_by_key.pop(key, None)
    time_by_key[key] = now
    if len(time_by_key) > MAX_REQUESTS:
        # Entries are in the order of their times.
        del time_by_key[next(iter(time_by_key))]
