"""Reads and writes cell records and tickets in the store."""

import typing

import expression

from amaranthcrank.core import codes
from amaranthcrank.core import model
from amaranthcrank.record import cell_record
from amaranthcrank.record import store_client
from amaranthcrank.record import tickets

CELLS = 'cells'
TICKETS = 'tickets'

RecordResult = expression.Result[model.CellRecord | None, codes.Problem]
TicketResult = expression.Result[tickets.Ticket | None, codes.Problem]


class StoredRecord(typing.NamedTuple):
    """A record with the version of its object.

    Attributes:
      record: The record, None if the object does not exist.
      object_version: The version to expect in a conditional write.
    """

    record: model.CellRecord | None
    object_version: int


def read_stored(
    client: store_client.StoreClient, cell: str
) -> expression.Result[StoredRecord, codes.Problem]:
    """Read the record of a cell and the version of its object."""
    found = store_client.get_object(client, CELLS, cell)
    if found.is_error():
        return expression.Error(found.error)
    if found.ok.version == store_client.ABSENT:
        return expression.Ok(StoredRecord(None, store_client.ABSENT))
    record, problems = cell_record.decode(found.ok.value)
    if record is None:
        return expression.Error(problems[0])
    return expression.Ok(StoredRecord(record, found.ok.version))


def read_record(client: store_client.StoreClient, cell: str) -> RecordResult:
    """Read the record of a cell, None if there is none."""
    return read_stored(client, cell).map(lambda stored: stored.record)


def write_record(
    client: store_client.StoreClient, following: model.CellRecord
) -> RecordResult:
    """Write the next version of a record.

    The object is read first, because a host that received the record from a
    peer does not know the version of the object.

    Args:
      client: The client of the store.
      following: The record to write, one version above the stored one.

    Returns:
      The record in the store afterwards: this one, or that of another writer
      that came first.
    """
    stored = read_stored(client, following.cell)
    if stored.is_error():
        return expression.Error(stored.error)
    record = stored.ok.record
    version = record.version if record else 0
    if version != following.version - 1:
        return expression.Ok(record)
    written = store_client.put_object(
        client,
        CELLS,
        following.cell,
        cell_record.encode(following),
        stored.ok.object_version,
    )
    if written.is_ok():
        return expression.Ok(following)
    if written.error.code is codes.STORE_CONFLICT:
        return read_record(client, following.cell)
    return expression.Error(written.error)


def read_ticket(client: store_client.StoreClient, number: int) -> TicketResult:
    """Read a ticket, None if there is none with this number."""
    found = store_client.get_object(client, TICKETS, str(number))
    if found.is_error():
        return expression.Error(found.error)
    if found.ok.version == store_client.ABSENT:
        return expression.Ok(None)
    try:
        return expression.Ok(tickets.decode(found.ok.value))
    except ValueError as error:
        return expression.Error(
            codes.Problem(
                codes.STORE_BAD_ANSWER, f'tickets/{number}', str(error)
            )
        )


def newest_number(listing: store_client.Listing) -> int:
    """Return the highest ticket number of a listing, 0 if it is empty."""
    numbers = [0]
    for name in listing.version_by_name:
        if name.isdigit():
            numbers.append(int(name))
    return max(numbers)


def read_newest_ticket(client: store_client.StoreClient) -> TicketResult:
    """Read the ticket with the highest number, None if there are none."""
    listing = store_client.list_objects(client, TICKETS)
    if listing.is_error():
        return expression.Error(listing.error)
    number = newest_number(listing.ok)
    if number == 0:
        return expression.Ok(None)
    return read_ticket(client, number)


def file_ticket(
    client: store_client.StoreClient, ticket: tickets.Ticket
) -> TicketResult:
    """Create a ticket if its number is not in use.

    Args:
      client: The client of the store.
      ticket: The ticket. Its uid distinguishes it from a ticket that another
        operator filed under the same number.

    Returns:
      The ticket that has the number afterwards, or the Problem of the store.
    """
    written = store_client.put_object(
        client,
        TICKETS,
        str(ticket.number),
        tickets.encode(ticket),
        store_client.ABSENT,
    )
    if written.is_ok():
        return expression.Ok(ticket)
    if written.error.code is codes.STORE_CONFLICT:
        return read_ticket(client, ticket.number)
    return expression.Error(written.error)
