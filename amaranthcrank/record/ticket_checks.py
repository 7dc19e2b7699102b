"""Validation of the documents that operators file.

check_shape checks types and bounds in each changed section, and
check_resulting_state the state that the document would lead to. Sections that
fail the first check are excluded from the second, so that each error is
reported only once.
"""

from collections import abc
import itertools
import json
import math
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import hashing
from amaranthcrank.core import model
from amaranthcrank.core import names

ACTIVE = 'active'
DRAINING = 'draining'
NAMED_SECTIONS = ('services', 'cells')
FLOOR_RANKS = (model.NORMAL, model.BULK)

# A cell record needs about 60 bytes per slot and must not exceed one megabyte,
# the limit of the store.
MAX_SLOTS = 16_384
MAX_TARGET_CONNECTIONS = 65_535
MAX_BYTES_PER_S = 10**12
MAX_AUTHOR_CHARACTERS = 128
MAX_DISPLAY_CHARACTERS = 80
# In addition to one connection per slot, the dispatching host needs one for
# grants and cancellations.
CONTROL_CONNECTIONS = 1

Problems = abc.Iterator[codes.Problem]
Fields = dict[str, typing.Any]
Check = abc.Callable[[str, typing.Any], Problems]


class ShapeCheckResult(typing.NamedTuple):
    """Result of check_shape.

    Attributes:
      problems: The problems found.
      valid_touches: The changed sections without a problem.
      invalid_services: The names of services with a problem.
      invalid_cells: The names of cells with a problem.
    """

    problems: tuple[codes.Problem, ...]
    valid_touches: Fields
    invalid_services: frozenset[str]
    invalid_cells: frozenset[str]


def display_text(value: typing.Any) -> str:
    """Format a value of a document for one line of output."""
    if isinstance(value, dict):
        return 'an object'
    if isinstance(value, list):
        return 'a list'
    text = value if isinstance(value, str) else json.dumps(value)
    text = text.encode('unicode_escape').decode('ascii')
    if len(text) > MAX_DISPLAY_CHARACTERS:
        return text[:MAX_DISPLAY_CHARACTERS] + '...'
    return text


def check_document_fields(
    fields: Fields, required: tuple[str, ...]
) -> Problems:
    """Check the top-level fields of a document.

    Args:
      fields: The JSON object.
      required: The required fields.

    Yields:
      The problems found.
    """
    checks: dict[str, Check] = {
        'author': _check_author,
        'uid': _check_name,
        'expected': _integer_check(0, 2**53),
        'touches': _check_object,
    }
    yield from _check_fields('', fields, checks, required)


def check_shape(touches: Fields) -> ShapeCheckResult:
    """Check types and bounds in the changed sections.

    Args:
      touches: The changed sections by name.

    Returns:
      The problems found and the sections without problems.
    """
    problems: list[codes.Problem] = []
    valid_sections: Fields = {}
    invalid_names: dict[str, set[str]] = {
        name: set() for name in NAMED_SECTIONS
    }
    if not any(value or value == [] for value in touches.values()):
        detail = 'accepted: at least one section'
        problems.append(codes.Problem(codes.TICKET_EMPTY, 'touches', detail))
    for section, value in touches.items():
        check = _CHECK_BY_SECTION.get(section)
        if check is None:
            problems.append(
                _unknown_field(display_text(section), _CHECK_BY_SECTION)
            )
            continue
        if section not in NAMED_SECTIONS:
            found = list(check(section, value))
            problems.extend(found)
            if not found:
                valid_sections[section] = value
            continue
        if not isinstance(value, dict):
            problems.append(_wrong_type(section, value, 'an object'))
            continue
        valid_sections[section] = {}
        for name, entry in value.items():
            found = list(_check_entry(section, name, entry, check))
            problems.extend(found)
            if found:
                invalid_names[section].add(name)
                continue
            valid_sections[section][name] = entry
    return ShapeCheckResult(
        tuple(problems),
        valid_sections,
        frozenset(invalid_names['services']),
        frozenset(invalid_names['cells']),
    )


