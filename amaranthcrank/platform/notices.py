"""Decoding of what targets say about themselves in their responses."""

import re
import typing

from amaranthcrank.platform import names
from amaranthcrank.router import headers as header_fields

OVERLOADED_STATUS = 503
# The longest time that is accepted. A target that asks for more is tried
# again after this time, in case the value is an error.
MAX_HOLD_OFF_S = 300.0
# The longest warm-up that is accepted. A target that is cold for longer says
# so again in later responses.
MAX_WARM_UP_S = 300.0
_MILLISECONDS = re.compile(rb'[0-9]{1,9}')
# More digits than these are no time that anybody meant.
_SECONDS = re.compile(rb'[0-9]{1,12}(\.[0-9]{0,12})?')


class Notice(typing.NamedTuple):
    """What a target says about itself in one response.

    Attributes:
      is_leaving: Whether it is about to end.
      hold_off_s: For how many seconds it wants no request from this host.
      warm_up_s: For how many more seconds it is cold; None if it does not
        say.
    """

    is_leaving: bool
    hold_off_s: float
    warm_up_s: float | None = None


def decode(status: int, headers: header_fields.Headers) -> Notice:
    """Decode the notice in the head of a response.

    Args:
      status: The HTTP status code.
      headers: The headers.
    """
    value = header_fields.find(headers, names.LEAVING)
    is_leaving = value is not None and value.strip() == names.LEAVING_VALUE
    return Notice(
        is_leaving, _hold_off_s(status, headers), _warm_up_s(headers)
    )


def _warm_up_s(headers: header_fields.Headers) -> float | None:
    value = header_fields.find(headers, names.WARM_UP_MS)
    if value is None:
        return None
    text = value.strip()
    if not _MILLISECONDS.fullmatch(text):
        return None
    return min(MAX_WARM_UP_S, int(text) / 1000)


def _hold_off_s(status: int, headers: header_fields.Headers) -> float:
    if status != OVERLOADED_STATUS:
        return 0.0
    value = header_fields.find(headers, names.RETRY_AFTER)
    if value is None:
        return 0.0
    text = value.strip()
    if not _SECONDS.fullmatch(text):
        return 0.0
    return min(MAX_HOLD_OFF_S, float(text))
