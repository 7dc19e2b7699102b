"""Data types, hashing and result codes shared by all other packages."""

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
