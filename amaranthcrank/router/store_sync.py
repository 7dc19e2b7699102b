"""Keeps the host's state in sync with the platform's store.

Each kind of object is listed once and then watched. While the store cannot be
reached, the last known state stays in use.
"""

import asyncio
import random
import time
import typing

from amaranthcrank.platform import store
from amaranthcrank.router import clock
from amaranthcrank.router import event_log
from amaranthcrank.router import reader_election
from amaranthcrank.router import store_availability

# Longest wait of a watch without changes. It is long because each call costs
# money; TCP keep-alive detects a broken connection meanwhile. It ends well
# before the store discards the revision from which the watch started.
WATCH_WAIT_S = 15.0
CALL_TIMEOUT_S = 1.5
FIRST_PAUSE_S = 0.1
# Short, because the sooner a host reads the store after an outage, the better
# it can determine which entries expired in it.
MAX_PAUSE_S = 0.4
# Longest time for which retries of one kind wait until reads of another kind
# succeed.
MAX_GATE_S = 3.0
GATE_CHECK_S = 0.1
# Interval at which a host that is not the reader checks whether it should read
# the store. Not shorter, because each check wakes the process.
ELECTION_CHECK_S = 0.2

Pause = typing.Callable[[bool], typing.Awaitable[None]]
RetryGate = typing.Callable[[], typing.Awaitable[None]]


class Reachability:
    """Whether the store is reachable, as seen by the reads of one kind.

    Attributes:
      unreachable_since: When the store became unreachable, by `clock.now`;
        None while it is reachable.
      on_unreachable: Called with `unreachable_since` when the store becomes
        unreachable.
    """

    def __init__(
        self,
        kind: str,
        log: event_log.EventLog,
        on_recovered: typing.Callable[[float], None] | None = None,
    ) -> None:
        """Start as reachable.

        Args:
          kind: The kind of object that is read.
          log: Logs when the store becomes unreachable or reachable.
          on_recovered: Called when the store is reachable again, with the
            time at which it had become unreachable.
        """
        self.unreachable_since: float | None = None
        self._kind = kind
        self._log = log
        self._on_recovered = on_recovered
        self.on_unreachable: list[typing.Callable[[float], None]] = []

    def record_answer(self) -> None:
        """Record that the store answered."""
        if self.unreachable_since is None:
            return
        unreachable_since, self.unreachable_since = (
            self.unreachable_since,
            None,
        )
        away_s = clock.now() - unreachable_since
        self._log.event(
            'store_regained', kind=self._kind, away_s=round(away_s, 2)
        )
        if self._on_recovered is not None:
            self._on_recovered(unreachable_since)

    def record_failure(self, reason: str, silent: bool) -> None:
        """Record that a call to the store failed.

        Args:
          reason: The error.
          silent: Whether the call failed because the store sent nothing, so
            that it became unreachable some time before the failure.
        """
        if self.unreachable_since is not None:
            return
        silent_s = store_availability.SILENCE_DETECTION_S if silent else 0.0
        self.unreachable_since = clock.now() - silent_s
        self._log.event('store_lost', kind=self._kind, reason=reason)
        for listener in self.on_unreachable:
            listener(self.unreachable_since)


def gate_on(first: Reachability) -> RetryGate:
    """Return a gate that delays retries while reads of another kind fail.

    Retries of one kind are enough to detect that the store is reachable again,
    and each call costs money. The reads of the first kind also get the full
    bandwidth of the link then.
    """

    async def retry_gate() -> None:
        end_at = time.monotonic() + MAX_GATE_S
        while (
            first.unreachable_since is not None and time.monotonic() < end_at
        ):
            await asyncio.sleep(GATE_CHECK_S)

    return retry_gate


async def no_gate() -> None:
    """Return at once: retries do not depend on another kind."""


class RetryBackoff:
    """Pauses after failed reads, longer each time."""

    def __init__(self, retry_gate: RetryGate) -> None:
        """Start with the shortest pause.

        Args:
          retry_gate: Awaited before each retry.
        """
        self._retry_gate = retry_gate
        self._pause_s = FIRST_PAUSE_S
        self._expedited = asyncio.Event()

    def expedite(self) -> None:
        """End the current pause soon, as other hosts can reach the store."""
        self._expedited.set()

    def reset(self) -> None:
        """Go back to the shortest pause after a successful read."""
        self._pause_s = FIRST_PAUSE_S

    async def wait(self, scale: float = 1.0) -> None:
        """Wait until the next retry; the pause is multiplied by the scale."""
        pause_s = scale * self._pause_s * (0.5 + random.random())
        self._expedited.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._expedited.wait()
            # Random delay, so that hosts that receive the same datagram do
            # not all read at the same time.
            await asyncio.sleep(
                reader_election.EXPEDITED_SPREAD_S * random.random()
            )
        except TimeoutError:
            self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2)
        await self._retry_gate()


def pause_after_changes(pause_s: typing.Callable[[], float]) -> Pause:
    """Return a pause that applies after changes only.

    Changes often come in series, and each call costs money: the pause lets
    the next watch return several of them.
    """

    async def pause(changed: bool) -> None:
        if changed:
            await asyncio.sleep(pause_s())

    return pause


