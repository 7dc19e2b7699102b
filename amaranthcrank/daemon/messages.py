"""Messages to the control actor."""

import typing

from amaranthcrank.core import model
from amaranthcrank.observe import host_list
from amaranthcrank.peers import frames
from amaranthcrank.record import tickets


class Tick(typing.NamedTuple):
    """The timer fired."""


class FrameReceived(typing.NamedTuple):
    """A control frame from a peer."""

    host: str
    frame: frames.Frame


class RecordReceived(typing.NamedTuple):
    """A cell record, None if the store has none."""

    cell: str
    record: model.CellRecord | None
    from_store: bool


class TicketReceived(typing.NamedTuple):
    """A ticket from the store or a peer, None if there is none yet."""

    ticket: tickets.Ticket | None
    from_store: bool


class HostListReceived(typing.NamedTuple):
    """The platform's host list."""

    hosts: host_list.HostList


class StoreReachability(typing.NamedTuple):
    """Whether the last call to the store was answered."""

    reachable: bool


class OtherRecordsReceived(typing.NamedTuple):
    """The records of the other cells, None for one that does not exist.

    Attributes:
      ticket: The newest known ticket when the read was requested.
      record_by_cell: The records.
    """

    ticket: int
    record_by_cell: dict[str, model.CellRecord | None]


class WriteDone(typing.NamedTuple):
    """A write to the store has ended, whether or not it succeeded."""


class Leave(typing.NamedTuple):
    """The host shuts down; its peers take over dispatching."""


class GetCellView(typing.NamedTuple):
    """Get the known state of the cell of this host."""


class GetStoreView(typing.NamedTuple):
    """Get whether the store is reachable, and since when."""


class GetTicket(typing.NamedTuple):
    """Get the newest ticket that this host knows, None if there is none."""
