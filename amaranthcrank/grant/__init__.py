"""Fourth control stage: standing, adoption and grants."""

from amaranthcrank.grant import grants
from amaranthcrank.grant import renewals
from amaranthcrank.grant import standing

__all__ = (
    'grants',
    'renewals',
    'standing',
)
