"""Withdrawal of crash reports on targets that have not crashed.

A target that runs a request after a crash report was only cut off, unless it
has crashed and started again under its id: until its new entry is known, the
new incarnation cannot be told from the former one.
"""

import asyncio
import typing

from amaranthcrank.router import crash_reports


class CrashWithdrawals:
    """The reported targets that have run a request since.

    Attributes:
      on_withdrawn: Called with a target, as `id/incarnation`, whose reports
        were withdrawn.
    """

    def __init__(
        self,
        crashes: crash_reports.CrashReports,
        is_current: typing.Callable[[str], bool],
        confirm_after_s: float,
    ) -> None:
        """Start without targets.

        Args:
          crashes: The reports.
          is_current: Returns whether a target, as `id/incarnation`, is known
            and has not restarted.
          confirm_after_s: How long a target may run requests before all hosts
            know the entry of its incarnation, seconds.
        """
        self.on_withdrawn: typing.Callable[[str], None] | None = None
        self._crashes = crashes
        self._is_current = is_current
        self._confirm_after_s = confirm_after_s
        self._awaited: set[str] = set()

    def record_run(self, holder: str) -> None:
        """Record that a target, as `id/incarnation`, has run a request."""
        if holder in self._awaited or not self._crashes.is_reported(holder):
            return
        self._awaited.add(holder)
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._confirm_after_s, self._confirm, holder, loop.time()
        )

    def _confirm(self, holder: str, ran_at: float) -> None:
        self._awaited.discard(holder)
        if not self._is_current(holder):
            return
        if not self._crashes.withdraw(holder, ran_at):
            return
        if self.on_withdrawn is not None:
            self.on_withdrawn(holder)
