"""HTTP servers and the validation of callers' requests."""

from amaranthcrank.intake import parse
from amaranthcrank.intake import server

__all__ = (
    'parse',
    'server',
)