def check_resulting_state(
    old_state: Fields, new_state: Fields, shape: ShapeCheckResult
) -> Problems:
    """Check the state that the change would lead to.

    Args:
      old_state: The current state.
      new_state: The state with the valid touches applied.
      shape: The result of check_shape.

    Yields:
      The problems found.
    """
    cells = set(new_state['cells']) | shape.invalid_cells
    service_by_name = {
        name: service
        for name, service in sorted(new_state['services'].items())
        if name not in shape.invalid_services
    }
    for name, service in service_by_name.items():
        place = f'services/{name}'
        yield from _check_cells_known(place, service, cells)
        yield from _check_pin_targets(place, service, cells)
        yield from _check_active_targets(place, service, cells)
    yield from _check_targets_distinct(service_by_name)
    yield from _check_immutable_fields(
        old_state, service_by_name, frozenset(shape.invalid_services)
    )
    if 'lost_cells' in shape.valid_touches:
        known = cells | set(old_state.get('cells', {}))
        yield from _check_lost_cells(new_state['lost_cells'], known)


def _check_entry(
    section: str, name: str, entry: typing.Any, check: Check
) -> Problems:
    place = f'{section}/{display_text(name)}'
    if not names.is_name(name):
        yield _bad_name(place, name)
    if entry is not None:
        yield from check(place, entry)


def _check_service(place: str, value: typing.Any) -> Problems:
    checks: dict[str, Check] = {
        'slots': _integer_check(1, MAX_SLOTS),
        'ranges': _list_check(_check_range),
        'targets': _check_targets,
        'pins': _check_pins,
    }
    yield from _check_fields(place, value, checks, tuple(checks))
    if not isinstance(value, dict):
        return
    slots, ranges = value.get('slots'), value.get('ranges')
    if type(slots) is not int or not 1 <= slots <= MAX_SLOTS:
        return
    if any(_list_check(_check_range)('', ranges)):
        return
    if not ranges and value.get('targets') == {}:
        # A service that was shut down stays in the state, without ranges and
        # targets.
        return
    yield from _check_coverage(f'{place}/ranges', slots, ranges)


def _check_range(place: str, value: typing.Any) -> Problems:
    checks: dict[str, Check] = {
        'cell': _check_name,
        'from': _integer_check(0, MAX_SLOTS - 1),
        'to': _integer_check(1, MAX_SLOTS),
    }
    yield from _check_fields(place, value, checks, tuple(checks))


def _check_coverage(place: str, slots: int, ranges: list[Fields]) -> Problems:
    """Check that the ranges cover each slot exactly once."""
    covered_to = 0
    for position in sorted(
        range(len(ranges)), key=lambda each: ranges[each]['from']
    ):
        start, end = ranges[position]['from'], ranges[position]['to']
        item_place = f'{place}/{position}'
        if start >= end or end > slots:
            detail = (
                f'from {start} to {end}; accepted: '
                f'0 <= from < to <= {slots} (to is not in the range)'
            )
            yield codes.Problem(codes.TICKET_OUT_OF_BOUNDS, item_place, detail)
            end = min(max(start, end), slots)
        if start > covered_to:
            yield _missing_slots(place, covered_to, start)
        if start < covered_to:
            detail = f'slots {start} to {min(covered_to, end) - 1} twice'
            yield codes.Problem(
                codes.TICKET_RANGES_OVERLAP, item_place, detail
            )
        covered_to = max(covered_to, end)
    if covered_to < slots:
        yield _missing_slots(place, covered_to, slots)


def _missing_slots(place: str, start: int, end: int) -> codes.Problem:
    detail = f'slots {start} to {end - 1} are in no range'
    return codes.Problem(codes.TICKET_RANGES_MISSING, place, detail)


def _check_targets(place: str, value: typing.Any) -> Problems:
    if not isinstance(value, dict):
        yield _wrong_type(place, value, 'an object')
        return
    for name, entry in value.items():
        item_place = f'{place}/{display_text(name)}'
        if not names.is_name(name):
            yield _bad_name(item_place, name)
        yield from _check_target(item_place, entry)


def _check_target(place: str, value: typing.Any) -> Problems:
    checks: dict[str, Check] = {
        'address': _check_address,
        'cell': _check_name,
        'slots': _integer_check(1, model.MAX_TARGET_SLOTS),
        'connections': _integer_check(1, MAX_TARGET_CONNECTIONS),
        'fenced': _check_boolean,
        'state': _check_target_state,
    }
    found = list(_check_fields(place, value, checks, tuple(checks)))
    yield from found
    if found:
        return
    needed = value['slots'] + CONTROL_CONNECTIONS
    if value['connections'] < needed:
        detail = (
            f'{value["connections"]}; {value["slots"]} slots need {needed}'
        )
        yield codes.Problem(
            codes.TICKET_TOO_FEW_CONNECTIONS, f'{place}/connections', detail
        )


