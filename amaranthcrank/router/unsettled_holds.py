"""Takes keys back from former owners that may take an earlier grant late.

A grant without a response may wait at a target that is stopped, or on a link,
and take effect long after the keys have moved on. Such a former owner is asked
to release them again and again, until it has answered and none of its earlier
grants can be left. What it takes meanwhile, it holds for a moment only.
"""

import asyncio
import functools
import typing

from amaranthcrank.router import clock
from amaranthcrank.router import controller_lease
from amaranthcrank.router import former_owners
from amaranthcrank.router import hold_times
from amaranthcrank.router import key_calls
from amaranthcrank.router import key_ranges
from amaranthcrank.router import model
from amaranthcrank.router import ownership_events

# Between two releases at a former owner that answers. It bounds for how long
# it holds keys that it took by an earlier grant.
RELEASE_INTERVAL_S = 0.2
# Between attempts to reach one that takes no connections, so that nothing
# that waits at it can take effect.
UNREACHED_INTERVAL_S = 1.0

# The service and the former owner.
_CaseId = tuple[str, str]


class _Case:
    """The unsettled holds of one former owner.

    Attributes:
      holds: The keys, with the token of their release.
      gives_up_at: When no call can wait anywhere any more, by `clock.now`.
      settled_at: When none of its earlier grants can be left, by `clock.now`;
        None until it has answered.
      task: Releases the keys.
    """

    def __init__(self) -> None:
        """Start without keys."""
        self.holds: list[model.UnsettledHold] = []
        self.gives_up_at = 0.0
        self.settled_at: float | None = None
        self.task: asyncio.Task[None] | None = None


class UnsettledHolds:
    """The keys that former owners may take again, and their releases."""

    def __init__(
        self,
        lease: controller_lease.Lease,
        calls: key_calls.KeyCalls,
        former_tracker: former_owners.FormerOwners,
        address_by_holder: dict[str, model.Address],
        events: ownership_events.OwnershipEvents,
        grant_max_s: float,
    ) -> None:
        """Share the state of the controller.

        Args:
          lease: The controller's lease; releases are sent while it is held.
          calls: Sends the releases.
          former_tracker: Detects whether a former owner has ended.
          address_by_holder: Where each holder listens; the controller keeps
            it up to date.
          events: Records the holds and their ends.
          grant_max_s: The longest duration of a grant.
        """
        self._lease = lease
        self._calls = calls
        self._former_owners = former_tracker
        self._address_by_holder = address_by_holder
        self._events = events
        self._settle_s = (
            hold_times.TRANSIT_S + grant_max_s * hold_times.CLOCK_RATE_FACTOR
        )
        self._case_by_id: dict[_CaseId, _Case] = {}

    def add(self, service: str, hold: model.UnsettledHold) -> None:
        """Release keys at a former owner until the hold is settled."""
        case = self._case_by_id.setdefault((service, hold.holder), _Case())
        if hold not in case.holds:
            self._events.hold_unsettled(hold)
        remaining = key_ranges.subtract_keys(case.holds, [hold])
        case.holds = sorted([*remaining, hold])
        case.settled_at = None
        case.gives_up_at = clock.now() + hold_times.LATE_GRANT_S
        self._restart(service, hold.holder)

    def holds(self, service: str) -> tuple[model.UnsettledHold, ...]:
        """Return the unsettled holds of a service, in order."""
        found = []
        for (of_service, _), case in self._case_by_id.items():
            if of_service == service:
                found += case.holds
        return tuple(sorted(found))

    def exclude_owned(
        self, service: str, ranges: typing.Sequence[model.KeyRange]
    ) -> None:
        """Release no keys that the former owner owns, or is to own, again."""
        for (of_service, holder), case in list(self._case_by_id.items()):
            if of_service != service:
                continue
            owned = [each for each in ranges if each.holder == holder]
            remaining = key_ranges.subtract_keys(case.holds, owned)
            if remaining == case.holds:
                continue
            case.holds = remaining
            self._restart(service, holder)

    def clear(self) -> None:
        """Forget all holds."""
        self.stop()
        self._case_by_id.clear()

    def start(self) -> None:
        """Send releases again after a stop."""
        for service, holder in list(self._case_by_id):
            self._restart(service, holder)

    def stop(self) -> None:
        """Send no more releases."""
        for case in self._case_by_id.values():
            if case.task is not None:
                case.task.cancel()

    def _restart(self, service: str, holder: str) -> None:
        """Release the present keys of a holder; forget it if there are none.

        A release that is being sent could name keys that are excluded now.
        """
        case_id = (service, holder)
        case = self._case_by_id[case_id]
        if case.task is not None:
            case.task.cancel()
        if not case.holds:
            del self._case_by_id[case_id]
            return
        case.task = asyncio.create_task(self._settle(holder, case))
        case.task.add_done_callback(
            functools.partial(self._on_end, case_id, case)
        )

    def _on_end(
        self, case_id: _CaseId, case: _Case, task: asyncio.Task[None]
    ) -> None:
        """Forget a holder whose holds are settled."""
        if task.cancelled() or task is not case.task:
            return
        error = task.exception()
        if error is not None:
            self._events.settling_failed(case_id[1], error)
        elif not self._lease.is_held:
            return
        if self._case_by_id.get(case_id) is case:
            del self._case_by_id[case_id]

    async def _settle(self, holder: str, case: _Case) -> None:
        """Release the keys of a holder until its holds are settled."""
        while self._lease.is_held:
            result = await self._release_all(holder, case.holds)
            now = clock.now()
            if result == key_calls.OTHER_SERVER:
                self._events.holds_settled(holder, ownership_events.REPLACED)
                return
            if result == key_calls.RELEASED and case.settled_at is None:
                case.settled_at = now + self._settle_s
            if case.settled_at is not None and now >= case.settled_at:
                self._events.holds_settled(holder, ownership_events.RELEASED)
                return
            if case.settled_at is None and now >= case.gives_up_at:
                self._events.holds_settled(holder, ownership_events.EXPIRED)
                return
            if result == key_calls.REFUSED:
                await asyncio.sleep(UNREACHED_INTERVAL_S)
                continue
            await asyncio.sleep(RELEASE_INTERVAL_S)

    async def _release_all(
        self, holder: str, holds: typing.Sequence[model.UnsettledHold]
    ) -> str:
        """Ask a holder once to release its keys; stop at a failure.

        Returns:
          RELEASED, REFUSED, OTHER_SERVER or UNANSWERED, as in `key_calls`.
        """
        address = self._address_by_holder.get(holder)
        if address is None or self._former_owners.has_ended(holder):
            # Another target must not lose its keys.
            return key_calls.OTHER_SERVER
        for hold in _join_adjacent(holds):
            result, _ = await self._calls.release(
                holder, address, hold.first, hold.last, hold.fence
            )
            if result != key_calls.RELEASED:
                return result
        return key_calls.RELEASED


def _join_adjacent(
    holds: typing.Iterable[model.UnsettledHold],
) -> list[model.UnsettledHold]:
    """Return holds of one holder in which adjacent ones are joined."""
    joined: list[model.UnsettledHold] = []
    for hold in holds:
        if not joined or joined[-1].last + 1 != hold.first:
            joined.append(hold)
            continue
        fence = max(joined[-1].fence, hold.fence)
        joined[-1] = joined[-1]._replace(last=hold.last, fence=fence)
    return joined
