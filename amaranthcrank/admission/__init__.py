"""Third stage of a request: ranks, queues, limits and budgets."""

from amaranthcrank.admission import gate
from amaranthcrank.admission import intake_limit
from amaranthcrank.admission import limits
from amaranthcrank.admission import link_budget
from amaranthcrank.admission import rank_queue
from amaranthcrank.admission import turnaway

__all__ = (
    'gate',
    'intake_limit',
    'limits',
    'link_budget',
    'rank_queue',
    'turnaway',
)
