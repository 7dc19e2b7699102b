"""Plays one soak by its seed and tells what was broken."""

import asyncio
import contextlib
import os
import pathlib
import random
import tempfile
import typing

from amaranthcrank.router import http_client
from soak import callers
from soak import checks
from soak import drain_checks
from soak import environment

CALLERS_PER_ROUTER = 3
WARM_UP_S = 5.0
# Loopback networks 127.x that soaks use.
FIRST_NETWORK = 10
NETWORKS = 200
# Every fault has ended by then, and the system is to serve again.
RECOVERY_S = 15.0
CALM_S = 3.0
MIN_CALM_SHARE = 0.9
CHECK_S = 0.1
MEAN_GAP_S = 0.8


class Outcome(typing.NamedTuple):
    """What a soak showed.

    Attributes:
      broken: What was broken, a line each.
      requests: How many requests were sent.
      served: How many were served.
      faults: The names of the faults, in order.
    """

    broken: tuple[str, ...]
    requests: int
    served: int
    faults: tuple[str, ...]


class Scene(typing.NamedTuple):
    """A site that serves its callers.

    Attributes:
      site: Its parts, and what can go wrong with them.
      results: What the callers got so far.
      tasks: What runs beside: the callers, and who watches the routers.
    """

    site: environment.Environment
    results: list[callers.Result]
    tasks: tuple[asyncio.Task[None], ...]


async def start(
    stack: contextlib.AsyncExitStack,
    seed: int,
    router_count: int,
    target_count: int,
    folder: pathlib.Path | None = None,
) -> Scene:
    """Start a site and its callers, and wait until it serves.

    Args:
      stack: Ends everything.
      seed: Decides what the site and its callers do by chance.
      router_count: How many routers run.
      target_count: How many targets run.
      folder: Where logs and settings are kept; a temporary one if None.
    """
    if folder is None:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
    # Not by the seed alone: two runs of one seed may go side by side.
    network = FIRST_NETWORK + (seed + os.getpid()) % NETWORKS
    site = environment.Environment(stack, random.Random(seed), network, folder)
    await site.start(router_count, target_count)
    results: list[callers.Result] = []
    tasks = [
        asyncio.create_task(
            callers.keep_calling(
                f'{router.name}-{number}',
                router.name,
                router.serve,
                random.Random(f'{seed}-{router.name}-{number}'),
                results,
            )
        )
        for router in site.routers
        for number in range(CALLERS_PER_ROUTER)
    ]
    tasks.append(asyncio.create_task(_watch(site)))
    for task in tasks:
        stack.callback(task.cancel)
    await asyncio.sleep(WARM_UP_S)
    return Scene(site, results, tuple(tasks))


async def play(
    seed: int,
    seconds: float,
    router_count: int = 3,
    target_count: int = 8,
    folder: pathlib.Path | None = None,
) -> Outcome:
    """Play a soak.

    Args:
      seed: Decides which faults come when.
      seconds: For how long faults begin.
      router_count: How many routers run.
      target_count: How many targets run.
      folder: Where logs and settings are kept; a temporary one if None.
    """
    async with contextlib.AsyncExitStack() as stack:
        scene = await start(stack, seed, router_count, target_count, folder)
        site, results, tasks = scene
        names = await _strike(site, seconds)
        await asyncio.sleep(RECOVERY_S)
        calm_since = asyncio.get_running_loop().time()
        site.write_manifest()
        await asyncio.sleep(CALM_S)
        broken = [*_own_exits(site), *_ended(tasks)]
        broken += await _check_ticket(site, results)
        share = checks.served_share(results, calm_since)
        if share < MIN_CALM_SHARE:
            broken.append(f'only {share:.2f} served after the recovery')
        runs = [run for made in site.targets for run in made.runs]
        holds = [hold for made in site.targets for hold in made.holds]
        broken += checks.check(results, runs, holds)
        broken += drain_checks.late_runs(
            results, runs, site.notice_by_holder, site.disturbances
        )
        served = sum(result.status == 200 for result in results)
        return Outcome(tuple(broken), len(results), served, tuple(names))


async def _watch(site: environment.Environment) -> None:
    while True:
        await asyncio.sleep(CHECK_S)
        for router in site.routers:
            router.check()


async def _strike(site: environment.Environment, seconds: float) -> list[str]:
    """Begin faults for a while, often several at once, and await them."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    names = []
    running = []
    while loop.time() < end_at:
        fault = site.chance.choice(site.faults())
        names.append(fault.__name__)
        running.append(asyncio.ensure_future(fault()))
        await asyncio.sleep(site.chance.expovariate(1 / MEAN_GAP_S))
    await asyncio.gather(*running)
    return names


def _own_exits(site: environment.Environment) -> typing.Iterator[str]:
    for router in site.routers:
        for status in router.own_exits:
            yield f'{router.name} ended by itself or not in time: {status}'


def _ended(
    tasks: typing.Iterable[asyncio.Task[None]],
) -> typing.Iterator[str]:
    for task in tasks:
        if task.done():
            yield f'a part of the soak failed: {task.exception()!r}'


async def _check_ticket(
    site: environment.Environment, results: list[callers.Result]
) -> list[str]:
    """Ask every router on the route that only the newest manifest has."""
    kind = callers.Kind(b'GET', site.newest_prefix, True, False)
    broken = []
    for router in site.routers:
        try:
            connection = await http_client.connect(router.serve, 1.0)
        except http_client.ConnectError as error:
            broken.append(f'{router.name} is not reached: {error}')
            continue
        result = await callers.call(
            connection, router.name, f'newest-{router.name}', kind, site.chance
        )
        connection.abort()
        results.append(result)
        if result.status == 404:
            broken.append(f'{router.name} has an old manifest')
    return broken
