"""Messages between hosts about requests that crash targets."""

import typing

from amaranthcrank.router import crash_reports
from amaranthcrank.router import message_kinds
from amaranthcrank.router import peers

# How many blocked requests a host that joins is told of.
MAX_TOLD_AT_JOIN = 20


class CrashMessages:
    """Shares the crash reports of all hosts."""

    def __init__(
        self,
        messenger: peers.Messenger,
        crashes: crash_reports.CrashReports,
    ) -> None:
        """Handle what other hosts send.

        Args:
          messenger: Exchanges datagrams with the other hosts.
          crashes: The reports known to this host.
        """
        self._messenger = messenger
        self._crashes = crashes
        messenger.handler_by_kind.update(
            {
                message_kinds.CRASHED: self._on_crash,
                message_kinds.CRASH_CLEARED: self._on_cleared,
                message_kinds.CRASH_WITHDRAWN: self._on_withdrawn,
                message_kinds.BLOCKED: self._on_blocked,
            }
        )

    def broadcast_crash(self, request: bytes, holder: str) -> None:
        """Notify all hosts that a target ended while it ran a request."""
        self._messenger.send_to_all(message_kinds.CRASHED, [request, holder])

    def broadcast_cleared(self, request: bytes) -> None:
        """Notify all hosts that a request with crash reports was answered."""
        self._messenger.send_to_all(message_kinds.CRASH_CLEARED, request)

    def broadcast_withdrawn(self, holder: str) -> None:
        """Notify all hosts that a target ran a request after a report."""
        self._messenger.send_to_all(message_kinds.CRASH_WITHDRAWN, holder)

    def renew(self, request: bytes) -> None:
        """Notify all hosts that a blocked request was repeated.

        Hosts that were started since, or that missed a report, block it too.
        """
        if self._crashes.is_renewal_due(request):
            self._messenger.send_to_all(
                message_kinds.BLOCKED, self._blocked(request)
            )

    def tell_joined(self, host_id: str) -> None:
        """Tell a host that joins of the requests that are blocked."""
        for request in self._crashes.blocked()[:MAX_TOLD_AT_JOIN]:
            self._messenger.send(
                host_id, message_kinds.BLOCKED, self._blocked(request)
            )

    def _blocked(self, request: bytes) -> list[typing.Any]:
        crashes = [
            [crash.holder, round(crash.age_s * 1000)]
            for crash in self._crashes.latest_crashes(request)
        ]
        return [request, crashes]

    def _on_crash(self, host_id: str, content: typing.Any) -> None:
        self._crashes.record_crash(*content)

    def _on_cleared(self, host_id: str, content: typing.Any) -> None:
        self._crashes.clear(content)

    def _on_withdrawn(self, host_id: str, content: typing.Any) -> None:
        self._crashes.withdraw(content)

    def _on_blocked(self, host_id: str, content: typing.Any) -> None:
        request, values = content
        crashes = [
            crash_reports.Crash(holder, age_ms / 1000)
            for holder, age_ms in values
        ]
        refuted = self._crashes.merge(request, crashes)
        if refuted.is_cleared:
            self._messenger.send(host_id, message_kinds.CRASH_CLEARED, request)
        for holder in refuted.withdrawn:
            self._messenger.send(
                host_id, message_kinds.CRASH_WITHDRAWN, holder
            )
