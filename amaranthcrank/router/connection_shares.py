"""Divides the descriptors of the process among its connections. No I/O."""

import typing

# The platform reserves these for files.
FILE_DESCRIPTORS = 200
# What the process itself keeps open: listeners, the event loop, standard
# streams, and connections that are accepted before the limit is applied or
# are being closed (16 at each of four addresses).
OWN_DESCRIPTORS = 80
CALLER_SHARE = 0.6
# Probes of readiness and scrapes of metrics; calls of other hosts.
PROBE_SHARE = 0.05
HOST_SHARE = 0.05
# Enough for the load balancer, the scraper and a few hosts at any limit.
MIN_CONNECTIONS = 8


class ConnectionShares(typing.NamedTuple):
    """The most connections of each kind.

    Attributes:
      callers: Connections of callers.
      probes: Connections to the readiness and the metrics address.
      hosts: Connections of other hosts.
      outgoing: Connections to targets, other hosts and the store.
    """

    callers: int
    probes: int
    hosts: int
    outgoing: int


def divide(max_descriptors: int, max_callers: int = 0) -> ConnectionShares:
    """Divide the descriptors that are left for connections.

    Args:
      max_descriptors: The limit of the process.
      max_callers: A lower limit for callers that the operator set; 0 for
        none. The rest is left for outgoing connections.
    """
    total = max_descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS
    callers = _share(total, CALLER_SHARE)
    if max_callers:
        callers = min(callers, max_callers)
    probes = _share(total, PROBE_SHARE)
    hosts = _share(total, HOST_SHARE)
    outgoing = max(total - callers - probes - hosts, MIN_CONNECTIONS)
    return ConnectionShares(callers, probes, hosts, outgoing)


def _share(total: int, share: float) -> int:
    return max(int(total * share), MIN_CONNECTIONS)
