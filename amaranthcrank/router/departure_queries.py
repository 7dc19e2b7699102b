"""Queries other hosts about the departure of targets with missing entries.

A host that watched the store without interruption has seen whether an entry
was removed. A host that could not reach the store for some time sees only
that the entry is missing.
"""

import asyncio
import random
import typing

from amaranthcrank.router import directory
from amaranthcrank.router import message_kinds
from amaranthcrank.router import peers

# Delays of the repeated queries. They are repeated because datagrams may be
# lost, and some of the queried hosts may have been disconnected from the store
# as well.
QUERY_DELAYS_S = (0.0, 0.15, 0.5, 1.0)
# After an outage all hosts send queries, so each one queries only a few
# others.
QUERIED_HOSTS = 5
# As many as fit into a datagram. Only after an outage are more entries
# missing.
QUERIED_TARGETS = 30


class DepartureQueries:
    """Sends queries about targets that may have departed, and replies."""

    def __init__(
        self, messenger: peers.Messenger, targets: directory.Directory
    ) -> None:
        """Handle the queries of one host.

        Args:
          messenger: Exchanges datagrams with the other hosts.
          targets: The directory whose missing targets are queried, and from
            which queries of other hosts are answered.
        """
        self._messenger = messenger
        self._targets = targets
        messenger.handler_by_kind[message_kinds.MISSING_TARGETS] = (
            self._on_missing
        )
        messenger.handler_by_kind[message_kinds.DEPARTED_TARGETS] = (
            self._on_departed
        )

    def query(self) -> None:
        """Query some other hosts repeatedly while entries are missing."""
        loop = asyncio.get_running_loop()
        for delay_s in QUERY_DELAYS_S:
            loop.call_later(delay_s, self._query_once)

    def _query_once(self) -> None:
        missing = self._targets.missing_holders()
        if not missing:
            return
        queried = min(QUERIED_TARGETS, len(missing))
        holders = random.sample(missing, queried)
        for host_id in self._messenger.sample(QUERIED_HOSTS):
            self._messenger.send(
                host_id, message_kinds.MISSING_TARGETS, holders
            )

    def _on_missing(self, host_id: str, content: typing.Any) -> None:
        departed = [
            holder for holder in content if self._targets.has_departed(holder)
        ]
        if departed:
            self._messenger.send(
                host_id, message_kinds.DEPARTED_TARGETS, departed
            )

    def _on_departed(self, host_id: str, content: typing.Any) -> None:
        for holder in content:
            self._targets.confirm_departure(holder)
