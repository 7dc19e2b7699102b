"""Lets a host without access to the store get changes from other hosts.

The store may be unreachable for one host and serve the others. Other hosts,
in any failure domain, know which targets join and depart meanwhile.
"""

import typing

from amaranthcrank.router import change_history
from amaranthcrank.router import change_parts
from amaranthcrank.router import event_log
from amaranthcrank.router import message_kinds
from amaranthcrank.router import peer_polling
from amaranthcrank.router import peers
from amaranthcrank.router import store_sync


class CatchUp:
    """Polls other hosts for changes of targets, and replies to such polls.

    Attributes:
      history: The changes that this host can send. It must hold only changes
        that were read while the store was certainly available.
    """

    def __init__(
        self,
        messenger: peers.Messenger,
        reachability: store_sync.Reachability,
        revision: typing.Callable[[], int | None],
        apply: typing.Callable[[int, int, change_parts.Part], bool],
        log: event_log.EventLog,
    ) -> None:
        """Set up polling and the replies of one host.

        Args:
          messenger: Exchanges datagrams with the other hosts.
          reachability: Whether this host can reach the store.
          revision: Returns the revision up to which this host knows the
            targets.
          apply: Applies the changes after one revision and up to another;
            returns False if they could not be applied.
          log: Logs each set of changes that was applied.
        """
        self.history = change_history.ChangeHistory()
        self._messenger = messenger
        self._reachability = reachability
        self._poller = peer_polling.PeerPoller(
            messenger, reachability, message_kinds.CHANGES_AFTER, revision
        )
        self._revision = revision
        self._apply = apply
        self._log = log
        self._parts = change_parts.PartAssembler()
        messenger.handler_by_kind[message_kinds.CHANGES_AFTER] = (
            self._on_changes_after
        )
        messenger.handler_by_kind[message_kinds.CHANGES] = self._on_changes

    def _on_changes_after(self, host_id: str, content: typing.Any) -> None:
        if self._reachability.unreachable_since is not None:
            return
        found = self.history.changes_after(content, self._fits)
        if found is None:
            return
        parts = self._split(found)
        for index, part in enumerate(parts):
            message = [
                found.from_revision,
                found.revision,
                index,
                len(parts),
                part,
            ]
            self._messenger.send(host_id, message_kinds.CHANGES, message)

    def _fits(self, changes: change_history.Changes) -> bool:
        return bool(self._split(changes))

    def _split(
        self, found: change_history.Changes
    ) -> tuple[change_parts.Part, ...]:
        def fits(part: change_parts.Part) -> bool:
            message = [found.from_revision, found.revision, 0, 0, part]
            return self._messenger.fits(message_kinds.CHANGES, message)

        return change_parts.split(found.changes, fits)

    def _on_changes(self, host_id: str, content: typing.Any) -> None:
        if self._reachability.unreachable_since is None:
            return
        from_revision, revision, index, count, part = content
        known_revision = self._revision()
        if known_revision is None or revision <= known_revision:
            return
        change = (host_id, from_revision, revision)
        changes = self._parts.add(change, index, count, part)
        if changes is None:
            return
        if self._apply(from_revision, revision, changes):
            self._log.event(
                'changes_told',
                by=host_id,
                revision=revision,
                targets=len(changes),
            )
