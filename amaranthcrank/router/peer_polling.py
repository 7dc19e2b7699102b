"""Polls other hosts while the store does not answer."""

import asyncio
import random
import typing

from amaranthcrank.router import peers
from amaranthcrank.router import store_sync

# Well within the time for which a target that leaves may get requests.
POLL_INTERVAL_S = 0.5
# More than one, as another host may have lost the store too or be unreachable.
POLLED_HOSTS = 2


class PeerPoller:
    """Polls a few random hosts while the store cannot be reached."""

    def __init__(
        self,
        messenger: peers.Messenger,
        reachability: store_sync.Reachability,
        kind: int,
        query: typing.Callable[[], typing.Any],
    ) -> None:
        """Start to poll whenever the store is lost.

        Args:
          messenger: Sends datagrams to the other hosts.
          reachability: Whether the store answers this host.
          kind: The kind of the message.
          query: Returns the content of the message; None if there is nothing
            to ask for yet.
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
