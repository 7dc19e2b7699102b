"""Adapter to the platform on which the router runs.

Each module translates between a wire or file format of the platform and the
types of `amaranthcrank.router.model`. The package contains no routing logic,
and no other package depends on the formats of the platform.
"""

__all__ = [
    'entries',
    'grants',
    'manifest',
    'names',
    'settings_file',
    'store',
]
