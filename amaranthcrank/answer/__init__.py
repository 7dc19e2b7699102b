"""Last stage of a request: from an outcome to an HTTP response."""

from amaranthcrank.answer import respond

__all__ = ('respond',)
