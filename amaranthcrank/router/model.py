"""Immutable data that the router's modules share."""

import typing

SAFE = 'safe'
UNSAFE = 'unsafe'

READY = 'ready'
DRAINING = 'draining'

KEY_COUNT = 65536


class Address(typing.NamedTuple):
    """An IPv4 address with a port."""

    ip: str
    port: int


class Bounds(typing.NamedTuple):
    """The limits that the settings of the deployment give.

    Attributes:
      drain_s: How long a draining upstream may still receive requests.
      settle_s: The longest time after a failure of the store, or of the
        connection to it, until a host acts on the store's state again.
      grace_s: The time from SIGTERM to SIGKILL.
      retry_ratio: The number of retries allowed per request of a service.
      retry_window_s: The window over which retries are counted.
      retry_floor: Retries allowed in addition to the ratio, over all hosts.
      grant_max_s: The longest duration of a grant of keys.
      evacuation_s: How long after the evacuation of a failure domain its
        targets may still receive requests; None if domains are not evacuated.
      cold_overshoot: The multiple of the rate of a cold target, and
      cold_slack: the number of requests in addition, that all hosts together
        may send it in any one second. None: cold targets are not limited.
    """

    drain_s: float
    settle_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_floor: float
    grant_max_s: float
    evacuation_s: float | None = None
    cold_overshoot: float | None = None
    cold_slack: float | None = None


class HostSettings(typing.NamedTuple):
    """The settings that a host reads at its start.

    Attributes:
      host_id: The id of the host.
      ip: The IP address of the host.
      failure_domain: The failure domain of the host.
      region: The region of the failure domain.
      region_by_domain: The region of each failure domain.
      listen_address: Where callers connect.
      readiness_address: Where the load balancer probes readiness.
      peer_port: The port for traffic between hosts, UDP and TCP.
      metrics_port: The port that serves metrics.
      store: The address of the platform's store.
      heartbeat_s: The interval at which targets report to the store.
      max_descriptors: The limit of open file descriptors of the process.
      memory_bytes: The memory that the process may use.
      bounds: The limits of the deployment.
    """

    host_id: str
    ip: str
    failure_domain: str
    region: str
    region_by_domain: dict[str, str]
    listen_address: Address
    readiness_address: Address
    peer_port: int
    metrics_port: int
    store: Address
    heartbeat_s: float
    max_descriptors: int
    memory_bytes: int
    bounds: Bounds


class WeightedService(typing.NamedTuple):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """A route of a ticket.

    Attributes:
      name: The name of the route.
      host: The value of the Host header that the route matches.
      prefix: The path prefix that the route matches, with a slash at both
        ends.
      repeatable: Whether a request may run more than once.
      timeout_s: The longest time that a caller waits for the response.
      goal_s: The response-time goal.
      rank: The priority; 0 is the most urgent.
      max_attempts: The most targets that one request is sent to.
      weighted_services: The services that serve the route, with weights.
      allowed_regions: The regions whose targets may serve the route; None if
        all may.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    goal_s: float
    rank: int
    max_attempts: int
    weighted_services: tuple[WeightedService, ...]
    allowed_regions: frozenset[str] | None = None


class Service(typing.NamedTuple):
    """A service of a ticket.

    Attributes:
      name: The name of the service.
      max_connections: The most connections that one target accepts from all
        callers together.
      keyed: Whether each key of the service is owned by a single target.
      warm_up_s: How long a target is cold after its start.
      cold_per_s: The rate of requests that a cold target bears; None or 0 if
        it is not limited.
    """

    name: str
    max_connections: int
    keyed: bool
    warm_up_s: float = 0.0
    cold_per_s: float | None = None


class CallerLimits(typing.NamedTuple):
    """Size and time limits for the requests of callers."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Ticket(typing.NamedTuple):
    """A numbered version of the routing configuration.

    A ticket replaces all tickets with lower numbers.

    Attributes:
      number: The number of the ticket.
      routes: All routes.
      service_by_name: All services.
      limits: Limits for the requests of callers.
    """

    number: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: CallerLimits


def holder_name(target_id: str, incarnation: int) -> str:
    """Return the name `id/incarnation` of a target as a holder of keys."""
    return f'{target_id}/{incarnation}'


def split_holder(holder: str) -> tuple[str, int]:
    """Return the target id and the incarnation of a holder's name."""
    target_id, _, incarnation = holder.rpartition('/')
    return target_id, int(incarnation)


class TargetEntry(typing.NamedTuple):
    """The entry that a target registers in the store.

    Attributes:
      target_id: The id of the target.
      service: The service that the target belongs to.
      address: Where the target listens.
      failure_domain: Where the target runs.
      slots: The number of requests that the target runs at once.
      state: READY or DRAINING.
      cold_s: The rest of the warm-up time, in which the target is slow.
      incarnation: The start time of the target, in Unix milliseconds.
    """

    target_id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    state: str
    cold_s: float
    incarnation: int

    @property
    def holder(self) -> str:
        """The name of this incarnation as a holder of keys."""
        return holder_name(self.target_id, self.incarnation)


class KeyRange(typing.NamedTuple):
    """A range of adjacent keys of a service and its owner.

    Attributes:
      first: The first key.
      last: The last key, inclusive.
      target_id: The id of the owner.
      incarnation: The incarnation of the owner that the grant is for.
      fence: The fencing token of the grant.
      moving: Whether the range is being moved to the owner, so that a former
        owner may still hold its keys.
      former_holders: While the range is moving, all holders that may still
        hold its keys, each as `id/incarnation`, separated by spaces.
    """

    first: int
    last: int
    target_id: str
    incarnation: int
    fence: int
    moving: bool
    former_holders: str

    @property
    def holder(self) -> str:
        """The name of the owner as a holder of keys."""
        return holder_name(self.target_id, self.incarnation)


class UnsettledHold(typing.NamedTuple):
    """Keys that a former owner may take again by an earlier grant.

    Attributes:
      holder: The former owner, as `id/incarnation`.
      first: The first key.
      last: The last key, inclusive.
      fence: A fencing token below that of the next owner.
    """

    holder: str
    first: int
    last: int
    fence: int


class KeyMap(typing.NamedTuple):
    """The owners of all keys of a service.

    Attributes:
      service: The service.
      fence: The highest fencing token issued so far.
      ranges: The ranges in order of keys, without gaps once keys are
        assigned.
      revision: The store's revision of the map; 0 if not yet created.
      address_by_holder: Where each owner and former owner listens, by
        `id/incarnation`. With it a new controller can reach holders whose
        entries are gone from the store.
      unsettled: Keys that former owners may take again.
      era: The era of the store in which the map was written.
      term: The term of the lease under which it was written. With it, the
        first write of a term changes the object, so that a late write of an
        earlier term finds another revision.
    """

    service: str
    fence: int
    ranges: tuple[KeyRange, ...]
    revision: int
    address_by_holder: dict[str, Address]
    unsettled: tuple[UnsettledHold, ...] = ()
    era: int = 0
    term: int = 0
