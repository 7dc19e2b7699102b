"""Quarantine of requests that crash the upstreams that run them."""

import hashlib
import typing

from amaranthcrank.core import model

EXPIRY_MS = 600_000
CRASHES_TO_QUARANTINE = 2
# Bounds the memory: at about 400 bytes each, less than 2 MB.
MAX_CRASHES = 4_096
# A peer's clock may be ahead by at most the clock skew between hosts.
MAX_CLOCK_AHEAD_MS = 500

# The `event` of an entry that marks a request as served.
SERVED_EVENT = 'served'


class Crash(typing.NamedTuple):
    """A crash while a request was in flight, as hosts exchange it.

    Attributes:
      fingerprint: The request's fingerprint.
      event: The id of the crash, the same at every host that observed it,
        or SERVED_EVENT.
      at_ms: The time of the crash, Unix ms.
    """

    fingerprint: str
    event: str
    at_ms: int


class Quarantine:
    """Crashes that one host observed or received from its peers.

    Attributes:
      crash_by_pair: The crashes by (fingerprint, event), in the order in which
        they were recorded.
      position_by_pair: The position of each in that order.
      times_by_fingerprint: For each fingerprint the time of each event, Unix
        ms.
      served_ms_by_fingerprint: When a request that had crash counts was
        served.
      last_position: The position of the newest crash.
    """

    __slots__ = (
        'crash_by_pair',
        'last_position',
        'position_by_pair',
        'served_ms_by_fingerprint',
        'times_by_fingerprint',
    )

    def __init__(self) -> None:
        """Initialise without crashes."""
        self.crash_by_pair: dict[tuple[str, str], Crash] = {}
        self.position_by_pair: dict[tuple[str, str], int] = {}
        self.times_by_fingerprint: dict[str, dict[str, int]] = {}
        self.served_ms_by_fingerprint: dict[str, int] = {}
        self.last_position = 0


def open_quarantine() -> Quarantine:
    """Create a quarantine without crashes."""
    return Quarantine()


def request_fingerprint(request: model.Request) -> str:
    """Return a digest of the fields that determine what the upstream runs."""
    digest = hashlib.blake2b(digest_size=16)
    fields = (request.service, request.key, request.method, request.query)
    for part in (*(each.encode() for each in fields), request.body):
        # The length separates the fields, so that service and key cannot be
        # mistaken for another service and key with the same concatenation.
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def crash_event(target: str, incarnation: str) -> str:
    """Return the id of a crash: the upstream's incarnation that crashed."""
    return f'{target}/{incarnation}'


def record_crash(
    quarantine: Quarantine,
    event: str,
    fingerprints: tuple[str, ...],
    now_ms: int,
) -> tuple[str, ...]:
    """Count a crash against each request that was in flight.

    Returns:
      The newly quarantined fingerprints.
    """
    crashes = tuple(Crash(each, event, now_ms) for each in fingerprints)
    return merge(quarantine, crashes, now_ms)


def record_served(
    quarantine: Quarantine, fingerprint: str, now_ms: int
) -> None:
    """Clear the crash counts of a request that an upstream has served.

    A popular lookup is in flight during most crashes. Without this, two
    unrelated crashes within ten minutes would make its key unavailable.

    Args:
      quarantine: The known crashes.
      fingerprint: The request's fingerprint.
      now_ms: When it was served, Unix time.
    """
    if fingerprint in quarantine.times_by_fingerprint:
        merge(quarantine, (Crash(fingerprint, SERVED_EVENT, now_ms),), now_ms)


def suspected(quarantine: Quarantine) -> frozenset[str]:
    """Return the fingerprints that have crash counts."""
    return frozenset(quarantine.times_by_fingerprint)


def is_quarantined(
    quarantine: Quarantine, fingerprint: str, now_ms: int
) -> bool:
    """Return whether requests with the fingerprint are refused now."""
    times = quarantine.times_by_fingerprint.get(fingerprint)
    if times is None:
        return False
    return _is_quarantined(times, now_ms)


def merge(
    quarantine: Quarantine, crashes: tuple[Crash, ...], now_ms: int
) -> tuple[str, ...]:
    """Add crashes; return the newly quarantined fingerprints."""
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
        _remove_crash(quarantine, next(iter(quarantine.crash_by_pair)))
    return tuple(newly_quarantined)


def export(
    quarantine: Quarantine, after: int, limit: int = 64
) -> tuple[tuple[Crash, ...], int]:
    """Return crashes to send to a peer.

    Args:
      quarantine: The known crashes.
      after: The position returned by the previous export to the same peer, 0
        for a peer that is new, has restarted or whose link broke.
      limit: The maximum number of crashes, and of served entries.

    Returns:
      The crashes after that position with the latest served entries, and the
      position after them.
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
    """Remove crashes that are 600 s old or older; return how many."""
    expired_pairs = [
        pair
        for pair, crash in quarantine.crash_by_pair.items()
        if now_ms - crash.at_ms >= EXPIRY_MS
    ]
    for pair in expired_pairs:
        _remove_crash(quarantine, pair)
    for fingerprint, at_ms in list(
        quarantine.served_ms_by_fingerprint.items()
    ):
        if now_ms - at_ms >= EXPIRY_MS:
            del quarantine.served_ms_by_fingerprint[fingerprint]
    return len(expired_pairs)


def _apply_served(quarantine: Quarantine, served: Crash) -> None:
    """Remove crashes of a fingerprint up to the time it was served."""
    fingerprint = served.fingerprint
    known_ms = quarantine.served_ms_by_fingerprint.get(fingerprint, 0)
    if served.at_ms <= known_ms:
        return
    quarantine.served_ms_by_fingerprint[fingerprint] = served.at_ms
    times = quarantine.times_by_fingerprint.get(fingerprint, {})
    for event, at_ms in list(times.items()):
        if at_ms <= served.at_ms:
            _remove_crash(quarantine, (fingerprint, event))
    while len(quarantine.served_ms_by_fingerprint) > MAX_CRASHES:
        oldest = next(iter(quarantine.served_ms_by_fingerprint))
        del quarantine.served_ms_by_fingerprint[oldest]


def _is_quarantined(times: dict[str, int], now_ms: int) -> bool:
    recent = sum(1 for at_ms in times.values() if now_ms - at_ms < EXPIRY_MS)
    return recent >= CRASHES_TO_QUARANTINE


def _remove_crash(quarantine: Quarantine, pair: tuple[str, str]) -> None:
    del quarantine.crash_by_pair[pair]
    del quarantine.position_by_pair[pair]
    fingerprint, event = pair
    times = quarantine.times_by_fingerprint[fingerprint]
    del times[event]
    if not times:
        del quarantine.times_by_fingerprint[fingerprint]
