"""Hashing of keys to slots, and rendezvous hashing."""

from collections import abc
import functools

import xxhash

# The number of a pinned slot holds the hash slot, plus 1, above this many
# bits.
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
    """Choose candidates for a name by rendezvous hashing.

    Args:
      name: The name of the item to place.
      candidates: The names to choose from.
      count: How many to choose.

    Returns:
      At most `count` candidates, highest weight first. The result does not
      depend on the order of the candidates.
    """
    return _candidates_by_weight(name, frozenset(candidates))[:count]


@functools.lru_cache(maxsize=65536)
def _candidates_by_weight(
    name: str, candidates: frozenset[str]
) -> tuple[str, ...]:
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
    """Return the number of the slot reserved for a pinned key.

    The number does not depend on the other pins, so that a change of the
    pins never assigns a slot to another key. It is greater than the number
    of any hash slot; base_slot_number returns the hash slot it contains.

    Args:
      service: The name of the service.
      key: The pinned key.
      slots: The number of hash slots of the service.

    Returns:
      The slot number.
    """
    hash_slot = slot_of(service, key, slots)
    return ((hash_slot + 1) << PINNED_SLOT_SHIFT) | xxhash.xxh32_intdigest(
        key.encode()
    )


def is_pinned_slot(number: int) -> bool:
    """Return whether a slot number belongs to a pinned key."""
    return number >= 1 << PINNED_SLOT_SHIFT


def base_slot_number(number: int) -> int:
    """Return the hash slot of the key to which a pinned slot belongs."""
    return (number >> PINNED_SLOT_SHIFT) - 1
