"""Second control stage: which target owns which slot."""

from amaranthcrank.plan import assignment

__all__ = ('assignment',)
