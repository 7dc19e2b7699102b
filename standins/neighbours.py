"""Hosts of one failure domain around a store, without processes.

Datagrams between them arrive at once, unless a test cuts a host off.
"""

import asyncio
import contextlib
import random
import typing

from amaranthcrank.platform import store
from amaranthcrank.router import connection_pool
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import reading_rota
from standins import platform_site
from standins import platform_store

DOMAIN = 'a'


class Talk(peers.Peers):
    """What one host sends to and hears from the others.

    Attributes:
      own: The host, as the others know it.
      cut: Whether nothing reaches this host, or comes from it.
    """

    def __init__(self, own: peers.Peer, talk_by_id: dict[str, 'Talk']) -> None:
        """Join the others.

        Args:
          own: This host.
          talk_by_id: All hosts of the domain; this one is added.
        """
        super().__init__(own.host_id, DOMAIN)
        self.own = own
        self.cut = False
        self._talk_by_id = talk_by_id
        for other in talk_by_id.values():
            other.by_id[own.host_id] = own
            self.by_id[other.own.host_id] = other.own
        talk_by_id[own.host_id] = self

    def rota(self) -> reading_rota.ReadingRota:
        """Return a rota for this host."""
        loop = asyncio.get_running_loop()
        return reading_rota.ReadingRota(
            self.own.host_id, self.count_nearby, loop.time, random.random
        )

    def send_nearby(self, kind: int, content: typing.Any) -> None:
        """Hand a message to all others."""
        for host_id in self.by_id:
            self.send(host_id, kind, content)

    def send(self, host_id: str, kind: int, content: typing.Any) -> None:
        """Hand a message to one other."""
        talk = self._talk_by_id[host_id]
        if not self.cut and not talk.cut:
            talk.handler_by_kind[kind](self.own.host_id, content)


class Neighbours:
    """A store and the hosts around it.

    Attributes:
      store: The store.
      client: The one client that all hosts use, so that it counts all calls.
      pool: Its connections.
      talk_by_id: The hosts.
      task_by_id: What follows the store for each host.
    """

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Close everything with a stack."""
        self.store = platform_store.PlatformStore()
        self.talk_by_id: dict[str, Talk] = {}
        self.task_by_id: dict[str, asyncio.Task[None]] = {}
        self._stack = stack
        loop = asyncio.get_running_loop()
        self.pool = connection_pool.Pool(loop.time)
        stack.callback(self.pool.close)
        self._address = model.Address(
            platform_site.IP, platform_site.free_port()
        )
        self.client = store.Client(self._address, self.pool)

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.listen(self._address)
        self._stack.callback(self.store.server.close)

    def add(self, host_id: str) -> Talk:
        """Add a host."""
        address = model.Address(platform_site.IP, platform_site.free_port())
        return Talk(peers.Peer(host_id, address, DOMAIN), self.talk_by_id)

    def follow(
        self,
        host_id: str,
        following: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run what follows the store for a host."""
        task = asyncio.get_running_loop().create_task(following)
        self._stack.callback(task.cancel)
        self.task_by_id[host_id] = task
