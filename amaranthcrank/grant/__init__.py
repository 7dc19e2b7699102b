"""Fourth control stage: standing, adoption and grants."""

from amaranthcrank.grant import grants
from amaranthcrank.grant import quorum
from amaranthcrank.grant import renewals

__all__ = (
    'grants',
    'quorum',
    'renewals',
)
