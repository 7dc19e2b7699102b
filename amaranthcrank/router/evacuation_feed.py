"""Follows the evacuated failure domains and shares them between hosts.

In a failure domain with many hosts, one elected host reads the store and
sends the complete set to the others after each read, so a lost datagram is
made up for by the next one. A host that reads a change sends it to all hosts,
because some of them may not reach the store. A host that cannot reach it also
polls other hosts, of any failure domain.
"""

import asyncio
import math
import typing

from amaranthcrank.platform import names
from amaranthcrank.platform import store
from amaranthcrank.platform import store_position
from amaranthcrank.router import clock
from amaranthcrank.router import directory
from amaranthcrank.router import entry_checks
from amaranthcrank.router import event_log
from amaranthcrank.router import message_kinds
from amaranthcrank.router import peer_polling
from amaranthcrank.router import peers
from amaranthcrank.router import reader_election
from amaranthcrank.router import store_sync

# How long a host that is ready otherwise waits for the first list. If the
# store does not return this kind, the host serves without it. After a restart
# callers come before the host reports that it is ready, so until then it also
# sends nothing to targets.
FIRST_LIST_TIMEOUT_S = 2.0
# How long domains stay evacuated that a store lacks which came back from an
# older copy. The operator writes them again, at a time that is not known. A
# domain that is kept needlessly costs less than requests to one that is lost.
RESTORED_KEEP_S = 10.0
# Before anything was read.
NO_REVISION = -1


