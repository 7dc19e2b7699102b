"""The order of waiting requests and how long each may wait. Pure functions.

Urgent ranks go first. Within a rank, requests that can still meet their
response-time goal go before those that cannot: under overload a queue in
order of arrival would make all of them late.
"""

import typing

# A request whose goal is out of reach waits for this part of its time left.
LATE_WAIT_SHARE = 0.35
# Service times vary: a request counts as on time while there is room for one
# this much longer than usual.
ON_TIME_FACTOR = 1.7
# Every request may wait this long, so that a slot which falls free at the
# same moment is still taken.
MIN_WAIT_S = 0.02


class Priority(typing.NamedTuple):
    """What decides the place of a waiting request.

    Attributes:
      rank: 0 is the most urgent.
      goal_at: When it should be answered.
      deadline_at: When its caller stops waiting.
    """

    rank: int
    goal_at: float
    deadline_at: float


def sort_key(
    priority: Priority, now: float, service_s: float
) -> tuple[int, bool, float]:
    """Return the key by which waiting requests are ordered."""
    late = now + service_s * ON_TIME_FACTOR > priority.goal_at
    at = priority.deadline_at if late else priority.goal_at
    return priority.rank, late, at


def queue_timeout_at(
    priority: Priority, now: float, service_s: float
) -> float:
    """Return until when it pays to wait for a target.

    Args:
      standing: The request.
      now: The event loop's time.
      service_s: The expected service time.
    """
    latest_start_at = priority.deadline_at - service_s
    on_time = priority.goal_at - service_s
    late = now + LATE_WAIT_SHARE * (priority.deadline_at - now)
    return max(now + MIN_WAIT_S, min(latest_start_at, max(on_time, late)))


def expected_wait_s(ahead: int, service_s: float, concurrency: int) -> float:
    """Return the expected wait behind requests that go first.

    Args:
      ahead: How many go first.
      service_s: The expected service time.
      places: How many requests are served at once; 0 if none are.
    """
    if concurrency <= 0:
        return service_s * (ahead + 1)
    return service_s * (ahead + 1) / concurrency
