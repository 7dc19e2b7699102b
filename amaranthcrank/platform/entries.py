"""Encoding and decoding of the objects that the router keeps in the store."""

import typing

from amaranthcrank.platform import names
from amaranthcrank.platform import settings_file
from amaranthcrank.router import model
from amaranthcrank.router import peers


class EntryError(Exception):
    """A stored object does not have the format of its kind."""


def decode_target(name: str, item: typing.Any) -> model.TargetEntry:
    """Decode the entry that a target registered for itself.

    Args:
      name: The name of the object, which is the id of the target.
      item: The complete stored object.

    Raises:
      EntryError: The entry is malformed or belongs to another writer.
    """
    try:
        return _decode_target(name, item)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise EntryError(f'{type(error).__name__}: {error}') from error


def _decode_target(name: str, item: typing.Any) -> model.TargetEntry:
    spec = item['spec']
    if not isinstance(spec, dict):
        raise TypeError('spec is not an object')
    # The fields of a target may be in the spec or at the top level.
    fields = {**item, **spec}
    info = fields['info']
    status = item.get('status') or spec['status']
    state = status['state']
    if state not in (model.READY, model.DRAINING):
        raise ValueError(f'unknown state {state!r}')
    incarnation = fields.get('born', 0)
    if type(incarnation) is not int:
        raise ValueError(f'born is not an integer: {incarnation!r}')
    slots = info['slots']
    if type(slots) is not int or slots < 1:
        raise ValueError(f'slots is not a positive integer: {slots!r}')
    for field in ('service', 'zone'):
        if not isinstance(info[field], str):
            raise TypeError(f'{field} is not a string: {info[field]!r}')
    return model.TargetEntry(
        target_id=name,
        service=info['service'],
        address=settings_file.parse_address(fields['address']),
        failure_domain=info['zone'],
        slots=slots,
        state=state,
        cold_s=float(status.get('warmupLeftMs', 0)) / 1000,
        incarnation=incarnation,
    )


def decode_key_map(name: str, item: typing.Any) -> model.KeyMap:
    """Decode the key ranges of a service and their owners.

    Raises:
      EntryError: The record is malformed.
    """
    try:
        spec = item['spec']
        ranges = [model.KeyRange(*values) for values in spec['ranges']]
        address_by_holder = {
            holder: settings_file.parse_address(text)
            for holder, text in spec['holders'].items()
        }
        return model.KeyMap(
            name,
            spec['fence'],
            tuple(ranges),
            item['metadata']['rev'],
            address_by_holder,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise EntryError(f'{type(error).__name__}: {error}') from error


def decode_key_maps(
    item_by_name: dict[str, typing.Any],
) -> list[model.KeyMap]:
    """Decode all key maps among the objects shared by the hosts.

    Raises:
      EntryError: A map is malformed.
    """
    key_maps = []
    for name, item in item_by_name.items():
        if not name.startswith(names.KEY_MAP_PREFIX):
            continue
        service = name.removeprefix(names.KEY_MAP_PREFIX)
        key_maps.append(decode_key_map(service, item))
    return key_maps


def encode_key_map(key_map: model.KeyMap) -> dict[str, typing.Any]:
    """Encode the key ranges of a service as the spec of an object."""
    return {
        'fence': key_map.fence,
        'ranges': [list(key_range) for key_range in key_map.ranges],
        'holders': {
            holder: f'{address.ip}:{address.port}'
            for holder, address in sorted(key_map.address_by_holder.items())
        },
    }


def decode_peer(host_id: str, item: typing.Any) -> peers.Peer:
    """Decode the address at which another host receives datagrams.

    Raises:
      EntryError: The record is malformed.
    """
    try:
        spec = item['spec']
        address = model.Address(spec['ip'], int(spec['port']))
        return peers.Peer(host_id, address, spec['domain'])
    except (KeyError, TypeError, ValueError) as error:
        raise EntryError(f'{type(error).__name__}: {error}') from error


def encode_peer(peer: peers.Peer) -> dict[str, typing.Any]:
    """Encode the datagram address of this host as the spec of an object."""
    return {
        'ip': peer.address.ip,
        'port': peer.address.port,
        'domain': peer.failure_domain,
    }
