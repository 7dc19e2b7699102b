"""Keeps the quota of cold targets up to date, and the controller informed."""

import asyncio
import typing

from amaranthcrank.router import cold_quota
from amaranthcrank.router import model
from amaranthcrank.router import peers
from amaranthcrank.router import request_path
from amaranthcrank.router import target_state


def apply_limits(
    path: request_path.RequestPath,
    ticket: model.Ticket,
    bounds: model.Bounds,
) -> None:
    """Apply the limits that follow from a configuration and the bounds."""
    quota = path.cold_quota
    quota.limits_by_service = cold_quota.limits_by_service(
        ticket.service_by_name.values(), bounds
    )
    path.targets.cold_services = frozenset(quota.limits_by_service)


def refresh(
    path: request_path.RequestPath,
    messenger: peers.Messenger,
    has_joined: bool,
) -> None:
    """Adapt the quota to the present hosts and targets.

    Args:
      path: The request path.
      messenger: Knows the other hosts.
      has_joined: Whether the list of hosts was read.
    """
    quota = path.cold_quota
    if not quota.limits_by_service:
        return
    now = asyncio.get_running_loop().time()
    if has_joined:
        membership = cold_quota.Membership(
            messenger.ids_in_domain(), messenger.count_all()
        )
        quota.set_membership(membership, now)
    quota.refresh(path.targets.by_id.values(), now)


def owner_load(
    path: request_path.RequestPath,
) -> typing.Callable[[target_state.Target], float]:
    """Return what tells the controller how much work an owner may get."""

    def load_s(target: target_state.Target) -> float:
        return path.cold_quota.owner_load_s(
            target,
            path.times.of_service(target.entry.service),
            asyncio.get_running_loop().time(),
        )

    return load_s
