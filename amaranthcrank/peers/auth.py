"""Mutual authentication of two hosts by a shared cluster key."""

from collections import abc
import hashlib
import hmac

CHALLENGE_BYTES = 32
DIALLER = 'dialler'
LISTENER = 'listener'


def proof(
    key: bytes, role: str, prover: str, verifier: str, own: bytes, other: bytes
) -> bytes:
    """Compute the HMAC by which a host proves that it knows the key.

    Args:
      key: The shared cluster key.
      role: DIALLER or LISTENER; binds the proof to one direction, so that it
        cannot be reflected.
      prover: The id of the host that authenticates itself.
      verifier: The id of the host that verifies the proof.
      own: The challenge that the prover issued.
      other: The challenge that the verifier issued.

    Returns:
      The HMAC.
    """
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (
        b'amaranthcrank link 1',
        role.encode(),
        prover.encode(),
        verifier.encode(),
        own,
        other,
    ):
        # The length prefix prevents two different lists of parts from
        # producing the same input.
        mac.update(len(part).to_bytes(4, 'big'))
        mac.update(part)
    return mac.digest()


def accepted_key(
    keys: abc.Sequence[bytes],
    given: bytes,
    role: str,
    prover: str,
    verifier: str,
    own: bytes,
    other: bytes,
) -> bytes | None:
    """Find the key for which a proof is valid, in constant time.

    Returns:
      The key, or None if the proof is valid for none.
    """
    found = None
    for key in keys:
        expected = proof(key, role, prover, verifier, own, other)
        if hmac.compare_digest(expected, given) and found is None:
            found = key
    return found
