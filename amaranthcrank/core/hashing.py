"""Hashing of keys to slots and of names to candidates."""

from collections import abc
import functools

import xxhash


def slot_of(service: str, key: str, slots: int) -> int:
    """Map a key to its slot.

    Args:
      service: The name of the service.
      key: The key within the service.
      slots: The number of slots of the service.

    Returns:
      A slot number from 0 to slots - 1.
    """
    return xxhash.xxh64_intdigest(f'{service}/{key}'.encode()) % slots


def rendezvous(
    name: str, candidates: abc.Iterable[str], count: int
) -> tuple[str, ...]:
    """Choose candidates for a name by highest random weight.

    Args:
      name: What is to be placed.
      candidates: The names to choose from, in any order.
      count: How many to choose.

    Returns:
      At most count candidates, best first; the same for every order.
    """
    return _ranked(name, frozenset(candidates))[:count]


@functools.lru_cache(maxsize=65536)
def _ranked(name: str, candidates: frozenset[str]) -> tuple[str, ...]:
    return tuple(
        sorted(
            candidates,
            key=lambda each: (
                xxhash.xxh64_intdigest(f'{name}|{each}'.encode()),
                each,
            ),
            reverse=True,
        )
    )
