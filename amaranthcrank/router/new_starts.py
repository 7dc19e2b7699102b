"""Asks the store whether a target has started anew under its id.

A grant names a target by its id only, so one that is sent before the new start
is known would give the next incarnation keys with the token of the former.
"""

import asyncio
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import event_log
from amaranthcrank.router import model

# A grant must not go out much later than its sender still held the lease.
TIMEOUT_S = 0.2


def start_check(
    client: store.Client, log: event_log.EventLog
) -> typing.Callable[[str], typing.Awaitable[bool]]:
    """Return a function that reads a holder's entry from the store.

    It tells whether the target has started anew. What cannot be read says
    nothing: owners keep their keys while the store is away.

    Args:
      client: The store's client.
      log: Takes entries that could not be read.
    """

    async def has_started_anew(holder: str) -> bool:
        target_id, incarnation = model.split_holder(holder)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                item = await client.get(
                    names.TARGETS_KIND, target_id, TIMEOUT_S
                )
            if item is None:
                return False
            entry = entries.decode_target(target_id, item)
        except (TimeoutError, store.StoreError, entries.EntryError) as error:
            log.event('start_unread', holder=holder, error=repr(error))
            return False
        return entry.incarnation > incarnation

    return has_started_anew
