"""Hosts of one failure domain whose datagrams a test passes on by itself."""

import typing

from amaranthcrank.router import peers


class Talk(peers.Peers):
    """Datagrams that arrive at once, unless a host is cut off.

    Attributes:
      cut: Whether nothing reaches this host, or comes from it.
    """

    def __init__(self, host_id: str, talks: dict[str, 'Talk']) -> None:
        """Join the others.

        Args:
          host_id: This host.
          talks: All hosts of the domain, by id; this one is added.
        """
        super().__init__(host_id, 'a')
        self.cut = False
        self._id = host_id
        self._talks = talks
        talks[host_id] = self

    def send_nearby(self, kind: int, content: typing.Any) -> None:
        """Hand a message to all others."""
        if self.cut:
            return
        for talk in self._talks.values():
            if talk is not self and not talk.cut:
                talk.handler_by_kind[kind](self._id, content)
