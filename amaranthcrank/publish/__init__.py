"""Last control stage: what the system reports."""

from amaranthcrank.publish import status
from amaranthcrank.publish import view

__all__ = (
    'status',
    'view',
)
