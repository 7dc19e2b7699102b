"""Logs rejected objects of the store, each revision of one only once."""

from amaranthcrank.router import event_log

# Bounds the memory if another writer leaves many objects.
MAX_OBJECTS = 1000


class RejectionLog:
    """Remembers which objects were logged as rejected."""

    def __init__(self, log: event_log.EventLog) -> None:
        """Start without rejected objects."""
        self._log = log
        self._revision_by_name: dict[str, int] = {}

    def record(self, name: str, revision: int, reason: str) -> None:
        """Log that an object cannot be used, unless it is known already.

        Args:
          name: The name of the object.
          revision: Its revision.
          reason: Why it cannot be used.
        """
        if self._revision_by_name.get(name) == revision:
            return
        if len(self._revision_by_name) >= MAX_OBJECTS:
            oldest = next(iter(self._revision_by_name))
            del self._revision_by_name[oldest]
        self._revision_by_name[name] = revision
        self._log.event(
            'entry_rejected', name=name, revision=revision, error=reason
        )
