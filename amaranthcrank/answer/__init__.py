"""HTTP responses for the outcomes of requests."""

from amaranthcrank.answer import respond

__all__ = ('respond',)
