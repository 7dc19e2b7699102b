"""What a request asks of admission, and the error that refuses it."""

import typing

from amaranthcrank.router import wait_order


class Demand(typing.NamedTuple):
    """A request for a slot of a target.

    Attributes:
      service: The service that serves the request.
      priority: Determines its position in the queue.
      key: Its key, or None for a service without keys.
      excluded: Ids of the targets that it was already sent to.
      regions: The regions that may serve it; None if all may.
    """

    service: str
    priority: wait_order.Priority
    key: int | None = None
    excluded: frozenset[str] = frozenset()
    regions: frozenset[str] | None = None


class RefusedError(Exception):
    """No target will be free in time.

    Attributes:
      reason: Why the request is refused; sent to the caller.
      wait_s: Expected time until there is capacity.
    """

    def __init__(self, reason: str, wait_s: float) -> None:
        """Store the reason and the expected time until there is capacity."""
        super().__init__(reason)
        self.reason = reason
        self.wait_s = wait_s
