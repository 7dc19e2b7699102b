"""Decoding of what targets say about themselves in their responses."""

import re
import typing

from amaranthcrank.platform import names
from amaranthcrank.router import headers as header_fields
from amaranthcrank.router import reported_load

OVERLOADED_STATUS = 503
# The longest time that is accepted. A target that asks for more is tried
# again after this time, in case the value is an error.
MAX_HOLD_OFF_S = 300.0
# The longest warm-up that is accepted. A target that is cold for longer says
# so again in later responses.
MAX_WARM_UP_S = 300.0
# Running and waiting requests, slots, and the pace in percent.
_LOAD = re.compile(
    rb'([0-9]{1,9}),([0-9]{1,9}),([0-9]{1,9})(?:,([0-9]{1,9}))?'
)
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
      load: Its load; None if it does not say, or not in the right form.
      is_load_malformed: Whether its load does not have the right form.
    """

    is_leaving: bool
    hold_off_s: float
    warm_up_s: float | None = None
    load: reported_load.LoadFields | None = None
    is_load_malformed: bool = False


def decode(status: int, headers: header_fields.Headers) -> Notice:
    """Decode the notice in the head of a response.

    Args:
      status: The HTTP status code.
      headers: The headers.
    """
    value = header_fields.find(headers, names.LEAVING)
    is_leaving = value is not None and value.strip() == names.LEAVING_VALUE
    load_value = header_fields.find(headers, names.SERVER_LOAD)
    load = None if load_value is None else decode_load(load_value)
    return Notice(
        is_leaving,
        _hold_off_s(status, headers),
        _warm_up_s(headers),
        load,
        load_value is not None and load is None,
    )


def decode_load(value: bytes) -> reported_load.LoadFields | None:
    """Decode the load that a target reports; None if it is malformed."""
    match = _LOAD.fullmatch(value.strip())
    if match is None:
        return None
    running, waiting, slots, pace = match.groups()
    if not int(slots):
        return None
    return reported_load.LoadFields(
        int(running),
        int(waiting),
        int(slots),
        None if pace is None else int(pace),
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
