"""Starts and ends the processes of a demo or a test."""

from collections import abc
import contextlib
import os
import pathlib
import subprocess
import sys
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_LINE_PREFIX = 'listening '
EXIT_TIMEOUT_S = 10


class Process(typing.NamedTuple):
    """A listening process.

    Attributes:
      popen: The process.
      address: The host:port that it listens on.
    """

    popen: subprocess.Popen
    address: str


@contextlib.contextmanager
def running(module: str, *options: str) -> abc.Iterator[Process]:
    """Run `python -m module options` until the end of the block.

    Args:
      module: A module that prints `listening <host:port>` once it is ready.
      options: Its command line options.

    Yields:
      The process. It is killed at the end, even if stopped by SIGSTOP.
    """
    with running_standby(module, *options) as popen:
        yield activate(popen)


@contextlib.contextmanager
def running_standby(
    module: str, *options: str
) -> abc.Iterator[subprocess.Popen]:
    """Start `python -m module options`; activate() waits until it listens.

    Args:
      module: A module that prints `listening <host:port>` once it is ready.
      options: Its command line options.

    Yields:
      The process. It is killed at the end, even if stopped by SIGSTOP.
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
    """Make a standby process listen, and wait until it does.

    A process without --standby ignores the line and listens by itself.
    """
    with contextlib.suppress(BrokenPipeError):
        popen.stdin.write('\n')
        popen.stdin.flush()
    line = popen.stdout.readline()
    if not line.startswith(READY_LINE_PREFIX):
        raise RuntimeError('the process did not print its listening address')
    return Process(popen, line.removeprefix(READY_LINE_PREFIX).strip())
