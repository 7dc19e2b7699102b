"""Reads single target entries from the store where a stale copy is harmful.

A host's known state of a target may be some seconds old, as a connection to
the store can stall unnoticed for that long.
"""

import asyncio
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import event_log
from amaranthcrank.router import model

# A grant must be sent soon after its sender was known to hold the lease.
PRE_GRANT_TIMEOUT_S = 0.2

# Called with the id of a target. Returns None if there is no entry, or if it
# cannot be read.
ReadEntry = typing.Callable[[str], typing.Awaitable[model.TargetEntry | None]]
# Called with a holder, as `id/incarnation`. Returns whether the target has
# restarted since, or None if it is not known.
RestartCheck = typing.Callable[[str], typing.Awaitable[bool | None]]


def entry_reader(
    client: store.Client, log: event_log.EventLog, timeout_s: float
) -> ReadEntry:
    """Return a function that reads a target's entry.

    Args:
      client: The client of the store.
      log: Logs failed reads.
      timeout_s: The time limit of a read.
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


def restart_check(
    read: ReadEntry, names_target: typing.Callable[[model.TargetEntry], bool]
) -> RestartCheck:
    """Return a function that checks whether a target has restarted.

    A grant names a target by its id only, so one that is sent before a
    restart is known would give the next incarnation keys with the fencing
    token of the former one.

    Args:
      read: Reads the entry of a target.
      names_target: Returns whether an entry names a target; what another
        writer left under the id shows nothing.
    """

    async def has_restarted(holder: str) -> bool | None:
        target_id, incarnation = model.split_holder(holder)
        entry = await read(target_id)
        if entry is None or not names_target(entry):
            return None
        return entry.incarnation > incarnation

    return has_restarted