class Sink(typing.NamedTuple):
    """Callbacks for the objects and changes that a follower reads.

    Attributes:
      on_list: Called with all objects by name and the revision of the list:
        at first, and whenever changes may have been missed.
      on_changes: Called with the revision before the changes, the revision
        after them, and the changes.
    """

    on_list: typing.Callable[[dict[str, typing.Any], int], None]
    on_changes: typing.Callable[
        [int, int, typing.Sequence[store.Change]], None
    ]


class Follower:
    """Follows all objects of a kind, by own reads or updates of other hosts.

    Attributes:
      revision: The revision up to which the kind is known; None before the
        first list, and when the store has discarded the changes since.
      election: Decides whether this host reads the store.
    """

    def __init__(
        self,
        client: store.Client,
        kind: str,
        sink: Sink,
        reachability: Reachability,
        log: event_log.EventLog,
        election: reader_election.ReaderElection,
        pause: Pause,
        retry_gate: RetryGate,
        stale_start: bool = False,
    ) -> None:
        """Set up a follower of one kind.

        Args:
          client: The client of the store.
          kind: The kind.
          sink: The callbacks for what is read.
          reachability: Records whether the store is reachable.
          log: Logs when the store has discarded changes that were not read.
          election: Decides whether this host reads the store.
          pause: Awaited after each successful read, with whether there were
            changes.
          retry_gate: Awaited before each retry of a failed read.
          stale_start: Whether the first list may be seconds old, which costs
            less; the watch that follows at once brings what is missing.
        """
        self.revision: int | None = None
        self._allow_stale = stale_start
        self.election = election
        self._client = client
        self._kind = kind
        self._sink = sink
        self._reachability = reachability
        self._log = log
        self._pause = pause
        self._backoff = RetryBackoff(retry_gate)
        self._is_new = True
        self._must_list = True

    async def follow(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            if not self.election.should_read():
                await asyncio.sleep(ELECTION_CHECK_S)
                continue
            self.election.begin_read()
            try:
                changed = await self._read()
                self._backoff.reset()
                await self._pause(changed)
            except store.RevisionExpiredError:
                self._log.event(
                    'history_gone', kind=self._kind, revision=self.revision
                )
                self._reachability.record_answer()
                self.revision = None
            except (store.StoreError, store.ConflictError) as error:
                self._on_failure(error)
                await self._backoff.wait(self.election.backoff_scale)

    def advance(
        self,
        from_revision: int | None,
        revision: int,
        apply: typing.Callable[[], None] | None,
    ) -> bool:
        """Advance to a revision that another host has read.

        Args:
          from_revision: The revision before the changes; None for a list.
          revision: The revision after the changes.
          apply: Applies the changes; None if they were too long to send.

        Returns:
          Whether this host is now at least at that revision; False if the
          changes could not be used.
        """
        if self.revision is None or revision < self.revision:
            return False
        if revision == self.revision:
            return True
        if (
            from_revision is None
            or from_revision > self.revision
            or apply is None
        ):
            return False
        apply()
        self.revision = revision
        return True

    def expedite(self) -> None:
        """Read soon, as another host read changes that it could not send."""
        self.election.expedite()
        self._backoff.expedite()

    async def _read(self) -> bool:
        """Read the list or watch; return whether there were changes."""
        if self.revision is None or self._must_list:
            await self._read_list()
            return False
        from_revision = self.revision
        changes, revision = await self._client.watch(
            self._kind, from_revision, self._watch_s(), CALL_TIMEOUT_S
        )
        self._reachability.record_answer()
        if self.revision is not None and revision < self.revision:
            # Meanwhile another host has sent these changes and later ones.
            return False
        self._sink.on_changes(from_revision, revision, changes)
        self.revision = revision
        return bool(changes)

    async def _read_list(self) -> None:
        listing = await self._client.list_all(
            self._kind, CALL_TIMEOUT_S, self._allow_stale
        )
        self._allow_stale = False
        self._reachability.record_answer()
        self._must_list = False
        self._is_new = True
        if self.revision is not None and listing.revision < self.revision:
            # Meanwhile another host has sent later changes.
            return
        self._sink.on_list(listing.item_by_name, listing.revision)
        self.revision = listing.revision

    def _watch_s(self) -> float:
        is_new = self._is_new
        self._is_new = False
        # A host that has just listed may not know the other hosts of its
        # failure domain yet, so its first watch is short.
        if self.election.is_enabled or is_new:
            return reader_election.READER_WATCH_S
        return WATCH_WAIT_S

    def _on_failure(
        self, error: store.StoreError | store.ConflictError
    ) -> None:
        silent = isinstance(error, store.StoreError) and error.silent
        self._reachability.record_failure(str(error), silent)
        if self.election.is_enabled:
            # Hosts that can reach the store send the changes from here on.
            return
        # A watch may have missed changes before it failed; a list shows
        # them.
        self._must_list = True
