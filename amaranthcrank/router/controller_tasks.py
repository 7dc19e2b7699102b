"""Runs the tasks of the controller while this host holds the lease."""

import asyncio
import random
import typing

from amaranthcrank.router import common_parts
from amaranthcrank.router import control_parts

# A host that no longer holds the lease waits this long, so that other hosts
# can take it first.
LEASE_PAUSE_S = 0.5


async def run(
    common: common_parts.CommonParts,
    control: control_parts.ControlParts,
    stopping: asyncio.Event,
    act: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    """Assign and move keys whenever this host holds the lease.

    Args:
      common: The shared parts.
      control: The lease and what it depends on.
      stopping: Set when the host shuts down.
      act: Acts as the controller until that ends.
    """
    await asyncio.sleep(LEASE_PAUSE_S * random.random())
    while not stopping.is_set():
        await control.lease.acquire(
            control.reports.is_controller_alive,
            control.retry_gate,
            common.peers.count_all,
        )
        await act()
        common.log.event('controller_ended')
        await asyncio.sleep(LEASE_PAUSE_S)


async def act_as_controller(
    common: common_parts.CommonParts,
    control: control_parts.ControlParts,
    resign: typing.Callable[[], typing.Awaitable[None]],
) -> None:
    """Run the parts of the controller until it ends or one of them fails.

    Without one of its parts it would hold the lease and move no keys, or
    tell nobody, so another host should take over.

    Args:
      common: The shared parts.
      control: The parts of the controller.
      resign: Gives the lease back.
    """
    loop = asyncio.get_running_loop()
    main_task = loop.create_task(control.controller.run())
    running = {
        main_task,
        loop.create_task(control.lease.renew()),
        loop.create_task(control.reports.send_heartbeats()),
    }
    try:
        while not main_task.done():
            done, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                task.result()
    except Exception as error:
        common.log.event('controller_failed', error=repr(error))
        await resign()
    finally:
        for task in running:
            task.cancel()


async def resign(control: control_parts.ControlParts) -> None:
    """Give the lease back, if this host holds it, and tell the others."""
    if control.lease.is_held:
        await control.lease.resign()
        control.reports.broadcast_resignation()
