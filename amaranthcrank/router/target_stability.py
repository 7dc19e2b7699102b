"""Tells when the set of targets of a service has stopped changing.

At the first start targets register one after the other; keys assigned to the
first of them would soon have to move.
"""

from amaranthcrank.router import key_plan

# Keys are first assigned once the set of targets has not changed for this
# time.
STABLE_TARGETS_S = 1.2


class TargetStability:
    """The targets that were last seen, and since when, by service."""

    def __init__(self) -> None:
        """Start without targets."""
        self._owners_by_service: dict[
            str, tuple[float, list[key_plan.Owner]]
        ] = {}

    def is_stable(
        self, service: str, owners: list[key_plan.Owner], now: float
    ) -> bool:
        """Return whether the set of targets has been stable for long enough.

        Args:
          service: The service.
          owners: Its targets now, in order.
          now: The monotonic time, seconds.
        """
        known = self._owners_by_service.get(service)
        if known is None or known[1] != owners:
            self._owners_by_service[service] = (now, owners)
            return False
        return now - known[0] >= STABLE_TARGETS_S
