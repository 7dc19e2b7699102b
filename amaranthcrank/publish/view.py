"""The snapshot of the control state that request threads read.

The control actor replaces the whole view; request threads read it without a
lock, because replacing a reference is atomic.
"""

import typing

from amaranthcrank.core import model
from amaranthcrank.routing import route


class TargetGrant(typing.NamedTuple):
    """A grant that this host issued to a target.

    Attributes:
      incarnation: The incarnation of the upstream that holds the grant.
      until: When the grant expires at the latest, in monotonic seconds.
      slots: The granted slots.
    """

    incarnation: str
    until: float
    slots: frozenset[model.SlotId]


class View(typing.NamedTuple):
    """An immutable snapshot of the control state.

    Attributes:
      ready: Whether the host serves callers.
      ticket: The number of the ticket in force.
      state: The configuration of that ticket.
      table_by_service: The routing tables of that configuration.
      target_by_id: All targets of that configuration.
      record: The record of this host's cell, None before it is read.
      host_lease_until: When the host lease ends, in monotonic seconds.
      granted_by_target: The grants of targets that this host dispatches for.
      live_hosts: Hosts of this cell that may dispatch, including this one.
      hosts_by_cell: Hosts of the other cells, from the host list.
      quarantined: Fingerprints of requests that are refused.
      suspected: Fingerprints of requests with crash counts, refused or not.
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
