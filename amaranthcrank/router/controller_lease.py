"""The lease under which one host alone moves keys.

The lease is an object of the store with a counter that its holder raises by
conditional writes. Who finds it unchanged for its whole length takes it over
by a conditional write. A holder counts its lease from the moment before it
sent the write, on a clock that runs while the host is suspended, so it stops
before another can have taken over.
"""

import asyncio
import random
import typing

from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import event_log

LEASE_S = 3.0
RENEWAL_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.6
# Clocks may run at slightly different rates, and a write takes its time.
MARGIN_S = 0.3
RETRY_S = 0.3
# Who waits for the lease to run out looks this often whether a holder is
# heard.
POLL_INTERVAL_S = 0.02
# The hosts ask for a free lease one after the other. Within this time the
# holder's first heartbeat reaches the next.
JITTER_PER_HOST_S = 0.01
# With more hosts than these each tries more seldom while the store fails.
UNSCALED_RETRY_HOSTS = 20
LEASE_NAME = 'key-controller'


class Lease:
    """This host's part in the lease.

    Attributes:
      held_until: When a held lease ends, by `clock.now`; 0.0 without one.
      holder_id: Who held it when it was last seen, or ''.
      was_last_holder: Whether this process held it last as well, so that what
        it knows of grants is still all there is.
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
        self._confirmed = asyncio.Event()

    @property
    def is_held(self) -> bool:
        """Whether the lease is held now."""
        return clock.now() < self.held_until

    @property
    def revision(self) -> int:
        """The revision of the lease's last confirmed write by this host."""
        return self._revision

    def record_heartbeat(self, revision: int) -> None:
        """Learn from a heartbeat that the holder has written a revision.

        The lease of that revision had begun by then, so a host that goes on
        to find it unchanged in the store need not wait as long again.
        """
        if revision > self._seen_revision:
            self._record_seen(revision)
            self._client.history.note_answer()

    def record_resignation(self) -> None:
        """Learn that the holder gave the lease back."""
        self._next_attempt_at = clock.now()

    async def acquire(
        self,
        has_live_holder: typing.Callable[[], bool],
        wait_for_store: typing.Callable[[], typing.Awaitable[None]],
        hosts: typing.Callable[[], int],
    ) -> None:
        """Wait until the lease is held.

        Args:
          has_live_holder: Tells whether another holder was heard of just now,
            so that there is no need to ask the store.
          wait_for_store: Waits while the store is known to be away.
          hosts: Returns how many hosts may ask for the lease.
        """
        while not self.is_held:
            if has_live_holder():
                await asyncio.sleep(RETRY_S)
                continue
            await wait_for_store()
            if not await self._wait_for_expiry(has_live_holder, hosts()):
                continue
            try:
                await self._try_acquire()
            except store.StoreError as error:
                self._log.event('lease_unread', reason=str(error))
                scale = max(1.0, hosts() / UNSCALED_RETRY_HOSTS)
                await asyncio.sleep(scale * RETRY_S * (1 + random.random()))
            except store.ConflictError:
                # Another was faster.
                await asyncio.sleep(LEASE_S / 2)

    async def _wait_for_expiry(
        self, has_live_holder: typing.Callable[[], bool], hosts: int
    ) -> bool:
        """Wait until the lease may be free; False: another holder is heard.

        Of many hosts the first that asks takes it, and the others hear of
        that before they have asked.
        """
        jitter_s = JITTER_PER_HOST_S * hosts * random.random()
        while clock.now() < self._next_attempt_at + jitter_s:
            if has_live_holder():
                return False
            left_s = self._next_attempt_at + jitter_s - clock.now()
            await asyncio.sleep(min(POLL_INTERVAL_S, max(0.0, left_s)))
        return not has_live_holder()

    async def renew(self) -> None:
        """Renew the lease until it is lost."""
        while self.is_held:
            await asyncio.sleep(
                RENEWAL_INTERVAL_S * (0.9 + 0.2 * random.random())
            )
            try:
                await self._write(self._host_id)
            except store.StoreError as error:
                self._log.event('lease_not_renewed', reason=str(error))
                await asyncio.sleep(RETRY_S)
            except store.ConflictError as error:
                if not self._adopt_own_write(error.item):
                    self._log.event('lease_lost')
                    self.held_until = 0.0
                    return

    async def resign(self) -> None:
        """Give the lease back, so that another need not wait."""
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
        if item is None:
            await self._create()
            return
        spec = item.get('spec') or {}
        self.holder_id = str(spec.get('holder', ''))
        self._count = int(spec.get('count', 0))
        self._revision = item['metadata']['rev']
        # A process that started at the holder's own address replaces it.
        own = self.holder_id == self._host_id and spec.get('ip') == self._ip
        if self._revision != self._seen_revision:
            self._record_seen(self._revision)
        if self.holder_id and not own and clock.now() < self._seen_expiry:
            self._next_attempt_at = self._seen_expiry
            return
        former = self.holder_id
        self.was_last_holder = spec.get('incarnation') == self._incarnation
        await self._write(self._host_id)
        self._log.event('lease_taken', former=former, count=self._count)

    def _record_seen(self, revision: int) -> None:
        self._seen_revision = revision
        self._seen_since = clock.now()
        self._next_attempt_at = self._seen_expiry

    @property
    def _seen_expiry(self) -> float:
        """When the lease has run out if it is not renewed again."""
        return self._seen_since + LEASE_S + MARGIN_S

    async def _create(self) -> None:
        sent_at = clock.now()
        item = await self._client.create(
            names.LEASES_KIND,
            LEASE_NAME,
            self._spec(self._host_id),
            CALL_TIMEOUT_S,
        )
        self._record_write(item, sent_at)
        self._log.event('lease_taken', former='', count=self._count)

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
        }

    def _record_write(self, item: typing.Any, sent_at: float) -> None:
        self._revision = item['metadata']['rev']
        self.holder_id = self._host_id
        self.held_until = sent_at + LEASE_S

    def _adopt_own_write(self, item: typing.Any) -> bool:
        """Take over the revision of a write whose answer was lost."""
        if not isinstance(item, dict):
            return False
        spec = item.get('spec') or {}
        if spec.get('incarnation') != self._incarnation:
            return False
        self._revision = item['metadata']['rev']
        self._count = max(self._count, int(spec.get('count', 0)))
        return bool(spec.get('holder'))
