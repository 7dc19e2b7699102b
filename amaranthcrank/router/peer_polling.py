"""Polls other hosts while the store is unreachable."""

import asyncio
import random
import typing

from amaranthcrank.router import peers
from amaranthcrank.router import store_sync

# Well within the time for which a draining target may get requests.
POLL_INTERVAL_S = 0.5
# More than one, because a polled host may be unreachable or may have no access
# to the store either.
POLLED_HOSTS = 2


class PeerPoller:
    """Polls a few random hosts while the store is unreachable."""

    def __init__(
        self,
        messenger: peers.Messenger,
        reachability: store_sync.Reachability,
        kind: int,
        query: typing.Callable[[], typing.Any],
    ) -> None:
        """Set up polling, which starts whenever the store becomes unreachable.

        Args:
          messenger: Sends datagrams to the other hosts.
          reachability: Whether this host can reach the store.
          kind: The kind of the message.
          query: Returns the content of the message; None if no message
            should be sent yet.
        """
        self._messenger = messenger
        self._reachability = reachability
        self._kind = kind
        self._query = query
        self._timer: asyncio.TimerHandle | None = None
        reachability.on_unreachable.append(self._start)

    def _start(self, _: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            POLL_INTERVAL_S * random.random(), self._poll
        )

    def _poll(self) -> None:
        self._timer = None
        if self._reachability.unreachable_since is None:
            return
        query = self._query()
        if query is not None:
            for host_id in self._messenger.sample(POLLED_HOSTS):
                self._messenger.send(host_id, self._kind, query)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(POLL_INTERVAL_S, self._poll)
