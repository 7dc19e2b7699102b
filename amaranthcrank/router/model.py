"""Immutable data that the router's modules share."""

import typing

SAFE = 'safe'
UNSAFE = 'unsafe'

READY = 'ready'
DRAINING = 'draining'

KEY_COUNT = 65536


class Address(typing.NamedTuple):
    """An IPv4 address and a port."""

    ip: str
    port: int


class Bounds(typing.NamedTuple):
    """The limits that the deployment's terms set.

    Attributes:
      drain_s: How long a leaving upstream may still get requests.
      settle_s: After a disturbance of the store or of the way to it a host
        must act by what the store says again within this time.
      grace_s: From SIGTERM to SIGKILL.
      retry_ratio: Second sends allowed per request of a service.
      retry_window_s: The window over which they are counted.
      retry_floor: Second sends allowed beside the ratio, over all hosts.
      grant_max_s: The longest lease of keys.
    """

    drain_s: float
    settle_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_floor: float
    grant_max_s: float


class HostSettings(typing.NamedTuple):
    """What one host is told at start.

    Attributes:
      host_id: The name of the host.
      ip: Its address.
      failure_domain: Its failure domain.
      region: The region of the failure domain.
      region_by_domain: The region of each failure domain.
      listen_address: Where callers connect.
      readiness_address: Where the load balancer asks for readiness.
      peer_port: The port between hosts, UDP and TCP.
      metrics_port: Where metrics are served.
      store: The address of the platform's store.
      heartbeat_s: How often targets report to the store.
      max_descriptors: Open descriptors that the process may have.
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
    bounds: Bounds


class WeightedService(typing.NamedTuple):
    """One service of a route and the share of requests that it gets."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """One route of a ticket.

    Attributes:
      name: Its name.
      host: The Host header that it answers to.
      prefix: The start of the path, with a slash at both ends.
      repeatable: Whether a request may run more than once.
      timeout_s: The longest time that a caller is kept waiting.
      goal_s: The response-time goal.
      rank: 0 is the most urgent.
      max_attempts: The most targets that one request is sent to.
      weighted_services: The services that serve it, with weights.
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


class Service(typing.NamedTuple):
    """One service of a ticket.

    Attributes:
      name: Its name.
      max_connections: Connections that one target takes from all callers.
      keyed: Whether each of its keys is owned by a single target.
    """

    name: str
    max_connections: int
    keyed: bool


class CallerLimits(typing.NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Ticket(typing.NamedTuple):
    """The whole routing state under one number; a higher one replaces it.

    Attributes:
      number: Its number.
      routes: All routes.
      service_by_name: All services.
      limits: What callers may send.
    """

    number: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    limits: CallerLimits


def holder_name(target_id: str, incarnation: int) -> str:
    """Return the name of one incarnation of a target."""
    return f'{target_id}/{incarnation}'


def split_holder(holder: str) -> tuple[str, int]:
    """Return the target and the incarnation that a holder's name holds."""
    target_id, _, incarnation = holder.rpartition('/')
    return target_id, int(incarnation)


class TargetEntry(typing.NamedTuple):
    """What one target says of itself in the store.

    Attributes:
      target_id: Its id.
      service: Its service.
      address: Where it listens.
      failure_domain: Where it runs.
      slots: Requests that it runs at once.
      state: READY or DRAINING.
      cold_s: How much longer it stays slow after its start.
      incarnation: The Unix millisecond of its start.
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
    """Adjacent keys of a service and their owner.

    Attributes:
      first: The first key.
      last: The last key, inclusive.
      target_id: The owner.
      incarnation: The owner's start that the grant is for.
      fence: The fencing token of the grant.
      moving: Whether the former owner may still hold the keys.
      former_holders: While moving, all who may still hold the keys, each as
        `id/incarnation`, separated by spaces.
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


class KeyMap(typing.NamedTuple):
    """The owners of all keys of a service.

    Attributes:
      service: The service.
      fence: The highest fencing token given so far.
      ranges: In order of keys, without gaps once assigned.
      revision: The store's revision of the record; 0 if not yet created.
      address_by_holder: Where each owner and former owner listens, by
        `id/incarnation`, so that a new controller can ask those whose
        entries are gone.
    """

    service: str
    fence: int
    ranges: tuple[KeyRange, ...]
    revision: int
    address_by_holder: dict[str, Address]
