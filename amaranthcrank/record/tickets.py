"""Change tickets: parse, check, fold into the state, diff, encode."""

from collections import abc
import typing

from amaranthcrank.core import codes
from amaranthcrank.core import model

State = dict[str, typing.Any]
Touches = dict[str, typing.Any]


class Document(typing.NamedTuple):
    """What an operator files.

    Attributes:
      author: Who files it.
      uid: Tells this filing from others when an answer was lost.
      expected: The number of the newest ticket the author has seen; None
        where the document does not say.
      touches: The complete new value of each touched section, shaped like
        the state; null removes a service or a cell.
    """

    author: str
    uid: str
    expected: int | None
    touches: Touches


class Ticket(typing.NamedTuple):
    """A filed ticket, one object of the store.

    Attributes:
      number: Its number, from 1.
      uid: The uid of its document.
      author: Who filed it.
      filed_at_ms: When it was filed, Unix time.
      touches: The names of the sections it replaced, sorted, such as
        `services/soaklog` and `ranks`.
      state: The complete state after it.
    """

    number: int
    uid: str
    author: str
    filed_at_ms: int
    touches: tuple[str, ...]
    state: State


def parse_document(
    data: bytes,
    required: abc.Collection[str] = ('author', 'uid', 'expected', 'touches'),
) -> tuple[Document | None, tuple[codes.Problem, ...]]:
    """Read a document as an operator sends it.

    Args:
      data: JSON text in UTF-8.
      required: The fields that may not be missing.

    Returns:
      The document, or None and the problems found.
    """
    raise NotImplementedError


def check_document(
    document: Document, state: State, number: int
) -> tuple[codes.Problem, ...]:
    """Check a document against the state it would change.

    Args:
      document: The document.
      state: The current state.
      number: The number of the current ticket, 0 where there is none.

    Returns:
      Every problem found; empty when the ticket may be filed.
    """
    raise NotImplementedError


def fold(state: State, touches: Touches) -> State:
    """Make the state after a ticket; touched sections are replaced whole."""
    raise NotImplementedError


def make_ticket(
    document: Document, state: State, number: int, filed_at_ms: int
) -> Ticket:
    """Make the ticket that follows the current one.

    Args:
      document: A checked document.
      state: The current state.
      number: The number of the current ticket, 0 where there is none.
      filed_at_ms: Unix time.

    Returns:
      The ticket with number + 1 and the state folded.
    """
    raise NotImplementedError


def diff(old: State, new: State) -> tuple[str, ...]:
    """Describe what changes from one state to another, one line each."""
    raise NotImplementedError


def targets_of(state: State) -> dict[str, model.Target]:
    """Return the targets of all services by id."""
    raise NotImplementedError


def cell_of_slot(service: dict[str, typing.Any], slot: int) -> str:
    """Return the home cell of a slot, empty where no range has it.

    A range holds the slots from `from` up to, but without, `to`. The slot
    of a pinned key is in the cell of its target.
    """
    raise NotImplementedError


def pin_slots(service: dict[str, typing.Any]) -> dict[str, int]:
    """Return the slot of each pinned key: slots + its sorted position."""
    raise NotImplementedError


def encode(ticket: Ticket) -> bytes:
    """Encode a ticket as the store keeps it; the same bytes each time."""
    raise NotImplementedError


def decode(data: bytes) -> Ticket:
    """Decode a stored ticket.

    Raises:
      ValueError: The bytes are not a ticket.
    """
    raise NotImplementedError
