"""Checks of the content of datagrams, before their handlers see it.

Anything may arrive at the port between hosts. A handler that fails halfway, or
a wrong value that is stored and fails later, would end the process.
"""

import typing

from amaranthcrank.router import entry_checks
from amaranthcrank.router import message_kinds
from amaranthcrank.router import model

MAX_REQUESTS = 1_000_000
MAX_WORK_S = 3600.0
# Longer than any process runs, in milliseconds.
MAX_AGE_MS = 2**40
MAX_FINGERPRINT_BYTES = 64
MAX_PARTS = 1000

_Check = typing.Callable[[typing.Any], bool]


def is_well_formed(
    kind: typing.Any, host_id: typing.Any, content: typing.Any
) -> bool:
    """Return whether a message of a known kind has the form of its kind."""
    if not entry_checks.is_name(host_id):
        return False
    return _CHECK_BY_KIND[kind](content)


def _is_count(value: typing.Any) -> bool:
    return entry_checks.is_integer(value, 0, MAX_REQUESTS)


def _is_number_of_ticket(value: typing.Any) -> bool:
    # A host without a ticket has -1.
    least = -1
    return entry_checks.is_integer(value, least, entry_checks.MAX_INTEGER)


def _is_revision_or_unknown(value: typing.Any) -> bool:
    # A host that has not read the kind yet has -1.
    least = -1
    return entry_checks.is_integer(value, least, entry_checks.MAX_INTEGER)


def _is_none(value: typing.Any) -> bool:
    return value is None


def _is_fingerprint(value: typing.Any) -> bool:
    return isinstance(value, bytes) and len(value) <= MAX_FINGERPRINT_BYTES


def _is_key(value: typing.Any) -> bool:
    return entry_checks.is_integer(value, 0, model.KEY_COUNT - 1)


def _is_work_s(value: typing.Any) -> bool:
    return entry_checks.is_number(value) and 0 <= value <= MAX_WORK_S


def _is_port(value: typing.Any) -> bool:
    return entry_checks.is_integer(value, 1, entry_checks.MAX_PORT)


def _is_part_index(value: typing.Any) -> bool:
    return entry_checks.is_integer(value, 0, MAX_PARTS)


def _is_age_ms(value: typing.Any) -> bool:
    return entry_checks.is_integer(value, 0, MAX_AGE_MS)


def _optional(check: _Check) -> _Check:
    return lambda value: value is None or check(value)


def _list_of(check: _Check) -> _Check:
    def is_list(value: typing.Any) -> bool:
        return isinstance(value, list) and all(map(check, value))

    return is_list


def _fields(*checks: _Check) -> _Check:
    """Return a check of a list with one value for each of the checks."""

    def are_fields(value: typing.Any) -> bool:
        if not isinstance(value, list) or len(value) != len(checks):
            return False
        return all(
            check(field) for check, field in zip(checks, value, strict=True)
        )

    return are_fields


def _dict_of(check_key: _Check, check_value: _Check) -> _Check:
    def is_dict(value: typing.Any) -> bool:
        if not isinstance(value, dict):
            return False
        if not all(map(check_key, value)):
            return False
        return all(map(check_value, value.values()))

    return is_dict


def _is_hello(value: typing.Any) -> bool:
    if not _HELLO_FIELDS(value):
        return False
    ip, port, _ = value
    return entry_checks.is_address(model.Address(ip, port))


def _is_key_range(value: typing.Any) -> bool:
    if not isinstance(value, list):
        return False
    if len(value) != len(model.KeyRange._fields):
        return False
    return entry_checks.is_key_range(model.KeyRange(*value))


def _is_entry_change(value: typing.Any) -> bool:
    """Return whether a value is a target's id with its entry or None."""
    if not isinstance(value, list) or len(value) != 2:
        return False
    target_id, fields = value
    if not entry_checks.is_name(target_id):
        return False
    if fields is None:
        return True
    if not isinstance(fields, list):
        return False
    if len(fields) != len(model.TargetEntry._fields):
        return False
    entry = model.TargetEntry(*fields)
    if not isinstance(entry.address, list) or len(entry.address) != 2:
        return False
    entry = entry._replace(address=model.Address(*entry.address))
    return entry.target_id == target_id and not entry_checks.problem(entry)


_is_name = entry_checks.is_name
_is_revision = entry_checks.is_revision
_is_target_id = entry_checks.is_target_id
_HELLO_FIELDS = _fields(_is_name, _is_port, _is_name)
_EVACUATED_DOMAINS = _fields(_is_revision, _list_of(_is_name))
_is_usage = _dict_of(_is_target_id, _fields(_is_count, _is_count))

_CHECK_BY_KIND: dict[int, _Check] = {
    message_kinds.LOAD: _dict_of(_is_target_id, _is_count),
    message_kinds.HEARTBEAT: _fields(
        _is_revision, _dict_of(_is_name, _is_revision), _list_of(_is_name)
    ),
    message_kinds.RESIGNED: _is_none,
    message_kinds.KEY_LOAD: _list_of(_fields(_is_name, _is_key, _is_work_s)),
    message_kinds.OWNER_USAGE: _is_usage,
    message_kinds.MISDIRECTED: _is_target_id,
    message_kinds.CRASHED: _fields(_is_fingerprint, entry_checks.is_holder),
    message_kinds.CRASH_CLEARED: _is_fingerprint,
    message_kinds.CRASH_WITHDRAWN: entry_checks.is_holder,
    message_kinds.BLOCKED: _fields(
        _is_fingerprint, _list_of(_fields(entry_checks.is_holder, _is_age_ms))
    ),
    message_kinds.MOVE_COMPLETED: _fields(
        _is_name, _is_key, _is_key, _is_revision
    ),
    message_kinds.KEY_MAP_CHANGE: _fields(
        _is_name,
        _is_revision,
        _is_revision,
        _is_part_index,
        _is_part_index,
        _list_of(_is_key_range),
    ),
    message_kinds.HELLO: _is_hello,
    message_kinds.USAGE_BY_OTHERS: _is_usage,
    message_kinds.TICKET: _is_number_of_ticket,
    message_kinds.TARGETS: _fields(
        _optional(_is_revision),
        _is_revision,
        _is_part_index,
        _is_part_index,
        _optional(_list_of(_is_entry_change)),
        _is_age_ms,
    ),
    message_kinds.MISSING_TARGETS: _list_of(entry_checks.is_holder),
    message_kinds.DEPARTED_TARGETS: _list_of(entry_checks.is_holder),
    message_kinds.CHANGES_AFTER: _is_revision,
    message_kinds.CHANGES: _fields(
        _is_revision,
        _is_revision,
        _is_part_index,
        _is_part_index,
        _list_of(_is_entry_change),
    ),
    message_kinds.TICKET_AFTER: _is_number_of_ticket,
    message_kinds.NEWER_TICKET: _is_number_of_ticket,
    message_kinds.LEAVING: entry_checks.is_holder,
    message_kinds.EVACUATIONS: _EVACUATED_DOMAINS,
    message_kinds.EVACUATIONS_CHANGED: _EVACUATED_DOMAINS,
    message_kinds.EVACUATIONS_AFTER: _is_revision_or_unknown,
}
