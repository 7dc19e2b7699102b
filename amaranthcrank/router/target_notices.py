"""Applies what targets say about themselves in their responses.

A target that is leaving says so in each response, which may be earlier than
its entry in the store shows it, or while the store is unavailable. The first
host that reads such a response notifies the others.
"""

import typing

from amaranthcrank.platform import notices
from amaranthcrank.router import connection_pool
from amaranthcrank.router import directory
from amaranthcrank.router import headers as header_fields
from amaranthcrank.router import message_kinds
from amaranthcrank.router import model
from amaranthcrank.router import peers

# Called with the status and the headers of each response on a connection.
OnHead = typing.Callable[[int, header_fields.Headers], None]


class TargetNotices:
    """Receives the heads of all responses of targets.

    Attributes:
      malformed_loads: How many reports of load were ignored as malformed.
    """

    def __init__(
        self,
        targets: directory.Directory,
        pool: connection_pool.Pool,
        messenger: peers.Messenger,
    ) -> None:
        """Handle the notices that other hosts send.

        Args:
          targets: The directory, which is updated.
          pool: Connections to a target that is leaving are closed.
          messenger: Exchanges datagrams with the other hosts.
        """
        self.malformed_loads = 0
        self._targets = targets
        self._pool = pool
        self._messenger = messenger
        messenger.handler_by_kind[message_kinds.LEAVING] = self._on_leaving

    def reader(self, holder: str, address: model.Address) -> OnHead:
        """Return a function that reads the heads of a target's responses.

        Args:
          holder: The incarnation of the target, as `id/incarnation`.
          address: Where it listens.
        """

        def read(status: int, headers: header_fields.Headers) -> None:
            notice = notices.decode(status, headers)
            if notice.hold_off_s:
                self._targets.hold_off(holder, notice.hold_off_s)
            if notice.warm_up_s is not None:
                self._targets.record_warm_up(holder, notice.warm_up_s)
            if notice.load is not None:
                self._targets.record_load(holder, notice.load)
            self.malformed_loads += notice.is_load_malformed
            if not notice.is_leaving:
                return
            self._pool.drop(address)
            if self._targets.mark_leaving(holder):
                self._messenger.send_to_all(message_kinds.LEAVING, holder)

        return read

    def _on_leaving(self, host_id: str, content: typing.Any) -> None:
        self._targets.mark_leaving(content)
