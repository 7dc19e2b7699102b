"""Asks other hosts whether targets whose entries are missing have left.

A host that watched the store all the time saw whether an entry was removed.
One that lost the store only sees that it is missing.
"""

import asyncio
import random
import typing

from amaranthcrank.router import directory
from amaranthcrank.router import peers

# Datagrams may be lost, and hosts that were cut off together know nothing.
ASK_AFTER_S = (0.0, 0.15, 0.5, 1.0)
# After an outage all hosts ask: each asks a few others.
ASKED_HOSTS = 5
# What fits into a datagram. More are missing only after an outage.
ASKED_TARGETS = 30


class DepartureTalk:
    """What the hosts tell each other of targets that left."""

    def __init__(
        self, talk: peers.Peers, targets: directory.Directory
    ) -> None:
        """Ask for the missing targets of a directory, and answer from it."""
        self._talk = talk
        self._targets = targets
        talk.handler_by_kind[peers.MISSING] = self._tell
        talk.handler_by_kind[peers.DEPARTED] = self._hear

    def ask(self) -> None:
        """Ask some other hosts, a few times, while targets are missing."""
        loop = asyncio.get_running_loop()
        for delay_s in ASK_AFTER_S:
            loop.call_later(delay_s, self._ask_once)

    def _ask_once(self) -> None:
        missing = self._targets.missing_holders()
        if not missing:
            return
        asked = min(ASKED_TARGETS, len(missing))
        holders = random.sample(missing, asked)
        for host_id in self._talk.sample(ASKED_HOSTS):
            self._talk.send(host_id, peers.MISSING, holders)

    def _tell(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list):
            return
        departed = []
        for holder in content:
            if isinstance(holder, str) and self._targets.has_departed(holder):
                departed.append(holder)
        if departed:
            self._talk.send(host_id, peers.DEPARTED, departed)

    def _hear(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list):
            return
        for holder in content:
            if isinstance(holder, str):
                self._targets.confirm_departure(holder)
