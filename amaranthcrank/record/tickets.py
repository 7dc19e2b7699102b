"""Change tickets: parse, check, fold into the state, diff, encode.

A range `{"cell", "from", "to"}` holds the slots from `from` up to, but
without, `to`. A document removes a service or a cell by null.
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
# The sections that a document touches entry by entry; others are whole.
NAMED_SECTIONS = ticket_checks.NAMED_SECTIONS
# The platform's store takes values of up to a megabyte.
MAX_TICKET_BYTES = 1_000_000

State = dict[str, typing.Any]
Touches = dict[str, typing.Any]


class Document(typing.NamedTuple):
    """What an operator files.

    Attributes:
      author: Who files it.
      uid: Tells this filing from others when an answer was lost.
      expected: The number of the newest ticket the author has seen; None
        where the document does not say.
      touches: The complete new value of each touched section, shaped like
        the state; null removes a service or a cell.
    """

    author: str
    uid: str
    expected: int | None
    touches: Touches


class Ticket(typing.NamedTuple):
    """A filed ticket, one object of the store.

    Attributes:
      number: Its number, from 1.
      uid: The uid of its document.
      author: Who filed it.
      filed_at_ms: When it was filed, Unix time.
      touches: The names of the sections it replaced, sorted, such as
        `services/soaklog` and `ranks`.
      state: The complete state after it.
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
    """Read a document as an operator sends it.

    Args:
      data: JSON text in UTF-8.
      required: The fields that may not be missing.

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
            parse_constant=_refuse_constant,
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
    """Check a document against the state it would change.

    Args:
      document: The document.
      state: The current state.
      number: The number of the current ticket, 0 where there is none.

    Returns:
      Every problem found; empty when the ticket may be filed.
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
    """Make the state after a ticket; touched sections are replaced whole."""
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
    """Return the address of each target that was removed at some time.

    A target id that came back with another address would take over the
    slots of the old upstream without a wait.
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
    """Return the names of the sections that a document touches, sorted."""
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
    """Make the ticket that follows the current one.

    Args:
      document: A checked document.
      state: The current state.
      number: The number of the current ticket, 0 where there is none.
      filed_at_ms: Unix time.

    Returns:
      The ticket with number + 1 and the state folded.
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
    """Tell whether a host takes up a ticket that it hears of.

    Peers and the store answer late and in any order, so a host only moves
    forward: an older ticket, or the same one again, changes nothing.

    Args:
      current: The ticket in force at the host, None where there is none.
      candidate: The ticket heard of.

    Returns:
      True when the candidate replaces the current one.
    """
    return current is None or candidate.number > current.number


def is_filed_from(ticket: Ticket | None, document: Document) -> bool:
    """Tell whether a filed ticket came from this very document.

    Args:
      ticket: The ticket, None where there is none.
      document: The document; its uid tells it from any other.

    Returns:
      True when a repetition of the document must not be filed again.
    """
    return ticket is not None and ticket.uid == document.uid


def diff(old: State, new: State) -> tuple[str, ...]:
    """Describe what changes from one state to another, one line each.

    Lines start with `+` (added), `-` (removed) or `~` (changed). The list of
    retired targets is left out: no operator states it.
    """
    shown = []
    for state in (old, new):
        shown.append(
            {name: each for name, each in state.items() if name != 'retired'}
        )
    return tuple(_diff_values('', *shown))


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
    """Make the touches that state a service whole with one target changed.

    Args:
      state: The current state.
      target: The id of the target.
      target_state: `active` or `draining`.
      drop_pins: Whether pins to the target are left out.

    Returns:
      The touches, or None when no service has the target.
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
    """Encode a ticket as the store keeps it; the same bytes each time."""
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
        raise ValueError('The fields are not those of a ticket.')
    types = (int, str, str, int, list, dict)
    for name, kind in zip(Ticket._fields, types, strict=True):
        if type(fields[name]) is not kind:
            raise ValueError(f'The field {name} of a ticket has a bad type.')
    if set(fields['state']) != set(model.EMPTY_STATE):
        raise ValueError('The state of a ticket lacks sections.')
    return Ticket(**{**fields, 'touches': tuple(fields['touches'])})


def _refuse_constant(name: str) -> None:
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
    """Put a value on one line; ranges as `cell from..to`."""
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return ', '.join(
            f'{each["cell"]} {each["from"]}..{each["to"]}' for each in value
        )
    return json.dumps(value, sort_keys=True)
