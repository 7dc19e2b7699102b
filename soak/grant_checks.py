"""Checks the tokens of grants, and grants of keys at which others work.

Grants are those that targets took, by their records. Each finding says
whether the grant's time still ran (`live`) or not (`expired`), and whether it
was a fence, which grants keys for a millisecond, or a lasting grant.
"""

import bisect
import collections
import heapq
import itertools
import typing

from soak import holds as key_holds

# Grants for less than this are fences.
MAX_FENCE_S = 0.01
# A grant that takes effect so long after its arrival is taken late. Calls that
# a target is to carry out late wait for 2 s and more.
TAKEN_LATE_S = 0.3


class Grant(typing.NamedTuple):
    """A grant that a target took.

    Attributes:
      target: The target's id, and its incarnation if it has several.
      service: The service of the target.
      first: The first key.
      last: The last key, inclusive.
      fence: The fencing token.
      arrived_at: When it arrived, monotonic seconds.
      at: When it took effect.
      until: When its time ends, or ended.
      request_id: The id of the call.
      is_excused: Whether the rules on owners and tokens leave it out.
    """

    target: str
    service: str
    first: int
    last: int
    fence: int
    arrived_at: float
    at: float
    until: float
    request_id: str = ''
    is_excused: bool = False

    @property
    def is_live(self) -> bool:
        """Whether its time still ran when it took effect."""
        return self.until > self.at

    @property
    def kind(self) -> str:
        """Its name in reports."""
        is_fence = self.until - self.arrived_at < MAX_FENCE_S
        return (
            f'{"live" if self.is_live else "expired"} '
            f'{"fence" if is_fence else "grant"}'
        )


class Work(typing.NamedTuple):
    """A request that a target ran.

    Attributes:
      target: The target's id.
      service: The service of the target.
      key: The key of the request.
      since: When the target began to work, monotonic seconds.
      until: When it ended; infinite if it did not.
    """

    target: str
    service: str
    key: int
    since: float
    until: float


class HeldUp(typing.NamedTuple):
    """A period in which calls to a target could be held up on their way.

    Attributes:
      target: The target's id.
      since: Its start, monotonic seconds.
      until: Its end, with the time that held-up calls take to arrive.
    """

    target: str
    since: float
    until: float


class StaleGrant(typing.NamedTuple):
    """A grant whose token is not above that of another target.

    Attributes:
      grant: The grant.
      other: The grant of another target with the higher or equal token.
    """

    grant: Grant
    other: Grant


class GrantAtWork(typing.NamedTuple):
    """A grant of a key at which another target is at work.

    Attributes:
      grant: The grant.
      work: The work.
    """

    grant: Grant
    work: Work


class _Tokens(typing.NamedTuple):
    """The highest token of some keys, and the highest of other targets."""

    top: Grant | None = None
    second: Grant | None = None

    def of_others(self, target: str) -> Grant | None:
        if self.top is None or self.top.target != target:
            return self.top
        return self.second

    def add(self, grant: Grant) -> '_Tokens':
        if self.top is None or grant.fence > self.top.fence:
            if self.top is not None and self.top.target != grant.target:
                return _Tokens(grant, self.top)
            return _Tokens(grant, self.second)
        if grant.target == self.top.target:
            return self
        if self.second is None or grant.fence > self.second.fence:
            return _Tokens(self.top, grant)
        return self


def stale_grants(grants: typing.Iterable[Grant]) -> list[StaleGrant]:
    """Return grants whose token is not above those of all other targets.

    Tokens are compared in the order in which targets took them. Expired grants
    count as well, as their target has seen the token. Those that the rules
    leave out are not compared at all.
    """
    found = []
    grants = [grant for grant in grants if not grant.is_excused]
    for _, of_service in _by_service(grants):
        # Between two edges all keys have the same grants.
        edges = sorted(
            {grant.first for grant in of_service}
            | {grant.last + 1 for grant in of_service}
        )
        tokens = [_Tokens()] * len(edges)
        for grant in of_service:
            low = bisect.bisect_left(edges, grant.first)
            high = bisect.bisect_left(edges, grant.last + 1)
            others = [
                other
                for each in tokens[low:high]
                if (other := each.of_others(grant.target)) is not None
            ]
            for index in range(low, high):
                tokens[index] = tokens[index].add(grant)
            highest = max(others, key=lambda each: each.fence, default=None)
            if highest is not None and highest.fence >= grant.fence:
                found.append(StaleGrant(grant, highest))
    return found


def grants_at_work(
    grants: typing.Iterable[Grant],
    works: typing.Iterable[Work],
    held_up: typing.Sequence[HeldUp],
) -> list[GrantAtWork]:
    """Return grants of keys at which another target is at work.

    The rules excuse a grant that was held up on its way or is taken late, and
    one that comes when the hold of the target at work has run out, by its
    time, or would have but for a release.
    """
    found = []
    for service, of_service in _by_service(grants):
        waiting = collections.deque(
            sorted(
                (work for work in works if work.service == service),
                key=lambda work: work.since,
            )
        )
        # Heap of works that have begun, the first to end on top.
        begun: list[tuple[float, int, Work]] = []
        number = itertools.count()
        earlier: dict[str, list[Grant]] = collections.defaultdict(list)
        for grant in of_service:
            while waiting and waiting[0].since < grant.at:
                work = waiting.popleft()
                heapq.heappush(begun, (work.until, next(number), work))
            while begun and begun[0][0] <= grant.at:
                heapq.heappop(begun)
            earlier[grant.target].append(grant)
            if _was_delayed(grant, held_up):
                continue
            for _, _, work in begun:
                if work.target == grant.target:
                    continue
                if not grant.first <= work.key <= grant.last:
                    continue
                if _hold_end(earlier[work.target], work.key) > grant.at:
                    found.append(GrantAtWork(grant, work))
                    break
    return found


def _by_service(
    grants: typing.Iterable[Grant],
) -> list[tuple[str, list[Grant]]]:
    """Return the grants of each service in the order of their effect."""
    ordered = sorted(grants, key=lambda grant: (grant.service, grant.at))
    return [
        (service, list(of_service))
        for service, of_service in itertools.groupby(
            ordered, key=lambda grant: grant.service
        )
    ]


def _was_delayed(grant: Grant, held_up: typing.Iterable[HeldUp]) -> bool:
    if grant.is_excused or grant.at - grant.arrived_at > TAKEN_LATE_S:
        return True
    return any(
        each.target == key_holds.target_of(grant.target)
        and each.since <= grant.arrived_at <= each.until
        for each in held_up
    )


def _hold_end(grants: typing.Iterable[Grant], key: int) -> float:
    """Return when the longest grant of a key runs out.

    It is not the last one: after a release, that may be a fence.
    """
    return max(
        (grant.until for grant in grants if grant.first <= key <= grant.last),
        default=0.0,
    )


def describe(finding: StaleGrant | GrantAtWork) -> str:
    """Return one line on a finding, with the ids of the calls."""
    grant = finding.grant
    text = (
        f'{grant.kind} {grant.request_id} at {grant.at:.3f}, '
        f'{grant.at - grant.arrived_at:.3f} s after its arrival: '
        f'{grant.target} {grant.first}..{grant.last} fence {grant.fence}'
    )
    if isinstance(finding, StaleGrant):
        other = finding.other
        return (
            f'stale {text}; {other.target} {other.first}..{other.last} had '
            f'fence {other.fence} by {other.request_id} at {other.at:.3f}'
        )
    work = finding.work
    return (
        f'{text}; {work.target} was at work on key {work.key} from '
        f'{work.since:.3f} to {work.until:.3f}'
    )
