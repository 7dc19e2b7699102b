"""Quarantine of requests that crash the upstreams that run them."""

import hashlib
import typing

from amaranthcrank.core import model

EXPIRY_MS = 600_000
CRASHES_TO_QUARANTINE = 2
# A guard for memory: at about 400 bytes each under 2 MB.
MAX_CRASHES = 4_096
# A peer's clock may be ahead by the skew between hosts, not by more.
MAX_CLOCK_AHEAD_MS = 500

# Stands in place of a crash event where a request was served instead.
SERVED_EVENT = 'served'


class Crash(typing.NamedTuple):
    """One count against one fingerprint, as it travels on heartbeats.

    Attributes:
      fingerprint: The request's fingerprint.
      event: The id of the crash; the same at every host that saw it.
      at_ms: When it happened, Unix time.
    """

    fingerprint: str
    event: str
    at_ms: int


class Quarantine:
    """Crash counts that one host knows, its own and its peers'.

    Attributes:
      crash_by_pair: The counts by (fingerprint, event), in the order in which
        they were learned.
      position_by_pair: The position of each in that order.
      times_by_fingerprint: When each event hit the fingerprint, Unix ms.
      served_ms_by_fingerprint: When a request that had counts was served.
      last_position: The position of the newest.
    """

    __slots__ = (
        'crash_by_pair',
        'last_position',
        'position_by_pair',
        'served_ms_by_fingerprint',
        'times_by_fingerprint',
    )

    def __init__(self) -> None:
        """Start with no counts."""
        self.crash_by_pair: dict[tuple[str, str], Crash] = {}
        self.position_by_pair: dict[tuple[str, str], int] = {}
        self.times_by_fingerprint: dict[str, dict[str, int]] = {}
        self.served_ms_by_fingerprint: dict[str, int] = {}
        self.last_position = 0


def open_quarantine() -> Quarantine:
    """Start with no counts."""
    return Quarantine()


def request_fingerprint(request: model.Request) -> str:
    """Identify a request by what it asks the upstream to run."""
    digest = hashlib.blake2b(digest_size=16)
    fields = (request.service, request.key, request.method, request.query)
    for part in (*(each.encode() for each in fields), request.body):
        # The length keeps service and key from running into one another.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def crash_event(target: str, incarnation: str) -> str:
    """Name a crash by the incarnation of the upstream that it ended."""
    return f'{target}/{incarnation}'


def record_crash(
    quarantine: Quarantine,
    event: str,
    fingerprints: tuple[str, ...],
    now_ms: int,
) -> tuple[str, ...]:
    """Count a crash against each request that was in flight.

    Returns:
      The fingerprints that this puts into quarantine.
    """
    crashes = tuple(Crash(each, event, now_ms) for each in fingerprints)
    return merge(quarantine, crashes, now_ms)


def record_served(
    quarantine: Quarantine, fingerprint: str, now_ms: int
) -> None:
    """Drop the counts of a request that an upstream has served since.

    A popular lookup is in flight at most crashes. Without this, two crashes
    within ten minutes that it had no part in took its key out of service.

    Args:
      quarantine: The counts.
      fingerprint: The request's fingerprint.
      now_ms: When it was served, Unix time.
    """
    if fingerprint in quarantine.times_by_fingerprint:
        merge(quarantine, (Crash(fingerprint, SERVED_EVENT, now_ms),), now_ms)


def suspected(quarantine: Quarantine) -> frozenset[str]:
    """Return the fingerprints that have counts."""
    return frozenset(quarantine.times_by_fingerprint)


def is_quarantined(
    quarantine: Quarantine, fingerprint: str, now_ms: int
) -> bool:
    """Tell whether requests with the fingerprint are refused now."""
    times = quarantine.times_by_fingerprint.get(fingerprint)
    if times is None:
        return False
    return _is_quarantined(times, now_ms)


