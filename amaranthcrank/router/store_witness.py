"""Asks the other hosts when the store answered them, and tells them."""

import asyncio
import random
import typing

from amaranthcrank.router import peers
from amaranthcrank.router import store_history

# Datagrams may be lost, and the others may be reached a little later than
# the store.
ASK_AFTER_S = (0.0, 0.15, 0.5)
# After an outage all hosts ask: each asks a few.
ASKED_HOSTS = 8


class StoreWitness:
    """What the hosts tell each other of the store's answers.

    Attributes:
      on_news: Called when another host has told of answers.
    """

    def __init__(
        self, talk: peers.Peers, history: store_history.StoreHistory
    ) -> None:
        """Tell of a history, and add to it what the others tell."""
        self.on_news: typing.Callable[[], None] | None = None
        self._talk = talk
        self._history = history
        talk.handler_by_kind[peers.STORE_ASKED] = self._tell
        talk.handler_by_kind[peers.STORE_SEEN] = self._hear

    def ask(self) -> None:
        """Ask some other hosts, a few times."""
        host_ids = list(self._talk.by_id)
        asked = random.sample(host_ids, min(ASKED_HOSTS, len(host_ids)))
        loop = asyncio.get_running_loop()
        for delay_s in ASK_AFTER_S:
            loop.call_later(delay_s, self._send_to, asked)

    def _send_to(self, host_ids: typing.Sequence[str]) -> None:
        for host_id in host_ids:
            self._talk.send(host_id, peers.STORE_ASKED, None)

    def _tell(self, host_id: str, content: typing.Any) -> None:
        ages_ms = self._history.ages_ms()
        self._talk.send(host_id, peers.STORE_SEEN, ages_ms)

    def _hear(self, host_id: str, content: typing.Any) -> None:
        if not isinstance(content, list):
            return
        self._history.add_ages(
            age_ms for age_ms in content if isinstance(age_ms, int)
        )
        if self.on_news is not None:
            self.on_news()