def _check_pins(place: str, value: typing.Any) -> Problems:
    if not isinstance(value, dict):
        yield _wrong_type(place, value, 'an object')
        return
    for key, target in value.items():
        item_place = f'{place}/{display_text(key)}'
        size = len(key.encode('utf-8', 'surrogatepass'))
        valid = not any('\ud800' <= each <= '\udfff' for each in key)
        if not valid or not 1 <= size <= model.MAX_KEY_BYTES:
            detail = f'accepted: 1 to {model.MAX_KEY_BYTES} bytes of UTF-8'
            yield codes.Problem(codes.TICKET_BAD_NAME, item_place, detail)
        yield from _check_name(item_place, target)


def _check_cell(place: str, value: typing.Any) -> Problems:
    checks: dict[str, Check] = {
        'failure_domain': _check_name,
        'region': _check_name,
        'attester': _check_optional_name,
    }
    yield from _check_fields(place, value, checks, tuple(checks))


def _check_ranks(place: str, value: typing.Any) -> Problems:
    checks: dict[str, Check] = dict.fromkeys(FLOOR_RANKS, _check_floor)
    found = list(_check_fields(place, value, checks, FLOOR_RANKS))
    yield from found
    if found:
        return
    total = sum(value[rank]['floor'] for rank in FLOOR_RANKS)
    # With a sum of 1, each dispatch of urgent work would entitle another rank
    # to a dispatch.
    if total >= 1:
        detail = f'{total:g} in all; accepted: less than 1'
        yield codes.Problem(codes.TICKET_FLOORS_OVER_WHOLE, place, detail)


def _check_floor(place: str, value: typing.Any) -> Problems:
    yield from _check_fields(
        place, value, {'floor': _check_fraction}, ('floor',)
    )


def _check_link(place: str, value: typing.Any) -> Problems:
    checks: dict[str, Check] = {
        'bytes_per_s': _integer_check(1, MAX_BYTES_PER_S),
        'share': _check_share,
    }
    yield from _check_fields(place, value, checks, tuple(checks))


def _check_share(place: str, value: typing.Any) -> Problems:
    checks: dict[str, Check] = dict.fromkeys(model.RANKS, _check_fraction)
    found = list(_check_fields(place, value, checks, model.RANKS))
    yield from found
    if found:
        return
    total = math.fsum(value[rank] for rank in model.RANKS)
    if total > 1 + 1e-9:
        detail = f'{total:g} in all; accepted: up to 1'
        yield codes.Problem(codes.TICKET_SHARES_OVER_WHOLE, place, detail)


def _check_cells_known(
    place: str, service: Fields, cells: set[str]
) -> Problems:
    for position, entry in enumerate(service['ranges']):
        if entry['cell'] not in cells:
            yield _unknown_cell(
                f'{place}/ranges/{position}/cell', entry['cell'], cells
            )
    for target, entry in service['targets'].items():
        if entry['cell'] not in cells:
            yield _unknown_cell(
                f'{place}/targets/{target}/cell', entry['cell'], cells
            )


def _check_pin_targets(
    place: str, service: Fields, cells: set[str]
) -> Problems:
    for key, target in service['pins'].items():
        item_place = f'{place}/pins/{display_text(key)}'
        entry = service['targets'].get(target)
        if entry is None:
            detail = f'{target}; accepted: a target of the service'
            yield codes.Problem(
                codes.TICKET_UNKNOWN_PIN_TARGET, item_place, detail
            )
            continue
        if entry['state'] == DRAINING:
            detail = f'{target}; accepted: an active target of the service'
            yield codes.Problem(
                codes.TICKET_DRAINING_PIN_TARGET, item_place, detail
            )
        home = _home_cell(service, place, key)
        if home in cells and entry['cell'] != home:
            detail = f'{target} is in {entry["cell"]}; accepted: in {home}'
            yield codes.Problem(codes.TICKET_PIN_CELL, item_place, detail)


def _home_cell(service: Fields, place: str, key: str) -> str:
    """Return the cell of the hash slot of a key, empty if there is none."""
    name = place.partition('/')[2]
    slot = hashing.slot_of(name, key, service['slots'])
    for entry in service['ranges']:
        if entry['from'] <= slot < entry['to']:
            return entry['cell']
    return ''


