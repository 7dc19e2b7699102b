"""An event loop whose time advances only while nothing is left to do.

What waits for a time takes none of the machine's, and a busy machine delays
nothing. Only timers of the loop may be waited for, no sockets.
"""

import asyncio
import functools
import selectors
import typing
from unittest import mock

from amaranthcrank.router import clock

# The reading of the router's clock at the start of a loop. Zero stands for
# "never" in the router.
START_S = 1000.0

Result = typing.TypeVar('Result')


class _InstantSelector(selectors.SelectSelector):
    """Advances the time instead of waiting.

    Attributes:
      now: The time, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a time of its own."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._instant_selector = _InstantSelector()
        super().__init__(self._instant_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._instant_selector.now


def run(main: typing.Coroutine[typing.Any, typing.Any, Result]) -> Result:
    """Run a coroutine in a loop of its own and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)


def in_virtual_time(
    test: typing.Callable[
        [typing.Any], typing.Coroutine[typing.Any, typing.Any, None]
    ],
) -> typing.Callable[[typing.Any], None]:
    """Run a test, a coroutine method, in a loop of its own.

    The router's clock shows the time of the loop.
    """

    @functools.wraps(test)
    def run_test(case: typing.Any) -> None:
        def now() -> float:
            return START_S + asyncio.get_running_loop().time()

        with mock.patch.object(clock, 'now', now):
            run(test(case))

    return run_test
