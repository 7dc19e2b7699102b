"""Runs one soak, driven by its seed, and returns the violations."""

import asyncio
import contextlib
import pathlib
import random
import tempfile
import typing

from amaranthcrank.router import http_client
from soak import callers
from soak import checks
from soak import drain_checks
from soak import environment
from soak import networks

CALLERS_PER_ROUTER = 3
WARM_UP_S = 5.0
# Time after the last fault within which the system must serve again.
RECOVERY_S = 15.0
STEADY_S = 3.0
MIN_SERVED_SHARE = 0.9
ROUTER_POLL_S = 0.1
MEAN_FAULT_GAP_S = 0.8


class Outcome(typing.NamedTuple):
    """The result of a soak.

    Attributes:
      violations: A description of each violation.
      requests: How many requests were sent.
      served: How many were served.
      faults: The names of the injected faults, in order.
    """

    violations: tuple[str, ...]
    requests: int
    served: int
    faults: tuple[str, ...]


class Session(typing.NamedTuple):
    """A running environment and its callers.

    Attributes:
      env: The environment.
      results: The results of the callers so far.
      tasks: The background tasks: the callers and the router supervisor.
    """

    env: environment.Environment
    results: list[callers.Result]
    tasks: tuple[asyncio.Task[None], ...]


async def start_session(
    stack: contextlib.AsyncExitStack,
    seed: int,
    router_count: int,
    target_count: int,
    folder: pathlib.Path | None = None,
) -> Session:
    """Start an environment and its callers, and wait for the warm-up.

    Args:
      stack: Closes everything that is started.
      seed: Seed of all random choices.
      router_count: How many routers run.
      target_count: How many targets run.
      folder: Where logs and settings are kept; a temporary one if None.
    """
    if folder is None:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
    network = networks.claim(stack, seed)
    env = environment.Environment(stack, random.Random(seed), network, folder)
    await env.start(router_count, target_count)
    results: list[callers.Result] = []
    tasks = [
        asyncio.create_task(
            callers.run_caller(
                f'{router.name}-{number}',
                router.name,
                router.serve,
                random.Random(f'{seed}-{router.name}-{number}'),
                results,
            )
        )
        for router in env.routers
        for number in range(CALLERS_PER_ROUTER)
    ]
    tasks.append(asyncio.create_task(_supervise_routers(env)))
    for task in tasks:
        stack.callback(task.cancel)
    await asyncio.sleep(WARM_UP_S)
    return Session(env, results, tuple(tasks))


async def run_soak(
    seed: int,
    seconds: float,
    router_count: int = 3,
    target_count: int = 8,
    folder: pathlib.Path | None = None,
) -> Outcome:
    """Run a soak.

    Args:
      seed: Seed of all random choices, such as which fault begins when.
      seconds: How long new faults are injected.
      router_count: How many routers run.
      target_count: How many targets run.
      folder: Where logs and settings are kept; a temporary one if None.
    """
    async with contextlib.AsyncExitStack() as stack:
        session = await start_session(
            stack, seed, router_count, target_count, folder
        )
        env, results, tasks = session
        fault_names = await _inject_faults(env, seconds)
        await asyncio.sleep(RECOVERY_S)
        steady_since = asyncio.get_running_loop().time()
        env.write_manifest()
        await asyncio.sleep(STEADY_S)
        violations = [*_unexpected_exits(env), *_failed_tasks(tasks)]
        violations += await _check_manifest(env, results)
        share = checks.served_share(results, steady_since)
        if share < MIN_SERVED_SHARE:
            violations.append(
                f'only {share:.2f} of requests served after recovery'
            )
        runs = [run for instance in env.targets for run in instance.runs]
        holds = [hold for instance in env.targets for hold in instance.holds]
        violations += checks.check(results, runs, holds)
        violations += drain_checks.late_runs(
            results, runs, env.drain_start_by_holder, env.fault_intervals
        )
        answers = [
            answer
            for instance in env.targets
            for answer in instance.leaving_answers
        ]
        violations += drain_checks.ignored_notices(
            results, runs, answers, env.fault_intervals
        )
        served = sum(result.status == 200 for result in results)
        return Outcome(
            tuple(violations), len(results), served, tuple(fault_names)
        )


async def _supervise_routers(env: environment.Environment) -> None:
    while True:
        await asyncio.sleep(ROUTER_POLL_S)
        for router in env.routers:
            router.restart_if_exited()


async def _inject_faults(
    env: environment.Environment, seconds: float
) -> list[str]:
    """Inject faults, often concurrently, and wait until all have ended."""
    loop = asyncio.get_running_loop()
    end_at = loop.time() + seconds
    fault_names = []
    running = []
    while loop.time() < end_at:
        fault = env.rng.choice(env.faults())
        fault_names.append(fault.__name__)
        running.append(asyncio.ensure_future(fault()))
        await asyncio.sleep(env.rng.expovariate(1 / MEAN_FAULT_GAP_S))
    await asyncio.gather(*running)
    return fault_names


def _unexpected_exits(env: environment.Environment) -> typing.Iterator[str]:
    for router in env.routers:
        for status in router.unexpected_exits:
            yield f'{router.name} ended by itself or too late: {status}'


def _failed_tasks(
    tasks: typing.Iterable[asyncio.Task[None]],
) -> typing.Iterator[str]:
    for task in tasks:
        if task.done():
            yield f'a background task failed: {task.exception()!r}'


async def _check_manifest(
    env: environment.Environment, results: list[callers.Result]
) -> list[str]:
    """Call every router on the route that only the newest manifest has."""
    kind = callers.RequestKind(b'GET', env.newest_prefix, True, False)
    violations = []
    for router in env.routers:
        try:
            connection = await http_client.connect(router.serve, 1.0)
        except http_client.ConnectError as error:
            violations.append(f'{router.name} cannot be reached: {error}')
            continue
        result = await callers.call(
            connection, router.name, f'newest-{router.name}', kind, env.rng
        )
        connection.abort()
        results.append(result)
        if result.status == 404:
            violations.append(f'{router.name} has an old manifest')
    return violations
