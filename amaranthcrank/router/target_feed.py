"""Follows what the targets say of themselves, and tells other hosts of it.

In a failure domain of many hosts one reads from the store and passes the
changes on by datagram. A host that missed one, or to which a change was too
long to send, reads itself. A host that lost the store asks others, wherever
they are.
"""

import functools
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.router import catch_up
from amaranthcrank.router import change_history
from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import event_log
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import reading_rota
from amaranthcrank.router import store_absence
from amaranthcrank.router import store_sync

# Targets that start report several times within their first seconds.
GATHER_S = 0.5
# With more hosts than these, where each reads for itself, each asks more
# seldom, as the store's rate is shared, but within this part of the time for
# which a target that leaves may still get requests.
GATHER_HOSTS = 30
GATHER_DRAIN_SHARE = 0.4


class TargetFeed:
    """Brings the targets' entries to the directory."""

    def __init__(
        self,
        client: store.Client,
        targets: directory.Directory,
        talk: peers.Peers,
        log: event_log.EventLog,
        turn: store_sync.Turn,
        rota: reading_rota.ReadingRota,
        absence: store_absence.StoreAbsence,
    ) -> None:
        """Follow the targets for one host.

        Args:
          client: The store's client.
          targets: Takes the targets.
          talk: Sends to and hears from the other hosts.
          log: Where rejected entries are logged.
          turn: Waited for before each try after a failed one.
          rota: Tells whether it is this host's turn to read.
          absence: Learns of losses of the store.
        """
        self._history = client.history
        self._targets = targets
        self._talk = talk
        self._log = log
        self._contact = store_sync.Contact(
            names.TARGETS_KIND, log, absence.note_back
        )
        self._follower = store_sync.Follower(
            client,
            names.TARGETS_KIND,
            store_sync.Sink(self._take_list, self._take_changes),
            self._contact,
            log,
            rota,
            store_sync.gather(self._gather_s),
            turn,
        )
        self._contact.on_lost.append(self._note_lost)
        self._catch_up = catch_up.CatchUp(
            talk,
            self._contact,
            lambda: self._follower.revision,
            self._advance,
            log,
        )
        talk.handler_by_kind[peers.TARGETS] = self._hear

    async def follow(self) -> None:
        """Follow the targets, for ever."""
        await self._follower.follow()

    def _gather_s(self) -> float:
        if self._follower.rota.is_shared:
            return GATHER_S
        hosts = self._talk.count_all()
        wanted_s = GATHER_S * max(1.0, hosts / GATHER_HOSTS)
        return min(wanted_s, GATHER_DRAIN_SHARE * self._targets.drain_s)

    def _note_lost(self, lost_at: float) -> None:
        self._targets.mark_stale(clock.now() - lost_at)

    def _take_list(
        self, item_by_name: dict[str, typing.Any], revision: int
    ) -> None:
        found = []
        for name, item in item_by_name.items():
            entry = self._decode(name, item)
            if entry is not None:
                found.append(entry)
        self._targets.replace_all(found)
        self._targets.mark_current()
        self._catch_up.history.start(revision)
        if self._follower.rota.is_shared:
            self._tell(None, revision, ())

    def _take_changes(
        self,
        former: int,
        revision: int,
        changes: typing.Sequence[store.Change],
    ) -> None:
        decoded = [self._decode_change(change) for change in changes]
        self._apply(former, revision, decoded)
        self._targets.mark_current()
        if self._follower.rota.is_shared:
            self._tell(former, revision, decoded)

    def _apply(
        self,
        former: int,
        revision: int,
        changes: typing.Sequence[change_history.EntryChange],
    ) -> None:
        for change in changes:
            self._put(change)
        if self._targets.removals_may_be_lapses:
            # Entries of living targets may have lapsed.
            self._catch_up.history.forget()
            return
        self._catch_up.history.note(former, revision, changes)

    def _put(self, change: change_history.EntryChange) -> None:
        if change.entry is None:
            self._targets.remove(change.target_id)
            return
        self._targets.put(change.entry)

    def _decode_change(
        self, change: store.Change
    ) -> change_history.EntryChange:
        entry = None
        if not change.deleted:
            entry = self._decode(change.name, change.item)
        return change_history.EntryChange(change.name, entry)

    def _decode(self, name: str, item: typing.Any) -> model.TargetEntry | None:
        try:
            return entries.decode_target(name, item)
        except entries.EntryError as error:
            self._log.event('entry_rejected', name=name, error=str(error))
            return None

    def _tell(
        self,
        former: int | None,
        revision: int,
        changes: typing.Sequence[change_history.EntryChange],
    ) -> None:
        """Tell the failure domain what was read just now."""
        failed_ms = self._history.failed_ms()
        content: list[typing.Any] = [former, revision, changes, failed_ms]
        if not self._talk.fits(peers.TARGETS, content):
            content = [former, revision, None, failed_ms]
        self._talk.send_nearby(peers.TARGETS, content)

    def _hear(self, host_id: str, content: typing.Any) -> None:
        """Take what a neighbour has read just now."""
        if not isinstance(content, list) or len(content) != 4:
            return
        former, revision, told, failed_ms = content
        # The store is not away, even where it does not answer this host.
        self._history.note_answer_to_other(failed_ms)
        self._contact.note_answer()
        if self._advance(former, revision, told):
            self._targets.mark_current()
            self._follower.rota.note_heard(host_id)
            return
        if revision > (self._follower.revision or 0):
            self._follower.hurry()

    def _advance(
        self,
        former: int | None,
        revision: int,
        told: typing.Sequence[typing.Any] | None,
    ) -> bool:
        take = None
        if told is not None:
            changes = [change_history.decode_change(each) for each in told]
            take = functools.partial(self._apply, former, revision, changes)
        return self._follower.advance(former, revision, take)
