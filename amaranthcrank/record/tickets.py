"""Change tickets: parsing, validation, application, diff and encoding.

A range `{"cell", "from", "to"}` contains the slots from `from` up to, but
excluding, `to`. The value null in a document removes a service or a cell.
"""

import collections
from collections import abc
import json
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.record import ticket_checks

ACTIVE = ticket_checks.ACTIVE
DRAINING = ticket_checks.DRAINING
# Sections that a document changes entry by entry. Other sections are replaced
# as a whole.
NAMED_SECTIONS = ticket_checks.NAMED_SECTIONS
# The platform's store accepts values of up to one megabyte.
MAX_TICKET_BYTES = 1_000_000

State = dict[str, typing.Any]
Touches = dict[str, typing.Any]


class Document(typing.NamedTuple):
    """A change as submitted by an operator.

    Attributes:
      author: The author of the change.
      uid: A unique id that identifies this filing if a response is lost.
      expected: The number of the newest ticket known to the author; None if
        not given.
      touches: The complete new value of each changed section, structured
        like the state; null removes a service or a cell.
    """

    author: str
    uid: str
    expected: int | None
    touches: Touches


class Ticket(typing.NamedTuple):
    """A filed ticket, stored as one object.

    Attributes:
      number: The number of the ticket, starting at 1.
      uid: The uid of the document.
      author: The author of the document.
      filed_at_ms: The time of filing, Unix time.
      touches: The sorted names of the changed sections, such as
        `services/soaklog` and `ranks`.
      state: The complete state after the change.
    """

    number: int
    uid: str
    author: str
    filed_at_ms: int
    touches: tuple[str, ...]
    state: State


