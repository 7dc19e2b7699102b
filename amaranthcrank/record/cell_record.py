"""Encodes and validates cell records and creates their next versions."""

import json
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import model

MAX_HOSTS = 12
# Five attesters tolerate the simultaneous loss of two. More would only
# add heartbeats.
MAX_ATTESTERS = 5
# Previous owner of a slot if not all earlier owners are known. No release can
# shorten the wait for such a slot.
UNRESOLVED = '*'

Problems = tuple[codes.Problem, ...]


def encode(record: model.CellRecord) -> bytes:
    """Encode a record as compact JSON.

    Args:
      record: The record.

    Returns:
      UTF-8 JSON. Targets are listed once; slots refer to them by index.
    """
    names = {''}
    for assignment in record.assignment_by_slot.values():
        names.add(assignment.target)
        names.add(assignment.previous_target)
    targets = sorted(names)
    index_by_target = {name: index for index, name in enumerate(targets)}
    slots: dict[str, list[list[int]]] = {}
    for slot_id in sorted(record.assignment_by_slot):
        assignment = record.assignment_by_slot[slot_id]
        slots.setdefault(slot_id.service, []).append(
            [
                slot_id.slot,
                index_by_target[assignment.target],
                assignment.fence,
                index_by_target[assignment.previous_target],
            ]
        )
    document = {
        'cell': record.cell,
        'version': record.version,
        'hosts': record.hosts,
        'attesters': record.attesters,
        'previous_attesters': record.previous_attesters,
        'settled_ticket': record.settled_ticket,
        'planned_ticket': record.planned_ticket,
        'hosts_version': record.hosts_version,
        'targets': targets,
        'slots': slots,
    }
    text = json.dumps(document, separators=(',', ':'), ensure_ascii=False)
    return text.encode()


