"""Removes the entries of targets whose heartbeats do not arrive.

The platform does the same after three heartbeat intervals of silence, at times
also while the store is unavailable. A target that writes again creates its
entry anew.
"""

import asyncio
import time
import typing

from standins import platform_store

HEARTBEATS = 3
POLL_S = 0.05


class Silence:
    """Since when each entry has not been written."""

    def __init__(self, heartbeat_s: float) -> None:
        """Know no entries yet."""
        self._expiry_s = HEARTBEATS * heartbeat_s
        # The revision of each entry, and when it was first seen.
        self._seen_by_name: dict[str, tuple[int, float]] = {}

    def expired(
        self,
        revision_by_name: typing.Mapping[str, int],
        is_available: bool,
        now: float,
    ) -> list[str]:
        """Return the entries that are to be removed.

        Args:
          revision_by_name: The present entries and their revisions.
          is_available: Whether the store is available. No heartbeat arrives
            while it is not, so all intervals begin anew afterwards; unless
            entries expire then as well.
          now: The time, monotonic seconds.
        """
        expired = []
        seen_by_name = {}
        for name, revision in revision_by_name.items():
            seen = self._seen_by_name.get(name)
            if seen is None or seen[0] != revision or not is_available:
                seen = revision, now
            seen_by_name[name] = seen
            if now - seen[1] > self._expiry_s:
                expired.append(name)
        self._seen_by_name = seen_by_name
        return expired


async def remove_silent_entries(
    store: platform_store.PlatformStore,
    kind: str,
    heartbeat_s: float,
    expire_amid_outages: typing.Callable[[], bool] = lambda: False,
) -> None:
    """Remove entries of a kind until cancelled.

    Args:
      store: The store.
      kind: The kind.
      heartbeat_s: The interval in which they are written.
      expire_amid_outages: Says whether entries expire while the store is
        unavailable.
    """
    silence = Silence(heartbeat_s)
    while True:
        is_available = not store.fault or expire_amid_outages()
        expired = silence.expired(
            store.revisions(kind), is_available, time.monotonic()
        )
        for name in expired:
            store.remove(kind, name)
        await asyncio.sleep(POLL_S)
