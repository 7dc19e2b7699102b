"""Retries: budget, backoff and whether a request may be tried again."""

from collections import abc
import typing

from amaranthcrank.core import codes

BUDGET_SHARE = 0.1
BUDGET_BURST = 10.0
BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0
# More attempts than this seldom help and hold a place at the entry host.
MAX_ATTEMPTS = 6

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


class RetryDecision(typing.NamedTuple):
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
    """Retries that a host may still make, in tokens of one retry.

    Attributes:
      share: What a first attempt earns.
      burst: The most that is saved up.
      tokens: What is left.
    """

    __slots__ = ('burst', 'share', 'tokens')

    def __init__(self, share: float, burst: float) -> None:
        """Start full."""
        self.share = share
        self.burst = burst
        self.tokens = burst


def open_budget(
    share: float = BUDGET_SHARE, burst: float = BUDGET_BURST
) -> RetryBudget:
    """Open a full budget."""
    return RetryBudget(share, burst)


def record_request(budget: RetryBudget) -> None:
    """Earn the share of one retry for a first attempt."""
    budget.tokens = min(budget.burst, budget.tokens + budget.share)


def backoff_s(attempt: int, random: abc.Callable[[], float]) -> float:
    """Return the wait after a number of failed attempts, with full jitter."""
    # The bound on the exponent keeps the power from overflowing.
    max_wait_s = BACKOFF_BASE_S * 2 ** min(attempt, 16)
    return random() * min(BACKOFF_CAP_S, max_wait_s)


def combine_failures(earlier: Failure | None, latest: Failure) -> Failure:
    """Return what is known of a request after one more failed attempt.

    A repeatable request whose first attempt may have run and whose second was
    refused may have run: the refusal alone would claim that it did not.
    """
    if earlier is None or earlier.kind != MAYBE_RAN:
        return latest
    return earlier._replace(retry_after_s=latest.retry_after_s)


def may_retry(repeatable: bool, failure: Failure) -> bool:
    """Tell whether a failed attempt may be followed by another.

    Work that may not repeat is tried again only where it is known that the
    attempt sent nothing or the upstream did not run it. The further attempt
    keeps the token of the first, whose intent is still held.
    """
    return repeatable or failure.kind in (NOT_SENT, NOT_RUN)


def next_attempt(
    repeatable: bool,
    failure: Failure,
    now: float,
    deadline_at: float,
    attempt: int,
    budget: RetryBudget,
    service_s: float,
    random: abc.Callable[[], float],
) -> RetryDecision:
    """Decide whether and when to try again; spends from the budget.

    Args:
      repeatable: Whether the request may run more than once.
      failure: What is known after the failed attempts, from `combine`.
      now: Monotonic seconds.
      deadline_at: The request's deadline, monotonic seconds.
      attempt: How many attempts have failed, 1 after the first.
      budget: The retry budget of the host.
      service_s: The expected service time.
      random: Returns floats from 0 to below 1.

    Returns:
      The decision.
    """
    if not may_retry(repeatable, failure):
        return _no_retry(failure)
    if attempt >= MAX_ATTEMPTS:
        return _no_retry(failure)
    at = now + max(backoff_s(attempt, random), failure.retry_after_s)
    if at + service_s > deadline_at:
        return _no_retry(failure)
    if budget.tokens < 1:
        return _no_retry(failure)
    budget.tokens -= 1
    return RetryDecision(True, at, codes.OK)


def _no_retry(failure: Failure) -> RetryDecision:
    return RetryDecision(False, 0.0, failure.code)
