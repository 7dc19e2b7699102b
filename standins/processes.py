"""Start and end the processes of a demo or a test."""

from collections import abc
import contextlib
import os
import pathlib
import subprocess
import sys
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
FIRST_LINE = 'listening '
EXIT_TIMEOUT_S = 10


class Process(typing.NamedTuple):
    """One process that listens.

    Attributes:
      popen: The process.
      address: Its host:port.
    """

    popen: subprocess.Popen
    address: str


@contextlib.contextmanager
def running(module: str, *options: str) -> abc.Iterator[Process]:
    """Run `python -m module options` until the end of the block.

    Args:
      module: A module that prints `listening <host:port>` once it is ready.
      options: Its command line.

    Yields:
      The process. It is killed at the end, also where it is stopped.
    """
    with standing_by(module, *options) as popen:
        yield activate(popen)


@contextlib.contextmanager
def standing_by(module: str, *options: str) -> abc.Iterator[subprocess.Popen]:
    """Start `python -m module options`; activate tells when it listens.

    Args:
      module: A module that prints `listening <host:port>` once it is ready.
      options: Its command line.

    Yields:
      The process. It is killed at the end, also where it is stopped.
    """
    popen = subprocess.Popen(
        [sys.executable, '-m', module, *options],
        cwd=ROOT,
        env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield popen
    finally:
        popen.kill()
        popen.wait(EXIT_TIMEOUT_S)
        popen.stdin.close()
        popen.stdout.close()


def activate(popen: subprocess.Popen) -> Process:
    """Tell a process that waits for a line to listen, and await that."""
    with contextlib.suppress(BrokenPipeError):
        popen.stdin.write('\n')
        popen.stdin.flush()
    line = popen.stdout.readline()
    if not line.startswith(FIRST_LINE):
        raise RuntimeError('the process ended before it listened')
    return Process(popen, line.removeprefix(FIRST_LINE).strip())
