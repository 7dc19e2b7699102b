"""Logs: short sentences with a fixed prefix for each part."""

import contextlib
import time
import typing

import logbook

from amaranthcrank.core import settings


def open_logs(
    stack: contextlib.ExitStack,
    values: settings.Settings,
    stream: typing.TextIO | None = None,
) -> None:
    """Send the log records of all threads to a stream.

    Args:
      stack: Restores the previous handlers when it closes.
      values: Gives log_level, log_format and host_id.
      stream: Where lines go; standard error unless given.
    """
    raise NotImplementedError


def logger(part: str) -> logbook.Logger:
    """Make the logger of one part.

    Args:
      part: A short word such as `peer`; lines start with `[peer]`.

    Returns:
      A logger that formats with `{}`: `log.info('Linked to {}.', host)`.
    """
    raise NotImplementedError


class RateLimited:
    """Logs at most so many lines per interval and counts the rest."""

    def __init__(
        self,
        log: logbook.Logger,
        lines: int = 5,
        interval_s: float = 10.0,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        raise NotImplementedError

    def info(self, message: str, *arguments: object) -> None:
        """Log at level info unless the interval's lines are spent."""
        raise NotImplementedError

    def warning(self, message: str, *arguments: object) -> None:
        """Log at level warning unless the interval's lines are spent."""
        raise NotImplementedError

    def error(self, message: str, *arguments: object) -> None:
        """Log at level error unless the interval's lines are spent."""
        raise NotImplementedError
