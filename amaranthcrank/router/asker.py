"""Asks other hosts again and again while the store does not answer."""

import asyncio
import random
import typing

from amaranthcrank.router import peers
from amaranthcrank.router import store_sync

# Well within the time for which a target that leaves may get requests.
ASK_S = 0.5
# Others may have lost the store too, or be out of reach.
ASKED_HOSTS = 2


class Asker:
    """Asks some other hosts while a contact is lost."""

    def __init__(
        self,
        talk: peers.Peers,
        contact: store_sync.Contact,
        kind: int,
        question: typing.Callable[[], typing.Any],
    ) -> None:
        """Ask from each loss on.

        Args:
          talk: Sends to the other hosts.
          contact: Whether the store answers this host.
          kind: The kind of message.
          question: Returns what it says; None: there is nothing to ask yet.
        """
        self._talk = talk
        self._contact = contact
        self._kind = kind
        self._question = question
        self._timer: asyncio.TimerHandle | None = None
        contact.on_lost.append(self._start)

    def _start(self, _: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(ASK_S * random.random(), self._ask)

    def _ask(self) -> None:
        self._timer = None
        if self._contact.lost_at is None:
            return
        question = self._question()
        if question is not None:
            for host_id in self._talk.sample(ASKED_HOSTS):
                self._talk.send(host_id, self._kind, question)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(ASK_S, self._ask)
