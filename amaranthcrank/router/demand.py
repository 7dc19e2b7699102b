"""What a request asks of admission, and the error that refuses it."""

import typing

from amaranthcrank.router import model
from amaranthcrank.router import wait_order

Regions = frozenset[str] | None


class Demand(typing.NamedTuple):
    """A request for a slot of a target.

    Attributes:
      service: The service that serves the request.
      priority: Determines its position in the queue.
      key: Its key, or None for a service without keys.
      excluded: Ids of the targets that it was already sent to.
      regions: The regions that may serve it; None if all may, empty if none.
      route: Its route at its arrival, or None.
    """

    service: str
    priority: wait_order.Priority
    key: int | None = None
    excluded: frozenset[str] = frozenset()
    regions: Regions = None
    route: model.Route | None = None


def intersect(first: Regions, second: Regions) -> Regions:
    """Return the regions that both limits allow; None is no limit."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def may_compete(first: Regions, second: Regions) -> bool:
    """Return whether a request waits behind another of the same service.

    Args:
      first: The regions of the request.
      second: The regions of the other, which is waiting. If it is limited to
        regions, an unlimited request can be served in the others.
    """
    if second is None:
        return True
    return first is not None and not first.isdisjoint(second)


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
