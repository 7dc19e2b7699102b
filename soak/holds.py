"""Which target held which keys and when, as recorded by the targets."""

import typing


class Hold(typing.NamedTuple):
    """A period in which a target held a range of keys.

    Attributes:
      target: The target's id and incarnation.
      service: The service of the target.
      first: The first key of the range.
      last: The last key of the range, inclusive.
      fence: The fencing token.
      since: The start of the period, monotonic seconds.
      until: The end, or the expiry of the grant if it has not ended yet.
      sender: The host that sent the grant, '' if it is not known.
    """

    target: str
    service: str
    first: int
    last: int
    fence: int
    since: float
    until: float
    sender: str = ''


def target_of(holder: str) -> str:
    """Return the id of a target, without its incarnation if that is named."""
    return holder.partition('/')[0]


# Shorter overlaps are ignored. An event loop processes events of different
# connections one after the other, and a target with 65,536 keys sets its state
# before it writes the record, so recorded times are slightly off. A fence of
# one millisecond that is taken late overlaps for less than this too; it is
# found by its token instead (`stale_fences`, `grant_checks.stale_grants`). The
# platform's rules name no such tolerance.
OVERLAP_TOLERANCE_S = 0.005


def release(
    holds: typing.Iterable[Hold], first: int, last: int, now: float
) -> list[Hold]:
    """Return the holds of a target after the release of a key range."""
    result = []
    for hold in holds:
        low = max(first, hold.first)
        high = min(last, hold.last)
        if low > high or hold.until <= now:
            result.append(hold)
            continue
        result.append(hold._replace(first=low, last=high, until=now))
        if hold.first < low:
            result.append(hold._replace(last=low - 1))
        if high < hold.last:
            result.append(hold._replace(first=high + 1))
    return result


def _share_keys(one: Hold, other: Hold) -> bool:
    """Return whether the holds are of two targets and have a key in common."""
    if one.target == other.target or one.service != other.service:
        return False
    return one.first <= other.last and other.first <= one.last


def overlaps(holds: typing.Iterable[Hold]) -> list[tuple[Hold, Hold]]:
    """Return pairs of holds in which two targets held a key concurrently."""
    found = []
    ordered = sorted(holds, key=lambda hold: hold.since)
    open_holds: list[Hold] = []
    for hold in ordered:
        open_holds = [
            other
            for other in open_holds
            if other.until > hold.since + OVERLAP_TOLERANCE_S
        ]
        for other in open_holds:
            if not _share_keys(other, hold):
                continue
            if min(other.until, hold.until) - hold.since > OVERLAP_TOLERANCE_S:
                found.append((other, hold))
        open_holds.append(hold)
    return found


def stale_fences(holds: typing.Iterable[Hold]) -> list[tuple[Hold, Hold]]:
    """Return pairs in which a later hold has no higher fencing token."""
    found = []
    ordered = sorted(holds, key=lambda hold: hold.since)
    for index, hold in enumerate(ordered):
        for other in ordered[:index]:
            if not _share_keys(other, hold):
                continue
            if other.fence >= hold.fence:
                found.append((other, hold))
    return found
