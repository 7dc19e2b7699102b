"""Keeps recent changes of targets' entries, to send them to other hosts."""

import typing

from amaranthcrank.router import model

# How many reads that found changes are kept.
MAX_READS = 60


class EntryChange(typing.NamedTuple):
    """A change of a target's entry.

    Attributes:
      target_id: The target.
      entry: The target's entry, or None if it was removed or cannot be used.
    """

    target_id: str
    entry: model.TargetEntry | None


def decode_change(content: typing.Sequence[typing.Any]) -> EntryChange:
    """Decode a change that another host has sent."""
    target_id, values = content
    if values is None:
        return EntryChange(target_id, None)
    entry = model.TargetEntry(*values)
    address = model.Address(*entry.address)
    return EntryChange(target_id, entry._replace(address=address))


class Changes(typing.NamedTuple):
    """The changes in a range of revisions.

    Attributes:
      from_revision: The revision before the changes.
      revision: The revision after the changes.
      changes: The latest change of each target that changed.
    """

    from_revision: int
    revision: int
    changes: tuple[EntryChange, ...]


class _Read(typing.NamedTuple):
    revision: int
    changes: tuple[EntryChange, ...]


class ChangeHistory:
    """Keeps changes with the revisions between which they were read."""

    def __init__(self) -> None:
        """Start empty."""
        # All changes after this revision are known; None if none are.
        self._known_since: int | None = None
        self._revision = 0
        self._reads: list[_Read] = []

    def reset(self, revision: int) -> None:
        """Start again at the revision of a list; discard earlier changes."""
        self._known_since = revision
        self._revision = revision
        self._reads = []

    def record(
        self,
        from_revision: int,
        revision: int,
        changes: typing.Sequence[EntryChange],
    ) -> None:
        """Record the changes between two revisions."""
        if self._known_since is None or from_revision > self._revision:
            self.reset(from_revision)
        if revision <= self._revision:
            return
        self._revision = revision
        if changes:
            self._reads.append(_Read(revision, tuple(changes)))
        if len(self._reads) > MAX_READS:
            self._known_since = self._reads.pop(0).revision

    def clear(self) -> None:
        """Discard all changes, as the latest ones must not be sent."""
        self._known_since = None
        self._reads = []

    def changes_after(
        self, from_revision: int, fits: typing.Callable[[Changes], bool]
    ) -> Changes | None:
        """Return the changes after a revision.

        Args:
          from_revision: The revision.
          fits: Returns whether changes are short enough to send; if not, the
            later ones are left out.

        Returns:
          The changes; None if there are none, if they are not all known, or
          if those of a single read are too many to send.
        """
        if self._known_since is None or from_revision < self._known_since:
            return None
        reads = [read for read in self._reads if read.revision > from_revision]
        while reads:
            found = _merge(from_revision, reads)
            if fits(found):
                return found
            reads = reads[: len(reads) // 2]
        return None


def _merge(from_revision: int, reads: typing.Sequence[_Read]) -> Changes:
    change_by_id = {}
    for read in reads:
        for change in read.changes:
            change_by_id[change.target_id] = change
    return Changes(
        from_revision, reads[-1].revision, tuple(change_by_id.values())
    )
