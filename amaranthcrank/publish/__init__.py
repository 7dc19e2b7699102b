"""Status reports and the view of the control state for request threads."""

from amaranthcrank.publish import status
from amaranthcrank.publish import view

__all__ = (
    'status',
    'view',
)
