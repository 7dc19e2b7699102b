"""Quarantine of requests that crash the upstreams that run them."""

import typing


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
    """Crash counts that one host knows, its own and its peers'."""


def open_quarantine() -> Quarantine:
    """Start with no counts."""
    raise NotImplementedError


def fingerprint(service: str, key: str, body: bytes) -> str:
    """Identify a request by service, key and body."""
    raise NotImplementedError


def crash_event(target: str, incarnation: str) -> str:
    """Name a crash by the incarnation of the upstream that it ended."""
    raise NotImplementedError


def note_crash(
    quarantine: Quarantine,
    event: str,
    fingerprints: tuple[str, ...],
    now_ms: int,
) -> tuple[str, ...]:
    """Count a crash against each request that was in flight.

    Returns:
      The fingerprints that this puts into quarantine.
    """
    raise NotImplementedError


def is_quarantined(
    quarantine: Quarantine, fingerprint: str, now_ms: int
) -> bool:
    """Tell whether requests with the fingerprint are refused now."""
    raise NotImplementedError


def merge(
    quarantine: Quarantine, crashes: tuple[Crash, ...], now_ms: int
) -> tuple[str, ...]:
    """Take counts from a peer; return the newly quarantined."""
    raise NotImplementedError


def export(
    quarantine: Quarantine, after: int, limit: int = 64
) -> tuple[tuple[Crash, ...], int]:
    """Return counts for a heartbeat.

    Args:
      quarantine: The counts.
      after: The position returned by the export before to the same peer, 0
        for a peer that is new or has restarted.
      limit: How many at most.

    Returns:
      The counts after that position and the position after them.
    """
    raise NotImplementedError


def expire(quarantine: Quarantine, now_ms: int) -> int:
    """Drop counts of more than 600 s ago; return how many."""
    raise NotImplementedError
