"""First stage of a request: from HTTP to a checked request."""

from amaranthcrank.intake import parse
from amaranthcrank.intake import server

__all__ = (
    'parse',
    'server',
)
