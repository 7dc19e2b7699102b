"""Dispatch to upstreams: at-most-once execution, retries and sending."""

from amaranthcrank.dispatch import dispatcher
from amaranthcrank.dispatch import ledger
from amaranthcrank.dispatch import ledger_actor
from amaranthcrank.dispatch import quarantine
from amaranthcrank.dispatch import retries
from amaranthcrank.dispatch import upstream_client
from amaranthcrank.dispatch import work

__all__ = (
    'dispatcher',
    'ledger',
    'ledger_actor',
    'quarantine',
    'retries',
    'upstream_client',
    'work',
)
