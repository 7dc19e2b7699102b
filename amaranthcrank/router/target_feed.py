"""Follows the targets' entries in the store and shares them between hosts.

In a failure domain with many hosts, one elected host reads the store and
sends the changes to the others by datagram. A host that missed a datagram, or
for which a change did not fit into one, reads the store itself. A host that
cannot reach the store polls other hosts, of any failure domain.
"""

import functools
import typing

from amaranthcrank.platform import entries
from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.platform import store_position
from amaranthcrank.router import catch_up
from amaranthcrank.router import change_history
from amaranthcrank.router import change_parts
from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import event_log
from amaranthcrank.router import message_kinds
from amaranthcrank.router import model
from amaranthcrank.router import outage_grace
from amaranthcrank.router import peers
from amaranthcrank.router import reader_election
from amaranthcrank.router import rejection_log
from amaranthcrank.router import store_sync

# Pause after changes before the next watch: a starting target updates its
# entry several times within its first seconds.
BATCH_S = 0.5
# Where every host reads the store and there are more hosts than this, the
# pause grows with the number of hosts, because they share the store's call
# rate. It stays within this share of the drain time, for which a draining
# target may still get requests.
BATCH_HOSTS = 30
BATCH_DRAIN_SHARE = 0.4


class TargetFeed:
    """Keeps the directory up to date with the targets' entries."""

    def __init__(
        self,
        client: store.Client,
        targets: directory.Directory,
        messenger: peers.Messenger,
        log: event_log.EventLog,
        retry_gate: store_sync.RetryGate,
        election: reader_election.ReaderElection,
        grace: outage_grace.OutageGrace,
    ) -> None:
        """Set up the feed of one host.

        Args:
          client: The client of the store.
          targets: The directory to update.
          messenger: Exchanges datagrams with the other hosts.
          log: Logs entries that could not be decoded.
          retry_gate: Awaited before each retry of a failed read.
          election: Decides whether this host reads the store.
          grace: Notified when the store is reachable again, or was restored.
        """
        self._client = client
        self._grace = grace
        # The era of the last list; None before the first one.
        self._era: int | None = None
        self._availability = client.availability
        self._targets = targets
        self._messenger = messenger
        self._parts = change_parts.PartAssembler()
        self._rejections = rejection_log.RejectionLog(log)
        self._reachability = store_sync.Reachability(
            names.TARGETS_KIND, log, grace.on_recovered
        )
        self._follower = store_sync.Follower(
            client,
            names.TARGETS_KIND,
            store_sync.Sink(self._on_list, self._on_changes),
            self._reachability,
            log,
            election,
            store_sync.pause_after_changes(self._batch_s),
            retry_gate,
            stale_start=True,
        )
        self._reachability.on_unreachable.append(self._on_unreachable)
        self._catch_up = catch_up.CatchUp(
            messenger,
            self._reachability,
            lambda: self._follower.revision,
            self._advance,
            log,
        )
        messenger.handler_by_kind[message_kinds.TARGETS] = self._on_domain_read

    async def follow(self) -> None:
        """Follow the targets until cancelled."""
        await self._follower.follow()

    def _batch_s(self) -> float:
        if self._follower.election.is_enabled:
            return BATCH_S
        hosts = self._messenger.count_all()
        wanted_s = BATCH_S * max(1.0, hosts / BATCH_HOSTS)
        return min(wanted_s, BATCH_DRAIN_SHARE * self._targets.drain_s)

    def _on_unreachable(self, unreachable_since: float) -> None:
        self._targets.mark_stale(clock.now() - unreachable_since)

    def _on_list(
        self, item_by_name: dict[str, typing.Any], revision: int
    ) -> None:
        found = []
        for name, item in item_by_name.items():
            entry = self._decode(name, item)
            if entry is not None:
                found.append(entry)
        era = store_position.era_of(revision)
        if self._era is not None and era > self._era:
            self._grace.on_restored(self._client.era_seen_at)
        self._era = era
        self._targets.replace_all(found)
        self._targets.mark_current()
        self._catch_up.history.reset(revision)
        if self._follower.election.is_enabled:
            self._notify_domain(None, revision, ())

    def _on_changes(
        self,
        from_revision: int,
        revision: int,
        changes: typing.Sequence[store.Change],
    ) -> None:
        decoded = [self._decode_change(change) for change in changes]
        self._apply(from_revision, revision, decoded)
        self._targets.mark_current()
        if self._follower.election.is_enabled:
            self._notify_domain(from_revision, revision, decoded)

    def _apply(
        self,
        from_revision: int,
        revision: int,
        changes: typing.Sequence[change_history.EntryChange],
    ) -> None:
        for change in changes:
            self._put(change)
        if self._targets.removals_may_be_expiries:
            # Entries of live targets may have expired during an outage, so
            # other hosts must not be notified of removals.
            self._catch_up.history.clear()
            return
        self._catch_up.history.record(from_revision, revision, changes)

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
            self._rejections.record(
                name, entries.revision_of(item), str(error)
            )
            return None

    def _notify_domain(
        self,
        from_revision: int | None,
        revision: int,
        changes: typing.Sequence[change_history.EntryChange],
    ) -> None:
        """Send what was just read to the hosts of the failure domain."""
        failed_ms = self._availability.failed_ms()

        def content(
            index: int, count: int, part: change_parts.Part | None
        ) -> list[typing.Any]:
            return [from_revision, revision, index, count, part, failed_ms]

        def fits(part: change_parts.Part) -> bool:
            return self._messenger.fits(
                message_kinds.TARGETS, content(0, 1, part)
            )

        parts: tuple[change_parts.Part | None, ...] = ()
        if from_revision is not None:
            parts = change_parts.split(changes, fits)
        # Without the changes, the other hosts read them from the store.
        parts = parts or (None,)
        for index, part in enumerate(parts):
            self._messenger.send_in_domain(
                message_kinds.TARGETS, content(index, len(parts), part)
            )

    def _on_domain_read(self, host_id: str, content: typing.Any) -> None:
        """Apply what another host of the failure domain has just read."""
        from_revision, revision, index, count, part, failed_ms = content
        # Missing entries are kept from when a restore is first known.
        self._client.record_position(revision)
        # The store is available, even if this host cannot reach it.
        self._availability.record_answer_to_other(failed_ms)
        self._reachability.record_answer()
        encoded = part
        if part is not None:
            change = (host_id, from_revision, revision)
            encoded = self._parts.add(change, index, count, part)
            if encoded is None:
                # The other parts follow.
                return
        if self._advance(from_revision, revision, encoded):
            self._targets.mark_current()
            self._follower.election.record_read_by(host_id)
            return
        if revision > (self._follower.revision or 0):
            self._follower.expedite()

    def _advance(
        self,
        from_revision: int | None,
        revision: int,
        encoded: typing.Sequence[typing.Any] | None,
    ) -> bool:
        apply = None
        if encoded is not None:
            changes = [change_history.decode_change(each) for each in encoded]
            apply = functools.partial(
                self._apply, from_revision, revision, changes
            )
        return self._follower.advance(from_revision, revision, apply)
