"""Data, hashing and result codes that every stage shares."""

from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.core import names

__all__ = (
    'codes',
    'hashing',
    'model',
    'names',
)
