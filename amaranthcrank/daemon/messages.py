"""Messages of the control actor."""

import typing

from amaranthcrank.core import model
from amaranthcrank.observe import host_list
from amaranthcrank.peers import frames
from amaranthcrank.record import tickets


class Tick(typing.NamedTuple):
    """The timer fired."""


class FrameReceived(typing.NamedTuple):
    """A control frame of a peer."""

    host: str
    frame: frames.Frame


class RecordReceived(typing.NamedTuple):
    """A record of a cell, or the knowledge that the store has none."""

    cell: str
    record: model.CellRecord | None
    from_store: bool


class TicketReceived(typing.NamedTuple):
    """A ticket of the store or of a peer; None where there is none yet."""

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
      ticket: The newest ticket known when they were asked for.
      record_by_cell: The records.
    """

    ticket: int
    record_by_cell: dict[str, model.CellRecord | None]


class WriteDone(typing.NamedTuple):
    """A write to the store has ended, with or without effect."""


class Leave(typing.NamedTuple):
    """The host shuts down: peers take over its dispatching."""


class GetCellView(typing.NamedTuple):
    """Ask what this host knows of its cell."""


class GetStoreView(typing.NamedTuple):
    """Ask whether the store answers."""


class GetTicket(typing.NamedTuple):
    """Ask for the newest ticket that this host knows, None without."""
