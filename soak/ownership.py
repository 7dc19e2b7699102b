"""Plays changes of the controller on a whole site of real processes.

All routers and targets are processes of their own. Meanwhile calls to targets
take effect late, targets and links stand still, keys become busy, and targets
leave. What the targets record is checked: no key has two owners at one time,
no target takes a grant below another one's token, and none is granted a key at
which another is at work.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import sys
import tempfile
import typing

import typer

from amaranthcrank.router import model
from soak import callers
from soak import grant_checks
from soak import holds as key_holds
from soak import main
from soak import ownership_checks
from soak import ownership_faults
from soak import ownership_site
from soak import router_logs
from soak import routers

CALLERS_PER_ROUTER = 4
WARM_UP_S = 6.0
# Longer than any grant and any late call.
SETTLE_S = 14.0

SHAPES = {
    'nine': ownership_site.Shape(9, 11, 18),
    'twelve': ownership_site.Shape(12, 14, 21),
    'small': ownership_site.Shape(3, 4, 2),
}

app = typer.Typer(add_completion=False)


class Outcome(typing.NamedTuple):
    """The result of a play.

    Attributes:
      violations: A description of each violation.
      counts: How often what was found, expired grants included.
      moves: How many grants of keys to another target were taken.
      served: How many requests were served, by status.
      faults: How often each fault was injected.
      rejections: How often the routers' logs tell of each kind of rejected
        grant.
    """

    violations: tuple[str, ...]
    counts: collections.Counter[str]
    moves: int
    served: collections.Counter[int]
    faults: collections.Counter[str]
    rejections: collections.Counter[str]


async def play(
    seed: int,
    seconds: float,
    shape: ownership_site.Shape,
    folder: pathlib.Path | None = None,
    counts_releases: bool = False,
    mean_fault_gap_s: float = ownership_faults.MEAN_GAP_S,
    checks_calls: bool = True,
    has_restores: bool = True,
) -> Outcome:
    """Play one site.

    Args:
      seed: Seed of all random choices.
      seconds: How long new faults are injected.
      shape: The size of the site.
      folder: Where logs and records are kept; a temporary one if None.
      counts_releases: Whether targets count the tokens of releases.
      mean_fault_gap_s: The mean time from one fault to the next.
      checks_calls: Whether targets refuse grants and releases that name
        another target.
      has_restores: Whether the store comes back from older copies.
    """
    async with contextlib.AsyncExitStack() as stack:
        if folder is None:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
        site = ownership_site.Site(
            stack, seed, folder, counts_releases, checks_calls
        )
        await site.start(shape)
        results: list[callers.Result] = []
        shifting = asyncio.create_task(site.keep_shifting())
        stack.callback(shifting.cancel)
        copying = asyncio.create_task(site.keep_copying())
        stack.callback(copying.cancel)
        called: set[model.Address] = set()

        def start_callers(router: routers.Router) -> None:
            # Callers of a replaced host go on trying its former address.
            if router.serve in called:
                return
            called.add(router.serve)
            for number in range(CALLERS_PER_ROUTER):
                name = f'{router.name}-{router.serve.ip}-{number}'
                task = asyncio.create_task(
                    callers.run_caller(
                        name,
                        router.name,
                        router.serve,
                        random.Random(f'{seed}-{name}'),
                        results,
                        site.choose_key,
                    )
                )
                stack.callback(task.cancel)

        for router in site.routers:
            start_callers(router)
        site.on_router_added = start_callers
        await asyncio.sleep(WARM_UP_S)
        await ownership_faults.inject(
            site, seconds, mean_fault_gap_s, has_restores
        )
        await asyncio.sleep(SETTLE_S)
        violations, counts = _check(site)
        holds = site.read_holds()
        return Outcome(
            tuple(violations),
            counts,
            len({(hold.fence, hold.first) for hold in holds}),
            collections.Counter(result.status for result in results),
            site.faults,
            router_logs.count_rejections(folder),
        )


def _check(
    site: ownership_site.Site,
) -> tuple[list[str], collections.Counter[str]]:
    """Return the violations, and how often each finding was made.

    Two holds of a key are a violation whether or not both targets began
    requests meanwhile, which is stricter than the platform's rule. A grant
    whose time was over when it took effect gives its target no key, so it is
    counted but is no violation.
    """
    counts: collections.Counter[str] = collections.Counter()
    violations = []
    for first, second in key_holds.overlaps(site.read_holds()):
        counts['two owners'] += 1
        violations.append(ownership_checks.describe(first, second))
    grants = site.read_grants()
    for stale in grant_checks.stale_grants(grants):
        counts[f'stale {stale.grant.kind}'] += 1
        if stale.grant.is_live:
            violations.append(grant_checks.describe(stale))
    for at_work in grant_checks.grants_at_work(
        grants, site.read_work(), site.held_up
    ):
        counts[f'{at_work.grant.kind} amid work'] += 1
        if at_work.grant.is_live:
            violations.append(grant_checks.describe(at_work))
    return violations, counts


@app.command()
def play_seeds(
    seeds: typing.Annotated[
        list[int], typer.Argument(help='Seeds, one after the other.')
    ],
    seconds: typing.Annotated[
        float, typer.Option(help='How long new faults are injected.')
    ] = 40.0,
    site: typing.Annotated[
        str, typer.Option(help=f'One of {", ".join(SHAPES)}.')
    ] = 'nine',
    counts_releases: typing.Annotated[
        bool, typer.Option(help='Targets count the tokens of releases.')
    ] = False,
    checks_calls: typing.Annotated[
        bool,
        typer.Option(help='Targets refuse grants that name another target.'),
    ] = True,
    gap: typing.Annotated[
        float, typer.Option(help='Mean seconds from one fault to the next.')
    ] = ownership_faults.MEAN_GAP_S,
    restores: typing.Annotated[
        bool, typer.Option(help='The store comes back from older copies.')
    ] = True,
    logs: typing.Annotated[
        pathlib.Path | None, typer.Option(help='Keep logs in this folder.')
    ] = None,
) -> None:
    """Play sites; the exit status is 1 if there is a violation."""
    failed = 0
    for seed in seeds:
        folder = None
        if logs is not None:
            folder = logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        outcome = asyncio.run(
            main.run_until_stopped(
                play(
                    seed,
                    seconds,
                    SHAPES[site],
                    folder,
                    counts_releases,
                    gap,
                    checks_calls,
                    restores,
                )
            )
        )
        failed += bool(outcome.violations)
        print(
            f'seed {seed}: {len(outcome.violations)} cases, '
            f'found {dict(outcome.counts)}, '
            f'{outcome.moves} grants of moved keys, '
            f'answers {dict(outcome.served)}, faults {dict(outcome.faults)}, '
            f'rejections {dict(outcome.rejections)}',
            flush=True,
        )
        for line in outcome.violations[:20]:
            print(f'  {line}', flush=True)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    app()
