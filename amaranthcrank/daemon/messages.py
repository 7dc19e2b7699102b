"""Messages of the control actor."""

import typing

from amaranthcrank.core import model
from amaranthcrank.observe import host_list
from amaranthcrank.peers import frames
from amaranthcrank.record import tickets


class Tick(typing.NamedTuple):
    """The timer fired."""


class FrameIn(typing.NamedTuple):
    """A control frame of a peer."""

    host: str
    frame: frames.Frame


class RecordIn(typing.NamedTuple):
    """A record of a cell, or the knowledge that the store has none."""

    cell: str
    record: model.CellRecord | None
    from_store: bool


class TicketIn(typing.NamedTuple):
    """A ticket of the store or of a peer; None where there is none yet."""

    ticket: tickets.Ticket | None
    from_store: bool


class HostsIn(typing.NamedTuple):
    """The platform's host list."""

    hosts: host_list.HostList


class StoreState(typing.NamedTuple):
    """Whether the last call to the store was answered."""

    reachable: bool


class OtherRecordsIn(typing.NamedTuple):
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


class AskStatus(typing.NamedTuple):
    """Ask what this host knows of its cell."""


class AskStore(typing.NamedTuple):
    """Ask whether the store answers."""


class AskTicket(typing.NamedTuple):
    """Ask for the newest ticket that this host knows, None without."""
