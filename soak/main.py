"""Command line of the soak: runs seeds and prints the violations found."""

import asyncio
import pathlib
import signal
import sys
import typing

import typer

from soak import run

# 128 + SIGTERM, as shells report it.
STOPPED_EXIT_STATUS = 143

_Outcome = typing.TypeVar('_Outcome')

app = typer.Typer(add_completion=False)


async def run_until_stopped(
    soak: typing.Coroutine[typing.Any, typing.Any, _Outcome],
) -> _Outcome:
    """Run a soak; SIGTERM cancels it, so that it ends its processes."""
    task = asyncio.ensure_future(soak)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


@app.command()
def main(
    seeds: typing.Annotated[
        list[int], typer.Argument(help='Seeds to run, one after the other.')
    ],
    seconds: typing.Annotated[
        float, typer.Option(help='How long new faults are injected.')
    ] = 20.0,
    routers: typing.Annotated[
        int, typer.Option(help='Number of routers.')
    ] = 3,
    targets: typing.Annotated[
        int, typer.Option(help='Number of targets.')
    ] = 8,
    logs: typing.Annotated[
        pathlib.Path | None, typer.Option(help='Keep logs in this folder.')
    ] = None,
) -> None:
    """Run soaks; the exit status is 1 if any had a violation."""
    failed = 0
    for seed in seeds:
        folder = None
        if logs is not None:
            folder = logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        try:
            outcome = asyncio.run(
                run_until_stopped(
                    run.run_soak(seed, seconds, routers, targets, folder)
                )
            )
        except asyncio.CancelledError:
            print(f'seed {seed}: stopped', flush=True)
            sys.exit(STOPPED_EXIT_STATUS)
        verdict = 'broken' if outcome.violations else 'held'
        print(
            f'seed {seed}: {verdict}, {outcome.served} of {outcome.requests} '
            f'requests served, {len(outcome.faults)} faults',
            flush=True,
        )
        for line in outcome.violations[:10]:
            print(f'  {line}', flush=True)
        failed += bool(outcome.violations)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    app()
