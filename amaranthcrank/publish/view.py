"""What the request path of a host reads of the control side.

The control actor replaces the whole view; request threads read it without a
lock, because replacing one reference is atomic.
"""

import typing

from amaranthcrank.core import model
from amaranthcrank.routing import route


class TargetGrant(typing.NamedTuple):
    """A grant that this host gave to a target.

    Attributes:
      incarnation: The upstream's incarnation that holds it.
      until: When it has run out at the latest, monotonic seconds.
      slots: The slots in it.
    """

    incarnation: str
    until: float
    slots: frozenset[model.SlotId]


class View(typing.NamedTuple):
    """An immutable snapshot of the control state.

    Attributes:
      ready: Whether the host serves callers.
      ticket: The number of the ticket in force.
      state: The configuration after that ticket.
      table_by_service: Routing tables of that state.
      target_by_id: All targets of that state.
      record: The record of the own cell, None before it is read.
      host_lease_until: Until when the host may send, monotonic seconds.
      granted_by_target: The grants of targets that this host dispatches for.
      live_hosts: Hosts of the own cell that dispatch, this one included.
      hosts_by_cell: Hosts of the other cells, from the host list.
      quarantined: Fingerprints that are refused.
      suspected: Fingerprints with crash counts, refused or not.
    """

    ready: bool = False
    ticket: int = 0
    state: dict[str, typing.Any] = model.EMPTY_STATE
    table_by_service: dict[str, route.ServiceTable] = {}
    target_by_id: dict[str, model.Target] = {}
    record: model.CellRecord | None = None
    host_lease_until: float = 0.0
    granted_by_target: dict[str, TargetGrant] = {}
    live_hosts: tuple[str, ...] = ()
    hosts_by_cell: dict[str, tuple[str, ...]] = {}
    quarantined: frozenset[str] = frozenset()
    suspected: frozenset[str] = frozenset()


class ViewHolder:
    """Holds the current view."""

    def __init__(self) -> None:
        self.view = View()
