"""Encoding and decoding of the objects that the router keeps in the store."""

import typing

from amaranthcrank.platform import names
from amaranthcrank.platform import settings_file
from amaranthcrank.router import entry_checks
from amaranthcrank.router import model
from amaranthcrank.router import peers


class EntryError(Exception):
    """A stored object does not have the format of its kind."""


# What a body of another form raises while its fields are read.
_FORMAT_ERRORS = (
    KeyError,
    IndexError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)
MAX_ERROR_LENGTH = 200


def decode_target(name: str, item: typing.Any) -> model.TargetEntry:
    """Decode the entry that a target registered for itself.

    Args:
      name: The name of the object, which is the id of the target.
      item: The complete stored object.

    Raises:
      EntryError: The entry is malformed or belongs to another writer.
    """
    try:
        entry = _decode_target(name, item)
    except _FORMAT_ERRORS as error:
        raise _entry_error(error) from error
    problem = entry_checks.problem(entry)
    if problem:
        raise EntryError(problem)
    return entry


def _decode_target(name: str, item: typing.Any) -> model.TargetEntry:
    spec = item['spec']
    if not isinstance(spec, dict):
        raise TypeError('spec is not an object')
    # The fields of a target may be in the spec or at the top level.
    fields = {**item, **spec}
    info = fields['info']
    status = item.get('status') or spec['status']
    warm_up_ms = status['warmupLeftMs']
    if not entry_checks.is_number(warm_up_ms):
        raise TypeError('warmupLeftMs is not a number')
    # They are not used, but only an entry with all fields is by a target.
    if not entry_checks.is_name(info['version']):
        raise TypeError('version is not a short printable text')
    if not entry_checks.is_revision(status['seq']):
        raise TypeError('seq is not a whole number')
    return model.TargetEntry(
        target_id=name,
        service=info['service'],
        address=settings_file.parse_address(fields['address']),
        failure_domain=info['zone'],
        slots=info['slots'],
        state=status['state'],
        cold_s=warm_up_ms / 1000,
        incarnation=fields['born'],
    )


def decode_key_map(name: str, item: typing.Any) -> model.KeyMap:
    """Decode the key ranges of a service and their owners.

    Raises:
      EntryError: The record is malformed.
    """
    try:
        spec = item['spec']
        key_map = model.KeyMap(
            name,
            spec['fence'],
            tuple(model.KeyRange(*values) for values in spec['ranges']),
            item['metadata']['rev'],
            {
                holder: settings_file.parse_address(text)
                for holder, text in spec['holders'].items()
            },
            tuple(
                model.UnsettledHold(*values)
                for values in spec.get('unsettled', ())
            ),
            spec.get('era', 0),
            spec.get('term', 0),
        )
    except _FORMAT_ERRORS as error:
        raise _entry_error(error) from error
    if not entry_checks.is_key_map(key_map):
        raise EntryError('the ranges of keys are malformed')
    return key_map


def _entry_error(error: Exception) -> EntryError:
    """Return a short error, as the text may quote a long value."""
    text = f'{type(error).__name__}: {error}'
    return EntryError(text[:MAX_ERROR_LENGTH])


def decode_key_maps(
    item_by_name: dict[str, typing.Any],
) -> tuple[list[model.KeyMap], list[str]]:
    """Decode all key maps among the objects shared by the hosts.

    Returns:
      The key maps, and an error text for each malformed one.
    """
    key_maps = []
    errors = []
    for name, item in item_by_name.items():
        if not name.startswith(names.KEY_MAP_PREFIX):
            continue
        service = name.removeprefix(names.KEY_MAP_PREFIX)
        try:
            key_maps.append(decode_key_map(service, item))
        except EntryError as error:
            errors.append(f'{name}: {error}')
    return key_maps, errors


def encode_key_map(key_map: model.KeyMap) -> dict[str, typing.Any]:
    """Encode the key ranges of a service as the spec of an object."""
    return {
        'fence': key_map.fence,
        'ranges': [list(key_range) for key_range in key_map.ranges],
        'holders': {
            holder: f'{address.ip}:{address.port}'
            for holder, address in sorted(key_map.address_by_holder.items())
        },
        'unsettled': [list(hold) for hold in key_map.unsettled],
        'era': key_map.era,
        'term': key_map.term,
    }


def decode_peer(host_id: str, item: typing.Any) -> peers.Peer:
    """Decode the address at which another host receives datagrams.

    Raises:
      EntryError: The record is malformed.
    """
    try:
        spec = item['spec']
        address = model.Address(spec['ip'], spec['port'])
        peer = peers.Peer(host_id, address, spec['domain'])
    except _FORMAT_ERRORS as error:
        raise _entry_error(error) from error
    if not entry_checks.is_address(address):
        raise EntryError('the address is not an IPv4 address with a port')
    if not entry_checks.is_name(peer.failure_domain):
        raise EntryError('the failure domain is not a short printable text')
    return peer


def revision_of(item: typing.Any) -> int:
    """Return the revision of a stored object, or 0 if it has none."""
    try:
        revision = item['metadata']['rev']
    except (KeyError, TypeError):
        return 0
    return revision if entry_checks.is_revision(revision) else 0


def encode_peer(peer: peers.Peer) -> dict[str, typing.Any]:
    """Encode the datagram address of this host as the spec of an object."""
    return {
        'ip': peer.address.ip,
        'port': peer.address.port,
        'domain': peer.failure_domain,
    }
