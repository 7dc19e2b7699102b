"""Reads single entries of targets from the store, where it matters at once.

What a host believes of a target may be some seconds old: a connection to the
store can fall silent unnoticed for so long.
"""

import asyncio
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import event_log
from amaranthcrank.router import model

# A grant must not go out much later than its sender still held the lease.
PRE_GRANT_TIMEOUT_S = 0.2
# An owner that refuses keeps its keys meanwhile, so a slow store is awaited.
REFUSAL_TIMEOUT_S = 1.0

# Takes the id of a target. Returns None where there is no entry, or where it
# cannot be read.
ReadEntry = typing.Callable[[str], typing.Awaitable[model.TargetEntry | None]]
# Takes a holder, as `id/incarnation`.
HolderCheck = typing.Callable[[str], typing.Awaitable[bool]]


def entry_reader(
    client: store.Client, log: event_log.EventLog, timeout_s: float
) -> ReadEntry:
    """Return a function that reads a target's entry.

    Args:
      client: The store's client.
      log: Takes entries that could not be read.
      timeout_s: How long reading may take.
    """

    async def read(target_id: str) -> model.TargetEntry | None:
        try:
            async with asyncio.timeout(timeout_s):
                item = await client.get(
                    names.TARGETS_KIND, target_id, timeout_s
                )
            if item is None:
                return None
            return entries.decode_target(target_id, item)
        except (TimeoutError, store.StoreError, entries.EntryError) as error:
            log.event('entry_unread', target=target_id, error=repr(error))
            return None

    return read


def restart_check(read: ReadEntry) -> HolderCheck:
    """Return a function that tells whether a target has started anew.

    A grant names a target by its id only, so one that is sent before the new
    start is known would give the next incarnation keys with the token of the
    former. What cannot be read says nothing: owners keep their keys while
    the store is away.
    """

    async def has_restarted(holder: str) -> bool:
        target_id, incarnation = model.split_holder(holder)
        entry = await read(target_id)
        return entry is not None and entry.incarnation > incarnation

    return has_restarted


def ready_check(read: ReadEntry) -> HolderCheck:
    """Return a function that tells whether a target should be serving.

    The store says so: the target has not said that it leaves.
    """

    async def is_ready(holder: str) -> bool:
        target_id, incarnation = model.split_holder(holder)
        entry = await read(target_id)
        if entry is None or entry.incarnation != incarnation:
            return False
        return entry.state == model.READY

    return is_ready
