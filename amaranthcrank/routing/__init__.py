"""Routing of a key to its slot and home cell."""

from amaranthcrank.routing import route

__all__ = ('route',)
