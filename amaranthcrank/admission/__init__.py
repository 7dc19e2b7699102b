"""Admission control: rank queues, concurrency limits and byte budgets."""

from amaranthcrank.admission import circuit_breaker
from amaranthcrank.admission import concurrency_limit
from amaranthcrank.admission import gate
from amaranthcrank.admission import intake_limit
from amaranthcrank.admission import link_budget
from amaranthcrank.admission import rank_queue

__all__ = (
    'circuit_breaker',
    'concurrency_limit',
    'gate',
    'intake_limit',
    'link_budget',
    'rank_queue',
)
