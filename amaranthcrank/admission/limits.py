"""Adaptive limit of concurrent requests at one target."""


class Limit:
    """The limit and latency estimates of one target."""


def open_limit(slots: int, cold: bool = True) -> Limit:
    """Open the limit of a target; a cold one starts at 1."""
    raise NotImplementedError


def set_slots(limit: Limit, slots: int) -> None:
    """Take over the number of slots from a ticket."""
    raise NotImplementedError


def restarted(limit: Limit) -> None:
    """Start slowly again after a new incarnation of the upstream."""
    raise NotImplementedError


def note_done(limit: Limit, latency_s: float, now: float) -> None:
    """Learn from an answered request."""
    raise NotImplementedError


def note_shed(limit: Limit, now: float) -> None:
    """Learn from a request that the upstream shed or timed out."""
    raise NotImplementedError


def current(limit: Limit) -> int:
    """Return how many requests may run at once, 1 to the slots."""
    raise NotImplementedError


def service_s(limit: Limit) -> float:
    """Return the expected service time in seconds."""
    raise NotImplementedError
