"""First control stage: which hosts and upstreams are alive."""

from amaranthcrank.observe import failure_detector
from amaranthcrank.observe import host_list

__all__ = (
    'failure_detector',
    'host_list',
)
