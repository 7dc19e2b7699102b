"""The lease with which one host at a time acts as the key controller.

The lease is an object in the store with a counter that its holder increments
by conditional writes. A host that finds it unchanged for the whole duration
of the lease takes it over by a conditional write. The holder counts its lease
from before it sent the write, on a clock that also runs while the host is
suspended, so that it stops before another host can have taken over.

Each takeover begins a new term, whose number is in the object. A write without
a response may have taken effect, so a host that finds its own incarnation in
the object may never have held the lease: what it knows of the previous holder
comes from the term alone.

A store that comes back from an older copy has lost the last terms. A holder
writes its lease again while it lasts by its own clock; nobody else can have
held it in what was lost. All others hold it as hosts that do not know who
held it before.
"""

import asyncio
import math
import random
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.platform import store_position
from amaranthcrank.router import clock
from amaranthcrank.router import entry_checks
from amaranthcrank.router import event_log

LEASE_S = 3.0
RENEWAL_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.6
# Allows for clocks that run at different rates and for the duration of a
# write.
MARGIN_S = 0.3
RETRY_S = 0.3
# While a host waits for the lease to expire, it checks at this interval
# whether another host has become the holder.
POLL_INTERVAL_S = 0.02
# Hosts try to take a free lease at random times within a period of this length
# per host. It is long enough for the new holder's first heartbeat to reach the
# next host before that host tries.
JITTER_PER_HOST_S = 0.01
# While the store fails, the interval between tries grows with the number of
# hosts above this one, which bounds the load of the store.
UNSCALED_RETRY_HOSTS = 20
LEASE_NAME = 'key-controller'
# A host that knew a holder to act within this time before a restore knows what
# it did: a holder that the store does not answer stops by then.
KNOWN_HOLDER_S = LEASE_S + 1.5