class EvacuationFeed:
    """Keeps the evacuated failure domains of the directory up to date."""

    def __init__(
        self,
        client: store.Client,
        targets: directory.Directory,
        messenger: peers.Messenger,
        log: event_log.EventLog,
        retry_gate: store_sync.RetryGate,
        election: reader_election.ReaderElection,
    ) -> None:
        """Set up the feed of one host.

        Args:
          client: The client of the store.
          targets: The directory to update.
          messenger: Exchanges datagrams with the other hosts.
          log: Logs whether the store is reachable and was restored.
          retry_gate: Awaited before each retry of a failed read.
          election: Decides whether this host reads the store.
        """
        self._targets = targets
        targets.awaits_evacuations = True
        self._messenger = messenger
        self._log = log
        self._revision = NO_REVISION
        self._domains: frozenset[str] = frozenset()
        # Kept though a restored store lacks them.
        self._kept_domains: frozenset[str] = frozenset()
        self._keep_timer: asyncio.TimerHandle | None = None
        # Start of a time without reads that has just ended.
        self._stale_since: float | None = None
        self._awaited_since: float | None = None
        self._reachability = store_sync.Reachability(
            names.EVACUATIONS_KIND, log, self._on_recovered
        )
        self._follower = store_sync.Follower(
            client,
            names.EVACUATIONS_KIND,
            store_sync.Sink(self._on_list, self._on_changes),
            self._reachability,
            log,
            election,
            store_sync.pause_after_changes(lambda: 0.0),
            retry_gate,
            stale_start=True,
        )
        self._poller = peer_polling.PeerPoller(
            messenger,
            self._reachability,
            message_kinds.EVACUATIONS_AFTER,
            lambda: self._revision,
        )
        handler_by_kind = messenger.handler_by_kind
        handler_by_kind[message_kinds.EVACUATIONS] = self._on_domain_read
        handler_by_kind[message_kinds.EVACUATIONS_CHANGED] = self._on_changed
        handler_by_kind[message_kinds.EVACUATIONS_AFTER] = self._on_after

    async def follow(self) -> None:
        """Follow the evacuations until cancelled."""
        await self._follower.follow()

    def limit_wait(self) -> None:
        """End the wait for the first list after its time-out.

        The time begins with the first call. Call this regularly once the host
        is ready otherwise, so that the store is known to answer.
        """
        now = asyncio.get_running_loop().time()
        if self._awaited_since is None:
            self._awaited_since = now
        if now - self._awaited_since >= FIRST_LIST_TIMEOUT_S:
            self._targets.end_evacuation_wait()

    def _on_recovered(self, unreachable_since: float) -> None:
        self._stale_since = unreachable_since

    def _on_list(
        self, item_by_name: dict[str, typing.Any], revision: int
    ) -> None:
        if revision < self._revision:
            # Meanwhile another host has sent a later set.
            return
        is_first = self._revision == NO_REVISION
        changed = self._apply(frozenset(item_by_name), revision)
        self._send_read(changed and not is_first)

    def _on_changes(
        self,
        from_revision: int,
        revision: int,
        changes: typing.Sequence[store.Change],
    ) -> None:
        if revision < self._revision:
            return
        domains = set(self._domains)
        for change in changes:
            if change.deleted:
                domains.discard(change.name)
                continue
            domains.add(change.name)
        self._send_read(self._apply(frozenset(domains), revision))

    def _apply(self, domains: frozenset[str], revision: int) -> bool:
        """Apply a set that was just read; return whether it has changed."""
        domains = frozenset(filter(entry_checks.is_name, domains))
        self._keep_lost(domains, revision)
        changed = self._targets.evacuate(
            domains | self._kept_domains, self._stale_s()
        )
        self._domains = domains
        self._revision = revision
        self._stale_since = None
        return changed

    def _keep_lost(self, domains: frozenset[str], revision: int) -> None:
        """Keep domains for some time that a restored store has lost."""
        era = store_position.era_of(revision)
        is_first = self._revision == NO_REVISION
        if is_first or era == store_position.era_of(self._revision):
            self._kept_domains -= domains
            return
        self._kept_domains = (self._kept_domains | self._domains) - domains
        if self._keep_timer is not None:
            self._keep_timer.cancel()
        loop = asyncio.get_running_loop()
        self._keep_timer = loop.call_later(RESTORED_KEEP_S, self._end_keep)
        self._log.event(
            'evacuations_restored',
            domains=sorted(domains),
            kept=sorted(self._kept_domains),
        )

    def _end_keep(self) -> None:
        """Drop domains that nobody has evacuated again after a restore."""
        self._kept_domains = frozenset()
        self._targets.evacuate(self._domains, 0.0)

    def _stale_s(self) -> float:
        """Return for how long this host may have missed changes."""
        if self._revision == NO_REVISION:
            return math.inf
        since = self._reachability.unreachable_since
        if since is None:
            since = self._stale_since
        return 0.0 if since is None else clock.now() - since

    def _content(self) -> list[typing.Any]:
        # Names that are too many for a datagram are not sent. The other hosts
        # then read the store after the time-out of the reader.
        return [self._revision, sorted(self._domains)]

    def _send_read(self, changed: bool) -> None:
        """Send what this host has just read."""
        content = self._content()
        if changed:
            self._messenger.send_to_all(
                message_kinds.EVACUATIONS_CHANGED, content
            )
        if self._follower.election.is_enabled:
            self._messenger.send_in_domain(message_kinds.EVACUATIONS, content)

    def _on_domain_read(self, host_id: str, content: typing.Any) -> None:
        """Apply what another host of the failure domain has just read."""
        if not self._accept(content):
            return
        self._reachability.record_answer()
        self._stale_since = None
        self._follower.election.record_read_by(host_id)

    def _on_changed(self, host_id: str, content: typing.Any) -> None:
        """Apply a change that a host of any failure domain has read."""
        self._accept(content)

    def _on_after(self, host_id: str, content: typing.Any) -> None:
        """Reply to the poll of a host that cannot reach the store."""
        if content < self._revision:
            self._messenger.send(
                host_id, message_kinds.EVACUATIONS_CHANGED, self._content()
            )

    def _accept(self, content: typing.Any) -> bool:
        """Apply a set from another host unless a newer one is known."""
        revision, domains = content
        if revision < self._revision:
            return False
        self._apply(frozenset(domains), revision)
        # The set is complete, so it follows any earlier revision.
        self._follower.advance(0, revision, _apply_nothing)
        return True


def _apply_nothing() -> None:
    """Do nothing: the set was applied before."""
