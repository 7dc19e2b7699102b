"""Retries: budget, backoff and whether a request may be tried again."""

from collections import abc
import typing

from amaranthcrank.core import codes

# What is known about the attempt that failed.
NOT_SENT = 'not_sent'
NOT_RUN = 'not_run'
MAYBE_RAN = 'maybe_ran'


class Failure(typing.NamedTuple):
    """Why an attempt failed.

    Attributes:
      kind: NOT_SENT, NOT_RUN (the upstream said so) or MAYBE_RAN.
      code: The code to answer with if there is no further attempt.
      retry_after_s: How long the upstream asked to wait, 0 if unsaid.
    """

    kind: str
    code: codes.Code
    retry_after_s: float


class NextAttempt(typing.NamedTuple):
    """What to do after a failed attempt.

    Attributes:
      retry: Whether to try again.
      at: When to, monotonic seconds; 0 where there is no retry.
      code: The code to answer with where there is no retry.
    """

    retry: bool
    at: float
    code: codes.Code


class RetryBudget:
    """Retries that a host may still make, in tokens of one retry."""


def open_budget(share: float = 0.1, burst: float = 10.0) -> RetryBudget:
    """Open a full budget."""
    raise NotImplementedError


def note_request(budget: RetryBudget) -> None:
    """Earn the share of one retry for a first attempt."""
    raise NotImplementedError


def backoff_s(attempt: int, random: abc.Callable[[], float]) -> float:
    """Return the wait after a number of failed attempts, with full jitter."""
    raise NotImplementedError


def next_attempt(
    repeatable: bool,
    failure: Failure,
    now: float,
    deadline_at: float,
    attempt: int,
    budget: RetryBudget,
    service_s: float,
    random: abc.Callable[[], float],
) -> NextAttempt:
    """Decide whether and when to try again; spends from the budget.

    Args:
      repeatable: Whether the request may run more than once.
      failure: What is known of the failed attempt.
      now: Monotonic seconds.
      deadline_at: The request's deadline, monotonic seconds.
      attempt: How many attempts have failed, 1 after the first.
      budget: The retry budget of the host.
      service_s: The expected service time.
      random: Returns floats from 0 to below 1.

    Returns:
      The decision.
    """
    raise NotImplementedError