def _check_active_targets(
    place: str, service: Fields, cells: set[str]
) -> Problems:
    active_cells = {
        entry['cell']
        for entry in service['targets'].values()
        if entry['state'] == ACTIVE
    }
    home_cells = {entry['cell'] for entry in service['ranges']} & cells
    for cell in sorted(home_cells - active_cells):
        detail = f'{cell} has slots; accepted: an active target there'
        yield codes.Problem(
            codes.TICKET_NO_ACTIVE_TARGET, f'{place}/targets', detail
        )


def _check_targets_distinct(service_by_name: Fields) -> Problems:
    """Check that target ids and addresses are unique across services."""
    place_by_target: dict[str, str] = {}
    place_by_address: dict[tuple[str, int] | None, str] = {}
    for name, service in service_by_name.items():
        for target, entry in service['targets'].items():
            place = f'services/{name}/targets/{target}'
            first = place_by_target.setdefault(target, place)
            if first != place:
                yield codes.Problem(
                    codes.TICKET_DUPLICATE_TARGET,
                    place,
                    f'also at {first}; accepted: an id used once',
                )
            # A grant replaces the list of slots of the upstream, so two
            # targets with one address would revoke each other's slots.
            address = names.split_address(entry['address'])
            first = place_by_address.setdefault(address, place)
            if first != place:
                yield codes.Problem(
                    codes.TICKET_DUPLICATE_ADDRESS,
                    f'{place}/address',
                    f'{entry["address"]}, also at {first}',
                )


def _check_immutable_fields(
    old_state: Fields, service_by_name: Fields, invalid_names: frozenset[str]
) -> Problems:
    """Check the fields of services and targets that must not change.

    Before a slot gets a new owner, hosts wait for the grants of the upstream
    in the cell record to expire. Changing the number of slots, or the
    address of a target, would give keys a new owner without that wait. A
    cell may skip tickets, so the rule also applies to a target that was
    removed and added again.
    """
    old_services = old_state.get('services', {})
    old_by_target = {
        target: (name, entry)
        for name, service in old_services.items()
        for target, entry in service['targets'].items()
    }
    retired = old_state.get('retired', {})
    for name in sorted(
        set(old_services) - set(service_by_name) - invalid_names
    ):
        detail = 'null; accepted: the service without ranges and targets'
        yield codes.Problem(
            codes.TICKET_SERVICE_REMOVED, f'services/{name}', detail
        )
    for name, service in service_by_name.items():
        old_slots = old_services.get(name, service)['slots']
        if service['slots'] != old_slots:
            yield codes.Problem(
                codes.TICKET_SLOTS_CHANGED,
                f'services/{name}/slots',
                f'{service["slots"]}; accepted: {old_slots}',
            )
        for target, entry in service['targets'].items():
            old_name, old = old_by_target.get(target, (name, entry))
            place = f'services/{name}/targets/{target}'
            address = retired.get(target, entry['address'])
            if target not in old_by_target and address != entry['address']:
                yield _target_changed(
                    f'{place}/address', entry['address'], address
                )
            if old_name != name:
                yield _target_changed(place, name, old_name)
            for field in ('cell', 'address'):
                if entry[field] != old[field]:
                    yield _target_changed(
                        f'{place}/{field}', entry[field], old[field]
                    )


def _target_changed(place: str, new: str, old: str) -> codes.Problem:
    detail = f'{new}; accepted: {old}, or a new target id'
    return codes.Problem(codes.TICKET_TARGET_CHANGED, place, detail)


def _check_lost_cells(lost_cells: list[str], known: set[str]) -> Problems:
    for position, cell in enumerate(lost_cells):
        if cell not in known:
            detail = f'{cell}; accepted: {", ".join(sorted(known))}'
            yield codes.Problem(
                codes.TICKET_UNKNOWN_LOST_CELL,
                f'lost_cells/{position}',
                detail,
            )


def _check_fields(
    place: str,
    value: typing.Any,
    checks: abc.Mapping[str, Check],
    required: abc.Collection[str],
) -> Problems:
    """Check a JSON object with a fixed set of fields."""
    if not isinstance(value, dict):
        yield _wrong_type(place, value, 'an object')
        return
    prefix = f'{place}/' if place else ''
    for name in required:
        if name not in value:
            detail = f'accepted: {", ".join(checks)}'
            yield codes.Problem(
                codes.TICKET_MISSING_FIELD, prefix + name, detail
            )
    for name, field in value.items():
        check = checks.get(name)
        if check is None:
            yield _unknown_field(prefix + display_text(name), checks)
            continue
        yield from check(prefix + name, field)


