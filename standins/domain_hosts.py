"""Hosts of one failure domain and a store, in one event loop.

Datagrams between them are delivered immediately, unless a host is isolated.
"""

import asyncio
import contextlib
import random
import typing

from amaranthcrank.platform import store
from amaranthcrank.router import connection_pool
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import reader_election
from standins import platform_site
from standins import platform_store

DOMAIN = 'a'


class InMemoryMessenger(peers.Messenger):
    """The messenger of one host; datagrams are delivered by direct calls.

    Attributes:
      own: The host itself, as the others know it.
      is_isolated: Whether datagrams from and to this host are dropped.
    """

    def __init__(
        self, own: peers.Peer, messenger_by_id: dict[str, 'InMemoryMessenger']
    ) -> None:
        """Add a host to the domain.

        Args:
          own: The host.
          messenger_by_id: All hosts of the domain; the new one is added.
        """
        super().__init__(own.host_id, DOMAIN)
        self.own = own
        self.is_isolated = False
        self._messenger_by_id = messenger_by_id
        for other in messenger_by_id.values():
            other.by_id[own.host_id] = own
            self.by_id[other.own.host_id] = other.own
        messenger_by_id[own.host_id] = self

    def make_election(self) -> reader_election.ReaderElection:
        """Create the reader election of this host."""
        loop = asyncio.get_running_loop()
        return reader_election.ReaderElection(
            self.own.host_id, self.count_in_domain, loop.time, random.random
        )

    def send_in_domain(self, kind: int, content: typing.Any) -> None:
        """Deliver a message to all other hosts."""
        for host_id in self.by_id:
            self.send(host_id, kind, content)

    def send_to_all(self, kind: int, content: typing.Any) -> None:
        """Deliver a message to all other hosts."""
        self.send_in_domain(kind, content)

    def send(self, host_id: str, kind: int, content: typing.Any) -> None:
        """Deliver a message to one other host."""
        messenger = self._messenger_by_id[host_id]
        if not self.fits(kind, content):
            self.oversized += 1
            return
        if not self.is_isolated and not messenger.is_isolated:
            data = self._encode(kind, content)
            messenger.receive(data)


class DomainHosts:
    """A store and the hosts of a failure domain.

    Attributes:
      store: The store.
      client: The store client; all hosts share it, so that it counts all
        calls.
      pool: The connections of the client.
      messenger_by_id: The messenger of each host.
      task_by_id: The task that follows the store for each host.
    """

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Create a domain without hosts; the stack closes everything."""
        self.store = platform_store.PlatformStore()
        self.messenger_by_id: dict[str, InMemoryMessenger] = {}
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
        """Start the store's server."""
        await self.store.listen(self._address)
        self._stack.callback(self.store.server.close)

    def add_host(self, host_id: str) -> InMemoryMessenger:
        """Add a host to the domain."""
        address = model.Address(platform_site.IP, platform_site.free_port())
        return InMemoryMessenger(
            peers.Peer(host_id, address, DOMAIN), self.messenger_by_id
        )

    def start_task(
        self,
        host_id: str,
        coroutine: typing.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Start the task that follows the store for a host."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._stack.callback(task.cancel)
        self.task_by_id[host_id] = task
