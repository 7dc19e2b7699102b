"""Assignment of slots to targets by the controller."""

from amaranthcrank.plan import assignment

__all__ = ('assignment',)
