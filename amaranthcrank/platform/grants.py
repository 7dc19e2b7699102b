"""Encoding of the requests that grant keys to a target and release them."""

import json

from amaranthcrank.router import model


def grant_body(
    key_range: model.KeyRange, hold_s: float, handover: str
) -> bytes:
    """Encode the body of a grant request.

    Args:
      key_range: The range of keys, with its fencing token.
      hold_s: The duration of the lease in seconds.
      handover: The handover value that the former owner returned on release,
        or ''.
    """
    # In this request `target` is the last key of the range, not a server.
    fields: dict[str, int | str] = {
        'from': key_range.first,
        'target': key_range.last,
        'fence': key_range.fence,
        'holdMs': int(hold_s * 1000),
    }
    if handover:
        fields['handover'] = handover
    return json.dumps(fields, separators=(',', ':')).encode()


def release_body(first: int, last: int, fence: int) -> bytes:
    """Encode the body of a release request."""
    fields = {'from': first, 'target': last, 'fence': fence}
    return json.dumps(fields, separators=(',', ':')).encode()
