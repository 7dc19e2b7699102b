"""Hashing of keys to slots and of names to candidates."""

from collections import abc
import functools

import xxhash

# Slot numbers of pinned keys hold the hash slot above this many bits.
PINNED_SLOT_SHIFT = 32


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


def pinned_slot_number(service: str, key: str, slots: int) -> int:
    """Number the slot that a pinned key has to itself.

    The number does not depend on the other pins, so that a change of the
    pins never gives a slot another key. It is above every hash slot, and
    base_slot_number finds the hash slot in it.

    Args:
      service: The name of the service.
      key: The pinned key.
      slots: The number of hash slots of the service.

    Returns:
      The number.
    """
    base = slot_of(service, key, slots)
    return ((base + 1) << PINNED_SLOT_SHIFT) | xxhash.xxh32_intdigest(
        key.encode()
    )


def is_pinned_slot(number: int) -> bool:
    """Tell whether a slot number is one of a pinned key."""
    return number >= 1 << PINNED_SLOT_SHIFT


def base_slot_number(number: int) -> int:
    """Return the hash slot of a pinned key's slot."""
    return (number >> PINNED_SLOT_SHIFT) - 1
