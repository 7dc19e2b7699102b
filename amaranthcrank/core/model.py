"""Immutable data types that the packages exchange."""

import typing

from amaranthcrank.core import codes

URGENT = 'urgent'
NORMAL = 'normal'
BULK = 'bulk'
RANKS = (URGENT, NORMAL, BULK)

# A host holds a lease, the right to dispatch, while enough attesters answer
# its heartbeats. The sum of the first three is the wait before a slot may be
# granted again. It leaves 0.9 s of the 2 s limit on failover for failure
# detection, the write to the store and the adoption of the record.
HOST_LEASE_S = 0.4
GRANT_LEASE_S = 0.6
CLOCK_DRIFT_MARGIN_S = 0.1
HEARTBEAT_INTERVAL_S = 0.1
RENEWAL_INTERVAL_S = 0.2

# Tolerance for request ids whose timestamp is ahead of the clock of the host.
ID_AHEAD_MARGIN_MS = 1_000
MAX_KEY_BYTES = 512
MAX_TARGET_SLOTS = 256
MAX_BODY_BYTES = 1024 * 1024
MAX_DEADLINE_MS = 60_000
DEFAULT_DEADLINE_MS = 5_000


class Request(typing.NamedTuple):
    """A validated request from a caller.

    Attributes:
      request_id: The id set by the caller, or generated at the entry host.
      issued_at_ms: When the caller first issued it, Unix time.
      service: The name of the service.
      key: The key, percent-decoded.
      rank: One of RANKS.
      repeatable: Whether it may run more than once.
      deadline_ms: Time left when it reached the entry host.
      caller: The id of the caller, for fairness between callers.
      method: The HTTP method.
      query: The query string without the question mark.
      headers: Other headers to forward to the upstream.
      body: The complete body.
      traceparent: W3C trace context, empty if there is none.
    """

    request_id: str
    issued_at_ms: int
    service: str
    key: str
    rank: str
    repeatable: bool
    deadline_ms: int
    caller: str
    method: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    traceparent: str


class Outcome(typing.NamedTuple):
    """Result of a request.

    Attributes:
      code: The result code; code.outcome says whether the request ran.
      status: The HTTP status for the caller.
      headers: The headers of the upstream's response.
      body: The body of the upstream's response, empty for a refusal.
      retry_after_ms: Delay before a refused caller should retry, 0 if not
        given.
      detail: A short human-readable reason.
    """

    code: codes.Code
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    retry_after_ms: int
    detail: str


def refusal(
    code: codes.Code, detail: str = '', retry_after_ms: int = 0
) -> Outcome:
    """Create an outcome without a response of an upstream."""
    return Outcome(code, code.http_status, (), b'', retry_after_ms, detail)


class Assignment(typing.NamedTuple):
    """The owner of one slot, as stored in a cell record.

    Attributes:
      target: The id of the target that owns the slot.
      fence: The record version at which the target became the owner.
      previous_target: The owner before that, empty if there was none.
    """

    target: str
    fence: int
    previous_target: str


class SlotId(typing.NamedTuple):
    """A hash slot of a service, or the slot reserved for a pinned key.

    Attributes:
      service: The name of the service.
      slot: The slot number; hashing.pinned_slot_number for a pinned key.
    """

    service: str
    slot: int


class CellRecord(typing.NamedTuple):
    """The record of one cell in the store.

    Attributes:
      cell: The name of the cell.
      version: Incremented by one with each change.
      hosts: The entry hosts of the cell, in order of joining.
      attesters: The hosts that attest heartbeats.
      previous_attesters: The attesters before the last change of the list,
        empty once that change is in force.
      settled_ticket: The number of the ticket outside whose ranges the cell
        holds no slot.
      assignment_by_slot: The owner of each slot.
      planned_ticket: The ticket on whose pins and ranges the assignments are
        based. A host uses the record only with this ticket or a later one,
        so that two hosts at one version never map a key to two slots.
      hosts_version: The version of the last change of the hosts. It tells a
        host that skipped versions whether it missed such a change.
    """

    cell: str
    version: int
    hosts: tuple[str, ...]
    attesters: tuple[str, ...]
    previous_attesters: tuple[str, ...]
    settled_ticket: int
    assignment_by_slot: dict[SlotId, Assignment]
    planned_ticket: int = 0
    hosts_version: int = 1


class Target(typing.NamedTuple):
    """One upstream of one service, as configured by a ticket.

    Attributes:
      target: The id, unique across all services.
      service: The service it belongs to.
      cell: The cell whose hosts dispatch to it.
      address: host:port.
      slots: How many requests it runs concurrently.
      connections: How many connections it accepts.
      fenced: Whether it checks grants and fences.
      draining: Whether it should receive no new work.
    """

    target: str
    service: str
    cell: str
    address: str
    slots: int
    connections: int
    fenced: bool
    draining: bool


EMPTY_STATE: dict[str, typing.Any] = {
    'services': {},
    'cells': {},
    'ranks': {},
    'link': {},
    'lost_cells': [],
    'lost_hosts': [],
    'retired': {},
}


class Route(typing.NamedTuple):
    """Routing of a request.

    Attributes:
      slot: The slot of the key.
      cell: The home cell of the slot.
      slots: The number of hash slots of the service.
    """

    slot: SlotId
    cell: str
    slots: int
