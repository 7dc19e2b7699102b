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
# it holds keys that it took by an earlier grant. Most that waited take effect
# in the first seconds.
RELEASE_INTERVAL_S = 0.2
LATER_INTERVAL_S = 0.4
FIRST_RELEASES_S = 2.0
# The time limit for the response of one that has answered before. A release
# takes effect before it is answered.
RELEASE_TIMEOUT_S = 0.4
# How many ranges are released at once.
MAX_CONCURRENT = 8
# After a fault of the program.
FAULT_PAUSE_S = 1.0

# The service and the former owner, as `id/incarnation`.
_FormerId = tuple[str, str]


class _FormerOwner:
    """The unsettled holds of one former owner.

    Attributes:
      holds: The keys, with the token of their release.
      gives_up_at: When no call can wait anywhere any more, by `clock.now`.
      has_answered: Whether it has answered a release.
      answering_since: Since when it has answered each release, by `clock.now`;
        None if it did not answer the last one.
      task: Releases the keys.
    """

    def __init__(self) -> None:
        """Start without keys."""
        self.holds: list[model.UnsettledHold] = []
        self.gives_up_at = 0.0
        self.has_answered = False
        self.answering_since: float | None = None
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
        self._former_by_id: dict[_FormerId, _FormerOwner] = {}

    def add(self, service: str, hold: model.UnsettledHold) -> None:
        """Release keys at a former owner until the hold is settled."""
        former = self._former_by_id.setdefault(
            (service, hold.holder), _FormerOwner()
        )
        if hold not in former.holds:
            self._events.hold_unsettled(hold)
        remaining = key_ranges.subtract_keys(former.holds, [hold])
        former.holds = sorted([*remaining, hold])
        former.has_answered = False
        former.answering_since = None
        former.gives_up_at = clock.now() + hold_times.LATE_GRANT_S
        self._restart(service, hold.holder)

    def holds(self, service: str) -> tuple[model.UnsettledHold, ...]:
        """Return the unsettled holds of a service, in order."""
        found = []
        for (of_service, _), former in self._former_by_id.items():
            if of_service == service:
                found += former.holds
        return tuple(sorted(found))

    def exclude_owned(self, service: str, owned: model.KeyRange) -> None:
        """Release no keys that their former owner is granted again."""
        for (of_service, holder), former in list(self._former_by_id.items()):
            if of_service != service:
                continue
            if not self._is_same(owned.holder, holder):
                continue
            remaining = key_ranges.subtract_keys(former.holds, [owned])
            if remaining == former.holds:
                continue
            former.holds = remaining
            self._restart(service, holder)

    def clear(self) -> None:
        """Forget all holds."""
        self.stop()
        self._former_by_id.clear()

    def start(self) -> None:
        """Send releases again after a stop."""
        for service, holder in list(self._former_by_id):
            self._restart(service, holder)

    def stop(self) -> None:
        """Send no more releases."""
        for former in self._former_by_id.values():
            if former.task is not None:
                former.task.cancel()

    def _restart(self, service: str, holder: str) -> None:
        """Release the present keys of a holder; forget it if there are none.

        A release that is being sent could name keys that are excluded now.
        """
        former_id = (service, holder)
        former = self._former_by_id[former_id]
        if former.task is not None:
            former.task.cancel()
        if not former.holds:
            del self._former_by_id[former_id]
            return
        former.task = asyncio.create_task(self._run(holder, former))
        former.task.add_done_callback(
            functools.partial(self._on_end, former_id, former)
        )

    def _on_end(
        self,
        former_id: _FormerId,
        former: _FormerOwner,
        task: asyncio.Task[None],
    ) -> None:
        """Forget a holder whose holds are settled."""
        if task.cancelled() or task is not former.task:
            return
        if self._lease.is_held:
            del self._former_by_id[former_id]

    def _is_same(self, owner: str, former: str) -> bool:
        """Return whether releases for a former owner would reach an owner.

        It may be the next life of the target, or have its address.
        """
        if model.split_holder(owner)[0] == model.split_holder(former)[0]:
            return True
        address = self._former_owners.find_address(former)
        return address is not None and address == self._address_by_holder.get(
            owner
        )

    async def _run(self, holder: str, former: _FormerOwner) -> None:
        """Settle the holds of a holder; go on after a fault of the program."""
        while True:
            try:
                await self._settle(holder, former)
                return
            except Exception as error:
                self._events.settling_failed(holder, error)
                await asyncio.sleep(FAULT_PAUSE_S)

    async def _settle(self, holder: str, former: _FormerOwner) -> None:
        """Release the keys of a holder until its holds are settled."""
        while self._lease.is_held:
            result = await self._release(holder, former)
            now = clock.now()
            if result == key_calls.OTHER_SERVER:
                self._events.holds_settled(holder, ownership_events.REPLACED)
                return
            if result == key_calls.RELEASED:
                if former.answering_since is None:
                    former.has_answered = True
                    former.answering_since = now
                    # The other keys, and what took effect meanwhile.
                    continue
                if now >= self._settled_at(former):
                    self._events.holds_settled(
                        holder, ownership_events.RELEASED
                    )
                    return
            else:
                # It may have been stopped again before it took a grant.
                former.answering_since = None
                if now >= self._gives_up_at(former):
                    self._events.holds_settled(
                        holder, ownership_events.EXPIRED
                    )
                    return
            await asyncio.sleep(_pause_s(former, now))

    def _settled_at(self, former: _FormerOwner) -> float:
        """Return when a holder that goes on answering has settled its holds.

        A link may keep one connection back while others are answered. What
        was taken before the first answer may last for a whole grant.
        """
        assert former.answering_since is not None
        return max(former.gives_up_at, former.answering_since + self._settle_s)

    def _gives_up_at(self, former: _FormerOwner) -> float:
        """Return when a holder is no longer asked if it does not answer.

        What one that has answered took last may last for a whole grant.
        """
        if former.has_answered:
            return former.gives_up_at + self._settle_s
        return former.gives_up_at

    async def _release(self, holder: str, former: _FormerOwner) -> str:
        """Ask a holder once to release its keys.

        One that does not answer is asked for one range, as each call occupies
        a connection there.

        Returns:
          RELEASED, REFUSED, OTHER_SERVER or UNANSWERED, as in `key_calls`.
        """
        holds = _join_adjacent(former.holds)
        if former.answering_since is None:
            return await self._release_one(
                holder, key_calls.RELEASE_TIMEOUT_S, holds[0]
            )
        release_one = functools.partial(
            self._release_one, holder, RELEASE_TIMEOUT_S
        )
        results: set[str] = set()
        for first in range(0, len(holds), MAX_CONCURRENT):
            batch = holds[first : first + MAX_CONCURRENT]
            results.update(await asyncio.gather(*map(release_one, batch)))
        if results == {key_calls.RELEASED}:
            return key_calls.RELEASED
        if key_calls.OTHER_SERVER in results:
            return key_calls.OTHER_SERVER
        return key_calls.UNANSWERED

    async def _release_one(
        self, holder: str, timeout_s: float, hold: model.UnsettledHold
    ) -> str:
        address = self._former_owners.find_address(holder)
        if address is None:
            return key_calls.UNANSWERED
        result, _ = await self._calls.release(
            holder, address, hold.first, hold.last, hold.fence, timeout_s
        )
        return result


def _pause_s(former: _FormerOwner, now: float) -> float:
    """Return the time until the next release, seconds."""
    if former.answering_since is None:
        return former_owners.REFUSED_RETRY_S
    if now < former.answering_since + FIRST_RELEASES_S:
        return RELEASE_INTERVAL_S
    return LATER_INTERVAL_S


def _join_adjacent(
    holds: typing.Iterable[model.UnsettledHold],
) -> list[model.UnsettledHold]:
    """Return holds of one holder in which adjacent ones are joined.

    They get the lowest of their tokens, as a target may count it among those
    that it has seen: keys that are to come back to it get a higher token than
    their own hold had, which need not be above those of their neighbours.
    """
    joined: list[model.UnsettledHold] = []
    for hold in holds:
        if not joined or joined[-1].last + 1 != hold.first:
            joined.append(hold)
            continue
        fence = min(joined[-1].fence, hold.fence)
        joined[-1] = joined[-1]._replace(last=hold.last, fence=fence)
    return joined