def merge(
    quarantine: Quarantine, crashes: tuple[Crash, ...], now_ms: int
) -> tuple[str, ...]:
    """Take counts from a peer; return the newly quarantined."""
    newly_quarantined = []
    for crash in crashes:
        crash = crash._replace(
            at_ms=min(crash.at_ms, now_ms + MAX_CLOCK_AHEAD_MS)
        )
        if now_ms - crash.at_ms >= EXPIRY_MS:
            continue
        pair = (crash.fingerprint, crash.event)
        if crash.event == SERVED_EVENT:
            _apply_served(quarantine, crash)
            continue
        served_ms = quarantine.served_ms_by_fingerprint.get(
            crash.fingerprint, 0
        )
        if pair in quarantine.crash_by_pair or crash.at_ms <= served_ms:
            continue
        times = quarantine.times_by_fingerprint.setdefault(
            crash.fingerprint, {}
        )
        was_quarantined = _is_quarantined(times, now_ms)
        times[crash.event] = crash.at_ms
        quarantine.last_position += 1
        quarantine.crash_by_pair[pair] = crash
        quarantine.position_by_pair[pair] = quarantine.last_position
        if not was_quarantined and _is_quarantined(times, now_ms):
            newly_quarantined.append(crash.fingerprint)
    while len(quarantine.crash_by_pair) > MAX_CRASHES:
        _drop(quarantine, next(iter(quarantine.crash_by_pair)))
    return tuple(newly_quarantined)


def export(
    quarantine: Quarantine, after: int, limit: int = 64
) -> tuple[tuple[Crash, ...], int]:
    """Return counts for a heartbeat.

    Args:
      quarantine: The counts.
      after: The position returned by the export before to the same peer, 0
        for a peer that is new, has restarted or whose link broke.
      limit: How many at most.

    Returns:
      The counts after that position and the position after them.
    """
    crashes: list[Crash] = []
    position = after
    for pair in reversed(quarantine.crash_by_pair):
        if quarantine.position_by_pair[pair] <= after:
            break
        crashes.append(quarantine.crash_by_pair[pair])
    crashes.reverse()
    exported = crashes[:limit]
    if exported:
        last_exported = exported[-1]
        position = quarantine.position_by_pair[
            last_exported.fingerprint, last_exported.event
        ]
    served = []
    for fingerprint, at_ms in list(
        quarantine.served_ms_by_fingerprint.items()
    ):
        served.append(Crash(fingerprint, SERVED_EVENT, at_ms))
    return (*exported, *served[-limit:]), position


def expire(quarantine: Quarantine, now_ms: int) -> int:
    """Drop counts of more than 600 s ago; return how many."""
    expired_pairs = [
        pair
        for pair, crash in quarantine.crash_by_pair.items()
        if now_ms - crash.at_ms >= EXPIRY_MS
    ]
    for pair in expired_pairs:
        _drop(quarantine, pair)
    for fingerprint, at_ms in list(
        quarantine.served_ms_by_fingerprint.items()
    ):
        if now_ms - at_ms >= EXPIRY_MS:
            del quarantine.served_ms_by_fingerprint[fingerprint]
    return len(expired_pairs)


def _apply_served(quarantine: Quarantine, served: Crash) -> None:
    """Drop the counts of a fingerprint up to the time it was served."""
    fingerprint = served.fingerprint
    known_ms = quarantine.served_ms_by_fingerprint.get(fingerprint, 0)
    if served.at_ms <= known_ms:
        return
    quarantine.served_ms_by_fingerprint[fingerprint] = served.at_ms
    times = quarantine.times_by_fingerprint.get(fingerprint, {})
    for event, at_ms in list(times.items()):
        if at_ms <= served.at_ms:
            _drop(quarantine, (fingerprint, event))
    while len(quarantine.served_ms_by_fingerprint) > MAX_CRASHES:
        oldest = next(iter(quarantine.served_ms_by_fingerprint))
        del quarantine.served_ms_by_fingerprint[oldest]


def _is_quarantined(times: dict[str, int], now_ms: int) -> bool:
    recent = sum(1 for at_ms in times.values() if now_ms - at_ms < EXPIRY_MS)
    return recent >= CRASHES_TO_QUARANTINE


def _drop(quarantine: Quarantine, pair: tuple[str, str]) -> None:
    del quarantine.crash_by_pair[pair]
    del quarantine.position_by_pair[pair]
    fingerprint, event = pair
    times = quarantine.times_by_fingerprint[fingerprint]
    del times[event]
    if not times:
        del quarantine.times_by_fingerprint[fingerprint]
