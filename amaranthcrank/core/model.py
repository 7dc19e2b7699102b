"""Immutable data that passes between the stages."""

import typing

from amaranthcrank.core import codes

URGENT = 'urgent'
NORMAL = 'normal'
BULK = 'bulk'
RANKS = (URGENT, NORMAL, BULK)

# The three times add up to the wait before a slot may be granted again. They
# leave 0.9 s of the 2 s limit for detection, the write and adoption.
STANDING_LEASE_S = 0.4
GRANT_LEASE_S = 0.6
CLOCK_DRIFT_MARGIN_S = 0.1
HEARTBEAT_INTERVAL_S = 0.1
RENEWAL_INTERVAL_S = 0.2

# A request id may be stamped this far ahead of a host's clock.
ID_AHEAD_MARGIN_MS = 1_000
MAX_KEY_BYTES = 512
MAX_TARGET_SLOTS = 256
MAX_BODY_BYTES = 1024 * 1024
MAX_DEADLINE_MS = 60_000
DEFAULT_DEADLINE_MS = 5_000


class Request(typing.NamedTuple):
    """A checked request of a caller.

    Attributes:
      request_id: The caller's id, or one made at the entry host.
      issued_at_ms: When the caller first issued it, Unix time.
      service: The service.
      key: The key, decoded.
      rank: One of RANKS.
      repeatable: Whether it may run more than once.
      deadline_ms: Time left when it reached the entry host.
      caller: Who asks, for fairness between callers.
      method: The HTTP method.
      query: The query string without the question mark.
      headers: Further headers that go on to the upstream.
      body: The whole body.
      traceparent: W3C trace context, empty where there is none.
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
    """What became of a request.

    Attributes:
      code: The result code; code.outcome tells whether it ran.
      status: The HTTP status for the caller.
      headers: The upstream's headers for the caller.
      body: The upstream's body, or empty for a refusal.
      retry_after_ms: When a refused caller may ask again, 0 if unsaid.
      detail: A short reason for people.
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
    """Make the outcome for a code that carries no upstream answer."""
    return Outcome(code, code.http_status, (), b'', retry_after_ms, detail)


class Assignment(typing.NamedTuple):
    """The owner of one slot in a cell record.

    Attributes:
      target: The id of the target that owns the slot.
      fence: The record version at which it got the slot.
      previous_target: The owner before that, empty where there was none.
    """

    target: str
    fence: int
    previous_target: str


class SlotId(typing.NamedTuple):
    """A slot of a service, or a pinned key with a slot of its own.

    Attributes:
      service: The service.
      slot: The slot number; for a pinned key hashing.pinned_slot_number.
    """

    service: str
    slot: int


class CellRecord(typing.NamedTuple):
    """What the store holds of one cell.

    Attributes:
      cell: The name of the cell.
      version: Grows by one with each change.
      hosts: The entry hosts of the cell, in order of joining.
      attesters: The hosts that attest heartbeats.
      previous_attesters: The attesters before the last change of the list,
        empty once that change is in force.
      settled_ticket: The cell holds no slot outside this ticket's ranges.
      assignment_by_slot: The owner of each slot.
      planned_ticket: The ticket whose pins and ranges the assignments follow.
        A host acts on the record only with this ticket or a later one, so
        that two hosts at one version never map a key to two slots.
      hosts_version: The version at which the hosts changed last. A host that
        skips versions sees by it whether it missed a list.
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
    """One upstream of one service, as a ticket states it.

    Attributes:
      target: Its id, unique over all services.
      service: The service it serves.
      cell: The cell that looks after it.
      address: host:port.
      slots: How many requests it runs at once.
      connections: How many connections it takes.
      fenced: Whether it checks grants and fences.
      draining: Whether it should get no new work.
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
    """Where a request goes.

    Attributes:
      slot: The slot of its key.
      cell: The home cell of the slot.
      slots: The number of hash slots of the service.
    """

    slot: SlotId
    cell: str
    slots: int