def parse_document(
    data: bytes,
    required: abc.Collection[str] = ('author', 'uid', 'expected', 'touches'),
) -> tuple[Document | None, tuple[codes.Problem, ...]]:
    """Parse a document sent by an operator.

    Args:
      data: JSON text in UTF-8.
      required: The required fields.

    Returns:
      The document, or None and the problems found.
    """
    if len(data) > MAX_TICKET_BYTES:
        detail = f'{len(data)} bytes; accepted: up to {MAX_TICKET_BYTES}'
        return None, (codes.Problem(codes.TICKET_TOO_LARGE, '', detail),)
    problems: list[codes.Problem] = []
    try:
        fields = json.loads(
            data.decode('utf-8'),
            object_pairs_hook=_object_pairs_hook(problems),
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        detail = f'{error}; accepted: one JSON object in UTF-8'
        return None, (codes.Problem(codes.TICKET_NOT_JSON, '', detail),)
    if not isinstance(fields, dict):
        detail = 'accepted: one JSON object'
        return None, (codes.Problem(codes.TICKET_NOT_JSON, '', detail),)
    problems.extend(
        ticket_checks.check_document_fields(fields, tuple(required))
    )
    if problems:
        return None, tuple(problems)
    document = Document(
        author=fields.get('author', ''),
        uid=fields.get('uid', ''),
        expected=fields.get('expected'),
        touches=fields.get('touches', {}),
    )
    return document, ()


def check_document(
    document: Document, state: State, number: int
) -> tuple[codes.Problem, ...]:
    """Validate a document against the current state.

    Args:
      document: The document.
      state: The current state.
      number: The number of the current ticket, 0 if there is none.

    Returns:
      All problems found; empty if the document may be filed.
    """
    problems: list[codes.Problem] = []
    if document.expected is not None and document.expected != number:
        detail = f'expected ticket {document.expected}, current is {number}'
        problems.append(
            codes.Problem(codes.TICKET_CONFLICT, 'expected', detail)
        )
    shape = ticket_checks.check_shape(document.touches)
    problems.extend(shape.problems)
    new_state = apply_touches(state, shape.valid_touches)
    problems.extend(
        ticket_checks.check_resulting_state(state, new_state, shape)
    )
    ticket = make_ticket(
        document._replace(touches=shape.valid_touches), state, number, 0
    )
    size = len(encode(ticket))
    if size > MAX_TICKET_BYTES:
        detail = (
            f'{size} bytes with the whole state; '
            f'accepted: up to {MAX_TICKET_BYTES}'
        )
        problems.append(codes.Problem(codes.TICKET_TOO_LARGE, '', detail))
    return tuple(problems)


def apply_touches(state: State, touches: Touches) -> State:
    """Return the state after a change.

    Each section or entry in `touches` is replaced as a whole.
    """
    new_state = {**model.EMPTY_STATE, **state}
    for section, value in touches.items():
        if section not in NAMED_SECTIONS:
            new_state[section] = value
            continue
        entries = dict(new_state[section])
        for name, entry in value.items():
            if entry is None:
                entries.pop(name, None)
                continue
            entries[name] = entry
        new_state[section] = entries
    new_state['retired'] = _retired_targets(state, new_state)
    return new_state


def _retired_targets(old_state: State, new_state: State) -> dict[str, str]:
    """Return the last address of each target removed so far, by target id.

    These addresses prevent the reuse of a target id with another address,
    which would give the slots of the old upstream to the new one without
    the wait for its grants to expire.
    """
    kept = set(targets_of(new_state))
    address_by_target = dict(old_state.get('retired', {}))
    for target, entry in targets_of(old_state).items():
        address_by_target[target] = entry.address
    return {
        target: address
        for target, address in address_by_target.items()
        if target not in kept
    }


def touched_sections(touches: Touches) -> tuple[str, ...]:
    """Return the sorted names of the sections that a document changes."""
    sections = []
    for section, value in touches.items():
        if section not in NAMED_SECTIONS:
            sections.append(section)
            continue
        sections.extend(f'{section}/{name}' for name in value)
    return tuple(sorted(sections))


def make_ticket(
    document: Document, state: State, number: int, filed_at_ms: int
) -> Ticket:
    """Create the successor of the current ticket.

    Args:
      document: A validated document.
      state: The current state.
      number: The number of the current ticket, 0 if there is none.
      filed_at_ms: The time of filing, Unix time.

    Returns:
      The ticket with number + 1 and the changed state.
    """
    return Ticket(
        number=number + 1,
        uid=document.uid,
        author=document.author,
        filed_at_ms=filed_at_ms,
        touches=touched_sections(document.touches),
        state=apply_touches(state, document.touches),
    )


def is_newer(current: Ticket | None, candidate: Ticket) -> bool:
    """Return whether a received ticket replaces the current one.

    Responses of peers and of the store may arrive late and in any order, so
    a host ignores tickets that are not newer than its own.

    Args:
      current: The ticket in force at the host, None if there is none.
      candidate: The received ticket.
    """
    return current is None or candidate.number > current.number


def is_filed_from(ticket: Ticket | None, document: Document) -> bool:
    """Return whether a ticket was filed from a document.

    If so, the document is a retry and must not be filed again. Documents are
    identified by their uid.

    Args:
      ticket: The ticket, None if there is none.
      document: The document.
    """
    return ticket is not None and ticket.uid == document.uid


def diff(old: State, new: State) -> tuple[str, ...]:
    """Describe the differences between two states, one line each.

    Lines start with `+` (added), `-` (removed) or `~` (changed). Retired
    targets are omitted because operators do not set them.
    """
    operator_states = []
    for state in (old, new):
        operator_states.append(
            {name: each for name, each in state.items() if name != 'retired'}
        )
    return tuple(_diff_values('', *operator_states))


def targets_of(state: State) -> dict[str, model.Target]:
    """Return the targets of all services by id."""
    target_by_id = {}
    for name, service in state.get('services', {}).items():
        for target, entry in service['targets'].items():
            target_by_id[target] = model.Target(
                target=target,
                service=name,
                cell=entry['cell'],
                address=entry['address'],
                slots=entry['slots'],
                connections=entry['connections'],
                fenced=entry['fenced'],
                draining=entry['state'] == DRAINING,
            )
    return target_by_id


def touches_for_target_state(
    state: State, target: str, target_state: str, drop_pins: bool = False
) -> Touches | None:
    """Return the touches that change the state of one target.

    They contain the complete service of the target.

    Args:
      state: The current state.
      target: The id of the target.
      target_state: `active` or `draining`.
      drop_pins: Whether to remove pins to the target.

    Returns:
      The touches, or None if no service has the target.
    """
    for name, service in state.get('services', {}).items():
        if target not in service['targets']:
            continue
        entry = {**service['targets'][target], 'state': target_state}
        changed = {
            **service,
            'targets': {**service['targets'], target: entry},
        }
        if drop_pins:
            changed['pins'] = {
                key: pinned
                for key, pinned in service['pins'].items()
                if pinned != target
            }
        return {'services': {name: changed}}
    return None


def encode(ticket: Ticket) -> bytes:
    """Encode a ticket for the store; equal tickets give equal bytes."""
    return json.dumps(
        ticket._asdict(), sort_keys=True, separators=(',', ':')
    ).encode('ascii')


def decode(data: bytes) -> Ticket:
    """Decode a stored ticket.

    Raises:
      ValueError: The bytes are not a ticket.
    """
    fields = json.loads(data)
    if not isinstance(fields, dict) or set(fields) != set(Ticket._fields):
        raise ValueError('The fields of the ticket are missing or unknown.')
    types = (int, str, str, int, list, dict)
    for name, kind in zip(Ticket._fields, types, strict=True):
        if type(fields[name]) is not kind:
            raise ValueError(
                f'The field {name} of the ticket has a wrong type.'
            )
    if set(fields['state']) != set(model.EMPTY_STATE):
        raise ValueError('The state of the ticket lacks sections.')
    return Ticket(**{**fields, 'touches': tuple(fields['touches'])})


def _reject_constant(name: str) -> None:
    raise ValueError(f'{name} is not a JSON number')


def _object_pairs_hook(
    problems: list[codes.Problem],
) -> abc.Callable[[list[tuple[str, typing.Any]]], dict[str, typing.Any]]:
    def make_object(
        pairs: list[tuple[str, typing.Any]],
    ) -> dict[str, typing.Any]:
        fields = dict(pairs)
        if len(fields) < len(pairs):
            counts = collections.Counter(name for name, _ in pairs)
            for name, count in counts.items():
                if count == 1:
                    continue
                problems.append(
                    codes.Problem(
                        codes.TICKET_DUPLICATE_FIELD,
                        ticket_checks.display_text(name),
                        'accepted: each field once in an object',
                    )
                )
        return fields

    return make_object


def _diff_values(
    path: str, old: typing.Any, new: typing.Any
) -> abc.Iterator[str]:
    if old == new:
        return
    if not isinstance(old, dict) or not isinstance(new, dict):
        yield f'~ {path}: {_summary(old)} -> {_summary(new)}'
        return
    for name in sorted(set(old) | set(new)):
        place = f'{path}/{name}' if path else name
        if name not in old:
            yield f'+ {place}: {_summary(new[name])}'
        elif name not in new:
            yield f'- {place}: {_summary(old[name])}'
        else:
            yield from _diff_values(place, old[name], new[name])


def _summary(value: typing.Any) -> str:
    """Format a value on one line; ranges as `cell from..to`."""
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return ', '.join(
            f'{each["cell"]} {each["from"]}..{each["to"]}' for each in value
        )
    return json.dumps(value, sort_keys=True)
