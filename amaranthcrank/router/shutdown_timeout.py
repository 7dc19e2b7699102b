"""Ends the requests that are still in progress when the process ends."""

import asyncio
from collections import abc
import contextlib


class ProcessEndsError(Exception):
    """A request was not answered before the end of the process."""


class ShutdownTimeout:
    """A time limit for all requests in progress, once a shutdown began."""

    def __init__(self) -> None:
        """Start without a limit."""
        self._end_at: float | None = None
        self._timeouts: set[asyncio.Timeout] = set()

    def begin(self, end_at: float) -> None:
        """Set the limit, in event loop time, also of requests in progress."""
        self._end_at = end_at
        for timeout in self._timeouts:
            timeout.reschedule(end_at)

    @contextlib.asynccontextmanager
    async def limit(self) -> abc.AsyncIterator[None]:
        """Limit the handling of a request.

        Raises:
          ProcessEndsError: The limit has passed.
        """
        timeout = asyncio.timeout_at(self._end_at)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                try:
                    yield
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError as error:
            if timeout.expired():
                raise ProcessEndsError from error
            raise