def _list_check(check: Check) -> Check:
    def check_list(place: str, value: typing.Any) -> Problems:
        if not isinstance(value, list):
            yield _wrong_type(place, value, 'a list')
            return
        yield from itertools.chain.from_iterable(
            check(f'{place}/{position}', each)
            for position, each in enumerate(value)
        )

    return check_list


def _integer_check(low: int, high: int) -> Check:
    def check_integer(place: str, value: typing.Any) -> Problems:
        # bool is a subclass of int.
        if type(value) is not int:
            yield _wrong_type(place, value, 'an integer')
            return
        if not low <= value <= high:
            detail = f'{display_text(value)}; accepted: {low} to {high}'
            yield codes.Problem(codes.TICKET_OUT_OF_BOUNDS, place, detail)

    return check_integer


def _check_fraction(place: str, value: typing.Any) -> Problems:
    if type(value) not in (int, float):
        yield _wrong_type(place, value, 'a number')
        return
    if not 0 <= value <= 1:
        detail = f'{display_text(value)}; accepted: 0 to 1'
        yield codes.Problem(codes.TICKET_OUT_OF_BOUNDS, place, detail)


def _check_boolean(place: str, value: typing.Any) -> Problems:
    if type(value) is not bool:
        yield _wrong_type(place, value, 'true or false')


def _check_object(place: str, value: typing.Any) -> Problems:
    if not isinstance(value, dict):
        yield _wrong_type(place, value, 'an object')


def _check_name(place: str, value: typing.Any) -> Problems:
    if not isinstance(value, str):
        yield _wrong_type(place, value, 'a string')
        return
    if not names.is_name(value):
        yield _bad_name(place, value)


def _check_optional_name(place: str, value: typing.Any) -> Problems:
    if value is not None:
        yield from _check_name(place, value)


def _check_author(place: str, value: typing.Any) -> Problems:
    if not isinstance(value, str):
        yield _wrong_type(place, value, 'a string')
        return
    if not 1 <= len(value) <= MAX_AUTHOR_CHARACTERS or not value.isprintable():
        detail = (
            f'{display_text(value)}; accepted: 1 to {MAX_AUTHOR_CHARACTERS} '
            'printable characters'
        )
        yield codes.Problem(codes.TICKET_BAD_NAME, place, detail)


def _check_address(place: str, value: typing.Any) -> Problems:
    if not isinstance(value, str):
        yield _wrong_type(place, value, 'a string')
        return
    address = names.split_address(value)
    if address is None or address[1] == 0:
        detail = (
            f'{display_text(value)}; accepted: host:port with a port from 1'
        )
        yield codes.Problem(codes.TICKET_BAD_ADDRESS, place, detail)


def _check_target_state(place: str, value: typing.Any) -> Problems:
    if value not in (ACTIVE, DRAINING):
        yield _wrong_type(place, value, f'"{ACTIVE}" or "{DRAINING}"')


def _wrong_type(place: str, value: typing.Any, accepted: str) -> codes.Problem:
    detail = f'{display_text(value)}; accepted: {accepted}'
    return codes.Problem(codes.TICKET_WRONG_TYPE, place, detail)


def _bad_name(place: str, name: str) -> codes.Problem:
    detail = f'{display_text(name)}; accepted: {names.NAME_TEXT}'
    return codes.Problem(codes.TICKET_BAD_NAME, place, detail)


def _unknown_field(place: str, accepted: abc.Iterable[str]) -> codes.Problem:
    detail = f'accepted: {", ".join(accepted)}'
    return codes.Problem(codes.TICKET_UNKNOWN_FIELD, place, detail)


def _unknown_cell(place: str, cell: str, cells: set[str]) -> codes.Problem:
    detail = f'{cell}; accepted: {", ".join(sorted(cells)) or "none yet"}'
    return codes.Problem(codes.TICKET_UNKNOWN_CELL, place, detail)


_CHECK_BY_SECTION: dict[str, Check] = {
    'services': _check_service,
    'cells': _check_cell,
    'ranks': _check_ranks,
    'link': _check_link,
    'lost_cells': _list_check(_check_name),
    'lost_hosts': _list_check(_check_name),
}
