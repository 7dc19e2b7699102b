"""Order and time limits of the queue of waiting requests. Pure functions.

More urgent ranks go first. Within a rank, requests that can still meet their
response-time goal go before those that cannot: under overload, a FIFO queue
would make all requests late.
"""

import typing

# Fraction of its remaining time that a request may wait once it cannot meet
# its goal.
LATE_WAIT_SHARE = 0.35
# Service times vary: a request counts as on time if its goal leaves this
# multiple of the typical service time.
ON_TIME_FACTOR = 1.7
# Minimum wait of each request, so that a slot that is released at almost the
# same time can still be assigned.
MIN_WAIT_S = 0.02


class Priority(typing.NamedTuple):
    """Determines the position of a waiting request in the queue.

    Attributes:
      rank: The rank of its route; 0 is the most urgent.
      goal_at: When it should be answered.
      deadline_at: When its caller stops waiting.
    """

    rank: int
    goal_at: float
    deadline_at: float


def sort_key(
    priority: Priority, now: float, service_s: float
) -> tuple[int, bool, float]:
    """Return the sort key of a waiting request; the lowest goes first."""
    is_late = now + service_s * ON_TIME_FACTOR > priority.goal_at
    due_at = priority.deadline_at if is_late else priority.goal_at
    return priority.rank, is_late, due_at


def queue_timeout_at(
    priority: Priority, now: float, service_s: float
) -> float:
    """Return when a request should stop waiting for a target.

    Args:
      priority: The rank, goal and deadline of the request.
      now: The event loop's time.
      service_s: The expected service time.
    """
    latest_start_at = priority.deadline_at - service_s
    on_time_start_at = priority.goal_at - service_s
    late_limit_at = now + LATE_WAIT_SHARE * (priority.deadline_at - now)
    return max(
        now + MIN_WAIT_S,
        min(latest_start_at, max(on_time_start_at, late_limit_at)),
    )


def expected_wait_s(ahead: int, service_s: float, concurrency: int) -> float:
    """Return the expected wait behind the requests ahead in the queue.

    Args:
      ahead: Number of requests ahead.
      service_s: The expected service time.
      concurrency: Number of requests served concurrently; 0 if none are.
    """
    if concurrency <= 0:
        return service_s * (ahead + 1)
    return service_s * (ahead + 1) / concurrency
