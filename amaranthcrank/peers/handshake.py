"""The handshake by which two hosts authenticate each other on a new link.

1. The dialler sends its id, the id of the listener and a challenge.
2. The listener sends its own challenge.
3. The dialler sends a proof for each of its keys.
4. The listener sends a proof for the first key that both have.

Hosts can connect with any shared key, whatever its position in their lists.
"""

from collections import abc
import secrets
import typing

import cbor2
from websockets.sync import connection as ws_connection

from amaranthcrank.core import codes
from amaranthcrank.peers import auth
from amaranthcrank.peers import frames

MAX_HANDSHAKE_BYTES = 4096
MAX_PROOFS = 4


class HandshakeError(Exception):
    """Raised if a handshake fails.

    Attributes:
      problem: The reason; its place is the id of the other host.
    """

    def __init__(self, code: codes.Code, host: str, detail: str) -> None:
        super().__init__(f'{code.number} {detail}')
        self.problem = codes.Problem(code, host, detail)


def prove_as_dialler(
    connection: ws_connection.Connection,
    host_id: str,
    peer: str,
    keys: abc.Sequence[bytes],
    timeout_s: float,
) -> None:
    """Run the dialler's side; raise if the link must not be used."""
    own = secrets.token_bytes(auth.CHALLENGE_BYTES)
    hello = {'host': host_id, 'to': peer, 'challenge': own}
    connection.send(cbor2.dumps(hello))
    other = _receive_bytes(connection, peer, timeout_s, 'challenge')
    proofs = [
        auth.proof(key, auth.DIALLER, host_id, peer, own, other)
        for key in keys
    ]
    connection.send(cbor2.dumps({'proofs': proofs}))
    given = _receive_bytes(connection, peer, timeout_s, 'proof')
    found = auth.accepted_key(
        keys, given, auth.LISTENER, peer, host_id, other, own
    )
    if found is None:
        raise HandshakeError(codes.AUTH_FAILED, peer, 'wrong proof')


def verify_dialler(
    connection: ws_connection.Connection,
    host_id: str,
    known_hosts: abc.Container[str],
    keys: abc.Sequence[bytes],
    timeout_s: float,
) -> str:
    """Run the listener's side; raise if the link must not be used.

    Returns:
      The id of the dialler.
    """
    hello = _receive_map(connection, '', timeout_s)
    host, other = hello.get('host'), hello.get('challenge')
    if not isinstance(host, str) or host not in known_hosts:
        _refuse(connection, str(host), codes.UNKNOWN_HOST)
    if hello.get('to') != host_id or not _is_challenge(other):
        _refuse(connection, host, codes.AUTH_FAILED)
    own = secrets.token_bytes(auth.CHALLENGE_BYTES)
    connection.send(cbor2.dumps({'challenge': own}))
    proofs = _receive_map(connection, host, timeout_s).get('proofs')
    key = None
    for given in proofs[:MAX_PROOFS] if isinstance(proofs, list) else ():
        if isinstance(given, bytes) and key is None:
            key = auth.accepted_key(
                keys, given, auth.DIALLER, host, host_id, other, own
            )
    if key is None:
        _refuse(connection, host, codes.AUTH_FAILED)
    own_proof = auth.proof(key, auth.LISTENER, host_id, host, own, other)
    connection.send(cbor2.dumps({'proof': own_proof}))
    return host


def _is_challenge(value: typing.Any) -> bool:
    return isinstance(value, bytes) and len(value) == auth.CHALLENGE_BYTES


def _refuse(
    connection: ws_connection.Connection, host: str, code: codes.Code
) -> typing.NoReturn:
    connection.send(cbor2.dumps({'refused': code.number}))
    raise HandshakeError(code, host[:64], code.text)


def _receive_map(
    connection: ws_connection.Connection, host: str, timeout_s: float
) -> dict[str, typing.Any]:
    value = frames.decode_value(connection.recv(timeout_s, decode=False))
    if not isinstance(value, dict):
        raise HandshakeError(codes.BAD_FRAME, host, 'not a map')
    return value


def _receive_bytes(
    connection: ws_connection.Connection,
    peer: str,
    timeout_s: float,
    name: str,
) -> bytes:
    value = _receive_map(connection, peer, timeout_s)
    if 'refused' in value:
        code = codes.CODE_BY_NUMBER.get(value['refused'], codes.AUTH_FAILED)
        raise HandshakeError(code, peer, 'refused by the peer')
    if not isinstance(value.get(name), bytes):
        raise HandshakeError(codes.BAD_FRAME, peer, f'no {name}')
    return value[name]
