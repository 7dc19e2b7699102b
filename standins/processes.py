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
    popen = subprocess.Popen(
        [sys.executable, '-m', module, *options],
        cwd=ROOT,
        env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        line = popen.stdout.readline()
        if not line.startswith(FIRST_LINE):
            raise RuntimeError(f'{module} ended before it listened')
        yield Process(popen, line.removeprefix(FIRST_LINE).strip())
    finally:
        popen.kill()
        popen.wait(EXIT_TIMEOUT_S)
        popen.stdout.close()
