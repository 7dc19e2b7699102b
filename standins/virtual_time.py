"""An event loop whose time advances only while nothing is left to do.

What waits for a time takes none of the machine's, and a busy machine delays
nothing. Only timers of the loop may be waited for, no sockets.
"""

import asyncio
import selectors
import typing

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
