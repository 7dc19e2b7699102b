"""Limits on sends while the host shuts down. Pure functions.

What is sent to a target and not answered before the process ends is cut: its
caller does not learn whether it has run. What is refused before it is sent
can be repeated at another host at once.
"""

import typing

# Multiple of the typical service time within which a request is expected to
# end, also on a slow target.
LONGEST_WORK_FACTOR = 8.0
# Targets answer as late as at the deadline that they were given.
DEADLINE_MARGIN_S = 0.1


class ShutdownLimits(typing.NamedTuple):
    """The times of a shutdown, in event loop time.

    Attributes:
      listens_until: When the host stops to accept connections. New requests
        rarely arrive later.
      ends_at: When requests in progress are answered, as the process ends.
    """

    listens_until: float
    ends_at: float


def latest_send_at(
    limits: ShutdownLimits, deadline_at: float, typical_s: float
) -> float:
    """Return until when a request may be sent to a target.

    Args:
      limits: The times of the shutdown.
      deadline_at: When the caller stops waiting.
      typical_s: The typical service time.
    """
    if deadline_at + DEADLINE_MARGIN_S <= limits.ends_at:
        # It ends in time, whatever the target does.
        return deadline_at
    last_at = limits.ends_at - LONGEST_WORK_FACTOR * typical_s
    return min(limits.listens_until, last_at)
