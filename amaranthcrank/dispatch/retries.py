"""Retries: budget, backoff and whether a request may be retried."""

from collections import abc
import typing

from amaranthcrank.core import codes

BUDGET_SHARE = 0.1
BUDGET_BURST = 10.0
BACKOFF_BASE_S = 0.02
BACKOFF_CAP_S = 1.0
# More attempts seldom succeed and occupy a thread of the entry host.
MAX_ATTEMPTS = 6

# What is known about a failed attempt.
NOT_SENT = 'not_sent'
NOT_RUN = 'not_run'
MAYBE_RAN = 'maybe_ran'


class Failure(typing.NamedTuple):
    """Why an attempt failed.

    Attributes:
      kind: NOT_SENT, NOT_RUN (reported by the upstream) or MAYBE_RAN.
      code: The code for the caller if there is no further attempt.
      retry_after_s: The delay that the upstream requested, 0 if none.
    """

    kind: str
    code: codes.Code
    retry_after_s: float


class RetryDecision(typing.NamedTuple):
    """What to do after a failed attempt.

    Attributes:
      retry: Whether to retry.
      at: When to retry, monotonic seconds; 0 without a retry.
      code: The code for the caller without a retry; else codes.OK.
    """

    retry: bool
    at: float
    code: codes.Code


class RetryBudget:
    """Token bucket that limits the retries of a host; a retry costs one token.

    Attributes:
      share: The tokens that each first attempt adds.
      burst: The maximum number of tokens.
      tokens: The current number of tokens.
    """

    __slots__ = ('burst', 'share', 'tokens')

    def __init__(self, share: float, burst: float) -> None:
        """Initialise with the maximum number of tokens."""
        self.share = share
        self.burst = burst
        self.tokens = burst


def open_budget(
    share: float = BUDGET_SHARE, burst: float = BUDGET_BURST
) -> RetryBudget:
    """Create a full budget."""
    return RetryBudget(share, burst)


def record_request(budget: RetryBudget) -> None:
    """Add the share of a token for a first attempt."""
    budget.tokens = min(budget.burst, budget.tokens + budget.share)


def backoff_s(attempt: int, random: abc.Callable[[], float]) -> float:
    """Return the exponential backoff after failed attempts, full jitter."""
    # The bound on the exponent prevents an overflow of the power.
    max_wait_s = BACKOFF_BASE_S * 2 ** min(attempt, 16)
    return random() * min(BACKOFF_CAP_S, max_wait_s)


def combine_failures(earlier: Failure | None, latest: Failure) -> Failure:
    """Combine what is known about a request after one more failed attempt.

    A repeatable request whose first attempt may have run and whose second
    attempt was refused may have run; the refusal alone would claim that it
    did not.
    """
    if earlier is None or earlier.kind != MAYBE_RAN:
        return latest
    return earlier._replace(retry_after_s=latest.retry_after_s)


def may_retry(repeatable: bool, failure: Failure) -> bool:
    """Return whether a request may be retried after a failed attempt.

    Work that is not repeatable is retried only if it is known that nothing
    was sent or that the upstream did not run it. The retry keeps the token of
    the first attempt, whose intent is still held.
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
    """Decide whether and when to retry; a retry spends from the budget.

    Args:
      repeatable: Whether the request may run more than once.
      failure: What is known after the failed attempts, from
        `combine_failures`.
      now: Monotonic seconds.
      deadline_at: The request's deadline, monotonic seconds.
      attempt: How many attempts have failed, 1 after the first.
      budget: The retry budget of the host.
      service_s: The expected service time.
      random: Returns floats in [0, 1).

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
