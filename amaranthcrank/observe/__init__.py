"""Detection of failed hosts and the platform's list of hosts."""

from amaranthcrank.observe import failure_detector
from amaranthcrank.observe import host_list

__all__ = (
    'failure_detector',
    'host_list',
)
