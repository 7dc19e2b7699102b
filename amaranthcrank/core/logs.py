"""Logging: sentences, prefixed with the part of the program."""

import contextlib
import json
import logging
import sys
import threading
import time
import typing

import logbook
from logbook import compat

from amaranthcrank.core import settings

_LEVEL_BY_NAME = {
    'debug': logbook.DEBUG,
    'info': logbook.INFO,
    'warning': logbook.WARNING,
    'error': logbook.ERROR,
}
# Keys and ids from callers appear in log lines. Control characters are
# escaped so that a line feed in one cannot forge a log line.
_ESCAPES = {
    number: f'\\x{number:02x}' for number in (*range(32), *range(127, 160))
} | {0x2028: '\\u2028', 0x2029: '\\u2029'}


def set_up_logging(
    stack: contextlib.ExitStack,
    values: settings.Settings,
    stream: typing.TextIO | None = None,
) -> None:
    """Write the log records of all threads to a stream.

    Warnings of libraries that use the standard `logging` are included.

    Args:
      stack: Restores the previous handlers when it closes.
      values: The settings; log_level, log_format and host_id are used.
      stream: The output; standard error by default.
    """
    # Without this, records below the level reach logbook's default handler.
    null = logbook.NullHandler()
    null.push_application()
    stack.callback(null.pop_application)

    handler = logbook.StreamHandler(
        stream or sys.stderr, level=_LEVEL_BY_NAME[values.log_level]
    )
    if values.log_format == 'json':
        handler.formatter = _json_formatter(values.host_id)
    else:
        handler.formatter = _format_text
    handler.push_application()
    stack.callback(handler.pop_application)

    redirect = compat.RedirectLoggingHandler()
    redirect.setLevel(logging.WARNING)
    logging.getLogger().addHandler(redirect)
    stack.callback(logging.getLogger().removeHandler, redirect)


def logger(part: str) -> logbook.Logger:
    """Return the logger of one part of the program.

    Args:
      part: A short word such as `peer`; lines are prefixed with `[peer]`.

    Returns:
      A logger that formats with `{}`: `log.info('Linked to {}.', host)`.
    """
    return logbook.Logger(part)


class RateLimitedLogger:
    """Limits the number of lines per interval and counts the suppressed ones.

    The count is appended to the first line of a later interval.
    """

    def __init__(
        self,
        log: logbook.Logger,
        lines: int = 5,
        interval_s: float = 10.0,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self._log = log
        self._lines = lines
        self._interval_s = interval_s
        self._clock = clock
        self._lock = threading.Lock()
        self._started_at = clock()
        self._logged = 0
        self._suppressed = 0

    def info(self, message: str, *arguments: object) -> None:
        """Log at level info unless the limit is reached."""
        self._write(logbook.INFO, message, arguments)

    def warning(self, message: str, *arguments: object) -> None:
        """Log at level warning unless the limit is reached."""
        self._write(logbook.WARNING, message, arguments)

    def error(self, message: str, *arguments: object) -> None:
        """Log at level error unless the limit is reached."""
        self._write(logbook.ERROR, message, arguments)

    def _write(
        self, level: int, message: str, arguments: tuple[object, ...]
    ) -> None:
        with self._lock:
            now = self._clock()
            if now - self._started_at >= self._interval_s:
                self._started_at = now
                self._logged = 0
            if self._logged >= self._lines:
                self._suppressed += 1
                return
            self._logged += 1
            suppressed, self._suppressed = self._suppressed, 0
        if suppressed:
            message += ' ({} similar lines left out.)'
            arguments = (*arguments, suppressed)
        self._log.log(level, message, *arguments)


def _timestamp(record: logbook.LogRecord) -> str:
    return record.time.isoformat(timespec='milliseconds') + 'Z'


def _format_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    line = f'{_timestamp(record)} {record.level_name} [{record.channel}] '
    line += record.message
    if record.exc_info:
        line += f' ({record.formatted_exception})'
    return line.translate(_ESCAPES)


def _json_formatter(
    host_id: str,
) -> typing.Callable[[logbook.LogRecord, logbook.Handler], str]:
    def format_json(
        record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        fields: dict[str, object] = {
            'time': _timestamp(record),
            'level': record.level_name.lower(),
            'host': host_id,
            'part': record.channel,
            'message': record.message,
        }
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return json.dumps(fields)

    return format_json