class Lease:
    """This host's view of the lease, and its attempts to hold it.

    Attributes:
      held_until: When the held lease ends, by `clock.now`; 0.0 if not held.
      holder_id: The host that held the lease when it was last read, or ''.
      was_last_holder: Whether this process was also the previous holder, in
        the same term, so that no other host has sent grants in between.
    """

    def __init__(
        self,
        client: store.Client,
        host_id: str,
        incarnation: str,
        ip: str,
        log: event_log.EventLog,
    ) -> None:
        """Start without the lease."""
        self.held_until = 0.0
        self.holder_id = ''
        self.was_last_holder = False
        self._client = client
        self._host_id = host_id
        self._incarnation = incarnation
        self._ip = ip
        self._log = log
        self._revision = 0
        self._seen_revision = 0
        self._seen_since = 0.0
        self._next_attempt_at = clock.now()
        self._count = 0
        # The term of the next write, and the last one in which this process
        # is known to have held the lease.
        self._term = 0
        self._held_term: int | None = None
        # The era in which the lease was first written; 0 if that is not known.
        self._origin_era = 0
        # When the holder was last known to act, and how long ago that was at
        # the last restore of the store.
        self._active_at = -math.inf
        self._silent_s_at_restore = math.inf
        client.on_restored.append(self._record_restore)
        # Whether the store has confirmed the lease since it was invalidated.
        self._is_valid = True

    @property
    def is_held(self) -> bool:
        """Whether the lease is held now."""
        return self._is_valid and clock.now() < self.held_until

    @property
    def term(self) -> int:
        """The term in which this process holds, or last held, the lease."""
        return self._held_term or 0

    def invalidate(self) -> None:
        """End the lease here until the store has confirmed it again.

        It is still this host's in the store, so no other host can take it
        before it expires.
        """
        self._is_valid = False

    @property
    def revision(self) -> int:
        """The revision of the lease's last confirmed write by this host."""
        return self._revision

    def record_active_holder(self) -> None:
        """Record that the holder, maybe this host, acts on present maps."""
        self._active_at = clock.now()

    def knew_holder_at_restore(self) -> bool:
        """Return whether a holder was known to act until the last restore."""
        return self._silent_s_at_restore < KNOWN_HOLDER_S

    def _record_restore(self, former_era: int, era: int) -> None:
        self._silent_s_at_restore = clock.now() - self._active_at

    def record_heartbeat(self, revision: int) -> None:
        """Record the revision of the lease that the holder's heartbeat names.

        The lease of that revision has already begun, so a host that later
        finds the revision unchanged in the store counts from here.
        """
        self._client.record_position(revision)
        if revision > self._seen_revision:
            self._record_seen(revision)
            self._client.availability.record_answer()

    def record_resignation(self) -> None:
        """Record that the holder gave the lease back, so it can be taken."""
        self._next_attempt_at = clock.now()

    async def acquire(
        self,
        has_live_holder: typing.Callable[[], bool],
        wait_for_store: typing.Callable[[], typing.Awaitable[None]],
        count_hosts: typing.Callable[[], int],
    ) -> None:
        """Wait until this host holds the lease.

        Args:
          has_live_holder: Returns whether another host recently sent a
            heartbeat as the holder, so that the store need not be read.
          wait_for_store: Waits while the store is known to be unavailable.
          count_hosts: Returns how many hosts may compete for the lease.
        """
        if self.is_held and self._is_of_earlier_era:
            # The controller begins again, without a break of the lease.
            self.was_last_holder = True
        while not self.is_held:
            if has_live_holder():
                await asyncio.sleep(RETRY_S)
                continue
            await wait_for_store()
            if not await self._wait_for_expiry(has_live_holder, count_hosts()):
                continue
            try:
                await self._try_acquire()
            except store.StoreError as error:
                self._log.event('lease_unread', reason=str(error))
                scale = max(1.0, count_hosts() / UNSCALED_RETRY_HOSTS)
                await asyncio.sleep(scale * RETRY_S * (1 + random.random()))
            except store.ConflictError:
                # Another host took the lease first.
                await asyncio.sleep(LEASE_S / 2)

    async def _wait_for_expiry(
        self, has_live_holder: typing.Callable[[], bool], hosts: int
    ) -> bool:
        """Wait until the lease may have expired, plus a random delay.

        With the delay, the first of many hosts takes the lease and the
        others receive its heartbeat before they call the store.

        Returns:
          False if another host sent a heartbeat as the holder meanwhile.
        """
        jitter_s = JITTER_PER_HOST_S * hosts * random.random()
        while clock.now() < self._next_attempt_at + jitter_s:
            if has_live_holder():
                return False
            left_s = self._next_attempt_at + jitter_s - clock.now()
            await asyncio.sleep(min(POLL_INTERVAL_S, max(0.0, left_s)))
        return not has_live_holder()

    async def renew(self) -> None:
        """Renew the lease periodically until it ends.

        What depends on the lease ends with it, so a renewal that is confirmed
        only after its end does not begin it again.
        """
        while self.is_held:
            if not self._is_of_earlier_era:
                await asyncio.sleep(
                    RENEWAL_INTERVAL_S * (0.9 + 0.2 * random.random())
                )
            ends_at = self.held_until
            try:
                await self._write(self._host_id)
            except store.StoreError as error:
                self._log.event('lease_not_renewed', reason=str(error))
                await asyncio.sleep(RETRY_S)
            except store.ConflictError as error:
                if not await self._resolve_conflict(error.item):
                    self._log.event('lease_lost')
                    self.held_until = 0.0
                    return
            if clock.now() >= ends_at:
                self._log.event('lease_lapsed')
                self.held_until = 0.0

    async def resign(self) -> None:
        """Give the lease back, so that no other host waits for its expiry."""
        if not self.is_held:
            return
        self.held_until = 0.0
        try:
            await self._write('')
        except (store.StoreError, store.ConflictError) as error:
            self._log.event('lease_not_resigned', reason=str(error))
        self.held_until = 0.0

    async def _try_acquire(self) -> None:
        item = await self._client.get(
            names.LEASES_KIND, LEASE_NAME, CALL_TIMEOUT_S
        )
        spec = _spec_of(item)
        if not self._may_take(spec):
            return
        if item is None:
            await self._create()
            return
        self.holder_id = holder_in(item)
        self._count = _number_in(spec, 'count')
        self._revision = entries.revision_of(item)
        # An earlier process of this host may still count on its lease. A
        # lease of an earlier era may be a late write, which has replaced that
        # of another host.
        own = (
            self.holder_id == self._host_id
            and spec.get('incarnation') == self._incarnation
            and _number_in(spec, 'era') == self._client.era
        )
        self._origin_era = _number_in(spec, 'origin')
        if entry_checks.is_revision(spec.get('origin')):
            self._client.record_stored_era(self._origin_era)
        if self._revision != self._seen_revision:
            self._record_seen(self._revision)
        if self.holder_id and not own and clock.now() < self._seen_expiry:
            self._next_attempt_at = self._seen_expiry
            return
        former = self.holder_id
        self._begin_term(spec)
        await self._write(self._host_id)
        self._record_taken(former)

    def _may_take(self, stored: dict[str, typing.Any]) -> bool:
        """Return whether the lease may be taken in the present era.

        After a restore, a holder whose lease lasts writes it again first. The
        copy may name another holder, or none.
        """
        if stored and _number_in(stored, 'era') == self._client.era:
            return True
        if not stored and not self._client.has_seen_restore:
            return True
        free_at = self._client.era_seen_at + LEASE_S + MARGIN_S
        if clock.now() >= free_at:
            return True
        self._next_attempt_at = free_at
        return False

    def _begin_term(self, stored: dict[str, typing.Any]) -> None:
        """Continue the stored term if this process held the lease in it."""
        is_own = stored.get('incarnation') == self._incarnation
        is_restored = _number_in(stored, 'era') != self._client.era
        self._term = _number_in(stored, 'term')
        self.was_last_holder = (
            is_own and not is_restored and self._term == self._held_term
        )
        if not self.was_last_holder:
            self._term += 1
            # A store that was restored may give out its number again.
            self._held_term = None

    def _record_taken(self, former: str) -> None:
        self._held_term = self._term
        self._is_valid = True
        self._log.event(
            'lease_taken',
            former=former,
            count=self._count,
            term=self._term,
            was_last_holder=self.was_last_holder,
        )

    def _record_seen(self, revision: int) -> None:
        self._seen_revision = revision
        self._seen_since = clock.now()
        self._next_attempt_at = self._seen_expiry

    @property
    def _seen_expiry(self) -> float:
        """When the lease expires if it is not renewed again."""
        return self._seen_since + LEASE_S + MARGIN_S

    async def _create(self) -> None:
        self._begin_term({})
        # Unless the store was restored, all that was ever written is in it.
        is_new_store = not self._client.has_seen_restore
        self._origin_era = self._client.era if is_new_store else 0
        await self._create_object()
        self._record_taken('')

    async def _create_object(self) -> None:
        sent_at = clock.now()
        item = await self._client.create(
            names.LEASES_KIND,
            LEASE_NAME,
            self._spec(self._host_id),
            CALL_TIMEOUT_S,
        )
        self._record_write(item, sent_at)

    async def _resolve_conflict(self, item: typing.Any) -> bool:
        """Return whether the lease is still held though its renewal failed.

        Args:
          item: The object that the store has in its place, if it is known.
        """
        if self._is_of_earlier_era:
            # The conflict may come from the restore alone.
            return await self._continue_after_restore()
        return self._adopt_own_write(item)

    @property
    def _is_of_earlier_era(self) -> bool:
        """Whether the last confirmed write is of before a restore."""
        return store_position.era_of(self._revision) < self._client.era

    async def _continue_after_restore(self) -> bool:
        """Write the held lease into a store that has lost the last writes.

        It must not have ended when the restored store answers: after its end
        another host can have held it in what was lost.

        Returns:
          False if it has ended, or another host has taken it since the
          restore.
        """
        try:
            item = await self._client.get(
                names.LEASES_KIND, LEASE_NAME, CALL_TIMEOUT_S
            )
            if not self.is_held:
                return False
            if item is None:
                await self._create_object()
            else:
                spec = _spec_of(item)
                is_own = spec.get('incarnation') == self._incarnation
                if _number_in(spec, 'era') == self._client.era and not is_own:
                    return False
                self._revision = entries.revision_of(item)
                await self._write(self._host_id)
        except store.StoreError as error:
            self._log.event('lease_not_renewed', reason=str(error))
            await asyncio.sleep(RETRY_S)
            return True
        except store.RestoredError:
            # The store was restored once more; the next attempt reads again.
            await asyncio.sleep(RETRY_S)
            return True
        except store.ConflictError:
            return False
        self.was_last_holder = True
        self._log.event('lease_continued', era=self._client.era)
        return True

    async def _write(self, holder_id: str) -> None:
        self._count += 1
        sent_at = clock.now()
        item = await self._client.replace(
            names.LEASES_KIND,
            LEASE_NAME,
            self._revision,
            self._spec(holder_id),
            CALL_TIMEOUT_S,
        )
        self._record_write(item, sent_at)

    def _spec(self, holder_id: str) -> dict[str, typing.Any]:
        return {
            'holder': holder_id,
            'incarnation': self._incarnation,
            'ip': self._ip,
            'count': self._count,
            'term': self._term,
            'era': self._client.era,
            'origin': self._origin_era,
        }

    def _record_write(self, item: typing.Any, sent_at: float) -> None:
        self._revision = entries.revision_of(item)
        self.holder_id = self._host_id
        self.held_until = sent_at + LEASE_S

    def _adopt_own_write(self, item: typing.Any) -> bool:
        """Adopt the stored revision if this process wrote it.

        A conflict may come from this process's own write whose response was
        lost.

        Returns:
          Whether this process wrote the object and holds the lease by it.
        """
        spec = _spec_of(item)
        if spec.get('incarnation') != self._incarnation:
            return False
        self._revision = entries.revision_of(item)
        self._count = max(self._count, _number_in(spec, 'count'))
        return bool(spec.get('holder'))


def holder_in(item: typing.Any) -> str:
    """Return the host that a stored lease names as its holder, or ''."""
    holder = _spec_of(item).get('holder')
    return holder if isinstance(holder, str) else ''


def _spec_of(item: typing.Any) -> dict[str, typing.Any]:
    """Return the spec of a stored object; empty if it is malformed."""
    spec = item.get('spec') if isinstance(item, dict) else None
    return spec if isinstance(spec, dict) else {}


def _number_in(spec: dict[str, typing.Any], field: str) -> int:
    """Return a counter of a stored lease; 0 if it is malformed."""
    number: typing.Any = spec.get(field)
    return number if entry_checks.is_revision(number) else 0
