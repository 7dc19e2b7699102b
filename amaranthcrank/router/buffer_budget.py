"""Limits the memory used by incomplete responses.

All connections share one limit. When it is exceeded, the response that gives
way is one of whoever uses the most: first the group (a service), then the
server, then the connection. So a server that sends without end costs other
services, and other servers, none of their responses.
"""

import collections
import typing

# Faulty targets send endless responses, and a host has only a few hundred
# megabytes of memory.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024


class Account:
    """The bytes of the incomplete response of one connection.

    Attributes:
      group: What the connection is used for, such as a service.
      server: Where the connection leads.
      size: The number of bytes buffered now.
      evict: Called when this response has to give way; must call
        `BufferBudget.remove_all`.
    """

    def __init__(
        self, server: typing.Hashable, evict: typing.Callable[[], None]
    ) -> None:
        """Create an account without bytes."""
        self.group = ''
        self.server = server
        self.size = 0
        self.evict = evict


class BufferBudget:
    """Counts the bytes of incomplete responses on all connections of a pool.

    Attributes:
      buffered_bytes: The number of bytes buffered now.
      peak_bytes: The highest number of bytes buffered so far.
      evicted: The number of responses that had to give way so far.
    """

    def __init__(self) -> None:
        """Create a budget of which nothing is used."""
        self.buffered_bytes = 0
        self.peak_bytes = 0
        self.evicted = 0
        self._used: set[Account] = set()

    def add(self, account: Account, size: int) -> bool:
        """Count received bytes; evict responses while the limit is exceeded.

        Returns:
          Whether the response of the account may continue.
        """
        account.size += size
        self._used.add(account)
        self.buffered_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.buffered_bytes)
        is_evicted = False
        while self.buffered_bytes > MAX_BUFFERED_BYTES:
            largest = self._find_largest()
            is_evicted = is_evicted or largest is account
            self.evicted += 1
            largest.evict()
        return not is_evicted

    def remove_all(self, account: Account) -> None:
        """Count the bytes of an account as delivered or discarded."""
        self.buffered_bytes -= account.size
        account.size = 0
        self._used.discard(account)

    def _find_largest(self) -> Account:
        """Return the largest response of the largest group and server."""
        candidates = _largest_set(self._used, lambda each: each.group)
        candidates = _largest_set(candidates, lambda each: each.server)
        return max(candidates, key=lambda each: each.size)


def _largest_set(
    accounts: typing.Iterable[Account],
    key: typing.Callable[[Account], typing.Hashable],
) -> list[Account]:
    """Return the accounts with the key that has the most bytes in all."""
    accounts_by_key: dict[typing.Hashable, list[Account]] = (
        collections.defaultdict(list)
    )
    for account in accounts:
        accounts_by_key[key(account)].append(account)
    return max(
        accounts_by_key.values(),
        key=lambda group: sum(account.size for account in group),
    )
