"""Keeps the host's beliefs in step with the platform's store.

Each kind of object is listed once and then watched. While the store is away
the beliefs hold as they are.
"""

import asyncio
import random
import time
import typing

from amaranthcrank.platform import store
from amaranthcrank.router import event_log

# A watch that waits is held open by TCP keep-alive, so it may wait long:
# each call is paid for. It ends well before the store forgets the revision
# that it waits from.
WATCH_WAIT_S = 15.0
CALL_TIMEOUT_S = 1.5
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# A silent connection is noticed this late.
SILENCE_S = 3.0
# A kind that waits for another's reads to succeed tries by itself in the end.
LONGEST_TURN_S = 3.0
TURN_CHECK_S = 0.1

OnList = typing.Callable[[dict[str, typing.Any]], None]
OnChange = typing.Callable[[store.Change], None]
Pause = typing.Callable[[bool], typing.Awaitable[None]]
Turn = typing.Callable[[], typing.Awaitable[None]]


class Contact:
    """Whether the store answers, as seen by one watch.

    Attributes:
      lost_at: Since when it does not, or None.
      confirmed_at: When it last answered, monotonic seconds.
    """

    def __init__(
        self,
        kind: str,
        log: event_log.EventLog,
        on_back: typing.Callable[[float], None] | None = None,
    ) -> None:
        """Start without an answer."""
        self.lost_at: float | None = None
        self.confirmed_at = 0.0
        self._kind = kind
        self._log = log
        self._on_back = on_back

    def note_answer(self) -> None:
        """Learn that the store answered."""
        now = time.monotonic()
        self.confirmed_at = now
        if self.lost_at is None:
            return
        away_s = now - self.lost_at
        self.lost_at = None
        self._log.event(
            'store_regained', kind=self._kind, away_s=round(away_s, 2)
        )
        if self._on_back is not None:
            self._on_back(away_s)

    def note_failure(self, reason: str, silent: bool) -> None:
        """Learn that the store did not answer."""
        if self.lost_at is not None:
            return
        self.lost_at = time.monotonic() - (SILENCE_S if silent else 0.0)
        self._log.event('store_lost', kind=self._kind, reason=reason)


def behind(first: Contact) -> Turn:
    """Return a wait while a first kind's own reads fail.

    One kind that is tried shows whether the store is back: each call is
    paid for. What the first kind's readers wait for also has the link to
    themselves then.
    """

    async def turn() -> None:
        end_at = time.monotonic() + LONGEST_TURN_S
        while first.lost_at is not None and time.monotonic() < end_at:
            await asyncio.sleep(TURN_CHECK_S)

    return turn


def is_silence(reason: str) -> bool:
    """Tell whether a call failed because nothing came in time."""
    return 'time' in reason


def gather(pause_s: typing.Callable[[], float]) -> Pause:
    """Return a pause after changes only.

    They often come in series, and each call is paid for.
    """

    async def pause(changed: bool) -> None:
        if changed:
            await asyncio.sleep(pause_s())

    return pause


async def follow(
    client: store.Client,
    kind: str,
    on_list: OnList,
    on_change: OnChange,
    contact: Contact,
    log: event_log.EventLog,
    pause: Pause,
    turn: Turn,
    wait_s: float = WATCH_WAIT_S,
) -> None:
    """Follow all objects of a kind, for ever.

    Args:
      client: The store's client.
      kind: The kind.
      on_list: Takes all objects, at first and whenever history was lost.
      on_change: Takes each change after that.
      contact: Learns whether the store answers.
      log: Where faults are logged.
      pause: Waited for before each watch; told whether there were changes.
      turn: Waited for before each try after a failed one.
      wait_s: How long a watch waits for a change.
    """
    revision: int | None = None
    pause_s = FIRST_PAUSE_S
    while True:
        try:
            if revision is None:
                listing = await client.list_all(kind, CALL_TIMEOUT_S)
                contact.note_answer()
                on_list(listing.item_by_name)
                revision = listing.revision
                await pause(False)
            changes, next_revision = await client.watch(
                kind, revision, wait_s, CALL_TIMEOUT_S
            )
            contact.note_answer()
            for change in changes:
                on_change(change)
            revision = next_revision
            pause_s = FIRST_PAUSE_S
            await pause(bool(changes))
        except store.HistoryGoneError:
            log.event('history_gone', kind=kind, revision=revision)
            contact.note_answer()
            revision = None
        except (store.StoreError, store.ConflictError) as error:
            contact.note_failure(str(error), is_silence(str(error)))
            # A watch may have missed changes before it broke off: the list
            # tells.
            revision = None
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            pause_s = min(LONGEST_PAUSE_S, pause_s * 1.5)
            await turn()
