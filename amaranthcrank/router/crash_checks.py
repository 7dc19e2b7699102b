"""Checks whether targets that reset a connection refuse new ones.

Without a check, a host would learn this only from its next request to the
target, and while other targets have room it sends none.
"""

import asyncio
import typing

from amaranthcrank.router import connection_pool
from amaranthcrank.router import http_client
from amaranthcrank.router import target_state

# A process that crashes may close its connections before its listening socket.
CHECK_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 0.25
# A target that listens has reset the connection because it is full. It is not
# checked again for this time, as each check costs it a connection.
RECHECK_INTERVAL_S = 2.0


class CrashChecks:
    """The checks in progress, at most one for each target."""

    def __init__(
        self,
        pool: connection_pool.Pool,
        on_refused: typing.Callable[[target_state.Target], None],
    ) -> None:
        """Create the checks.

        Args:
          pool: Opens the connections.
          on_refused: Called with each target that refused to connect.
        """
        self._pool = pool
        self._on_refused = on_refused
        self._task_by_holder: dict[str, asyncio.Task[None]] = {}

    def start(self, target: target_state.Target) -> None:
        """Check a target soon, unless it was checked a short while ago."""
        holder = target.entry.holder
        if holder in self._task_by_holder:
            return
        task = asyncio.get_running_loop().create_task(self._check(target))
        self._task_by_holder[holder] = task
        task.add_done_callback(lambda _: self._task_by_holder.pop(holder))

    async def _check(self, target: target_state.Target) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        address = target.entry.address
        try:
            connection = await self._pool.acquire(address, CONNECT_TIMEOUT_S)
        except http_client.ConnectError as error:
            if error.refused:
                self._on_refused(target)
            return
        connection.abort()
        await asyncio.sleep(RECHECK_INTERVAL_S)
