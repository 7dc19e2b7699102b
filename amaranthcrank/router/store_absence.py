"""Judges a loss of the store: was it away, or this host cut off from it?"""

import typing

from amaranthcrank.router import clock
from amaranthcrank.router import store_history
from amaranthcrank.router import store_witness

# Entries lapse after three silent heartbeats, of which one may have been
# missed before the store went away.
LAPSE_HEARTBEATS = 1.6
# What others tell is waited for no longer than this.
JUDGING_S = 3.0


class StoreAbsence:
    """The latest loss of the store that this host has seen."""

    def __init__(
        self,
        history: store_history.StoreHistory,
        witness: store_witness.StoreWitness,
        on_back: typing.Callable[[float], None],
        heartbeat_s: float,
        log: typing.Callable[..., None],
    ) -> None:
        """Judge losses by a history and by what other hosts tell.

        Args:
          history: When the store answered this host and others.
          witness: Asks the other hosts.
          on_back: Called with the length of a loss when it ends, in seconds.
          heartbeat_s: How often targets report to the store.
          log: Takes what decided.
        """
        self._history = history
        self._witness = witness
        self._on_back = on_back
        self._lapse_s = heartbeat_s * LAPSE_HEARTBEATS
        self._log = log
        self._lost_at = 0.0
        self._back_at = 0.0
        self._is_open = False
        witness.on_news = self._reconsider

    def note_back(self, lost_at: float) -> None:
        """Learn that the store answers again.

        Args:
          lost_at: Since when it did not, by `clock.now`.
        """
        self._lost_at = lost_at
        self._back_at = clock.now()
        silence_s = self._history.longest_silence_s(lost_at)
        self._on_back(silence_s)
        self._is_open = silence_s >= self._lapse_s
        if self._is_open:
            self._log_silence('store_absence', silence_s)
            self._witness.ask()

    def _reconsider(self) -> None:
        """Learn from other hosts when the store answered them."""
        if not self._is_open or clock.now() > self._back_at + JUDGING_S:
            return
        silence_s = self._history.longest_silence_s(self._lost_at)
        if silence_s < self._lapse_s:
            self._is_open = False
            self._log_silence('store_answered_others', silence_s)

    def _log_silence(self, event: str, silence_s: float) -> None:
        now = clock.now()
        self._log(
            event,
            lost_s=round(now - self._lost_at, 2),
            silence_s=round(silence_s, 2),
            failed_s=round(now - self._history.failed_at, 2),
        )