def decode(body: bytes) -> tuple[model.CellRecord | None, Problems]:
    """Decode and validate a record.

    Args:
      body: The output of encode.

    Returns:
      The record and no problems, or None and all problems found.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return None, (_problem('record', f'not valid JSON: {error}'),)
    if not isinstance(document, dict):
        return None, (_problem('record', 'not an object'),)
    problems = []
    fields = {}
    for name, check, accepted in _FIELDS:
        value = document.get(name)
        if not check(value):
            problems.append(_problem(name, f'{value!r:.80} is not {accepted}'))
        fields[name] = value
    if problems:
        return None, tuple(problems)
    assignments, problems = _decode_slots(fields['slots'], fields['targets'])
    if problems:
        return None, tuple(problems)
    record = model.CellRecord(
        cell=fields['cell'],
        version=fields['version'],
        hosts=tuple(fields['hosts']),
        attesters=tuple(fields['attesters']),
        previous_attesters=tuple(fields['previous_attesters']),
        settled_ticket=fields['settled_ticket'],
        assignment_by_slot=assignments,
        planned_ticket=fields['planned_ticket'],
        hosts_version=fields['hosts_version'],
    )
    found = validate(record)
    return (None, found) if found else (record, ())


def validate(record: model.CellRecord) -> Problems:
    """Validate a record.

    Args:
      record: A record with fields of the right types.

    Returns:
      All problems found.
    """
    problems = []
    if not record.cell:
        problems.append(_problem('cell', 'the name is empty'))
    if record.version < 1:
        problems.append(_problem('version', f'{record.version} is below 1'))
    for name in ('hosts', 'attesters', 'previous_attesters'):
        names = getattr(record, name)
        if len(set(names)) != len(names) or '' in names:
            problems.append(_problem(name, 'has empty or duplicate names'))
    if len(record.hosts) > MAX_HOSTS:
        problems.append(_problem('hosts', f'{len(record.hosts)} hosts'))
    if bool(record.hosts) != bool(record.attesters):
        problems.append(
            _problem(
                'attesters',
                'hosts and attesters must be both empty or both set',
            )
        )
    for name in ('settled_ticket', 'planned_ticket'):
        if getattr(record, name) < 0:
            problems.append(_problem(name, 'below 0'))
    if not 1 <= record.hosts_version <= record.version:
        detail = f'{record.hosts_version} is not 1 to the record version'
        problems.append(_problem('hosts_version', detail))
    for slot_id, assignment in record.assignment_by_slot.items():
        place = f'slots.{slot_id.service}.{slot_id.slot}'
        if slot_id.slot < 0 or not slot_id.service:
            problems.append(
                _problem(place, 'has an invalid service name or slot number')
            )
        if not assignment.target or assignment.target == UNRESOLVED:
            problems.append(_problem(place, 'has no target'))
        if not 1 <= assignment.fence <= record.version:
            problems.append(
                _problem(
                    place,
                    f'fence {assignment.fence} is not 1 to the record version',
                )
            )
    return tuple(problems)


def empty_record(cell: str, settled_ticket: int) -> model.CellRecord:
    """Return version 1 of the record of a cell without hosts and slots."""
    return first_record(cell, (), None, settled_ticket)


def first_record(
    cell: str,
    hosts: tuple[str, ...],
    third_attester: str | None,
    settled_ticket: int,
) -> model.CellRecord:
    """Return version 1 of the record of a cell with hosts, without slots.

    Args:
      cell: The cell.
      hosts: Its hosts, at most 12.
      third_attester: The attester of the cell in the ticket, None if none.
      settled_ticket: The number of the newest ticket. A cell without slots
        holds none outside the ranges of that ticket.

    Returns:
      The record, to be created only if absent.
    """
    return model.CellRecord(
        cell=cell,
        version=1,
        hosts=hosts,
        attesters=select_attesters(cell, hosts, third_attester),
        previous_attesters=(),
        settled_ticket=settled_ticket,
        assignment_by_slot={},
        planned_ticket=settled_ticket,
    )


def select_attesters(
    cell: str, hosts: tuple[str, ...], third_attester: str | None
) -> tuple[str, ...]:
    """Select the attesters of a cell.

    Args:
      cell: The cell.
      hosts: Its hosts.
      third_attester: A nearby host of another cell, used if the cell has two
        hosts; None if none.

    Returns:
      All hosts if there are at most five, otherwise five of them.
    """
    if len(hosts) > MAX_ATTESTERS:
        return tuple(sorted(hashing.rendezvous(cell, hosts, MAX_ATTESTERS)))
    if len(hosts) == 2 and third_attester and third_attester not in hosts:
        return (*hosts, third_attester)
    return hosts


def with_assignments(
    record: model.CellRecord,
    assignment_by_slot: dict[model.SlotId, model.Assignment],
    effective: int,
    planned_ticket: int = 0,
    gaining: frozenset[model.SlotId] = frozenset(),
    losing: frozenset[model.SlotId] = frozenset(),
) -> model.CellRecord:
    """Return the next version with new owners.

    Args:
      record: The current record.
      assignment_by_slot: The planned owners, of which only the targets are
        used. Slots that are not in it are dropped.
      effective: The effective version known to the writer.
      planned_ticket: The ticket on which the plan is based.
      gaining: Slots that wait even if their owner stays, because they get a
        key from another slot (settlement.remapped_slots).
      losing: Slots that get a new fence, because a key leaves them.

    Returns:
      The next version, or the same record if nothing changes.
    """
    version = record.version + 1
    planned = {}
    for slot_id, assignment in assignment_by_slot.items():
        old = record.assignment_by_slot.get(slot_id)
        target = assignment.target
        stays = old is not None and old.target == target
        if stays and slot_id not in gaining and slot_id not in losing:
            planned[slot_id] = old
            continue
        previous = _previous_target(record, old, effective)
        if slot_id in gaining:
            previous = UNRESOLVED
        elif stays and previous != UNRESOLVED:
            # The owner stays and no key is gained: no release is needed.
            previous = ''
        planned[slot_id] = model.Assignment(target, version, previous)
    ticket = max(planned_ticket, record.planned_ticket)
    if (
        planned == record.assignment_by_slot
        and ticket == record.planned_ticket
    ):
        return record
    return record._replace(
        version=version, assignment_by_slot=planned, planned_ticket=ticket
    )


def with_hosts(
    record: model.CellRecord,
    hosts: tuple[str, ...],
    third_attester: str | None,
) -> tuple[model.CellRecord | None, Problems]:
    """Return the next version with other hosts.

    Args:
      record: The current record.
      hosts: The new hosts, in order of joining, at most 12.
      third_attester: The attester of the cell in the ticket, None if none.

    Returns:
      The next version, or the same record if nothing changes. None and the
      problems if a change of the attesters is pending or there are too many
      hosts.
    """
    if len(hosts) > MAX_HOSTS:
        detail = f'{len(hosts)} hosts'
        return None, (codes.Problem(codes.TOO_MANY_HOSTS, 'hosts', detail),)
    attesters = select_attesters(record.cell, hosts, third_attester)
    if hosts == record.hosts and attesters == record.attesters:
        return record, ()
    if record.previous_attesters:
        detail = f'version {record.version}'
        return None, (codes.Problem(codes.CHANGE_PENDING, 'hosts', detail),)
    changed = set(attesters) != set(record.attesters)
    following = record._replace(
        version=record.version + 1,
        hosts=hosts,
        attesters=attesters,
        previous_attesters=record.attesters if changed else (),
        hosts_version=record.version + 1,
    )
    return following, ()


def with_attester_change_completed(
    record: model.CellRecord,
) -> model.CellRecord:
    """Return the next version, with the change of the attesters completed.

    Args:
      record: The current record, for which
        quorum.is_attester_change_in_force must be true.

    Returns:
      The next version, or the same record if no change is pending.
    """
    if not record.previous_attesters:
        return record
    return record._replace(version=record.version + 1, previous_attesters=())


def with_settled_ticket(
    record: model.CellRecord, ticket: int
) -> model.CellRecord:
    """Return the next version with a higher settled_ticket.

    Args:
      record: The current record; SettlementPlan.raise_settled must be true.
      ticket: The number of the ticket.

    Returns:
      The next version, or the same record if the ticket is settled already.
    """
    if ticket <= record.settled_ticket:
        return record
    return record._replace(version=record.version + 1, settled_ticket=ticket)


def _previous_target(
    record: model.CellRecord,
    old: model.Assignment | None,
    effective: int,
) -> str:
    """Return the owner whose release shortens the wait for a slot.

    If a slot moves twice before the first move is effective, the owner
    before the last one may still hold a grant, but the record lists only one
    previous owner. The same applies to a slot that was dropped and returns
    before that version is effective. Such a slot waits until the new version
    is effective.
    """
    if old is not None:
        return old.target if old.fence <= effective else UNRESOLVED
    # Version 1 has no slots and no earlier version.
    if record.version == 1 or record.version <= effective:
        return ''
    return UNRESOLVED


def _decode_slots(
    slots: dict[str, typing.Any], targets: list[str]
) -> tuple[dict[model.SlotId, model.Assignment], list[codes.Problem]]:
    assignments = {}
    problems = []
    for service, rows in slots.items():
        if not isinstance(rows, list):
            problems.append(_problem(f'slots.{service}', 'not a list'))
            continue
        for row in rows:
            if not _is_row(row, len(targets)):
                problems.append(_problem(f'slots.{service}', f'{row!r:.80}'))
                continue
            slot_id = model.SlotId(service, row[0])
            if slot_id in assignments:
                problems.append(
                    _problem(f'slots.{service}', f'{row}: duplicate slot')
                )
            assignments[slot_id] = model.Assignment(
                targets[row[1]], row[2], targets[row[3]]
            )
    return assignments, problems


def _is_row(row: typing.Any, targets: int) -> bool:
    if not isinstance(row, list) or len(row) != 4:
        return False
    if not all(_is_count(each) for each in row):
        return False
    return row[1] < targets and row[3] < targets


def _is_count(value: typing.Any) -> bool:
    return type(value) is int and value >= 0


def _is_text(value: typing.Any) -> bool:
    return isinstance(value, str)


def _is_name_list(value: typing.Any) -> bool:
    return isinstance(value, list) and all(_is_text(each) for each in value)


def _is_object(value: typing.Any) -> bool:
    return isinstance(value, dict)


_FIELDS = (
    ('cell', _is_text, 'text'),
    ('version', _is_count, 'a whole number'),
    ('hosts', _is_name_list, 'a list of names'),
    ('attesters', _is_name_list, 'a list of names'),
    ('previous_attesters', _is_name_list, 'a list of names'),
    ('settled_ticket', _is_count, 'a whole number'),
    ('planned_ticket', _is_count, 'a whole number'),
    ('hosts_version', _is_count, 'a whole number'),
    ('targets', _is_name_list, 'a list of names'),
    ('slots', _is_object, 'an object'),
)


def _problem(place: str, detail: str) -> codes.Problem:
    return codes.Problem(codes.BAD_RECORD, place, detail)
