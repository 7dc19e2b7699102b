"""Second stage of a request: from a key to its slot and target."""

from amaranthcrank.routing import route

__all__ = ('route',)
