"""Mutual authentication of two hosts by a shared cluster key."""

from collections import abc

CHALLENGE_BYTES = 32


def proof(
    key: bytes, role: str, prover: str, verifier: str, own: bytes, other: bytes
) -> bytes:
    """Compute the HMAC by which a host proves that it knows the key.

    Args:
      key: The shared cluster key.
      role: 'dialler' or 'listener'; a proof cannot be reflected.
      prover: The id of the host that proves itself.
      verifier: The id of the host that checks.
      own: The challenge that the prover issued.
      other: The challenge that the verifier issued.

    Returns:
      The HMAC.
    """
    raise NotImplementedError


def accepted_key(
    keys: abc.Sequence[bytes],
    given: bytes,
    role: str,
    prover: str,
    verifier: str,
    own: bytes,
    other: bytes,
) -> bytes | None:
    """Find the accepted key under which a proof holds, in constant time.

    Returns:
      The key, or None where the proof holds under none.
    """
    raise NotImplementedError
