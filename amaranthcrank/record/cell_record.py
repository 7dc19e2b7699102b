"""Encode, check and advance cell records."""

from amaranthcrank.core import codes
from amaranthcrank.core import model

MAX_ATTESTERS = 5
# Marks a slot whose earlier owners are not all known to have let go, so that
# no release shortens the wait.
UNRESOLVED = '*'


def encode(record: model.CellRecord) -> bytes:
    """Encode a record as compact JSON."""
    raise NotImplementedError


def decode(
    body: bytes,
) -> tuple[model.CellRecord | None, tuple[codes.Problem, ...]]:
    """Decode and check a record; None with problems if it is not valid."""
    raise NotImplementedError


def validate(record: model.CellRecord) -> tuple[codes.Problem, ...]:
    """Collect every problem of a record."""
    raise NotImplementedError


def empty_record(cell: str, settled_ticket: int) -> model.CellRecord:
    """Make version 1 of a cell without hosts and slots."""
    raise NotImplementedError


def first_record(
    cell: str,
    hosts: tuple[str, ...],
    third_attester: str | None,
    settled_ticket: int,
) -> model.CellRecord:
    """Make version 1 of a cell with hosts and without slots."""
    raise NotImplementedError


def attesters_of(
    cell: str, hosts: tuple[str, ...], third_attester: str | None
) -> tuple[str, ...]:
    """Return the attesters of a list of hosts."""
    raise NotImplementedError


def with_targets(
    record: model.CellRecord,
    target_by_slot: dict[model.SlotId, str],
    effective: int,
    refence: frozenset[model.SlotId] = frozenset(),
) -> model.CellRecord:
    """Make the next version with these owners; slots not named are dropped.

    Args:
      record: The record held.
      target_by_slot: The owner of each slot of the cell.
      effective: The effective version known to the writer.
      refence: Slots that must wait even if their owner stays, because a key
        comes back to them from a pin.

    Returns:
      The next version, or the same record if nothing changes.
    """
    raise NotImplementedError


def with_hosts(
    record: model.CellRecord,
    hosts: tuple[str, ...],
    third_attester: str | None,
) -> tuple[model.CellRecord | None, tuple[codes.Problem, ...]]:
    """Make the next version with other hosts.

    Args:
      record: The record held.
      hosts: The new hosts, in order of joining, at most 12.
      third_attester: The cell's attester in the ticket, None if none.

    Returns:
      The next version; None and a problem while a change is pending.
    """
    raise NotImplementedError


def with_change_finished(record: model.CellRecord) -> model.CellRecord:
    """Make the next version in which the list change is in force."""
    raise NotImplementedError


def with_settled_ticket(
    record: model.CellRecord, ticket: int
) -> model.CellRecord:
    """Make the next version with a higher settled ticket."""
    raise NotImplementedError
