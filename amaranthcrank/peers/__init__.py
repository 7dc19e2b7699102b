"""Authenticated, long-lived connections between hosts."""

from amaranthcrank.peers import auth
from amaranthcrank.peers import frames
from amaranthcrank.peers import links

__all__ = (
    'auth',
    'frames',
    'links',
)
