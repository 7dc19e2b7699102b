"""Asks other hosts again and again while the store does not answer."""

import asyncio
import random
import typing

from amaranthcrank.router import peers
from amaranthcrank.router import store_sync

# Well within the time for which a target that leaves may get requests.
POLL_INTERVAL_S = 0.5
# Others may have lost the store too, or be out of reach.
POLLED_HOSTS = 2


class PeerPoller:
    """Asks some other hosts while a contact is lost."""

    def __init__(
        self,
        messenger: peers.Messenger,
        reachability: store_sync.Reachability,
        kind: int,
        query: typing.Callable[[], typing.Any],
    ) -> None:
        """Ask from each loss on.

        Args:
          talk: Sends to the other hosts.
          contact: Whether the store answers this host.
          kind: The kind of message.
          question: Returns what it says; None: there is nothing to ask yet.
        """
        self._messenger = messenger
        self._reachability = reachability
        self._kind = kind
        self._query = query
        self._timer: asyncio.TimerHandle | None = None
        reachability.on_lost.append(self._start)

    def _start(self, _: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            POLL_INTERVAL_S * random.random(), self._poll
        )

    def _poll(self) -> None:
        self._timer = None
        if self._reachability.lost_at is None:
            return
        query = self._query()
        if query is not None:
            for host_id in self._messenger.sample(POLLED_HOSTS):
                self._messenger.send(host_id, self._kind, query)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(POLL_INTERVAL_S, self._poll)
