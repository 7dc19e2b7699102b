"""Fourth control stage: host leases, adoption of records and grants."""

from amaranthcrank.grant import grants
from amaranthcrank.grant import quorum
from amaranthcrank.grant import renewals

__all__ = (
    'grants',
    'quorum',
    'renewals',
)
