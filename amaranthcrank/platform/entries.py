"""Decodes and encodes the objects that the store holds for the router."""

import typing

from amaranthcrank.platform import names
from amaranthcrank.platform import settings_file
from amaranthcrank.router import model
from amaranthcrank.router import peers


class EntryError(Exception):
    """A stored object cannot be read as what its kind promises."""


def decode_target(name: str, item: typing.Any) -> model.TargetEntry:
    """Decode what a target wrote of itself.

    Args:
      name: The object's name, which is the target's id.
      item: The whole stored object.

    Returns:
      The entry.

    Raises:
      EntryError: Another writer's entry, or a malformed one.
    """
    try:
        return _target(name, item)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise EntryError(f'{type(error).__name__}: {error}') from error


def _target(name: str, item: typing.Any) -> model.TargetEntry:
    spec = item['spec']
    if not isinstance(spec, dict):
        raise TypeError('spec is no table')
    # What a target says of itself may lie in the spec or at the top level.
    said = {**item, **spec}
    info = said['info']
    status = item.get('status') or spec['status']
    state = status['state']
    if state not in (model.READY, model.DRAINING):
        raise ValueError(f'state {state!r}')
    born = said.get('born', 0)
    if type(born) is not int:
        raise ValueError(f'born {born!r}')
    slots = info['slots']
    if type(slots) is not int or slots < 1:
        raise ValueError(f'slots {slots!r}')
    for field in ('service', 'zone'):
        if not isinstance(info[field], str):
            raise TypeError(f'{field} {info[field]!r}')
    return model.TargetEntry(
        target_id=name,
        service=info['service'],
        address=settings_file.parse_address(said['address']),
        failure_domain=info['zone'],
        slots=slots,
        state=state,
        cold_s=float(status.get('warmupLeftMs', 0)) / 1000,
        incarnation=born,
    )


def decode_key_map(name: str, item: typing.Any) -> model.KeyMap:
    """Decode the owners of a service's keys.

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
    """Decode all key maps among the objects that the hosts share.

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
    """Encode the owners of a service's keys as an object's spec."""
    return {
        'fence': key_map.fence,
        'ranges': [list(key_range) for key_range in key_map.ranges],
        'holders': {
            holder: f'{address.ip}:{address.port}'
            for holder, address in sorted(key_map.address_by_holder.items())
        },
    }


def decode_peer(host_id: str, item: typing.Any) -> peers.Peer:
    """Decode where another host takes datagrams.

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
    """Encode where this host takes datagrams as an object's spec."""
    return {
        'ip': peer.address.ip,
        'port': peer.address.port,
        'domain': peer.failure_domain,
    }
