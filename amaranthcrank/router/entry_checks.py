"""Checks of targets' entries and key maps, whoever sent them. Pure functions.

They come from the store, where other writers may leave objects of the same
kind, and from the datagrams of other hosts.
"""

import ipaddress
import math
import re
import typing

from amaranthcrank.router import model

# A target's id is sent as a header value, and holders are listed separated by
# spaces, so an id has only visible ASCII characters.
_TARGET_ID = re.compile(r'[!-~]{1,256}')
_INCARNATION = re.compile(r'[0-9]{1,16}')
MAX_NAME_LENGTH = 256
MAX_SLOTS = 100_000
# The largest integer that each decoder represents exactly.
MAX_INTEGER = 2**53
MAX_WARM_UP_S = 24 * 3600.0
MAX_PORT = 65535


def problem(entry: model.TargetEntry) -> str:
    """Return why an entry names no usable target, or ''.

    The fields may have any type, as they were taken from a decoded body.
    """
    if not is_target_id(entry.target_id):
        return 'the id is not a short text of visible characters'
    for name, value in (
        ('service', entry.service),
        ('failure domain', entry.failure_domain),
    ):
        if not is_name(value):
            return f'the {name} is not a short printable text'
    if not is_address(entry.address):
        return 'the address is not an IPv4 address with a port'
    if not is_integer(entry.slots, 1, MAX_SLOTS):
        return f'the slots are not an integer from 1 to {MAX_SLOTS}'
    if entry.state not in (model.READY, model.DRAINING):
        return 'the state is unknown'
    if not is_number(entry.cold_s) or entry.cold_s > MAX_WARM_UP_S:
        return 'the warm-up time is not a number within a day'
    if not is_integer(entry.incarnation, 0, MAX_INTEGER):
        return 'the start time is not a whole number of milliseconds'
    return ''


def is_target_id(value: typing.Any) -> bool:
    """Return whether a value can be the id of a target."""
    return isinstance(value, str) and bool(_TARGET_ID.fullmatch(value))


def is_name(value: typing.Any) -> bool:
    """Return whether a value is a printable text of moderate length."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        return False
    return value.isprintable()


def is_integer(value: typing.Any, least: int, most: int) -> bool:
    """Return whether a value is an integer in a range; booleans are not."""
    return type(value) is int and least <= value <= most


def is_number(value: typing.Any) -> bool:
    """Return whether a value is a finite number; booleans are not."""
    if type(value) is int:
        return abs(value) <= MAX_INTEGER
    return type(value) is float and math.isfinite(value)


def is_address(value: typing.Any) -> bool:
    """Return whether a value is an address of a single host."""
    if not isinstance(value, model.Address):
        return False
    if not isinstance(value.ip, str):
        return False
    try:
        ip = ipaddress.IPv4Address(value.ip)
    except ValueError:
        return False
    if ip.is_unspecified or ip.is_multicast:
        return False
    return is_integer(value.port, 1, MAX_PORT)


def is_revision(value: typing.Any) -> bool:
    """Return whether a value can be a revision of the store or a fence."""
    return is_integer(value, 0, MAX_INTEGER)


def is_key_range(key_range: model.KeyRange) -> bool:
    """Return whether the fields of a range have their types and limits."""
    last_key = model.KEY_COUNT - 1
    if not is_integer(key_range.first, 0, last_key):
        return False
    if not is_integer(key_range.last, key_range.first, last_key):
        return False
    if not is_target_id(key_range.target_id):
        return False
    if not is_integer(key_range.incarnation, 0, MAX_INTEGER):
        return False
    if not is_revision(key_range.fence):
        return False
    if type(key_range.moving) is not bool:
        return False
    if not isinstance(key_range.former_holders, str):
        return False
    return all(map(is_holder, key_range.former_holders.split()))


def is_holder(value: typing.Any) -> bool:
    """Return whether a value is a holder of keys as `id/incarnation`."""
    if not isinstance(value, str):
        return False
    target_id, found, incarnation = value.rpartition('/')
    if not found or not is_target_id(target_id):
        return False
    return bool(_INCARNATION.fullmatch(incarnation))


def is_unsettled_hold(hold: model.UnsettledHold) -> bool:
    """Return whether the fields of a hold have their types and limits."""
    last_key = model.KEY_COUNT - 1
    if not is_holder(hold.holder) or not is_revision(hold.fence):
        return False
    if not is_integer(hold.first, 0, last_key):
        return False
    return is_integer(hold.last, hold.first, last_key)


def is_key_map(key_map: model.KeyMap) -> bool:
    """Return whether the fields of a key map have their types and limits."""
    numbers = key_map.fence, key_map.revision, key_map.era, key_map.term
    if not all(map(is_revision, numbers)):
        return False
    if not all(map(is_key_range, key_map.ranges)):
        return False
    if not all(map(is_unsettled_hold, key_map.unsettled)):
        return False
    for holder, address in key_map.address_by_holder.items():
        if not is_holder(holder) or not is_address(address):
            return False
    return True
