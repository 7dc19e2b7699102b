"""Keeps the host's beliefs in step with the platform's store.

Each kind of object is listed once and then watched. While the store is away
the beliefs hold as they are.
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

# A watch that waits is held open by TCP keep-alive, so it may wait long:
# each call is paid for. It ends well before the store forgets the revision
# that it waits from.
WATCH_WAIT_S = 15.0
CALL_TIMEOUT_S = 1.5
FIRST_PAUSE_S = 0.1
# The sooner a host has the store back, the better it knows which entries
# lapsed in an outage.
MAX_PAUSE_S = 0.4
# A kind that waits for another's reads to succeed tries by itself in the end.
MAX_GATE_S = 3.0
GATE_CHECK_S = 0.1
# Each check wakes the process.
DUE_CHECK_S = 0.2

Pause = typing.Callable[[bool], typing.Awaitable[None]]
RetryGate = typing.Callable[[], typing.Awaitable[None]]


class Reachability:
    """Whether the store answers, as seen by one watch.

    Attributes:
      lost_at: Since when it does not, by `clock.now`, or None.
      on_lost: Called when it no longer answers, with the time since when.
    """

    def __init__(
        self,
        kind: str,
        log: event_log.EventLog,
        on_recovered: typing.Callable[[float], None] | None = None,
    ) -> None:
        """Start without an answer.

        Args:
          kind: The kind that is watched.
          log: Takes losses and returns.
          on_back: Called when the store answers again, with the time since
            when it did not.
        """
        self.lost_at: float | None = None
        self._kind = kind
        self._log = log
        self._on_recovered = on_recovered
        self.on_lost: list[typing.Callable[[float], None]] = []

    def record_answer(self) -> None:
        """Learn that the store answered."""
        if self.lost_at is None:
            return
        lost_at, self.lost_at = self.lost_at, None
        away_s = clock.now() - lost_at
        self._log.event(
            'store_regained', kind=self._kind, away_s=round(away_s, 2)
        )
        if self._on_recovered is not None:
            self._on_recovered(lost_at)

    def record_failure(self, reason: str, silent: bool) -> None:
        """Learn that the store did not answer.

        Args:
          reason: Why.
          silent: Whether nothing came from it for a while before.
        """
        if self.lost_at is not None:
            return
        silent_s = store_availability.SILENCE_DETECTION_S if silent else 0.0
        self.lost_at = clock.now() - silent_s
        self._log.event('store_lost', kind=self._kind, reason=reason)
        for listener in self.on_lost:
            listener(self.lost_at)


def gate_on(first: Reachability) -> RetryGate:
    """Return a wait while a first kind's own reads fail.

    One kind that is tried shows whether the store is back: each call is
    paid for. What the first kind's readers wait for also has the link to
    themselves then.
    """

    async def retry_gate() -> None:
        end_at = time.monotonic() + MAX_GATE_S
        while first.lost_at is not None and time.monotonic() < end_at:
            await asyncio.sleep(GATE_CHECK_S)

    return retry_gate


async def no_gate() -> None:
    """Wait for no other kind."""


class RetryBackoff:
    """Pauses after reads that failed, longer each time."""

    def __init__(self, retry_gate: RetryGate) -> None:
        """Start with the shortest pause.

        Args:
          turn: Waited for before each try after a failed one.
        """
        self._retry_gate = retry_gate
        self._pause_s = FIRST_PAUSE_S
        self._expedited = asyncio.Event()

    def expedite(self) -> None:
        """End a pause soon: the store answers others."""
        self._expedited.set()

    def reset(self) -> None:
        """Learn that a read succeeded."""
        self._pause_s = FIRST_PAUSE_S

    async def wait(self, scale: float = 1.0) -> None:
        """Wait until the next try; a scale makes the pause longer."""
        pause_s = scale * self._pause_s * (0.5 + random.random())
        self._expedited.clear()
        try:
            async with asyncio.timeout(pause_s):
                await self._expedited.wait()
            # Hosts that hear the same news do not read together.
            await asyncio.sleep(
                reader_election.EXPEDITED_SPREAD_S * random.random()
            )
        except TimeoutError:
            self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2)
        await self._retry_gate()


def pause_after_changes(pause_s: typing.Callable[[], float]) -> Pause:
    """Return a pause after changes only.

    They often come in series, and each call is paid for.
    """

    async def pause(changed: bool) -> None:
        if changed:
            await asyncio.sleep(pause_s())

    return pause


class Sink(typing.NamedTuple):
    """Takes what a follower reads.

    Attributes:
      take_list: Takes all objects, at first and whenever history was lost,
        and the revision up to which they are known.
      take_changes: Takes the changes after that: from which revision, up to
        which, and what changed between.
    """

    on_list: typing.Callable[[dict[str, typing.Any], int], None]
    on_changes: typing.Callable[
        [int, int, typing.Sequence[store.Change]], None
    ]


class Follower:
    """Follows all objects of a kind, alone or in turns with neighbours.

    Attributes:
      revision: Up to where the kind is known; None before its list was
        read, and where the store has forgotten what changed since.
      rota: Tells whether it is this host's turn to read.
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
    ) -> None:
        """Follow one kind.

        Args:
          client: The store's client.
          kind: The kind.
          sink: Takes what is read.
          contact: Learns whether the store answers.
          log: Where faults are logged.
          rota: Tells whether it is this host's turn to read.
          pause: Waited for before each watch; told whether there were
            changes.
          turn: Waited for before each try after a failed one.
        """
        self.revision: int | None = None
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
        """Follow the kind, for ever."""
        while True:
            if not self.election.should_read():
                await asyncio.sleep(DUE_CHECK_S)
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
        """Take what another host has read; False: it is of no use.

        Args:
          former: From where that host read, None for a list.
          revision: Up to where.
          take: Takes what it read; None if that was too long to send.
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
        """Read soon: a neighbour read what cannot be taken from it."""
        self.election.expedite()
        self._backoff.expedite()

    async def _read(self) -> bool:
        """Read the list, or wait for changes; tell whether there were any."""
        if self.revision is None or self._must_list:
            await self._read_list()
            return False
        from_revision = self.revision
        changes, revision = await self._client.watch(
            self._kind, from_revision, self._watch_s(), CALL_TIMEOUT_S
        )
        self._reachability.record_answer()
        if self.revision is not None and revision < self.revision:
            # A neighbour has told of these, and of more, meanwhile.
            return False
        self._sink.on_changes(from_revision, revision, changes)
        self.revision = revision
        return bool(changes)

    async def _read_list(self) -> None:
        listing = await self._client.list_all(self._kind, CALL_TIMEOUT_S)
        self._reachability.record_answer()
        self._must_list = False
        self._is_new = True
        if self.revision is not None and listing.revision < self.revision:
            # Another host has told of what changed since.
            return
        self._sink.on_list(listing.item_by_name, listing.revision)
        self.revision = listing.revision

    def _watch_s(self) -> float:
        is_new = self._is_new
        self._is_new = False
        # A host that has just begun may have neighbours that it does not
        # know of yet.
        if self.election.is_enabled or is_new:
            return reader_election.READER_WATCH_S
        return WATCH_WAIT_S

    def _on_failure(
        self, error: store.StoreError | store.ConflictError
    ) -> None:
        silent = isinstance(error, store.StoreError) and error.silent
        self._reachability.record_failure(str(error), silent)
        if self.election.is_enabled:
            # Neighbours that are served tell how it goes on from here.
            return
        # A watch may have missed changes before it broke off: the list
        # tells.
        self._must_list = True
