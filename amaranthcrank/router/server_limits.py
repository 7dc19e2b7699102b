"""Sets the limits of the servers of a process."""

import typing

from amaranthcrank.router import body_rate
from amaranthcrank.router import connection_shares
from amaranthcrank.router import http_server
from amaranthcrank.router import model
from amaranthcrank.router import options
from amaranthcrank.router import upload_budget

# Probes, scrapes and calls of other hosts have no bodies. One that is sent all
# the same needs no reservation of memory.
CONTROL_LIMITS = http_server.DEFAULT_LIMITS._replace(
    body_bytes=upload_budget.MAX_UNRESERVED_BYTES
)


class Servers(typing.NamedTuple):
    """The servers of a process.

    Attributes:
      callers: Serves callers.
      probes: Serves readiness and metrics.
      hosts: Serves other hosts.
    """

    callers: http_server.Server
    probes: http_server.Server
    hosts: http_server.Server


def idle_check(
    callers: http_server.Server, shares: connection_shares.ConnectionShares
) -> typing.Callable[[int], bool]:
    """Return the check whether the pool may keep another idle connection.

    Callers' connections and those in use for their requests go first. Without
    many of them the pool keeps what it likes.
    """
    total = shares.callers + shares.outgoing

    def may_keep(idle_connections: int) -> bool:
        used = len(callers.connections) + callers.active_requests
        return used + idle_connections < total

    return may_keep


def apply(
    servers: Servers,
    settings: model.HostSettings,
    process_options: options.Options,
) -> connection_shares.ConnectionShares:
    """Set the limits that do not depend on the configuration in force.

    Returns:
      How many connections there may be of each kind.
    """
    shares = connection_shares.divide(
        settings.max_descriptors, process_options.max_callers
    )
    callers = servers.callers
    callers.max_connections = shares.callers
    callers.uploads.max_bytes = int(
        upload_budget.MEMORY_SHARE * settings.memory_bytes
    )
    servers.probes.max_connections = shares.probes
    servers.hosts.max_connections = shares.hosts
    rule = body_rate.RateRule(
        process_options.min_body_bytes_per_s, process_options.body_period_s
    )
    callers.turns.events_per_turn = process_options.parse_events_per_turn
    for server in servers:
        server.rate_rule = rule
        server.turns = callers.turns
    servers.probes.limits = CONTROL_LIMITS
    servers.hosts.limits = CONTROL_LIMITS
    return shares
